#ifndef GYPSUMTRACK_GATEWAY_RUNTIME_H_
#define GYPSUMTRACK_GATEWAY_RUNTIME_H_

#include <boost/asio/any_io_executor.hpp>
#include <memory>

#include "gypsumtrack/base/memory_budget.h"
#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/gateway/settings.h"
#include "gypsumtrack/peer/peer.h"
#include "gypsumtrack/platform/platform.h"

/// Objects that the services of a daemon share.
namespace gypsumtrack::gateway {

/// Memory for texts that endpoints generate, until they are complete.
inline constexpr std::uint64_t kMaxGeneratedBytes =
    std::uint64_t{64} * 1024 * 1024;

/// Passed to each service by reference; outlives them. Immutable after start.
struct Runtime {
  Settings settings;
  /// The VM that this daemon runs on.
  base::VmId self;
  base::Clock clock;
  /// A strand. Commands of policy objects must run on it.
  boost::asio::any_io_executor control;
  /// The thread pool that serves connections.
  boost::asio::any_io_executor pool;
  platform::Platform platform;
  peer::PeerLink peers;
  /// Charged for generated texts. Thread-safe.
  std::shared_ptr<base::MemoryBudget> generated_text =
      std::make_shared<base::MemoryBudget>(kMaxGeneratedBytes);
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_RUNTIME_H_
