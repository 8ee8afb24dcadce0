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

namespace gypsumtrack::platform {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

/// Most connections at once, and most calls that wait for one.
constexpr std::size_t kMaxConnections = 16;
constexpr std::size_t kMaxWaiting = 4096;
/// Longest time that an idle connection is trusted.
constexpr auto kMaxIdle = std::chrono::seconds(5);
constexpr auto kSweepPeriod = std::chrono::milliseconds(50);
/// An answer that brings nothing for so long has stopped arriving.
constexpr auto kArrivingPause = std::chrono::milliseconds(1500);
constexpr std::uint64_t kMaxReplyBytes = 256ULL * 1024 * 1024;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

struct Connection {
  explicit Connection(const asio::any_io_executor& executor)
      : stream(executor) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  base::Instant idle_until;
};

using ConnectionPointer = std::unique_ptr<Connection>;

struct Waiting {
  HttpCall call;
  HttpReplyHandler handler;
};

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

base::Error NotSent(const std::string& why) {
  return {base::Errc::kUnavailable, "platform: " + why};
}

}  // namespace

struct HttpPool::State : std::enable_shared_from_this<HttpPool::State> {
  State(const asio::any_io_executor& pool_executor, std::string server,
        base::Clock system_clock)
      : executor(asio::make_strand(pool_executor)),
        address(std::move(server)),
        clock(std::move(system_clock)),
        endpoint(ParseAddress(this->address)),
        sweep(this->executor) {}

  // The members below are used on `executor`, a strand, alone.
  asio::any_io_executor executor;
  std::string address;
  base::Clock clock;
  std::optional<asio::ip::tcp::endpoint> endpoint;
  std::vector<ConnectionPointer> idle;
  std::deque<Waiting> waiting;
  std::size_t busy = 0;
  asio::steady_timer sweep;
  bool sweep_armed = false;

  void Enqueue(Waiting next) {
    if (this->busy < kMaxConnections) {
      this->Start(std::move(next));
    } else if (this->waiting.size() < kMaxWaiting) {
      this->waiting.push_back(std::move(next));
      this->ArmSweep();
    } else {
      next.handler(NotSent("too many calls wait"));
    }
  }

  void Start(Waiting next) {
    ++this->busy;
    asio::co_spawn(
        this->executor,
        [self = this->shared_from_this(),
         next = std::move(next)]() mutable -> asio::awaitable<void> {
          auto reply = co_await self->Run(next.call);
          --self->busy;
          self->StartWaiting();
          next.handler(std::move(reply));
        },
        asio::detached);
  }

  void StartWaiting() {
    while (!this->waiting.empty() && this->busy < kMaxConnections) {
      auto next = std::move(this->waiting.front());
      this->waiting.pop_front();
      this->Start(std::move(next));
    }
  }

  /// Ends calls whose deadline passes while they wait.
  void ArmSweep() {
    if (this->sweep_armed) return;
    this->sweep_armed = true;
    this->sweep.expires_after(kSweepPeriod);
    this->sweep.async_wait([self = this->shared_from_this()](auto error) {
      self->sweep_armed = false;
      if (!error) self->Sweep();
    });
  }

  void Sweep() {
    const auto soon = this->clock.now() + kSweepPeriod;
    std::vector<Waiting> expired;
    std::deque<Waiting> kept;
    for (auto& next : this->waiting) {
      if (next.call.deadline <= soon) {
        expired.push_back(std::move(next));
      } else {
        kept.push_back(std::move(next));
      }
    }
    this->waiting = std::move(kept);
    if (!this->waiting.empty()) this->ArmSweep();
    for (auto& next : expired) {
      next.handler(base::Error(base::Errc::kTimeout, "platform: queue full"));
    }
  }

  ConnectionPointer TakeIdle() {
    while (!this->idle.empty()) {
      auto connection = std::move(this->idle.back());
      this->idle.pop_back();
      if (this->clock.now() < connection->idle_until) return connection;
    }
    return nullptr;
  }

  void Keep(ConnectionPointer connection) {
    connection->idle_until = this->clock.now() + kMaxIdle;
    connection->stream.expires_never();
    this->idle.push_back(std::move(connection));
  }

  void SetDeadline(Connection& connection, base::Instant deadline) const {
    connection.stream.expires_after(deadline - this->clock.now());
  }

  /// Some of the answer has come.
  void ExtendDeadline(Connection& connection, const HttpCall& call,
                      base::Instant deadline) const {
    if (!call.transfer_deadline) return;
    const auto pause_end = this->clock.now() + kArrivingPause;
    const auto end = std::min(pause_end, *call.transfer_deadline);
    this->SetDeadline(connection, std::max(deadline, end));
  }

  asio::awaitable<base::Outcome<HttpReply>> Run(const HttpCall& call) {
    if (!this->endpoint) co_return NotSent("bad address " + this->address);
    auto kept = this->TakeIdle();
    if (!kept) co_return co_await this->RunOnNew(call);
    // A kept connection may be silent for good: leave time for a new one.
    const auto now = this->clock.now();
    const auto half = now + (call.deadline - now) / 2;
    const auto until = call.kept_deadline.value_or(half);
    auto first = co_await this->Exchange(std::move(kept), call, until);
    if (first.ok()) co_return first;
    // What the pool kept was opened before the trouble began.
    this->idle.clear();
    auto second = co_await this->RunOnNew(call);
    // The first attempt was sent, so the call as a whole isn't unsent.
    if (!second.ok()) co_return first;
    co_return second;
  }

  asio::awaitable<base::Outcome<HttpReply>> RunOnNew(const HttpCall& call) {
    auto connection = std::make_unique<Connection>(this->executor);
    if (this->clock.now() >= call.deadline) {
      co_return base::Error(base::Errc::kTimeout, "platform: no time left");
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
    if (write_error) co_return this->Lost(write_error.message());
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxReplyBytes);
    while (!parser.is_done()) {
      const auto [read_error, read] = co_await http::async_read_some(
          connection->stream, connection->buffer, parser, kAwait);
      if (read_error) co_return this->Lost(read_error.message());
      this->ExtendDeadline(*connection, call, deadline);
    }
    HttpReply reply{parser.get().result_int(), std::move(parser.get().body())};
    if (parser.keep_alive()) this->Keep(std::move(connection));
    co_return reply;
  }

  static base::Error Lost(const std::string& why) {
    return {base::Errc::kUnknown, "platform: " + why};
  }
};

HttpPool::HttpPool(const asio::any_io_executor& executor, std::string address,
                   base::Clock clock)
    : state(std::make_shared<State>(executor, std::move(address),
                                    std::move(clock))) {}

HttpPool::~HttpPool() = default;

void HttpPool::Send(HttpCall call, HttpReplyHandler handler) {
  asio::post(this->state->executor,
             [state = this->state,
              next = Waiting{std::move(call), std::move(handler)}]() mutable {
               state->Enqueue(std::move(next));
             });
}

}  // namespace gypsumtrack::platform
