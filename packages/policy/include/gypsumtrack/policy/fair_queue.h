#ifndef GYPSUMTRACK_POLICY_FAIR_QUEUE_H_
#define GYPSUMTRACK_POLICY_FAIR_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"

/// Fair queue of requests that wait for a free slot.
namespace gypsumtrack::policy {

/// Options of FairQueue.
struct FairQueueOptions {
  /// Maximum number of queued requests.
  std::size_t max_requests = 512;
  /// If false, requests are served in order of arrival. Only tests set this, to
  /// show what fair order prevents.
  bool fair = true;
};

/// A request to queue.
struct QueuedRequest {
  /// Unique among the queued requests.
  std::uint64_t id = 0;
  base::Organisation organisation;
  /// Weight of the organisation by its rule; 0 counts as 1.
  std::uint32_t share = 1;
  /// When the caller gives up.
  base::Instant deadline = base::kNever;
};

/// Whether a request was queued.
struct QueueDecision {
  bool accepted = false;
  /// Estimated start of the request. A refused caller may retry then.
  base::Instant retry_at{};
  /// The last request in service order, of the organisation furthest above its
  /// share, if it was evicted for this one.
  std::optional<std::uint64_t> evicted;
};

/// Weighted start-time fair queue of bounded size. An organisation that sends
/// more than its share delays only its own requests. Not thread-safe.
class FairQueue {
 public:
  /// Creates an empty queue.
  explicit FairQueue(FairQueueOptions options);

  // Commands.

  /// Queues a request. Refuses it if its estimated start, at `time_per_request`
  /// for each request ahead and itself, is after its deadline, or if the queue
  /// is full and no queued request is behind it. Precondition: the id isn't
  /// queued.
  QueueDecision Push(const QueuedRequest& request,
                     base::Duration time_per_request, base::Instant now);
  /// Removes and returns the next request in service order; empty if there is
  /// none.
  std::optional<std::uint64_t> Pop();
  /// Removes a request whose caller disconnected or whose deadline passed.
  /// Returns whether it was queued.
  bool Remove(std::uint64_t id);

  // Queries.

  /// Returns the next request in service order; empty if there is none.
  std::optional<std::uint64_t> front() const;  // NOLINT
  /// Returns the number of queued requests.
  std::size_t size() const { return this->order.size(); }  // NOLINT
  /// Returns the number of queued requests of the organisation.
  std::size_t CountFor(const base::Organisation& organisation) const;

 private:
  /// Service order: virtual start time, then arrival number.
  using Tag = std::pair<double, std::uint64_t>;
  struct Entry {
    Tag tag;
    base::Organisation organisation;
  };

  Tag NextTag(const QueuedRequest& request) const;
  /// Returns the number of queued requests before `tag` in service order.
  std::size_t CountAhead(const Tag& tag) const;
  void Erase(const Tag& tag);

  FairQueueOptions options;
  std::map<Tag, std::uint64_t> order;
  std::unordered_map<std::uint64_t, Entry> entries;
  /// Earliest virtual start time of the organisation's next request.
  std::unordered_map<base::Organisation, double> next_start;
  double virtual_time = 0;
  std::uint64_t arrival_count = 0;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_FAIR_QUEUE_H_
