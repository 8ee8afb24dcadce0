#ifndef GYPSUMTRACK_POLICY_SERVING_SERVING_RULES_H_
#define GYPSUMTRACK_POLICY_SERVING_SERVING_RULES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/serving/region_limit.h"

/// The operators' rules in force: the routes of requests, the organisations,
/// their keys and rate limits, and limits of connections.
namespace gypsumtrack::policy {

/// Kind of the requests of a route; see MayRunAgain for which may run twice.
enum class RequestKind {
  kIdempotent,     ///< may run more than once
  kNonIdempotent,  ///< must not run more than once
  kStream,         ///< the response is a stream of events
  kBatch,          ///< submits or reads a batch job
};

/// Names of the kinds.
inline constexpr auto kRequestKindNames = base::MakeEnumTable<RequestKind>({
    {RequestKind::kIdempotent, "idempotent"},
    {RequestKind::kNonIdempotent, "non_idempotent"},
    {RequestKind::kStream, "stream"},
    {RequestKind::kBatch, "batch"},
});

/// A service and its weight among the services of a route.
struct WeightedService {
  base::Service service;
  /// The service receives `weight` / (sum of all weights) of the route's
  /// requests; 0 for no requests.
  std::uint32_t weight = 1;
};

/// A route: which requests it matches and how they are handled.
struct RouteRule {
  std::string name;
  /// A request matches if it has this host and its path starts with `prefix`.
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  /// Never empty.
  std::vector<WeightedService> services;
  /// Maximum number of endpoints that may run one request. Batch: number of
  /// failed runs after which an item is given up.
  std::uint32_t max_runs = 1;
  /// Maximum time to process a request; callers may request a shorter timeout.
  base::Duration timeout = std::chrono::seconds(30);
  /// Maximum time to a response, or to the first event of a stream, that is on
  /// time.
  base::Duration latency_objective = std::chrono::seconds(1);
  /// Maximum time between two events of a stream that is on time.
  base::Duration event_gap_objective = std::chrono::milliseconds(400);
  /// As set by the operators; not used for scheduling.
  int priority = 0;
  /// Whether requests without a key are allowed.
  bool allows_anonymous = false;
  /// Whether a stream may be resumed at another endpoint after its last event.
  bool resumable = false;
  /// Batch: time from the job's first submission until all results are due.
  base::Duration due_after = std::chrono::seconds(60);
  /// Batch: time from the job's first submission after which waiting items may
  /// be given up.
  base::Duration give_up_after = std::chrono::hours(24);
  /// Batch: maximum number of waiting tokens of an organisation; 0 for no
  /// limit.
  std::uint64_t max_waiting_tokens = 0;
  /// Where the route's requests may be served.
  RegionLimit allowed_regions;
};

/// Whether a request may be sent to another endpoint after one that may have
/// run it: idempotent requests run from the beginning, resumable streams resume
/// after the last event that the caller has received. Thread-safe.
bool MayRunAgain(const RouteRule& route);

/// Rate limit and priority of an organisation.
struct OrganisationRule {
  base::Organisation name;
  /// Requests per second over all daemons; 0 for no limit.
  double rate = 0;
  /// Maximum burst of requests over all daemons; unused if `rate` is 0.
  double burst = 0;
  /// As set by the operators; not used for scheduling.
  std::optional<int> priority;
  /// Where the organisation's requests may be served.
  RegionLimit allowed_regions;
};

/// What the endpoints of a service tolerate while they are cold: an endpoint
/// that receives requests at a much higher rate then crashes.
struct ColdStartRule {
  /// Requests a second, of all daemons together.
  double max_rate = 0;
  /// Time for which an endpoint is cold after it has started.
  base::Duration duration{0};

  auto operator<=>(const ColdStartRule&) const = default;
};

/// The rules of the services whose endpoints start cold.
using ColdStartRules = std::map<base::Service, ColdStartRule>;

/// One version of the rules. Immutable once in force.
struct ServingRules {
  std::uint64_t version = 0;
  std::vector<RouteRule> routes;
  std::vector<OrganisationRule> organisations;
  /// Index in `organisations` of the holder of each key.
  std::map<std::string, std::size_t, std::less<>> key_holders;
  /// Limits of callers' connections and requests.
  std::uint64_t max_header_bytes = 16ULL * 1024;
  std::uint64_t max_body_bytes = 8ULL * 1024 * 1024;
  base::Duration header_timeout = std::chrono::seconds(10);
  base::Duration idle_timeout = std::chrono::seconds(60);
  /// Maximum number of connections to one endpoint, over all daemons, by
  /// service.
  std::map<base::Service, std::uint32_t> max_connections;
  ColdStartRules cold_starts;
};

/// The route of the host with the longest prefix that matches the path; null if
/// none matches. Points into `rules`. Thread-safe.
const RouteRule* FindRoute(const ServingRules& rules, std::string_view host,
                           std::string_view path);
/// The route of that name; null if there is none. Points into `rules`.
/// Thread-safe.
const RouteRule* FindRouteByName(const ServingRules& rules,
                                 std::string_view name);
/// The organisation that holds the key; null if the key is unknown. Points into
/// `rules`. Thread-safe.
const OrganisationRule* FindKeyHolder(const ServingRules& rules,
                                      std::string_view key);
/// The organisation of that name; null if there is none. Points into `rules`.
/// Thread-safe.
const OrganisationRule* FindOrganisation(const ServingRules& rules,
                                         std::string_view name);
/// A service of the route, chosen by weight; `random` is any number.
/// Precondition: the route has services. Thread-safe.
const base::Service& PickService(const RouteRule& route, std::uint64_t random);
/// The regions in which the organisation's requests on the route may be served;
/// `organisation` may be null. Thread-safe.
RegionLimit AllowedRegions(const RouteRule& route,
                           const OrganisationRule* organisation);
/// Whether PickService may choose the service. Precondition: the route has
/// services. Thread-safe.
bool LeadsTo(const RouteRule& route, const base::Service& service);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_SERVING_RULES_H_
