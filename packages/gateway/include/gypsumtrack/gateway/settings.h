#ifndef GYPSUMTRACK_GATEWAY_SETTINGS_H_
#define GYPSUMTRACK_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumtrack/base/log.h"
#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/time.h"

/// What a daemon is told at start, by flags and environment variables.
namespace gypsumtrack::gateway {

/// Each field is described in the table of settings.cc, with unit and default.
struct Settings {
  std::string vm_name;
  base::Place place;
  /// `ip:port` for callers, operators and daemons.
  std::string listen = "127.0.0.1:8080";
  std::string admin_listen = "127.0.0.1:8081";
  std::string peer_listen = "127.0.0.1:8082";
  std::string platform_address = "127.0.0.1:9000";
  /// Shared by all daemons: signs peer messages and hashes keys.
  std::string fleet_secret;
  std::string admin_token;
  std::uint32_t threads = 4;
  base::LogLevel log_level = base::LogLevel::kInfo;
  std::uint64_t max_header_bytes = 16ULL * 1024;
  std::uint64_t max_body_bytes = 8ULL * 1024 * 1024;
  std::uint64_t max_batch_bytes = 1024ULL * 1024 * 1024;
  std::uint32_t max_connections = 4096;
  base::Duration idle_timeout = std::chrono::seconds(60);
  base::Duration request_timeout = std::chrono::seconds(120);
  /// Longest time an endpoint's answer may stand still.
  base::Duration progress_timeout = std::chrono::seconds(10);
  base::Duration drain_timeout = std::chrono::seconds(120);
  /// Longest wait of a request for tokens borrowed from other VMs.
  base::Duration borrow_wait = std::chrono::milliseconds(60);
};

/// What the command line asks the program to do.
enum class StartMode { kRun, kHelp, kVersion, kCheck };

struct StartRequest {
  StartMode mode = StartMode::kRun;
  Settings settings;
};

/// The value of an environment variable, none if it isn't set.
using Environment =
    std::function<std::optional<std::string>(const std::string& name)>;

/// The environment of this process. Thread-safe while nothing changes it.
Environment ProcessEnvironment();

/// Reads flags, then environment variables for what no flag set. Errors:
/// kInvalid naming the setting, what it got and what is allowed. Not
/// thread-safe: getopt_long keeps state.
base::Outcome<StartRequest> ParseSettings(int argc, char** argv,
                                          const Environment& environment);

/// The help text: each setting with flag, variable, unit and default.
/// Thread-safe.
std::string SettingsHelp();

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SETTINGS_H_
