#ifndef GYPSUMTRACK_GATEWAY_ONLINE_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_ONLINE_SERVICE_H_

#include <functional>
#include <memory>

#include "gypsumtrack/gateway/admission.h"
#include "gypsumtrack/gateway/dispatcher.h"
#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/gateway/runtime.h"
#include "gypsumtrack/policy/access.h"
#include "gypsumtrack/telemetry/service_level.h"

/// Online requests of callers: completions, model lists and services without a
/// model.
namespace gypsumtrack::gateway {

/// Returns the keys and rules in force. Thread-safe.
using AccessHook =
    std::function<std::shared_ptr<const policy::AccessSnapshot>()>;

/// How a request ended, for service level statistics.
struct RequestOutcome {
  base::Organisation organisation;
  base::Service service;
  telemetry::ServiceEvent event = telemetry::ServiceEvent::kServed;
  /// From the request's admission to the first byte of its response.
  base::Duration first_byte{};
};

/// What the service needs from other services. All hooks are thread-safe.
struct OnlineHooks {
  /// Returns null until the first configuration is in force.
  AccessHook access;
  FleetViewHook fleet;
  AdmitHook admit;
  /// Records the outcome of a request. May be empty. Not called for open routes
  /// or if the caller disconnected.
  std::function<void(const RequestOutcome&)> record;
};

/// Serves online requests of callers.
class OnlineService {
 public:
  /// Creates the service. Precondition: `runtime` outlives it.
  OnlineService(const Runtime& runtime, OnlineHooks hooks);
  ~OnlineService();

  /// Adds the callers' routes and starts load polling. Preconditions: called
  /// once; the service outlives the server.
  void Register(Router& router);

  /// Returns the dispatcher, whose loads batch scheduling reads. Thread-safe.
  Dispatcher& dispatcher();  // NOLINT

 private:
  class State;
  std::unique_ptr<State> state;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_ONLINE_SERVICE_H_
