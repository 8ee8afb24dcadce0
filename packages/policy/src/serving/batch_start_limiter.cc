#include "gypsumtrack/policy/serving/batch_start_limiter.h"

#include <algorithm>
#include <cmath>

namespace gypsumtrack::policy {
namespace {

/// Steps of the dice.
constexpr std::uint64_t kDiceSides = 1'000'000;

}  // namespace

BatchStartLimiter::BatchStartLimiter(BatchStartLimiterOptions options)
    : options(options) {}

void BatchStartLimiter::SetPeerWaitingItems(const std::string& peer,
                                            std::uint32_t items,
                                            base::Instant now) {
  if (items == 0) {
    this->peers.erase(peer);
  } else {
    this->peers[peer] = {items, now};
  }
}

std::uint64_t BatchStartLimiter::WaitingElsewhere(base::Instant now) const {
  std::uint64_t items = 0;
  for (const auto& [name, peer] : this->peers) {
    const bool holds = now - peer.heard_at <= this->options.peer_count_ttl;
    if (holds) items += peer.items;
  }
  return items;
}

std::uint32_t BatchStartLimiter::AcquireStarts(Urgency urgency,
                                               std::uint32_t free_places,
                                               std::uint32_t own_waiting,
                                               std::uint64_t dice,
                                               base::Instant now) {
  if (free_places == 0 || own_waiting == 0) return 0;
  auto& taken = this->taken_at[urgency];
  const auto since = std::min<base::Duration>(
      now - taken, this->options.load_propagation_time);
  taken = now;
  const auto elsewhere = this->WaitingElsewhere(now);
  if (elsewhere == 0) return std::min(free_places, own_waiting);
  const auto part = static_cast<double>(own_waiting) /
                    static_cast<double>(own_waiting + elsewhere);
  const auto time =
      static_cast<double>(since.count()) /
      static_cast<double>(this->options.load_propagation_time.count());
  const auto expected = free_places * part * time;
  const auto whole = std::floor(expected);
  const auto chance =
      static_cast<double>(dice % kDiceSides) / static_cast<double>(kDiceSides);
  const auto count = whole + (chance < expected - whole ? 1 : 0);
  return std::min(static_cast<std::uint32_t>(count), own_waiting);
}

}  // namespace gypsumtrack::policy
