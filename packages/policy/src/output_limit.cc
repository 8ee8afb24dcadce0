#include "gypsumtrack/policy/output_limit.h"

namespace gypsumtrack::policy {

std::optional<OutputLimit> FindExceededLimit(const OutputLimits& limits,
                                             const OutputSize& size,
                                             std::uint64_t max_tokens,
                                             const base::MemoryBudget& memory) {
  const auto max_events = max_tokens + limits.max_events_without_token;
  if (max_tokens > 0 && size.events > max_events) return OutputLimit::kEvents;
  if (size.bytes > limits.max_bytes) return OutputLimit::kBytes;
  const bool is_small = size.bytes <= limits.small_bytes;
  if (!is_small && memory.is_exceeded()) return OutputLimit::kMemory;
  return std::nullopt;
}

}  // namespace gypsumtrack::policy
