#include <fmt/format.h>

#include <algorithm>
#include <vector>

#include "bench.h"
#include "gypsumtrack/testing/batch_world.h"
#include "gypsumtrack/testing/shared_fleet.h"

/// What batch costs online requests, and what it gets done beside them.
namespace gypsumtrack::bench {
namespace {

using namespace testing;  // NOLINT

constexpr std::uint64_t kSeeds = 5;
constexpr std::uint64_t kRecoverySeeds = 50;

double Quantile(const std::vector<double>& sorted, double part) {
  if (sorted.empty()) return 0;
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(last * part)];
}

struct Figures {
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

/// Means over the seeds.
Figures Measure(SharedFleetOptions options) {
  Figures sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    options.seed = seed;
    SharedFleet fleet(options);
    fleet.Run();
    const auto first = fleet.FirstTokens();
    const auto items =
        static_cast<double>(std::max<std::uint64_t>(fleet.items(), 1));
    sum.p50 += Quantile(first, 0.5) / kSeeds;
    sum.p99 += Quantile(first, 0.99) / kSeeds;
    sum.p999 += Quantile(first, 0.999) / kSeeds;
    sum.tokens += static_cast<double>(fleet.batch_tokens()) / kSeeds;
    sum.oracle += fleet.oracle_tokens() / kSeeds;
    sum.worst_share += fleet.WorstShare() / kSeeds;
    sum.late += static_cast<double>(fleet.late_items()) / kSeeds;
    sum.writes_per_item +=
        static_cast<double>(fleet.row_writes()) / items / kSeeds;
    sum.stops_per_item += static_cast<double>(fleet.stopped()) / items / kSeeds;
  }
  return sum;
}

void PrintRow(std::string_view name, const Figures& row, const Figures& off) {
  fmt::print(
      "| {} | {:.1f} | {:.1f} | {:.1f} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | "
      "{:.2f} | {:.0f} | {:.3f} | {:.3f} |\n",
      name, row.p50, row.p99, row.p999, row.p50 / off.p50, row.p99 / off.p99,
      row.p999 / off.p999, row.tokens / off.oracle, row.worst_share, row.late,
      row.writes_per_item, row.stops_per_item);
}

/// Seconds from the loss of a VM until none of its chunks is held by it.
void PrintRecovery() {
  std::vector<double> recovered;
  for (std::uint64_t seed = 0; seed < kRecoverySeeds; ++seed) {
    BatchWorldOptions options;
    options.vms = 12;
    options.endpoints = 18;
    options.seed = seed;
    options.longest_item = std::chrono::seconds(3);
    BatchWorld world(options);
    world.Submit("cairo-federation", "draw",
                 std::vector<std::string>(20'000, "{}"), 160);
    world.RunFor(std::chrono::seconds(30) +
                 std::chrono::milliseconds(seed * 311));
    const auto lost_at = world.now();
    const auto held = policy::HolderRowKey({"vm0", 1}, 0);
    world.LoseVm(0, std::chrono::seconds(5));
    base::TableScan scan;
    scan.prefix = held;
    while (!world.store().Scan(scan).rows.empty() &&
           world.now() - lost_at < std::chrono::minutes(10)) {
      world.RunFor(std::chrono::milliseconds(100));
    }
    const auto after = world.now() - lost_at;
    recovered.push_back(static_cast<double>(after.count()) / 1e6);
  }
  std::sort(recovered.begin(), recovered.end());
  fmt::print(
      "\nSeconds until a lost VM's chunks are free again, {} runs: "
      "p50 {:.1f}, p99 {:.1f}, max {:.1f}\n",
      recovered.size(), Quantile(recovered, 0.5), Quantile(recovered, 0.99),
      recovered.back());
}

}  // namespace

/// Prints the table of docs/measurements/batch.md.
int BenchBatch(const std::vector<std::string>& /*args*/) {
  SharedFleetOptions options;
  options.mode = FleetMode::kOnlineOnly;
  const auto off = Measure(options);
  fmt::print(
      "| way | p50 ms | p99 ms | p99.9 ms | p50 ratio | p99 ratio | p99.9 "
      "ratio | throughput over oracle | worst share | late items | writes per "
      "item | stops per item |\n|---|---|---|---|---|---|---|---|---|---|---|"
      "---|\n");
  fmt::print(
      "| online only | {:.1f} | {:.1f} | {:.1f} | 1 | 1 | 1 | | | | | |\n",
      off.p50, off.p99, off.p999);
  options.mode = FleetMode::kYield;
  PrintRow("yield", Measure(options), off);
  for (const double spare : {0.15, 0.3, 0.6}) {
    auto other = options;
    other.slots.spare_fraction = spare;
    other.slots.min_spare_fraction =
        std::min(spare, options.slots.min_spare_fraction);
    PrintRow(fmt::format("yield, {:.0f}% spare", spare * 100), Measure(other),
             off);
  }
  options.load_notices = false;
  PrintRow("yield, reports only", Measure(options), off);
  options.mode = FleetMode::kOrdinary;
  PrintRow("ordinary requests", Measure(options), off);
  options.mode = FleetMode::kFixedSplit;
  PrintRow("fixed split", Measure(options), off);
  PrintRecovery();
  return 0;
}

}  // namespace gypsumtrack::bench
