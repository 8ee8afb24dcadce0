#ifndef GYPSUMTRACK_POLICY_SERVING_BATCH_START_LIMITER_H_
#define GYPSUMTRACK_POLICY_SERVING_BATCH_START_LIMITER_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/serving/batch_urgency.h"

/// Limits how many batch items a daemon starts at a time. Daemons learn of each
/// other's loads with a delay: if each filled all slots that look free, many
/// would choose the same endpoints and overload them. They therefore share the
/// free slots in proportion to the items that wait at each daemon.
namespace gypsumtrack::policy {

/// Time constants of BatchStartLimiter.
struct BatchStartLimiterOptions {
  /// Time until most peers have received the load of newly started items.
  base::Duration load_propagation_time = std::chrono::milliseconds(250);
  /// Time for which a peer's count is used without a new message.
  base::Duration peer_count_ttl = std::chrono::milliseconds(1500);
};

/// Computes how many items a daemon may start. Not thread-safe.
class BatchStartLimiter {
 public:
  /// Starts without waiting items at any peer.
  explicit BatchStartLimiter(BatchStartLimiterOptions options);

  // Commands.

  /// Records the number of items that wait at a peer.
  void SetPeerWaitingItems(const std::string& peer, std::uint32_t items,
                           base::Instant now);
  /// Returns how many items of that urgency may start now, given `own_waiting`
  /// items here and `free_slots` for them in the whole fleet. The result is
  /// this daemon's share of the slots, scaled by the part of the load
  /// propagation time that has passed since the last call for this urgency. If
  /// no items wait at peers, all free slots may be used.
  /// Fractions are rounded up or down by `random`, any number, so that daemons
  /// with the same small share don't start items at the same time.
  std::uint32_t AcquireStarts(Urgency urgency, std::uint32_t free_slots,
                              std::uint32_t own_waiting, std::uint64_t random,
                              base::Instant now);

 private:
  struct PeerCount {
    std::uint32_t items = 0;
    base::Instant received_at{};
  };

  std::uint64_t PeerWaitingItems(base::Instant now) const;

  BatchStartLimiterOptions options;
  std::unordered_map<std::string, PeerCount> peers;
  /// Time of the last AcquireStarts that found free slots and waiting items.
  std::map<Urgency, base::Instant> acquired_at;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_BATCH_START_LIMITER_H_
