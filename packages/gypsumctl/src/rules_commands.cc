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

/// The comment by which `rules show` says what a file was written against.
constexpr std::string_view kRevisionMark = "# revision ";
constexpr std::size_t kOperationBytes = 12;
constexpr std::chrono::milliseconds kWaitPeriod(300);
constexpr std::uint64_t kWaitSeconds = 30;

base::Outcome<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return base::Error(base::Errc::kNotFound, path + ": can't be read");
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

base::Outcome<policy::RuleSet> ReadRules(const std::string& path,
                                         std::string& text) {
  auto read = ReadFile(path);
  if (!read.ok()) return read.error();
  text = std::move(*read);
  auto rules = policy::ParseRules(text);
  if (rules.ok()) return rules;
  // The form that editors jump to.
  return base::Error(rules.error().code,
                     fmt::format("{}:{}", path, rules.error().message));
}

std::optional<base::Revision> MarkedRevision(std::string_view text) {
  if (text.substr(0, kRevisionMark.size()) != kRevisionMark) return {};
  text.remove_prefix(kRevisionMark.size());
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
  return ExitCode::kDone;
}

ExitCode Diff(const Invocation& /*invocation*/, const Client& client,
              const Arguments& arguments) {
  std::string text;
  const auto rules = ReadRules(arguments[0], text);
  if (!rules.ok()) return Fail(rules.error());
  const auto current = Get(client, "/admin/rules");
  if (!current.ok()) return Fail(current.error());
  const auto theirs = policy::ParseRules((*current)["rules"].asString());
  if (!theirs.ok()) return Fail(theirs.error());
  fmt::print("{}", policy::FormatEdits(policy::DiffRules(*theirs, *rules)));
  return ExitCode::kDone;
}

std::string ProgressLine(base::Revision revision, const Json::Value& domains) {
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

/// The last status of the domains, at the latest when `ends` has come.
base::Outcome<Json::Value> WaitInForce(
    const Client& client, base::Revision revision,
    std::chrono::steady_clock::time_point ends) {
  const bool terminal = isatty(STDERR_FILENO) != 0;
  const auto target = fmt::format("/admin/status?revision={}", revision);
  while (true) {
    auto status = Get(client, target);
    if (!status.ok()) return status;
    const auto& domains = (*status)["domains"];
    if (terminal) fmt::print(stderr, "\r{}", ProgressLine(revision, domains));
    const bool done = InForceWhereReachable(domains);
    if (done || std::chrono::steady_clock::now() >= ends) {
      if (terminal) fmt::print(stderr, "\n");
      return domains;
    }
    std::this_thread::sleep_for(kWaitPeriod);
  }
}

void PrintApplied(const Json::Value& answer) {
  const auto revision = answer["revision"].asUInt64();
  fmt::print("{}", answer["diff"].asString());
  if (answer["dry_run"].asBool()) {
    fmt::print("would change {} rules after revision {}\n",
               answer["changed"].asUInt64(), revision);
  } else if (answer["changed"].asUInt64() == 0) {
    fmt::print("nothing to change at revision {}\n", revision);
  } else {
    fmt::print("revision {}: {} rules changed\n", revision,
               answer["changed"].asUInt64());
  }
}

ExitCode Apply(const Invocation& invocation, const Client& client,
               const Arguments& arguments) {
  std::string text;
  const auto rules = ReadRules(arguments[0], text);
  if (!rules.ok()) return Fail(rules.error());
  const auto base =
      invocation.Number(Flag::kBase, MarkedRevision(text).value_or(0));
  if (!base.ok()) return Misuse(base.error().message);
  const auto seconds = invocation.Number(Flag::kTimeout, kWaitSeconds);
  if (!seconds.ok()) return Misuse(seconds.error().message);
  const auto author = AuthorOf(invocation);
  if (author.empty()) {
    return Misuse("--author: got nothing, expected who makes the change");
  }
  Json::Value body(Json::objectValue);
  body["rules"] = text;
  body["base"] = Json::Value(static_cast<Json::UInt64>(*base));
  body["author"] = author;
  body["operation_id"] = base::RandomHex(kOperationBytes);
  body["dry_run"] = invocation.Has(Flag::kDryRun);
  const auto ends =
      std::chrono::steady_clock::now() + std::chrono::seconds(*seconds);
  auto answer = Post(client, "/admin/rules", body);
  if (!answer.ok()) return Fail(answer.error());
  const bool dry_run = invocation.Has(Flag::kDryRun);
  if (invocation.Has(Flag::kWait) && !dry_run) {
    auto domains = WaitInForce(client, (*answer)["revision"].asUInt64(), ends);
    if (!domains.ok()) return Fail(domains.error());
    (*answer)["domains"] = std::move(*domains);
  }
  if (invocation.Has(Flag::kJson)) {
    Print(invocation, *answer);
  } else {
    PrintApplied(*answer);
    fmt::print("{}", FormatDomains((*answer)["domains"]));
  }
  if (dry_run || !invocation.Has(Flag::kWait)) return ExitCode::kDone;
  return InForceEverywhere((*answer)["domains"]) ? ExitCode::kDone
                                                 : ExitCode::kPartial;
}

ExitCode Show(const Invocation& invocation, const Client& client,
              const Arguments& /*arguments*/) {
  const auto answer = Get(client, "/admin/rules");
  if (!answer.ok()) return Fail(answer.error());
  if (invocation.Has(Flag::kJson)) {
    Print(invocation, *answer);
    return ExitCode::kDone;
  }
  fmt::print("{}{}\n{}", kRevisionMark, (*answer)["revision"].asUInt64(),
             (*answer)["rules"].asString());
  return ExitCode::kDone;
}

std::string Headline(const Json::Value& change) {
  return fmt::format("{}  {}  {}", change["revision"].asUInt64(),
                     change["at"].asString(), change["author"].asString());
}

ExitCode History(const Invocation& invocation, const Client& client,
                 const Arguments& /*arguments*/) {
  const auto limit = invocation.Number(Flag::kLimit, 50);
  if (!limit.ok()) return Misuse(limit.error().message);
  const auto answer =
      Get(client, fmt::format("/admin/rules/history?limit={}", *limit));
  if (!answer.ok()) return Fail(answer.error());
  if (invocation.Has(Flag::kJson)) {
    Print(invocation, *answer);
    return ExitCode::kDone;
  }
  for (const auto& change : (*answer)["changes"]) {
    fmt::print("{}  {}  (base {})\n{}", Headline(change),
               change["kind"].asString(), change["base"].asUInt64(),
               change["diff"].asString());
    if (change.isMember("label")) {
      fmt::print("  {} for {}\n", change["label"].asString(),
                 change["organisation"].asString());
    }
  }
  return ExitCode::kDone;
}

ExitCode Blame(const Invocation& invocation, const Client& client,
               const Arguments& /*arguments*/) {
  const auto answer = Get(client, "/admin/rules/blame");
  if (!answer.ok()) return Fail(answer.error());
  if (invocation.Has(Flag::kJson)) {
    Print(invocation, *answer);
    return ExitCode::kDone;
  }
  for (const auto& entry : (*answer)["rules"]) {
    fmt::print("{}  {}\n", Headline(entry), entry["rule"].asString());
  }
  return ExitCode::kDone;
}

}  // namespace

std::vector<Command> RulesCommands() {
  return {
      {{"rules", "check"},
       {"FILE"},
       "say whether a file is well-formed",
       {},
       Check},
      {{"rules", "diff"},
       {"FILE"},
       "compare a file with the rules in force",
       {},
       Diff},
      {{"rules", "apply"},
       {"FILE"},
       "merge a file into the rules; refuses what another change set otherwise",
       {Flag::kBase, Flag::kDryRun, Flag::kWait, Flag::kTimeout, Flag::kAuthor},
       Apply},
      {{"rules", "show"}, {}, "print the rules and their revision", {}, Show},
      {{"rules", "history"},
       {},
       "print the last changes",
       {Flag::kLimit},
       History},
      {{"rules", "blame"}, {}, "print who last set each rule", {}, Blame},
  };
}

}  // namespace gypsumtrack::ctl
