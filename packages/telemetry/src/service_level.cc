#include "gypsumtrack/telemetry/service_level.h"

#include <boost/histogram.hpp>
#include <chrono>

namespace gypsumtrack::telemetry {
namespace {

namespace histogram = boost::histogram;

/// A window consists of this many slots, including the incomplete current one.
/// The ring holds one slot more.
constexpr int kSlotsPerWindow = 12;
constexpr int kSlotCount = kSlotsPerWindow + 1;

constexpr std::array<std::chrono::seconds, kWindowCount> kSlotDurations = {
    std::chrono::seconds(25), std::chrono::minutes(5), std::chrono::minutes(30),
    std::chrono::hours(6)};

using IndexAxis = histogram::axis::integer<int, histogram::use_default,
                                           histogram::axis::option::none_t>;
/// Counts by slot of the ring and by column. The columns are the events,
/// followed by the latency buckets.
using SlotCounts =
    histogram::histogram<std::tuple<IndexAxis, IndexAxis>,
                         histogram::dense_storage<std::uint32_t>>;

constexpr int kColumnCount =
    static_cast<int>(kServiceEventCount + kLatencyBucketCount);

std::int64_t GetSlotNumber(base::WallTime now, std::size_t window) {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
  return seconds.time_since_epoch() / kSlotDurations[window];
}

int FindLatencyBucket(base::Duration latency) {
  const auto millis =
      std::chrono::duration<double, std::milli>(latency).count();
  std::size_t bucket = 0;
  while (bucket < kLatencyBucketBoundsMs.size() &&
         millis > kLatencyBucketBoundsMs[bucket]) {
    ++bucket;
  }
  return static_cast<int>(bucket);
}

/// A ring buffer of the time slots of one window.
struct SlotRing {
  SlotCounts counts{
      std::tuple(IndexAxis(0, kSlotCount), IndexAxis(0, kColumnCount))};
  std::array<std::int64_t, kSlotCount> slot_numbers{};

  void Add(std::int64_t number, int column) {
    const auto index = static_cast<int>(number % kSlotCount);
    // The slot holds a later time: the wall clock was set back.
    if (this->slot_numbers[index] > number) return;
    if (this->slot_numbers[index] < number) {
      for (int i = 0; i < kColumnCount; ++i) this->counts.at(index, i) = 0;
      this->slot_numbers[index] = number;
    }
    this->counts(index, column);
  }

  WindowCounts Sum(std::int64_t last_number) const {
    WindowCounts sum;
    for (int slot = 0; slot < kSlotCount; ++slot) {
      const auto number = this->slot_numbers[slot];
      if (number > last_number || number <= last_number - kSlotsPerWindow)
        continue;
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
    const auto number = GetSlotNumber(now, window);
    ring.Add(number, static_cast<int>(event));
    if (event == ServiceEvent::kServed) {
      ring.Add(number, static_cast<int>(kServiceEventCount) +
                           FindLatencyBucket(latency));
    }
  }
}

ServiceCounts ServiceLevels::Counts(base::WallTime now) const {
  ServiceCounts counts;
  for (const auto& [id, entry] : this->series) {
    auto& sums = counts[id];
    for (std::size_t window = 0; window < kWindowCount; ++window) {
      sums[window] = entry->rings[window].Sum(GetSlotNumber(now, window));
    }
  }
  return counts;
}

}  // namespace gypsumtrack::telemetry
