#ifndef GYPSUMTRACK_TELEMETRY_SERVICE_LEVEL_H_
#define GYPSUMTRACK_TELEMETRY_SERVICE_LEVEL_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"

/// Service-level event counts of each organisation and service over rolling
/// windows.
namespace gypsumtrack::telemetry {

/// The result of a request or batch item.
enum class ServiceEvent {
  kServed,
  kRefusedOverRate,  ///< above the rate and burst
  kRefusedNoShare,   ///< this VM has no share of the rate
  kRefusedIsolated,  ///< the failure domain is isolated and the rule refuses
  kRefusedOverload,  ///< no endpoint had a free slot
  kRefusedCaller,    ///< caller error: key, rule or malformed request
  kFailed,           ///< accepted, but the response was not complete
  kBatchOnTime,
  kBatchLate,
};

/// The number of ServiceEvent values.
inline constexpr std::size_t kServiceEventCount = 9;

/// The names of the events in metric labels.
inline constexpr auto kServiceEventNames = base::MakeEnumTable<ServiceEvent>({
    {ServiceEvent::kServed, "served"},
    {ServiceEvent::kRefusedOverRate, "refused_over_rate"},
    {ServiceEvent::kRefusedNoShare, "refused_no_share"},
    {ServiceEvent::kRefusedIsolated, "refused_isolated"},
    {ServiceEvent::kRefusedOverload, "refused_overload"},
    {ServiceEvent::kRefusedCaller, "refused_caller"},
    {ServiceEvent::kFailed, "failed"},
    {ServiceEvent::kBatchOnTime, "batch_on_time"},
    {ServiceEvent::kBatchLate, "batch_late"},
});

/// The rolling windows over which events are counted.
enum class Window { kFiveMinutes, kHour, kSixHours, kThreeDays };

/// The number of Window values.
inline constexpr std::size_t kWindowCount = 4;

/// The names of the windows in reports.
inline constexpr auto kWindowNames = base::MakeEnumTable<Window>({
    {Window::kFiveMinutes, "5m"},
    {Window::kHour, "1h"},
    {Window::kSixHours, "6h"},
    {Window::kThreeDays, "3d"},
});

/// Inclusive upper bounds of the latency buckets in milliseconds; one more
/// bucket holds higher latencies. The threshold of a latency objective is one
/// of them.
inline constexpr std::array<double, 11> kLatencyBucketBoundsMs = {
    50, 100, 200, 300, 500, 780, 1000, 2000, 5000, 10000, 30000};

/// The number of latency buckets, with the unbounded last one.
inline constexpr std::size_t kLatencyBucketCount =
    kLatencyBucketBoundsMs.size() + 1;

/// Identifies the counts of one organisation and service.
struct SeriesId {
  base::Organisation organisation;
  base::Service service;

  auto operator<=>(const SeriesId&) const = default;
};

/// The counts of one series in one window. Counts of several daemons can be
/// added. Not thread-safe.
struct WindowCounts {
  /// By ServiceEvent.
  std::array<std::uint64_t, kServiceEventCount> events{};
  /// Served requests by latency bucket of the time to first byte.
  std::array<std::uint64_t, kLatencyBucketCount> latency{};

  /// Returns the number of events of one kind.
  std::uint64_t Count(ServiceEvent event) const {
    return this->events[static_cast<std::size_t>(event)];
  }
  /// Adds the counts of `other`.
  WindowCounts& operator+=(const WindowCounts& other);
  bool operator==(const WindowCounts&) const = default;
};

/// The counts of one series by Window.
using SeriesCounts = std::array<WindowCounts, kWindowCount>;
/// The counts of all series.
using ServiceCounts = std::map<SeriesId, SeriesCounts>;

/// Adds the counts of `from` to `into`. Thread-safe on distinct objects.
void MergeCounts(ServiceCounts& into, const ServiceCounts& from);

/// Counts the service-level events of one daemon. Time slots are aligned to the
/// wall clock, so that the windows of several daemons cover the same time.
/// Memory per series is fixed. Not thread-safe.
class ServiceLevels {
 public:
  ServiceLevels();
  ~ServiceLevels();
  ServiceLevels(const ServiceLevels&) = delete;
  ServiceLevels& operator=(const ServiceLevels&) = delete;

  /// Counts an event at `now`. `latency`, the time to first byte, is used for
  /// kServed only. The event is dropped from a window whose slot already holds
  /// a later time, after the wall clock stepped back.
  void Record(const SeriesId& series, ServiceEvent event,
              base::Duration latency, base::WallTime now);

  /// Returns the counts up to `now`. Each window includes the current,
  /// incomplete slot.
  ServiceCounts Counts(base::WallTime now) const;

 private:
  struct Series;
  std::map<SeriesId, std::unique_ptr<Series>> series;
};

}  // namespace gypsumtrack::telemetry

#endif  // GYPSUMTRACK_TELEMETRY_SERVICE_LEVEL_H_
