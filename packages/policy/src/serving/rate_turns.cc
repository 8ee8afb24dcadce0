#include "gypsumtrack/policy/serving/rate_turns.h"

#include <algorithm>
#include <cmath>

namespace gypsumtrack::policy {
namespace {

/// Requests a second that are sent even to an endpoint that accepts fewer.
constexpr double kMinRate = 0.25;
/// Higher limits don't limit anything; the number of a slot has to fit 64 bits.
constexpr double kMaxRate = 1e6;

}  // namespace

RateTurns::RateTurns(double per_second, std::uint64_t endpoint_salt,
                     const FleetPosition& position, base::Instant now,
                     base::Duration turn_validity)
    : rate(std::clamp(per_second, kMinRate, kMaxRate)),
      salt(endpoint_salt),
      validity(turn_validity) {
  this->Restart(position, now);
}

void RateTurns::Restart(const FleetPosition& position, base::Instant now) {
  this->next_slot = this->SlotAt(position, now) + 1;
}

std::int64_t RateTurns::SlotAt(const FleetPosition& position,
                               base::Instant at) const {
  const auto wall = at.time_since_epoch() + position.wall_offset;
  const std::chrono::duration<double> seconds = wall;
  return static_cast<std::int64_t>(std::floor(seconds.count() * this->rate));
}

std::int64_t RateTurns::FirstOwnSlot(const FleetPosition& position,
                                     base::Instant now) const {
  const auto oldest = this->SlotAt(position, now - this->validity) + 1;
  const auto first = std::max(oldest, this->next_slot);
  const auto count = static_cast<std::uint64_t>(position.daemon_count);
  const auto owner = (static_cast<std::uint64_t>(first) + this->salt) % count;
  const auto slots_until_own = (position.index + count - owner) % count;
  return first + static_cast<std::int64_t>(slots_until_own);
}

bool RateTurns::HasTurn(const FleetPosition& position,
                        base::Instant now) const {
  if (position.daemon_count == 0) return false;
  return this->FirstOwnSlot(position, now) <= this->SlotAt(position, now);
}

void RateTurns::TakeTurn(const FleetPosition& position, base::Instant now) {
  if (!this->HasTurn(position, now)) return;
  this->next_slot = this->FirstOwnSlot(position, now) + 1;
}

}  // namespace gypsumtrack::policy
