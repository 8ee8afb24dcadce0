#ifndef GYPSUMTRACK_GATEWAY_SRC_CONNECTION_POOL_H_
#define GYPSUMTRACK_GATEWAY_SRC_CONNECTION_POOL_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gypsumtrack/gateway/endpoint_client.h"

/// Pool of idle connections to endpoints.
namespace gypsumtrack::gateway {

/// Limits what an endpoint can make the gateway hold of a response that it
/// hasn't parsed. More than the maximum size of a head.
inline constexpr std::size_t kMaxConnectionBufferBytes =
    std::size_t{128} * 1024;

/// A connection to an endpoint. It is owned by one call, or by the pool while
/// it is idle.
struct EndpointConnection {
  explicit EndpointConnection(boost::asio::ip::tcp::socket connected)
      : socket(std::move(connected)) {}

  boost::asio::ip::tcp::socket socket;
  /// Name of the VM that the connection runs through; empty if it is direct.
  std::string peer;
  boost::beast::flat_buffer buffer{kMaxConnectionBufferBytes};
  /// Number of requests sent on this connection.
  std::uint32_t calls = 0;
  /// Whether a response on this connection has echoed the id of a request.
  bool echoes_ids = false;
  /// Hashes of the ids of requests that got an error on this connection.
  std::vector<std::uint64_t> failed_requests;
  /// When the last response ended.
  base::Instant last_response_at{};
  /// When to stop reusing the connection, before the endpoint closes it.
  base::Instant reusable_until = base::kNever;
};

using EndpointConnectionPtr = std::unique_ptr<EndpointConnection>;

/// The way that a connection takes to an endpoint.
struct EndpointRoute {
  /// The direct way to the endpoint.
  explicit EndpointRoute(const std::string& address);
  /// The way to the endpoint through the peer, or the direct one without.
  EndpointRoute(const std::string& address,
                const std::optional<TunnelHop>& tunnel);

  /// `ip:port` of the endpoint.
  std::string address;
  /// Unique among the routes to the endpoint, empty for the direct one.
  std::string via;
};

/// Idle connections by route. Thread-safe.
class ConnectionPool {
 public:
  /// Uses the limits on idle connections and on calls per connection.
  explicit ConnectionPool(EndpointClientOptions options);

  /// Removes and returns the connection used last whose last response ended at
  /// or after `min_last_response_at`; null if there is none. Closes connections
  /// that the endpoint closed or that are past `reusable_until`. A connection
  /// on which the request with this id got an error isn't used for it again: if
  /// the endpoint sent that error once more, it would pass for the response.
  EndpointConnectionPtr Take(const EndpointRoute& route,
                             const std::string& request_id,
                             base::Instant min_last_response_at,
                             base::Instant now);
  /// Adds an idle connection, or closes it if a limit is reached. Also closes
  /// connections to the endpoint, of all routes, that have been idle for too
  /// long.
  void Put(const EndpointRoute& route, EndpointConnectionPtr connection);
  /// Closes the idle connections of the route.
  void Drop(const EndpointRoute& route);
  /// Closes the idle connections to the endpoint, of all routes.
  void DropEndpoint(const std::string& address);
  /// Closes the idle connections through the peer.
  void DropPeer(const std::string& peer);
  /// Closes all idle connections.
  void DropAll();

  /// Number of idle connections of the route.
  std::size_t idle_count(const EndpointRoute& route) const;  // NOLINT

 private:
  static constexpr std::size_t kShardCount = 16;
  /// Ordered by last use, oldest first.
  using IdleConnections = std::deque<EndpointConnectionPtr>;
  /// The idle connections of the addresses with one hash value.
  struct Shard {
    mutable std::mutex mutex;
    /// By EndpointRoute::address and EndpointRoute::via.
    std::unordered_map<std::string, std::map<std::string, IdleConnections>>
        idle;
  };

  Shard& ShardOf(const std::string& address);
  const Shard& ShardOf(const std::string& address) const;
  /// Closes connections whose last response is older than `max_idle`.
  void DropExpired(IdleConnections& idle, base::Instant now) const;

  EndpointClientOptions options;
  std::array<Shard, kShardCount> shards;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_CONNECTION_POOL_H_
