#ifndef GYPSUMTRACK_GATEWAY_SERVING_SERVING_SETTINGS_H_
#define GYPSUMTRACK_GATEWAY_SERVING_SERVING_SETTINGS_H_

#include <string>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/serving/freshness.h"

/// What a serving daemon is told at start.
namespace gypsumtrack::gateway {

struct ServingSettings {
  std::string vm_name;
  base::Place location;
  /// `ip:port` each.
  std::string callers_listen;
  std::string ready_listen;
  std::string metrics_listen;
  /// UDP, for other daemons.
  std::string gossip_listen;
  std::string store_address;
  policy::FreshnessLimits freshness;
  /// What may pass beyond an organisation's rate and burst in any window.
  double quota_excess_fraction = 0.1;
  double quota_excess_requests = 20;
  /// From the request to stop until the process is killed.
  base::Duration stop_grace_period = std::chrono::seconds(8);
  /// An end of a batch job must reach its owner within this time.
  base::Duration cancel_bound = std::chrono::seconds(3);
  /// Results of a batch job are kept for so long after it was accepted.
  base::Duration result_retention = std::chrono::seconds(120);
  /// Largest row that the store takes, after its encoding.
  std::size_t max_row_bytes = std::size_t{64} * 1024;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_SERVING_SETTINGS_H_
