#ifndef GYPSUMTRACK_POLICY_SERVING_COLD_START_PACER_H_
#define GYPSUMTRACK_POLICY_SERVING_COLD_START_PACER_H_

#include <cstdint>

#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/serving/rate_turns.h"
#include "gypsumtrack/policy/serving/serving_rules.h"

/// Paces the requests that go to an endpoint that has just started. It crashes
/// if all daemons together send it requests at a much higher rate than it
/// tolerates while it is cold, and an empty endpoint attracts all of them.
namespace gypsumtrack::policy {

/// One daemon's part of the rate at one endpoint. Not thread-safe.
class ColdStartPacer {
 public:
  /// `salt` differs between endpoints.
  ColdStartPacer(const ColdStartRule& rule, std::uint64_t salt,
                 const FleetPosition& position, base::Instant now);

  // Commands.

  /// Records when the endpoint will be warm, by the newest evidence: in the
  /// past if it is warm now. One that wasn't cold before isn't paced then.
  void SetColdUntil(base::Instant at, base::Instant now);
  /// Records that the endpoint is cold at least until then.
  void ExtendColdUntil(base::Instant at);
  /// Uses up the turn that allowed a request.
  void OnRequestSent(const FleetPosition& position, base::Instant now);
  /// Drops all turns up to now. Must be called when the time of day was set.
  void Restart(const FleetPosition& position, base::Instant now);

  // Queries.

  /// Whether the endpoint is cold, or was until a moment ago.
  bool IsPacing(base::Instant now) const;
  /// Whether this daemon may send the endpoint a request now.
  bool Allows(const FleetPosition& position, base::Instant now) const;

  /// When the endpoint will be warm.
  base::Instant warm_at() const { return this->cold_until; }  // NOLINT

 private:
  base::Instant cold_until{};
  /// While the endpoint is cold.
  RateTurns cold_turns;
  /// While it warms up: its slots are free, and the daemons would all use them
  /// at the same moment.
  RateTurns warm_up_turns;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_COLD_START_PACER_H_
