#ifndef GYPSUMTRACK_POLICY_SERVING_BATCH_URGENCY_H_
#define GYPSUMTRACK_POLICY_SERVING_BATCH_URGENCY_H_

#include <cstdint>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/time.h"

/// Which batch items go first and which give way when online requests come in
/// steps over the fleet's capacity: an item with time to spare waits for the
/// next valley, one that is just in time keeps its place, and one that can't be
/// in time any more takes only what is left over.
namespace gypsumtrack::policy {

enum class Urgency { kUrgent, kRelaxed, kLate };

inline constexpr auto kUrgencyNames = base::MakeEnumTable<Urgency>({
    {Urgency::kUrgent, "urgent"},
    {Urgency::kRelaxed, "relaxed"},
    {Urgency::kLate, "late"},
});

/// Learns how long items run. Not thread-safe.
class ItemDurationEstimator {
 public:
  /// A whole item had so many events; `duration` of them were seen in one run
  /// of `seen` events.
  void OnItemComplete(std::uint64_t events);
  void OnRunEnd(std::uint64_t seen, base::Duration duration);

  /// How long an item that has so many events will still run.
  base::Duration EstimateRemaining(std::uint64_t events) const;

 private:
  double typical_events = 150;
  double event_seconds = 0.03;
};

Urgency ClassifyUrgency(base::Instant due, base::Duration remaining,
                        base::Instant now);

/// Places at an endpoint that stay free when an item of that urgency is sent.
std::uint32_t SlotsToKeepFree(Urgency urgency);

/// An item that runs at an endpoint.
struct YieldCandidate {
  Urgency urgency = Urgency::kRelaxed;
  base::Instant due = base::kNever;
  /// Index for the caller.
  std::size_t index = 0;
};

/// The indexes of up to `count` items that give way first: late ones, then
/// those that are due last. Urgent ones stay.
std::vector<std::size_t> SelectItemsToYield(std::vector<YieldCandidate> work,
                                            std::size_t count);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_BATCH_URGENCY_H_
