#include "daemon_process.h"

#include <fcntl.h>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace gypsumtrack::testing {
namespace {

constexpr int kCallersPort = 18689;
constexpr int kReadyPort = 18687;
/// Logs are in whole milliseconds of the calendar, which isn't read together
/// with the monotonic clock and may be slewed against it.
constexpr auto kClockTolerance = std::chrono::milliseconds(20);

std::string DescribeExit(int status) {
  if (WIFSIGNALED(status)) return fmt::format("signal {}", WTERMSIG(status));
  return fmt::format("exit {}", WEXITSTATUS(status));
}

}  // namespace

DaemonProcess::DaemonProcess(DaemonConfig daemon_config)
    : config(std::move(daemon_config)) {}

DaemonProcess::~DaemonProcess() { this->Kill(); }

std::string DaemonProcess::caller_address() const {
  return fmt::format("{}:{}", this->config.ip, kCallersPort);
}

std::string DaemonProcess::ready_address() const {
  return fmt::format("{}:{}", this->config.ip, kReadyPort);
}

std::string DaemonProcess::SettingsPath() const {
  return fmt::format("{}/{}.conf", this->config.directory, this->config.name);
}

void DaemonProcess::WriteSettings() const {
  std::ofstream out(this->SettingsPath());
  out << fmt::format(
      "node={}\nzone={}\nregion={}\nip={}\nlisten.front={}\nlisten.ready={}\n"
      "portRange=17360,17375\nzones.cairo=delta\nzones.alex=delta\n"
      "zones.aswan=upper\nplatform.addr={}\nplatform.rowBytes=65536\n"
      "bounds.revokeMs=5000\nbounds.applyMs=2500\nbounds.graceS=4\n"
      "bounds.cancelMs=3000\nbounds.quotaExcess=0.1\nbounds.quotaSlack=20\n",
      this->config.name, this->config.domain, this->config.region,
      this->config.ip, this->caller_address(), this->ready_address(),
      this->config.store_address);
  out << this->config.further_settings;
}

void DaemonProcess::Start() {
  this->WriteSettings();
  const auto output =
      fmt::format("{}/{}.log", this->config.directory, this->config.name);
  const auto variable = "GYPSUMTRACK_BOOT=" + this->SettingsPath();
  auto program = std::exchange(this->config.first_program, "");
  if (program.empty()) program = this->config.program;
  std::array<char*, 2> arguments{program.data(), nullptr};
  std::array<char*, 2> environment{const_cast<char*>(variable.c_str()),
                                   nullptr};
  posix_spawn_file_actions_t files{};
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, output.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  // Sockets that the daemon inherited would stay open when they are closed
  // here.
  posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
  const int spawn_error =
      posix_spawn(&this->pid, program.c_str(), &files, nullptr,
                  arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&files);
  if (spawn_error != 0) {
    throw std::runtime_error("failed to start " + program);
  }
}

void DaemonProcess::Signal(int number) const {
  if (this->running()) kill(this->pid, number);
}

void DaemonProcess::Kill() {
  if (!this->running()) return;
  kill(this->pid, SIGKILL);
  waitpid(this->pid, nullptr, 0);
  this->pid = 0;
}

std::string DaemonProcess::ReapExited() {
  int status = 0;
  if (!this->running() || waitpid(this->pid, &status, WNOHANG) != this->pid) {
    return {};
  }
  this->pid = 0;
  return DescribeExit(status);
}

std::optional<std::string> FindSender(const std::string& directory,
                                      const std::string& id,
                                      base::WallTime sent_by) {
  const auto at = sent_by + kClockTolerance;
  // Each line starts with its time, in a form that sorts by time.
  const auto limit =
      fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                  fmt::gmtime(std::chrono::system_clock::to_time_t(at)),
                  at.time_since_epoch().count() % 1000);
  const auto item = fmt::format(" item={} ", id);
  const auto request = fmt::format("event=sent request={} ", id);
  std::optional<std::string> sender;
  std::string last;
  for (const auto& file : std::filesystem::directory_iterator(directory)) {
    if (file.path().extension() != ".log") continue;
    std::ifstream in(file.path());
    std::string line;
    while (std::getline(in, line)) {
      const bool is_item = line.find("event=item_sent ") != std::string::npos &&
                           line.find(item) != std::string::npos;
      const bool is_request = line.find(request) != std::string::npos;
      if (!is_item && !is_request) continue;
      const auto time = line.substr(0, limit.size());
      if (time > limit || time < last) continue;
      last = time;
      sender = file.path().stem().string();
    }
  }
  return sender;
}

}  // namespace gypsumtrack::testing
