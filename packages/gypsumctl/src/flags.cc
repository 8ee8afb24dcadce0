#include "flags.h"

#include <fmt/format.h>
#include <getopt.h>

#include <charconv>
#include <cstdlib>
#include <utility>

namespace gypsumtrack::ctl {
namespace {

/// The getopt_long code of the first flag; above all character codes, so that
/// it can't be confused with a short option.
constexpr int kFirstOptionCode = 256;

const FlagSpec& GetFlagSpec(Flag flag) {
  return FlagSpecs().at(static_cast<std::size_t>(flag));
}

std::vector<option> MakeOptions() {
  std::vector<option> options;
  for (const auto& spec : FlagSpecs()) {
    const int argument =
        spec.value_name == nullptr ? no_argument : required_argument;
    options.push_back({spec.name, argument, nullptr,
                       kFirstOptionCode + static_cast<int>(spec.flag)});
  }
  options.push_back({nullptr, 0, nullptr, 0});
  return options;
}

void AddEnvironmentVariables(Invocation& invocation) {
  for (const auto& spec : FlagSpecs()) {
    if (spec.environment_variable == nullptr || invocation.Has(spec.flag))
      continue;
    const char* value = std::getenv(spec.environment_variable);
    if (value != nullptr && *value != '\0') invocation.flags[spec.flag] = value;
  }
}

}  // namespace

const std::vector<FlagSpec>& FlagSpecs() {
  // In the order of Flag, which indexes this list.
  static const std::vector<FlagSpec> specs = {
      {Flag::kAddress, "address", "IP:PORT", "GYPSUMTRACK_ADDRESS",
       "admin address of any daemon (127.0.0.1:8081)"},
      {Flag::kToken, "token", "TOKEN", "GYPSUMTRACK_ADMIN_TOKEN",
       "admin token of the fleet"},
      {Flag::kAuthor, "author", "NAME", "GYPSUMTRACK_AUTHOR",
       "author of the change (the login name)"},
      {Flag::kJson, "json", nullptr, nullptr, "print JSON instead of text"},
      {Flag::kBase, "base", "REVISION", nullptr,
       "revision that the file is based on (the one that `rules show` wrote "
       "into it, else 0: adds rules and removes none)"},
      {Flag::kDryRun, "dry-run", nullptr, nullptr,
       "print the changes without applying them"},
      {Flag::kWait, "wait", nullptr, nullptr,
       "wait until the revision is in force on every reachable VM"},
      {Flag::kTimeout, "timeout", "SECONDS", nullptr,
       "timeout of a request, or of --wait (30)"},
      {Flag::kLimit, "limit", "COUNT", nullptr,
       "number of changes to show (50)"},
      {Flag::kOrganisation, "org", "NAME", nullptr, "organisation of the key"},
      {Flag::kLabel, "label", "NAME", nullptr, "name of the key"},
      {Flag::kKey, "key", "KEY", nullptr,
       "the key itself; - reads it from standard input"},
      {Flag::kHtml, "html", nullptr, nullptr, "print an HTML page with charts"},
      {Flag::kAvailability, "availability", "PART", nullptr,
       "objective: fraction of requests within the rate that are served "
       "(0.999)"},
      {Flag::kLatency, "latency", "PART", nullptr,
       "objective: fraction of responses that start in time (0.95)"},
      {Flag::kLatencyMs, "latency-ms", "MS", nullptr,
       "latest start of a response that is in time (780)"},
      {Flag::kBatchDue, "batch-due", "PART", nullptr,
       "objective: fraction of batch items that finish by their due time "
       "(0.99)"},
      {Flag::kHelp, "help", nullptr, nullptr, "print this help"},
      {Flag::kVersion, "version", nullptr, nullptr, "print the version"},
  };
  return specs;
}

std::string Invocation::GetText(Flag flag) const {
  const auto found = this->flags.find(flag);
  return found == this->flags.end() ? "" : found->second;
}

base::Outcome<std::uint64_t> Invocation::GetNumber(
    Flag flag, std::uint64_t fallback) const {
  const auto found = this->flags.find(flag);
  if (found == this->flags.end()) return fallback;
  const auto& text = found->second;
  std::uint64_t number = 0;
  const auto end = text.data() + text.size();
  const auto [stop, failure] = std::from_chars(text.data(), end, number);
  if (failure == std::errc() && stop == end) return number;
  return base::Error(base::Errc::kInvalid,
                     fmt::format("--{}: got \"{}\", expected a whole number",
                                 GetFlagSpec(flag).name, text));
}

base::Outcome<Invocation> ParseCommandLine(int argc, char** argv) {
  const auto options = MakeOptions();
  Invocation invocation;
  opterr = 0;
  while (true) {
    // With ":", getopt_long returns ':' for a missing value and '?' for an
    // unknown flag.
    const int result = getopt_long(argc, argv, ":", options.data(), nullptr);
    if (result == -1) break;
    if (result == ':') {
      const auto flag = static_cast<Flag>(optopt - kFirstOptionCode);
      return base::Error(
          base::Errc::kInvalid,
          fmt::format("--{}: got nothing, expected {}", GetFlagSpec(flag).name,
                      GetFlagSpec(flag).value_name));
    }
    if (result == '?') {
      return base::Error(
          base::Errc::kInvalid,
          fmt::format("{}: no such flag, or a value for a flag that takes "
                      "none; see --help",
                      argv[optind - 1]));
    }
    const auto flag = static_cast<Flag>(result - kFirstOptionCode);
    invocation.flags[flag] = optarg == nullptr ? "" : optarg;
    invocation.explicit_flags.push_back(flag);
  }
  for (int i = optind; i < argc; ++i) invocation.words.emplace_back(argv[i]);
  AddEnvironmentVariables(invocation);
  return invocation;
}

}  // namespace gypsumtrack::ctl
