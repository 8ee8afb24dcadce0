#include "gypsumtrack/telemetry/metrics.h"

#include <fmt/format.h>

#include <boost/histogram.hpp>
#include <limits>

namespace gypsumtrack::telemetry {
namespace {

namespace histogram = boost::histogram;

constexpr unsigned kBucketCount = 40;
constexpr double kLowestSeconds = 0.0005;
constexpr double kHighestSeconds = 500;

using SharedCount = histogram::accumulators::count<std::uint64_t, true>;
using LogAxis =
    histogram::axis::regular<double, histogram::axis::transform::log>;
using LatencyCounts =
    histogram::histogram<std::tuple<LogAxis>,
                         histogram::dense_storage<SharedCount>>;

std::string WithLabels(const std::string& name, const std::string& labels) {
  return labels.empty() ? name : fmt::format("{}{{{}}}", name, labels);
}

void AppendHistogram(std::string& text, const std::string& name,
                     const std::string& labels,
                     const LatencyHistogram& values) {
  const auto prefix = labels.empty() ? "" : labels + ",";
  std::uint64_t total = 0;
  for (const auto& bucket : values.Buckets()) {
    total += bucket.count;
    const auto edge = bucket.upper == std::numeric_limits<double>::infinity()
                          ? "+Inf"
                          : fmt::format("{:.6g}", bucket.upper);
    text +=
        fmt::format("{}_bucket{{{}le=\"{}\"}} {}\n", name, prefix, edge, total);
  }
  text += fmt::format("{} {:.6f}\n", WithLabels(name + "_sum", labels),
                      values.SumSeconds());
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
  for (const auto& cell :
       histogram::indexed(this->state->counts, histogram::coverage::all)) {
    buckets.push_back({cell.bin(0).upper(), cell->value()});
  }
  return buckets;
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
  auto& values = family.histograms[labels];
  if (!values) values = std::make_unique<LatencyHistogram>();
  return *values;
}

void Registry::AddGauge(const std::string& name, const std::string& labels,
                        const std::string& help, std::function<double()> read) {
  const std::lock_guard lock(this->mutex);
  auto& family = this->families[name];
  family.help = help;
  family.gauges[labels] = std::move(read);
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
    for (const auto& [labels, read] : family.gauges) {
      text += fmt::format("{} {}\n", WithLabels(name, labels), read());
    }
    for (const auto& [labels, values] : family.histograms) {
      AppendHistogram(text, name, labels, *values);
    }
  }
  return text;
}

}  // namespace gypsumtrack::telemetry
