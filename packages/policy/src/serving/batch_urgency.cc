#include "gypsumtrack/policy/serving/batch_urgency.h"

#include <algorithm>

namespace gypsumtrack::policy {
namespace {

constexpr double kLearningRate = 0.1;
constexpr double kLeastRemainingSeconds = 0.3;
/// An item is urgent this long before the last moment at which it could begin:
/// about one step of online load.
constexpr base::Duration kMargin = std::chrono::milliseconds(2500);
/// Results that come a little late are still read in time.
constexpr base::Duration kReadSlack = std::chrono::milliseconds(300);

constexpr std::uint32_t kLeaveRelaxed = 2;
constexpr std::uint32_t kLeaveLate = 3;

}  // namespace

void ItemDurationEstimator::OnItemComplete(std::uint64_t events) {
  this->typical_events +=
      kLearningRate * (static_cast<double>(events) - this->typical_events);
}

void ItemDurationEstimator::OnRunEnd(std::uint64_t seen,
                                     base::Duration duration) {
  if (seen == 0) return;
  const auto seconds = std::chrono::duration<double>(duration).count();
  const auto each = seconds / static_cast<double>(seen);
  this->event_seconds += kLearningRate * (each - this->event_seconds);
}

base::Duration ItemDurationEstimator::EstimateRemaining(
    std::uint64_t events) const {
  const auto left = this->typical_events - static_cast<double>(events);
  const auto seconds =
      std::max(left * this->event_seconds, kLeastRemainingSeconds);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(seconds));
}

Urgency ClassifyUrgency(base::Instant due, base::Duration remaining,
                        base::Instant now) {
  if (due == base::kNever) return Urgency::kRelaxed;
  const auto latest_begin = due + kReadSlack - remaining;
  if (now > latest_begin) return Urgency::kLate;
  return now > latest_begin - kMargin ? Urgency::kUrgent : Urgency::kRelaxed;
}

std::uint32_t SlotsToKeepFree(Urgency urgency) {
  switch (urgency) {
    case Urgency::kUrgent:
      return 0;
    case Urgency::kRelaxed:
      return kLeaveRelaxed;
    case Urgency::kLate:
      return kLeaveLate;
  }
  return kLeaveLate;
}

std::vector<std::size_t> SelectItemsToYield(std::vector<YieldCandidate> work,
                                            std::size_t count) {
  std::erase_if(work, [](const YieldCandidate& each) {
    return each.urgency == Urgency::kUrgent;
  });
  std::sort(work.begin(), work.end(), [](const auto& a, const auto& b) {
    const bool a_late = a.urgency == Urgency::kLate;
    const bool b_late = b.urgency == Urgency::kLate;
    if (a_late != b_late) return a_late;
    return a.due > b.due;
  });
  if (work.size() > count) work.resize(count);
  std::vector<std::size_t> indexes;
  for (const auto& each : work) indexes.push_back(each.index);
  return indexes;
}

}  // namespace gypsumtrack::policy
