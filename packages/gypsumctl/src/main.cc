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

std::string Usage(const Command& command) {
  std::string text;
  for (const auto& word : command.words) text += word + " ";
  for (const auto& argument : command.arguments) text += argument + " ";
  text.pop_back();
  return text;
}

void PrintHelp(const std::vector<Command>& commands) {
  fmt::print("usage: gypsumctl COMMAND [FLAG...]\n\nCommands:\n");
  for (const auto& command : commands) {
    fmt::print("  {:<22} {}\n", Usage(command), command.help);
  }
  fmt::print("\nFlags:\n");
  for (const auto& spec : FlagSpecs()) {
    const auto value =
        spec.value == nullptr ? "" : fmt::format(" {}", spec.value);
    fmt::print("  {:<22} {}", fmt::format("--{}{}", spec.name, value),
               spec.help);
    if (spec.environment != nullptr) fmt::print(" [{}]", spec.environment);
    fmt::print("\n");
  }
  fmt::print(
      "\nExit: 0 done, 1 failed or refused, 2 wrong use, 3 accepted but not "
      "in force everywhere.\n");
}

bool Matches(const Command& command, const std::vector<std::string>& words) {
  return words.size() >= command.words.size() &&
         std::equal(command.words.begin(), command.words.end(), words.begin());
}

/// The name of a typed flag that the command doesn't take; null if all fit.
const char* FindStrayFlag(const Command& command,
                          const Invocation& invocation) {
  for (const auto flag : invocation.typed) {
    const auto is_it = [&](Flag other) { return other == flag; };
    if (std::any_of(std::begin(kCommonFlags), std::end(kCommonFlags), is_it) ||
        std::any_of(command.flags.begin(), command.flags.end(), is_it)) {
      continue;
    }
    return FlagSpecs()[static_cast<std::size_t>(flag)].name;
  }
  return nullptr;
}

ExitCode RunCommand(const Command& command, const Invocation& invocation) {
  if (const char* stray = FindStrayFlag(command, invocation)) {
    return Misuse(fmt::format("--{}: not a flag of `{}`; see --help", stray,
                              Usage(command)));
  }
  const auto first = invocation.words.begin() +
                     static_cast<std::ptrdiff_t>(command.words.size());
  const std::vector<std::string> arguments(first, invocation.words.end());
  if (arguments.size() != command.arguments.size()) {
    return Misuse(fmt::format("`{}`: got {} arguments, expected {}",
                              Usage(command), arguments.size(),
                              command.arguments.size()));
  }
  const auto seconds =
      invocation.Number(Flag::kTimeout, kDefaultTimeoutSeconds);
  if (!seconds.ok()) return Misuse(seconds.error().message);
  Client client;
  client.address = invocation.Text(Flag::kAddress);
  if (client.address.empty()) client.address = kDefaultAddress;
  client.token = invocation.Text(Flag::kToken);
  client.timeout = std::chrono::seconds(*seconds);
  return command.run(invocation, client, arguments);
}

ExitCode Run(int argc, char** argv) {
  const auto invocation = ParseCommandLine(argc, argv);
  if (!invocation.ok()) return Misuse(invocation.error().message);
  const auto commands = AllCommands();
  if (invocation->Has(Flag::kVersion)) {
    fmt::print("gypsumctl {}\n", GYPSUMTRACK_VERSION);
    return ExitCode::kDone;
  }
  if (invocation->Has(Flag::kHelp)) {
    PrintHelp(commands);
    return ExitCode::kDone;
  }
  const auto command = std::find_if(
      commands.begin(), commands.end(), [&](const Command& candidate) {
        return Matches(candidate, invocation->words);
      });
  if (command != commands.end()) return RunCommand(*command, *invocation);
  if (invocation->words.empty()) {
    return Misuse("got no command, expected one of those in --help");
  }
  return Misuse(fmt::format("got `{}`, expected one of the commands in --help",
                            fmt::join(invocation->words, " ")));
}

}  // namespace
}  // namespace gypsumtrack::ctl

int main(int argc, char** argv) {
  return static_cast<int>(gypsumtrack::ctl::Run(argc, argv));
}
