#ifndef GYPSUMTRACK_POLICY_SERVING_ENDPOINT_REGISTRY_H_
#define GYPSUMTRACK_POLICY_SERVING_ENDPOINT_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/serving/cold_start_pacer.h"
#include "gypsumtrack/policy/serving/rate_turns.h"
#include "gypsumtrack/policy/serving/region_limit.h"
#include "gypsumtrack/policy/serving/serving_rules.h"
#include "gypsumtrack/policy/serving/slowdown_estimate.h"

/// Chooses endpoints for requests by their known load, their recent failures,
/// what they report of themselves and the capacity that is left for batch
/// items.
namespace gypsumtrack::policy {

/// An endpoint as it describes itself.
struct EndpointEntry {
  base::EndpointId id;
  /// Differs for each start of an endpoint under the same id.
  std::uint64_t incarnation = 0;
  /// `ip:port`.
  std::string address;
  base::Location location;
  base::Service service;
  /// Version of the endpoint's software. What endpoints of two versions write
  /// doesn't fit together in one stream.
  std::string version;
  /// Number of requests that the endpoint processes concurrently.
  std::uint32_t slots = 1;
  /// Whether the endpoint is shutting down and accepts no new requests.
  bool draining = false;
  /// When the endpoint will be warm, in the past if it is; none if the entry
  /// doesn't say.
  std::optional<base::Instant> warm_at;
};

/// Kind of a request: an online request of a caller, or a batch item.
enum class WorkKind { kOnline, kBatch };

/// Number of requests in progress at an endpoint.
struct EndpointLoad {
  std::uint32_t online = 0;
  std::uint32_t batch = 0;

  std::uint32_t total() const { return this->online + this->batch; }  // NOLINT
  EndpointLoad& operator+=(const EndpointLoad& other) {
    this->online += other.online;
    this->batch += other.batch;
    return *this;
  }
  /// Precondition: neither count of `other` is greater than the count here.
  EndpointLoad& operator-=(const EndpointLoad& other) {
    this->online -= other.online;
    this->batch -= other.batch;
    return *this;
  }
  auto operator<=>(const EndpointLoad&) const = default;
};

/// Endpoints of one software version.
struct VersionCount {
  /// Known ones, draining and leaving ones included.
  std::uint32_t known = 0;
  /// Those that accept requests.
  std::uint32_t accepting = 0;

  auto operator<=>(const VersionCount&) const = default;
};

/// Endpoints of a service by the version of their software.
using VersionCounts = std::map<std::string, VersionCount>;

/// Loads keyed by endpoint.
using EndpointLoads = std::map<base::EndpointId, EndpointLoad>;

/// Number of requests that an endpoint reports in a response.
struct EndpointReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /// How long work takes at the endpoint at the moment, as a multiple of the
  /// usual time; none if it doesn't say.
  std::optional<double> slowdown;
};

/// What a response shows about the limit of its endpoint.
struct RateLimitReport {
  /// Requests a second that the endpoint accepts from all daemons together;
  /// none if it has no limit.
  std::optional<double> per_second;
  /// For a limit, when the response was received; for none, when its request
  /// was sent, because a limit that was named since is newer.
  base::Instant as_of{};
};

/// A change of an endpoint's limit that a daemon has seen itself.
struct RateLimitChange {
  base::EndpointId endpoint;
  std::uint64_t incarnation = 0;
  RateLimitReport report;
};

/// What an attempt showed about its endpoint.
enum class AttemptResult {
  kSuccess,        ///< the response was complete
  kBusy,           ///< the endpoint refused for lack of capacity
  kUnreachable,    ///< the connection failed or the endpoint didn't respond
  kBadResponse,    ///< the response was incomplete, invalid or a server error
  kWrongEndpoint,  ///< another endpoint uses the address
  kUnknown,        ///< no evidence, for example because the caller cancelled
};

/// Weights and timeouts of endpoint choice.
struct EndpointRegistryOptions {
  /// Number of requests beyond its slots that an endpoint may be sent. An
  /// endpoint with eight slots frees one about every eighth of a request's
  /// duration, so two queued requests still start in time.
  std::uint32_t max_queued_requests = 2;
  /// Fraction of a service's slots above which online requests count as a peak.
  /// During a peak, batch items yield one slot per endpoint in advance.
  double peak_online_share = 0.45;
  /// Expected wait of a request for each request queued ahead of it.
  base::Duration cost_per_queued_request = std::chrono::milliseconds(90);
  /// Expected slowdown of a request for each request in progress at the same
  /// endpoint.
  base::Duration cost_per_concurrent_request = std::chrono::milliseconds(3);
  /// Cost of an endpoint that works half as fast as usual, by its own reports:
  /// the time that its first event takes longer.
  base::Duration slowdown_cost = std::chrono::milliseconds(40);
  /// Cost of an endpoint in another failure domain of the region.
  base::Duration cross_domain_cost = std::chrono::milliseconds(8);
  /// Cost of an endpoint in another region.
  base::Duration cross_region_cost = std::chrono::milliseconds(42);
  /// Cost of a new connection. It outweighs a few concurrent requests, because
  /// endpoints accept a limited number of connections and a slot is idle while
  /// one is set up.
  base::Duration new_connection_cost = std::chrono::milliseconds(10);
  /// Cost to an online request of a turn at an endpoint that has named a limit,
  /// and gain of it to a batch item. A turn is worth more to an item, which
  /// would occupy a slot elsewhere for the time of many online requests.
  base::Duration limited_turn_cost = std::chrono::milliseconds(15);
  /// Time for which a failing endpoint is avoided at first. It doubles with
  /// each failure, up to `max_backoff`.
  base::Duration initial_backoff = std::chrono::milliseconds(500);
  base::Duration max_backoff = std::chrono::seconds(4);
  /// Number of consecutive failures from which on a bad response causes the
  /// endpoint to be avoided. A single bad response may be caused by a caller's
  /// connection or a late packet.
  std::uint32_t bad_responses_to_avoid = 2;
  /// Time for which an endpoint is avoided after it refused for lack of
  /// capacity.
  base::Duration busy_backoff = std::chrono::milliseconds(60);
  /// Time for which a peer's loads are used after its last message.
  base::Duration peer_loads_max_age = std::chrono::milliseconds(1500);
  /// Time for which an endpoint's own report is used.
  base::Duration report_max_age = std::chrono::milliseconds(400);
  /// With loads of more peers than this, which are older there, online requests
  /// are spread by free slots.
  std::size_t large_fleet_peers = 100;
  /// Time after an outage of the platform during which missing entries are
  /// kept.
  base::Duration missing_entry_grace_period = std::chrono::milliseconds(2000);
};

/// Describes the endpoint that a request needs.
struct EndpointQuery {
  base::Service service;
  /// Version of the software that must continue a stream or an output; none if
  /// the request begins anew.
  std::optional<std::string> version;
  /// Location from which the request is sent.
  base::Location origin;
  /// Where the request may be served.
  RegionLimit allowed_regions;
  /// Endpoints that this request was already sent to. They aren't chosen.
  std::set<base::EndpointId> tried;
  /// Random number. Spreads requests over endpoints of about the same cost.
  std::uint64_t random_value = 0;
  /// Returns whether there is an idle connection to an address. May be empty:
  /// then all addresses count as connected.
  std::function<bool(const std::string& address)> has_idle_connection;
};

/// Outcome of a choice.
enum class ChoiceStatus {
  kChosen,
  kNoCapacity,  ///< every endpoint that matches is full or avoided
  kNoEndpoint,  ///< no endpoint matches that wasn't tried already
};

/// The endpoint that was chosen, if any.
struct EndpointChoice {
  ChoiceStatus status = ChoiceStatus::kNoEndpoint;
  /// Set only if the status is kChosen.
  EndpointEntry endpoint;
  /// Load of the endpoint at the time of the choice.
  std::uint32_t known_load = 0;
  /// Whether the endpoint gets requests at a bounded rate only, because it has
  /// named a limit or has just started.
  bool is_paced = false;
};

/// The endpoints known to a daemon, with the load that it and its peers put on
/// them. Not thread-safe.
class EndpointRegistry {
 public:
  explicit EndpointRegistry(EndpointRegistryOptions options);

  // Commands.

  /// Replaces all entries. `platform_back_at` is when the platform became
  /// reachable again after its last outage. Entries that are missing soon after
  /// an outage are kept for the grace period, because entries of live endpoints
  /// expire during an outage.
  void ReplaceEntries(std::vector<EndpointEntry> entries,
                      base::Instant platform_back_at, base::Instant now);
  /// Removes missing entries after their grace period, and loads of peers that
  /// have become too old. Must be called several times a second. Returns the
  /// removed endpoints.
  std::vector<base::EndpointId> RemoveExpired(base::Instant now);
  /// Replaces the failure domains whose endpoints get no new requests because
  /// the operators evacuate them.
  void SetEvacuatedDomains(std::set<base::FailureDomain> domains);
  /// Replaces the rules of services whose endpoints start cold.
  void SetColdStartRules(ColdStartRules rules);
  /// Replaces the loads that a peer puts on endpoints by a full list of them.
  void SetPeerLoads(const std::string& peer, EndpointLoads loads,
                    base::Instant now);
  /// Records this daemon's place in the fleet. Without it, endpoints that have
  /// named a limit get no requests.
  void SetFleetPosition(const FleetPosition& position, base::Instant now);
  /// Counts an attempt that this daemon starts, also against a limit that the
  /// endpoint has named.
  void OnAttemptStarted(const base::EndpointId& id, WorkKind kind,
                        base::Instant now);
  /// Ends an attempt that was counted, and records what it showed.
  void OnAttemptEnded(const base::EndpointId& id, WorkKind kind,
                      AttemptResult result, base::Instant now);
  /// Forgets the failures of all endpoints, which turned out to be those of
  /// this daemon's own path to them.
  void ForgetFailures();
  /// Records the load that an endpoint reports in a response.
  void OnReport(const base::EndpointId& id, const EndpointReport& report,
                base::Instant now);

  /// Records that this incarnation of the endpoint has reported that it shuts
  /// down soon. It gets no new requests from then on, even if its entry is
  /// removed and listed again. Returns false if that was known already.
  bool OnLeaving(const base::EndpointId& id, std::uint64_t incarnation,
                 base::Instant now);

  /// Records what a response to this daemon or, if `is_own` is false, to a peer
  /// shows about the limit of this incarnation. Older reports than the newest
  /// one are ignored. Returns whether the limit has changed.
  bool OnRateLimit(const base::EndpointId& id, std::uint64_t incarnation,
                   const RateLimitReport& report, bool is_own,
                   base::Instant now);

  // Queries.

  /// Chooses the endpoint at which an online request is expected to start
  /// soonest. In a large fleet, chooses at random among about equal ones, in
  /// proportion to their free slots, because other daemons that know the same
  /// outdated loads choose at the same time.
  EndpointChoice ChooseOnline(const EndpointQuery& query,
                              base::Instant now) const;
  /// Chooses an endpoint for a batch item, such that `reserved_slots` slots
  /// stay free there beside the item. The choice is random among the cheapest
  /// endpoints: daemons that have items at the same time and know the same
  /// loads would otherwise all choose the same one.
  EndpointChoice ChooseBatch(const EndpointQuery& query,
                             std::uint32_t reserved_slots,
                             base::Instant now) const;
  /// Returns the number of slots for batch items at all endpoints of a service,
  /// if `reserved_slots` slots stay free at each of them.
  std::uint32_t CountFreeSlots(const base::Service& service,
                               std::uint32_t reserved_slots,
                               base::Instant now) const;
  /// Returns how many of this daemon's batch items at the endpoint should yield
  /// to online requests. Each daemon yields in proportion to its items there. A
  /// fractional part is rounded at random by `random_value`: otherwise all
  /// daemons would yield for the same request.
  std::uint32_t BatchToYield(const base::EndpointId& id,
                             std::uint64_t random_value,
                             base::Instant now) const;
  /// Returns the loads that this daemon itself puts on endpoints, without those
  /// that are zero.
  EndpointLoads OwnLoads() const;
  /// Returns the changes of limits that this daemon has seen itself lately, to
  /// be sent to the peers: few of them send to an endpoint often enough to
  /// learn in time that its limit has ended.
  std::vector<RateLimitChange> OwnRateLimitChanges(base::Instant now) const;
  /// Returns the known load of all daemons at an endpoint, or zero for an
  /// unknown endpoint.
  EndpointLoad Load(const base::EndpointId& id, base::Instant now) const;
  /// Returns whether this incarnation of the endpoint is known and neither
  /// draining nor leaving, and its failure domain isn't evacuated.
  bool AcceptsRequests(const base::EndpointId& id,
                       std::uint64_t incarnation) const;
  /// Returns the endpoints of each software version of a service, draining ones
  /// included.
  VersionCounts CountByVersion(const base::Service& service) const;
  /// Returns the number of online requests as a fraction of the service's
  /// slots, of which a limited endpoint has as many as it has requests. It is
  /// above 1 if there are more online requests than slots.
  double OnlineShare(const base::Service& service, base::Instant now) const;
  /// Returns the number of endpoints that are cold, or were a moment ago.
  std::size_t CountCold(base::Instant now) const;
  /// Returns the failure domains that are evacuated.
  const std::set<base::FailureDomain>& evacuated_domains() const {  // NOLINT
    return this->evacuated;
  }
  /// Returns the number of known endpoints.
  std::size_t size() const { return this->states.size(); }  // NOLINT

 private:
  struct State {
    EndpointEntry entry;
    /// Load of this daemon.
    EndpointLoad own;
    /// Sum of all peers' loads.
    EndpointLoad peers;
    /// When a missing entry is removed; kNever while it is listed.
    base::Instant expires_at = base::kNever;
    /// Consecutive failures.
    std::uint32_t failures = 0;
    base::Instant avoided_until{};
    base::Instant busy_until{};
    EndpointReport report;
    base::Instant reported_at{};
    /// Total load of this daemon when the report was received.
    std::uint32_t own_at_report = 0;
    /// By the reports that say how fast the endpoint works.
    SlowdownEstimate slowdown;
    /// Set if the endpoint's service has a rule for cold endpoints.
    std::optional<ColdStartPacer> cold_start;
  };
  /// What an incarnation of an endpoint has reported that restricts the
  /// requests it gets. Kept while its entry is missing, because it may be
  /// listed again.
  struct Restrictions {
    std::uint64_t incarnation = 0;
    /// It shuts down soon.
    bool leaving = false;
    /// Requests a second that it accepts from all daemons together.
    std::optional<double> rate_limit;
    /// This daemon's part of them; set while there is a limit.
    std::optional<RateTurns> turns;
    /// Of the newest report.
    base::Instant limit_as_of{};
    /// When this daemon itself last saw the limit change.
    base::Instant own_change_at = base::Instant::min();
    /// When the incarnation has certainly ended.
    base::Instant forgotten_at{};
  };
  struct PeerLoads {
    EndpointLoads loads;
    base::Instant received_at{};
  };

  struct Candidate {
    base::Duration cost{0};
    const State* state = nullptr;
  };

  /// Starts a backoff, unless the endpoint is already avoided.
  void StartBackoff(State& state, base::Instant now) const;
  /// Chooses one of the candidates that are about as cheap as the cheapest, at
  /// random by their free slots. Precondition: there is a candidate.
  void PickByFreeSlots(std::vector<Candidate>& candidates,
                       const EndpointQuery& query, base::Instant now,
                       EndpointChoice& choice) const;
  void Choose(const State& state, base::Instant now,
              EndpointChoice& choice) const;
  /// Chooses one of the candidates that cost at most `max_extra_cost` more than
  /// the cheapest. Precondition: there is a candidate.
  void Pick(std::vector<Candidate>& candidates, const EndpointQuery& query,
            base::Duration max_extra_cost, base::Instant now,
            EndpointChoice& choice) const;
  /// Sets the state of an endpoint that has just started.
  void Reset(State& state, const base::EndpointId& id) const;
  /// Applies what the entry of an endpoint says of its cold start. `is_new`: it
  /// has been listed for the first time. `has_news`: it says something else
  /// than before.
  void UpdateColdStart(State& state, bool is_new, bool has_news,
                       base::Instant now) const;
  /// Returns the rule for cold endpoints of the endpoint's service, or null.
  const ColdStartRule* FindColdStartRule(const State& state) const;
  /// An endpoint that can't be reached may have restarted: it is taken for cold
  /// when it is back, because its new entry may not have been read by then.
  void OnUnreachable(State& state, base::Instant now) const;
  /// Adds a peer's loads to the sums of the known endpoints.
  void AddLoads(const EndpointLoads& loads);
  void SubtractLoads(const EndpointLoads& loads);
  void RemoveUnresponsivePeers(base::Instant now);
  EndpointLoad LoadOf(const State& state, base::Instant now) const;
  /// Whether the endpoint accepts new requests.
  bool Accepts(const State& state) const;
  /// Whether the endpoint may serve the request, regardless of failures and
  /// load.
  bool Matches(const State& state, const EndpointQuery& query) const;
  /// Returns what this incarnation has reported, or null.
  const Restrictions* FindRestrictions(const EndpointEntry& entry) const;
  /// The same, newly created if it has reported nothing yet. Null if another
  /// incarnation of the endpoint is listed.
  Restrictions* MakeRestrictions(const base::EndpointId& id,
                                 std::uint64_t incarnation, base::Instant now);
  /// Whether the endpoint has named a limit.
  bool IsLimited(const State& state) const;
  /// Whether the limit of the endpoint, if any, allows a request now.
  bool LimitAllows(const State& state, base::Instant now) const;
  /// Whether the endpoint is to be avoided because of failures.
  bool Avoided(const State& state, base::Instant now) const;
  base::Duration DistanceCost(const base::Location& from,
                              const base::Location& to) const;
  /// Returns the part of the cost that doesn't depend on the load.
  base::Duration FixedCost(const State& state,
                           const EndpointQuery& query) const;
  base::Duration Cost(const State& state, const EndpointQuery& query,
                      base::Instant now) const;
  /// Returns the matching endpoints, without those to be avoided. If more than
  /// three quarters are to be avoided, returns all of them.
  std::vector<const State*> UsableEndpoints(const EndpointQuery& query,
                                            base::Instant now) const;

  EndpointRegistryOptions options;
  FleetPosition fleet_position;
  std::set<base::FailureDomain> evacuated;
  ColdStartRules cold_start_rules;
  std::map<base::EndpointId, State> states;
  std::map<base::EndpointId, Restrictions> restrictions;
  /// Keyed by VM name.
  std::unordered_map<std::string, PeerLoads> peers;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_ENDPOINT_REGISTRY_H_
