#ifndef GYPSUMTRACK_GATEWAY_BATCH_HOOKS_H_
#define GYPSUMTRACK_GATEWAY_BATCH_HOOKS_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "gypsumtrack/policy/access.h"
#include "gypsumtrack/policy/batch_action.h"
#include "gypsumtrack/policy/batch_slots.h"
#include "gypsumtrack/policy/fleet_view.h"

/// Hooks through which batch processing uses the other parts of a daemon.
namespace gypsumtrack::gateway {

/// Requests that a running item stop. Thread-safe.
class StopSignal {
 public:
  /// Requests the stop: runs the handler if one is set, and any handler that is
  /// set later. A handler runs in the thread that calls Stop or SetHandler.
  void Stop() {
    std::function<void()> on_stop;
    {
      const std::scoped_lock lock(this->mutex);
      this->stop_requested = true;
      on_stop = std::exchange(this->handler, nullptr);
    }
    if (on_stop) on_stop();
  }

  /// Sets the handler, which runs once, or at once if the stop was already
  /// requested. An empty function removes the handler; one that Stop has
  /// already taken may still run afterwards.
  void SetHandler(std::function<void()> on_stop) {
    {
      const std::scoped_lock lock(this->mutex);
      if (!this->stop_requested) {
        this->handler = std::move(on_stop);
        return;
      }
    }
    if (on_stop) on_stop();
  }

  /// Returns whether Stop was called.
  bool stopped() const {  // NOLINT
    const std::scoped_lock lock(this->mutex);
    return this->stop_requested;
  }

 private:
  mutable std::mutex mutex;
  bool stop_requested = false;
  std::function<void()> handler;
};

/// One run of an item at an endpoint. After `stop` is signalled, the run ends
/// with ItemOutcome::kStopped and all output streamed so far, including that of
/// `item.streamed`, unless it had already ended otherwise.
struct ItemCall {
  policy::StartItem item;
  std::shared_ptr<StopSignal> stop;
};

/// Sends an item to its endpoint and returns how the run ended. Runs on
/// Runtime::pool.
using RunItem =
    std::function<boost::asio::awaitable<policy::RunResult>(ItemCall)>;

/// Hooks that the daemon provides. Precondition: all are thread-safe, and all
/// but `observe` are set.
struct BatchHooks {
  /// Sends an item to its endpoint.
  RunItem run_item;
  /// Returns the current access rules and API keys; null if there are none yet.
  std::function<std::shared_ptr<const policy::AccessSnapshot>()> access;
  /// Returns the current view of VMs and endpoints; null if there is none yet.
  std::function<std::shared_ptr<const policy::FleetView>()> fleet;
  /// Returns the load of each endpoint, with LoadSample::own_batch left at 0.
  /// May be empty: then all slots of the fleet view count as idle.
  std::function<std::vector<policy::LoadSample>()> observe;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_BATCH_HOOKS_H_
