#include "caller_connection.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::peer {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kAwaitResult = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kNonceBytes = 16;
/// Timeout checks between a ping and the replacement of the connection.
constexpr int kTimeoutChecksPerPing = 4;
/// A write collects queued frames until it holds at least this much.
constexpr std::size_t kWriteBatchBytes = std::size_t{64} * 1024;
constexpr std::uint32_t kMaxBackoffDoublings = 10;
/// The backoff is shortened by a jitter of up to a half, derived from the VM
/// and the peer address so that VMs don't reconnect in step.
constexpr std::uint64_t kJitterSteps = 1000;

base::Error NotSentError(const char* reason) {
  return {base::Errc::kUnavailable, std::string("peer: ") + reason};
}

base::Error ReplyError(const RpcReply& reply) {
  const bool is_peer_code =
      reply.code >= static_cast<int>(base::Errc::kInvalid) &&
      reply.code <= static_cast<int>(base::Errc::kFenced);
  const auto code =
      is_peer_code ? static_cast<base::Errc>(reply.code) : base::Errc::kInvalid;
  return {code, reply.message};
}

}  // namespace

CallerConnection::CallerConnection(std::shared_ptr<TransportContext> shared,
                                   std::string peer_address)
    : context(std::move(shared)),
      address(std::move(peer_address)),
      strand(asio::make_strand(this->context->options.executor)),
      expires_at(0),
      batch_timer(this->strand),
      backoff_timer(this->strand),
      timeout_check_timer(this->strand) {
  this->ExtendExpiry();
}

void CallerConnection::ExtendExpiry() {
  const auto& options = this->context->options;
  const auto expiry = options.clock.now() + options.idle_timeout;
  this->expires_at.store(expiry.time_since_epoch().count());
}

bool CallerConnection::Expired() const {
  const auto now = this->context->options.clock.now();
  return now.time_since_epoch().count() >= this->expires_at.load();
}

void CallerConnection::Call(const std::string& method,
                            const Json::Value& params, base::Instant deadline,
                            ReplyHandler handler) {
  this->ExtendExpiry();
  asio::post(this->strand, [self = this->shared_from_this(),
                            text = EncodeCall(method, params), deadline,
                            handler = std::move(handler)]() mutable {
    self->StartCall(std::move(text), deadline, std::move(handler));
  });
}

void CallerConnection::Notify(const std::string& method, Json::Value params) {
  this->ExtendExpiry();
  asio::post(this->strand, [self = this->shared_from_this(),
                            notice = RpcNotice{method, std::move(params)}] {
    self->QueueNotice(notice);
  });
}

void CallerConnection::Close() {
  asio::post(this->strand, [self = this->shared_from_this()] {
    self->Disconnect(Phase::kClosed);
    self->backoff_timer.cancel();
    self->batch_timer.cancel();
  });
}

bool CallerConnection::PrepareToQueue() {
  if (this->phase == Phase::kBackoff) return false;
  if (this->phase == Phase::kClosed) return false;
  if (this->phase == Phase::kIdle) {
    this->phase = Phase::kConnecting;
    asio::co_spawn(
        this->strand,
        [self = this->shared_from_this()] { return self->Connect(); },
        asio::detached);
  }
  return this->queued_bytes < this->context->options.max_queued_bytes;
}

void CallerConnection::StartCall(std::string text, base::Instant deadline,
                                 ReplyHandler handler) {
  if (text.size() > this->context->options.max_frame_bytes) {
    ++this->context->counts.oversized;
    handler(base::Error(base::Errc::kInvalid, "peer: call too large"));
    return;
  }
  if (!this->PrepareToQueue()) {
    if (this->phase == Phase::kConnected) ++this->context->counts.overflowed;
    handler(NotSentError("not connected"));
    return;
  }
  this->FlushNotices();
  const auto call_id = this->next_call_id++;
  this->pending_calls[call_id].handler = std::move(handler);
  this->StartDeadlineTimer(call_id, deadline);
  this->Enqueue({FrameType::kCall, call_id, std::move(text)});
}

void CallerConnection::StartDeadlineTimer(std::uint32_t call_id,
                                          base::Instant deadline) {
  auto timer = std::make_shared<asio::steady_timer>(this->strand);
  timer->expires_after(deadline - this->context->options.clock.now());
  timer->async_wait([weak = this->weak_from_this(), call_id](auto error) {
    const auto self = weak.lock();
    if (error || !self) return;
    const auto call = self->pending_calls.find(call_id);
    if (call == self->pending_calls.end()) return;
    const auto code =
        call->second.sent ? base::Errc::kUnknown : base::Errc::kUnavailable;
    self->FinishCall(call_id,
                     base::Error(code, "peer: no reply before the deadline"));
  });
  this->pending_calls[call_id].timer = std::move(timer);
}

void CallerConnection::FinishCall(std::uint32_t call_id,
                                  base::Outcome<Json::Value> outcome) {
  auto node = this->pending_calls.extract(call_id);
  if (node.empty()) return;
  node.mapped().timer->cancel();
  node.mapped().handler(std::move(outcome));
}

void CallerConnection::QueueNotice(RpcNotice notice) {
  if (!this->PrepareToQueue()) {
    ++this->context->counts.overflowed;
    return;
  }
  this->notices.push_back(std::move(notice));
  if (this->notices.size() > 1) return;
  this->batch_timer.expires_after(this->context->options.batch_window);
  this->batch_timer.async_wait([weak = this->weak_from_this()](auto error) {
    const auto self = weak.lock();
    if (!error && self) self->FlushNotices();
  });
}

void CallerConnection::FlushNotices() {
  if (this->notices.empty()) return;
  auto text = EncodeNotices(this->notices);
  this->notices.clear();
  if (text.size() > this->context->options.max_frame_bytes) {
    ++this->context->counts.oversized;
    return;
  }
  this->Enqueue({FrameType::kNotices, 0, std::move(text)});
}

void CallerConnection::Enqueue(Frame frame) {
  this->queued_bytes += frame.body.size();
  this->queue.push_back(std::move(frame));
  this->WriteQueuedFrames();
}

void CallerConnection::WriteQueuedFrames() {
  if (this->phase != Phase::kConnected || this->session->writing) return;
  auto bytes = std::make_shared<std::string>();
  while (!this->queue.empty() && bytes->size() < kWriteBatchBytes) {
    const auto& frame = this->queue.front();
    const auto call = this->pending_calls.find(frame.call_id);
    const bool is_call = frame.type == FrameType::kCall;
    if (is_call && call != this->pending_calls.end()) call->second.sent = true;
    // A call whose deadline passed while it was queued isn't sent.
    if (!is_call || call != this->pending_calls.end()) {
      *bytes += this->session->signer.Sign(frame);
      ++this->context->counts.frames_sent;
    }
    this->queued_bytes -= frame.body.size();
    this->queue.pop_front();
  }
  if (bytes->empty()) return;
  this->SchedulePing();
  this->context->counts.bytes_sent += bytes->size();
  this->session->writing = true;
  asio::async_write(this->session->socket, asio::buffer(*bytes),
                    [self = this->shared_from_this(), written = this->session,
                     bytes](auto error, std::size_t) {
                      written->writing = false;
                      if (self->session != written) return;
                      if (error) return self->Disconnect(Phase::kIdle);
                      self->WriteQueuedFrames();
                    });
}

void CallerConnection::SchedulePing() {
  const bool already_scheduled = this->session->ping_at != base::kNever ||
                                 this->session->replace_at != base::kNever;
  if (already_scheduled) return;
  const auto now = this->context->options.clock.now();
  this->session->ping_at = now + this->context->options.ping_after;
}

asio::awaitable<void> CallerConnection::Connect() {
  const auto self = this->shared_from_this();
  auto connected = co_await this->Handshake();
  if (this->phase == Phase::kClosed) co_return;
  if (!connected) {
    ++this->context->counts.connect_failures;
    this->Disconnect(Phase::kBackoff);
    co_return;
  }
  ++this->context->counts.connects;
  this->failures = 0;
  this->session = connected;
  this->phase = Phase::kConnected;
  this->WriteQueuedFrames();
  this->ScheduleTimeoutCheck();
  co_await this->ReadFrames(std::move(connected));
}

asio::awaitable<CallerConnection::SessionPtr> CallerConnection::Handshake() {
  const auto& options = this->context->options;
  const auto endpoint = ParseAddress(this->address);
  if (!endpoint) co_return nullptr;
  auto socket = std::make_shared<tcp::socket>(this->strand);
  asio::steady_timer timeout(this->strand);
  timeout.expires_after(options.connect_timeout);
  timeout.async_wait([socket](auto error) {
    boost::system::error_code ignored;
    if (!error) socket->close(ignored);
  });
  auto [connect_error] =
      co_await socket->async_connect(*endpoint, kAwaitResult);
  if (connect_error) co_return nullptr;
  boost::system::error_code ignored;
  socket->set_option(tcp::no_delay(true), ignored);
  const Hello caller{kProtocolVersion, options.self,
                     base::RandomHex(kNonceBytes), ""};
  const auto text = EncodeHello(caller);
  const auto hello = EncodeLength(text.size()) + text;
  auto [write_error, written] =
      co_await asio::async_write(*socket, asio::buffer(hello), kAwaitResult);
  if (write_error) co_return nullptr;
  std::string length(kLengthBytes, '\0');
  auto [length_error, length_read] =
      co_await asio::async_read(*socket, asio::buffer(length), kAwaitResult);
  if (length_error || DecodeLength(length) > kMaxHelloBytes) co_return nullptr;
  std::string response(DecodeLength(length), '\0');
  auto [read_error, read] =
      co_await asio::async_read(*socket, asio::buffer(response), kAwaitResult);
  timeout.cancel();
  const auto callee = DecodeHello(response);
  if (read_error || !callee) co_return nullptr;
  if (callee->version != kProtocolVersion) {
    ++this->context->counts.wrong_version;
    co_return nullptr;
  }
  const auto proof = HelloProof(options.fleet_secret, caller, *callee);
  if (!base::ConstantTimeEqual(proof, callee->proof)) {
    ++this->context->counts.unauthenticated;
    co_return nullptr;
  }
  co_return std::make_shared<Session>(
      std::move(*socket),
      DirectionKey(options.fleet_secret, Direction::kToCallee, caller, *callee),
      DirectionKey(options.fleet_secret, Direction::kToCaller, caller,
                   *callee));
}

asio::awaitable<void> CallerConnection::ReadFrames(SessionPtr connected) {
  const auto self = this->shared_from_this();
  for (;;) {
    auto frame = co_await this->ReadFrame(connected);
    if (this->session != connected) co_return;
    if (!frame) {
      this->Disconnect(Phase::kIdle);
      co_return;
    }
    this->HandleFrame(*frame);
  }
}

asio::awaitable<std::optional<Frame>> CallerConnection::ReadFrame(
    SessionPtr connected) {
  auto& counts = this->context->counts;
  std::string length(kLengthBytes, '\0');
  auto [length_error, length_read] = co_await asio::async_read(
      connected->socket, asio::buffer(length), kAwaitResult);
  if (length_error) co_return std::nullopt;
  const auto size = DecodeLength(length);
  if (size > this->context->options.max_frame_bytes) {
    ++counts.oversized;
    co_return std::nullopt;
  }
  std::string bytes(size, '\0');
  auto [read_error, read] = co_await asio::async_read(
      connected->socket, asio::buffer(bytes), kAwaitResult);
  if (read_error) co_return std::nullopt;
  auto frame = connected->verifier.Verify(bytes);
  if (!frame) {
    ++counts.unauthenticated;
    co_return std::nullopt;
  }
  ++counts.frames_received;
  counts.bytes_received += kLengthBytes + size;
  co_return frame;
}

void CallerConnection::HandleFrame(const Frame& frame) {
  if (frame.type == FrameType::kReply) this->HandleReply(frame);
  // The reply handler may have closed the connection.
  if (!this->session) return;
  this->session->ping_at = base::kNever;
  this->session->replace_at = base::kNever;
  if (!this->pending_calls.empty()) this->SchedulePing();
}

void CallerConnection::HandleReply(const Frame& frame) {
  auto reply = DecodeReply(frame.body);
  if (reply.ok) return this->FinishCall(frame.call_id, std::move(reply.result));
  if (reply.code == kRpcMalformed) ++this->context->counts.malformed;
  this->FinishCall(frame.call_id, ReplyError(reply));
}

void CallerConnection::ScheduleTimeoutCheck() {
  const auto& options = this->context->options;
  const auto ping_timeout = options.replace_after - options.ping_after;
  this->timeout_check_timer.expires_after(ping_timeout / kTimeoutChecksPerPing);
  this->timeout_check_timer.async_wait(
      [weak = this->weak_from_this()](auto error) {
        const auto self = weak.lock();
        if (error || !self || self->phase != Phase::kConnected) return;
        self->CheckTimeouts();
      });
}

void CallerConnection::CheckTimeouts() {
  const auto now = this->context->options.clock.now();
  if (now >= this->session->replace_at) {
    ++this->context->counts.replaced;
    return this->Disconnect(Phase::kIdle);
  }
  if (now >= this->session->ping_at) {
    const auto& options = this->context->options;
    this->session->ping_at = base::kNever;
    this->session->replace_at =
        now + options.replace_after - options.ping_after;
    this->Enqueue({FrameType::kPing, 0, ""});
  }
  if (this->Expired() && this->pending_calls.empty()) {
    return this->Disconnect(Phase::kIdle);
  }
  this->ScheduleTimeoutCheck();
}

void CallerConnection::Disconnect(Phase next) {
  this->phase = next;
  if (this->session) {
    boost::system::error_code ignored;
    this->session->socket.close(ignored);
    this->session = nullptr;
  }
  this->queue.clear();
  this->queued_bytes = 0;
  this->notices.clear();
  if (next == Phase::kBackoff) this->BackOff();
  const auto failed_calls = std::exchange(this->pending_calls, {});
  for (const auto& [call_id, entry] : failed_calls) {
    entry.timer->cancel();
    if (entry.sent) {
      entry.handler(base::Error(base::Errc::kUnknown,
                                "peer: connection lost before the reply"));
    } else {
      entry.handler(NotSentError("not connected"));
    }
  }
}

void CallerConnection::BackOff() {
  const auto& options = this->context->options;
  const auto doublings = std::min(this->failures++, kMaxBackoffDoublings);
  const auto max_delay = std::min(options.initial_backoff * (1U << doublings),
                                  options.max_backoff);
  const auto step = base::Hash64(options.self.name + this->address,
                                 options.self.incarnation + this->failures) %
                    kJitterSteps;
  const auto jitter = max_delay / 2 * static_cast<base::Duration::rep>(step) /
                      static_cast<base::Duration::rep>(kJitterSteps);
  this->backoff_timer.expires_after(max_delay - jitter);
  this->backoff_timer.async_wait([weak = this->weak_from_this()](auto error) {
    const auto self = weak.lock();
    if (error || !self || self->phase != Phase::kBackoff) return;
    self->phase = Phase::kIdle;
  });
}

}  // namespace gypsumtrack::peer
