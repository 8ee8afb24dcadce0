#include <fmt/format.h>

#include <cctype>
#include <string>
#include <utility>

#include "command.h"

namespace gypsumtrack::ctl {
namespace {

using Arguments = std::vector<std::string>;

/// Percent-encodes an argument for use as a path segment.
std::string PercentEncode(const std::string& text) {
  std::string escaped;
  for (const unsigned char character : text) {
    if (std::isalnum(character) != 0 || character == '-' || character == '_' ||
        character == '.') {
      escaped += static_cast<char>(character);
    } else {
      escaped += fmt::format("%{:02X}", character);
    }
  }
  return escaped;
}

/// Replaces each "{}" of the path by the next argument, percent-encoded.
std::string ExpandPath(std::string path, const Arguments& values) {
  for (const auto& argument : values) {
    const auto position = path.find("{}");
    if (position == std::string::npos) break;
    path.replace(position, 2, PercentEncode(argument));
  }
  return path;
}

/// Returns a command that prints the response to a GET request for `path`. Each
/// "{}" in the path stands for an argument.
Command MakeGetCommand(std::vector<std::string> words, Arguments arguments,
                       const char* help, const std::string& path) {
  const auto run = [path](const Invocation& invocation, const Client& client,
                          const Arguments& values) {
    const auto response = Get(client, ExpandPath(path, values));
    if (!response.ok()) return Fail(response.error());
    Print(invocation, *response);
    return ExitCode::kSuccess;
  };
  return {std::move(words), std::move(arguments), help, {}, run};
}

ExitCode CancelBatch(const Invocation& invocation, const Client& client,
                     const Arguments& arguments) {
  const auto target =
      fmt::format("/admin/batches/{}/{}/cancel", PercentEncode(arguments[0]),
                  PercentEncode(arguments[1]));
  const auto response = Post(client, target, Json::Value(Json::objectValue));
  if (!response.ok()) return Fail(response.error());
  Print(invocation, *response);
  return ExitCode::kSuccess;
}

}  // namespace

std::vector<Command> FleetCommands() {
  return {
      MakeGetCommand({"status"}, {},
                     "print the revisions in force in each failure domain",
                     "/admin/status"),
      MakeGetCommand({"vms"}, {}, "print the VMs that the daemon knows",
                     "/admin/vms"),
      MakeGetCommand({"endpoints"}, {}, "print the endpoints",
                     "/admin/endpoints"),
      MakeGetCommand(
          {"limits"}, {"ORG"},
          "print how an organisation's rate and burst are distributed",
          "/admin/limits/{}"),
      MakeGetCommand({"batches", "list"}, {}, "print the batch jobs",
                     "/admin/batches"),
      MakeGetCommand({"batches", "show"}, {"ORG", "ID"}, "print a batch job",
                     "/admin/batches/{}/{}"),
      {{"batches", "cancel"},
       {"ORG", "ID"},
       "cancel a batch job",
       {},
       CancelBatch},
  };
}

}  // namespace gypsumtrack::ctl
