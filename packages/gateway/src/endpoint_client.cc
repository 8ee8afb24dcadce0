#include "gypsumtrack/gateway/endpoint_client.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "connection_pool.h"
#include "socket_address.h"
#include "watchdog.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using Parser = http::response_parser<http::buffer_body>;

constexpr auto kUse = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kPartBytes = std::size_t{16} * 1024;
constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;
constexpr unsigned kHttp11 = 11;
constexpr int kKeepAliveSeconds = 1;
/// Late answers to earlier requests that are skipped before ours.
constexpr int kMaxStrayAnswers = 3;
/// Share of an endpoint's own idle timeout for which a connection is kept.
constexpr double kIdleTimeoutShare = 0.7;

using KeepAliveIdle =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepAliveInterval =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using UserTimeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// Lets the kernel notice a connection that something in between has lost.
void SetLivenessOptions(asio::ip::tcp::socket& socket,
                        base::Duration unacknowledged) {
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(unacknowledged);
  error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(KeepAliveIdle(kKeepAliveSeconds), ignored);
  socket.set_option(KeepAliveInterval(kKeepAliveSeconds), ignored);
  socket.set_option(UserTimeout(static_cast<int>(millis.count())), ignored);
}

ResponseHead TakeHead(const Parser& parser) {
  ResponseHead head;
  head.status = parser.get().result_int();
  for (const auto& field : parser.get()) {
    head.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return head;
}

bool HasHeader(const ResponseHead& head, std::string_view name,
               std::string_view value) {
  return std::any_of(head.headers.begin(), head.headers.end(),
                     [&](const Header& header) {
                       return boost::beast::iequals(header.name, name) &&
                              boost::beast::iequals(header.value, value);
                     });
}

/// The idle timeout that the answer states, if any.
std::optional<base::Duration> StatedIdleTimeout(const ResponseHead& head) {
  constexpr std::string_view kTimeout = "timeout=";
  for (const auto& header : head.headers) {
    if (!boost::beast::iequals(header.name, "Keep-Alive")) continue;
    const auto at = header.value.find(kTimeout);
    if (at == std::string::npos) continue;
    const auto* digits = header.value.c_str() + at + kTimeout.size();
    return std::chrono::seconds(std::strtoul(digits, nullptr, 10));
  }
  return std::nullopt;
}

/// One call on one connection.
class CallRun {
 public:
  CallRun(EndpointCall& call, const EndpointClientOptions& options,
          const base::Clock& clock, const asio::any_io_executor& strand)
      : call(call), options(options), clock(clock) {
    this->watchdog =
        std::make_shared<Watchdog>(strand, clock, [this] { this->Close(); });
    if (call.cancel) call.cancel->SetAction([this] { this->Close(); });
  }

  ~CallRun() {
    this->watchdog->Stop();
    if (this->call.cancel) this->call.cancel->SetAction(nullptr);
  }

  CallRun(const CallRun&) = delete;
  CallRun& operator=(const CallRun&) = delete;

  asio::awaitable<bool> Connect(const asio::any_io_executor& executor) {
    const auto address = ParseSocketAddress(this->call.address);
    if (!address.ok() || this->Cancelled()) co_return false;
    this->connection =
        std::make_unique<EndpointConnection>(asio::ip::tcp::socket(executor));
    this->Arm(this->options.connect_timeout);
    const auto [error] =
        co_await this->connection->socket.async_connect(*address, kUse);
    if (error) {
      this->result.outcome =
          this->Cancelled() ? CallOutcome::kCancelled : CallOutcome::kConnect;
      co_return false;
    }
    SetLivenessOptions(this->connection->socket,
                       this->options.unacknowledged_timeout);
    co_return true;
  }

  void Reuse(EndpointConnectionPtr pooled) {
    this->connection = std::move(pooled);
    this->result.reused_connection = true;
  }

  asio::awaitable<void> Exchange() {
    this->connection->calls++;
    if (this->Cancelled()) {
      this->result.outcome = CallOutcome::kCancelled;
      co_return;
    }
    // Each await stands alone: g++ 12 miscompiles several in conditions.
    bool going = co_await this->SendRequest();
    if (!going) co_return;
    this->result.run = policy::RunState::kUnknown;
    going = co_await this->ReadHead();
    if (going && this->call.on_head) this->call.on_head(this->result.head);
    if (going) going = co_await this->ReadBody();
    if (!going) co_return;
    this->Settle();
  }

  /// The connection if another call may use it, else null.
  EndpointConnectionPtr TakeReusable() {
    const bool clean = this->result.outcome == CallOutcome::kComplete ||
                       this->result.outcome == CallOutcome::kRefused;
    if (!clean || !this->keep_alive) return nullptr;
    if (this->connection->buffer.size() > 0) return nullptr;
    this->connection->proven_at = this->clock.now();
    if (const auto idle = StatedIdleTimeout(this->result.head)) {
      this->connection->idle_until =
          this->connection->proven_at +
          std::chrono::duration_cast<base::Duration>(*idle * kIdleTimeoutShare);
    }
    return std::move(this->connection);
  }

  EndpointResult result;

 private:
  void Close() {
    if (!this->connection) return;
    error_code ignored;
    this->connection->socket.close(ignored);
  }

  bool Cancelled() const {
    return this->call.cancel && this->call.cancel->cancelled();
  }

  void Arm(base::Duration wait) {
    this->watchdog->Set(
        std::min(this->call.deadline, this->clock.now() + wait));
  }

  /// Why the connection failed.
  CallOutcome FailureEnd() const {
    if (this->Cancelled()) return CallOutcome::kCancelled;
    if (!this->watchdog->expired()) return CallOutcome::kClosed;
    return this->clock.now() >= this->call.deadline ? CallOutcome::kDeadline
                                                    : CallOutcome::kStalled;
  }

  asio::awaitable<bool> SendRequest() {
    http::request<http::string_body> request;
    request.version(kHttp11);
    request.method_string(this->call.method);
    request.target(this->call.target);
    for (const auto& header : this->call.headers) {
      request.insert(header.name, header.value);
    }
    const auto& protocol = this->options.protocol;
    if (protocol.set_host_to_address) {
      request.set(http::field::host, this->call.address);
    }
    request.set(protocol.request_id_header, this->call.request_id);
    request.body() = std::move(this->call.body);
    if (!request.body().empty() || this->call.method != "GET") {
      request.content_length(request.body().size());
    }
    this->Arm(this->call.progress_timeout);
    const auto [error, sent] =
        co_await http::async_write(this->connection->socket, request, kUse);
    if (!error) co_return true;
    this->result.outcome = this->FailureEnd();
    if (sent > 0) this->result.run = policy::RunState::kUnknown;
    co_return false;
  }

  /// Skips late answers to earlier requests on this connection.
  asio::awaitable<bool> ReadHead() {
    for (int stray = 0; stray <= kMaxStrayAnswers; ++stray) {
      bool going = co_await this->ReadOneHead();
      if (!going) co_return false;
      const bool ours = this->EchoesOurId();
      if (ours) co_return this->CheckFraming();
      this->result.outcome = CallOutcome::kMismatched;
      if (this->parser->need_eof()) co_return false;
      going = co_await this->SkipBody();
      if (!going) co_return false;
    }
    co_return false;
  }

  asio::awaitable<bool> SkipBody() {
    std::string part(kPartBytes, '\0');
    while (!this->parser->is_done()) {
      const auto got = co_await this->ReadSome(part);
      if (!got) co_return false;
    }
    co_return true;
  }

  asio::awaitable<bool> ReadOneHead() {
    do {
      this->parser.emplace();
      this->parser->header_limit(kMaxHeaderBytes);
      this->parser->body_limit(boost::none);
      if (this->call.method == "HEAD") this->parser->skip(true);
      this->Arm(this->call.progress_timeout);
      const auto [error, size] = co_await http::async_read_header(
          this->connection->socket, this->connection->buffer, *this->parser,
          kUse);
      if (error) {
        this->result.outcome = this->FailureEnd();
        co_return false;
      }
    } while (this->parser->get().result_int() < 200);
    this->keep_alive = this->parser->keep_alive();
    this->result.head = TakeHead(*this->parser);
    co_return true;
  }

  bool EchoesOurId() const {
    for (const auto& header : this->result.head.headers) {
      if (!boost::beast::iequals(header.name,
                                 this->options.protocol.request_id_header)) {
        continue;
      }
      if (header.value != this->call.request_id) return false;
    }
    return true;
  }

  bool CheckFraming() {
    const bool unframed = !this->parser->is_done() && this->parser->need_eof();
    if (unframed && !this->options.protocol.accepts_close_delimited_body) {
      // Its end can't be told from a broken connection.
      this->result.outcome = CallOutcome::kInvalid;
      return false;
    }
    return true;
  }

  asio::awaitable<bool> ReadBody() {
    std::string part(kPartBytes, '\0');
    while (!this->parser->is_done()) {
      const auto got = co_await this->ReadSome(part);
      if (!got) co_return false;
      if (*got == 0) continue;
      const std::string_view bytes(part.data(), *got);
      const bool taken = co_await this->TakePart(bytes);
      if (!taken) co_return false;
    }
    co_return true;
  }

  /// Bytes of the body put into `part`; none if the connection failed.
  asio::awaitable<std::optional<std::size_t>> ReadSome(std::string& part) {
    auto& body = this->parser->get().body();
    body.data = part.data();
    body.size = part.size();
    body.more = true;
    this->Arm(this->call.progress_timeout);
    auto [error, size] = co_await http::async_read_some(
        this->connection->socket, this->connection->buffer, *this->parser,
        kUse);
    if (error == http::error::need_buffer) error = {};
    if (error) {
      this->result.outcome = this->FailureEnd();
      co_return std::nullopt;
    }
    co_return part.size() - body.size;
  }

  asio::awaitable<bool> TakePart(std::string_view part) {
    const bool streamed =
        this->call.on_part && this->result.head.status / 100 == 2;
    if (streamed) {
      this->watchdog->Set(base::kNever);
      const auto taken = co_await this->call.on_part(this->result.head, part);
      if (taken.ok()) co_return true;
      this->result.outcome = taken.error().Is(base::Errc::kInvalid)
                                 ? CallOutcome::kMismatched
                                 : CallOutcome::kCancelled;
      co_return false;
    }
    this->result.body += part;
    if (this->result.body.size() <= this->options.max_body_bytes)
      co_return true;
    this->result.outcome = CallOutcome::kInvalid;
    co_return false;
  }

  void Settle() {
    const auto& head = this->result.head;
    const auto& protocol = this->options.protocol;
    this->result.draining =
        protocol.reports_draining && protocol.reports_draining(head);
    if (head.status >= 400 && protocol.reports_not_run &&
        protocol.reports_not_run(head)) {
      this->result.outcome = CallOutcome::kRefused;
      this->result.run = policy::RunState::kNotRun;
      return;
    }
    const bool streamed = this->call.on_part && head.status / 100 == 2;
    if (streamed && this->call.is_complete && !this->call.is_complete()) {
      this->result.outcome = CallOutcome::kClosed;
      return;
    }
    this->result.outcome = CallOutcome::kComplete;
    // An endpoint's own gateway can't say whether the request ran.
    const bool relayed = head.status == 502 || head.status == 504;
    if (!relayed) this->result.run = policy::RunState::kRan;
  }

  EndpointCall& call;
  const EndpointClientOptions& options;
  const base::Clock& clock;
  std::shared_ptr<Watchdog> watchdog;
  EndpointConnectionPtr connection;
  std::optional<Parser> parser;
  bool keep_alive = false;
};

}  // namespace

EndpointProtocol DefaultProtocol() {
  EndpointProtocol protocol;
  protocol.reports_not_run = [](const ResponseHead& head) {
    return HasHeader(head, kEndpointRunHeader,
                     policy::kRunStateNames.Name(policy::RunState::kNotRun));
  };
  protocol.reports_draining = [](const ResponseHead& head) {
    return HasHeader(head, kEndpointLeavingHeader, "1");
  };
  return protocol;
}

void CallCancellation::Cancel() {
  this->is_cancelled = true;
  if (this->action) this->action();
}

void CallCancellation::SetAction(std::function<void()> next) {
  this->action = std::move(next);
}

class EndpointClient::Pool {
 public:
  Pool(asio::any_io_executor executor, base::Clock clock,
       const EndpointClientOptions& options)
      : executor(std::move(executor)),
        clock(std::move(clock)),
        options(options),
        idle(options) {}

  asio::awaitable<void> Perform(CallRun& run, const EndpointCall& call) {
    const auto trusted =
        call.idempotent ? this->options.max_idle : this->options.proven_alive;
    const auto now = this->clock.now();
    auto pooled = this->idle.Take(call.address, now - trusted, now);
    bool connected = pooled != nullptr;
    if (connected) {
      run.Reuse(std::move(pooled));
    } else {
      connected = co_await run.Connect(this->executor);
    }
    if (!connected) co_return;
    co_await run.Exchange();
    this->Release(run, call.address);
  }

  const asio::any_io_executor executor;
  const base::Clock clock;
  const EndpointClientOptions options;
  ConnectionPool idle;

 private:
  void Release(CallRun& run, const std::string& address) {
    const auto end = run.result.outcome;
    // What silenced this connection may have silenced the others.
    if (end == CallOutcome::kStalled || end == CallOutcome::kClosed) {
      this->idle.Drop(address);
    }
    auto reusable = run.TakeReusable();
    if (reusable) this->idle.Put(address, std::move(reusable));
  }
};

EndpointClient::EndpointClient(asio::any_io_executor executor,
                               base::Clock clock,
                               const EndpointClientOptions& options)
    : pool(std::make_unique<Pool>(std::move(executor), std::move(clock),
                                  options)) {}

EndpointClient::~EndpointClient() = default;

asio::awaitable<EndpointResult> EndpointClient::Call(EndpointCall call) {
  const auto strand = co_await asio::this_coro::executor;
  const auto run = std::make_unique<CallRun>(call, this->pool->options,
                                             this->pool->clock, strand);
  co_await this->pool->Perform(*run, call);
  co_return std::move(run->result);
}

void EndpointClient::DropIdle(const std::string& address) {
  this->pool->idle.Drop(address);
}

void EndpointClient::CloseIdle() { this->pool->idle.DropAll(); }

std::size_t EndpointClient::idle_count(const std::string& address) const {
  return this->pool->idle.idle_count(address);
}

}  // namespace gypsumtrack::gateway
