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

/// The decisions behind a dispatcher, for the threads that carry requests.
namespace gypsumtrack::gateway {

enum class Turn {
  kGo,       ///< an endpoint has room
  kWait,     ///< queued
  kRefused,  ///< it couldn't be served by its deadline
};

struct TurnVerdict {
  Turn turn = Turn::kGo;
  base::Instant retry_at{};
};

/// Router, retry budget and queues under one short lock. Thread-safe.
class DispatchState {
 public:
  using ViewPtr = std::shared_ptr<const policy::FleetView>;

  explicit DispatchState(std::uint64_t seed);

  /// The endpoint for a send, counted as sent.
  std::optional<policy::Endpoint> Send(
      const ViewPtr& view, const DispatchRequest& request,
      const std::vector<base::EndpointId>& avoid, base::Instant now);
  void End(const base::EndpointId& endpoint, const EndpointResult& result,
           base::Duration took, base::Instant now);
  void Report(const policy::LoadReport& report);
  /// One for each endpoint that was sent to or reported.
  std::vector<policy::LoadSample> Loads();
  void CountRequest();
  bool TakeRetry(const policy::FailedAttempt& attempt, base::Instant now);

  /// First asked with a new id, then again until it isn't kWait.
  TurnVerdict AskTurn(std::uint64_t id, bool first, const ViewPtr& view,
                      const DispatchRequest& request, base::Instant now);
  void LeaveQueue(std::uint64_t id, const DispatchRequest& request);
  std::uint64_t NextId();

 private:
  using PoolKey = std::pair<base::Service, base::Model>;

  const policy::Endpoint* Choose(const policy::FleetView& view,
                                 const DispatchRequest& request,
                                 const std::vector<base::EndpointId>& avoid,
                                 base::Instant now);
  void NoteView(const ViewPtr& view);
  bool HasRoom(const policy::Endpoint& endpoint, base::Instant now) const;
  base::Duration TimePerRequest(const policy::FleetView& view,
                                const DispatchRequest& request) const;

  std::mutex mutex;
  std::uint64_t seed;
  std::uint64_t next_id = 0;
  ViewPtr last_view;
  policy::RetryOptions retry_options;
  policy::RetryBudget budget;
  policy::EndpointRouter router;
  std::map<base::EndpointId, policy::LoadSample> loads;
  std::map<PoolKey, policy::FairQueue> queues;
  /// Put out of a queue for another organisation.
  std::set<std::uint64_t> evicted;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_DISPATCH_STATE_H_
