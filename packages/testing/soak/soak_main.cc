#include <fmt/format.h>
#include <getopt.h>
#include <unistd.h>

#include <cstdlib>
#include <exception>
#include <filesystem>
#include <string>

#include "soak_fixture.h"

/// Runs seeds of the soak test and prints the violations of its invariants.
namespace gypsumtrack::testing {
namespace {

constexpr int kExitViolations = 1;
constexpr int kExitUsage = 2;
constexpr const char* kUsage =
    "usage: gypsumtrack_soak --program GYPSUMTRACKD --directory DIR\n"
    "         [--old-program GYPSUMTRACKD]\n"
    "         [--first SEED] [--seeds COUNT] [--seconds SECONDS]\n"
    "         [--daemons COUNT] [--endpoints COUNT] [--callers COUNT]\n"
    "         [--cuts]\n";

/// The parsed command line.
struct CommandLine {
  SoakOptions options;
  std::uint64_t seeds = 1;
};

/// Parses the command line. Returns false if it is invalid.
bool ParseCommandLine(int argc, char** argv, CommandLine& command_line) {
  const option flags[] = {{"program", required_argument, nullptr, 'p'},
                          {"old-program", required_argument, nullptr, 'r'},
                          {"directory", required_argument, nullptr, 'o'},
                          {"first", required_argument, nullptr, 'f'},
                          {"seeds", required_argument, nullptr, 'n'},
                          {"seconds", required_argument, nullptr, 's'},
                          {"daemons", required_argument, nullptr, 'd'},
                          {"endpoints", required_argument, nullptr, 'e'},
                          {"callers", required_argument, nullptr, 'c'},
                          {"cuts", no_argument, nullptr, 'x'},
                          {nullptr, 0, nullptr, 0}};
  auto& options = command_line.options;
  int flag = 0;
  while ((flag = getopt_long(argc, argv, "", flags, nullptr)) != -1) {
    const std::string text = optarg == nullptr ? "" : optarg;
    const auto number = std::strtoull(text.c_str(), nullptr, 10);
    switch (flag) {
      case 'p':
        options.program = text;
        break;
      case 'r':
        options.old_program = std::filesystem::absolute(text).string();
        break;
      case 'o':
        options.directory = text;
        break;
      case 'f':
        options.seed = number;
        break;
      case 'n':
        command_line.seeds = number;
        break;
      case 's':
        options.fault_duration = std::chrono::seconds(number);
        break;
      case 'd':
        options.daemons = number;
        break;
      case 'e':
        options.endpoints = number;
        break;
      case 'c':
        options.callers = number;
        break;
      case 'x':
        options.cuts = true;
        break;
      default:
        return false;
    }
  }
  return !options.program.empty() && !options.directory.empty() &&
         options.daemons > 0 && options.endpoints > 0 && optind == argc;
}

bool RunSeed(SoakOptions options) {
  options.directory = fmt::format("{}/{}", options.directory, options.seed);
  std::filesystem::create_directories(options.directory);
  SoakFixture fixture(options);
  const auto violations = fixture.Run();
  for (const auto& violation : violations) fmt::print("BROKEN {}\n", violation);
  if (!violations.empty()) fmt::print("logs: {}\n", options.directory);
  std::fflush(stdout);
  if (violations.empty()) std::filesystem::remove_all(options.directory);
  return violations.empty();
}

int Main(int argc, char** argv) {
  CommandLine command_line;
  if (!ParseCommandLine(argc, argv, command_line)) {
    fmt::print(stderr, "{}", kUsage);
    return kExitUsage;
  }
  // Runs a copy, since a build may replace the program during the soak.
  const auto directory =
      std::filesystem::absolute(command_line.options.directory);
  std::filesystem::create_directories(directory);
  const auto program = directory / fmt::format("daemon-{}", getpid());
  std::filesystem::copy_file(command_line.options.program, program);
  command_line.options.program = program.string();
  command_line.options.directory = directory.string();
  bool all_passed = true;
  for (std::uint64_t i = 0; i < command_line.seeds; ++i) {
    all_passed = RunSeed(command_line.options) && all_passed;
    ++command_line.options.seed;
  }
  std::filesystem::remove(program);
  return all_passed ? 0 : kExitViolations;
}

}  // namespace
}  // namespace gypsumtrack::testing

int main(int argc, char** argv) {
  try {
    return gypsumtrack::testing::Main(argc, argv);
  } catch (const std::exception& error) {
    // Catching guarantees that the stack is unwound, which kills the daemons.
    fmt::print(stderr, "gypsumtrack_soak: {}\n", error.what());
    return gypsumtrack::testing::kExitViolations;
  }
}
