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

/// Shares endpoints among organisations while there is no room for all.
namespace gypsumtrack::policy {

struct FairQueueOptions {
  std::size_t max_requests = 512;
  /// Off only in tests that show what fair order is for.
  bool fair = true;
};

struct QueuedRequest {
  std::uint64_t id = 0;
  base::Organisation organisation;
  /// The rule's weight, at least 1.
  std::uint32_t share = 1;
  base::Instant deadline = base::kNever;
};

struct QueueVerdict {
  bool accepted = false;
  /// When a refused caller may come back.
  base::Instant retry_at{};
  /// A request of the organisation furthest above its share, put out for it.
  std::optional<std::uint64_t> evicted;
};

/// Start-time fair queueing in bounded memory. An organisation that sends more
/// than its share waits behind itself, not in front of others. Not thread-safe.
class FairQueue {
 public:
  explicit FairQueue(FairQueueOptions options);

  // Commands.

  /// Refuses at once if the wait, at `time_per_request` for each request ahead,
  /// would pass the deadline. Precondition: the id isn't queued.
  QueueVerdict Push(const QueuedRequest& request,
                    base::Duration time_per_request, base::Instant now);
  /// Takes the request whose turn it is.
  std::optional<std::uint64_t> Pop();
  /// Takes out a request whose caller is gone or whose deadline passed.
  bool Remove(std::uint64_t id);

  // Queries.

  std::optional<std::uint64_t> front() const;              // NOLINT
  std::size_t size() const { return this->order.size(); }  // NOLINT
  std::size_t CountOf(const base::Organisation& organisation) const;

 private:
  /// Order of service: virtual start, then arrival.
  using Tag = std::pair<double, std::uint64_t>;
  struct Entry {
    Tag tag;
    base::Organisation organisation;
  };

  Tag NextTag(const QueuedRequest& request) const;
  std::size_t CountAhead(const Tag& tag) const;
  void Erase(const Tag& tag);

  FairQueueOptions options;
  std::map<Tag, std::uint64_t> order;
  std::unordered_map<std::uint64_t, Entry> entries;
  std::unordered_map<base::Organisation, double> next_start;
  double virtual_time = 0;
  std::uint64_t arrivals = 0;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_FAIR_QUEUE_H_
