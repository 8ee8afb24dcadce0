#ifndef GYPSUMTRACK_POLICY_ROUTER_H_
#define GYPSUMTRACK_POLICY_ROUTER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/fleet_view.h"

/// Selection of the endpoint for a request: load balancing, prefix affinity and
/// ejection of failing endpoints.
namespace gypsumtrack::policy {

/// Weights and limits of `EndpointRouter`.
struct RouterOptions {
  /// Added to the expected wait of endpoints in another failure domain of the
  /// own region, and of endpoints in another region.
  base::Duration domain_round_trip = std::chrono::milliseconds(3);
  base::Duration region_round_trip = std::chrono::milliseconds(40);
  /// Time that a request saves if its prefix is cached at the endpoint.
  base::Duration affinity_gain = std::chrono::milliseconds(20);
  /// Prefix affinity is ignored for an endpoint whose load exceeds this
  /// multiple of the mean load.
  double affinity_load_bound = 1.25;
  /// Endpoints compared per tier: own failure domain, own region, elsewhere.
  std::uint32_t candidates_per_tier = 6;
  /// Time constant, in mean service times, with which the reported load of
  /// other VMs decays to the mean of all endpoints.
  double report_decay = 0.1;
  /// Assumed mean service time before the first response.
  base::Duration initial_service_time = std::chrono::milliseconds(200);
  /// Consecutive failures after which an endpoint is ejected.
  std::uint32_t failures_to_eject = 3;
  base::Duration ejection_duration = std::chrono::seconds(10);

  // Disabled only by tests and baselines that show the effect of each
  // mechanism.

  /// Whether load reports of endpoints are used.
  bool use_reports = true;
  /// Whether the requests that this VM has outstanding are used.
  bool use_own_outstanding = true;
  /// Whether ejections are ignored while at least half of the endpoints that
  /// can serve a request are ejected.
  bool limit_ejections = true;
};

/// Load of an endpoint, as reported by the endpoint.
struct LoadReport {
  base::EndpointId endpoint;
  /// Time of the measurement on this VM's clock.
  base::Instant as_of{};
  /// Requests running or waiting, this VM's own included.
  std::uint32_t requests = 0;
  /// The part of `requests` that was waiting.
  std::uint32_t waiting = 0;
};

/// What the router needs to know of a request.
struct RouteRequest {
  base::Service service;
  base::Model model;
  /// Requests with the same key share a cached prefix. Empty for no affinity.
  std::string affinity_key;
  /// Endpoints that already failed this request, used only as a last resort.
  std::vector<base::EndpointId> avoid;
  /// Orders endpoints that this VM hasn't used yet. Should differ between
  /// requests and between VMs.
  std::uint64_t seed = 0;
};

/// How the result of an attempt counts towards the health of the endpoint.
enum class HealthSignal {
  kSuccess,  ///< the endpoint responded
  kNeutral,  ///< cancelled, past its deadline, or refused by the endpoint
  kFailure,  ///< unreachable, stalled, or an invalid or incomplete response
};

/// Chooses endpoints for the requests of one VM, from the VM's own attempts and
/// from load reports. Not thread-safe.
class EndpointRouter {
 public:
  explicit EndpointRouter(RouterOptions options);

  // Commands.

  /// Handles a new fleet view.
  void OnView(const FleetView& view);
  /// Handles a load report. Reports older than the last one are ignored.
  void OnReport(const LoadReport& report);
  /// Handles the start of an attempt at the endpoint.
  void OnAttemptStarted(const base::EndpointId& endpoint, base::Instant now);
  /// Handles the end of an attempt that took `duration`.
  /// Precondition: OnAttemptStarted was called for the attempt.
  void OnAttemptEnded(const base::EndpointId& endpoint, HealthSignal signal,
                      base::Duration duration, base::Instant now);
  /// Handles an endpoint's own report that it is draining. The endpoint gets no
  /// requests until the platform's list has shown it as draining or removed it,
  /// and then lists it as live again.
  void OnDraining(const base::EndpointId& endpoint);

  // Queries.

  /// Returns the endpoint for the request, which points into `view`, or null if
  /// no endpoint can serve the request.
  const Endpoint* Choose(const FleetView& view, const RouteRequest& request,
                         base::Instant now) const;
  /// Returns the estimated number of requests at the endpoint: this VM's own,
  /// plus those of other VMs as last reported, which decay to the mean of all
  /// endpoints as the report ages.
  double Load(const base::EndpointId& endpoint, base::Instant now) const;
  /// Returns the estimated time that a new request waits at the endpoint.
  base::Duration ExpectedWait(const Endpoint& endpoint,
                              base::Instant now) const;
  /// Returns whether the endpoint is ejected for repeated failures.
  bool IsEjected(const base::EndpointId& endpoint, base::Instant now) const;
  /// Returns the moving average of the duration of successful attempts.
  base::Duration mean_service_time() const {  // NOLINT
    return this->mean_time;
  }

 private:
  struct OutstandingChange {
    base::Instant at{};
    std::uint32_t outstanding = 0;
  };
  struct EndpointState {
    /// Requests that this VM has at the endpoint.
    std::uint32_t outstanding = 0;
    /// Changes of `outstanding` since about the last report, from which the own
    /// part of a reported load is determined.
    std::deque<OutstandingChange> changes;
    base::Instant reported_at{};
    base::Instant last_attempt_at{};
    bool reported = false;
    /// Requests of other VMs at the time of the last report.
    double others = 0;
    /// Consecutive failures.
    std::uint32_t failures = 0;
    base::Instant ejected_until{};
    bool reported_draining = false;
    /// Whether a fleet view since then had the endpoint draining or removed.
    bool seen_unavailable = false;
  };
  struct Candidate {
    const Endpoint* endpoint = nullptr;
    base::Duration cost{};
    /// Breaks ties in favour of the least recently used endpoint. As all VMs do
    /// the same, requests arrive evenly at an endpoint.
    base::Instant last_attempt_at{};

    bool IsBetterThan(const Candidate& other) const {
      if (other.endpoint == nullptr) return true;
      if (this->cost != other.cost) return this->cost < other.cost;
      return this->last_attempt_at < other.last_attempt_at;
    }
  };

  const EndpointState* Find(const base::EndpointId& endpoint) const;
  void RecordOutstanding(EndpointState& state, base::Instant now);
  bool CanServe(const Endpoint& endpoint, const RouteRequest& request) const;
  std::vector<const Endpoint*> EligibleEndpoints(const FleetView& view,
                                                 const RouteRequest& request,
                                                 base::Instant now) const;
  Candidate ChooseByLoad(const std::vector<const Endpoint*>& tier,
                         std::uint64_t seed, base::Instant now) const;
  Candidate ChooseByAffinity(const std::vector<const Endpoint*>& tier,
                             std::string_view key, base::Instant now) const;
  Candidate MakeCandidate(const Endpoint& endpoint, base::Instant now) const;
  double LoadOfOthers(const EndpointState* state, base::Instant now) const;
  base::Duration RoundTripTo(const Endpoint& endpoint,
                             const base::Location& own) const;

  RouterOptions options;
  std::unordered_map<base::EndpointId, EndpointState> states;
  base::Duration mean_time;
  /// Sum of `EndpointState::others` over all reported endpoints.
  double others_sum = 0;
  std::uint32_t reported_count = 0;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_ROUTER_H_
