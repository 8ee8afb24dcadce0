#ifndef GYPSUMTRACK_POLICY_SERVING_LOST_RUNS_H_
#define GYPSUMTRACK_POLICY_SERVING_LOST_RUNS_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/serving/crash_quarantine.h"
#include "gypsumtrack/policy/serving/endpoint_liveness.h"

/// Keeps the runs whose connections were lost until it is known whether their
/// endpoints have ended.
namespace gypsumtrack::policy {

/// A run whose connection closed before its suspects made progress.
struct LostRun {
  std::vector<CrashSuspect> suspects;
  /// Equal for runs of the same request or item.
  std::string request;
  EndpointIncarnation endpoint;
  base::Instant lost_at{};
  /// `lost_at` by the clock that all daemons share.
  base::WallTime lost_at_wall{};
};

/// The lost runs of one daemon. Not thread-safe.
class LostRuns {
 public:
  /// Keeps at most `max_runs`.
  explicit LostRuns(std::size_t max_runs);

  // Commands.

  /// Adds a run. Returns false if there is no room for it.
  bool Add(LostRun run);
  /// Records that a run with these suspects made progress: the lost ones didn't
  /// end because of them.
  void OnProgress(const std::vector<CrashSuspect>& suspects);
  /// Removes the runs of an endpoint and returns them, without those that have
  /// no suspect left.
  std::vector<LostRun> Take(const EndpointIncarnation& endpoint);

  // Queries.

  /// Returns whether there are runs of the endpoint.
  bool Contains(const EndpointIncarnation& endpoint) const {
    return this->runs.contains(endpoint);
  }
  /// Returns the number of runs.
  std::size_t size() const { return this->count; }  // NOLINT

 private:
  std::size_t max_runs;
  std::size_t count = 0;
  std::map<EndpointIncarnation, std::vector<LostRun>> runs;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_LOST_RUNS_H_
