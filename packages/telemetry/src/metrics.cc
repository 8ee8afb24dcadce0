#include "gypsumtrack/telemetry/metrics.h"

#include <fmt/format.h>

#include <boost/histogram.hpp>
#include <cmath>
#include <limits>

namespace gypsumtrack::telemetry {
namespace {

namespace histogram = boost::histogram;

/// Number of logarithmic buckets between the bounds below; Boost.Histogram adds
/// one at each end for durations outside of them.
constexpr unsigned kBucketCount = 40;
constexpr double kLowestSeconds = 0.0005;
constexpr double kHighestSeconds = 500;

using AtomicCount = histogram::accumulators::count<std::uint64_t, true>;
using LogAxis =
    histogram::axis::regular<double, histogram::axis::transform::log>;
using LatencyCounts =
    histogram::histogram<std::tuple<LogAxis>,
                         histogram::dense_storage<AtomicCount>>;

std::string WithLabels(const std::string& name, const std::string& labels) {
  return labels.empty() ? name : fmt::format("{}{{{}}}", name, labels);
}

void AppendHistogram(std::string& text, const std::string& name,
                     const std::string& labels,
                     const LatencyHistogram& latencies) {
  const auto prefix = labels.empty() ? "" : labels + ",";
  std::uint64_t total = 0;
  for (const auto& bucket : latencies.Buckets()) {
    total += bucket.count;
    const auto bound =
        bucket.upper_bound == std::numeric_limits<double>::infinity()
            ? "+Inf"
            : fmt::format("{:.6g}", bucket.upper_bound);
    text += fmt::format("{}_bucket{{{}le=\"{}\"}} {}\n", name, prefix, bound,
                        total);
  }
  text += fmt::format("{} {:.6f}\n", WithLabels(name + "_sum", labels),
                      latencies.SumSeconds());
  text += fmt::format("{} {}\n", WithLabels(name + "_count", labels), total);
}

}  // namespace

struct LatencyHistogram::State {
  LatencyCounts counts{
      std::tuple(LogAxis(kBucketCount, kLowestSeconds, kHighestSeconds))};
  std::atomic<std::uint64_t> sum_micros = 0;
};

LatencyHistogram::LatencyHistogram() : state(std::make_unique<State>()) {}
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Record(double seconds) {
  constexpr double kMicrosPerSecond = 1e6;
  this->state->counts(seconds);
  this->state->sum_micros.fetch_add(
      static_cast<std::uint64_t>(seconds * kMicrosPerSecond),
      std::memory_order_relaxed);
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::Buckets() const {
  std::vector<Bucket> buckets;
  buckets.reserve(kBucketCount + 2);
  for (const auto& bucket :
       histogram::indexed(this->state->counts, histogram::coverage::all)) {
    buckets.push_back({bucket.bin(0).upper(), bucket->value()});
  }
  return buckets;
}

std::optional<double> LatencyHistogram::QuantileSeconds(double fraction) const {
  const auto buckets = this->Buckets();
  std::uint64_t total = 0;
  for (const auto& bucket : buckets) total += bucket.count;
  if (total == 0) return std::nullopt;
  const auto wanted = fraction * static_cast<double>(total);
  std::uint64_t counted = 0;
  double upper_bound = 0;
  for (const auto& bucket : buckets) {
    if (std::isfinite(bucket.upper_bound)) upper_bound = bucket.upper_bound;
    counted += bucket.count;
    if (static_cast<double>(counted) >= wanted) break;
  }
  return upper_bound;
}

double LatencyHistogram::SumSeconds() const {
  constexpr double kMicrosPerSecond = 1e6;
  const auto micros = this->state->sum_micros.load(std::memory_order_relaxed);
  return static_cast<double>(micros) / kMicrosPerSecond;
}

Counter& Registry::GetCounter(const std::string& name,
                              const std::string& labels,
                              const std::string& help) {
  const std::lock_guard lock(this->mutex);
  auto& family = this->families[name];
  family.help = help;
  auto& counter = family.counters[labels];
  if (!counter) counter = std::make_unique<Counter>();
  return *counter;
}

LatencyHistogram& Registry::GetHistogram(const std::string& name,
                                         const std::string& labels,
                                         const std::string& help) {
  const std::lock_guard lock(this->mutex);
  auto& family = this->families[name];
  family.help = help;
  auto& latencies = family.histograms[labels];
  if (!latencies) latencies = std::make_unique<LatencyHistogram>();
  return *latencies;
}

void Registry::AddGauge(const std::string& name, const std::string& labels,
                        const std::string& help,
                        std::function<double()> read_value) {
  const std::lock_guard lock(this->mutex);
  auto& family = this->families[name];
  family.help = help;
  family.gauges[labels] = std::move(read_value);
}

std::string Registry::FormatPrometheus() const {
  const std::lock_guard lock(this->mutex);
  std::string text;
  for (const auto& [name, family] : this->families) {
    const auto* type = !family.histograms.empty() ? "histogram"
                       : !family.gauges.empty()   ? "gauge"
                                                  : "counter";
    text += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, family.help, name,
                        type);
    for (const auto& [labels, counter] : family.counters) {
      text +=
          fmt::format("{} {}\n", WithLabels(name, labels), counter->Value());
    }
    for (const auto& [labels, read_value] : family.gauges) {
      text += fmt::format("{} {}\n", WithLabels(name, labels), read_value());
    }
    for (const auto& [labels, latencies] : family.histograms) {
      AppendHistogram(text, name, labels, *latencies);
    }
  }
  return text;
}

}  // namespace gypsumtrack::telemetry
