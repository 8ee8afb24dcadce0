#ifndef GYPSUMTRACK_PEER_SRC_CALLEE_CONNECTION_H_
#define GYPSUMTRACK_PEER_SRC_CALLEE_CONNECTION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "frame.h"
#include "rpc_server.h"
#include "transport_context.h"

/// The callee's side of a connection between daemons.
namespace gypsumtrack::peer {

/// Serves one connection that another daemon opened: the handshake, then its
/// calls, notices and pings.
class CalleeConnection : public std::enable_shared_from_this<CalleeConnection> {
 public:
  /// Precondition: the socket's executor is a strand.
  CalleeConnection(std::shared_ptr<TransportContext> context,
                   boost::asio::ip::tcp::socket accepted);

  /// Serves the connection until it is closed by either side.
  boost::asio::awaitable<void> Serve();

  /// Closes the connection. Thread-safe.
  void Close();

 private:
  /// Returns false if the connection must be closed.
  boost::asio::awaitable<bool> Handshake();
  boost::asio::awaitable<std::optional<std::string>> ReadFrameBytes(
      std::size_t limit);
  /// Returns false if the connection must be closed.
  bool HandleFrame(const Frame& frame);
  void Send(Frame frame);
  void WriteQueuedFrames();
  void RestartIdleTimer();

  const std::shared_ptr<TransportContext> context;
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer idle_timer;
  std::optional<FrameAuthenticator> signer;
  std::optional<FrameAuthenticator> verifier;
  std::unique_ptr<RpcServer> server;
  std::deque<std::string> queue;
  std::size_t queued_bytes = 0;
  bool writing = false;
};

}  // namespace gypsumtrack::peer

#endif  // GYPSUMTRACK_PEER_SRC_CALLEE_CONNECTION_H_
