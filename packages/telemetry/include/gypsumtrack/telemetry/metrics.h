#ifndef GYPSUMTRACK_TELEMETRY_METRICS_H_
#define GYPSUMTRACK_TELEMETRY_METRICS_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

/// Counters, gauges and histograms in the Prometheus text format.
namespace gypsumtrack::telemetry {

/// A monotonically increasing counter.
class Counter {
 public:
  /// Adds `increment` to the counter. Thread-safe.
  void Add(std::uint64_t increment = 1) {
    this->count.fetch_add(increment, std::memory_order_relaxed);
  }
  /// Returns the current value. Thread-safe.
  std::uint64_t Value() const {
    return this->count.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<std::uint64_t> count = 0;
};

/// A histogram of durations in seconds, with logarithmic buckets.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram&) = delete;
  LatencyHistogram& operator=(const LatencyHistogram&) = delete;

  /// Records one duration. Thread-safe and lock-free.
  void Record(double seconds);

  /// The number of durations between the previous bucket's upper bound and its
  /// own.
  struct Bucket {
    /// In seconds; infinity for the last bucket.
    double upper_bound = 0;
    std::uint64_t count = 0;
  };

  /// Returns the buckets in ascending order. Thread-safe; durations recorded
  /// during the call may be missing.
  std::vector<Bucket> Buckets() const;
  /// Returns a duration in seconds that the given fraction of the durations
  /// don't exceed, to the precision of the buckets; none if nothing was
  /// recorded. Precondition: 0 < fraction <= 1. Thread-safe.
  std::optional<double> QuantileSeconds(double fraction) const;
  /// Returns the sum of the recorded durations in seconds. Thread-safe.
  double SumSeconds() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

/// The metrics of a process. A metric lives as long as the registry.
class Registry {
 public:
  /// Returns the counter of a name and labels; creates it if needed. `labels`
  /// is in the Prometheus format, such as `code="over_rate"`, and may be empty.
  /// Thread-safe. Takes a lock: keep the reference instead of calling this for
  /// each request.
  Counter& GetCounter(const std::string& name, const std::string& labels,
                      const std::string& help);
  /// Like GetCounter, for a histogram.
  LatencyHistogram& GetHistogram(const std::string& name,
                                 const std::string& labels,
                                 const std::string& help);
  /// Adds a gauge, or replaces the one of the same name and labels.
  /// `read_value` is called by each FormatPrometheus while the registry is
  /// locked, so it must not use the registry. Thread-safe.
  void AddGauge(const std::string& name, const std::string& labels,
                const std::string& help, std::function<double()> read_value);

  /// Formats all metrics in the Prometheus text format. Thread-safe.
  std::string FormatPrometheus() const;

 private:
  /// The metrics of one name, by labels.
  struct Family {
    std::string help;
    std::map<std::string, std::unique_ptr<Counter>> counters;
    std::map<std::string, std::unique_ptr<LatencyHistogram>> histograms;
    std::map<std::string, std::function<double()>> gauges;
  };

  mutable std::mutex mutex;
  std::map<std::string, Family> families;
};

}  // namespace gypsumtrack::telemetry

#endif  // GYPSUMTRACK_TELEMETRY_METRICS_H_
