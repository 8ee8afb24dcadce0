#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

#include "bench.h"

namespace {

/// An entry of the command line's list of benchmarks.
struct Benchmark {
  std::string_view name;
  std::string_view purpose;
  int (*run)(const std::vector<std::string>& args);
};

constexpr Benchmark kBenchmarks[] = {
    {"routing", "queueing delay of requests under several routing strategies",
     gypsumtrack::bench::BenchRouting},
    {"limits", "refusals, excess and table calls of fleet-wide limits",
     gypsumtrack::bench::BenchLimits},
    {"config", "traffic, table calls and propagation time of configuration",
     gypsumtrack::bench::BenchConfig},
    {"batch", "throughput, effect on online latency, shares, recovery",
     gypsumtrack::bench::BenchBatch},
    {"capacity", "memory per object and processor time per operation",
     gypsumtrack::bench::BenchCapacity},
    {"membership", "traffic and failure detection times of membership",
     gypsumtrack::bench::BenchMembership},
};

int PrintUsage() {
  fmt::print(stderr, "usage: gypsumtrack_bench NAME [ARGS]\n");
  for (const auto& benchmark : kBenchmarks) {
    fmt::print(stderr, "  {:10} {}\n", benchmark.name, benchmark.purpose);
  }
  return 2;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> args(argv + 1, argv + argc);
  if (args.empty()) return PrintUsage();
  const auto* const end = std::end(kBenchmarks);
  const auto* const benchmark = std::find_if(
      std::begin(kBenchmarks), end,
      [&](const Benchmark& candidate) { return candidate.name == args[0]; });
  if (benchmark == end) return PrintUsage();
  return benchmark->run({args.begin() + 1, args.end()});
}
