#ifndef GYPSUMTRACK_GATEWAY_SRC_TUNNEL_PROBE_H_
#define GYPSUMTRACK_GATEWAY_SRC_TUNNEL_PROBE_H_

#include <boost/asio/awaitable.hpp>

#include "gypsumtrack/base/time.h"
#include "gypsumtrack/gateway/tunnel.h"

/// Finds out whether a peer reaches an endpoint.
namespace gypsumtrack::gateway {

/// Opens a tunnel to the endpoint through the peer and closes it again. Returns
/// kPeerUnreachable if that takes longer than `timeout`. Must run on a strand.
boost::asio::awaitable<TunnelStatus> ProbeTunnel(TunnelHop hop,
                                                 TunnelTarget target,
                                                 base::Clock clock,
                                                 base::Duration timeout);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_TUNNEL_PROBE_H_
