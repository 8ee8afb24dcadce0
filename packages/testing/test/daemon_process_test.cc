#include "../soak/daemon_process.h"

#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

namespace gypsumtrack::testing {
namespace {

/// A directory with the logs of two daemons, removed at the end.
struct LogDirectory {
  std::filesystem::path path =
      std::filesystem::temp_directory_path() / "gypsumtrack-sender-test";

  LogDirectory() {
    std::filesystem::create_directories(this->path);
    std::ofstream(this->path / "vm-0.log")
        << "time=2026-12-04T10:00:00.100Z event=item_sent job=j item=i "
           "endpoint=e\n"
           "time=2026-12-04T10:00:00.400Z event=item_ended job=j item=i "
           "outcome=x\n"
           "time=2026-12-04T10:00:00.500Z event=item_sent job=j item=i "
           "endpoint=e\n";
    std::ofstream(this->path / "vm-1.log")
        << "time=2026-12-04T10:00:00.300Z event=item_sent job=j item=i "
           "endpoint=e\n"
           "time=2026-12-04T10:00:00.350Z event=item_sent job=j item=i2 "
           "endpoint=e\n"
           "time=2026-12-04T10:00:00.360Z event=sent request=r "
           "endpoint=e\n"
           "time=2026-12-04T10:00:00.370Z event=send_ended request=r2 "
           "endpoint=e\n";
  }
  ~LogDirectory() { std::filesystem::remove_all(this->path); }
  LogDirectory(const LogDirectory&) = delete;
  LogDirectory& operator=(const LogDirectory&) = delete;

  std::optional<std::string> Find(int millis,
                                  const std::string& id = "i") const {
    const base::WallTime second{
        std::chrono::sys_days(std::chrono::year(2026) / 12 / 4) +
        std::chrono::hours(10)};
    return FindSender(this->path.string(), id,
                      second + std::chrono::milliseconds(millis));
  }
};

TEST_CASE("the sender of a request is the daemon that made an attempt") {
  const LogDirectory logs;
  CHECK(logs.Find(2000, "r") == "vm-1");
  CHECK(logs.Find(2000, "r2") == std::nullopt);
}

TEST_CASE("the sender of an item is the daemon that started it last") {
  const LogDirectory logs;
  CHECK(logs.Find(79) == std::nullopt);
  CHECK(logs.Find(80) == "vm-0");
  CHECK(logs.Find(279) == "vm-0");
  CHECK(logs.Find(280) == "vm-1");
  CHECK(logs.Find(479) == "vm-1");
  CHECK(logs.Find(2000) == "vm-0");
}

/// A program that prints the numbers of its open files, removed at the end.
struct ListingProgram {
  std::filesystem::path path =
      std::filesystem::temp_directory_path() / "gypsumtrack-process-test";

  ListingProgram() {
    std::filesystem::create_directories(this->path);
    std::ofstream(this->path / "list") << "#!/bin/sh\nls /proc/self/fd\n";
    std::filesystem::permissions(this->path / "list",
                                 std::filesystem::perms::owner_all);
  }
  ~ListingProgram() { std::filesystem::remove_all(this->path); }
  ListingProgram(const ListingProgram&) = delete;
  ListingProgram& operator=(const ListingProgram&) = delete;

  /// Runs the program and returns what it prints.
  std::string Run() const {
    DaemonConfig config;
    config.program = (this->path / "list").string();
    config.name = "vm-0";
    config.directory = this->path.string();
    DaemonProcess process(config);
    process.Start();
    while (process.running()) {
      process.ReapExited();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    std::ifstream log(this->path / "vm-0.log");
    return {std::istreambuf_iterator<char>(log), {}};
  }
};

// A restarted daemon held connections and ports that the soak had closed.
TEST_CASE("a daemon inherits no open files but its output") {
  const ListingProgram program;
  constexpr int kNumber = 200;
  const int number = fcntl(STDOUT_FILENO, F_DUPFD, kNumber);
  REQUIRE(number >= kNumber);
  const auto files = program.Run();
  close(number);
  CHECK(files.find("0\n1\n2\n") == 0);
  CHECK(files.find(std::to_string(number)) == std::string::npos);
}

}  // namespace
}  // namespace gypsumtrack::testing
