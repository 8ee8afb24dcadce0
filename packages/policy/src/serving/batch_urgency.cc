#include "gypsumtrack/policy/serving/batch_urgency.h"

#include <algorithm>

namespace gypsumtrack::policy {
namespace {

/// Weight of a new sample in the moving averages.
constexpr double kSmoothingFactor = 0.1;
/// Lower bound on the estimated remaining time, for items that have more events
/// than the average and still aren't complete.
constexpr double kMinRemainingSeconds = 0.3;
/// An item becomes urgent this long before its latest start time. About as
/// long as a temporary rise in online load.
constexpr base::Duration kUrgentMargin = std::chrono::milliseconds(2500);
/// Results that complete at most this long after the due time are still read in
/// time.
constexpr base::Duration kDueTolerance = std::chrono::milliseconds(300);

/// Results of SlotsToKeepFree for relaxed and late items.
constexpr std::uint32_t kRelaxedFreeSlots = 2;
constexpr std::uint32_t kLateFreeSlots = 3;

}  // namespace

void ItemDurationEstimator::OnItemComplete(std::uint64_t events) {
  this->average_events +=
      kSmoothingFactor * (static_cast<double>(events) - this->average_events);
}

void ItemDurationEstimator::OnRunEnd(std::uint64_t events,
                                     base::Duration duration) {
  if (events == 0) return;
  const auto seconds = std::chrono::duration<double>(duration).count();
  const auto sample = seconds / static_cast<double>(events);
  this->seconds_per_event +=
      kSmoothingFactor * (sample - this->seconds_per_event);
}

base::Duration ItemDurationEstimator::EstimateRemaining(
    std::uint64_t events) const {
  const auto left = this->average_events - static_cast<double>(events);
  const auto seconds =
      std::max(left * this->seconds_per_event, kMinRemainingSeconds);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(seconds));
}

Urgency ClassifyUrgency(base::Instant due, base::Duration remaining,
                        base::Instant now) {
  if (due == base::kNever) return Urgency::kRelaxed;
  const auto latest_start = due + kDueTolerance - remaining;
  if (now > latest_start) return Urgency::kLate;
  return now > latest_start - kUrgentMargin ? Urgency::kUrgent
                                            : Urgency::kRelaxed;
}

std::uint32_t SlotsToKeepFree(Urgency urgency) {
  switch (urgency) {
    case Urgency::kUrgent:
      return 0;
    case Urgency::kRelaxed:
      return kRelaxedFreeSlots;
    case Urgency::kLate:
      return kLateFreeSlots;
  }
  return kLateFreeSlots;
}

bool ShouldRestart(const OutputWait& wait, base::Instant now) {
  switch (ClassifyUrgency(wait.due, wait.remaining, now)) {
    case Urgency::kRelaxed:
      return false;
    case Urgency::kUrgent:
      return ClassifyUrgency(wait.due, wait.whole_run, now) != Urgency::kLate;
    case Urgency::kLate:
      return now >= wait.kept_until;
  }
  return false;
}

std::vector<std::size_t> SelectItemsToYield(
    std::vector<YieldCandidate> candidates, std::size_t count) {
  std::erase_if(candidates, [](const YieldCandidate& each) {
    return each.urgency == Urgency::kUrgent;
  });
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& a, const auto& b) {
              const bool a_late = a.urgency == Urgency::kLate;
              const bool b_late = b.urgency == Urgency::kLate;
              if (a_late != b_late) return a_late;
              return a.due > b.due;
            });
  if (candidates.size() > count) candidates.resize(count);
  std::vector<std::size_t> indexes;
  for (const auto& each : candidates) indexes.push_back(each.index);
  return indexes;
}

}  // namespace gypsumtrack::policy
