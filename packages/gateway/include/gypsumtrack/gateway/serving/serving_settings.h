#ifndef GYPSUMTRACK_GATEWAY_SERVING_SERVING_SETTINGS_H_
#define GYPSUMTRACK_GATEWAY_SERVING_SERVING_SETTINGS_H_

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
  /// Listen addresses, each `ip:port`: of callers' requests, of the load
  /// balancer's readiness checks and of metrics.
  std::string callers_listen;
  std::string ready_listen;
  std::string metrics_listen;
  /// UDP listen address for gossip messages of other daemons, `ip:port`.
  std::string gossip_listen;
  std::string store_address;
  policy::FreshnessLimits freshness;
  /// What may be admitted beyond an organisation's rate and burst in any
  /// window: a fraction of them, and a number of requests.
  double quota_excess_fraction = 0.1;
  double quota_excess_requests = 20;
  /// Time from the signal to stop until the process is killed.
  base::Duration stop_grace_period = std::chrono::seconds(8);
  /// The owner of a batch job must learn within this time that the job was
  /// ended.
  base::Duration cancel_bound = std::chrono::seconds(3);
  /// Time for which the results of a batch job are kept after it was accepted.
  base::Duration result_retention = std::chrono::seconds(120);
  /// Maximum size of an encoded row in the store.
  std::size_t max_row_bytes = std::size_t{64} * 1024;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_SERVING_SETTINGS_H_
