#include "gypsumtrack/policy/serving/gossip_plan.h"

#include <algorithm>
#include <utility>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {

GossipPlan::GossipPlan(base::VmId self_id, base::Place own_place,
                       GossipPlanOptions options)
    : self(std::move(self_id)), place(std::move(own_place)), options(options) {}

void GossipPlan::SetPeers(const std::vector<GossipPeer>& peers) {
  this->neighbours.clear();
  this->outside.clear();
  this->domains.clear();
  for (const auto& peer : peers) {
    const auto& domain = peer.location.domain;
    this->domains.emplace(peer.vm.name, domain);
    const bool near = domain == this->place.domain;
    (near ? this->neighbours : this->outside[domain]).push_back(peer.vm.name);
  }
  for (auto& [domain, names] : this->outside) {
    std::sort(names.begin(), names.end());
  }
}

const std::vector<std::string>& GossipPlan::DomainPeers() const {
  return this->neighbours;
}

std::vector<std::string> GossipPlan::RemotePeers(std::uint32_t tick) const {
  std::vector<std::string> names;
  if (tick % this->options.other_domain_ticks != 0) return names;
  const auto round = tick / this->options.other_domain_ticks;
  for (const auto& [domain, candidates] : this->outside) {
    // Each daemon begins elsewhere, so that they don't all tell the same one.
    const auto first = base::Hash64(this->self.name);
    names.push_back(candidates[(first + round) % candidates.size()]);
  }
  return names;
}

bool GossipPlan::ShouldForward(const base::VmId& sender) const {
  const auto found = this->domains.find(sender.name);
  return found != this->domains.end() && found->second != this->place.domain;
}

}  // namespace gypsumtrack::policy
