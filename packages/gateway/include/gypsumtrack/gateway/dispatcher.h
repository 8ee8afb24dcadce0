#ifndef GYPSUMTRACK_GATEWAY_DISPATCHER_H_
#define GYPSUMTRACK_GATEWAY_DISPATCHER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

#include "gypsumtrack/gateway/endpoint_client.h"
#include "gypsumtrack/gateway/runtime.h"
#include "gypsumtrack/policy/batch_slots.h"
#include "gypsumtrack/policy/fleet_view.h"

/// Dispatch of requests to the endpoints of a service: endpoint selection,
/// queueing, retries and load polling.
namespace gypsumtrack::gateway {

/// Returns the current view of the fleet, never null. Thread-safe.
using FleetViewHook = std::function<std::shared_ptr<const policy::FleetView>()>;

/// A request to dispatch.
struct DispatchRequest {
  base::Service service;
  /// Empty for services without a model.
  base::Model model;
  /// Organisation whose share of the endpoints the request uses.
  base::Organisation organisation;
  /// Weight of the organisation in the fair queue.
  std::uint32_t share = 1;
  /// Requests with the same key prefer the same endpoint, which has their
  /// prompt prefix cached. May be empty.
  std::string affinity_key;
  /// Whether the request may be sent again after it may have run.
  bool idempotent = true;
  /// Bounds queueing and all attempts together.
  base::Instant deadline = base::kNever;
  /// Cancels the queued request or its running attempt. May be null.
  std::shared_ptr<CallCancellation> cancel;
  /// Called before each attempt; if it returns false, no attempt is made. May
  /// be empty.
  std::function<bool()> still_permitted;
  /// Builds the call of an attempt. The dispatcher sets address, deadline,
  /// cancel, idempotent and progress_timeout.
  std::function<EndpointCall()> make_call;
};

/// How a dispatch ended.
enum class DispatchOutcome {
  kResponded,     ///< an endpoint sent a complete response
  kNoEndpoint,    ///< no endpoint can serve the request
  kOverload,      ///< not sent by its deadline, or evicted; see `retry_at`
  kNotPermitted,  ///< the key was withdrawn before an attempt
  kFailed,        ///< the last attempt failed; see `last`
};

/// Result of a dispatch.
struct DispatchResult {
  DispatchOutcome outcome = DispatchOutcome::kNoEndpoint;
  /// Whether any of the attempts ran the request.
  policy::RunState run = policy::RunState::kNotRun;
  /// When the caller may retry; set for kOverload.
  base::Instant retry_at{};
  /// Result of the last attempt.
  EndpointResult last;
};

/// Dispatches online requests and keeps the load of endpoints, which batch
/// scheduling reads too.
class Dispatcher {
 public:
  /// Precondition: `runtime` outlives the dispatcher.
  Dispatcher(const Runtime& runtime, FleetViewHook fleet);
  /// Stops load polling.
  ~Dispatcher();

  /// Sends the request, with retries, and returns the result. Runs on the
  /// awaiting coroutine's executor, which must be a strand. Thread-safe.
  /// Precondition: the dispatcher outlives the call.
  boost::asio::awaitable<DispatchResult> Dispatch(DispatchRequest request);

  /// Returns the last known load of each endpoint that was sent to or polled.
  /// Thread-safe.
  std::vector<policy::LoadSample> Loads() const;

  /// Polls endpoints for their load until Stop. Precondition: called once.
  void StartLoadPolling();
  /// Stops load polling. Thread-safe.
  void Stop();

 private:
  class State;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_DISPATCHER_H_
