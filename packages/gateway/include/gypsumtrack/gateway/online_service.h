#ifndef GYPSUMTRACK_GATEWAY_ONLINE_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_ONLINE_SERVICE_H_

#include <functional>
#include <memory>

#include "gypsumtrack/gateway/admission.h"
#include "gypsumtrack/gateway/dispatcher.h"
#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/gateway/runtime.h"
#include "gypsumtrack/policy/access.h"

/// What callers may ask online: completions, models and plain services.
namespace gypsumtrack::gateway {

using AccessHook =
    std::function<std::shared_ptr<const policy::AccessSnapshot>()>;

struct OnlineHooks {
  /// Null until the first configuration is in force.
  AccessHook access;
  FleetViewHook fleet;
  AdmitHook admit;
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
