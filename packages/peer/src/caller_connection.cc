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

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kNonceBytes = 16;
/// A connection in use looks for silence so often between ping and end.
constexpr int kTicksPerPing = 4;
/// Frames written at once.
constexpr std::size_t kWriteBytes = std::size_t{64} * 1024;
constexpr std::uint32_t kMaxBackoffDoublings = 10;
/// The backoff is shortened by up to a half, differently on each VM.
constexpr std::uint64_t kJitterSteps = 1000;

base::Error NotSent(const char* why) {
  return {base::Errc::kUnavailable, std::string("peer: ") + why};
}

base::Error ReplyError(const RpcReply& reply) {
  const bool ours = reply.code >= static_cast<int>(base::Errc::kInvalid) &&
                    reply.code <= static_cast<int>(base::Errc::kFenced);
  const auto code =
      ours ? static_cast<base::Errc>(reply.code) : base::Errc::kInvalid;
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
      tick_timer(this->strand) {
  this->Touch();
}

void CallerConnection::Touch() {
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
  this->Touch();
  asio::post(this->strand, [self = this->shared_from_this(),
                            text = EncodeCall(method, params), deadline,
                            handler = std::move(handler)]() mutable {
    self->StartCall(std::move(text), deadline, std::move(handler));
  });
}

void CallerConnection::Notify(const std::string& method, Json::Value params) {
  this->Touch();
  asio::post(this->strand, [self = this->shared_from_this(),
                            notice = RpcNotice{method, std::move(params)}] {
    self->QueueNotice(notice);
  });
}

void CallerConnection::Close() {
  asio::post(this->strand, [self = this->shared_from_this()] {
    self->Drop(Phase::kClosed);
    self->backoff_timer.cancel();
    self->batch_timer.cancel();
  });
}

bool CallerConnection::Ready() {
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
  if (!this->Ready()) {
    if (this->phase == Phase::kUp) ++this->context->counts.overflowed;
    handler(NotSent("not connected"));
    return;
  }
  this->FlushNotices();
  const auto call = this->next_call++;
  this->pending[call].handler = std::move(handler);
  this->StartTimer(call, deadline);
  this->Enqueue({FrameType::kCall, call, std::move(text)});
}

void CallerConnection::StartTimer(std::uint32_t call, base::Instant deadline) {
  auto timer = std::make_shared<asio::steady_timer>(this->strand);
  timer->expires_after(deadline - this->context->options.clock.now());
  timer->async_wait([weak = this->weak_from_this(), call](auto error) {
    const auto self = weak.lock();
    if (error || !self) return;
    const auto found = self->pending.find(call);
    if (found == self->pending.end()) return;
    const auto code =
        found->second.sent ? base::Errc::kUnknown : base::Errc::kUnavailable;
    self->FinishCall(call, base::Error(code, "peer: no answer in time"));
  });
  this->pending[call].timer = std::move(timer);
}

void CallerConnection::FinishCall(std::uint32_t call,
                                  base::Outcome<Json::Value> outcome) {
  auto node = this->pending.extract(call);
  if (node.empty()) return;
  node.mapped().timer->cancel();
  node.mapped().handler(std::move(outcome));
}

void CallerConnection::QueueNotice(RpcNotice notice) {
  if (!this->Ready()) {
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
  this->Pump();
}

void CallerConnection::Pump() {
  if (this->phase != Phase::kUp || this->link->writing) return;
  auto bytes = std::make_shared<std::string>();
  while (!this->queue.empty() && bytes->size() < kWriteBytes) {
    const auto& frame = this->queue.front();
    const auto found = this->pending.find(frame.call);
    const bool call = frame.type == FrameType::kCall;
    if (call && found != this->pending.end()) found->second.sent = true;
    // A call whose deadline has passed while it waited isn't sent at all.
    if (!call || found != this->pending.end()) {
      *bytes += this->link->sealer.Seal(frame);
      ++this->context->counts.frames_sent;
    }
    this->queued_bytes -= frame.body.size();
    this->queue.pop_front();
  }
  if (bytes->empty()) return;
  this->ExpectAnswer();
  this->context->counts.bytes_sent += bytes->size();
  this->link->writing = true;
  asio::async_write(this->link->socket, asio::buffer(*bytes),
                    [self = this->shared_from_this(), written = this->link,
                     bytes](auto error, std::size_t) {
                      written->writing = false;
                      if (self->link != written) return;
                      if (error) return self->Drop(Phase::kIdle);
                      self->Pump();
                    });
}

void CallerConnection::ExpectAnswer() {
  const bool expected = this->link->ping_at != base::kNever ||
                        this->link->replace_at != base::kNever;
  if (expected) return;
  const auto now = this->context->options.clock.now();
  this->link->ping_at = now + this->context->options.ping_after;
}

asio::awaitable<void> CallerConnection::Connect() {
  const auto self = this->shared_from_this();
  auto connected = co_await this->Handshake();
  if (this->phase == Phase::kClosed) co_return;
  if (!connected) {
    ++this->context->counts.connect_failures;
    this->Drop(Phase::kBackoff);
    co_return;
  }
  ++this->context->counts.connects;
  this->failures = 0;
  this->link = connected;
  this->phase = Phase::kUp;
  this->Pump();
  this->Tick();
  co_await this->Read(std::move(connected));
}

asio::awaitable<CallerConnection::LinkPointer> CallerConnection::Handshake() {
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
  auto [connect_error] = co_await socket->async_connect(*endpoint, kAwait);
  if (connect_error) co_return nullptr;
  boost::system::error_code ignored;
  socket->set_option(tcp::no_delay(true), ignored);
  const Hello caller{kProtocolVersion, options.self,
                     base::RandomHex(kNonceBytes), ""};
  const auto text = EncodeHello(caller);
  const auto hello = EncodeLength(text.size()) + text;
  auto [write_error, written] =
      co_await asio::async_write(*socket, asio::buffer(hello), kAwait);
  if (write_error) co_return nullptr;
  std::string length(kLengthBytes, '\0');
  auto [length_error, length_read] =
      co_await asio::async_read(*socket, asio::buffer(length), kAwait);
  if (length_error || DecodeLength(length) > kMaxHelloBytes) co_return nullptr;
  std::string answer(DecodeLength(length), '\0');
  auto [read_error, read] =
      co_await asio::async_read(*socket, asio::buffer(answer), kAwait);
  timeout.cancel();
  const auto callee = DecodeHello(answer);
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
  co_return std::make_shared<Link>(
      std::move(*socket),
      DirectionKey(options.fleet_secret, Direction::kToCallee, caller, *callee),
      DirectionKey(options.fleet_secret, Direction::kToCaller, caller,
                   *callee));
}

asio::awaitable<void> CallerConnection::Read(LinkPointer connected) {
  const auto self = this->shared_from_this();
  for (;;) {
    auto frame = co_await this->ReadFrame(connected);
    if (this->link != connected) co_return;
    if (!frame) {
      this->Drop(Phase::kIdle);
      co_return;
    }
    this->HandleFrame(*frame);
  }
}

asio::awaitable<std::optional<Frame>> CallerConnection::ReadFrame(
    LinkPointer connected) {
  auto& counts = this->context->counts;
  std::string length(kLengthBytes, '\0');
  auto [length_error, length_read] = co_await asio::async_read(
      connected->socket, asio::buffer(length), kAwait);
  if (length_error) co_return std::nullopt;
  const auto size = DecodeLength(length);
  if (size > this->context->options.max_frame_bytes) {
    ++counts.oversized;
    co_return std::nullopt;
  }
  std::string bytes(size, '\0');
  auto [read_error, read] =
      co_await asio::async_read(connected->socket, asio::buffer(bytes), kAwait);
  if (read_error) co_return std::nullopt;
  auto frame = connected->opener.Open(bytes);
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
  // The handler may have closed the connection.
  if (!this->link) return;
  this->link->ping_at = base::kNever;
  this->link->replace_at = base::kNever;
  if (!this->pending.empty()) this->ExpectAnswer();
}

void CallerConnection::HandleReply(const Frame& frame) {
  auto reply = DecodeReply(frame.body);
  if (reply.ok) return this->FinishCall(frame.call, std::move(reply.result));
  if (reply.code == kRpcMalformed) ++this->context->counts.malformed;
  this->FinishCall(frame.call, ReplyError(reply));
}

void CallerConnection::Tick() {
  const auto& options = this->context->options;
  const auto patience = options.replace_after - options.ping_after;
  this->tick_timer.expires_after(patience / kTicksPerPing);
  this->tick_timer.async_wait([weak = this->weak_from_this()](auto error) {
    const auto self = weak.lock();
    if (error || !self || self->phase != Phase::kUp) return;
    self->CheckSilence();
  });
}

void CallerConnection::CheckSilence() {
  const auto now = this->context->options.clock.now();
  if (now >= this->link->replace_at) {
    ++this->context->counts.replaced;
    return this->Drop(Phase::kIdle);
  }
  if (now >= this->link->ping_at) {
    const auto& options = this->context->options;
    this->link->ping_at = base::kNever;
    this->link->replace_at = now + options.replace_after - options.ping_after;
    this->Enqueue({FrameType::kPing, 0, ""});
  }
  if (this->Expired() && this->pending.empty()) {
    return this->Drop(Phase::kIdle);
  }
  this->Tick();
}

void CallerConnection::Drop(Phase next) {
  this->phase = next;
  if (this->link) {
    boost::system::error_code ignored;
    this->link->socket.close(ignored);
    this->link = nullptr;
  }
  this->queue.clear();
  this->queued_bytes = 0;
  this->notices.clear();
  if (next == Phase::kBackoff) this->BackOff();
  const auto failed = std::exchange(this->pending, {});
  for (const auto& [call, entry] : failed) {
    entry.timer->cancel();
    if (entry.sent) {
      entry.handler(base::Error(base::Errc::kUnknown, "peer: lost"));
    } else {
      entry.handler(NotSent("not connected"));
    }
  }
}

void CallerConnection::BackOff() {
  const auto& options = this->context->options;
  const auto doublings = std::min(this->failures++, kMaxBackoffDoublings);
  const auto full =
      std::min(options.first_backoff * (1U << doublings), options.last_backoff);
  const auto step = base::Hash64(options.self.name + this->address,
                                 options.self.incarnation + this->failures) %
                    kJitterSteps;
  const auto jitter = full / 2 * static_cast<base::Duration::rep>(step) /
                      static_cast<base::Duration::rep>(kJitterSteps);
  this->backoff_timer.expires_after(full - jitter);
  this->backoff_timer.async_wait([weak = this->weak_from_this()](auto error) {
    const auto self = weak.lock();
    if (error || !self || self->phase != Phase::kBackoff) return;
    self->phase = Phase::kIdle;
  });
}

}  // namespace gypsumtrack::peer
