#ifndef GYPSUMTRACK_POLICY_SERVING_BATCH_START_LIMITER_H_
#define GYPSUMTRACK_POLICY_SERVING_BATCH_START_LIMITER_H_

#include <cstdint>
#include <map>
#include <string>

#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/serving/batch_urgency.h"

/// How many items a daemon begins at a time. Daemons hear of each other's loads
/// late: if each of them filled all places that look free, many would meet at
/// the same endpoints. So they share free places, in proportion to the items
/// that wait at each.
namespace gypsumtrack::policy {

struct BatchStartLimiterOptions {
  /// Time in which what a daemon begins is mostly heard by the others.
  base::Duration load_propagation_time = std::chrono::milliseconds(250);
  /// Time for which a peer's count holds without a new message.
  base::Duration peer_count_ttl = std::chrono::milliseconds(1500);
};

/// Not thread-safe.
class BatchStartLimiter {
 public:
  explicit BatchStartLimiter(BatchStartLimiterOptions options);

  // Commands.

  void SetPeerWaitingItems(const std::string& peer, std::uint32_t items,
                           base::Instant now);
  /// Items of that urgency that may begin now, with `own_waiting` items here
  /// and `free_places` for them in the whole fleet: this daemon's part of the
  /// places, and of the round in so far as it has gone by since it last took
  /// some. Parts of an item are decided by dice, so that daemons with the same
  /// small part don't begin together.
  std::uint32_t AcquireStarts(Urgency urgency, std::uint32_t free_places,
                              std::uint32_t own_waiting, std::uint64_t dice,
                              base::Instant now);

 private:
  struct PeerCount {
    std::uint32_t items = 0;
    base::Instant heard_at{};
  };

  std::uint64_t WaitingElsewhere(base::Instant now) const;

  BatchStartLimiterOptions options;
  std::map<std::string, PeerCount> peers;
  std::map<Urgency, base::Instant> taken_at;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_BATCH_START_LIMITER_H_
