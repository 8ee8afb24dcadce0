#include "gypsumtrack/policy/serving/batch_start_limiter.h"

#include <algorithm>
#include <cmath>

namespace gypsumtrack::policy {
namespace {

/// Resolution of the random fraction that rounds the number of starts.
constexpr std::uint64_t kRandomSteps = 1'000'000;

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

std::uint64_t BatchStartLimiter::PeerWaitingItems(base::Instant now) const {
  std::uint64_t items = 0;
  for (const auto& [name, peer] : this->peers) {
    const bool is_current =
        now - peer.received_at <= this->options.peer_count_ttl;
    if (is_current) items += peer.items;
  }
  return items;
}

std::uint32_t BatchStartLimiter::AcquireStarts(Urgency urgency,
                                               std::uint32_t free_slots,
                                               std::uint32_t own_waiting,
                                               std::uint64_t random,
                                               base::Instant now) {
  if (free_slots == 0 || own_waiting == 0) return 0;
  auto& last = this->acquired_at[urgency];
  const auto elapsed =
      std::min<base::Duration>(now - last, this->options.load_propagation_time);
  last = now;
  const auto peer_waiting = this->PeerWaitingItems(now);
  if (peer_waiting == 0) return std::min(free_slots, own_waiting);
  const auto share = static_cast<double>(own_waiting) /
                     static_cast<double>(own_waiting + peer_waiting);
  const auto elapsed_part =
      static_cast<double>(elapsed.count()) /
      static_cast<double>(this->options.load_propagation_time.count());
  const auto expected = free_slots * share * elapsed_part;
  const auto whole = std::floor(expected);
  const auto fraction = static_cast<double>(random % kRandomSteps) /
                        static_cast<double>(kRandomSteps);
  const auto count = whole + (fraction < expected - whole ? 1 : 0);
  return std::min(static_cast<std::uint32_t>(count), own_waiting);
}

}  // namespace gypsumtrack::policy
