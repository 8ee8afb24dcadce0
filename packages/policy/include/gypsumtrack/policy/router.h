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

/// Which endpoint a request goes to.
namespace gypsumtrack::policy {

struct RouterOptions {
  /// Added to the expected wait outside the own domain and the own region.
  base::Duration domain_round_trip = std::chrono::milliseconds(3);
  base::Duration region_round_trip = std::chrono::milliseconds(40);
  /// What a request that finds its prefix cached saves.
  base::Duration affinity_gain = std::chrono::milliseconds(20);
  /// The prefix's endpoint may hold this many times the mean load.
  double affinity_load_bound = 1.25;
  /// Candidates compared in each of own domain, own region and beyond.
  std::uint32_t choices = 6;
  /// Service times after which a report of others' load says little.
  double report_memory = 0.1;
  base::Duration initial_service_time = std::chrono::milliseconds(200);
  std::uint32_t failures_to_eject = 3;
  base::Duration ejection = std::chrono::seconds(10);
  /// Off only in tests and baselines that show what the mechanism is for.
  bool use_reports = true;
  bool use_own_outstanding = true;
  bool keep_majority = true;
};

/// What an endpoint said of itself.
struct LoadReport {
  base::EndpointId endpoint;
  /// When it was so, on this VM's clock.
  base::Instant as_of{};
  /// Requests that ran or waited, this VM's own included.
  std::uint32_t requests = 0;
  /// Of these, those that waited.
  std::uint32_t waiting = 0;
};

struct RouteRequest {
  base::Service service;
  base::Model model;
  /// Requests with the same key share a cached prefix; may be empty.
  std::string affinity_key;
  /// Endpoints that failed this request; used only if there is no other.
  std::vector<base::EndpointId> avoid;
  /// Picks the candidates; differs for each request and VM.
  std::uint64_t seed = 0;
};

/// How a send ended, as far as the endpoint is to blame.
enum class HealthSignal {
  kSuccess,  ///< it answered
  kNeutral,  ///< cancelled, or refused for want of room
  kFailure,  ///< unreachable, stalled, broken or wrong
};

/// One VM's knowledge of its endpoints. Not thread-safe.
class EndpointRouter {
 public:
  explicit EndpointRouter(RouterOptions options);

  // Commands.

  void OnView(const FleetView& view);
  void OnReport(const LoadReport& report);
  void OnAttemptStarted(const base::EndpointId& endpoint, base::Instant now);
  /// Precondition: OnAttemptStarted was called for it.
  void OnAttemptEnded(const base::EndpointId& endpoint, HealthSignal end,
                      base::Duration took, base::Instant now);
  /// The endpoint said so itself. It gets nothing until the platform's list has
  /// shown it leaving or gone, and then live again.
  void OnDraining(const base::EndpointId& endpoint);

  // Queries.

  /// Null if no endpoint may be given the request.
  const Endpoint* Choose(const FleetView& view, const RouteRequest& request,
                         base::Instant now) const;
  /// Requests thought to be at the endpoint: own ones, and others' as last
  /// reported, which with age fall back to the mean of all endpoints.
  double Load(const base::EndpointId& endpoint, base::Instant now) const;
  base::Duration ExpectedWait(const Endpoint& endpoint,
                              base::Instant now) const;
  bool IsEjected(const base::EndpointId& endpoint, base::Instant now) const;
  base::Duration mean_service_time() const {
    return this->mean_time;
  }  // NOLINT

 private:
  struct OwnChange {
    base::Instant at{};
    std::uint32_t outstanding = 0;
  };
  struct EndpointState {
    std::uint32_t outstanding = 0;
    /// Back to the last report, so that others' part of it can be told.
    std::deque<OwnChange> changes;
    base::Instant reported_at{};
    base::Instant sent_at{};
    bool reported = false;
    /// Of the other VMs, at the last report.
    double others = 0;
    std::uint32_t failures = 0;
    base::Instant ejected_until{};
    bool said_leaving = false;
    bool seen_gone = false;
  };
  struct Candidate {
    const Endpoint* endpoint = nullptr;
    base::Duration cost{};
    /// Among equals, the one left alone for longest: others do the same, so
    /// that arrivals at an endpoint come evenly.
    base::Instant sent_at{};

    bool IsBetterThan(const Candidate& other) const {
      if (other.endpoint == nullptr) return true;
      if (this->cost != other.cost) return this->cost < other.cost;
      return this->sent_at < other.sent_at;
    }
  };

  const EndpointState* Find(const base::EndpointId& endpoint) const;
  void NoteChange(EndpointState& state, base::Instant now);
  bool MayTake(const Endpoint& endpoint, const RouteRequest& request) const;
  std::vector<const Endpoint*> Eligible(const FleetView& view,
                                        const RouteRequest& request,
                                        base::Instant now) const;
  Candidate Sample(const std::vector<const Endpoint*>& tier, std::uint64_t seed,
                   base::Instant now) const;
  Candidate Affine(const std::vector<const Endpoint*>& tier,
                   std::string_view key, base::Instant now) const;
  Candidate MakeCandidate(const Endpoint& endpoint, base::Instant now) const;
  double Others(const EndpointState* state, base::Instant now) const;
  base::Duration Distance(const Endpoint& endpoint,
                          const base::Place& own) const;

  RouterOptions options;
  std::unordered_map<base::EndpointId, EndpointState> states;
  base::Duration mean_time;
  /// Over all reported endpoints.
  double others_sum = 0;
  std::uint32_t others_count = 0;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_ROUTER_H_
