#include <fmt/format.h>

#include <cctype>
#include <string>
#include <utility>

#include "command.h"

namespace gypsumtrack::ctl {
namespace {

using Arguments = std::vector<std::string>;

/// An argument as a part of a path.
std::string Escape(const std::string& text) {
  std::string escaped;
  for (const unsigned char c : text) {
    if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.') {
      escaped += static_cast<char>(c);
    } else {
      escaped += fmt::format("%{:02X}", c);
    }
  }
  return escaped;
}

/// The path with each "{}" replaced by the next argument.
std::string FillIn(std::string path, const Arguments& given) {
  for (const auto& argument : given) {
    const auto at = path.find("{}");
    if (at == std::string::npos) break;
    path.replace(at, 2, Escape(argument));
  }
  return path;
}

/// Prints what the daemon answers to a GET of `path`; a "{}" in it stands for
/// an argument.
Command MakeShow(std::vector<std::string> words, Arguments arguments,
                 const char* help, const std::string& path) {
  const auto run = [path](const Invocation& invocation, const Client& client,
                          const Arguments& given) {
    const auto answer = Get(client, FillIn(path, given));
    if (!answer.ok()) return Fail(answer.error());
    Print(invocation, *answer);
    return ExitCode::kDone;
  };
  return {std::move(words), std::move(arguments), help, {}, run};
}

ExitCode CancelBatch(const Invocation& invocation, const Client& client,
                     const Arguments& arguments) {
  const auto target = fmt::format("/admin/batches/{}/{}/cancel",
                                  Escape(arguments[0]), Escape(arguments[1]));
  const auto answer = Post(client, target, Json::Value(Json::objectValue));
  if (!answer.ok()) return Fail(answer.error());
  Print(invocation, *answer);
  return ExitCode::kDone;
}

}  // namespace

std::vector<Command> FleetCommands() {
  return {
      MakeShow({"status"}, {}, "print the revisions in force in each domain",
               "/admin/status"),
      MakeShow({"vms"}, {}, "print the VMs that the daemon knows",
               "/admin/vms"),
      MakeShow({"endpoints"}, {}, "print the endpoints", "/admin/endpoints"),
      MakeShow({"limits"}, {"ORG"},
               "print where an organisation's rate and burst lie",
               "/admin/limits/{}"),
      MakeShow({"batches", "list"}, {}, "print the batch jobs",
               "/admin/batches"),
      MakeShow({"batches", "show"}, {"ORG", "ID"}, "print a batch job",
               "/admin/batches/{}/{}"),
      {{"batches", "cancel"},
       {"ORG", "ID"},
       "stop a batch job",
       {},
       CancelBatch},
  };
}

}  // namespace gypsumtrack::ctl
