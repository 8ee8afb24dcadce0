#ifndef GYPSUMTRACK_GATEWAY_SERVING_SERVING_SETTINGS_H_
#define GYPSUMTRACK_GATEWAY_SERVING_SERVING_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/serving/freshness.h"

/// Settings of a serving daemon.
namespace gypsumtrack::gateway {

/// The settings that a serving daemon reads when it starts. On reload only
/// `freshness` and `stop_grace_period` take effect.
struct ServingSettings {
  std::string vm_name;
  base::Location location;
  /// Listen addresses (`ip:port`) for callers' requests, for the load
  /// balancer's readiness checks and for metrics.
  std::string callers_listen;
  std::string ready_listen;
  std::string metrics_listen;
  /// UDP listen address for gossip messages of other daemons, `ip:port`.
  std::string gossip_listen;
  /// TCP listen address for tunnels of other daemons to endpoints, `ip:port`.
  std::string tunnel_listen;
  std::string store_address;
  /// Memory and open descriptors that this VM may use; none if unknown.
  std::optional<std::uint64_t> memory_bytes;
  std::optional<std::uint32_t> max_descriptors;
  /// Processor cores that this VM may use; may be a fraction.
  double cpu_cores = 1;
  policy::FreshnessLimits freshness;
  /// How much may be admitted beyond an organisation's rate and burst in any
  /// time window: a fraction of what they allow plus a number of requests.
  double quota_excess_fraction = 0.1;
  double quota_excess_requests = 20;
  /// Largest share of a route's requests that are sent to a second endpoint
  /// because the first one is late; 0 for none.
  double second_try_share = 0;
  /// Interval at which endpoints renew their rows in the store.
  base::Duration endpoint_heartbeat_period = std::chrono::milliseconds(1200);
  /// Time from the signal to stop until the process is killed.
  base::Duration stop_grace_period = std::chrono::seconds(8);
  /// Time after the end of a batch job within which its owner must stop sending
  /// its items.
  base::Duration cancel_bound = std::chrono::seconds(3);
  /// Minimum time for which the results of a batch job are kept after it was
  /// accepted.
  base::Duration result_retention = std::chrono::seconds(120);
  /// Maximum size of an encoded row in the store.
  std::size_t max_row_bytes = std::size_t{64} * 1024;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_SERVING_SETTINGS_H_
