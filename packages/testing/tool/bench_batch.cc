#include <fmt/format.h>

#include <algorithm>
#include <vector>

#include "bench.h"
#include "gypsumtrack/testing/batch_world.h"
#include "gypsumtrack/testing/shared_fleet.h"

/// Measures the effect of batch work on the latency of online requests, and the
/// batch throughput reached alongside them.
namespace gypsumtrack::bench {
namespace {

using namespace testing;  // NOLINT

constexpr std::uint64_t kSeeds = 5;
constexpr std::uint64_t kRecoverySeeds = 50;

double Quantile(const std::vector<double>& sorted, double quantile) {
  if (sorted.empty()) return 0;
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(last * quantile)];
}

/// Metrics of one batch mode, averaged over the seeds.
struct BatchMetrics {
  double p50 = 0;
  double p99 = 0;
  double p999 = 0;
  double tokens = 0;
  double oracle = 0;
  double worst_share = 0;
  double late = 0;
  double writes_per_item = 0;
  double stops_per_item = 0;
};

/// Runs the fleet once per seed and returns the mean of each metric.
BatchMetrics Measure(SharedFleetOptions options) {
  BatchMetrics mean;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    options.seed = seed;
    SharedFleet fleet(options);
    fleet.Run();
    const auto first_token_ms = fleet.FirstTokenTimesMs();
    const auto items =
        static_cast<double>(std::max<std::uint64_t>(fleet.items(), 1));
    mean.p50 += Quantile(first_token_ms, 0.5) / kSeeds;
    mean.p99 += Quantile(first_token_ms, 0.99) / kSeeds;
    mean.p999 += Quantile(first_token_ms, 0.999) / kSeeds;
    mean.tokens += static_cast<double>(fleet.batch_tokens()) / kSeeds;
    mean.oracle += fleet.idle_slot_tokens() / kSeeds;
    mean.worst_share += fleet.LowestRelativeShare() / kSeeds;
    mean.late += static_cast<double>(fleet.late_items()) / kSeeds;
    mean.writes_per_item +=
        static_cast<double>(fleet.row_writes()) / items / kSeeds;
    mean.stops_per_item +=
        static_cast<double>(fleet.stopped()) / items / kSeeds;
  }
  return mean;
}

void PrintRow(std::string_view name, const BatchMetrics& row,
              const BatchMetrics& online_only) {
  fmt::print(
      "| {} | {:.1f} | {:.1f} | {:.1f} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | "
      "{:.2f} | {:.0f} | {:.3f} | {:.3f} |\n",
      name, row.p50, row.p99, row.p999, row.p50 / online_only.p50,
      row.p99 / online_only.p99, row.p999 / online_only.p999,
      row.tokens / online_only.oracle, row.worst_share, row.late,
      row.writes_per_item, row.stops_per_item);
}

/// Prints the time from the loss of a VM until it holds no chunk any more.
void PrintRecovery() {
  std::vector<double> recovery_seconds;
  for (std::uint64_t seed = 0; seed < kRecoverySeeds; ++seed) {
    BatchSimulationOptions options;
    options.vms = 12;
    options.endpoints = 18;
    options.seed = seed;
    options.max_item_duration = std::chrono::seconds(3);
    BatchSimulation simulation(options);
    simulation.Submit("cairo-federation", "draw",
                      std::vector<std::string>(20'000, "{}"), 160);
    simulation.RunFor(std::chrono::seconds(30) +
                      std::chrono::milliseconds(seed * 311));
    const auto lost_at = simulation.now();
    const auto holder_prefix = policy::HolderRowKey({"vm0", 1}, 0);
    simulation.CrashVm(0, std::chrono::seconds(5));
    base::TableScan scan;
    scan.prefix = holder_prefix;
    while (!simulation.store().Scan(scan).rows.empty() &&
           simulation.now() - lost_at < std::chrono::minutes(10)) {
      simulation.RunFor(std::chrono::milliseconds(100));
    }
    const auto elapsed = simulation.now() - lost_at;
    recovery_seconds.push_back(static_cast<double>(elapsed.count()) / 1e6);
  }
  std::sort(recovery_seconds.begin(), recovery_seconds.end());
  fmt::print(
      "\nSeconds until a lost VM's chunks are free again, {} runs: "
      "p50 {:.1f}, p99 {:.1f}, max {:.1f}\n",
      recovery_seconds.size(), Quantile(recovery_seconds, 0.5),
      Quantile(recovery_seconds, 0.99), recovery_seconds.back());
}

}  // namespace

/// Prints the table that docs/measurements/batch.md publishes.
int BenchBatch(const std::vector<std::string>& /*args*/) {
  SharedFleetOptions options;
  options.mode = FleetMode::kOnlineOnly;
  const auto online_only = Measure(options);
  fmt::print(
      "| way | p50 ms | p99 ms | p99.9 ms | p50 ratio | p99 ratio | p99.9 "
      "ratio | throughput over oracle | worst share | late items | writes per "
      "item | stops per item |\n|---|---|---|---|---|---|---|---|---|---|---|"
      "---|\n");
  fmt::print(
      "| online only | {:.1f} | {:.1f} | {:.1f} | 1 | 1 | 1 | | | | | |\n",
      online_only.p50, online_only.p99, online_only.p999);
  options.mode = FleetMode::kYield;
  PrintRow("yield", Measure(options), online_only);
  for (const double fraction : {0.15, 0.3, 0.6}) {
    auto variant = options;
    variant.slots.spare_fraction = fraction;
    variant.slots.min_spare_fraction =
        std::min(fraction, options.slots.min_spare_fraction);
    PrintRow(fmt::format("yield, {:.0f}% spare", fraction * 100),
             Measure(variant), online_only);
  }
  options.load_notices = false;
  PrintRow("yield, reports only", Measure(options), online_only);
  options.mode = FleetMode::kSameAsOnline;
  PrintRow("ordinary requests", Measure(options), online_only);
  options.mode = FleetMode::kFixedSplit;
  PrintRow("fixed split", Measure(options), online_only);
  PrintRecovery();
  return 0;
}

}  // namespace gypsumtrack::bench
