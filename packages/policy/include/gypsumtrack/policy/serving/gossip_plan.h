#ifndef GYPSUMTRACK_POLICY_SERVING_GOSSIP_PLAN_H_
#define GYPSUMTRACK_POLICY_SERVING_GOSSIP_PLAN_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gypsumtrack/base/names.h"

/// To whom a daemon tells its loads and counts: often to each one of its own
/// failure domain, and to one of each other domain, which passes them on there.
/// So links between domains carry a message once for each domain, however many
/// daemons it has.
namespace gypsumtrack::policy {

struct GossipPlanOptions {
  /// Messages leave the failure domain each so many ticks.
  std::uint32_t other_domain_ticks = 2;
};

struct GossipPeer {
  base::VmId vm;
  base::Place location;
};

/// Not thread-safe.
class GossipPlan {
 public:
  GossipPlan(base::VmId self, base::Place place, GossipPlanOptions options);

  // Commands.

  /// The daemons that are alive, this one left out.
  void SetPeers(const std::vector<GossipPeer>& peers);

  // Queries.

  /// Names of all peers of the own failure domain: told at each tick.
  const std::vector<std::string>& DomainPeers() const;
  /// Names of the peers in other domains that are told at this tick: in turn,
  /// so that one that is lost costs a message and no more.
  std::vector<std::string> RemotePeers(std::uint32_t tick) const;
  /// Whether what comes from this daemon itself is to be passed on to the
  /// neighbours.
  bool ShouldForward(const base::VmId& sender) const;

 private:
  base::VmId self;
  base::Place place;
  GossipPlanOptions options;
  std::vector<std::string> neighbours;
  std::map<base::FailureDomain, std::vector<std::string>> outside;
  std::map<std::string, base::FailureDomain> domains;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_GOSSIP_PLAN_H_
