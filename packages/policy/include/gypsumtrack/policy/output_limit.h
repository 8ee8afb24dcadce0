#ifndef GYPSUMTRACK_POLICY_OUTPUT_LIMIT_H_
#define GYPSUMTRACK_POLICY_OUTPUT_LIMIT_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/memory_budget.h"

/// Limits on the output of a request that a daemon keeps until it is complete.
/// An endpoint that exceeds one sends no output of the request.
namespace gypsumtrack::policy {

/// Which limit an output exceeds.
enum class OutputLimit {
  kEvents,  ///< more events than the request's tokens allow
  kBytes,   ///< larger than any output may be
  kMemory,  ///< the memory for all outputs is used up
};

/// Names of the limits in log events.
inline constexpr auto kOutputLimitNames = base::MakeEnumTable<OutputLimit>({
    {OutputLimit::kEvents, "events"},
    {OutputLimit::kBytes, "bytes"},
    {OutputLimit::kMemory, "memory"},
});

/// The limits of a daemon.
struct OutputLimits {
  /// Maximum size of an output: what fits into a page of results.
  std::uint64_t max_bytes = 1'000'000;
  /// Outputs up to this size may grow while the memory for all is used up, so
  /// that large ones don't hold up the others.
  std::uint64_t small_bytes = 64ULL * 1024;
  /// Events that an output may have beyond one for each token, such as one that
  /// says why the output ends.
  std::uint64_t max_events_without_token = 16;
};

/// The size of an output.
struct OutputSize {
  std::uint64_t bytes = 0;
  std::uint64_t events = 0;
};

/// Returns the limit that an output of that size exceeds, if any. `max_tokens`
/// is that of the request, or 0 if it names none; `memory` that of all outputs,
/// this one included. Thread-safe.
std::optional<OutputLimit> FindExceededLimit(const OutputLimits& limits,
                                             const OutputSize& size,
                                             std::uint64_t max_tokens,
                                             const base::MemoryBudget& memory);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_OUTPUT_LIMIT_H_
