#ifndef GYPSUMTRACK_TESTING_SOAK_DAEMON_PROCESS_H_
#define GYPSUMTRACK_TESTING_SOAK_DAEMON_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>

#include "gypsumtrack/base/time.h"

/// A daemon that the soak test runs as a child process.
namespace gypsumtrack::testing {

/// The program and settings of one daemon.
struct DaemonConfig {
  std::string program;
  /// The program that runs until the first restart; empty if `program` does.
  std::string first_program;
  std::string name;
  std::string domain;
  std::string region;
  /// A loopback address that no other daemon uses.
  std::string ip;
  std::string store_address;
  /// Holds the settings file and the output of the daemon.
  std::string directory;
  /// Further lines of the settings file.
  std::string further_settings = {};
};

/// Starts, signals and reaps one daemon process. Not thread-safe. The
/// destructor kills the process and waits for it.
class DaemonProcess {
 public:
  /// Starts nothing yet.
  explicit DaemonProcess(DaemonConfig config);
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  // Commands.

  /// Writes the settings file and starts the process. Throws
  /// std::runtime_error if it cannot be spawned. Precondition: not running.
  void Start();
  /// Sends a signal to the process; does nothing if it is not running.
  void Signal(int number) const;
  /// Writes the settings file, replacing an existing one.
  void WriteSettings() const;
  /// Sends SIGKILL and waits for the process to exit; does nothing if it is
  /// not running.
  void Kill();
  /// Reaps the process if it has exited and returns the signal or exit code,
  /// or "" if it is still running or was reaped before. Does not block.
  std::string ReapExited();

  // Queries.

  /// Whether the process was started and not yet reaped.
  bool running() const { return this->pid > 0; }  // NOLINT
  /// The process id; 0 if it isn't running.
  pid_t process_id() const { return this->pid; }  // NOLINT
  /// The name of the daemon, as in its settings.
  const std::string& name() const { return this->config.name; }  // NOLINT
  /// `ip:port` that accepts requests of callers.
  std::string caller_address() const;  // NOLINT
  /// `ip:port` of the readiness endpoint.
  std::string ready_address() const;  // NOLINT

 private:
  /// The path of the settings file.
  std::string SettingsPath() const;

  DaemonConfig config;
  pid_t pid = 0;
};

/// Returns the name of the daemon whose log names the last attempt to send the
/// request or item at or before `sent_by`, within 20 ms, or nullopt if there is
/// none. `directory` holds the logs.
std::optional<std::string> FindSender(const std::string& directory,
                                      const std::string& id,
                                      base::WallTime sent_by);

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_SOAK_DAEMON_PROCESS_H_
