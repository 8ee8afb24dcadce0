#include "connection_pool.h"

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

}  // namespace

ConnectionPool::ConnectionPool(EndpointClientOptions client_options)
    : options(std::move(client_options)) {}

EndpointConnectionPtr ConnectionPool::Take(const std::string& address,
                                           base::Instant min_last_response_at,
                                           base::Instant now) {
  Shard& shard = this->ShardOf(address);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.idle.find(address);
  if (found == shard.idle.end()) return nullptr;
  auto& idle = found->second;
  while (!idle.empty() &&
         idle.back()->last_response_at >= min_last_response_at) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (now < connection->reusable_until && HasNoInput(*connection))
      return connection;
  }
  return nullptr;
}

void ConnectionPool::Put(const std::string& address,
                         EndpointConnectionPtr connection) {
  if (connection->calls >= this->options.max_calls_per_connection) return;
  const auto now = connection->last_response_at;
  Shard& shard = this->ShardOf(address);
  const std::lock_guard lock(shard.mutex);
  auto& idle = shard.idle[address];
  this->DropExpired(idle, now);
  if (idle.size() >= this->options.max_idle_per_endpoint) return;
  idle.push_back(std::move(connection));
}

void ConnectionPool::Drop(const std::string& address) {
  Shard& shard = this->ShardOf(address);
  const std::lock_guard lock(shard.mutex);
  shard.idle.erase(address);
}

void ConnectionPool::DropAll() {
  for (auto& shard : this->shards) {
    const std::lock_guard lock(shard.mutex);
    shard.idle.clear();
  }
}

std::size_t ConnectionPool::idle_count(const std::string& address) const {
  const Shard& shard = this->ShardOf(address);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.idle.find(address);
  return found == shard.idle.end() ? 0 : found->second.size();
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
