#include "gypsumtrack/telemetry/service_level.h"

#include <boost/histogram.hpp>
#include <chrono>

namespace gypsumtrack::telemetry {
namespace {

namespace histogram = boost::histogram;

/// A window is kept as this many slots and the one being filled.
constexpr int kSlotsPerWindow = 12;
constexpr int kSlotCount = kSlotsPerWindow + 1;

constexpr std::array<std::chrono::seconds, kWindowCount> kSlotLengths = {
    std::chrono::seconds(25), std::chrono::minutes(5), std::chrono::minutes(30),
    std::chrono::hours(6)};

using IndexAxis = histogram::axis::integer<int, histogram::use_default,
                                           histogram::axis::option::none_t>;
/// Slot in the ring by column; columns are events, then latency buckets.
using SlotCounts =
    histogram::histogram<std::tuple<IndexAxis, IndexAxis>,
                         histogram::dense_storage<std::uint32_t>>;

constexpr int kColumns =
    static_cast<int>(kServiceEventCount + kLatencyBucketCount);

std::int64_t SlotNumber(base::WallTime now, std::size_t window) {
  const auto since = std::chrono::floor<std::chrono::seconds>(now);
  return since.time_since_epoch() / kSlotLengths[window];
}

int LatencyBucket(base::Duration latency) {
  const auto millis =
      std::chrono::duration<double, std::milli>(latency).count();
  std::size_t bucket = 0;
  while (bucket < kLatencyEdgesMs.size() && millis > kLatencyEdgesMs[bucket]) {
    ++bucket;
  }
  return static_cast<int>(bucket);
}

/// A ring of slots over one window.
struct SlotRing {
  SlotCounts counts{
      std::tuple(IndexAxis(0, kSlotCount), IndexAxis(0, kColumns))};
  std::array<std::int64_t, kSlotCount> numbers{};

  void Add(std::int64_t number, int column) {
    const auto index = static_cast<int>(number % kSlotCount);
    if (this->numbers[index] > number) return;  // the wall clock stepped back
    if (this->numbers[index] < number) {
      for (int i = 0; i < kColumns; ++i) this->counts.at(index, i) = 0;
      this->numbers[index] = number;
    }
    this->counts(index, column);
  }

  WindowCounts Sum(std::int64_t last) const {
    WindowCounts sum;
    for (int slot = 0; slot < kSlotCount; ++slot) {
      const auto number = this->numbers[slot];
      if (number > last || number <= last - kSlotsPerWindow) continue;
      for (std::size_t i = 0; i < kServiceEventCount; ++i) {
        sum.events[i] += this->counts.at(slot, static_cast<int>(i));
      }
      for (std::size_t i = 0; i < kLatencyBucketCount; ++i) {
        sum.latency[i] +=
            this->counts.at(slot, static_cast<int>(kServiceEventCount + i));
      }
    }
    return sum;
  }
};

}  // namespace

struct ServiceLevels::Series {
  std::array<SlotRing, kWindowCount> rings;
};

WindowCounts& WindowCounts::operator+=(const WindowCounts& other) {
  for (std::size_t i = 0; i < this->events.size(); ++i) {
    this->events[i] += other.events[i];
  }
  for (std::size_t i = 0; i < this->latency.size(); ++i) {
    this->latency[i] += other.latency[i];
  }
  return *this;
}

void MergeCounts(ServiceCounts& into, const ServiceCounts& from) {
  for (const auto& [id, counts] : from) {
    auto& sum = into[id];
    for (std::size_t i = 0; i < kWindowCount; ++i) sum[i] += counts[i];
  }
}

ServiceLevels::ServiceLevels() = default;
ServiceLevels::~ServiceLevels() = default;

void ServiceLevels::Record(const SeriesId& id, ServiceEvent event,
                           base::Duration latency, base::WallTime now) {
  auto& entry = this->series[id];
  if (!entry) entry = std::make_unique<Series>();
  for (std::size_t window = 0; window < kWindowCount; ++window) {
    auto& ring = entry->rings[window];
    const auto number = SlotNumber(now, window);
    ring.Add(number, static_cast<int>(event));
    if (event == ServiceEvent::kServed) {
      ring.Add(number,
               static_cast<int>(kServiceEventCount) + LatencyBucket(latency));
    }
  }
}

ServiceCounts ServiceLevels::Counts(base::WallTime now) const {
  ServiceCounts counts;
  for (const auto& [id, entry] : this->series) {
    auto& sums = counts[id];
    for (std::size_t window = 0; window < kWindowCount; ++window) {
      sums[window] = entry->rings[window].Sum(SlotNumber(now, window));
    }
  }
  return counts;
}

}  // namespace gypsumtrack::telemetry
