#ifndef GYPSUMTRACK_GATEWAY_SETTINGS_H_
#define GYPSUMTRACK_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gypsumtrack/base/log.h"
#include "gypsumtrack/base/names.h"
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
  std::uint64_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 8 * 1024 * 1024;
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

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SETTINGS_H_
