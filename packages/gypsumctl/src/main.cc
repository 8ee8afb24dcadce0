#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <vector>

#include "command.h"
#include "flags.h"

namespace gypsumtrack::ctl {
namespace {

constexpr const char* kDefaultAddress = "127.0.0.1:8081";
constexpr std::uint64_t kDefaultTimeoutSeconds = 30;
constexpr Flag kCommonFlags[] = {Flag::kAddress, Flag::kToken, Flag::kJson,
                                 Flag::kTimeout, Flag::kHelp,  Flag::kVersion};

std::vector<Command> AllCommands() {
  std::vector<Command> commands;
  for (const auto& group :
       {RulesCommands(), KeysCommands(), FleetCommands(), ReportCommands()}) {
    commands.insert(commands.end(), group.begin(), group.end());
  }
  return commands;
}

std::string FormatUsage(const Command& command) {
  std::string text;
  for (const auto& word : command.words) text += word + " ";
  for (const auto& argument : command.arguments) text += argument + " ";
  text.pop_back();
  return text;
}

void PrintHelp(const std::vector<Command>& commands) {
  fmt::print("usage: gypsumctl COMMAND [FLAG...]\n\nCommands:\n");
  for (const auto& command : commands) {
    fmt::print("  {:<22} {}\n", FormatUsage(command), command.help);
  }
  fmt::print("\nFlags:\n");
  for (const auto& spec : FlagSpecs()) {
    const auto value =
        spec.value_name == nullptr ? "" : fmt::format(" {}", spec.value_name);
    fmt::print("  {:<22} {}", fmt::format("--{}{}", spec.name, value),
               spec.help);
    if (spec.environment_variable != nullptr)
      fmt::print(" [{}]", spec.environment_variable);
    fmt::print("\n");
  }
  fmt::print(
      "\nExit codes: 0 success, 1 failed or refused, 2 invalid command line, "
      "3 accepted but not in force everywhere, or counts of VMs missing.\n");
}

bool Matches(const Command& command, const std::vector<std::string>& words) {
  return words.size() >= command.words.size() &&
         std::equal(command.words.begin(), command.words.end(), words.begin());
}

/// Returns the name of a flag on the command line that the command doesn't
/// accept; null if it accepts all.
const char* FindUnsupportedFlag(const Command& command,
                                const Invocation& invocation) {
  for (const auto flag : invocation.explicit_flags) {
    const auto is_same = [&](Flag other) { return other == flag; };
    if (std::any_of(std::begin(kCommonFlags), std::end(kCommonFlags),
                    is_same) ||
        std::any_of(command.flags.begin(), command.flags.end(), is_same)) {
      continue;
    }
    return FlagSpecs()[static_cast<std::size_t>(flag)].name;
  }
  return nullptr;
}

ExitCode RunCommand(const Command& command, const Invocation& invocation) {
  if (const char* unsupported = FindUnsupportedFlag(command, invocation)) {
    return FailUsage(fmt::format("--{}: not a flag of `{}`; see --help",
                                 unsupported, FormatUsage(command)));
  }
  const auto first_argument = invocation.words.begin() +
                              static_cast<std::ptrdiff_t>(command.words.size());
  const std::vector<std::string> arguments(first_argument,
                                           invocation.words.end());
  if (arguments.size() != command.arguments.size()) {
    return FailUsage(fmt::format("`{}`: got {} arguments, expected {}",
                                 FormatUsage(command), arguments.size(),
                                 command.arguments.size()));
  }
  const auto seconds =
      invocation.GetNumber(Flag::kTimeout, kDefaultTimeoutSeconds);
  if (!seconds.ok()) return FailUsage(seconds.error().message);
  Client client;
  client.address = invocation.GetText(Flag::kAddress);
  if (client.address.empty()) client.address = kDefaultAddress;
  client.token = invocation.GetText(Flag::kToken);
  client.timeout = std::chrono::seconds(*seconds);
  return command.run(invocation, client, arguments);
}

ExitCode Run(int argc, char** argv) {
  const auto invocation = ParseCommandLine(argc, argv);
  if (!invocation.ok()) return FailUsage(invocation.error().message);
  const auto commands = AllCommands();
  if (invocation->Has(Flag::kVersion)) {
    fmt::print("gypsumctl {}\n", GYPSUMTRACK_VERSION);
    return ExitCode::kSuccess;
  }
  if (invocation->Has(Flag::kHelp)) {
    PrintHelp(commands);
    return ExitCode::kSuccess;
  }
  const auto command = std::find_if(
      commands.begin(), commands.end(), [&](const Command& candidate) {
        return Matches(candidate, invocation->words);
      });
  if (command != commands.end()) return RunCommand(*command, *invocation);
  if (invocation->words.empty()) {
    return FailUsage("got no command, expected one of those in --help");
  }
  return FailUsage(
      fmt::format("got `{}`, expected one of the commands in --help",
                  fmt::join(invocation->words, " ")));
}

}  // namespace
}  // namespace gypsumtrack::ctl

int main(int argc, char** argv) {
  return static_cast<int>(gypsumtrack::ctl::Run(argc, argv));
}
