#ifndef GYPSUMTRACK_GATEWAY_SERVING_ENDPOINT_PATH_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_SERVING_ENDPOINT_PATH_SERVICE_H_

#include <memory>
#include <vector>

#include "gypsumtrack/gateway/serving/serving_context.h"

/// Finds out whether this daemon reaches endpoints, by the connections of its
/// requests and by probes.
namespace gypsumtrack::gateway {

/// Watches the paths to endpoints and sets the path hooks of the context. Not
/// thread-safe; used on the context's thread.
class EndpointPathService {
 public:
  /// Precondition: `context` outlives the service.
  explicit EndpointPathService(ServingContext& context);
  /// Removes the hooks from the context.
  ~EndpointPathService();

  /// Sets the hooks and starts to probe. Call once.
  void Start();
  /// Replaces the endpoints that may be probed.
  void SetEndpoints(const std::vector<policy::EndpointEntry>& endpoints);

 private:
  class State;
  ServingContext& context;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_ENDPOINT_PATH_SERVICE_H_
