#ifndef GYPSUMTRACK_GATEWAY_TUNNEL_H_
#define GYPSUMTRACK_GATEWAY_TUNNEL_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/gateway/http_server.h"

/// Handshake of a tunnel: a connection to an endpoint through a peer daemon,
/// which copies bytes both ways. It is an HTTP/1.1 Upgrade:
///
///     GET /tunnels/ENDPOINT/INCARNATION HTTP/1.1
///     Host: PEER-ADDRESS
///     Connection: Upgrade
///     Upgrade: gypsumtrack-tunnel
///     Authorization: Bearer TOKEN
///
/// The peer replies 101 once it is connected to the endpoint, and otherwise a
/// final status with the header `Tunnel-Refusal`, after which it closes the
/// connection. All functions are thread-safe.
namespace gypsumtrack::gateway {

/// Response header that names the TunnelStatus of a refusal.
inline constexpr const char* kTunnelRefusalHeader = "Tunnel-Refusal";

/// How the attempt to open a tunnel ended. In all cases but kOpen, the endpoint
/// received nothing.
enum class TunnelStatus {
  kOpen,                 ///< the peer is connected to the endpoint
  kPeerCut,              ///< the peer itself is cut from endpoints
  kPeerLeaving,          ///< the peer is shutting down
  kPeerBusy,             ///< the peer carries as many tunnels as it may
  kDenied,               ///< the token is wrong
  kUnknownEndpoint,      ///< the peer knows no such incarnation of the
                         ///< endpoint, or it is draining
  kEndpointRefused,      ///< the endpoint's port refused the connection
  kEndpointUnreachable,  ///< the peer couldn't connect in time
  kPeerUnreachable,      ///< no connection to the peer, or no valid reply in
                         ///< time
};

/// Names of tunnel statuses in Tunnel-Refusal and in logs. Daemons exchange
/// them, so that existing ones must not change.
inline constexpr auto kTunnelStatusNames = base::MakeEnumTable<TunnelStatus>({
    {TunnelStatus::kOpen, "open"},
    {TunnelStatus::kPeerCut, "peer_cut"},
    {TunnelStatus::kPeerLeaving, "peer_leaving"},
    {TunnelStatus::kPeerBusy, "peer_busy"},
    {TunnelStatus::kDenied, "denied"},
    {TunnelStatus::kUnknownEndpoint, "unknown_endpoint"},
    {TunnelStatus::kEndpointRefused, "endpoint_refused"},
    {TunnelStatus::kEndpointUnreachable, "endpoint_unreachable"},
    {TunnelStatus::kPeerUnreachable, "peer_unreachable"},
});

/// The peer that a tunnel runs through.
struct TunnelHop {
  /// Name of the peer's VM.
  std::string peer;
  /// `ip:port` of the peer's TunnelServer.
  std::string address;
  /// Shows the peer that a daemon of this system asks.
  std::string token;

  bool operator==(const TunnelHop&) const = default;
};

/// The endpoint that a tunnel leads to. The peer finds its address.
struct TunnelTarget {
  base::EndpointId endpoint;
  std::uint64_t incarnation = 0;

  bool operator==(const TunnelTarget&) const = default;
};

/// The request to open a tunnel.
struct TunnelRequest {
  TunnelTarget target;
  std::string token;

  bool operator==(const TunnelRequest&) const = default;
};

/// Returns the head of the request. `host` is the address of the peer. Errors:
/// kInvalid if the host or the token can't stand in a header, or the id of the
/// endpoint is empty or too long.
base::Outcome<std::string> FormatTunnelRequest(const TunnelRequest& request,
                                               const std::string& host);

/// Parses the whole head of a request, up to and with its empty line. Errors:
/// kInvalid.
base::Outcome<TunnelRequest> ParseTunnelRequest(std::string_view head);

/// Returns the reply with that status.
std::string FormatTunnelReply(TunnelStatus status);

/// Returns the status that a reply states; kPeerUnreachable if the reply isn't
/// valid.
TunnelStatus ParseTunnelReply(const ResponseHead& head);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_TUNNEL_H_
