#ifndef GYPSUMTRACK_GATEWAY_PEER_GATHER_H_
#define GYPSUMTRACK_GATEWAY_PEER_GATHER_H_

#include <json/value.h>

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

#include "gypsumtrack/gateway/runtime.h"
#include "gypsumtrack/policy/fleet_view.h"

/// One question to all daemons, for operators' reports.
namespace gypsumtrack::gateway {

struct PeerAnswer {
  policy::PeerVm peer;
  base::Outcome<Json::Value> reply;
};

/// Asks all peers of the view that aren't lost, and returns an answer or error
/// for each by the deadline. Precondition: `runtime` outlives the wait.
/// Thread-safe.
boost::asio::awaitable<std::vector<PeerAnswer>> GatherPeers(
    const Runtime& runtime, const policy::FleetView& view, std::string method,
    Json::Value params, base::Instant deadline);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_PEER_GATHER_H_
