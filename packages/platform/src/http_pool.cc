#include "gypsumtrack/platform/http_pool.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "gypsumtrack/platform/bounded_parser.h"

namespace gypsumtrack::platform {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

/// Further calls are queued, and rejected when the queue is full.
constexpr std::size_t kMaxConnections = 16;
constexpr std::size_t kMaxQueuedCalls = 4096;
/// Connections that were idle for longer are closed rather than reused.
constexpr auto kMaxIdle = std::chrono::seconds(5);
/// How often queued calls are checked for their deadlines.
constexpr auto kExpiryPeriod = std::chrono::milliseconds(50);
/// A transfer that delivers nothing for this long has stalled.
constexpr auto kMaxTransferPause = std::chrono::milliseconds(1500);
constexpr std::uint64_t kMaxReplyBytes = 256ULL * 1024 * 1024;
/// Bounds what is kept of a head, a chunk's size or a trailer without end.
constexpr std::size_t kMaxBufferBytes = std::size_t{128} * 1024;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

struct Connection {
  explicit Connection(const asio::any_io_executor& executor)
      : stream(executor) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxBufferBytes};
  base::Instant idle_until;
};

using ConnectionPointer = std::unique_ptr<Connection>;

/// A call that is queued or about to start.
struct QueuedCall {
  HttpCall call;
  HttpReplyHandler handler;
};

/// Parses `ip:port`.
std::optional<asio::ip::tcp::endpoint> ParseAddress(
    const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  if (error) return std::nullopt;
  const auto port = std::strtoul(address.c_str() + colon + 1, nullptr, 10);
  if (port == 0 || port > 65535) return std::nullopt;
  return asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

http::request<http::string_body> MakeRequest(const HttpCall& call,
                                             const std::string& host) {
  http::request<http::string_body> request;
  request.method_string(call.method);
  request.target(call.target);
  request.set(http::field::host, host);
  for (const auto& [name, value] : call.headers) request.set(name, value);
  request.body() = call.body;
  request.prepare_payload();
  return request;
}

/// Whether the server refused an attempt, which says nothing about the outcome
/// of an earlier one.
bool IsRefused(const HttpReply& reply) {
  constexpr unsigned kTooManyRequests = 429;
  constexpr unsigned kFirstServerError = 500;
  return reply.status == kTooManyRequests || reply.status >= kFirstServerError;
}

/// The error of a call that was not sent.
base::Error NotSent(const std::string& reason) {
  return {base::Errc::kUnavailable, "platform: " + reason};
}

}  // namespace

struct HttpPool::State : std::enable_shared_from_this<HttpPool::State> {
  State(const asio::any_io_executor& pool_executor, std::string server,
        base::Clock system_clock)
      : executor(asio::make_strand(pool_executor)),
        address(std::move(server)),
        clock(std::move(system_clock)),
        endpoint(ParseAddress(this->address)),
        expiry_timer(this->executor) {}

  // All members are accessed only on `executor`, which is a strand.
  asio::any_io_executor executor;
  std::string address;
  base::Clock clock;
  std::optional<asio::ip::tcp::endpoint> endpoint;
  std::vector<ConnectionPointer> idle;
  std::deque<QueuedCall> queue;
  std::size_t active_calls = 0;
  asio::steady_timer expiry_timer;
  bool expiry_armed = false;

  void Enqueue(QueuedCall queued) {
    if (this->active_calls < kMaxConnections) {
      this->StartCall(std::move(queued));
    } else if (this->queue.size() < kMaxQueuedCalls) {
      this->queue.push_back(std::move(queued));
      this->ArmExpiryTimer();
    } else {
      queued.handler(NotSent("too many queued calls"));
    }
  }

  void StartCall(QueuedCall queued) {
    ++this->active_calls;
    asio::co_spawn(
        this->executor,
        [self = this->shared_from_this(),
         queued = std::move(queued)]() mutable -> asio::awaitable<void> {
          auto reply = co_await self->Run(queued.call);
          --self->active_calls;
          self->StartQueued();
          queued.handler(std::move(reply));
        },
        asio::detached);
  }

  void StartQueued() {
    while (!this->queue.empty() && this->active_calls < kMaxConnections) {
      auto queued = std::move(this->queue.front());
      this->queue.pop_front();
      this->StartCall(std::move(queued));
    }
  }

  /// Schedules the next check of the queued calls' deadlines.
  void ArmExpiryTimer() {
    if (this->expiry_armed) return;
    this->expiry_armed = true;
    this->expiry_timer.expires_after(kExpiryPeriod);
    this->expiry_timer.async_wait(
        [self = this->shared_from_this()](auto error) {
          self->expiry_armed = false;
          if (!error) self->ExpireQueued();
        });
  }

  /// Fails queued calls whose deadline passes before the next check.
  void ExpireQueued() {
    const auto expiry_limit = this->clock.now() + kExpiryPeriod;
    std::vector<QueuedCall> expired;
    std::deque<QueuedCall> remaining;
    for (auto& queued : this->queue) {
      if (queued.call.deadline <= expiry_limit) {
        expired.push_back(std::move(queued));
      } else {
        remaining.push_back(std::move(queued));
      }
    }
    this->queue = std::move(remaining);
    if (!this->queue.empty()) this->ArmExpiryTimer();
    for (auto& queued : expired) {
      queued.handler(base::Error(base::Errc::kTimeout,
                                 "platform: deadline expired in the queue"));
    }
  }

  /// Returns null if there is no connection to reuse.
  ConnectionPointer TakeIdle() {
    while (!this->idle.empty()) {
      auto connection = std::move(this->idle.back());
      this->idle.pop_back();
      if (this->clock.now() < connection->idle_until) return connection;
    }
    return nullptr;
  }

  void KeepIdle(ConnectionPointer connection) {
    connection->idle_until = this->clock.now() + kMaxIdle;
    connection->stream.expires_never();
    this->idle.push_back(std::move(connection));
  }

  void SetDeadline(Connection& connection, base::Instant deadline) const {
    connection.stream.expires_after(deadline - this->clock.now());
  }

  /// Called when part of the response has arrived. A call with a transfer
  /// deadline gets more time, unless the transfer stalls.
  void ExtendDeadline(Connection& connection, const HttpCall& call,
                      base::Instant deadline) const {
    if (!call.transfer_deadline) return;
    const auto pause_end = this->clock.now() + kMaxTransferPause;
    const auto end = std::min(pause_end, *call.transfer_deadline);
    this->SetDeadline(connection, std::max(deadline, end));
  }

  asio::awaitable<base::Outcome<HttpReply>> Run(const HttpCall& call) {
    if (!this->endpoint) co_return NotSent("invalid address " + this->address);
    auto reused = this->TakeIdle();
    if (!reused) co_return co_await this->RunOnNewConnection(call);
    // A reused connection may never respond: leave time for a new one.
    const auto now = this->clock.now();
    const auto half_time = now + (call.deadline - now) / 2;
    const auto reuse_deadline =
        call.reused_connection_deadline.value_or(half_time);
    auto first =
        co_await this->Exchange(std::move(reused), call, reuse_deadline);
    if (first.ok()) co_return first;
    // The other idle connections are older than the failure and likely broken.
    this->idle.clear();
    auto second = co_await this->RunOnNewConnection(call);
    // The first attempt was sent, so its error is reported: the second one
    // might say that nothing was sent, or that nothing was done.
    if (!second.ok() || IsRefused(*second)) co_return first;
    co_return second;
  }

  asio::awaitable<base::Outcome<HttpReply>> RunOnNewConnection(
      const HttpCall& call) {
    auto connection = std::make_unique<Connection>(this->executor);
    if (this->clock.now() >= call.deadline) {
      co_return base::Error(base::Errc::kTimeout,
                            "platform: deadline expired before connecting");
    }
    this->SetDeadline(*connection, call.deadline);
    const auto [error] =
        co_await connection->stream.async_connect(*this->endpoint, kAwait);
    if (error) co_return NotSent(error.message());
    co_return co_await this->Exchange(std::move(connection), call,
                                      call.deadline);
  }

  asio::awaitable<base::Outcome<HttpReply>> Exchange(
      ConnectionPointer connection, const HttpCall& call,
      base::Instant deadline) {
    this->SetDeadline(*connection, deadline);
    const auto request = MakeRequest(call, this->address);
    const auto [write_error, written] =
        co_await http::async_write(connection->stream, request, kAwait);
    if (write_error) co_return this->NoResponse(write_error.message());
    BoundedResponseParser<http::string_body> parser;
    parser.body_limit(kMaxReplyBytes);
    while (!parser.is_done()) {
      const auto [read_error, read] = co_await http::async_read_some(
          connection->stream, connection->buffer, parser, kAwait);
      if (read_error) co_return this->NoResponse(read_error.message());
      this->ExtendDeadline(*connection, call, deadline);
    }
    const auto status = parser.get().result_int();
    if (!IsHttpStatus(status)) {
      co_return this->NoResponse("a reply has the status " +
                                 std::to_string(status));
    }
    HttpReply reply{status, std::move(parser.get().body())};
    if (parser.keep_alive()) this->KeepIdle(std::move(connection));
    co_return reply;
  }

  /// The error of a call that was sent and got no complete response.
  static base::Error NoResponse(const std::string& reason) {
    return {base::Errc::kUnknown, "platform: " + reason};
  }
};

HttpPool::HttpPool(const asio::any_io_executor& executor, std::string address,
                   base::Clock clock)
    : state(std::make_shared<State>(executor, std::move(address),
                                    std::move(clock))) {}

HttpPool::~HttpPool() = default;

void HttpPool::Send(HttpCall call, HttpReplyHandler handler) {
  asio::post(
      this->state->executor,
      [state = this->state,
       queued = QueuedCall{std::move(call), std::move(handler)}]() mutable {
        state->Enqueue(std::move(queued));
      });
}

}  // namespace gypsumtrack::platform
