#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

#include "bench.h"

namespace {

struct Bench {
  std::string_view name;
  std::string_view purpose;
  int (*run)(const std::vector<std::string>& args);
};

constexpr Bench kBenches[] = {
    {"routing", "waits of requests under several ways of choosing endpoints",
     gypsumtrack::bench::BenchRouting},
    {"limits", "refusals, excess, messages and table calls of fleet limits",
     gypsumtrack::bench::BenchLimits},
    {"config", "traffic, table calls and time in force of configuration",
     gypsumtrack::bench::BenchConfig},
    {"batch", "throughput beside online, harm to online, shares, recovery",
     gypsumtrack::bench::BenchBatch},
    {"capacity", "slopes of memory and processor time",
     gypsumtrack::bench::BenchCapacity},
    {"membership", "traffic and detection times of membership",
     gypsumtrack::bench::BenchMembership},
};

int PrintUsage() {
  fmt::print(stderr, "usage: gypsumtrack_bench NAME [ARGS]\n");
  for (const auto& bench : kBenches) {
    fmt::print(stderr, "  {:10} {}\n", bench.name, bench.purpose);
  }
  return 2;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> args(argv + 1, argv + argc);
  if (args.empty()) return PrintUsage();
  const auto* const end = std::end(kBenches);
  const auto* const bench =
      std::find_if(std::begin(kBenches), end,
                   [&](const Bench& one) { return one.name == args[0]; });
  if (bench == end) return PrintUsage();
  return bench->run({args.begin() + 1, args.end()});
}
