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

/// Settings of a daemon, read from flags and environment variables.
namespace gypsumtrack::gateway {

/// Settings of a daemon. The tables in settings.cc describe each with unit,
/// default and allowed values.
struct Settings {
  std::string vm_name;
  base::Location location;
  /// Addresses are `ip:port`; this one is for callers.
  std::string listen = "127.0.0.1:8080";
  /// For operators.
  std::string admin_listen = "127.0.0.1:8081";
  /// For other daemons.
  std::string peer_listen = "127.0.0.1:8082";
  std::string platform_address = "127.0.0.1:9000";
  /// Shared by all daemons; keys the signatures of peer messages and the hashes
  /// of callers' keys.
  std::string fleet_secret;
  /// Bearer token of operators.
  std::string admin_token;
  std::uint32_t threads = 4;
  base::LogLevel log_level = base::LogLevel::kInfo;
  std::uint64_t max_header_bytes = 16ULL * 1024;
  std::uint64_t max_body_bytes = 8ULL * 1024 * 1024;
  std::uint64_t max_batch_bytes = 1024ULL * 1024 * 1024;
  std::uint32_t max_connections = 4096;
  base::Duration idle_timeout = std::chrono::seconds(60);
  base::Duration request_timeout = std::chrono::seconds(120);
  /// Longest time without progress of an endpoint's response.
  base::Duration progress_timeout = std::chrono::seconds(10);
  /// Longest time that open requests get at shutdown.
  base::Duration drain_timeout = std::chrono::seconds(120);
  /// Longest time that a request waits for tokens borrowed from other VMs.
  base::Duration borrow_wait = std::chrono::milliseconds(60);
};

/// What the command line asks the program to do.
enum class StartMode { kRun, kHelp, kVersion, kCheck };

/// Result of parsing the command line.
struct StartRequest {
  StartMode mode = StartMode::kRun;
  Settings settings;
};

/// Returns the value of an environment variable; empty if it isn't set.
using Environment =
    std::function<std::optional<std::string>(const std::string& name)>;

/// Returns the environment of this process. Thread-safe while no thread
/// modifies the environment.
Environment ProcessEnvironment();

/// Parses flags and environment variables; flags take precedence. Errors:
/// kInvalid, which names the setting, its value and the allowed values. Not
/// thread-safe because getopt_long keeps state.
base::Outcome<StartRequest> ParseSettings(int argc, char** argv,
                                          const Environment& environment);

/// Returns the help text: each setting with flag, variable, unit and default.
/// Thread-safe.
std::string SettingsHelp();

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SETTINGS_H_
