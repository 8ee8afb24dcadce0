#include "gypsumtrack/policy/serving/gossip_plan.h"

#include <algorithm>
#include <utility>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {

GossipPlan::GossipPlan(base::VmId self_id, base::Location own_location,
                       GossipPlanOptions options)
    : self(std::move(self_id)),
      location(std::move(own_location)),
      options(options) {}

void GossipPlan::SetPeers(const std::vector<GossipPeer>& peers) {
  this->domain_peers.clear();
  this->remote_peers.clear();
  this->domains.clear();
  for (const auto& peer : peers) {
    const auto& domain = peer.location.domain;
    this->domains.emplace(peer.vm.name, domain);
    const bool is_local = domain == this->location.domain;
    (is_local ? this->domain_peers : this->remote_peers[domain])
        .push_back(peer.vm.name);
  }
  for (auto& [domain, names] : this->remote_peers) {
    std::sort(names.begin(), names.end());
  }
}

const std::vector<std::string>& GossipPlan::DomainPeers() const {
  return this->domain_peers;
}

std::vector<std::string> GossipPlan::RemotePeers(std::uint32_t tick) const {
  std::vector<std::string> names;
  if (tick % this->options.remote_period_ticks != 0) return names;
  const auto round = tick / this->options.remote_period_ticks;
  for (const auto& [domain, candidates] : this->remote_peers) {
    // Each daemon starts at a different offset, so that they don't all choose
    // the same peer in a round.
    const auto offset = base::Hash64(this->self.name);
    names.push_back(candidates[(offset + round) % candidates.size()]);
  }
  return names;
}

bool GossipPlan::ShouldForward(const base::VmId& sender) const {
  const auto found = this->domains.find(sender.name);
  return found != this->domains.end() && found->second != this->location.domain;
}

}  // namespace gypsumtrack::policy
