#include "connection_pool.h"

#include <algorithm>
#include <utility>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::gateway {
namespace {

/// Whether the connection is open and has nothing to read. Input on an idle
/// connection is the end of the stream or an unexpected response.
bool HasNoInput(EndpointConnection& connection) {
  boost::system::error_code error;
  connection.socket.non_blocking(true, error);
  char byte = 0;
  connection.socket.receive(boost::asio::buffer(&byte, 1),
                            boost::asio::socket_base::message_peek, error);
  return error == boost::asio::error::would_block;
}

bool HasFailed(const EndpointConnection& connection,
               std::uint64_t request_hash) {
  const auto& failed = connection.failed_requests;
  return std::find(failed.begin(), failed.end(), request_hash) != failed.end();
}

}  // namespace

EndpointRoute::EndpointRoute(const std::string& address) : address(address) {}

EndpointRoute::EndpointRoute(const std::string& address,
                             const std::optional<TunnelHop>& tunnel)
    : address(address) {
  if (tunnel) this->via = tunnel->peer + "/" + tunnel->address;
}

ConnectionPool::ConnectionPool(EndpointClientOptions client_options)
    : options(std::move(client_options)) {}

EndpointConnectionPtr ConnectionPool::Take(const EndpointRoute& route,
                                           const std::string& request_id,
                                           base::Instant min_last_response_at,
                                           base::Instant now) {
  const auto request_hash = base::Hash64(request_id);
  Shard& shard = this->ShardOf(route.address);
  const std::lock_guard lock(shard.mutex);
  const auto routes = shard.idle.find(route.address);
  if (routes == shard.idle.end()) return nullptr;
  const auto found = routes->second.find(route.via);
  if (found == routes->second.end()) return nullptr;
  auto& idle = found->second;
  for (auto i = idle.size(); i > 0; --i) {
    auto& candidate = idle[i - 1];
    if (candidate->last_response_at < min_last_response_at) break;
    if (HasFailed(*candidate, request_hash)) continue;
    auto connection = std::move(candidate);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i - 1));
    if (now < connection->reusable_until && HasNoInput(*connection))
      return connection;
  }
  return nullptr;
}

void ConnectionPool::Put(const EndpointRoute& route,
                         EndpointConnectionPtr connection) {
  if (connection->calls >= this->options.max_calls_per_connection) return;
  const auto now = connection->last_response_at;
  Shard& shard = this->ShardOf(route.address);
  const std::lock_guard lock(shard.mutex);
  auto& routes = shard.idle[route.address];
  for (auto& entry : routes) this->DropExpired(entry.second, now);
  std::erase_if(routes, [&](const auto& entry) {
    return entry.second.empty() && entry.first != route.via;
  });
  auto& idle = routes[route.via];
  if (idle.size() >= this->options.max_idle_per_endpoint) return;
  idle.push_back(std::move(connection));
}

void ConnectionPool::Drop(const EndpointRoute& route) {
  Shard& shard = this->ShardOf(route.address);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.idle.find(route.address);
  if (found != shard.idle.end()) found->second.erase(route.via);
}

void ConnectionPool::DropEndpoint(const std::string& address) {
  Shard& shard = this->ShardOf(address);
  const std::lock_guard lock(shard.mutex);
  shard.idle.erase(address);
}

void ConnectionPool::DropPeer(const std::string& peer) {
  for (auto& shard : this->shards) {
    const std::lock_guard lock(shard.mutex);
    for (auto& [address, routes] : shard.idle) {
      std::erase_if(routes, [&](const auto& entry) {
        const IdleConnections& idle = entry.second;
        return !idle.empty() && idle.front()->peer == peer;
      });
    }
  }
}

void ConnectionPool::DropAll() {
  for (auto& shard : this->shards) {
    const std::lock_guard lock(shard.mutex);
    shard.idle.clear();
  }
}

std::size_t ConnectionPool::idle_count(const EndpointRoute& route) const {
  const Shard& shard = this->ShardOf(route.address);
  const std::lock_guard lock(shard.mutex);
  const auto routes = shard.idle.find(route.address);
  if (routes == shard.idle.end()) return 0;
  const auto found = routes->second.find(route.via);
  return found == routes->second.end() ? 0 : found->second.size();
}

ConnectionPool::Shard& ConnectionPool::ShardOf(const std::string& address) {
  return this->shards[base::Hash64(address) % kShardCount];
}

const ConnectionPool::Shard& ConnectionPool::ShardOf(
    const std::string& address) const {
  return this->shards[base::Hash64(address) % kShardCount];
}

void ConnectionPool::DropExpired(IdleConnections& idle,
                                 base::Instant now) const {
  const auto oldest = now - this->options.max_idle;
  while (!idle.empty() && idle.front()->last_response_at < oldest)
    idle.pop_front();
}

}  // namespace gypsumtrack::gateway
