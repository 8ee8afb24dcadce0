#ifndef GYPSUMTRACK_GATEWAY_SERVING_STREAM_VERSION_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_SERVING_STREAM_VERSION_SERVICE_H_

#include <memory>

#include "gypsumtrack/gateway/serving/fleet_service.h"
#include "gypsumtrack/gateway/serving/serving_context.h"

/// Keeps in the store which software version began each stream, so that any
/// daemon can continue it at that version, even if all have restarted.
namespace gypsumtrack::gateway {

/// Follows and writes the default versions of all services, records the streams
/// of other versions, and sets the stream version hooks of the context. Not
/// thread-safe; used on the context's thread.
class StreamVersionService {
 public:
  /// Precondition: `context` and `fleet` outlive the service.
  StreamVersionService(ServingContext& context, const FleetService& fleet);
  /// Removes the hooks from the context.
  ~StreamVersionService();

  /// Sets the hooks and starts to follow the default versions. Call once.
  void Start();

 private:
  class State;
  ServingContext& context;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_STREAM_VERSION_SERVICE_H_
