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

/// Sends requests to the endpoints of a service: choice, retries, feedback.
namespace gypsumtrack::gateway {

using FleetViewHook = std::function<std::shared_ptr<const policy::FleetView>()>;

struct DispatchRequest {
  base::Service service;
  /// Empty for plain services.
  base::Model model;
  /// Whose share of the endpoints it uses, and that share's weight.
  base::Organisation organisation;
  std::uint32_t share = 1;
  /// Requests with the same key find the same cached prefix; may be empty.
  std::string affinity_key;
  bool idempotent = true;
  base::Instant deadline = base::kNever;
  std::shared_ptr<CallCancellation> cancel;
  /// Asked before each send; the request goes no further once it says no.
  std::function<bool()> permitted;
  /// Builds each attempt's call; address, deadline and cancel are filled in.
  std::function<EndpointCall()> make_call;
};

enum class DispatchEnd {
  kAnswered,      ///< an endpoint's whole answer
  kNoEndpoint,    ///< no endpoint serves it
  kOverload,      ///< its turn would come after its deadline; see `retry_at`
  kNotPermitted,  ///< the key was withdrawn while it waited
  kFailed,        ///< the last attempt failed; see `last`
};

struct DispatchResult {
  DispatchEnd end = DispatchEnd::kNoEndpoint;
  /// What is known of all attempts together.
  policy::RunState run = policy::RunState::kNotRun;
  base::Instant retry_at{};
  EndpointResult last;
};

/// All of a daemon's sends to endpoints, online and batch.
class Dispatcher {
 public:
  /// Precondition: `runtime` outlives it.
  Dispatcher(const Runtime& runtime, FleetViewHook fleet);
  ~Dispatcher();

  /// Runs on the awaiting coroutine's strand. Thread-safe.
  boost::asio::awaitable<DispatchResult> Dispatch(DispatchRequest request);

  /// Endpoints' load as this daemon knows it, for batch beside online.
  /// Thread-safe.
  std::vector<policy::LoadSample> Loads() const;

  /// Asks endpoints for their load until Stop. Precondition: called once.
  void StartReports();
  /// Ends the reports. Thread-safe.
  void Stop();

 private:
  class State;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_DISPATCHER_H_
