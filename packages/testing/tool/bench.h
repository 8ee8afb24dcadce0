#ifndef GYPSUMTRACK_TESTING_TOOL_BENCH_H_
#define GYPSUMTRACK_TESTING_TOOL_BENCH_H_

#include <string>
#include <vector>

/// Measurements that docs/measurements/ quotes.
namespace gypsumtrack::bench {

/// Prints waits under several ways of routing. Returns the exit status.
int BenchRouting(const std::vector<std::string>& args);

/// Prints how fleet-wide limits do. Returns the exit status.
int BenchLimits(const std::vector<std::string>& args);

/// Prints what configuration costs and how soon it is in force. Returns the
/// exit status.
int BenchConfig(const std::vector<std::string>& args);

/// Prints how batch does beside online. Returns the exit status.
int BenchBatch(const std::vector<std::string>& args);

/// Prints slopes of memory and processor time. Returns the exit status.
int BenchCapacity(const std::vector<std::string>& args);

/// Prints what membership costs and how soon it detects. Returns the exit
/// status.
int BenchMembership(const std::vector<std::string>& args);

}  // namespace gypsumtrack::bench

#endif  // GYPSUMTRACK_TESTING_TOOL_BENCH_H_
