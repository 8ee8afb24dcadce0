#ifndef GYPSUMTRACK_PEER_SRC_CALLER_CONNECTION_H_
#define GYPSUMTRACK_PEER_SRC_CALLER_CONNECTION_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "frame.h"
#include "rpc_client.h"
#include "transport_context.h"

/// The caller's side of a connection between daemons.
namespace gypsumtrack::peer {

/// Sends calls and notices to one address over one TCP connection, which is
/// opened on first use and reopened after a failure.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(std::shared_ptr<TransportContext> context,
                   std::string address);

  /// Sends a call. `handler` is called exactly once: with the result, or with
  /// an error as described at PeerLink::call. Thread-safe; doesn't block.
  void Call(const std::string& method, const Json::Value& params,
            base::Instant deadline, ReplyHandler handler);
  /// Queues a notice, or drops it if the queue is full or a backoff is running.
  /// Thread-safe; doesn't block.
  void Notify(const std::string& method, Json::Value params);
  /// Closes the connection for good and fails its pending calls. Thread-safe;
  /// doesn't block.
  void Close();

  /// Whether there was no call or notice for the idle timeout. Thread-safe.
  bool Expired() const;

 private:
  enum class Phase { kIdle, kConnecting, kConnected, kBackoff, kClosed };

  /// A call that waits for its reply.
  struct PendingCall {
    ReplyHandler handler;
    /// Whether its frame was handed to the socket.
    bool sent = false;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  /// An established connection: the socket and the keys of its two directions.
  struct Session {
    Session(boost::asio::ip::tcp::socket connected, std::string to_callee,
            std::string to_caller)
        : socket(std::move(connected)),
          signer(std::move(to_callee)),
          verifier(std::move(to_caller)) {}

    boost::asio::ip::tcp::socket socket;
    FrameAuthenticator signer;
    FrameAuthenticator verifier;
    /// When to send a ping, and when to close the connection as unresponsive.
    /// Both are kNever while no frame from the peer is expected.
    base::Instant ping_at = base::kNever;
    base::Instant replace_at = base::kNever;
    /// Whether a write is in progress.
    bool writing = false;
  };
  using SessionPtr = std::shared_ptr<Session>;

  // All functions and data below are used on the strand only, except the
  // constants, ExtendExpiry and `expires_at`.
  void Enqueue(Frame frame);
  void StartCall(std::string text, base::Instant deadline,
                 ReplyHandler handler);
  void StartDeadlineTimer(std::uint32_t call_id, base::Instant deadline);
  void FinishCall(std::uint32_t call_id, base::Outcome<Json::Value> outcome);
  void QueueNotice(RpcNotice notice);
  /// Queues the waiting notices as one frame.
  void FlushNotices();
  /// Starts to connect if idle. Returns whether a frame may be queued.
  bool PrepareToQueue();
  boost::asio::awaitable<void> Connect();
  boost::asio::awaitable<SessionPtr> Handshake();
  boost::asio::awaitable<void> ReadFrames(SessionPtr connected);
  boost::asio::awaitable<std::optional<Frame>> ReadFrame(SessionPtr connected);
  void HandleFrame(const Frame& frame);
  void HandleReply(const Frame& frame);
  /// Starts a write of queued frames unless one is in progress.
  void WriteQueuedFrames();
  void ScheduleTimeoutCheck();
  void CheckTimeouts();
  /// Sets the time of the next ping unless a ping or reply is already awaited.
  void SchedulePing();
  /// Closes the socket, drops queued frames and fails all pending calls.
  void Disconnect(Phase next);
  /// Delays the next connection attempt.
  void BackOff();
  /// Restarts the idle timeout.
  void ExtendExpiry();

  const std::shared_ptr<TransportContext> context;
  const std::string address;
  const boost::asio::any_io_executor strand;
  std::atomic<base::Instant::rep> expires_at;

  Phase phase = Phase::kIdle;
  SessionPtr session;
  std::deque<Frame> queue;
  std::size_t queued_bytes = 0;
  std::vector<RpcNotice> notices;
  std::map<std::uint32_t, PendingCall> pending_calls;
  std::uint32_t next_call_id = 1;
  std::uint32_t failures = 0;
  boost::asio::steady_timer batch_timer;
  boost::asio::steady_timer backoff_timer;
  boost::asio::steady_timer timeout_check_timer;
};

}  // namespace gypsumtrack::peer

#endif  // GYPSUMTRACK_PEER_SRC_CALLER_CONNECTION_H_
