#include "fleet.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

#include "names.h"

namespace review {
namespace {

/// The command of the deploy file.
constexpr const char* kProgram = "target/build/bin/gypsumtrackd";
constexpr milliseconds kSupervisePeriod(20);
/// "A process that exits or is killed is restarted after a short delay".
constexpr milliseconds kRestartDelay(500);
constexpr int kFrontPort = 18689;
constexpr int kReadyPort = 18687;

struct Place {
  const char* domain;
  const char* region;
};
constexpr std::array<Place, 3> kPlaces{
    {{"tartu-a", "tartu"}, {"tartu-b", "tartu"}, {"tallinn-a", "tallinn"}}};

/// The memory of a process in KB; 0 if it has ended.
std::size_t ResidentKb(pid_t process) {
  std::ifstream status(fmt::format("/proc/{}/status", process));
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:"))
      return std::stoul(line.substr(line.find_first_of("0123456789")));
  }
  return 0;
}

std::string Variable(const char* name) {
  const char* value = std::getenv(name);
  return fmt::format("{}={}", name, value == nullptr ? "" : value);
}

}  // namespace

Fleet::Fleet(Options fleet_options, Store& platform_store, Record& play_record)
    : options(std::move(fleet_options)),
      store(platform_store),
      record(play_record) {
  const auto process = static_cast<int>(getpid());
  for (std::size_t i = 0; i < this->options.machines; ++i) {
    Machine machine;
    machine.name = fmt::format("edge-{}", i + 1);
    machine.ip = fmt::format("127.{}.{}.{}", process / 250 % 200 + 20,
                             process % 250 + 1, i + 1);
    machine.domain = kPlaces[i % kPlaces.size()].domain;
    machine.region = kPlaces[i % kPlaces.size()].region;
    this->machines.push_back(machine);
  }
  for (auto& machine : this->machines) this->Start(machine);
  this->supervisor = std::thread([this] { this->Supervise(); });
}

Fleet::~Fleet() {
  this->stopped = true;
  this->supervisor.join();
  for (const auto& machine : this->machines) {
    if (machine.pid == 0) continue;
    kill(machine.pid, SIGKILL);
    waitpid(machine.pid, nullptr, 0);
  }
}

std::string Fleet::FrontAddress(std::size_t machine) const {
  return fmt::format("{}:{}", this->machines[machine].ip, kFrontPort);
}

std::string Fleet::ReadyAddress(std::size_t machine) const {
  return fmt::format("{}:{}", this->machines[machine].ip, kReadyPort);
}

bool Fleet::WaitReady(milliseconds timeout) const {
  const auto until = Clock::now() + timeout;
  std::size_t ready = 0;
  while (ready < this->machines.size() && Clock::now() < until) {
    const auto address = this->ReadyAddress(ready);
    const auto reply = Call(address, "GET", Name("path.ready"),
                            {{"Host", address}}, "", milliseconds(500));
    if (reply.status == 200) {
      ++ready;
    } else {
      std::this_thread::sleep_for(milliseconds(100));
    }
  }
  return ready == this->machines.size();
}

void Fleet::Signal(std::size_t machine, int number) {
  const std::lock_guard lock(this->mutex);
  auto& signalled = this->machines[machine];
  if (signalled.pid == 0) return;
  signalled.is_signalled = number == SIGKILL || number == SIGTERM;
  kill(signalled.pid, number);
}

int Fleet::Ends(std::size_t machine) const {
  const std::lock_guard lock(this->mutex);
  return this->machines[machine].ends;
}

std::size_t Fleet::PeakMb(std::size_t machine) const {
  const std::lock_guard lock(this->mutex);
  return this->machines[machine].peak_mb;
}

void Fleet::Supervise() {
  while (!this->stopped) {
    {
      const std::lock_guard lock(this->mutex);
      for (auto& machine : this->machines) this->Check(machine);
    }
    std::this_thread::sleep_for(kSupervisePeriod);
  }
}

void Fleet::Check(Machine& machine) {
  if (machine.pid == 0) {
    if (Clock::now() >= machine.start_at) this->Start(machine);
    return;
  }
  const auto mb = ResidentKb(machine.pid) / 1024;
  machine.peak_mb = std::max(machine.peak_mb, mb);
  const bool is_over = mb > this->options.memory_mb;
  if (is_over) kill(machine.pid, SIGKILL);
  int status = 0;
  if (waitpid(machine.pid, &status, is_over ? 0 : WNOHANG) != machine.pid)
    return;
  machine.pid = 0;
  machine.start_at = Clock::now() + kRestartDelay;
  if (!machine.is_signalled) ++machine.ends;
  const auto cause =
      is_over ? fmt::format("{} MB of {}", mb, this->options.memory_mb)
      : machine.is_signalled ? std::string("signalled by the play")
      : WIFSIGNALED(status)  ? fmt::format("signal {}", WTERMSIG(status))
                             : fmt::format("exit {}", WEXITSTATUS(status));
  this->record.Line(fmt::format("process of {} ended: {}; {} by itself so far",
                                machine.name, cause, machine.ends));
  machine.is_signalled = false;
}

void Fleet::Start(Machine& machine) {
  const auto settings =
      fmt::format("{}/{}.conf", this->options.directory, machine.name);
  std::ofstream(settings) << Fill(
      ReadFile("review/lib-2/settings.conf"),
      {{"NAME", machine.name},
       {"IP", machine.ip},
       {"DOMAIN", machine.domain},
       {"REGION", machine.region},
       {"BOOTSTRAP", machine.is_first_start ? "true" : "false"},
       {"MEMORY", std::to_string(this->options.memory_mb)},
       {"STORE", this->store.address()}});
  machine.is_first_start = false;
  const auto log =
      fmt::format("{}/{}.log", this->options.directory, machine.name);
  std::array<std::string, 4> variables{
      fmt::format("{}={}", Name("settings.variable"), settings),
      Variable("PATH"), Variable("HOME"), Variable("LANG")};
  std::array<char*, 5> environment{variables[0].data(), variables[1].data(),
                                   variables[2].data(), variables[3].data(),
                                   nullptr};
  std::string program = kProgram;
  std::array<char*, 2> arguments{program.data(), nullptr};
  posix_spawn_file_actions_t files{};
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
  const int error = posix_spawn(&machine.pid, kProgram, &files, nullptr,
                                arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&files);
  if (error != 0) throw std::runtime_error("the daemon doesn't start");
  this->record.Line(fmt::format("process of {} started", machine.name));
}

}  // namespace review
