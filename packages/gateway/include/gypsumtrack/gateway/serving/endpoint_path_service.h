#ifndef GYPSUMTRACK_GATEWAY_SERVING_ENDPOINT_PATH_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_SERVING_ENDPOINT_PATH_SERVICE_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/gateway/serving/fleet_service.h"
#include "gypsumtrack/gateway/serving/gossip_message.h"
#include "gypsumtrack/gateway/serving/serving_context.h"

/// Finds the way to endpoints: direct connections, or tunnels through a peer
/// while this daemon is cut from all endpoints. Opens tunnels for peers that
/// are. docs/design/tunnels.md.
namespace gypsumtrack::gateway {

/// Watches the way to endpoints and sets the path hooks of the context. Not
/// thread-safe; used on the context's thread.
class EndpointPathService {
 public:
  /// Precondition: `context` outlives the service.
  explicit EndpointPathService(ServingContext& context);
  /// Removes the hooks from the context.
  ~EndpointPathService();

  /// Sets the hooks, starts to probe and to accept tunnels of peers that
  /// present the token of `self`. Call once. Errors: kUnavailable if the
  /// address can't be bound; kInvalid if it can't be parsed.
  base::Status Start(const PeerDaemon& self);
  /// Refuses new tunnels from now on and lets open ones end.
  void Drain();
  /// Replaces the endpoints that may be probed.
  void SetEndpoints(const std::vector<policy::EndpointEntry>& endpoints);
  /// Replaces the other daemons.
  void SetPeers(const std::vector<PeerDaemon>& peers);
  /// Records what a peer says of itself.
  void OnGossip(const GossipMessage& message);

  /// Returns whether this daemon opens tunnels for others now.
  bool OpensTunnels() const;
  /// Returns the number of open tunnels of other daemons.
  std::size_t tunnel_count() const;  // NOLINT

 private:
  class State;
  ServingContext& context;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_ENDPOINT_PATH_SERVICE_H_
