#include "gypsumtrack/gateway/endpoint_client.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "connection_pool.h"
#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/base/memory_budget.h"
#include "gypsumtrack/gateway/header_syntax.h"
#include "gypsumtrack/gateway/http_status.h"
#include "gypsumtrack/platform/bounded_parser.h"
#include "response_head.h"
#include "socket_address.h"
#include "tcp_options.h"
#include "watchdog.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using Parser = platform::BoundedResponseParser<http::buffer_body>;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kBodyPartBytes = std::size_t{16} * 1024;
constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;
constexpr std::uint32_t kMaxTunnelReplyBytes = 4 * 1024;
constexpr unsigned kHttp11 = 11;
/// Maximum number of late responses to earlier requests that are discarded.
constexpr int kMaxLateResponses = 3;
/// Maximum number of responses with a 1xx status before the final one.
constexpr int kMaxInterimResponses = 8;
/// Interval at which a call without progress asks again whether to end.
constexpr base::Duration kAbandonCheckInterval = std::chrono::milliseconds(50);
/// Time to read input that has arrived by the time at which a timeout expires.
constexpr base::Duration kUnreadInputTimeout = std::chrono::seconds(1);

/// What had arrived when the deadline of a call passed.
struct LateInput {
  /// Number of bytes that aren't read yet.
  std::size_t bytes_left = 0;
  base::Instant read_until;
};
/// Fraction of the endpoint's idle timeout for which a connection is reused, so
/// that the endpoint doesn't close it first.
constexpr double kIdleTimeoutFraction = 0.7;
/// Sends one request and receives its response on one connection. Used on one
/// strand.
class ConnectionCall {
 public:
  /// `body_memory` is charged for the bodies that all calls of the client hold.
  /// A call that the end of the event loop cuts off may outlive its client.
  ConnectionCall(EndpointCall& call, const EndpointClientOptions& options,
                 const base::Clock& clock, const asio::any_io_executor& strand,
                 std::shared_ptr<base::MemoryBudget> body_memory)
      : call(call),
        options(options),
        clock(clock),
        body_memory(std::move(body_memory)) {
    this->watchdog = std::make_shared<Watchdog>(strand, clock,
                                                [this] { this->OnTimeout(); });
    if (call.cancel) call.cancel->SetHandler([this] { this->Close(); });
  }

  ~ConnectionCall() {
    this->watchdog->Stop();
    if (this->call.cancel) this->call.cancel->SetHandler(nullptr);
  }

  ConnectionCall(const ConnectionCall&) = delete;
  ConnectionCall& operator=(const ConnectionCall&) = delete;

  /// Opens a connection. Returns false on failure, with the outcome kConnect or
  /// kCancelled.
  asio::awaitable<bool> Connect(const asio::any_io_executor& executor) {
    if (this->call.tunnel) return this->ConnectThroughPeer(executor);
    return this->ConnectDirectly(executor);
  }

  /// Uses a connection from the pool.
  void UseConnection(EndpointConnectionPtr pooled) {
    this->connection = std::move(pooled);
    this->result.reused_connection = true;
  }

  /// Sends the request and reads the response. Precondition: connected.
  asio::awaitable<void> Exchange() {
    this->connection->calls++;
    this->exchange_started = true;
    if (this->Cancelled()) {
      this->result.outcome = CallOutcome::kCancelled;
      co_return;
    }
    // Each co_await is a statement of its own: g++ 12 miscompiles conditions
    // with several of them.
    bool succeeded = co_await this->SendRequest();
    if (!succeeded) co_return;
    this->result.run = policy::RunState::kUnknown;
    succeeded = co_await this->ReadHead();
    if (succeeded && this->call.on_head) this->call.on_head(this->result.head);
    if (succeeded) succeeded = co_await this->ReadBody();
    if (!succeeded) co_return;
    this->ProcessResponse();
  }

  /// Gives up and returns the connection if another call may use it; else
  /// returns null.
  EndpointConnectionPtr TakeReusable() {
    const bool finished = this->result.outcome == CallOutcome::kComplete ||
                          this->result.outcome == CallOutcome::kRefused;
    if (!finished || !this->keep_alive) return nullptr;
    if (this->connection->buffer.size() > 0) return nullptr;
    this->connection->last_response_at = this->clock.now();
    if (this->result.head.status >= 400) {
      this->connection->failed_requests.push_back(
          base::Hash64(this->call.request_id));
    }
    if (const auto idle = KeepAliveTimeout(this->result.head)) {
      this->connection->reusable_until =
          this->connection->last_response_at +
          std::chrono::duration_cast<base::Duration>(*idle *
                                                     kIdleTimeoutFraction);
    }
    return std::move(this->connection);
  }

  EndpointResult result;

 private:
  asio::awaitable<bool> ConnectDirectly(const asio::any_io_executor& executor) {
    const auto address = ParseSocketAddress(this->call.address);
    if (!address.ok() || this->Cancelled()) co_return false;
    const auto started_at = this->clock.now();
    const bool connected = co_await this->OpenSocket(executor, *address);
    if (this->call.on_connect && !this->Cancelled()) {
      this->call.on_connect(connected, started_at);
    }
    co_return connected;
  }

  /// Connects within EndpointClientOptions::connect_timeout.
  asio::awaitable<bool> OpenSocket(const asio::any_io_executor& executor,
                                   const asio::ip::tcp::endpoint& address) {
    this->connection =
        std::make_unique<EndpointConnection>(asio::ip::tcp::socket(executor));
    this->SetTimeout(this->options.connect_timeout);
    const auto [error] =
        co_await this->connection->socket.async_connect(address, kAwaitTuple);
    if (error) {
      this->result.outcome =
          this->Cancelled() ? CallOutcome::kCancelled : CallOutcome::kConnect;
      co_return false;
    }
    SetTcpTimeouts(this->connection->socket, this->options.tcp_user_timeout);
    co_return true;
  }

  /// Sends no part of the request of the call before the tunnel is open.
  asio::awaitable<bool> ConnectThroughPeer(
      const asio::any_io_executor& executor) {
    const auto& hop = *this->call.tunnel;
    const auto address = ParseSocketAddress(hop.address);
    const auto handshake = FormatTunnelRequest(
        TunnelRequest{this->call.tunnel_target, hop.token}, hop.address);
    auto tunnel_status = TunnelStatus::kPeerUnreachable;
    if (address.ok() && handshake.ok() && !this->Cancelled()) {
      const bool connected = co_await this->OpenSocket(executor, *address);
      if (connected) tunnel_status = co_await this->OpenTunnel(*handshake);
    }
    if (this->Cancelled()) {
      this->result.outcome = CallOutcome::kCancelled;
      co_return false;
    }
    this->result.tunnel_status = tunnel_status;
    if (tunnel_status == TunnelStatus::kOpen) co_return true;
    this->result.outcome = CallOutcome::kConnect;
    this->Close();
    co_return false;
  }

  /// Asks the peer for the tunnel. Precondition: connected to the peer.
  asio::awaitable<TunnelStatus> OpenTunnel(const std::string& handshake) {
    this->connection->peer = this->call.tunnel->peer;
    this->SetTimeout(this->options.tunnel_timeout);
    const auto [write_error, sent] = co_await asio::async_write(
        this->connection->socket, asio::buffer(handshake), kAwaitTuple);
    if (write_error) co_return TunnelStatus::kPeerUnreachable;
    http::response_parser<http::empty_body> reply;
    reply.header_limit(kMaxTunnelReplyBytes);
    const auto [read_error, received] = co_await http::async_read_header(
        this->connection->socket, this->connection->buffer, reply, kAwaitTuple);
    if (read_error) co_return TunnelStatus::kPeerUnreachable;
    co_return ParseTunnelReply(CopyHead(reply.get()));
  }

  void Close() {
    if (!this->connection) return;
    error_code ignored;
    auto& socket = this->connection->socket;
    if (!this->connection->peer.empty()) {
      // A close would reach the peer only after the unsent part of the request,
      // and the endpoint would go on meanwhile.
      ResetOnClose(socket);
    }
    socket.close(ignored);
  }

  void OnTimeout() {
    const auto now = this->clock.now();
    if (this->reading && this->MayReadArrivedInput(now)) return;
    const bool may_wait = this->exchange_started && this->call.may_abandon &&
                          now < this->call.deadline;
    if (!may_wait || this->call.may_abandon()) {
      this->Close();
      return;
    }
    this->next_stall_check_at = now + kAbandonCheckInterval;
    this->SetTimeout(kAbandonCheckInterval);
  }

  /// Number of bytes that the endpoint has sent and that aren't read yet.
  std::size_t CountUnreadInput() const {
    error_code error;
    const auto unread = this->connection->socket.available(error);
    return error ? 0 : unread;
  }

  /// Gives more time after a timeout to read what has arrived already. After a
  /// standstill of the process, the timer may fire before the socket is found
  /// to be readable. Input that goes on arriving gives no further time.
  bool MayReadArrivedInput(base::Instant now) {
    if (this->CountUnreadInput() == 0) return false;
    if (now >= this->call.deadline) {
      if (this->late_input) return false;
      this->BeginLateInput(now);
      this->watchdog->Set(this->late_input->read_until);
      return true;
    }
    if (this->stall_prolonged) return false;
    this->stall_prolonged = true;
    this->SetTimeout(kUnreadInputTimeout);
    return true;
  }

  void BeginLateInput(base::Instant now) {
    const auto bytes =
        this->connection->buffer.size() + this->CountUnreadInput();
    this->late_input = LateInput{bytes, now + kUnreadInputTimeout};
  }

  /// Whether to read on: until the deadline, and then what had arrived by then.
  bool MayReadOn() {
    const auto now = this->clock.now();
    if (now < this->call.deadline) return true;
    if (!this->late_input) this->BeginLateInput(now);
    return this->late_input->bytes_left > 0 &&
           now < this->late_input->read_until;
  }

  void OnBytesRead(std::size_t count) {
    if (!this->late_input) return;
    auto& left = this->late_input->bytes_left;
    left -= std::min(left, count);
  }

  /// Begins the time without progress anew.
  void OnProgress() {
    this->stalled_at = this->clock.now() + this->call.progress_timeout;
    this->stall_prolonged = false;
  }

  /// Limits the next read to the end of the time without progress and to the
  /// deadline of the call.
  void SetReadTimeout() {
    if (this->late_input) {
      this->watchdog->Set(this->late_input->read_until);
      return;
    }
    const auto stall_check_at =
        std::max(this->stalled_at, this->next_stall_check_at);
    this->watchdog->Set(std::min(this->call.deadline, stall_check_at));
  }

  bool Cancelled() const {
    return this->call.cancel && this->call.cancel->cancelled();
  }

  /// Limits the next operation to `timeout` and to the deadline of the call.
  void SetTimeout(base::Duration timeout) {
    this->watchdog->Set(
        std::min(this->call.deadline, this->clock.now() + timeout));
  }

  /// Returns the cause of a failed read or write.
  CallOutcome FailureOutcome() const {
    if (this->Cancelled()) return CallOutcome::kCancelled;
    if (!this->watchdog->expired()) return CallOutcome::kClosed;
    return this->clock.now() >= this->call.deadline ? CallOutcome::kDeadline
                                                    : CallOutcome::kStalled;
  }

  /// Whether the head of the request is valid. Beast throws for some that
  /// aren't, and others would be read as more headers or requests.
  bool IsSendableRequest() const {
    const auto& id_header = this->options.protocol.request_id_header;
    const auto& headers = this->call.headers;
    return IsSendableTarget(this->call.target) &&
           IsSendable({id_header, this->call.request_id}) &&
           std::all_of(headers.begin(), headers.end(), IsSendable);
  }

  asio::awaitable<bool> SendRequest() {
    if (!this->IsSendableRequest()) {
      this->result.outcome = CallOutcome::kInvalid;
      co_return false;
    }
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
    this->SetTimeout(this->call.progress_timeout);
    const auto [error, sent] = co_await http::async_write(
        this->connection->socket, request, kAwaitTuple);
    if (!error) co_return true;
    this->result.outcome = this->FailureOutcome();
    if (sent > 0) this->result.run = policy::RunState::kUnknown;
    co_return false;
  }

  /// Reads the head of the response. Discards late responses to earlier
  /// requests on this connection.
  asio::awaitable<bool> ReadHead() {
    for (int late_responses = 0; late_responses <= kMaxLateResponses;
         ++late_responses) {
      bool succeeded = co_await this->ReadOneHead();
      if (!succeeded) co_return false;
      const bool is_own = this->IsOwnResponse();
      this->RecordIdEcho();
      if (is_own) co_return this->CheckBodyFraming();
      this->result.outcome = CallOutcome::kMismatched;
      if (this->parser->need_eof()) co_return false;
      succeeded = co_await this->DiscardBody();
      if (!succeeded) co_return false;
    }
    co_return false;
  }

  /// Reads and discards the body. Returns false if the connection failed or the
  /// body is larger than one that would be accepted.
  asio::awaitable<bool> DiscardBody() {
    std::string part(kBodyPartBytes, '\0');
    std::uint64_t discarded = 0;
    while (!this->parser->is_done()) {
      const auto size_read = co_await this->ReadSome(part);
      if (!size_read) co_return false;
      this->OnProgress();
      discarded += *size_read;
      if (discarded > this->options.max_body_bytes) co_return false;
    }
    co_return true;
  }

  /// Reads the head of the next response, skipping those with a 1xx status.
  asio::awaitable<bool> ReadOneHead() {
    int interim_responses = -1;
    do {
      if (++interim_responses > kMaxInterimResponses) {
        this->result.outcome = CallOutcome::kInvalid;
        co_return false;
      }
      this->parser.emplace();
      this->parser->header_limit(kMaxHeaderBytes);
      this->parser->body_limit(boost::none);
      if (this->call.method == "HEAD") this->parser->skip(true);
      this->OnProgress();
      if (this->call.late_head_timeout && this->call.may_abandon) {
        this->stalled_at =
            std::min(this->stalled_at,
                     this->clock.now() + *this->call.late_head_timeout);
      }
      this->SetReadTimeout();
      this->reading = true;
      const auto [error, size] = co_await http::async_read_header(
          this->connection->socket, this->connection->buffer, *this->parser,
          kAwaitTuple);
      this->reading = false;
      if (error) {
        this->result.outcome = this->FailureOutcome();
        co_return false;
      }
      this->OnBytesRead(size);
      const auto& response = this->parser->get();
      const bool is_response = IsResponseStatus(response.result_int()) &&
                               !HasInnerStatusLine(response);
      if (!is_response) {
        this->result.outcome = CallOutcome::kInvalid;
        co_return false;
      }
    } while (this->parser->get().result_int() < 200);
    this->keep_alive = this->parser->keep_alive();
    this->result.head = CopyHead(this->parser->get());
    co_return true;
  }

  bool IsIdHeader(const Header& header) const {
    return boost::beast::iequals(header.name,
                                 this->options.protocol.request_id_header);
  }

  /// Whether the response echoes the id of a request, this one or another.
  bool HasId() const {
    const auto& headers = this->result.head.headers;
    return std::any_of(
        headers.begin(), headers.end(),
        [this](const Header& header) { return this->IsIdHeader(header); });
  }

  bool HasOtherId() const {
    const auto& headers = this->result.head.headers;
    return std::any_of(headers.begin(), headers.end(),
                       [this](const Header& header) {
                         return this->IsIdHeader(header) &&
                                header.value != this->call.request_id;
                       });
  }

  /// Whether the response answers this request. One without an id does only if
  /// no earlier request on the connection can have got it, or if the endpoint
  /// has echoed no id on the connection and the response isn't a refusal.
  bool IsOwnResponse() const {
    if (this->HasId()) return !this->HasOtherId();
    if (this->connection->calls == 1) return true;
    return !this->connection->echoes_ids && !this->IsRefusal();
  }

  /// Records on the connection that the endpoint echoes ids, if it did.
  void RecordIdEcho() {
    this->connection->echoes_ids =
        this->connection->echoes_ids || this->HasId();
  }

  /// Whether the response states that the endpoint didn't run the request.
  bool IsRefusal() const {
    const auto& head = this->result.head;
    const auto& reports_not_run = this->options.protocol.reports_not_run;
    return head.status >= 400 && reports_not_run && reports_not_run(head);
  }

  bool CheckBodyFraming() {
    this->close_delimited =
        !this->parser->is_done() && this->parser->need_eof();
    if (this->close_delimited &&
        !this->options.protocol.accepts_close_delimited_body) {
      // The end of such a body can't be distinguished from a lost connection.
      this->result.outcome = CallOutcome::kInvalid;
      return false;
    }
    return true;
  }

  asio::awaitable<bool> ReadBody() {
    std::string part(kBodyPartBytes, '\0');
    this->OnProgress();
    while (!this->parser->is_done()) {
      const auto size_read = co_await this->ReadSome(part);
      if (!size_read) co_return false;
      if (*size_read == 0) continue;
      const std::string_view bytes(part.data(), *size_read);
      const bool accepted = co_await this->ProcessPart(bytes);
      if (!accepted) co_return false;
    }
    if (!this->close_delimited || this->IsRequestDelivered()) co_return true;
    this->result.outcome = CallOutcome::kClosed;
    co_return false;
  }

  /// Whether the endpoint has received the whole request. If not, the end of
  /// its connection isn't the end of a body.
  bool IsRequestDelivered() const {
    const auto state = ReadTcpState(this->connection->socket);
    return !state.reset && state.unacknowledged_bytes == 0;
  }

  /// Reads body bytes into `part` and returns their number; none if the
  /// connection failed or the deadline has passed.
  asio::awaitable<std::optional<std::size_t>> ReadSome(std::string& part) {
    if (!this->MayReadOn()) {
      this->result.outcome = CallOutcome::kDeadline;
      co_return std::nullopt;
    }
    auto& body = this->parser->get().body();
    body.data = part.data();
    body.size = part.size();
    body.more = true;
    this->SetReadTimeout();
    this->reading = true;
    auto [error, size] = co_await http::async_read_some(
        this->connection->socket, this->connection->buffer, *this->parser,
        kAwaitTuple);
    this->reading = false;
    if (error == http::error::need_buffer) error = {};
    if (error) {
      this->result.outcome = this->FailureOutcome();
      co_return std::nullopt;
    }
    this->OnBytesRead(size);
    co_return part.size() - body.size;
  }

  /// Passes the part to `on_part` or appends it to the body of the result.
  asio::awaitable<bool> ProcessPart(std::string_view part) {
    const bool streamed =
        this->call.on_part && this->result.head.status / 100 == 2;
    if (streamed) {
      this->watchdog->Set(base::kNever);
      const auto status = co_await this->call.on_part(this->result.head, part);
      if (status.ok()) {
        if (!this->call.made_progress || this->call.made_progress())
          this->OnProgress();
        co_return true;
      }
      this->result.outcome = status.error().Is(base::Errc::kInvalid)
                                 ? CallOutcome::kMismatched
                                 : CallOutcome::kCancelled;
      co_return false;
    }
    this->result.body += part;
    this->OnProgress();
    if (this->MayHold(part.size())) co_return true;
    this->result.outcome = CallOutcome::kInvalid;
    co_return false;
  }

  /// Counts bytes that were added to the body of the result. Returns whether it
  /// may be held.
  bool MayHold(std::size_t added) {
    this->body_memory.Add(added);
    const auto bytes = this->body_memory.bytes();
    if (bytes > this->options.max_body_bytes) return false;
    return bytes <= this->options.small_body_bytes ||
           !this->body_memory.budget().is_exceeded();
  }

  /// Sets the outcome and run state after the whole response was read.
  void ProcessResponse() {
    const auto& head = this->result.head;
    const auto& protocol = this->options.protocol;
    this->result.draining =
        protocol.reports_draining && protocol.reports_draining(head);
    if (this->IsRefusal()) {
      this->result.outcome = CallOutcome::kRefused;
      this->result.run = policy::RunState::kNotRun;
      return;
    }
    const bool streamed = this->call.on_part && head.status / 100 == 2;
    if (streamed && this->call.is_complete && !this->call.is_complete(head)) {
      this->result.outcome = CallOutcome::kClosed;
      return;
    }
    this->result.outcome = CallOutcome::kComplete;
    // A proxy in front of the endpoint sends these without knowing whether the
    // request ran.
    const bool from_proxy = head.status == 502 || head.status == 504;
    if (!from_proxy) this->result.run = policy::RunState::kRan;
  }

  EndpointCall& call;
  const EndpointClientOptions& options;
  const base::Clock& clock;
  /// For the body of the result, which is moved away at the end.
  base::MemoryCharge body_memory;
  std::shared_ptr<Watchdog> watchdog;
  EndpointConnectionPtr connection;
  std::optional<Parser> parser;
  /// Whether a part of the request may have been sent.
  bool exchange_started = false;
  /// Whether a part of the response is awaited.
  bool reading = false;
  /// When the call has made no progress for its progress timeout.
  base::Instant stalled_at{};
  /// When to ask next whether to end the call, if it has made none by then.
  base::Instant next_stall_check_at{};
  /// Whether there was more time already, since the last progress, to read what
  /// had arrived.
  bool stall_prolonged = false;
  /// Set once the deadline has passed.
  std::optional<LateInput> late_input;
  bool keep_alive = false;
  /// Whether the body ends with the connection.
  bool close_delimited = false;
};

}  // namespace

EndpointProtocol DefaultProtocol() {
  EndpointProtocol protocol;
  protocol.reports_not_run = [](const ResponseHead& head) {
    return HasHeader(head, kEndpointRunStateHeader,
                     policy::kRunStateNames.Name(policy::RunState::kNotRun));
  };
  protocol.reports_draining = [](const ResponseHead& head) {
    return HasHeader(head, kEndpointDrainingHeader, "1");
  };
  return protocol;
}

bool IsCloseDelimited(const ResponseHead& head) {
  const bool has_framing = std::any_of(
      head.headers.begin(), head.headers.end(), [](const Header& header) {
        return boost::beast::iequals(header.name, "Content-Length") ||
               boost::beast::iequals(header.name, "Transfer-Encoding");
      });
  return !has_framing && head.status != status::kNoContent;
}

void CallCancellation::Cancel() {
  this->is_cancelled = true;
  if (this->handler) this->handler();
}

void CallCancellation::SetHandler(std::function<void()> new_handler) {
  this->handler = std::move(new_handler);
}

/// State shared by all calls of a client.
class EndpointClient::Pool {
 public:
  Pool(asio::any_io_executor executor, base::Clock clock,
       const EndpointClientOptions& options)
      : executor(std::move(executor)),
        clock(std::move(clock)),
        options(options),
        idle(options),
        body_memory(
            std::make_shared<base::MemoryBudget>(options.max_held_bytes)) {}

  /// Runs the call on a pooled or new connection.
  asio::awaitable<void> Run(ConnectionCall& connection_call,
                            const EndpointCall& call) {
    const auto max_idle = call.idempotent ? this->options.max_idle
                                          : this->options.liveness_window;
    const auto now = this->clock.now();
    const EndpointRoute route(call.address, call.tunnel);
    auto pooled = this->idle.Take(route, call.request_id, now - max_idle, now);
    bool connected = pooled != nullptr;
    if (connected) {
      connection_call.UseConnection(std::move(pooled));
    } else {
      connected = co_await connection_call.Connect(this->executor);
    }
    if (!connected) co_return;
    co_await connection_call.Exchange();
    this->ReturnToPool(connection_call, route);
  }

  const asio::any_io_executor executor;
  const base::Clock clock;
  const EndpointClientOptions options;
  ConnectionPool idle;
  /// Charged for the bodies that the calls in flight hold.
  const std::shared_ptr<base::MemoryBudget> body_memory;

 private:
  /// Returns the connection to the pool if another call may use it.
  void ReturnToPool(ConnectionCall& call, const EndpointRoute& route) {
    const auto outcome = call.result.outcome;
    // The cause may also affect the other connections of this route.
    if (outcome == CallOutcome::kStalled || outcome == CallOutcome::kClosed) {
      this->idle.Drop(route);
    }
    auto reusable = call.TakeReusable();
    if (reusable) this->idle.Put(route, std::move(reusable));
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
  const auto connection_call = std::make_unique<ConnectionCall>(
      call, this->pool->options, this->pool->clock, strand,
      this->pool->body_memory);
  co_await this->pool->Run(*connection_call, call);
  co_return std::move(connection_call->result);
}

void EndpointClient::DropIdle(const std::string& address) {
  this->pool->idle.DropEndpoint(address);
}

void EndpointClient::DropIdleTunnels(const std::string& peer) {
  this->pool->idle.DropPeer(peer);
}

void EndpointClient::CloseIdle() { this->pool->idle.DropAll(); }

std::uint64_t EndpointClient::held_bytes() const {
  return this->pool->body_memory->held_bytes();
}

std::size_t EndpointClient::idle_count(const std::string& address) const {
  return this->pool->idle.idle_count(EndpointRoute(address));
}

std::size_t EndpointClient::idle_count(const std::string& address,
                                       const TunnelHop& hop) const {
  return this->pool->idle.idle_count(EndpointRoute(address, hop));
}

}  // namespace gypsumtrack::gateway
