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

/// The flags of all commands.
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

/// Describes a flag.
struct FlagSpec {
  Flag flag;
  /// Without the leading dashes.
  const char* name;
  /// Name of the value in the help; null if the flag takes no value.
  const char* value_name;
  /// Environment variable that sets the flag; null if there is none.
  const char* environment_variable;
  /// One line for the help.
  const char* help;
};

/// Returns all flags in the order of the help, which is that of Flag.
/// Thread-safe.
const std::vector<FlagSpec>& FlagSpecs();

/// A parsed command line.
struct Invocation {
  /// The words of the command and its positional arguments.
  std::vector<std::string> words;
  /// Values of the flags on the command line, and of environment variables for
  /// flags that aren't on it.
  std::map<Flag, std::string> flags;
  /// Flags on the command line.
  std::vector<Flag> explicit_flags;

  /// Returns whether the flag is set.
  bool Has(Flag flag) const { return this->flags.count(flag) != 0; }
  /// Returns the value of the flag; empty if it isn't set.
  std::string GetText(Flag flag) const;
  /// Returns the value of the flag as a number, `fallback` if it isn't set.
  /// Errors: kInvalid, with the flag, its value and the expected form.
  base::Outcome<std::uint64_t> GetNumber(Flag flag,
                                         std::uint64_t fallback) const;
};

/// Parses the command line and the environment variables. Not thread-safe, as
/// getopt isn't. Errors: kInvalid, with the flag.
base::Outcome<Invocation> ParseCommandLine(int argc, char** argv);

}  // namespace gypsumtrack::ctl

#endif  // GYPSUMTRACK_GYPSUMCTL_SRC_FLAGS_H_
