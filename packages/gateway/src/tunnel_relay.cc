#include "tunnel_relay.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <utility>
#include <vector>

#include "tcp_options.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kBufferBytes = std::size_t{16} * 1024;
/// How long the asking daemon may keep its side open after it has acknowledged
/// the end of the endpoint's bytes.
constexpr base::Duration kLingerTimeout = std::chrono::seconds(2);
/// How long a reset waits for the bytes before it to be acknowledged.
constexpr base::Duration kResetGrace = std::chrono::milliseconds(500);
constexpr base::Duration kResetCheckInterval = std::chrono::milliseconds(10);

base::Error Invalid() {
  return {base::Errc::kInvalid, "The request isn't one for a tunnel."};
}

}  // namespace

TunnelRelay::TunnelRelay(asio::ip::tcp::socket accepted, base::Clock clock,
                         const TunnelServerOptions& options)
    : clock(std::move(clock)),
      options(options),
      daemon(std::move(accepted)),
      endpoint(this->daemon.get_executor()) {
  this->watchdog = std::make_shared<Watchdog>(
      this->daemon.get_executor(), this->clock, [this] { this->OnTimeout(); });
  SetTcpKeepAlive(this->daemon, options.lost_daemon_timeout);
}

TunnelRelay::~TunnelRelay() { this->watchdog->Stop(); }

asio::awaitable<base::Outcome<TunnelRequest>> TunnelRelay::ReadRequest() {
  this->watchdog->Set(this->clock.now() + this->options.handshake_timeout);
  std::string head;
  auto buffer = asio::dynamic_buffer(head, this->options.max_handshake_bytes);
  const auto [error, size] = co_await asio::async_read_until(
      this->daemon, buffer, "\r\n\r\n", kAwaitTuple);
  this->watchdog->Set(base::kNever);
  if (error == asio::error::not_found) co_return Invalid();
  if (error || this->is_closed) {
    co_return base::Error(base::Errc::kUnavailable, error.message());
  }
  // Bytes after the head would belong to a request that was sent too early.
  if (size != head.size()) co_return Invalid();
  co_return ParseTunnelRequest(head);
}

asio::awaitable<TunnelStatus> TunnelRelay::Connect(
    asio::ip::tcp::endpoint address) {
  if (this->is_closed) co_return TunnelStatus::kEndpointUnreachable;
  this->connecting = true;
  this->WatchDaemonWhileConnecting();
  this->watchdog->Set(this->clock.now() + this->options.connect_timeout);
  const auto [error] =
      co_await this->endpoint.async_connect(address, kAwaitTuple);
  this->watchdog->Set(base::kNever);
  this->connecting = false;
  error_code ignored;
  this->daemon.cancel(ignored);
  if (!error && !this->is_closed) {
    SetTcpTimeouts(this->endpoint, this->options.endpoint_user_timeout);
    co_return TunnelStatus::kOpen;
  }
  co_return error == asio::error::connection_refused
      ? TunnelStatus::kEndpointRefused
      : TunnelStatus::kEndpointUnreachable;
}

asio::awaitable<bool> TunnelRelay::Reply(std::string bytes) {
  if (this->is_closed) co_return false;
  this->watchdog->Set(this->clock.now() + this->options.handshake_timeout);
  const auto [error, size] = co_await asio::async_write(
      this->daemon, asio::buffer(bytes), kAwaitTuple);
  this->watchdog->Set(base::kNever);
  co_return !error && !this->is_closed;
}

asio::awaitable<void> TunnelRelay::Run() {
  // If this process ends, that must not pass for the endpoint's close.
  ResetOnClose(this->daemon);
  auto copy = [self = this->shared_from_this()] {
    return self->CopyFromEndpoint();
  };
  asio::co_spawn(this->daemon.get_executor(), std::move(copy), asio::detached);
  co_await this->CopyFromDaemon();
}

void TunnelRelay::Check() {
  if (this->is_closed) return;
  const auto now = this->clock.now();
  const auto state = ReadTcpState(this->daemon);
  if (state.remote_closed) {
    this->Close(TunnelEnd::kDaemonClosed);
    return;
  }
  if (!state.unanswered) {
    this->lost_at = base::kNever;
  } else if (this->lost_at == base::kNever) {
    this->lost_at = now + this->options.lost_daemon_timeout;
  }
  if (now >= this->lost_at) this->Close(TunnelEnd::kDaemonLost);
  if (this->linger_until == base::kNever) return;
  if (state.unacknowledged_bytes > 0) this->linger_until = now + kLingerTimeout;
  if (now >= this->linger_until) this->Close(TunnelEnd::kEndpointClosed);
}

void TunnelRelay::Close(TunnelEnd why) {
  if (this->is_closed) return;
  this->is_closed = true;
  if (!this->cause) this->cause = why;
  if (this->sending || why != TunnelEnd::kDaemonClosed)
    ResetOnClose(this->endpoint);
  const bool reset_daemon = *this->cause == TunnelEnd::kEndpointReset ||
                            *this->cause == TunnelEnd::kStopped ||
                            *this->cause == TunnelEnd::kDaemonLost;
  if (reset_daemon) ResetOnClose(this->daemon);
  error_code ignored;
  this->endpoint.close(ignored);
  this->daemon.close(ignored);
  this->watchdog->Set(base::kNever);
}

asio::awaitable<void> TunnelRelay::CopyFromDaemon() {
  std::vector<char> buffer(kBufferBytes);
  while (!this->is_closed) {
    const auto [error, size] = co_await this->daemon.async_read_some(
        asio::buffer(buffer), kAwaitTuple);
    if (error) {
      this->Close(error == asio::error::eof ? TunnelEnd::kDaemonClosed
                                            : TunnelEnd::kDaemonReset);
      co_return;
    }
    // Goes on reading, so as to see the asking daemon's end.
    if (this->endpoint_broken || this->cause) continue;
    this->sending = true;
    const auto [write_error, sent] = co_await asio::async_write(
        this->endpoint, asio::buffer(buffer.data(), size), kAwaitTuple);
    this->sending = false;
    this->to_endpoint += sent;
    if (write_error) this->endpoint_broken = true;
  }
}

asio::awaitable<void> TunnelRelay::CopyFromEndpoint() {
  std::vector<char> buffer(kBufferBytes);
  while (!this->is_closed) {
    const auto [error, size] = co_await this->endpoint.async_read_some(
        asio::buffer(buffer), kAwaitTuple);
    if (this->is_closed) co_return;
    if (error) {
      co_await this->OnEndpointEnd(error);
      co_return;
    }
    const auto [write_error, sent] = co_await asio::async_write(
        this->daemon, asio::buffer(buffer.data(), size), kAwaitTuple);
    this->to_daemon += sent;
    if (write_error) this->Close(TunnelEnd::kDaemonReset);
  }
}

asio::awaitable<void> TunnelRelay::OnEndpointEnd(error_code error) {
  const auto now = this->clock.now();
  const auto state = ReadTcpState(this->endpoint);
  // Once a write has reported a reset, a read shows a plain close.
  const bool is_close =
      error == asio::error::eof && !this->endpoint_broken && !state.reset;
  if (!is_close) {
    co_await this->ResetDaemon(now);
    co_return;
  }
  error_code ignored;
  const bool has_request = !this->sending && state.unacknowledged_bytes == 0 &&
                           this->daemon.available(ignored) == 0;
  if (has_request) {
    this->FinishDaemon();
    co_return;
  }
  // The answer may be complete by its length. The asking daemon reads the
  // answer once it has sent its request, so the rest of the request is read and
  // dropped.
  this->endpoint.close(ignored);
  co_await this->ResetDaemon(now + kResetGrace);
}

void TunnelRelay::FinishDaemon() {
  this->cause = TunnelEnd::kEndpointClosed;
  this->linger_until = this->clock.now() + kLingerTimeout;
  error_code ignored;
  this->endpoint.close(ignored);
  FinishOnClose(this->daemon);
  this->daemon.shutdown(asio::socket_base::shutdown_send, ignored);
}

asio::awaitable<void> TunnelRelay::ResetDaemon(base::Instant earliest) {
  this->cause = TunnelEnd::kEndpointReset;
  const auto reset_at = this->clock.now() + kResetGrace;
  asio::steady_timer timer(this->daemon.get_executor());
  const auto must_wait = [&] {
    const auto now = this->clock.now();
    if (this->is_closed || now >= reset_at) return false;
    return now < earliest ||
           ReadTcpState(this->daemon).unacknowledged_bytes > 0;
  };
  while (must_wait()) {
    timer.expires_after(kResetCheckInterval);
    co_await timer.async_wait(kAwaitTuple);
  }
  this->Close(TunnelEnd::kEndpointReset);
}

void TunnelRelay::WatchDaemonWhileConnecting() {
  auto on_input = [self = this->shared_from_this()](error_code error) {
    if (!error && self->connecting) self->Close(TunnelEnd::kDaemonClosed);
  };
  this->daemon.async_wait(asio::socket_base::wait_read, std::move(on_input));
}

void TunnelRelay::OnTimeout() {
  error_code ignored;
  if (this->connecting) {
    this->endpoint.close(ignored);
    return;
  }
  this->Close(TunnelEnd::kDaemonLost);
}

}  // namespace gypsumtrack::gateway
