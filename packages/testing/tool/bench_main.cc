#include <fmt/format.h>

#include <string_view>

/// Measurements: `gypsumtrack_bench NAME`.
namespace gypsumtrack::testing {

int RunBatchBench(int argc, char** argv);

namespace {

struct Bench {
  std::string_view name;
  int (*run)(int argc, char** argv);
};

constexpr Bench kBenches[] = {
    {"batch", RunBatchBench},
};

int Usage() {
  fmt::print(stderr, "usage: gypsumtrack_bench NAME\n");
  for (const auto& bench : kBenches) {
    fmt::print(stderr, "  {}\n", bench.name);
  }
  return 2;
}

}  // namespace

int RunBench(int argc, char** argv) {
  if (argc < 2) return Usage();
  for (const auto& bench : kBenches) {
    if (bench.name == argv[1]) return bench.run(argc - 1, argv + 1);
  }
  return Usage();
}

}  // namespace gypsumtrack::testing

int main(int argc, char** argv) {
  return gypsumtrack::testing::RunBench(argc, argv);
}
