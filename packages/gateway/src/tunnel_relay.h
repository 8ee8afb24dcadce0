#ifndef GYPSUMTRACK_GATEWAY_SRC_TUNNEL_RELAY_H_
#define GYPSUMTRACK_GATEWAY_SRC_TUNNEL_RELAY_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/gateway/tunnel.h"
#include "gypsumtrack/gateway/tunnel_server.h"
#include "watchdog.h"

/// One tunnel of a TunnelServer.
namespace gypsumtrack::gateway {

/// Why a tunnel ended.
enum class TunnelEnd {
  kDaemonClosed,    ///< the asking daemon closed the connection
  kDaemonReset,     ///< the asking daemon reset it, or it failed
  kDaemonLost,      ///< the asking daemon stopped acknowledging
  kEndpointClosed,  ///< the endpoint closed the connection
  kEndpointReset,   ///< the endpoint reset it, or it failed
  kStopped,         ///< the server stopped
};

/// Names of the ends of tunnels in logs.
inline constexpr auto kTunnelEndNames = base::MakeEnumTable<TunnelEnd>({
    {TunnelEnd::kDaemonClosed, "daemon_closed"},
    {TunnelEnd::kDaemonReset, "daemon_reset"},
    {TunnelEnd::kDaemonLost, "daemon_lost"},
    {TunnelEnd::kEndpointClosed, "endpoint_closed"},
    {TunnelEnd::kEndpointReset, "endpoint_reset"},
    {TunnelEnd::kStopped, "stopped"},
});

/// The connection of an asking daemon, and that to an endpoint. Used on one
/// strand. Must be owned by a shared_ptr.
class TunnelRelay : public std::enable_shared_from_this<TunnelRelay> {
 public:
  /// Runs on the executor of the socket, a strand. Precondition: `options`
  /// outlive the relay.
  TunnelRelay(boost::asio::ip::tcp::socket accepted, base::Clock clock,
              const TunnelServerOptions& options);
  ~TunnelRelay();

  TunnelRelay(const TunnelRelay&) = delete;
  TunnelRelay& operator=(const TunnelRelay&) = delete;

  // Commands, in the order of their use.

  /// Reads the request. Errors: kInvalid (not a request for a tunnel),
  /// kUnavailable (it didn't come in time).
  boost::asio::awaitable<base::Outcome<TunnelRequest>> ReadRequest();
  /// Connects to the endpoint. Ends if the asking daemon does.
  boost::asio::awaitable<TunnelStatus> Connect(
      boost::asio::ip::tcp::endpoint address);
  /// Sends bytes of the handshake. Returns false if the connection failed.
  boost::asio::awaitable<bool> Reply(std::string bytes);
  /// Copies bytes until the tunnel has ended. Precondition: connected.
  boost::asio::awaitable<void> Run();
  /// Looks for ends that reading doesn't show. To be called regularly.
  void Check();
  /// Closes both connections, unless it has ended.
  void Close(TunnelEnd why);

  // Queries.

  /// Why it ended; none while it hasn't.
  std::optional<TunnelEnd> end() const { return this->cause; }  // NOLINT
  /// Whether both connections are closed.
  bool closed() const { return this->is_closed; }  // NOLINT
  /// Number of bytes copied from the asking daemon.
  std::uint64_t bytes_to_endpoint() const {  // NOLINT
    return this->to_endpoint;
  }
  /// Number of bytes copied from the endpoint.
  std::uint64_t bytes_to_daemon() const { return this->to_daemon; }  // NOLINT

 private:
  boost::asio::awaitable<void> CopyFromDaemon();
  boost::asio::awaitable<void> CopyFromEndpoint();
  /// Passes on the end of the endpoint's bytes that a read has reported as
  /// `error`. It is passed on as a close only if the endpoint closed the
  /// connection after it had received all that the asking daemon sent, and as a
  /// reset otherwise.
  boost::asio::awaitable<void> OnEndpointEnd(boost::system::error_code error);
  /// Delivers the end of the endpoint's bytes.
  void FinishDaemon();
  /// Resets the connection of the asking daemon, after what it can receive
  /// soon, and not before `earliest`.
  boost::asio::awaitable<void> ResetDaemon(base::Instant earliest);
  void WatchDaemonWhileConnecting();
  void OnTimeout();

  const base::Clock clock;
  const TunnelServerOptions& options;
  boost::asio::ip::tcp::socket daemon;
  boost::asio::ip::tcp::socket endpoint;
  std::shared_ptr<Watchdog> watchdog;
  bool connecting = false;
  /// Whether a write to the endpoint waits for it to read.
  bool sending = false;
  /// Whether a write to the endpoint failed.
  bool endpoint_broken = false;
  bool is_closed = false;
  std::optional<TunnelEnd> cause;
  /// When the asking daemon counts as lost, unless it acknowledges before.
  base::Instant lost_at = base::kNever;
  /// When to stop waiting for the asking daemon to close its side.
  base::Instant linger_until = base::kNever;
  std::uint64_t to_endpoint = 0;
  std::uint64_t to_daemon = 0;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_TUNNEL_RELAY_H_
