#ifndef GYPSUMTRACK_TESTING_TOOL_BENCH_H_
#define GYPSUMTRACK_TESTING_TOOL_BENCH_H_

#include <string>
#include <vector>

/// Benchmarks whose results are published under docs/measurements/.
namespace gypsumtrack::bench {

/// Prints the queueing delay of requests under several routing strategies.
/// Returns the exit status.
int BenchRouting(const std::vector<std::string>& args);

/// Prints the refusals, excess admissions and store calls of fleet-wide limits.
/// Returns the exit status.
int BenchLimits(const std::vector<std::string>& args);

/// Prints the traffic, store calls and propagation time of configuration
/// changes. Returns the exit status.
int BenchConfig(const std::vector<std::string>& args);

/// Prints batch throughput and its effect on the latency of online requests.
/// Returns the exit status.
int BenchBatch(const std::vector<std::string>& args);

/// Prints the memory per object and the processor time per operation. Returns
/// the exit status.
int BenchCapacity(const std::vector<std::string>& args);

/// Prints the traffic of membership and its failure detection time. Returns the
/// exit status.
int BenchMembership(const std::vector<std::string>& args);

}  // namespace gypsumtrack::bench

#endif  // GYPSUMTRACK_TESTING_TOOL_BENCH_H_
