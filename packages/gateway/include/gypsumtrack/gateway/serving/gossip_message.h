#ifndef GYPSUMTRACK_GATEWAY_SERVING_GOSSIP_MESSAGE_H_
#define GYPSUMTRACK_GATEWAY_SERVING_GOSSIP_MESSAGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/policy/serving/endpoint_registry.h"
#include "gypsumtrack/policy/serving/fleet_quota.h"

/// What daemons tell each other several times a second, in a datagram.
namespace gypsumtrack::gateway {

/// Names go as short digests: the receiver knows the same names from the store.
using NameDigest = std::uint32_t;

/// Thread-safe.
NameDigest DigestName(std::string_view name);

/// The sender's own requests under way and its admissions since its start.
struct GossipMessage {
  base::VmId sender;
  /// Rises with each message, so that one that comes late is known as such.
  std::uint32_t sequence = 0;
  /// Another daemon passed it on: it goes no further.
  bool passed_on = false;
  /// All organisations of which the sender has admitted any are named.
  bool whole = false;
  /// Items of jobs that wait for a place.
  std::uint16_t waiting_items = 0;
  std::map<NameDigest, policy::EndpointLoad> loads;
  std::map<NameDigest, std::uint32_t> admitted;

  bool operator==(const GossipMessage&) const = default;
};

/// Largest datagram that is sent. Of a message that is larger the loads that
/// don't fit are left out.
inline constexpr std::size_t kMaxGossipBytes = 1400;

/// Datagrams that hold the messages. Thread-safe.
std::vector<std::string> EncodeGossip(
    const std::vector<GossipMessage>& messages);
/// None if the bytes aren't such a datagram. Thread-safe.
std::optional<std::vector<GossipMessage>> DecodeGossip(std::string_view bytes);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_GOSSIP_MESSAGE_H_
