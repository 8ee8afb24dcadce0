#ifndef GYPSUMTRACK_POLICY_SERVING_RATE_TURNS_H_
#define GYPSUMTRACK_POLICY_SERVING_RATE_TURNS_H_

#include <cstddef>
#include <cstdint>

#include "gypsumtrack/base/time.h"

/// Divides the rate that an endpoint accepts from all daemons together among
/// them, without messages. The time of day is divided into slots, one for each
/// request that the endpoint accepts, and the daemons take turns in the order
/// of their VM names. A turn that isn't used soon is lost, so that saved ones
/// don't add up to a burst of all daemons. Daemons that disagree for a moment
/// on the time or on which of them are alive exceed the rate by little, because
/// each still sends at its own part of it.
namespace gypsumtrack::policy {

/// A daemon's place among all daemons of the fleet.
struct FleetPosition {
  /// Number of daemons whose VM name is smaller.
  std::size_t index = 0;
  /// Number of daemons with this one; 0 while the others aren't known, and then
  /// the daemon has no turns.
  std::size_t daemon_count = 0;
  /// Time of day minus `base::Instant`, which differs between VMs.
  base::Duration wall_offset{0};
};

/// Time after the begin of its slot for which a turn may be used, unless stated
/// otherwise. Turns saved in a lull serve the next peak.
inline constexpr base::Duration kTurnValidity = std::chrono::milliseconds(1750);

/// One daemon's turns at one endpoint. Not thread-safe.
class RateTurns {
 public:
  /// The endpoint accepts `per_second` requests, or a few a minute if that is
  /// less: without any, no response could end the limit. `salt` differs between
  /// endpoints, so that a daemon's turns at them come at different times. Only
  /// slots that begin after `now` count. A turn may be used for `validity`.
  RateTurns(double per_second, std::uint64_t salt,
            const FleetPosition& position, base::Instant now,
            base::Duration validity = kTurnValidity);

  // Commands.

  /// Uses up the oldest turn, if there is one.
  void TakeTurn(const FleetPosition& position, base::Instant now);
  /// Drops all turns up to now. Must be called when the time of day was set.
  void Restart(const FleetPosition& position, base::Instant now);

  // Queries.

  /// Returns whether the daemon may send a request now.
  bool HasTurn(const FleetPosition& position, base::Instant now) const;

 private:
  std::int64_t SlotAt(const FleetPosition& position, base::Instant at) const;
  /// Returns the daemon's first slot that isn't used or lost; it may begin
  /// later than now. Precondition: the daemons are known.
  std::int64_t FirstOwnSlot(const FleetPosition& position,
                            base::Instant now) const;

  double rate;
  std::uint64_t salt;
  base::Duration validity;
  /// All slots before this one are used or dropped.
  std::int64_t next_slot = 0;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_RATE_TURNS_H_
