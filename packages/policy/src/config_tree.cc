#include "gypsumtrack/policy/config_tree.h"

#include <algorithm>
#include <utility>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

using VmsByDomain = std::map<base::FailureDomain, std::vector<std::string>>;

VmsByDomain VmsInState(const FleetView& view, PeerState state) {
  VmsByDomain found;
  for (const auto& peer : view.peers) {
    if (peer.state != state) continue;
    found[peer.location.domain].push_back(peer.id.name);
  }
  return found;
}

}  // namespace

std::vector<std::string> RankByRendezvous(std::string_view key,
                                          std::vector<std::string> names) {
  std::vector<std::pair<std::uint64_t, std::string>> scored;
  scored.reserve(names.size());
  for (auto& name : names) {
    const auto score = base::RendezvousScore(key, name);
    scored.emplace_back(score, std::move(name));
  }
  std::sort(scored.rbegin(), scored.rend());
  names.clear();
  for (auto& [score, name] : scored) names.push_back(std::move(name));
  return names;
}

ConfigTree::ConfigTree(const FleetView& view, std::uint32_t fan_out)
    : self_name(view.self.name),
      own_domain(view.location.domain),
      vms_by_domain(VmsInState(view, PeerState::kLive)) {
  auto suspect_vms = VmsInState(view, PeerState::kSuspect);
  this->neighbour_vms = this->vms_by_domain[this->own_domain];
  const auto& suspect_neighbours = suspect_vms[this->own_domain];
  this->neighbour_vms.insert(this->neighbour_vms.end(),
                             suspect_neighbours.begin(),
                             suspect_neighbours.end());
  this->vms_by_domain[this->own_domain].push_back(this->self_name);
  // insert() keeps existing entries, so only domains without a live VM get
  // their suspect VMs.
  this->vms_by_domain.insert(suspect_vms.begin(), suspect_vms.end());
  for (auto& [domain, names] : this->vms_by_domain) {
    names = RankByRendezvous(domain.text, std::move(names));
    if (domain != this->own_domain) this->remote_roots.push_back(names.front());
  }
  const auto& ranked = this->vms_by_domain[this->own_domain];
  const auto found = std::find(ranked.begin(), ranked.end(), this->self_name);
  this->rank = static_cast<std::size_t>(found - ranked.begin());
  if (this->rank > 0) this->parent_vm = ranked[(this->rank - 1) / fan_out];
  const auto first_child = this->rank * fan_out + 1;
  for (auto i = first_child; i < first_child + fan_out && i < ranked.size();
       ++i) {
    this->child_vms.push_back(ranked[i]);
  }
}

std::vector<std::string> ConfigTree::LiveNeighbours() const {
  const auto found = this->vms_by_domain.find(this->own_domain);
  if (found == this->vms_by_domain.end()) return {};
  auto names = found->second;
  std::erase(names, this->self_name);
  return names;
}

bool ConfigTree::IsChild(const std::string& vm) const {
  return std::find(this->child_vms.begin(), this->child_vms.end(), vm) !=
         this->child_vms.end();
}

}  // namespace gypsumtrack::policy
