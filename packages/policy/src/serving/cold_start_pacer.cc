#include "gypsumtrack/policy/serving/cold_start_pacer.h"

#include <algorithm>

namespace gypsumtrack::policy {
namespace {

/// Time for which a turn at a cold endpoint may be used. The bound holds for
/// any second, so that turns saved in a longer lull would exceed it.
constexpr base::Duration kColdTurnValidity = std::chrono::milliseconds(400);
/// Time for which the rate stays bounded after the endpoint has become warm.
constexpr base::Duration kWarmUpTime = std::chrono::milliseconds(1000);
/// Rate in that time as a multiple of the one before.
constexpr double kWarmUpRateFactor = 2;

}  // namespace

ColdStartPacer::ColdStartPacer(const ColdStartRule& rule, std::uint64_t salt,
                               const FleetPosition& position, base::Instant now)
    : cold_turns(rule.max_rate, salt, position, now, kColdTurnValidity),
      warm_up_turns(rule.max_rate * kWarmUpRateFactor, salt, position, now,
                    kColdTurnValidity) {}

void ColdStartPacer::SetColdUntil(base::Instant at, base::Instant now) {
  this->cold_until = at > now ? at : std::min(this->cold_until, now);
}

void ColdStartPacer::ExtendColdUntil(base::Instant at) {
  this->cold_until = std::max(this->cold_until, at);
}

void ColdStartPacer::OnRequestSent(const FleetPosition& position,
                                   base::Instant now) {
  this->cold_turns.TakeTurn(position, now);
  this->warm_up_turns.TakeTurn(position, now);
}

void ColdStartPacer::Restart(const FleetPosition& position, base::Instant now) {
  this->cold_turns.Restart(position, now);
  this->warm_up_turns.Restart(position, now);
}

bool ColdStartPacer::IsPacing(base::Instant now) const {
  return now < this->cold_until + kWarmUpTime;
}

bool ColdStartPacer::Allows(const FleetPosition& position,
                            base::Instant now) const {
  if (!this->IsPacing(now)) return true;
  const auto& turns =
      now < this->cold_until ? this->cold_turns : this->warm_up_turns;
  return turns.HasTurn(position, now);
}

}  // namespace gypsumtrack::policy
