#ifndef GYPSUMTRACK_POLICY_SERVING_BATCH_URGENCY_H_
#define GYPSUMTRACK_POLICY_SERVING_BATCH_URGENCY_H_

#include <cstdint>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/time.h"

/// Orders batch items by urgency when a temporary rise in online load exceeds
/// the fleet's capacity: relaxed items wait until the load drops, urgent items
/// keep their slots, and items that can't meet their due time use only spare
/// capacity.
namespace gypsumtrack::policy {

/// How close an item is to missing its due time.
enum class Urgency {
  kUrgent,   ///< in time only if it starts soon or goes on running
  kRelaxed,  ///< can wait and still be in time
  kLate,     ///< can't be in time any more
};

/// Names of the urgencies.
inline constexpr auto kUrgencyNames = base::MakeEnumTable<Urgency>({
    {Urgency::kUrgent, "urgent"},
    {Urgency::kRelaxed, "relaxed"},
    {Urgency::kLate, "late"},
});

/// Estimates how long items run, from moving averages over earlier items. Not
/// thread-safe.
class ItemDurationEstimator {
 public:
  /// Records the total number of events of a completed item.
  void OnItemComplete(std::uint64_t events);
  /// Records that `events` events were received in a run of `duration`. Runs
  /// without events are ignored.
  void OnRunEnd(std::uint64_t events, base::Duration duration);

  /// Estimated time until an item with `events` events so far completes.
  base::Duration EstimateRemaining(std::uint64_t events) const;

 private:
  // Initial values of the averages, used until items have run.
  double average_events = 150;
  double seconds_per_event = 0.03;
};

/// The urgency of an item that is due at `due` and runs for another
/// `remaining`. Thread-safe.
Urgency ClassifyUrgency(base::Instant due, base::Duration remaining,
                        base::Instant now);

/// Number of slots at an endpoint that have to stay free when an item of that
/// urgency is sent to it. Thread-safe.
std::uint32_t SlotsToKeepFree(Urgency urgency);

/// Times that tell whether an item's output is worth waiting for.
struct OutputWait {
  /// When the item is due.
  base::Instant due = base::kNever;
  /// How long the item runs if its output is continued.
  base::Duration remaining{0};
  /// How long it runs from the beginning.
  base::Duration whole_run{0};
  /// Time until which the output of a late item is kept.
  base::Instant kept_until{};
};

/// Whether an item, while the endpoints that could continue its output are
/// full, starts from the beginning at another one that is free. A relaxed item
/// waits: it can still be in time, and a whole run costs more than the wait. An
/// urgent item restarts only if a whole run can be in time; otherwise only its
/// output can. A late one loses nothing by waiting for a moment, but mustn't
/// wait for good. Thread-safe.
bool ShouldRestart(const OutputWait& wait, base::Instant now);

/// A running item that may yield its slot.
struct YieldCandidate {
  Urgency urgency = Urgency::kRelaxed;
  base::Instant due = base::kNever;
  /// Identifies the item to the caller of SelectItemsToYield.
  std::size_t index = 0;
};

/// The indexes of up to `count` items that yield their slots: late items first,
/// then those with the latest due time. Urgent items never yield. Thread-safe.
std::vector<std::size_t> SelectItemsToYield(
    std::vector<YieldCandidate> candidates, std::size_t count);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_BATCH_URGENCY_H_
