#ifndef GYPSUMTRACK_GYPSUMCTL_SRC_COMMAND_H_
#define GYPSUMTRACK_GYPSUMCTL_SRC_COMMAND_H_

#include <json/value.h>

#include <functional>
#include <string>
#include <vector>

#include "client.h"
#include "flags.h"
#include "gypsumtrack/base/outcome.h"

/// What all commands share.
namespace gypsumtrack::ctl {

enum class ExitCode : int {
  kDone = 0,
  kFailed = 1,
  kWrongUse = 2,
  /// Accepted, and not in force on every VM.
  kPartial = 3,
};

/// One command, such as `rules apply FILE`.
struct Command {
  /// The words that name it.
  std::vector<std::string> words;
  /// What follows them, for the help, such as FILE.
  std::vector<std::string> arguments;
  const char* help;
  /// Flags beside those that every command takes.
  std::vector<Flag> flags;
  std::function<ExitCode(const Invocation&, const Client&,
                         const std::vector<std::string>& arguments)>
      run;
};

std::vector<Command> RulesCommands();
std::vector<Command> KeysCommands();
std::vector<Command> FleetCommands();
std::vector<Command> ReportCommands();

/// Prints a sentence on standard error.
ExitCode Fail(const std::string& message);
ExitCode Fail(const base::Error& error);
/// For a command line that can't be right.
ExitCode Misuse(const std::string& message);

/// The operator's name: --author, or the login name; empty if there is none.
std::string AuthorOf(const Invocation& invocation);

/// Prints the daemon's JSON as it is with --json, else as text: a table for a
/// list of objects, a line for each value.
void Print(const Invocation& invocation, const Json::Value& value);

/// One line a domain: "cairo: 4 of 4 VMs" and whether it can be reached.
std::string FormatDomains(const Json::Value& domains);

/// Whether each reachable domain has it in force on all its VMs.
bool InForceWhereReachable(const Json::Value& domains);
bool InForceEverywhere(const Json::Value& domains);

}  // namespace gypsumtrack::ctl

#endif  // GYPSUMTRACK_GYPSUMCTL_SRC_COMMAND_H_
