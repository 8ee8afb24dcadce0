#ifndef GYPSUMTRACK_GYPSUMCTL_SRC_COMMAND_H_
#define GYPSUMTRACK_GYPSUMCTL_SRC_COMMAND_H_

#include <json/value.h>

#include <functional>
#include <string>
#include <vector>

#include "client.h"
#include "flags.h"
#include "gypsumtrack/base/outcome.h"

/// The commands and the functions that they share.
namespace gypsumtrack::ctl {

/// The exit codes of gypsumctl.
enum class ExitCode : int {
  kSuccess = 0,
  /// The request failed or was refused.
  kFailed = 1,
  /// The command line is invalid.
  kUsageError = 2,
  /// Accepted, but not in force on every VM, or a report without the counts of
  /// some VMs.
  kPartial = 3,
};

/// One command, such as `rules apply FILE`.
struct Command {
  /// The words of the command's name, such as `rules` and `apply`.
  std::vector<std::string> words;
  /// Names of the positional arguments for the help, such as FILE.
  std::vector<std::string> arguments;
  /// One line for the help.
  const char* help;
  /// Flags that it accepts besides those common to all commands.
  std::vector<Flag> flags;
  /// Runs the command with as many arguments as `arguments` has names.
  std::function<ExitCode(const Invocation&, const Client&,
                         const std::vector<std::string>& arguments)>
      run;
};

/// The commands of each group, in the order of the help.
std::vector<Command> RulesCommands();
std::vector<Command> KeysCommands();
std::vector<Command> FleetCommands();
std::vector<Command> ReportCommands();

/// Prints an error message to standard error and returns kFailed.
ExitCode Fail(const std::string& message);
ExitCode Fail(const base::Error& error);
/// Like Fail, for an invalid command line; returns kUsageError.
ExitCode FailUsage(const std::string& message);

/// Returns the operator's name: that of --author, else the login name; empty if
/// neither is set.
std::string ResolveAuthor(const Invocation& invocation);

/// Prints a response of the daemon: as JSON with --json, else as text with a
/// table for each list of objects and a line for each other value.
void Print(const Invocation& invocation, const Json::Value& value);

/// Formats the status of each failure domain on a line of its own, such as
/// "cairo: in force in 4 of 4 VMs" or "cairo: unreachable (4 VMs)".
std::string FormatDomains(const Json::Value& domains);

/// Returns whether the revision is in force on all VMs of the reachable failure
/// domains.
bool IsInForceOnReachableDomains(const Json::Value& domains);
/// Returns whether the revision is in force on all VMs of all failure domains;
/// false if a domain is unreachable.
bool IsInForceOnAllDomains(const Json::Value& domains);

}  // namespace gypsumtrack::ctl

#endif  // GYPSUMTRACK_GYPSUMCTL_SRC_COMMAND_H_
