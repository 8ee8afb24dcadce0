#include "loopback_proxy.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "soak_http.h"

namespace gypsumtrack::testing {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr base::Duration kDelay = std::chrono::milliseconds(250);
constexpr std::size_t kBufferBytes = 16384;

}  // namespace

LoopbackProxy::LoopbackProxy(const asio::any_io_executor& run_on,
                             const std::string& target_address)
    : executor(run_on),
      target(ParseEndpoint(target_address)),
      acceptor(run_on, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      queue_filler(run_on) {}

std::string LoopbackProxy::address() const {
  return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
}

void LoopbackProxy::Start() {
  asio::co_spawn(
      this->executor, [this] { return this->Accept(); }, asio::detached);
}

void LoopbackProxy::SetFault(ProxyFault new_fault) {
  this->fault = new_fault;
  const bool drop_both = new_fault == ProxyFault::kDropBoth;
  this->DropData(drop_both || new_fault == ProxyFault::kDropToServer,
                 drop_both || new_fault == ProxyFault::kDropToCaller);
}

void LoopbackProxy::DropData(bool to_server, bool to_caller) {
  for (const auto& weak : this->connections) {
    const auto connection = weak.lock();
    if (!connection) continue;
    if (to_server) connection->drop_to_server = true;
    if (to_caller) connection->drop_to_caller = true;
  }
}

void LoopbackProxy::SetCut(ProxyCut new_cut) {
  if (new_cut == this->cut) return;
  this->cut = new_cut;
  this->StopListening();
  switch (new_cut) {
    case ProxyCut::kNone:
      this->acceptor.listen();
      this->Start();
      break;
    case ProxyCut::kSilent:
      this->DropData(true, true);
      this->ListenWithFullQueue();
      break;
    case ProxyCut::kReset:
      this->ResetConnections();
      break;
    case ProxyCut::kRefuseNew:
      break;
  }
}

void LoopbackProxy::StopListening() {
  const auto bound = this->acceptor.local_endpoint();
  this->queue_filler.close();
  this->acceptor.close();
  this->acceptor.open(bound.protocol());
  this->acceptor.set_option(asio::socket_base::reuse_address(true));
  this->acceptor.bind(bound);
}

void LoopbackProxy::ListenWithFullQueue() {
  // The queue holds one connection more than its limit; Linux ignores the first
  // packet of others, and their callers send it again after 1 s, 3 s and 7 s.
  this->acceptor.listen(0);
  this->queue_filler.async_connect(this->acceptor.local_endpoint(),
                                   asio::detached);
}

void LoopbackProxy::Reset(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

void LoopbackProxy::ResetConnections() {
  if (this->cut == ProxyCut::kSilent) return;
  for (const auto& weak : this->connections) {
    const auto connection = weak.lock();
    if (!connection) continue;
    Reset(connection->caller);
    Reset(connection->server);
  }
  this->connections.clear();
}

asio::awaitable<void> LoopbackProxy::Accept() {
  for (;;) {
    auto connection = std::make_shared<Connection>(this->executor);
    const auto [error] =
        co_await this->acceptor.async_accept(connection->caller, kAwait);
    if (error == asio::error::operation_aborted) co_return;
    if (this->cut != ProxyCut::kNone) co_return;
    if (error) continue;
    std::erase_if(this->connections,
                  [](const auto& weak) { return weak.expired(); });
    this->connections.push_back(connection);
    asio::co_spawn(this->executor,
                   this->ForwardConnection(std::move(connection)),
                   asio::detached);
  }
}

asio::awaitable<void> LoopbackProxy::ForwardConnection(
    ConnectionPtr connection) {
  const bool drop_both = this->fault == ProxyFault::kDropBoth;
  connection->drop_to_server =
      drop_both || this->fault == ProxyFault::kDropToServer;
  connection->drop_to_caller =
      drop_both || this->fault == ProxyFault::kDropToCaller;
  const auto [error] =
      co_await connection->server.async_connect(this->target, kAwait);
  if (error) {
    Reset(connection->caller);
    co_return;
  }
  asio::co_spawn(this->executor, this->ForwardBytes(connection, true),
                 asio::detached);
  asio::co_spawn(this->executor, this->ForwardBytes(connection, false),
                 asio::detached);
}

asio::awaitable<void> LoopbackProxy::ForwardBytes(ConnectionPtr connection,
                                                  bool to_server) {
  auto& from = to_server ? connection->caller : connection->server;
  auto& to = to_server ? connection->server : connection->caller;
  const auto& drops =
      to_server ? connection->drop_to_server : connection->drop_to_caller;
  std::array<char, kBufferBytes> buffer{};
  asio::steady_timer timer(this->executor);
  for (;;) {
    const auto [read_error, size] =
        co_await from.async_read_some(asio::buffer(buffer), kAwait);
    // The close of a connection is dropped like its data.
    if (read_error && drops) co_return;
    if (read_error) break;
    if (drops) continue;
    if (this->fault == ProxyFault::kDelay) {
      timer.expires_after(kDelay);
      co_await timer.async_wait(kAwait);
    }
    const auto [write_error, written] =
        co_await asio::async_write(to, asio::buffer(buffer, size), kAwait);
    if (write_error) break;
  }
  error_code ignored;
  connection->caller.close(ignored);
  connection->server.close(ignored);
}

}  // namespace gypsumtrack::testing
