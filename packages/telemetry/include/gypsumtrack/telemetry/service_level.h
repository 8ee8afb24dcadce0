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

/// What each organisation got of each service, over rolling windows.
namespace gypsumtrack::telemetry {

/// How a request or batch item ended.
enum class ServiceEvent {
  kServed,
  kRefusedOverRate,  ///< rightly, above rate and burst
  kRefusedNoShare,   ///< this VM held no share of the rate
  kRefusedIsolated,  ///< the domain is cut off, and the rule says refuse
  kRefusedOverload,  ///< no endpoint had room
  kRefusedCaller,    ///< the caller's own fault: key, rule, malformed
  kFailed,           ///< accepted and not answered whole
  kBatchOnTime,
  kBatchLate,
};

inline constexpr std::size_t kServiceEventCount = 9;

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

enum class Window { kFiveMinutes, kHour, kSixHours, kThreeDays };

inline constexpr std::size_t kWindowCount = 4;

inline constexpr auto kWindowNames = base::MakeEnumTable<Window>({
    {Window::kFiveMinutes, "5m"},
    {Window::kHour, "1h"},
    {Window::kSixHours, "6h"},
    {Window::kThreeDays, "3d"},
});

/// Upper edges of the latency buckets in milliseconds; above the last is one
/// bucket more. An objective's threshold is one of them.
inline constexpr std::array<double, 11> kLatencyEdgesMs = {
    50, 100, 200, 300, 500, 780, 1000, 2000, 5000, 10000, 30000};

inline constexpr std::size_t kLatencyBucketCount = kLatencyEdgesMs.size() + 1;

struct SeriesId {
  base::Organisation organisation;
  base::Service service;

  auto operator<=>(const SeriesId&) const = default;
};

/// Counts of one series in one window. Counts of several daemons add up.
struct WindowCounts {
  std::array<std::uint64_t, kServiceEventCount> events{};
  /// Served requests by time to first byte.
  std::array<std::uint64_t, kLatencyBucketCount> latency{};

  std::uint64_t Count(ServiceEvent event) const {
    return this->events[static_cast<std::size_t>(event)];
  }
  WindowCounts& operator+=(const WindowCounts& other);
  bool operator==(const WindowCounts&) const = default;
};

using SeriesCounts = std::array<WindowCounts, kWindowCount>;
using ServiceCounts = std::map<SeriesId, SeriesCounts>;

/// Adds `from` into `into`. Thread-safe on distinct objects.
void MergeCounts(ServiceCounts& into, const ServiceCounts& from);

/// The counts of one daemon, in slots aligned to the calendar so that windows
/// of several daemons cover the same time. Memory per series is fixed. Not
/// thread-safe.
class ServiceLevels {
 public:
  ServiceLevels();
  ~ServiceLevels();
  ServiceLevels(const ServiceLevels&) = delete;
  ServiceLevels& operator=(const ServiceLevels&) = delete;

  /// `latency` counts for kServed only.
  void Record(const SeriesId& series, ServiceEvent event,
              base::Duration latency, base::WallTime now);

  /// Counts up to `now`. A window ends in the current, unfinished slot.
  ServiceCounts Counts(base::WallTime now) const;

 private:
  struct Series;
  std::map<SeriesId, std::unique_ptr<Series>> series;
};

}  // namespace gypsumtrack::telemetry

#endif  // GYPSUMTRACK_TELEMETRY_SERVICE_LEVEL_H_
