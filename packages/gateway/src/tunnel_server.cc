#include "gypsumtrack/gateway/tunnel_server.h"

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>
#include <utility>

#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/base/hash.h"
#include "socket_address.h"
#include "tunnel_relay.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
/// Delay after a failed accept, for example when descriptors run out.
constexpr base::Duration kAcceptRetryDelay = std::chrono::milliseconds(50);
/// Interval between calls of TunnelRelay::Check. A caller's cancellation should
/// reach an endpoint that doesn't read within half a second.
constexpr base::Duration kCheckInterval = std::chrono::milliseconds(200);
constexpr const char* kMalformedReply =
    "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n"
    "Content-Length: 0\r\n\r\n";

}  // namespace

/// The listener and the set of its connections. Used on its strand, where not
/// said otherwise.
class TunnelServer::State : public std::enable_shared_from_this<State> {
 public:
  State(const asio::any_io_executor& executor, base::Clock clock,
        TunnelServerOptions options, TunnelServerHooks hooks)
      : strand(asio::make_strand(executor)),
        clock(std::move(clock)),
        options(std::move(options)),
        hooks(std::move(hooks)),
        acceptor(this->strand) {}

  base::Status Start(const std::string& address) {
    const auto socket_address = ParseSocketAddress(address);
    if (!socket_address.ok()) return socket_address.error();
    error_code error;
    this->acceptor.open(socket_address->protocol(), error);
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    this->acceptor.bind(*socket_address, error);
    if (!error)
      this->acceptor.listen(tcp::acceptor::max_listen_connections, error);
    if (error) {
      return base::Error(
          base::Errc::kUnavailable,
          "Can't listen on " + address + ": " + error.message() + ".");
    }
    this->bound_address =
        FormatSocketAddress(this->acceptor.local_endpoint(error));
    asio::co_spawn(
        this->strand,
        [self = this->shared_from_this()] { return self->AcceptLoop(); },
        asio::detached);
    return base::Done{};
  }

  /// Thread-safe.
  void Drain() { this->draining.store(true); }

  /// Thread-safe.
  void Stop() {
    this->draining.store(true);
    asio::post(this->strand, [self = this->shared_from_this()] {
      error_code ignored;
      self->acceptor.close(ignored);
      for (const auto& relay : self->relays) relay->Close(TunnelEnd::kStopped);
    });
  }

  const std::string& address() const { return this->bound_address; }  // NOLINT
  /// Thread-safe.
  std::size_t tunnel_count() const { return this->tunnels.load(); }  // NOLINT

 private:
  asio::awaitable<void> AcceptLoop() {
    while (this->acceptor.is_open()) {
      auto [error, socket] =
          co_await this->acceptor.async_accept(this->strand, kAwaitTuple);
      if (!error) {
        this->AddConnection(std::move(socket));
      } else if (error != asio::error::operation_aborted) {
        asio::steady_timer retry_timer(this->strand, kAcceptRetryDelay);
        co_await retry_timer.async_wait(kAwaitTuple);
      }
    }
  }

  void AddConnection(tcp::socket socket) {
    const auto handshakes = this->relays.size() - this->tunnels.load();
    if (handshakes >= this->options.max_handshakes) return;
    auto relay = std::make_shared<TunnelRelay>(std::move(socket), this->clock,
                                               this->options);
    this->relays.insert(relay);
    asio::co_spawn(
        this->strand,
        [self = this->shared_from_this(), relay] {
          return self->Serve(*relay);
        },
        [self = this->shared_from_this(), relay](const std::exception_ptr&) {
          relay->Close(TunnelEnd::kStopped);
          self->relays.erase(relay);
        });
  }

  asio::awaitable<void> Serve(TunnelRelay& relay) {
    const auto request = co_await relay.ReadRequest();
    if (!request.ok()) {
      const bool malformed = request.error().Is(base::Errc::kInvalid);
      if (malformed) co_await relay.Reply(kMalformedReply);
      relay.Close(TunnelEnd::kDaemonClosed);
      co_return;
    }
    const auto admission = this->Admit(*request);
    if (admission.status != TunnelStatus::kOpen) {
      co_await this->Refuse(relay, request->target, admission.status);
      co_return;
    }
    this->tunnels.fetch_add(1);
    co_await this->ServeTunnel(relay, request->target, admission.address);
    this->tunnels.fetch_sub(1);
  }

  TunnelAdmission Admit(const TunnelRequest& request) {
    const auto& token = this->options.token;
    if (token.empty() || !base::ConstantTimeEqual(token, request.token))
      return {TunnelStatus::kDenied, ""};
    if (this->draining.load()) return {TunnelStatus::kPeerLeaving, ""};
    if (this->tunnels.load() >= this->options.max_tunnels)
      return {TunnelStatus::kPeerBusy, ""};
    return this->hooks.admit(request.target);
  }

  asio::awaitable<void> ServeTunnel(TunnelRelay& relay,
                                    const TunnelTarget& target,
                                    const std::string& address) {
    const auto status = co_await this->Connect(relay, target, address);
    if (relay.closed()) co_return;
    if (status != TunnelStatus::kOpen) {
      co_await this->Refuse(relay, target, status);
      co_return;
    }
    const bool replied = co_await relay.Reply(FormatTunnelReply(status));
    if (!replied) {
      relay.Close(TunnelEnd::kDaemonReset);
      co_return;
    }
    this->StartChecks();
    co_await relay.Run();
    base::LogEvent("tunnel_ended",
                   {{"endpoint", target.endpoint.text},
                    {"end", kTunnelEndNames.Name(*relay.end())},
                    {"bytes_to_endpoint", relay.bytes_to_endpoint()},
                    {"bytes_to_daemon", relay.bytes_to_daemon()}});
  }

  asio::awaitable<TunnelStatus> Connect(TunnelRelay& relay,
                                        const TunnelTarget& target,
                                        const std::string& address) {
    const auto socket_address = ParseSocketAddress(address);
    if (!socket_address.ok()) co_return TunnelStatus::kEndpointUnreachable;
    const auto started_at = this->clock.now();
    const auto status = co_await relay.Connect(*socket_address);
    if (this->hooks.on_connected && !relay.closed()) {
      this->hooks.on_connected(target.endpoint, status == TunnelStatus::kOpen,
                               started_at);
    }
    co_return status;
  }

  asio::awaitable<void> Refuse(TunnelRelay& relay, const TunnelTarget& target,
                               TunnelStatus status) {
    base::LogEvent("tunnel_refused",
                   {{"endpoint", target.endpoint.text},
                    {"incarnation", target.incarnation},
                    {"status", kTunnelStatusNames.Name(status)}});
    co_await relay.Reply(FormatTunnelReply(status));
    relay.Close(TunnelEnd::kDaemonClosed);
  }

  /// Checks all tunnels at intervals, as long as there are any.
  void StartChecks() {
    if (this->checking) return;
    this->checking = true;
    asio::co_spawn(
        this->strand,
        [self = this->shared_from_this()] { return self->CheckLoop(); },
        asio::detached);
  }

  asio::awaitable<void> CheckLoop() {
    asio::steady_timer timer(this->strand);
    while (this->tunnels.load() > 0) {
      timer.expires_after(kCheckInterval);
      co_await timer.async_wait(kAwaitTuple);
      for (const auto& relay : this->relays) relay->Check();
    }
    this->checking = false;
  }

  const asio::any_io_executor strand;
  const base::Clock clock;
  const TunnelServerOptions options;
  const TunnelServerHooks hooks;
  tcp::acceptor acceptor;
  std::string bound_address;
  std::set<std::shared_ptr<TunnelRelay>> relays;
  std::atomic<std::size_t> tunnels = 0;
  std::atomic<bool> draining = false;
  bool checking = false;
};

TunnelServer::TunnelServer(const asio::any_io_executor& executor,
                           base::Clock clock, TunnelServerOptions options,
                           TunnelServerHooks hooks)
    : state(std::make_shared<State>(executor, std::move(clock),
                                    std::move(options), std::move(hooks))) {}

TunnelServer::~TunnelServer() { this->Stop(); }

base::Status TunnelServer::Start(const std::string& address) {
  return this->state->Start(address);
}

void TunnelServer::Drain() { this->state->Drain(); }

void TunnelServer::Stop() { this->state->Stop(); }

std::string TunnelServer::address() const { return this->state->address(); }

std::size_t TunnelServer::tunnel_count() const {
  return this->state->tunnel_count();
}

}  // namespace gypsumtrack::gateway
