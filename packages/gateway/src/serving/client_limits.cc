#include "gypsumtrack/gateway/serving/client_limits.h"

#include <algorithm>

namespace gypsumtrack::gateway {
namespace {

/// Parts of a VM's memory. The rest is for the daemon itself, the store's
/// tables and what copies and fragments take beside what is charged.
constexpr double kClientMemoryFraction = 0.25;
constexpr double kAnswerMemoryFraction = 0.15;
constexpr double kOutputMemoryFraction = 0.1;
/// Enough for answers of any size that a deployment allows callers to send; a
/// VM may have 140 MB in all.
constexpr std::uint64_t kMaxAnswerBytes = std::uint64_t{24} * 1024 * 1024;
/// Limit on outputs if the memory of the VM isn't known.
constexpr std::uint64_t kDefaultOutputBytes = std::uint64_t{64} * 1024 * 1024;
/// Parts of a VM's descriptors. The rest is for endpoints, peers and the store,
/// so that a crowd of callers can't take it.
constexpr double kCallerDescriptorsFraction = 0.4;
constexpr double kOtherDescriptorsFraction = 0.05;
constexpr std::uint32_t kMaxConnections = 4096;

std::uint32_t Part(std::uint32_t descriptors, double fraction) {
  const auto part = static_cast<std::uint32_t>(descriptors * fraction);
  return std::clamp(part, 1U, kMaxConnections);
}

}  // namespace

ClientLimits MakeClientLimits(const ServingSettings& settings) {
  ClientLimits limits;
  limits.answer_bytes = kMaxAnswerBytes;
  limits.output_bytes = kDefaultOutputBytes;
  if (settings.memory_bytes) {
    const auto bytes = static_cast<double>(*settings.memory_bytes);
    limits.memory.limit_bytes =
        static_cast<std::uint64_t>(bytes * kClientMemoryFraction);
    limits.answer_bytes =
        std::min(kMaxAnswerBytes,
                 static_cast<std::uint64_t>(bytes * kAnswerMemoryFraction));
    limits.output_bytes =
        static_cast<std::uint64_t>(bytes * kOutputMemoryFraction);
  }
  limits.caller_connections = kMaxConnections;
  limits.other_connections = kMaxConnections;
  if (settings.max_descriptors) {
    limits.caller_connections =
        Part(*settings.max_descriptors, kCallerDescriptorsFraction);
    limits.other_connections =
        Part(*settings.max_descriptors, kOtherDescriptorsFraction);
  }
  return limits;
}

}  // namespace gypsumtrack::gateway
