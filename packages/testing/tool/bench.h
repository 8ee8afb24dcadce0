#ifndef GYPSUMTRACK_TESTING_TOOL_BENCH_H_
#define GYPSUMTRACK_TESTING_TOOL_BENCH_H_

#include <string>
#include <vector>

/// Measurements that docs/measurements/ quotes.
namespace gypsumtrack::bench {

/// Prints how fleet-wide limits do. Returns the exit status.
int BenchMembership(const std::vector<std::string>& args);

}  // namespace gypsumtrack::bench

#endif  // GYPSUMTRACK_TESTING_TOOL_BENCH_H_
