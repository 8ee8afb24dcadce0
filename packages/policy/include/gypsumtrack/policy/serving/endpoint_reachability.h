#ifndef GYPSUMTRACK_POLICY_SERVING_ENDPOINT_REACHABILITY_H_
#define GYPSUMTRACK_POLICY_SERVING_ENDPOINT_REACHABILITY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"

/// Decides whether this daemon is cut from all endpoints, as opposed to some
/// endpoints being down: by the connections that it opens for requests, and by
/// probes, which open a connection and close it again.
namespace gypsumtrack::policy {

/// An endpoint that can be probed.
struct ProbeTarget {
  base::EndpointId endpoint;
  base::FailureDomain domain;
  base::Service service;
};

/// Timeouts and intervals of the decision.
struct ReachabilityOptions {
  /// With calls in progress, all endpoints being silent for this long is
  /// suspicious. Far longer than the usual time to a first event.
  base::Duration max_silence = std::chrono::milliseconds(300);
  /// Without any sign of an endpoint for this long, one is probed.
  base::Duration max_evidence_age = std::chrono::milliseconds(1000);
  /// Time after which a connection that isn't open yet has failed.
  base::Duration connect_timeout = std::chrono::milliseconds(400);
  /// Interval of probes while the daemon is cut.
  base::Duration recovery_interval = std::chrono::milliseconds(300);
  /// Shortest interval between two rounds of probes on suspicion.
  base::Duration round_interval = std::chrono::milliseconds(500);
  /// Time for which a failed connection counts.
  base::Duration failure_window = std::chrono::milliseconds(2000);
  /// Connections to this many endpoints must fail, or to all if there are
  /// fewer.
  std::size_t min_failed_endpoints = 3;
  /// A connection attempt whose end was noticed this long after its timeout
  /// shows that this process stood still, not that the endpoint did.
  base::Duration max_lag = std::chrono::milliseconds(250);
};

/// The state of one daemon's paths to endpoints. Not thread-safe.
class EndpointReachability {
 public:
  explicit EndpointReachability(ReachabilityOptions options);

  // Commands.

  /// Replaces the known endpoints.
  void SetTargets(std::vector<ProbeTarget> targets);
  /// Records that a call over a direct connection began.
  void OnCallStarted(base::Instant now);
  /// Records that such a call ended. Precondition: it was started.
  void OnCallEnded();
  /// Records that bytes of an endpoint arrived on a direct connection.
  void OnBytes(base::Instant now);
  /// Records that a direct connection closed before its response ended. It may
  /// be the first sign of a cut that resets connections.
  void OnConnectionLost(base::Instant now);
  /// Records the end of an attempt to open a direct connection, for a request
  /// or as a probe. A connection ends a cut.
  void OnConnect(const base::EndpointId& endpoint, bool connected,
                 base::Instant started_at, base::Instant now);
  /// Returns the endpoints to probe now. Must be called several times a second,
  /// and at once after a connection failed or was lost. `random` spreads the
  /// probes.
  std::vector<ProbeTarget> TakeProbes(std::uint64_t random, base::Instant now);

  // Queries.

  /// Returns whether this daemon is cut from all endpoints. Connections to
  /// endpoints of each failure domain and service have failed, and none has
  /// opened since.
  bool is_cut() const { return this->cut; }  // NOLINT
  /// Returns the time since the newest sign of an endpoint.
  base::Duration EvidenceAge(base::Instant now) const {
    return now - this->last_evidence;
  }
  /// Returns when the newest attempt that opened a direct connection began.
  base::Instant last_connected() const {  // NOLINT
    return this->last_opened;
  }
  /// Returns the number of endpoints whose connections failed lately.
  std::size_t failed_count() const { return this->failed.size(); }  // NOLINT

 private:
  bool IsSuspicious(base::Instant now) const;
  /// Returns the targets in an order that `random` decides.
  std::vector<ProbeTarget> Shuffled(std::uint64_t random) const;
  /// Returns targets of each failure domain and service, at least
  /// `min_failed_endpoints` of them if there are as many.
  std::vector<ProbeTarget> SelectRound(std::uint64_t random) const;
  /// Whether the failed endpoints are enough to conclude that all paths are
  /// cut.
  bool CoversAll() const;

  ReachabilityOptions options;
  std::vector<ProbeTarget> targets;
  /// When the newest connection to each endpoint failed, since the last that
  /// opened.
  std::map<base::EndpointId, base::Instant> failed;
  std::size_t calls = 0;
  /// When the oldest of the calls in progress may have begun.
  base::Instant calls_since{};
  /// When bytes arrived or a connection opened.
  base::Instant last_evidence{};
  /// When the newest attempt that opened a connection began.
  base::Instant last_opened{};
  /// A failed or lost connection asks for a round of probes.
  bool round_wanted = false;
  base::Instant next_round_at{};
  base::Instant next_probe_at{};
  bool cut = false;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_ENDPOINT_REACHABILITY_H_
