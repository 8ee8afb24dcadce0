#include "callee_connection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::peer {
namespace {

namespace asio = boost::asio;

constexpr auto kAwaitResult = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kNonceBytes = 16;
/// The callee's idle timeout is this multiple of the caller's, so that callers
/// close idle connections first.
constexpr int kCalleeIdleFactor = 3;

}  // namespace

CalleeConnection::CalleeConnection(std::shared_ptr<TransportContext> shared,
                                   asio::ip::tcp::socket accepted)
    : context(std::move(shared)),
      socket(std::move(accepted)),
      idle_timer(this->socket.get_executor()) {}

void CalleeConnection::Close() {
  asio::dispatch(this->socket.get_executor(),
                 [self = this->shared_from_this()] {
                   boost::system::error_code ignored;
                   self->socket.close(ignored);
                   self->idle_timer.cancel();
                 });
}

void CalleeConnection::RestartIdleTimer() {
  this->idle_timer.expires_after(this->context->options.idle_timeout *
                                 kCalleeIdleFactor);
  this->idle_timer.async_wait([weak = this->weak_from_this()](auto error) {
    const auto self = weak.lock();
    if (!error && self) self->Close();
  });
}

asio::awaitable<void> CalleeConnection::Serve() {
  const auto self = this->shared_from_this();
  this->RestartIdleTimer();
  auto& counts = this->context->counts;
  if (co_await this->Handshake()) {
    for (;;) {
      auto bytes =
          co_await this->ReadFrameBytes(this->context->options.max_frame_bytes);
      if (!bytes) break;
      auto frame = this->verifier->Verify(*bytes);
      if (!frame) {
        ++counts.unauthenticated;
        break;
      }
      ++counts.frames_received;
      counts.bytes_received += kLengthBytes + bytes->size();
      this->RestartIdleTimer();
      if (!this->HandleFrame(*frame)) break;
    }
  }
  this->Close();
}

asio::awaitable<std::optional<std::string>> CalleeConnection::ReadFrameBytes(
    std::size_t limit) {
  std::string length(kLengthBytes, '\0');
  auto [length_error, length_read] = co_await asio::async_read(
      this->socket, asio::buffer(length), kAwaitResult);
  if (length_error) co_return std::nullopt;
  if (DecodeLength(length) > limit) {
    ++this->context->counts.oversized;
    co_return std::nullopt;
  }
  std::string bytes(DecodeLength(length), '\0');
  auto [read_error, read] = co_await asio::async_read(
      this->socket, asio::buffer(bytes), kAwaitResult);
  if (read_error) co_return std::nullopt;
  co_return bytes;
}

asio::awaitable<bool> CalleeConnection::Handshake() {
  const auto& options = this->context->options;
  const auto text = co_await this->ReadFrameBytes(kMaxHelloBytes);
  if (!text) co_return false;
  const auto caller = DecodeHello(*text);
  if (!caller) {
    ++this->context->counts.malformed;
    co_return false;
  }
  Hello callee{kProtocolVersion, options.self, base::RandomHex(kNonceBytes),
               ""};
  callee.proof = HelloProof(options.fleet_secret, *caller, callee);
  const auto response = EncodeHello(callee);
  const auto bytes = EncodeLength(response.size()) + response;
  auto [error, written] = co_await asio::async_write(
      this->socket, asio::buffer(bytes), kAwaitResult);
  if (error) co_return false;
  if (caller->version != kProtocolVersion) {
    ++this->context->counts.wrong_version;
    co_return false;
  }
  this->verifier.emplace(DirectionKey(options.fleet_secret,
                                      Direction::kToCallee, *caller, callee));
  this->signer.emplace(DirectionKey(options.fleet_secret, Direction::kToCaller,
                                    *caller, callee));
  this->server =
      std::make_unique<RpcServer>(this->context->handlers, caller->vm);
  co_return true;
}

bool CalleeConnection::HandleFrame(const Frame& frame) {
  auto& counts = this->context->counts;
  switch (frame.type) {
    case FrameType::kPing:
      this->Send({FrameType::kPong, frame.call_id, ""});
      return true;
    case FrameType::kNotices:
      if (!this->server->HandleNotices(frame.body)) ++counts.malformed;
      return true;
    case FrameType::kCall: {
      auto send = [weak = this->weak_from_this(),
                   call_id = frame.call_id](std::string text) {
        const auto self = weak.lock();
        if (!self) return;
        asio::dispatch(
            self->socket.get_executor(),
            [self, call_id, text = std::move(text)]() mutable {
              self->Send({FrameType::kReply, call_id, std::move(text)});
            });
      };
      const bool served = this->server->HandleCall(frame.body, std::move(send));
      if (!served) ++counts.malformed;
      return true;
    }
    default:
      ++counts.malformed;
      return false;
  }
}

void CalleeConnection::Send(Frame frame) {
  auto& counts = this->context->counts;
  const auto& options = this->context->options;
  if (this->queued_bytes > options.max_queued_bytes) {
    // Closes the connection of a caller that doesn't read its replies, which
    // bounds the memory that they take.
    ++counts.overflowed;
    return this->Close();
  }
  if (frame.body.size() > options.max_frame_bytes) {
    ++counts.oversized;
    frame.body =
        EncodeReply(base::Error(base::Errc::kInvalid, "peer: reply too large"));
  }
  auto bytes = this->signer->Sign(frame);
  this->queued_bytes += bytes.size();
  this->queue.push_back(std::move(bytes));
  ++counts.frames_sent;
  this->WriteQueuedFrames();
}

void CalleeConnection::WriteQueuedFrames() {
  if (this->writing || this->queue.empty()) return;
  this->writing = true;
  auto bytes = std::make_shared<std::string>();
  for (const auto& frame_bytes : this->queue) *bytes += frame_bytes;
  this->queue.clear();
  asio::async_write(
      this->socket, asio::buffer(*bytes),
      [self = this->shared_from_this(), bytes](auto error, std::size_t) {
        self->writing = false;
        self->queued_bytes -= bytes->size();
        self->context->counts.bytes_sent += bytes->size();
        if (!error) self->WriteQueuedFrames();
      });
}

}  // namespace gypsumtrack::peer
