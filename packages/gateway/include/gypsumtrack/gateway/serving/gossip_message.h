#ifndef GYPSUMTRACK_GATEWAY_SERVING_GOSSIP_MESSAGE_H_
#define GYPSUMTRACK_GATEWAY_SERVING_GOSSIP_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/policy/serving/endpoint_registry.h"
#include "gypsumtrack/policy/serving/fleet_quota.h"

/// The messages that daemons send each other several times a second, and their
/// encoding in UDP datagrams.
namespace gypsumtrack::gateway {

/// Hash of an endpoint's or organisation's name. Messages contain hashes
/// instead of names, because they are shorter and the recipient knows the names
/// from the store.
using NameHash = std::uint32_t;

/// Returns the hash of a name. Thread-safe.
NameHash HashName(std::string_view name);

/// A change of an endpoint's limit, as in `policy::RateLimitChange`.
struct LimitEntry {
  NameHash endpoint = 0;
  std::uint64_t incarnation = 0;
  /// None if the limit has ended.
  std::optional<double> per_second;
  /// Time since the change was true, when the message was made.
  std::chrono::milliseconds age{0};

  bool operator==(const LimitEntry&) const = default;
};

/// The requests that a daemon has in progress and the number of requests that
/// it has admitted since its start.
struct GossipMessage {
  base::VmId sender;
  /// Increases with each message, so that messages that arrive out of order are
  /// recognised.
  std::uint32_t sequence = 0;
  /// Another daemon forwarded the message; it must not be forwarded again.
  bool forwarded = false;
  /// A recipient in the sender's failure domain must forward the message to the
  /// other daemons there, because the sender doesn't send to each of them.
  bool to_relay = false;
  /// The relaying daemon must also send the message to the other domains.
  bool to_other_domains = false;
  /// The sender holds its lease in the store.
  bool holds_lease = false;
  /// `admitted` contains all organisations of which the sender has admitted
  /// requests, not only those whose count has changed recently.
  bool is_full = false;
  /// The sender wants the recipients' next messages to be full.
  bool wants_full = false;
  /// The sender opens tunnels to endpoints for daemons that are cut from them.
  bool opens_tunnels = false;
  /// Number of batch items of the sender's jobs that wait for a free slot.
  std::uint16_t waiting_items = 0;
  /// The sender's requests in progress, by the hash of the endpoint.
  std::vector<std::pair<NameHash, policy::EndpointLoad>> loads;
  /// Number of requests that the sender has admitted since its start, by the
  /// hash of the organisation.
  std::vector<std::pair<NameHash, std::uint32_t>> admitted;
  /// Limits of endpoints whose change the sender has seen lately.
  std::vector<LimitEntry> limits;

  bool operator==(const GossipMessage&) const = default;
};

/// Maximum size of a datagram. If a message is larger, first loads, then limits
/// and then counts are left out of it.
inline constexpr std::size_t kMaxDatagramBytes = 1400;

/// Encodes the messages as datagrams of one or more messages each. Thread-safe.
std::vector<std::string> EncodeGossip(
    const std::vector<GossipMessage>& messages);
/// Returns the messages of a datagram, or none if it is malformed. Thread-safe.
std::optional<std::vector<GossipMessage>> DecodeGossip(std::string_view bytes);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_GOSSIP_MESSAGE_H_
