#include "gypsumtrack/peer/peer_transport.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdlib>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "callee_connection.h"
#include "caller_connection.h"
#include "gypsumtrack/base/log.h"
#include "transport_context.h"

namespace gypsumtrack::peer {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr base::Logger kLog{"peer"};
constexpr auto kAwaitResult = asio::as_tuple(asio::use_awaitable);
/// Limit on open connections from other daemons. Further ones are closed right
/// after they are accepted.
constexpr std::size_t kMaxCallees = 4096;
/// Expired connections are removed whenever the number of caller connections
/// reaches a multiple of this.
constexpr std::size_t kCallersPerCleanup = 16;
constexpr unsigned long kMaxPort = 65535;

}  // namespace

std::optional<tcp::endpoint> ParseAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  if (error) return std::nullopt;
  const auto port = std::strtoul(address.c_str() + colon + 1, nullptr, 10);
  if (port > kMaxPort) return std::nullopt;
  return tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

struct PeerTransport::State
    : std::enable_shared_from_this<PeerTransport::State> {
  explicit State(const TransportOptions& options)
      : context(std::make_shared<TransportContext>()),
        acceptor(asio::make_strand(options.executor)) {
    this->context->options = options;
  }

  std::shared_ptr<TransportContext> context;
  tcp::acceptor acceptor;
  std::mutex mutex;
  // The members below are guarded by `mutex`.
  bool stopped = false;
  std::map<std::string, std::shared_ptr<CallerConnection>> callers;
  std::vector<std::weak_ptr<CalleeConnection>> callees;

  /// Returns null after Stop.
  std::shared_ptr<CallerConnection> GetOrCreateCaller(
      const std::string& address) {
    const std::lock_guard lock(this->mutex);
    if (this->stopped) return nullptr;
    auto& caller = this->callers[address];
    if (caller) return caller;
    caller = std::make_shared<CallerConnection>(this->context, address);
    auto result = caller;
    if (this->callers.size() % kCallersPerCleanup == 0) this->RemoveExpired();
    return result;
  }

  /// Precondition: `mutex` is held.
  void RemoveExpired() {
    std::erase_if(this->callers, [](const auto& entry) {
      if (!entry.second->Expired()) return false;
      entry.second->Close();
      return true;
    });
  }

  /// Returns false if the connection must be closed.
  bool RegisterCallee(const std::shared_ptr<CalleeConnection>& callee) {
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->callees,
                  [](const auto& connection) { return connection.expired(); });
    if (this->stopped || this->callees.size() >= kMaxCallees) return false;
    this->callees.push_back(callee);
    return true;
  }

  asio::awaitable<void> AcceptConnections() {
    const auto self = this->shared_from_this();
    for (;;) {
      auto [error, socket] = co_await this->acceptor.async_accept(
          asio::make_strand(this->context->options.executor), kAwaitResult);
      if (error == asio::error::operation_aborted) co_return;
      if (!this->acceptor.is_open()) co_return;
      if (error) continue;
      boost::system::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      const auto executor = socket.get_executor();
      auto callee =
          std::make_shared<CalleeConnection>(this->context, std::move(socket));
      if (!this->RegisterCallee(callee)) continue;
      asio::co_spawn(
          executor, [callee] { return callee->Serve(); }, asio::detached);
    }
  }

  base::Status Listen() {
    const auto& address = this->context->options.listen;
    const auto endpoint = ParseAddress(address);
    if (!endpoint) {
      return base::Error(base::Errc::kInvalid, "invalid address " + address);
    }
    boost::system::error_code error;
    this->acceptor.open(endpoint->protocol(), error);
    if (!error) {
      this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) this->acceptor.bind(*endpoint, error);
    if (!error) {
      this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) return base::Error(error, "cannot listen on " + address);
    return base::Done{};
  }
};

PeerTransport::PeerTransport(const TransportOptions& options)
    : state(std::make_shared<State>(options)) {}

PeerTransport::~PeerTransport() { this->Stop(); }

base::Status PeerTransport::Start() {
  auto listening = this->state->Listen();
  if (!listening.ok()) return listening;
  kLog.Info("Listening for peers on {}.", this->Address());
  asio::co_spawn(
      this->state->acceptor.get_executor(),
      [state = this->state] { return state->AcceptConnections(); },
      asio::detached);
  return base::Done{};
}

void PeerTransport::Stop() {
  decltype(State::callers) callers;
  decltype(State::callees) callees;
  {
    const std::lock_guard lock(this->state->mutex);
    if (this->state->stopped) return;
    this->state->stopped = true;
    callers.swap(this->state->callers);
    callees.swap(this->state->callees);
  }
  asio::post(this->state->acceptor.get_executor(), [state = this->state] {
    boost::system::error_code ignored;
    state->acceptor.close(ignored);
  });
  for (const auto& [address, caller] : callers) caller->Close();
  for (const auto& weak_callee : callees) {
    if (const auto callee = weak_callee.lock()) callee->Close();
  }
}

PeerLink PeerTransport::Link() const {
  PeerLink link;
  link.call = [state = this->state](
                  const std::string& address, const std::string& method,
                  const Json::Value& params, base::Instant deadline,
                  ReplyHandler handler) {
    const auto caller = state->GetOrCreateCaller(address);
    if (caller) {
      caller->Call(method, params, deadline, std::move(handler));
    } else {
      handler(
          base::Error(base::Errc::kUnavailable, "peer: transport is stopped"));
    }
  };
  link.notify = [state = this->state](const std::string& address,
                                      const std::string& method,
                                      Json::Value params) {
    const auto caller = state->GetOrCreateCaller(address);
    if (caller) caller->Notify(method, std::move(params));
  };
  link.on_call = [state = this->state](const std::string& method,
                                       CallHandler handler) {
    state->context->handlers.calls[method] = std::move(handler);
  };
  link.on_notice = [state = this->state](const std::string& method,
                                         NoticeHandler handler) {
    state->context->handlers.notices[method] = std::move(handler);
  };
  return link;
}

std::string PeerTransport::Address() const {
  boost::system::error_code ignored;
  const auto endpoint = this->state->acceptor.local_endpoint(ignored);
  return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

TransportCounts PeerTransport::Counts() const {
  const auto& counts = this->state->context->counts;
  return {.frames_sent = counts.frames_sent.load(),
          .frames_received = counts.frames_received.load(),
          .bytes_sent = counts.bytes_sent.load(),
          .bytes_received = counts.bytes_received.load(),
          .connects = counts.connects.load(),
          .connect_failures = counts.connect_failures.load(),
          .replaced = counts.replaced.load(),
          .unauthenticated = counts.unauthenticated.load(),
          .wrong_version = counts.wrong_version.load(),
          .oversized = counts.oversized.load(),
          .malformed = counts.malformed.load(),
          .overflowed = counts.overflowed.load()};
}

}  // namespace gypsumtrack::peer
