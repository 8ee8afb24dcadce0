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

/// The caller's end: one connection to one address, made again when needed.
namespace gypsumtrack::peer {

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(std::shared_ptr<TransportContext> context,
                   std::string address);

  /// Each of these is thread-safe and returns at once.
  void Call(const std::string& method, const Json::Value& params,
            base::Instant deadline, ReplyHandler handler);
  void Notify(const std::string& method, Json::Value params);
  void Close();

  /// Whether it has had no use for the idle timeout. Thread-safe.
  bool Expired() const;

 private:
  enum class Phase { kIdle, kConnecting, kUp, kBackoff, kClosed };

  struct Pending {
    ReplyHandler handler;
    bool sent = false;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  struct Link {
    Link(boost::asio::ip::tcp::socket connected, std::string to_callee,
         std::string to_caller)
        : socket(std::move(connected)),
          sealer(std::move(to_callee)),
          opener(std::move(to_caller)) {}

    boost::asio::ip::tcp::socket socket;
    FrameCipher sealer;
    FrameCipher opener;
    /// kNever while nothing sent is unanswered.
    base::Instant ping_at = base::kNever;
    base::Instant replace_at = base::kNever;
    bool writing = false;
  };
  using LinkPointer = std::shared_ptr<Link>;

  // All below run on the strand.
  void Enqueue(Frame frame);
  void StartCall(std::string text, base::Instant deadline,
                 ReplyHandler handler);
  void StartTimer(std::uint32_t call, base::Instant deadline);
  void FinishCall(std::uint32_t call, base::Outcome<Json::Value> outcome);
  void QueueNotice(RpcNotice notice);
  void FlushNotices();
  bool Ready();
  boost::asio::awaitable<void> Connect();
  boost::asio::awaitable<LinkPointer> Handshake();
  boost::asio::awaitable<void> Read(LinkPointer connected);
  boost::asio::awaitable<std::optional<Frame>> ReadFrame(LinkPointer connected);
  void HandleFrame(const Frame& frame);
  void HandleReply(const Frame& frame);
  void Pump();
  void Tick();
  void CheckSilence();
  void ExpectAnswer();
  void Drop(Phase next);
  void BackOff();
  void Touch();

  const std::shared_ptr<TransportContext> context;
  const std::string address;
  const boost::asio::any_io_executor strand;
  std::atomic<base::Instant::rep> expires_at;

  Phase phase = Phase::kIdle;
  LinkPointer link;
  std::deque<Frame> queue;
  std::size_t queued_bytes = 0;
  std::vector<RpcNotice> notices;
  std::map<std::uint32_t, Pending> pending;
  std::uint32_t next_call = 1;
  std::uint32_t failures = 0;
  boost::asio::steady_timer batch_timer;
  boost::asio::steady_timer backoff_timer;
  boost::asio::steady_timer tick_timer;
};

}  // namespace gypsumtrack::peer

#endif  // GYPSUMTRACK_PEER_SRC_CALLER_CONNECTION_H_
