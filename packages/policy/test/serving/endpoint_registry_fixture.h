#ifndef GYPSUMTRACK_POLICY_TEST_SERVING_ENDPOINT_REGISTRY_FIXTURE_H_
#define GYPSUMTRACK_POLICY_TEST_SERVING_ENDPOINT_REGISTRY_FIXTURE_H_

#include <chrono>
#include <string>

#include "gypsumtrack/policy/serving/endpoint_registry.h"

/// Endpoints and queries for tests of the endpoint registry.
namespace gypsumtrack::policy {

inline const base::Service kService("clocks");
inline const base::Location kOwnDomain{base::FailureDomain("cairo"),
                                       base::Region("delta")};
inline const base::Location kOtherDomain{base::FailureDomain("alex"),
                                         base::Region("delta")};
inline const base::Location kOtherRegion{base::FailureDomain("aswan"),
                                         base::Region("upper")};
inline const base::Instant kStart(std::chrono::seconds(100));
/// Random value for which BatchToYield rounds up.
inline constexpr std::uint64_t kRoundUp = 0;

inline EndpointEntry MakeEndpoint(const std::string& id,
                                  const base::Location& location) {
  EndpointEntry entry;
  entry.id = base::EndpointId(id);
  entry.incarnation = 1;
  entry.address = id + ":80";
  entry.location = location;
  entry.service = kService;
  entry.slots = 8;
  return entry;
}

inline EndpointQuery MakeQuery() {
  EndpointQuery query;
  query.service = kService;
  query.origin = kOwnDomain;
  return query;
}

inline base::EndpointId Id(const std::string& id) {
  return base::EndpointId(id);
}

inline void StartAttempts(EndpointRegistry& registry, const std::string& id,
                          int count, WorkKind kind = WorkKind::kOnline) {
  for (int i = 0; i < count; ++i)
    registry.OnAttemptStarted(Id(id), kind, kStart);
}

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_TEST_SERVING_ENDPOINT_REGISTRY_FIXTURE_H_
