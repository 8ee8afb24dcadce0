#ifndef GYPSUMTRACK_GATEWAY_TUNNEL_SERVER_H_
#define GYPSUMTRACK_GATEWAY_TUNNEL_SERVER_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/gateway/tunnel.h"

/// The peer's end of tunnels: connects daemons that are cut off from endpoints
/// to endpoints that this daemon reaches.
namespace gypsumtrack::gateway {

/// Whether a tunnel may be opened.
struct TunnelAdmission {
  /// kOpen if it may.
  TunnelStatus status = TunnelStatus::kUnknownEndpoint;
  /// `ip:port` of the endpoint if `status` is kOpen.
  std::string address;
};

/// What a TunnelServer asks and tells its daemon. The functions are called on
/// the strand of the server and must not block.
struct TunnelServerHooks {
  /// Decides on a request with the right token; required. The server connects
  /// only to the address in its result, so that a tunnel has one hop.
  std::function<TunnelAdmission(const TunnelTarget& target)> admit;
  /// Called when an attempt to connect to the endpoint has ended, with whether
  /// the connection opened and when the attempt began. Not called for attempts
  /// that the asking daemon ended. May be null.
  std::function<void(const base::EndpointId& endpoint, bool connected,
                     base::Instant started_at)>
      on_connected;
};

/// Settings of a TunnelServer.
struct TunnelServerOptions {
  /// The token that daemons of this system send. Nobody is admitted while it is
  /// empty.
  std::string token;
  /// Maximum number of tunnels, with those that are being opened.
  std::uint32_t max_tunnels = 256;
  /// Maximum number of connections that haven't sent their request; more are
  /// closed at once.
  std::uint32_t max_handshakes = 256;
  std::size_t max_handshake_bytes = 4096;
  /// Maximum time for a daemon to send its request.
  base::Duration handshake_timeout = std::chrono::seconds(1);
  /// Maximum time to connect to an endpoint.
  base::Duration connect_timeout = std::chrono::milliseconds(400);
  /// How long an asking daemon may leave data or probes unacknowledged until
  /// its tunnel is closed. It may take longer to read.
  base::Duration lost_daemon_timeout = std::chrono::seconds(5);
  /// TCP_USER_TIMEOUT of connections to endpoints, as
  /// EndpointClientOptions::tcp_user_timeout.
  base::Duration endpoint_user_timeout = std::chrono::seconds(6);
};

/// Accepts tunnels and copies their bytes both ways through buffers of bounded
/// size. An endpoint's close and its reset reach the asking daemon as such; the
/// end of the asking daemon's connection ends that to the endpoint at once.
class TunnelServer {
 public:
  /// Creates a server that doesn't listen yet; see Start.
  TunnelServer(const boost::asio::any_io_executor& executor, base::Clock clock,
               TunnelServerOptions options, TunnelServerHooks hooks);
  /// Stops the server. The hooks may still be called until its strand has run
  /// what Stop posts.
  ~TunnelServer();

  /// Binds `address` (`ip:port`; port 0 selects a free port) and starts to
  /// accept connections. Errors: kInvalid (the address can't be parsed),
  /// kUnavailable (it can't be bound).
  base::Status Start(const std::string& address);
  /// Refuses new tunnels as kPeerLeaving; open ones go on. Thread-safe.
  void Drain();
  /// Closes the listener and resets all tunnels. Thread-safe.
  void Stop();

  /// The bound `ip:port`. Precondition: Start succeeded. Thread-safe.
  std::string address() const;  // NOLINT
  /// Number of tunnels, with those that are being opened. Thread-safe.
  std::size_t tunnel_count() const;  // NOLINT

 private:
  class State;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_TUNNEL_SERVER_H_
