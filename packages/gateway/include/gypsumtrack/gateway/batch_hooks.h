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

/// What the batch parts of a daemon need of its other parts.
namespace gypsumtrack::gateway {

/// Tells a running call to cancel its stream. Thread-safe.
class StopSignal {
 public:
  /// Runs the handler, if there is one, and any set later.
  void Stop() {
    std::function<void()> run;
    {
      const std::scoped_lock lock(this->mutex);
      this->stop = true;
      run = std::exchange(this->handler, nullptr);
    }
    if (run) run();
  }

  /// `on_stop` runs once, from the thread that stops, or at once if it has
  /// stopped already. An empty function takes the handler away.
  void SetHandler(std::function<void()> on_stop) {
    {
      const std::scoped_lock lock(this->mutex);
      if (!this->stop) {
        this->handler = std::move(on_stop);
        return;
      }
    }
    if (on_stop) on_stop();
  }

  bool stopped() const {  // NOLINT
    const std::scoped_lock lock(this->mutex);
    return this->stop;
  }

 private:
  mutable std::mutex mutex;
  bool stop = false;
  std::function<void()> handler;
};

/// One item on its way to an endpoint. A stopped call ends with kStopped and
/// what was streamed so far, `item.streamed` included.
struct ItemCall {
  policy::StartItem item;
  std::shared_ptr<StopSignal> stop;
};

/// Sends an item and waits for its end. Runs on the pool.
using RunItem =
    std::function<boost::asio::awaitable<policy::RunResult>(ItemCall)>;

/// All hooks are thread-safe.
struct BatchHooks {
  RunItem run_item;
  std::function<std::shared_ptr<const policy::AccessSnapshot>()> access;
  std::function<std::shared_ptr<const policy::FleetView>()> fleet;
  /// Load by endpoint, `own_batch` left at 0. May be empty: then all slots of
  /// the fleet view count as idle.
  std::function<std::vector<policy::LoadSample>()> observe;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_BATCH_HOOKS_H_
