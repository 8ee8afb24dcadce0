#include "http_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <boost/url/pct_string_view.hpp>
#include <exception>
#include <tuple>
#include <utility>

#include "gypsumtrack/base/log.h"

namespace gypsumtrack::gateway::detail {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr base::Logger kLog{"http"};
constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kBodyPartBytes = std::size_t{16} * 1024;
/// Read ahead of a caller that sends more than one request.
constexpr std::size_t kPipelinedBytes = std::size_t{16} * 1024;
/// Memory of a field of a head beside its bytes, in the parser and in
/// RequestHead.
constexpr std::uint64_t kFieldOverheadBytes = 224;
/// Capacity of an empty read buffer that isn't given back.
constexpr std::size_t kKeptBufferBytes = 2048;
/// Maximum time that a body waits for room, and the interval of looking for it.
constexpr base::Duration kRoomWait = std::chrono::milliseconds(500);
constexpr base::Duration kRoomPollInterval = std::chrono::milliseconds(10);
/// Retry delay in seconds for callers whose request finds no room.
constexpr std::uint32_t kNoRoomRetrySeconds = 1;
constexpr std::size_t kReadAheadBytes = std::size_t{64} * 1024;
/// The connection is closed if more of the request body than this is unread
/// after the response.
constexpr std::uint64_t kMaxDiscardBytes = std::uint64_t{256} * 1024;
/// Time for a caller to read the response before the connection is closed.
constexpr base::Duration kLingerTimeout = std::chrono::seconds(2);
/// Time to read input that has arrived by the time at which a timeout expires.
constexpr base::Duration kUnreadInputTimeout = std::chrono::seconds(1);
constexpr unsigned kHttp11 = 11;
constexpr const char* kSlowBodyMessage = "The body came too slowly.";

/// Whether a segment of the path is `.` or `..`.
bool HasDotSegment(std::string_view path) {
  std::size_t begin = 0;
  while (begin <= path.size()) {
    const auto end = std::min(path.find('/', begin), path.size());
    const auto segment = path.substr(begin, end - begin);
    if (segment == "." || segment == "..") return true;
    begin = end + 1;
  }
  return false;
}

/// Percent-decodes an absolute path. Returns an empty path if it is malformed
/// or contains NUL or a `.` or `..` segment.
std::string DecodePath(std::string_view encoded_path) {
  const auto encoded = boost::urls::make_pct_string_view(encoded_path);
  if (!encoded || encoded_path.empty() || encoded_path.front() != '/')
    return {};
  auto path = encoded->decode();
  if (path.find('\0') != std::string::npos || HasDotSegment(path)) return {};
  return path;
}

/// Returns the response to a request whose header can't be read.
ErrorReply HeadError(error_code error, bool expired) {
  if (expired) return {408, "request_timeout", "The request came too slowly."};
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return {431, "header_too_large", "The request header is too large."};
  }
  return {400, "malformed_request", "The request is not valid HTTP/1.1."};
}

void AddHeaders(const ResponseHead& source, http::fields& fields) {
  for (const auto& header : source.headers)
    fields.insert(header.name, header.value);
}

}  // namespace

Connection::Connection(asio::ip::tcp::socket accepted,
                       std::shared_ptr<ServerContext> shared)
    : socket(std::move(accepted)),
      context(std::move(shared)),
      buffer(this->context->options.max_header_bytes + kReadAheadBytes) {
  this->watchdog = std::make_shared<Watchdog>(this->socket.get_executor(),
                                              this->context->clock,
                                              [this] { this->OnTimeout(); });
}

std::shared_ptr<Connection> Connection::Make(
    asio::ip::tcp::socket accepted, std::shared_ptr<ServerContext> shared) {
  auto connection =
      std::make_shared<Connection>(std::move(accepted), std::move(shared));
  const std::weak_ptr<Connection> weak = connection;
  connection->held.emplace(connection->context->options.client_account,
                           [weak, executor = connection->strand()] {
                             asio::post(executor, [weak] {
                               if (const auto self = weak.lock()) self->Close();
                             });
                           });
  return connection;
}

Connection::~Connection() { this->watchdog->Stop(); }

asio::any_io_executor Connection::strand() {
  return this->socket.get_executor();
}

void Connection::Close() {
  error_code ignored;
  this->socket.close(ignored);
}

void Connection::CloseIfIdle() {
  const bool is_idle = this->awaited == Awaited::kRequest;
  if (is_idle && !this->HasUnreadInput()) this->Close();
}

void Connection::CloseIfAwaitsHead() {
  const bool reads_head = this->awaited == Awaited::kInput && !this->has_head;
  if (this->awaited == Awaited::kRequest || reads_head) this->Close();
}

void Connection::OnTimeout() {
  const auto now = this->context->clock.now();
  // After a standstill of the process, the timer may fire before the socket is
  // found to be readable.
  const bool awaits_input = this->awaited != Awaited::kOther;
  if (awaits_input && !this->late_input_until && this->HasUnreadInput()) {
    this->late_input_until = now + kUnreadInputTimeout;
    this->watchdog->Set(*this->late_input_until);
    return;
  }
  if (this->awaited == Awaited::kRequest && now < this->IdleDeadline()) {
    this->watchdog->Set(this->IdleDeadline());
    return;
  }
  if (this->awaited == Awaited::kInput && !this->input_timed_out) {
    // The connection stays open for the refusal.
    this->input_timed_out = true;
    error_code ignored;
    this->socket.cancel(ignored);
    this->watchdog->Set(now + kLingerTimeout);
    return;
  }
  this->Close();
}

void Connection::SetInputDeadline(base::Instant deadline) {
  if (deadline > this->context->clock.now()) this->late_input_until.reset();
  this->watchdog->Set(this->late_input_until.value_or(deadline));
}

bool Connection::MayReadBody() {
  const auto now = this->context->clock.now();
  if (now < this->BodyDeadline()) return true;
  const bool has_input = this->buffer.size() > 0 || this->HasUnreadInput();
  if (has_input && !this->late_input_until)
    this->late_input_until = now + kUnreadInputTimeout;
  return !this->late_input_until || now < *this->late_input_until;
}

base::Instant Connection::IdleDeadline() const {
  return this->idle_since + this->context->Limits().idle_timeout;
}

bool Connection::HasUnreadInput() const {
  error_code error;
  return this->socket.available(error) > 0 && !error;
}

asio::awaitable<void> Connection::Run() {
  error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  bool open = true;
  while (open) open = co_await this->ServeOne();
  this->watchdog->Stop();
  this->Close();
}

asio::awaitable<void> Connection::Refuse() {
  this->watchdog->Set(this->context->clock.now() + kLingerTimeout);
  auto reply = RenderError({503, "too_many_connections",
                            "This VM has no room for another connection.",
                            policy::RunState::kNotRun, 1});
  this->must_close = true;
  std::ignore =
      co_await this->Send(std::move(reply.head), std::move(reply.body));
  co_await this->LingeringClose();
}

asio::awaitable<bool> Connection::ServeOne() {
  bool open = co_await this->WaitForRequest();
  if (open) open = co_await this->ReadHead();
  if (!open) co_return false;
  co_await this->RunHandler();
  open = co_await this->FinishExchange();
  co_return open;
}

asio::awaitable<bool> Connection::WaitForRequest() {
  this->ReleaseRequest();
  this->SetAwaitsHead(this->context->clock.now());
  if (this->buffer.size() > 0) co_return true;
  if (this->buffer.capacity() > kKeptBufferBytes) this->buffer.shrink_to_fit();
  const bool takes_no_more = this->context->drain_grace_over.load();
  if (takes_no_more && !this->HasUnreadInput()) co_return false;
  this->idle_since = this->context->clock.now();
  this->SetInputDeadline(this->IdleDeadline());
  this->awaited = Awaited::kRequest;
  const auto [error] = co_await this->socket.async_wait(
      asio::socket_base::wait_read, kAwaitTuple);
  this->awaited = Awaited::kOther;
  co_return !error;
}

asio::awaitable<bool> Connection::ReadHead() {
  const auto now = this->context->clock.now();
  const auto limits = this->context->Limits();
  this->SetInputDeadline(now + limits.header_timeout);
  this->exchange_deadline = now + this->context->options.request_timeout;
  this->started = this->streaming = this->ended = false;
  this->keeps_alive = false;
  this->body_bytes = 0;
  this->exchange_number++;
  this->head = {};
  this->has_head = false;
  this->id = this->context->id_prefix +
             std::to_string(this->context->next_id.fetch_add(1));
  this->parser.emplace();
  this->parser->header_limit(
      static_cast<std::uint32_t>(limits.max_header_bytes));
  this->parser->body_limit(boost::none);
  this->BeginRead();
  const auto [error, size] = co_await http::async_read_header(
      this->socket, this->buffer, *this->parser, kAwaitTuple);
  this->awaited = Awaited::kOther;
  this->has_head = true;
  this->SetAwaitsHead(base::kNever);
  if (error == http::error::end_of_stream) co_return false;
  if (error) {
    co_await this->RefuseHead(error);
    co_return false;
  }
  this->body_started_at = this->context->clock.now();
  if (!this->ParseHead()) {
    co_await this->RefuseHead(http::error::bad_target);
    co_return false;
  }
  if (this->HoldHead()) co_return true;
  co_await this->RefuseForMemory();
  co_return false;
}

void Connection::ReleaseRequest() {
  this->parser.reset();
  this->head = {};
  if (!this->held) return;
  this->held->OnClientDone();
  this->held->Release();
}

bool Connection::HoldHead() {
  std::uint64_t bytes = 0;
  for (const auto& field : this->head.headers) {
    bytes += 2 * (field.name.size() + field.value.size()) + kFieldOverheadBytes;
  }
  return this->TryHold(bytes);
}

bool Connection::TryHold(std::uint64_t bytes) {
  return !this->held || this->held->TryGrow(bytes, this->context->clock.now());
}

asio::awaitable<bool> Connection::HoldBody(std::uint64_t bytes) {
  const auto wait_until = this->context->clock.now() + kRoomWait;
  bool has_room = this->TryHold(bytes);
  while (!has_room && this->context->clock.now() < wait_until) {
    asio::steady_timer timer(this->strand(), kRoomPollInterval);
    co_await timer.async_wait(kAwaitTuple);
    has_room = this->TryHold(bytes);
  }
  co_return has_room;
}

std::optional<std::uint64_t> Connection::DeclaredBodyBytes() const {
  const auto length = this->parser->content_length();
  if (!length) return std::nullopt;
  return *length;
}

void Connection::BeginRead() {
  this->awaited = Awaited::kInput;
  this->input_timed_out = false;
}

bool Connection::ParseHead() {
  const auto& message = this->parser->get();
  this->head.method = std::string(message.method_string());
  const auto target = message.target();
  const auto query_mark = std::min(target.find('?'), target.size());
  this->head.target = std::string(target);
  this->head.path = DecodePath(target.substr(0, query_mark));
  if (query_mark < target.size()) {
    this->head.query = std::string(target.substr(query_mark + 1));
  }
  for (const auto& field : message) {
    this->head.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  const auto* expect = this->head.Find("Expect");
  this->continue_pending = expect != nullptr &&
                           boost::beast::iequals(*expect, "100-continue") &&
                           !this->parser->is_done();
  return !this->head.path.empty();
}

asio::awaitable<void> Connection::RefuseHead(error_code error) {
  co_await this->RefuseAndClose(HeadError(error, this->input_timed_out));
}

asio::awaitable<void> Connection::RefuseForMemory() {
  this->ReleaseRequest();
  co_await this->RefuseAndClose(
      {503, "no_memory", "This VM has no room for the request.",
       policy::RunState::kNotRun, kNoRoomRetrySeconds});
}

asio::awaitable<void> Connection::RefuseAndClose(ErrorReply error) {
  if (!this->socket.is_open()) co_return;
  const auto now = this->context->clock.now();
  this->watchdog->Set(now + kLingerTimeout);
  auto reply = RenderError(error);
  this->must_close = true;
  std::ignore =
      co_await this->Send(std::move(reply.head), std::move(reply.body));
  co_await this->LingeringClose();
}

asio::awaitable<void> Connection::RunHandler() {
  this->watchdog->Set(base::kNever);
  Exchange exchange(*this);
  const auto* handler = this->context->router.Find(this->head);
  if (handler == nullptr) {
    ErrorReply reply{404, "no_such_route", "No such route."};
    co_await SendError(exchange, std::move(reply));
    co_return;
  }
  try {
    co_await (*handler)(exchange);
  } catch (const std::exception& error) {
    kLog.Error("Handler of request {} failed: {}.", this->id, error.what());
  }
  this->on_caller_disconnect = nullptr;
  if (!this->started) {
    ErrorReply reply{500, "internal", "The request failed.",
                     policy::RunState::kUnknown};
    co_await SendError(exchange, std::move(reply));
  } else if (this->streaming && !this->ended) {
    this->Abort();
  }
}

asio::awaitable<bool> Connection::FinishExchange() {
  this->exchange_number++;
  error_code ignored;
  this->socket.cancel(ignored);
  if (!this->socket.is_open()) co_return false;
  std::uint64_t discarded = 0;
  const bool may_read = !this->must_close && !this->continue_pending;
  while (may_read && !this->parser->is_done()) {
    const auto part = co_await this->ReadPart();
    if (!part.ok() || part->empty()) break;
    discarded += part->size();
    if (discarded > kMaxDiscardBytes) break;
  }
  const bool may_keep = this->keeps_alive && !this->must_close;
  if (may_keep && this->parser->is_done()) co_return true;
  co_await this->LingeringClose();
  co_return false;
}

/// Closes the connection after the caller had time to read the response.
/// Closing at once with unread input would reset the connection and lose the
/// response.
asio::awaitable<void> Connection::LingeringClose() {
  error_code error;
  this->socket.shutdown(asio::socket_base::shutdown_send, error);
  this->watchdog->Set(this->context->clock.now() + kLingerTimeout);
  std::array<char, 4096> discarded{};
  while (!error) {
    std::size_t size = 0;
    std::tie(error, size) = co_await this->socket.async_read_some(
        asio::buffer(discarded), kAwaitTuple);
  }
  this->Close();
}

bool Connection::MayKeepAlive() const {
  if (!this->parser || !this->parser->is_header_done()) return false;
  // Unknown for a body in chunks, which is discarded as far as it may be.
  const auto unread_bytes = this->parser->content_length_remaining();
  return this->parser->get().keep_alive() &&
         unread_bytes.value_or(0) <= kMaxDiscardBytes && !this->must_close &&
         !this->context->draining.load();
}

asio::awaitable<error_code> Connection::WriteContinue() {
  this->continue_pending = false;
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  const auto [error, size] = co_await asio::async_write(
      this->socket, asio::buffer(kContinue), kAwaitTuple);
  co_return error;
}

base::Instant Connection::BodyDeadline() const {
  const auto& options = this->context->options;
  const auto idle_deadline = this->context->clock.now() + options.idle_timeout;
  if (options.min_body_bytes_per_second == 0) return idle_deadline;
  const auto expected_duration = std::chrono::seconds(
      this->body_bytes / options.min_body_bytes_per_second);
  const auto slow_deadline =
      this->body_started_at + options.slow_body_grace + expected_duration;
  return std::min(idle_deadline, slow_deadline);
}

asio::awaitable<error_code> Connection::WaitForInput() {
  this->BeginRead();
  if (this->held) this->held->OnClientAwaited(this->context->clock.now());
  const auto [error] = co_await this->socket.async_wait(
      asio::socket_base::wait_read, kAwaitTuple);
  if (this->held) this->held->OnClientDone();
  this->awaited = Awaited::kOther;
  co_return error;
}

asio::awaitable<base::Outcome<std::string>> Connection::ReadPart() {
  if (this->continue_pending) co_await this->WriteContinue();
  std::string part;
  while (!this->parser->is_done()) {
    if (!this->MayReadBody()) {
      this->watchdog->Set(base::kNever);
      this->must_close = true;
      co_return base::Error(base::Errc::kTimeout, kSlowBodyMessage);
    }
    this->SetInputDeadline(this->BodyDeadline());
    error_code error;
    // No space is held for a caller that sends nothing.
    if (this->buffer.size() == 0) error = co_await this->WaitForInput();
    if (!error) {
      part.resize(kBodyPartBytes);
      auto& body = this->parser->get().body();
      body.data = part.data();
      body.size = part.size();
      body.more = true;
      this->BeginRead();
      std::tie(error, std::ignore) = co_await http::async_read_some(
          this->socket, this->buffer, *this->parser, kAwaitTuple);
      this->awaited = Awaited::kOther;
    }
    const auto unfilled = this->parser->get().body().size;
    if (error == http::error::need_buffer) error = {};
    if (error) {
      this->watchdog->Set(base::kNever);
      this->must_close = true;
      if (this->input_timed_out) {
        co_return base::Error(base::Errc::kTimeout, kSlowBodyMessage);
      }
      const bool malformed =
          error.category() ==
              http::make_error_code(http::error::bad_chunk).category() &&
          error != http::error::partial_message;
      co_return malformed
          ? base::Error(base::Errc::kInvalid, "The body is malformed.")
          : base::Error(base::Errc::kCancelled, "The caller disconnected.");
    }
    const auto size_read = part.size() - unfilled;
    if (size_read == 0) {
      part = {};
      continue;
    }
    this->body_bytes += size_read;
    this->watchdog->Set(base::kNever);
    part.resize(size_read);
    co_return part;
  }
  this->watchdog->Set(base::kNever);
  co_return std::string();
}

void Connection::AddRequestId(http::fields& fields) const {
  const auto& name = this->context->options.request_id_header;
  if (!name.empty() && !this->id.empty()) fields.set(name, this->id);
}

void Connection::BeginWrite(std::uint64_t bytes) {
  const auto now = this->context->clock.now();
  this->watchdog->Set(now + this->context->options.idle_timeout);
  if (!this->held) return;
  this->held->Grow(bytes, now);
  this->held->OnClientAwaited(now);
}

base::Status Connection::HandleWriteResult(error_code error) {
  this->watchdog->Set(base::kNever);
  if (this->held) this->held->OnClientDone();
  if (!error) return base::Done{};
  this->must_close = true;
  this->HandleCallerDisconnect();
  return base::Error(base::Errc::kCancelled, "The caller disconnected.");
}

asio::awaitable<base::Status> Connection::Send(ResponseHead response_head,
                                               std::string body) {
  this->started = true;
  this->ended = true;
  const unsigned version =
      this->parser ? this->parser->get().version() : kHttp11;
  const bool headers_only = this->head.method == "HEAD";
  http::response<http::string_body> message;
  message.result(response_head.status);
  message.version(version);
  AddHeaders(response_head, message);
  this->AddRequestId(message);
  message.content_length(body.size());
  if (!headers_only) message.body() = std::move(body);
  const bool body_not_requested =
      this->parser && !this->parser->is_done() && this->continue_pending;
  this->keeps_alive = this->MayKeepAlive() && !body_not_requested;
  message.keep_alive(this->keeps_alive);
  http::response_serializer<http::string_body> serializer(message);
  this->BeginWrite(message.body().size());
  error_code error;
  std::size_t size = 0;
  if (headers_only) {
    std::tie(error, size) = co_await http::async_write_header(
        this->socket, serializer, kAwaitTuple);
  } else {
    std::tie(error, size) =
        co_await http::async_write(this->socket, serializer, kAwaitTuple);
  }
  co_return this->HandleWriteResult(error);
}

asio::awaitable<base::Status> Connection::BeginStream(
    ResponseHead response_head) {
  this->started = true;
  this->streaming = true;
  const unsigned version = this->parser->get().version();
  http::response<http::empty_body> message;
  message.result(response_head.status);
  message.version(version);
  AddHeaders(response_head, message);
  this->AddRequestId(message);
  this->keeps_alive = this->MayKeepAlive() && version >= kHttp11;
  message.keep_alive(this->keeps_alive);
  if (version >= kHttp11) {
    message.chunked(true);
  } else {
    this->must_close = true;
  }
  http::response_serializer<http::empty_body> serializer(message);
  this->watchdog->Set(this->context->clock.now() +
                      this->context->options.idle_timeout);
  const auto [error, size] =
      co_await http::async_write_header(this->socket, serializer, kAwaitTuple);
  co_return this->HandleWriteResult(error);
}

asio::awaitable<base::Status> Connection::WritePart(std::string bytes) {
  if (bytes.empty()) co_return base::Done{};
  this->BeginWrite(0);
  const auto payload = asio::buffer(std::as_const(bytes));
  error_code error;
  std::size_t size = 0;
  if (this->parser->get().version() >= kHttp11) {
    std::tie(error, size) = co_await asio::async_write(
        this->socket, http::make_chunk(payload), kAwaitTuple);
  } else {
    std::tie(error, size) =
        co_await asio::async_write(this->socket, payload, kAwaitTuple);
  }
  co_return this->HandleWriteResult(error);
}

asio::awaitable<base::Status> Connection::EndStream() {
  this->ended = true;
  if (this->parser->get().version() < kHttp11) co_return base::Done{};
  this->watchdog->Set(this->context->clock.now() +
                      this->context->options.idle_timeout);
  const auto [error, size] = co_await asio::async_write(
      this->socket, http::make_chunk_last(), kAwaitTuple);
  co_return this->HandleWriteResult(error);
}

void Connection::Abort() {
  this->must_close = true;
  this->ended = true;
  if (this->parser && this->parser->get().version() < kHttp11) {
    // HTTP/1.0 has no chunks: only a reset shows that the response is
    // incomplete.
    error_code ignored;
    this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  this->Close();
}

void Connection::OnCallerDisconnect(std::function<void()> handler) {
  const bool already_watching = this->on_caller_disconnect != nullptr;
  this->on_caller_disconnect = std::move(handler);
  if (this->on_caller_disconnect == nullptr || already_watching) return;
  this->WatchForDisconnect();
}

void Connection::WatchForDisconnect() {
  this->socket.async_wait(asio::socket_base::wait_read,
                          [weak = this->weak_from_this(),
                           exchange = this->exchange_number](error_code error) {
                            const auto self = weak.lock();
                            if (self && !error) self->OnReadable(exchange);
                          });
}

void Connection::OnReadable(std::uint64_t exchange) {
  if (exchange != this->exchange_number ||
      this->on_caller_disconnect == nullptr)
    return;
  // Input is a pipelined request, which is buffered, or the end of the stream,
  // which means that the caller disconnected.
  if (this->buffer.size() + kPipelinedBytes > this->buffer.max_size()) return;
  error_code error;
  this->socket.non_blocking(true, error);
  const auto space = this->buffer.prepare(kPipelinedBytes);
  const auto size = this->socket.read_some(space, error);
  if (error == asio::error::would_block) error = {};
  if (error) {
    this->HandleCallerDisconnect();
    return;
  }
  this->buffer.commit(size);
  this->WatchForDisconnect();
}

void Connection::HandleCallerDisconnect() {
  this->must_close = true;
  const auto handler = std::exchange(this->on_caller_disconnect, nullptr);
  if (handler) handler();
}

}  // namespace gypsumtrack::gateway::detail
