#include "gypsumtrack/gateway/http_server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>
#include <mutex>
#include <set>
#include <utility>

#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/base/log.h"
#include "http_connection.h"
#include "socket_address.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr base::Logger kLog{"http"};
constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
/// Delay after a failed accept, for example when descriptors run out.
constexpr base::Duration kAcceptRetryDelay = std::chrono::milliseconds(50);
constexpr std::size_t kIdPrefixBytes = 6;
constexpr const char* kLargeBodyMessage = "The body is too large.";
/// Connections beyond the limit that may be told so; further ones are closed.
constexpr std::size_t kMaxRefusedConnections = 16;

}  // namespace

const std::string* RequestHead::Find(std::string_view name) const {
  for (const auto& header : this->headers) {
    if (boost::beast::iequals(header.name, name)) return &header.value;
  }
  return nullptr;
}

Exchange::Exchange(detail::Connection& connection) : connection(&connection) {}

const RequestHead& Exchange::request() const {
  return this->connection->request();
}

const std::string& Exchange::request_id() const {
  return this->connection->request_id();
}

bool Exchange::response_started() const {
  return this->connection->response_started();
}

base::Instant Exchange::deadline() const {
  return this->connection->deadline();
}

asio::awaitable<base::Outcome<std::string>> Exchange::ReadPart() {
  return this->connection->ReadPart();
}

asio::awaitable<base::Outcome<std::string>> Exchange::ReadBody(
    std::uint64_t limit_bytes) {
  std::string body;
  const auto length = this->connection->DeclaredBodyBytes();
  if (length > limit_bytes)
    co_return base::Error(base::Errc::kInvalid, kLargeBodyMessage);
  // Without copies of a body that grows.
  if (length) body.reserve(*length);
  for (;;) {
    auto part = co_await this->connection->ReadPart();
    if (!part.ok()) co_return part.error();
    if (part->empty()) co_return body;
    if (body.size() + part->size() > limit_bytes)
      co_return base::Error(base::Errc::kInvalid, kLargeBodyMessage);
    const bool has_room = co_await this->connection->HoldBody(part->size());
    if (!has_room)
      co_return base::Error(base::Errc::kOverload, "No room for the body.");
    body += *part;
  }
}

bool Exchange::TryHold(std::uint64_t bytes) {
  return this->connection->TryHold(bytes);
}

asio::awaitable<base::Status> Exchange::Send(ResponseHead head,
                                             std::string body) {
  return this->connection->Send(std::move(head), std::move(body));
}

asio::awaitable<base::Status> Exchange::BeginStream(ResponseHead head) {
  return this->connection->BeginStream(std::move(head));
}

asio::awaitable<base::Status> Exchange::WritePart(std::string bytes) {
  return this->connection->WritePart(std::move(bytes));
}

asio::awaitable<base::Status> Exchange::EndStream() {
  return this->connection->EndStream();
}

void Exchange::Abort() { this->connection->Abort(); }

void Exchange::OnCallerDisconnect(std::function<void()> handler) {
  this->connection->OnCallerDisconnect(std::move(handler));
}

void Router::Add(std::string method, std::string path_prefix,
                 HttpHandler handler) {
  this->entries.push_back(
      {std::move(method), std::move(path_prefix), std::move(handler)});
}

const HttpHandler* Router::Find(const RequestHead& request) const {
  const Entry* best = nullptr;
  for (const auto& entry : this->entries) {
    if (entry.method != "*" && entry.method != request.method) continue;
    if (!request.path.starts_with(entry.path_prefix)) continue;
    if (best == nullptr ||
        entry.path_prefix.size() > best->path_prefix.size()) {
      best = &entry;
    }
  }
  return best == nullptr ? nullptr : &best->handler;
}

/// The listener and the set of open connections.
class HttpServer::State : public std::enable_shared_from_this<State> {
 public:
  State(const asio::any_io_executor& executor, base::Clock clock,
        HttpServerOptions options, Router router)
      : executor(executor),
        strand(asio::make_strand(executor)),
        acceptor(this->strand),
        drain_timer(this->strand),
        context(std::make_shared<detail::ServerContext>()) {
    this->context->clock = std::move(clock);
    this->context->options = std::move(options);
    this->context->router = std::move(router);
    this->context->id_prefix = base::RandomHex(kIdPrefixBytes) + "-";
  }

  base::Status Start() {
    const auto socket_address =
        ParseSocketAddress(this->context->options.address);
    if (!socket_address.ok()) return socket_address.error();
    error_code error;
    this->acceptor.open(socket_address->protocol(), error);
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    this->acceptor.bind(*socket_address, error);
    if (!error)
      this->acceptor.listen(tcp::acceptor::max_listen_connections, error);
    if (error) {
      return base::Error(base::Errc::kUnavailable,
                         "Can't listen on " + this->context->options.address +
                             ": " + error.message() + ".");
    }
    this->bound_address =
        FormatSocketAddress(this->acceptor.local_endpoint(error));
    asio::co_spawn(
        this->strand,
        [self = this->shared_from_this()] { return self->AcceptLoop(); },
        asio::detached);
    return base::Done{};
  }

  const std::string& address() const { return this->bound_address; }  // NOLINT

  void Drain(std::function<void()> done) {
    this->context->draining.store(true);
    asio::post(this->strand, [self = this->shared_from_this(),
                              done = std::move(done)]() mutable {
      self->on_drained = std::move(done);
      self->drain_timer.expires_after(self->context->options.drain_grace);
      self->drain_timer.async_wait(
          [self](error_code) { self->EndDrainGrace(); });
    });
  }

  void Stop() {
    asio::post(this->strand, [self = this->shared_from_this()] {
      self->CloseListener();
      self->PostToEach(
          [](detail::Connection& connection) { connection.Close(); });
    });
  }

 private:
  asio::awaitable<void> AcceptLoop() {
    while (this->acceptor.is_open()) {
      auto [error, socket] = co_await this->acceptor.async_accept(
          asio::make_strand(this->executor), kAwaitTuple);
      if (!error) {
        this->AddConnection(std::move(socket));
      } else if (error != asio::error::operation_aborted) {
        asio::steady_timer retry_timer(this->strand, kAcceptRetryDelay);
        co_await retry_timer.async_wait(kAwaitTuple);
      }
    }
  }

  void AddConnection(tcp::socket socket) {
    const auto max_connections = this->context->options.max_connections;
    if (this->connections.size() >= max_connections + kMaxRefusedConnections)
      return;
    const bool is_full = this->connections.size() >= max_connections;
    const bool at_limit = is_full && !this->CloseLongestIdle();
    auto connection =
        detail::Connection::Make(std::move(socket), this->context);
    this->connections.insert(connection);
    auto serve = [self = this->shared_from_this(), connection, at_limit] {
      return self->Serve(connection, at_limit);
    };
    asio::co_spawn(connection->strand(), std::move(serve), asio::detached);
  }

  /// Serves the connection and removes it, also if an exception in a handler
  /// destroys this coroutine.
  asio::awaitable<void> Serve(std::shared_ptr<detail::Connection> connection,
                              bool at_limit) {
    const std::shared_ptr<void> removal(
        nullptr, [self = this->shared_from_this(), connection](void*) {
          asio::post(self->strand, [self, connection] {
            self->RemoveConnection(connection);
          });
        });
    if (at_limit) {
      co_await connection->Refuse();
    } else {
      co_await connection->Run();
    }
  }

  void RemoveConnection(const std::shared_ptr<detail::Connection>& connection) {
    this->connections.erase(connection);
    this->FinishDrain();
  }

  /// Closes the connection that has waited longest for a whole head. Returns
  /// whether there is one.
  bool CloseLongestIdle() {
    std::shared_ptr<detail::Connection> longest;
    auto waiting_since = base::kNever;
    for (const auto& connection : this->connections) {
      const auto since = connection->awaits_head_since();
      if (since >= waiting_since) continue;
      waiting_since = since;
      longest = connection;
    }
    if (!longest) return false;
    longest->OnChosenToClose();
    asio::post(longest->strand(), [longest] { longest->CloseIfAwaitsHead(); });
    return true;
  }

  /// Stops accepting and closes idle connections.
  void EndDrainGrace() {
    this->AcceptPending();
    this->CloseListener();
    this->context->drain_grace_over.store(true);
    this->PostToEach(
        [](detail::Connection& connection) { connection.CloseIfIdle(); });
    this->FinishDrain();
  }

  /// Accepts the connections in the kernel's backlog, which closing the
  /// listener would reset.
  void AcceptPending() {
    error_code error;
    this->acceptor.non_blocking(true, error);
    while (!error) {
      tcp::socket socket(asio::make_strand(this->executor));
      this->acceptor.accept(socket, error);
      if (!error) this->AddConnection(std::move(socket));
    }
  }

  void CloseListener() {
    error_code ignored;
    this->acceptor.close(ignored);
  }

  /// Calls `on_drained` if the drain is complete.
  void FinishDrain() {
    if (!this->context->drain_grace_over.load() || !this->connections.empty())
      return;
    const auto done = std::exchange(this->on_drained, nullptr);
    if (!done) return;
    kLog.Info("Drained: all connections to {} are closed.",
              this->bound_address);
    done();
  }

  /// Runs `action` for each connection, on the strand of that connection.
  void PostToEach(const std::function<void(detail::Connection&)>& action) {
    for (const auto& connection : this->connections) {
      asio::post(connection->strand(),
                 [connection, action] { action(*connection); });
    }
  }

  asio::any_io_executor executor;
  asio::any_io_executor strand;
  tcp::acceptor acceptor;
  asio::steady_timer drain_timer;
  std::shared_ptr<detail::ServerContext> context;
  /// Used on the strand, like the members below.
  std::set<std::shared_ptr<detail::Connection>> connections;
  std::function<void()> on_drained;
  std::string bound_address;
};

HttpServer::HttpServer(const asio::any_io_executor& executor, base::Clock clock,
                       HttpServerOptions options, Router router)
    : state(std::make_shared<State>(executor, std::move(clock),
                                    std::move(options), std::move(router))) {}

HttpServer::~HttpServer() { this->Stop(); }

base::Status HttpServer::Start() { return this->state->Start(); }

std::string HttpServer::address() const { return this->state->address(); }

void HttpServer::Drain(std::function<void()> done) {
  this->state->Drain(std::move(done));
}

void HttpServer::Stop() { this->state->Stop(); }

}  // namespace gypsumtrack::gateway
