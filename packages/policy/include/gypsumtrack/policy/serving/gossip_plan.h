#ifndef GYPSUMTRACK_POLICY_SERVING_GOSSIP_PLAN_H_
#define GYPSUMTRACK_POLICY_SERVING_GOSSIP_PLAN_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gypsumtrack/base/names.h"

/// Chooses the daemons to which a daemon sends its loads and counts: every peer
/// in its own failure domain, and less often one peer in each other domain,
/// which forwards the message within that domain. A link between two domains
/// thus carries each message once, however many daemons the domains have.
namespace gypsumtrack::policy {

/// Intervals of gossip.
struct GossipPlanOptions {
  /// Interval, in ticks, between messages to other failure domains.
  std::uint32_t remote_period_ticks = 2;
};

/// Another daemon that takes part in gossip.
struct GossipPeer {
  base::VmId vm;
  base::Location location;
};

/// The recipients of one daemon's messages. Not thread-safe.
class GossipPlan {
 public:
  GossipPlan(base::VmId self, base::Location location,
             GossipPlanOptions options);

  // Commands.

  /// Replaces the peers: all live daemons except this one.
  void SetPeers(const std::vector<GossipPeer>& peers);

  // Queries.

  /// Returns the names of all peers in this daemon's failure domain, which
  /// receive a message at every tick.
  const std::vector<std::string>& DomainPeers() const;
  /// Returns the names of the peers that receive a message at this tick, one in
  /// each other failure domain. The peers of a domain take turns, so that only
  /// single messages are lost if one of them is unreachable.
  std::vector<std::string> RemotePeers(std::uint32_t tick) const;
  /// Returns whether a message received directly from `sender` must be
  /// forwarded to the peers in this daemon's failure domain.
  bool ShouldForward(const base::VmId& sender) const;

 private:
  base::VmId self;
  base::Location location;
  GossipPlanOptions options;
  std::vector<std::string> domain_peers;
  /// Sorted names of the peers in each other failure domain.
  std::map<base::FailureDomain, std::vector<std::string>> remote_peers;
  /// Failure domain of each peer, keyed by VM name.
  std::map<std::string, base::FailureDomain> domains;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_GOSSIP_PLAN_H_
