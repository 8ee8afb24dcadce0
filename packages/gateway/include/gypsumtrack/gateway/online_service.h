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

/// What callers may ask online: completions, models and plain services.
namespace gypsumtrack::gateway {

using AccessHook =
    std::function<std::shared_ptr<const policy::AccessSnapshot>()>;

/// How a request ended, for service levels.
struct RequestOutcome {
  base::Organisation organisation;
  base::Service service;
  telemetry::ServiceEvent event = telemetry::ServiceEvent::kServed;
  /// From the request's admission to the answer's first byte.
  base::Duration first_byte{};
};

struct OnlineHooks {
  /// Null until the first configuration is in force.
  AccessHook access;
  FleetViewHook fleet;
  AdmitHook admit;
  /// May be empty. Not called for open routes, nor for callers who went away.
  std::function<void(const RequestOutcome&)> record;
};

class OnlineService {
 public:
  /// Precondition: `runtime` outlives the service.
  OnlineService(const Runtime& runtime, OnlineHooks hooks);
  ~OnlineService();

  /// Adds the callers' routes. Precondition: the service outlives the server.
  void Register(Router& router);

  /// Also for batch items. Thread-safe.
  Dispatcher& dispatcher();  // NOLINT

 private:
  class State;
  std::unique_ptr<State> state;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_ONLINE_SERVICE_H_
