#ifndef GYPSUMTRACK_GATEWAY_SRC_DISPATCH_STATE_H_
#define GYPSUMTRACK_GATEWAY_SRC_DISPATCH_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gypsumtrack/gateway/dispatcher.h"
#include "gypsumtrack/policy/batch_slots.h"
#include "gypsumtrack/policy/fair_queue.h"
#include "gypsumtrack/policy/retry.h"
#include "gypsumtrack/policy/router.h"

/// State of a dispatcher that is shared by the threads that serve requests.
namespace gypsumtrack::gateway {

/// State of a request in its queue.
enum class TurnState {
  kSend,     ///< may be sent now
  kQueued,   ///< waits in the queue
  kRefused,  ///< can't be served by its deadline, or evicted
};

/// Result of RequestTurn.
struct TurnResult {
  TurnState state = TurnState::kSend;
  /// When a refused caller may retry.
  base::Instant retry_at{};
};

/// Router, retry budget and queues behind one mutex that is held only briefly.
/// Thread-safe.
class DispatchState {
 public:
  using ViewPtr = std::shared_ptr<const policy::FleetView>;

  /// `seed` seeds the random choice of endpoints.
  explicit DispatchState(std::uint64_t seed);

  /// Chooses an endpoint outside `avoid` and counts the attempt as started.
  /// Empty if no endpoint can serve the request.
  std::optional<policy::Endpoint> StartAttempt(
      const ViewPtr& view, const DispatchRequest& request,
      const std::vector<base::EndpointId>& avoid, base::Instant now);
  /// Records the end of an attempt, which took `elapsed`.
  void EndAttempt(const base::EndpointId& endpoint,
                  const EndpointResult& result, base::Duration elapsed,
                  base::Instant now);
  /// Records an endpoint's load report.
  void RecordLoad(const policy::LoadReport& report);
  /// Returns the load of each endpoint that was sent to or polled.
  std::vector<policy::LoadSample> Loads();
  /// Counts a request towards the retry budget.
  void CountRequest();
  /// Returns whether the attempt may be retried, and charges the retry budget.
  bool TakeRetry(const policy::FailedAttempt& attempt, base::Instant now);

  /// Returns whether the request may be sent. Call with `first` set and an id
  /// of NextId, then again without `first` while the result is kQueued.
  TurnResult RequestTurn(std::uint64_t id, bool first, const ViewPtr& view,
                         const DispatchRequest& request, base::Instant now);
  /// Removes a request that no longer waits.
  void RemoveFromQueue(std::uint64_t id, const DispatchRequest& request);
  /// Returns an unused request id.
  std::uint64_t NextId();

 private:
  /// Requests for the same service and model share a queue.
  using PoolKey = std::pair<base::Service, base::Model>;

  const policy::Endpoint* Choose(const policy::FleetView& view,
                                 const DispatchRequest& request,
                                 const std::vector<base::EndpointId>& avoid,
                                 base::Instant now);
  /// Passes a new view to the router and drops the load of unlisted endpoints.
  /// Does nothing if the view is unchanged.
  void UpdateView(const ViewPtr& view);
  bool HasFreeSlot(const policy::Endpoint& endpoint, base::Instant now) const;
  /// Estimates how often this daemon can send a queued request, in time per
  /// request, if all daemons get equal parts of the service's slots.
  base::Duration TimePerRequest(const policy::FleetView& view,
                                const DispatchRequest& request) const;

  std::mutex mutex;
  std::uint64_t seed;
  std::uint64_t next_id = 0;
  ViewPtr current_view;
  policy::RetryOptions retry_options;
  policy::RetryBudget budget;
  policy::EndpointRouter router;
  std::map<base::EndpointId, policy::LoadSample> loads;
  std::map<PoolKey, policy::FairQueue> queues;
  /// Requests evicted from a full queue, until their next RequestTurn.
  std::set<std::uint64_t> evicted;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_DISPATCH_STATE_H_
