#ifndef GYPSUMTRACK_GATEWAY_PEER_GATHER_H_
#define GYPSUMTRACK_GATEWAY_PEER_GATHER_H_

#include <json/value.h>

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

#include "gypsumtrack/gateway/runtime.h"
#include "gypsumtrack/policy/fleet_view.h"

/// Sends one request to all daemons and gathers the replies, for operators'
/// reports.
namespace gypsumtrack::gateway {

/// The reply of a peer, or the error of the request to it.
struct PeerReply {
  policy::PeerVm peer;
  base::Outcome<Json::Value> reply;
};

/// Sends a request to each peer of the view that isn't lost. Returns a reply or
/// error for each of them by the deadline, in no particular order.
/// Precondition: `runtime` outlives the call. Thread-safe.
boost::asio::awaitable<std::vector<PeerReply>> GatherPeers(
    const Runtime& runtime, const policy::FleetView& view, std::string method,
    Json::Value params, base::Instant deadline);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_PEER_GATHER_H_
