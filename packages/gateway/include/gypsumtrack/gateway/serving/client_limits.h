#ifndef GYPSUMTRACK_GATEWAY_SERVING_CLIENT_LIMITS_H_
#define GYPSUMTRACK_GATEWAY_SERVING_CLIENT_LIMITS_H_

#include <cstdint>

#include "gypsumtrack/gateway/serving/serving_settings.h"
#include "gypsumtrack/policy/client_memory.h"

/// What callers and endpoints that nobody controls may use of a VM.
namespace gypsumtrack::gateway {

/// Limits of a daemon, derived from its VM's.
struct ClientLimits {
  /// Memory for callers' requests and answers; a limit of 0 for none.
  policy::ClientMemoryOptions memory;
  /// Memory for answers of endpoints that aren't complete yet.
  std::uint64_t answer_bytes = 0;
  /// Memory for the outputs of items of batch jobs.
  std::uint64_t output_bytes = 0;
  /// Connections to the callers' address, and to each of the others.
  std::uint32_t caller_connections = 0;
  std::uint32_t other_connections = 0;
};

/// Returns the limits for a VM. Without those of the VM, connections are
/// limited to 4,096 and memory isn't limited. Thread-safe.
ClientLimits MakeClientLimits(const ServingSettings& settings);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_CLIENT_LIMITS_H_
