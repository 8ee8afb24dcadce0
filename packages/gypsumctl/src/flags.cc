#include "flags.h"

#include <fmt/format.h>
#include <getopt.h>

#include <charconv>
#include <cstdlib>
#include <utility>

namespace gypsumtrack::ctl {
namespace {

/// Where getopt's results for long flags begin, above any character.
constexpr int kFirstResult = 256;

const FlagSpec& SpecOf(Flag flag) {
  return FlagSpecs().at(static_cast<std::size_t>(flag));
}

std::vector<option> MakeOptions() {
  std::vector<option> options;
  for (const auto& spec : FlagSpecs()) {
    const int argument =
        spec.value == nullptr ? no_argument : required_argument;
    options.push_back({spec.name, argument, nullptr,
                       kFirstResult + static_cast<int>(spec.flag)});
  }
  options.push_back({nullptr, 0, nullptr, 0});
  return options;
}

void AddEnvironment(Invocation& invocation) {
  for (const auto& spec : FlagSpecs()) {
    if (spec.environment == nullptr || invocation.Has(spec.flag)) continue;
    const char* value = std::getenv(spec.environment);
    if (value != nullptr && *value != '\0') invocation.flags[spec.flag] = value;
  }
}

}  // namespace

const std::vector<FlagSpec>& FlagSpecs() {
  // In the order of Flag.
  static const std::vector<FlagSpec> specs = {
      {Flag::kAddress, "address", "IP:PORT", "GYPSUMTRACK_ADDRESS",
       "operators' address of any daemon (127.0.0.1:8081)"},
      {Flag::kToken, "token", "TOKEN", "GYPSUMTRACK_ADMIN_TOKEN",
       "the fleet's admin token"},
      {Flag::kAuthor, "author", "NAME", "GYPSUMTRACK_AUTHOR",
       "who makes the change (the login name)"},
      {Flag::kJson, "json", nullptr, nullptr, "print the daemon's JSON"},
      {Flag::kBase, "base", "REVISION", nullptr,
       "revision that the file was written against (the one that `rules show` "
       "put into it, else 0: adds rules and removes none)"},
      {Flag::kDryRun, "dry-run", nullptr, nullptr,
       "say what would change, and change nothing"},
      {Flag::kWait, "wait", nullptr, nullptr,
       "wait until every reachable VM has the revision in force"},
      {Flag::kTimeout, "timeout", "SECONDS", nullptr,
       "longest wait for an answer, or for --wait (30)"},
      {Flag::kLimit, "limit", "COUNT", nullptr, "changes to show (50)"},
      {Flag::kOrganisation, "org", "NAME", nullptr, "whose key it is"},
      {Flag::kLabel, "label", "NAME", nullptr, "the key's name"},
      {Flag::kKey, "key", "KEY", nullptr,
       "the key itself; - reads it from standard input"},
      {Flag::kHtml, "html", nullptr, nullptr, "print one page with plots"},
      {Flag::kAvailability, "availability", "PART", nullptr,
       "objective: part of within-rate requests served (0.999)"},
      {Flag::kLatency, "latency", "PART", nullptr,
       "objective: part of answers begun in time (0.95)"},
      {Flag::kLatencyMs, "latency-ms", "MS", nullptr,
       "when an answer's begin is in time (780)"},
      {Flag::kBatchDue, "batch-due", "PART", nullptr,
       "objective: part of batch items done when due (0.99)"},
      {Flag::kHelp, "help", nullptr, nullptr, "print this help"},
      {Flag::kVersion, "version", nullptr, nullptr, "print the version"},
  };
  return specs;
}

std::string Invocation::Text(Flag flag) const {
  const auto found = this->flags.find(flag);
  return found == this->flags.end() ? "" : found->second;
}

base::Outcome<std::uint64_t> Invocation::Number(Flag flag,
                                                std::uint64_t fallback) const {
  const auto found = this->flags.find(flag);
  if (found == this->flags.end()) return fallback;
  const auto& text = found->second;
  std::uint64_t number = 0;
  const auto end = text.data() + text.size();
  const auto [stop, failure] = std::from_chars(text.data(), end, number);
  if (failure == std::errc() && stop == end) return number;
  return base::Error(base::Errc::kInvalid,
                     fmt::format("--{}: got \"{}\", expected a whole number",
                                 SpecOf(flag).name, text));
}

base::Outcome<Invocation> ParseCommandLine(int argc, char** argv) {
  const auto options = MakeOptions();
  Invocation invocation;
  opterr = 0;
  while (true) {
    // The colon tells a missing value from an unknown flag.
    const int result = getopt_long(argc, argv, ":", options.data(), nullptr);
    if (result == -1) break;
    if (result == ':') {
      const auto flag = static_cast<Flag>(optopt - kFirstResult);
      return base::Error(base::Errc::kInvalid,
                         fmt::format("--{}: got nothing, expected {}",
                                     SpecOf(flag).name, SpecOf(flag).value));
    }
    if (result == '?') {
      return base::Error(
          base::Errc::kInvalid,
          fmt::format("{}: no such flag, or a value for a flag that takes "
                      "none; see --help",
                      argv[optind - 1]));
    }
    const auto flag = static_cast<Flag>(result - kFirstResult);
    invocation.flags[flag] = optarg == nullptr ? "" : optarg;
    invocation.typed.push_back(flag);
  }
  for (int i = optind; i < argc; ++i) invocation.words.emplace_back(argv[i]);
  AddEnvironment(invocation);
  return invocation;
}

}  // namespace gypsumtrack::ctl
