#include <fmt/format.h>
#include <unistd.h>

#include <charconv>
#include <chrono>
#include <fstream>
#include <iterator>
#include <optional>
#include <thread>
#include <utility>

#include "command.h"
#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/policy/rule.h"
#include "gypsumtrack/policy/rule_merge.h"

namespace gypsumtrack::ctl {
namespace {

using Arguments = std::vector<std::string>;

/// Start of the comment in which `rules show` writes the revision that a file
/// is based on.
constexpr std::string_view kRevisionPrefix = "# revision ";
constexpr std::size_t kOperationIdBytes = 12;
constexpr std::chrono::milliseconds kStatusPollInterval(300);
constexpr std::uint64_t kDefaultWaitSeconds = 30;
constexpr std::uint64_t kDefaultHistoryLimit = 50;  // changes

base::Outcome<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return base::Error(base::Errc::kNotFound, path + ": can't open the file");
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

/// Reads and parses a file of rules; stores its content in `text`.
base::Outcome<policy::RuleSet> ReadRules(const std::string& path,
                                         std::string& text) {
  auto content = ReadFile(path);
  if (!content.ok()) return content.error();
  text = std::move(*content);
  auto rules = policy::ParseRules(text);
  if (rules.ok()) return rules;
  // FILE:LINE:COLUMN is the form in which editors recognise a position.
  return base::Error(rules.error().code,
                     fmt::format("{}:{}", path, rules.error().message));
}

/// Returns the revision of the comment at the start of a file, if there is one.
std::optional<base::Revision> ParseRevisionComment(std::string_view text) {
  if (text.substr(0, kRevisionPrefix.size()) != kRevisionPrefix) return {};
  text.remove_prefix(kRevisionPrefix.size());
  base::Revision revision = 0;
  const auto [stop, failure] =
      std::from_chars(text.data(), text.data() + text.size(), revision);
  if (failure != std::errc()) return {};
  return revision;
}

ExitCode Check(const Invocation& /*invocation*/, const Client& /*client*/,
               const Arguments& arguments) {
  std::string text;
  const auto rules = ReadRules(arguments[0], text);
  if (!rules.ok()) return Fail(rules.error());
  fmt::print("{}: {} rules\n", arguments[0], rules->size());
  return ExitCode::kSuccess;
}

ExitCode Diff(const Invocation& /*invocation*/, const Client& client,
              const Arguments& arguments) {
  std::string text;
  const auto rules = ReadRules(arguments[0], text);
  if (!rules.ok()) return Fail(rules.error());
  const auto current = Get(client, "/admin/rules");
  if (!current.ok()) return Fail(current.error());
  const auto rules_in_force =
      policy::ParseRules((*current)["rules"].asString());
  if (!rules_in_force.ok()) return Fail(rules_in_force.error());
  fmt::print("{}",
             policy::FormatEdits(policy::DiffRules(*rules_in_force, *rules)));
  return ExitCode::kSuccess;
}

std::string FormatProgress(base::Revision revision,
                           const Json::Value& domains) {
  auto line = fmt::format("revision {}:", revision);
  for (const auto& domain : domains) {
    line += fmt::format(" {} ", domain["domain"].asString());
    if (domain["reachable"].asBool()) {
      line += fmt::format("{}/{}", domain["in_force"].asUInt(),
                          domain["vms"].asUInt());
    } else {
      line += "unreachable";
    }
  }
  return line;
}

/// Waits until the revision is in force on all VMs of the reachable failure
/// domains or the deadline has passed. Returns the last status of the domains.
base::Outcome<Json::Value> WaitUntilInForce(
    const Client& client, base::Revision revision,
    std::chrono::steady_clock::time_point deadline) {
  const bool terminal = isatty(STDERR_FILENO) != 0;
  const auto target = fmt::format("/admin/status?revision={}", revision);
  while (true) {
    auto status = Get(client, target);
    if (!status.ok()) return status;
    const auto& domains = (*status)["domains"];
    if (terminal) fmt::print(stderr, "\r{}", FormatProgress(revision, domains));
    const bool done = IsInForceOnReachableDomains(domains);
    if (done || std::chrono::steady_clock::now() >= deadline) {
      if (terminal) fmt::print(stderr, "\n");
      return domains;
    }
    std::this_thread::sleep_for(kStatusPollInterval);
  }
}

void PrintApplyResult(const Json::Value& response) {
  const auto revision = response["revision"].asUInt64();
  fmt::print("{}", response["diff"].asString());
  if (response["dry_run"].asBool()) {
    fmt::print("would change {} rules after revision {}\n",
               response["changed"].asUInt64(), revision);
  } else if (response["changed"].asUInt64() == 0) {
    fmt::print("nothing to change at revision {}\n", revision);
  } else {
    fmt::print("revision {}: {} rules changed\n", revision,
               response["changed"].asUInt64());
  }
}

ExitCode Apply(const Invocation& invocation, const Client& client,
               const Arguments& arguments) {
  std::string text;
  const auto rules = ReadRules(arguments[0], text);
  if (!rules.ok()) return Fail(rules.error());
  const auto base =
      invocation.GetNumber(Flag::kBase, ParseRevisionComment(text).value_or(0));
  if (!base.ok()) return FailUsage(base.error().message);
  const auto seconds =
      invocation.GetNumber(Flag::kTimeout, kDefaultWaitSeconds);
  if (!seconds.ok()) return FailUsage(seconds.error().message);
  const auto author = ResolveAuthor(invocation);
  if (author.empty()) {
    return FailUsage(
        "--author: got nothing, expected the author of the change");
  }
  Json::Value body(Json::objectValue);
  body["rules"] = text;
  body["base"] = Json::Value(static_cast<Json::UInt64>(*base));
  body["author"] = author;
  body["operation_id"] = base::RandomHex(kOperationIdBytes);
  body["dry_run"] = invocation.Has(Flag::kDryRun);
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(*seconds);
  auto response = Post(client, "/admin/rules", body);
  if (!response.ok()) return Fail(response.error());
  const bool dry_run = invocation.Has(Flag::kDryRun);
  if (invocation.Has(Flag::kWait) && !dry_run) {
    auto domains =
        WaitUntilInForce(client, (*response)["revision"].asUInt64(), deadline);
    if (!domains.ok()) return Fail(domains.error());
    (*response)["domains"] = std::move(*domains);
  }
  if (invocation.Has(Flag::kJson)) {
    Print(invocation, *response);
  } else {
    PrintApplyResult(*response);
    fmt::print("{}", FormatDomains((*response)["domains"]));
  }
  if (dry_run || !invocation.Has(Flag::kWait)) return ExitCode::kSuccess;
  return IsInForceOnAllDomains((*response)["domains"]) ? ExitCode::kSuccess
                                                       : ExitCode::kPartial;
}

ExitCode Show(const Invocation& invocation, const Client& client,
              const Arguments& /*arguments*/) {
  const auto response = Get(client, "/admin/rules");
  if (!response.ok()) return Fail(response.error());
  if (invocation.Has(Flag::kJson)) {
    Print(invocation, *response);
    return ExitCode::kSuccess;
  }
  fmt::print("{}{}\n{}", kRevisionPrefix, (*response)["revision"].asUInt64(),
             (*response)["rules"].asString());
  return ExitCode::kSuccess;
}

std::string FormatChange(const Json::Value& change) {
  return fmt::format("{}  {}  {}", change["revision"].asUInt64(),
                     change["at"].asString(), change["author"].asString());
}

ExitCode History(const Invocation& invocation, const Client& client,
                 const Arguments& /*arguments*/) {
  const auto limit = invocation.GetNumber(Flag::kLimit, kDefaultHistoryLimit);
  if (!limit.ok()) return FailUsage(limit.error().message);
  const auto response =
      Get(client, fmt::format("/admin/rules/history?limit={}", *limit));
  if (!response.ok()) return Fail(response.error());
  if (invocation.Has(Flag::kJson)) {
    Print(invocation, *response);
    return ExitCode::kSuccess;
  }
  for (const auto& change : (*response)["changes"]) {
    fmt::print("{}  {}  (base {})\n{}", FormatChange(change),
               change["kind"].asString(), change["base"].asUInt64(),
               change["diff"].asString());
    if (change.isMember("label")) {
      fmt::print("  {} for {}\n", change["label"].asString(),
                 change["organisation"].asString());
    }
  }
  return ExitCode::kSuccess;
}

ExitCode Blame(const Invocation& invocation, const Client& client,
               const Arguments& /*arguments*/) {
  const auto response = Get(client, "/admin/rules/blame");
  if (!response.ok()) return Fail(response.error());
  if (invocation.Has(Flag::kJson)) {
    Print(invocation, *response);
    return ExitCode::kSuccess;
  }
  for (const auto& entry : (*response)["rules"]) {
    fmt::print("{}  {}\n", FormatChange(entry), entry["rule"].asString());
  }
  return ExitCode::kSuccess;
}

}  // namespace

std::vector<Command> RulesCommands() {
  return {
      {{"rules", "check"}, {"FILE"}, "check the syntax of a file", {}, Check},
      {{"rules", "diff"},
       {"FILE"},
       "compare a file with the rules in force",
       {},
       Diff},
      {{"rules", "apply"},
       {"FILE"},
       "merge a file into the rules; refuses conflicts with other changes",
       {Flag::kBase, Flag::kDryRun, Flag::kWait, Flag::kTimeout, Flag::kAuthor},
       Apply},
      {{"rules", "show"}, {}, "print the rules and their revision", {}, Show},
      {{"rules", "history"},
       {},
       "print the latest changes",
       {Flag::kLimit},
       History},
      {{"rules", "blame"}, {}, "print the last author of each rule", {}, Blame},
  };
}

}  // namespace gypsumtrack::ctl
