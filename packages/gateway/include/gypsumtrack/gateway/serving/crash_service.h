#ifndef GYPSUMTRACK_GATEWAY_SERVING_CRASH_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_SERVING_CRASH_SERVICE_H_

#include <memory>

#include "gypsumtrack/gateway/serving/fleet_service.h"
#include "gypsumtrack/gateway/serving/serving_context.h"
#include "gypsumtrack/policy/serving/endpoint_liveness.h"

/// Finds out which prompts crash endpoints, together with the other daemons.
namespace gypsumtrack::gateway {

/// Confirms crashes, exchanges reports on them through the store, and sets the
/// crash hooks of the context. Not thread-safe; used on the context's thread.
class CrashService {
 public:
  /// Precondition: `context` and `fleet` outlive the service.
  CrashService(ServingContext& context, const FleetService& fleet);
  /// Removes the hooks from the context.
  ~CrashService();

  /// Sets the hooks and starts to follow the reports. Call once.
  void Start();
  /// Records a read of the endpoints' rows. Reads must be passed in the order
  /// in which they were made.
  void OnEndpointRows(const policy::EndpointRowsRead& read);

 private:
  class State;
  ServingContext& context;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_CRASH_SERVICE_H_
