#ifndef GYPSUMTRACK_GYPSUMCTL_SRC_FLAGS_H_
#define GYPSUMTRACK_GYPSUMCTL_SRC_FLAGS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gypsumtrack/base/outcome.h"

/// Flags and environment variables of the command line.
namespace gypsumtrack::ctl {

enum class Flag {
  kAddress,
  kToken,
  kAuthor,
  kJson,
  kBase,
  kDryRun,
  kWait,
  kTimeout,
  kLimit,
  kOrganisation,
  kLabel,
  kKey,
  kHtml,
  kAvailability,
  kLatency,
  kLatencyMs,
  kBatchDue,
  kHelp,
  kVersion,
};

struct FlagSpec {
  Flag flag;
  const char* name;
  /// What the value is, for the help; null if the flag takes none.
  const char* value;
  /// Null if there is none.
  const char* environment;
  const char* help;
};

/// All flags, in the order of the help.
const std::vector<FlagSpec>& FlagSpecs();

/// What the operator typed.
struct Invocation {
  std::vector<std::string> words;
  /// Typed flags, then environment variables of those that weren't typed.
  std::map<Flag, std::string> flags;
  /// Flags that were typed, by name.
  std::vector<Flag> typed;

  bool Has(Flag flag) const { return this->flags.count(flag) != 0; }
  /// Empty if the flag isn't set.
  std::string Text(Flag flag) const;
  /// Errors: kInvalid, naming the flag, what it got and what is allowed.
  base::Outcome<std::uint64_t> Number(Flag flag, std::uint64_t fallback) const;
};

/// Errors: kInvalid, naming the flag.
base::Outcome<Invocation> ParseCommandLine(int argc, char** argv);

}  // namespace gypsumtrack::ctl

#endif  // GYPSUMTRACK_GYPSUMCTL_SRC_FLAGS_H_
