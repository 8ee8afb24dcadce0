#ifndef GYPSUMTRACK_TELEMETRY_METRICS_H_
#define GYPSUMTRACK_TELEMETRY_METRICS_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

/// Counters, gauges and histograms in the Prometheus text format.
namespace gypsumtrack::telemetry {

/// A number that only rises.
class Counter {
 public:
  /// Thread-safe, as is Value.
  void Add(std::uint64_t by = 1) {
    this->count.fetch_add(by, std::memory_order_relaxed);
  }
  std::uint64_t Value() const {
    return this->count.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<std::uint64_t> count = 0;
};

/// Times in seconds, in buckets of Boost.Histogram.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram&) = delete;
  LatencyHistogram& operator=(const LatencyHistogram&) = delete;

  /// Thread-safe, lock-free.
  void Record(double seconds);

  struct Bucket {
    /// Upper edge in seconds; infinity for the last.
    double upper = 0;
    std::uint64_t count = 0;
  };

  /// Thread-safe; counts recorded meanwhile may be missing.
  std::vector<Bucket> Buckets() const;
  double SumSeconds() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

/// The metrics of a process. A metric, once made, lives as long as the
/// registry.
class Registry {
 public:
  /// `labels` as in `code="over_rate"`, may be empty. Thread-safe; takes a
  /// lock, so keep the reference rather than look it up for each request.
  Counter& GetCounter(const std::string& name, const std::string& labels,
                      const std::string& help);
  LatencyHistogram& GetHistogram(const std::string& name,
                                 const std::string& labels,
                                 const std::string& help);
  /// A value read when the metrics are printed. Thread-safe.
  void AddGauge(const std::string& name, const std::string& labels,
                const std::string& help, std::function<double()> read);

  /// Thread-safe.
  std::string FormatPrometheus() const;

 private:
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
