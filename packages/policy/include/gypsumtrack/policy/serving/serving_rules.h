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

/// The operators' rules in force: which requests go where, for whom, how often.
namespace gypsumtrack::policy {

/// What may be repeated.
enum class RequestKind { kIdempotent, kNonIdempotent, kStream, kBatch };

inline constexpr auto kRequestKindNames = base::MakeEnumTable<RequestKind>({
    {RequestKind::kIdempotent, "idempotent"},
    {RequestKind::kNonIdempotent, "non_idempotent"},
    {RequestKind::kStream, "stream"},
    {RequestKind::kBatch, "batch"},
});

struct WeightedService {
  base::Service service;
  std::uint32_t weight = 1;
};

struct RouteRule {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  /// Never empty.
  std::vector<WeightedService> services;
  /// Most endpoints that may run one request.
  std::uint32_t max_runs = 1;
  /// Longest time that a request is kept waiting.
  base::Duration timeout = std::chrono::seconds(30);
  /// Within which an answer (its first event on streams) is on time.
  base::Duration latency_objective = std::chrono::seconds(1);
  /// Longest pause between two events of a stream that is on time.
  base::Duration event_gap_objective = std::chrono::milliseconds(400);
  int priority = 0;
  /// Needs no key.
  bool allows_anonymous = false;
  /// A stream of it may go on at another endpoint after its last event.
  bool resumable = false;
  /// Batch: when all results are due, and when an item may be given up, both
  /// counted from the job's first submission.
  base::Duration due_after = std::chrono::seconds(60);
  base::Duration give_up_after = std::chrono::hours(24);
  /// Batch: most tokens of an organisation that may wait; 0 for no limit.
  std::uint64_t max_waiting_tokens = 0;
};

/// Whether a request may run at a second endpoint after one that may have run
/// it: from the start, or after the last event that its caller has.
bool MayRunAgain(const RouteRule& route);

struct OrganisationRule {
  base::Organisation name;
  /// Requests a second and at once over all daemons; no limit if 0.
  double rate = 0;
  double burst = 0;
  std::optional<int> priority;
};

/// An immutable version of the rules.
struct ServingRules {
  std::uint64_t version = 0;
  std::vector<RouteRule> routes;
  std::vector<OrganisationRule> organisations;
  /// Index in `organisations` of a key's holder.
  std::map<std::string, std::size_t, std::less<>> key_holders;
  std::uint64_t max_header_bytes = 16ULL * 1024;
  std::uint64_t max_body_bytes = 8ULL * 1024 * 1024;
  base::Duration header_timeout = std::chrono::seconds(10);
  base::Duration idle_timeout = std::chrono::seconds(60);
  /// Most connections to one endpoint, over all daemons, by service.
  std::map<base::Service, std::uint32_t> max_connections;
};

/// The route of the longest prefix that begins the path; null if there is none.
const RouteRule* FindRoute(const ServingRules& rules, std::string_view host,
                           std::string_view path);
/// By name; null if there is none.
const RouteRule* FindRouteByName(const ServingRules& rules,
                                 std::string_view name);
/// The holder of the key; null if nobody holds it.
const OrganisationRule* FindKeyHolder(const ServingRules& rules,
                                      std::string_view key);
/// By name; null if there is none.
const OrganisationRule* FindOrganisation(const ServingRules& rules,
                                         std::string_view name);
/// A service of the route by weight; `dice` is any number.
const base::Service& PickService(const RouteRule& route, std::uint64_t dice);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_SERVING_RULES_H_
