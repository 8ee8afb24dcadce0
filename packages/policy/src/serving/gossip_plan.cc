#include "gypsumtrack/policy/serving/gossip_plan.h"

#include <algorithm>
#include <utility>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

/// Daemons with at least this part of the cores of the largest one in their
/// domain may be collectors.
constexpr double kCollectorCoresFraction = 0.5;

}  // namespace

GossipPlan::GossipPlan(GossipPeer own_daemon, GossipPlanOptions plan_options)
    : self(std::move(own_daemon)),
      options(plan_options),
      offset(base::Hash64(this->self.vm.name)) {
  this->SetPeers({});
}

void GossipPlan::SetPeers(const std::vector<GossipPeer>& peers) {
  this->domain_peers.clear();
  this->domains.clear();
  this->domain_of.clear();
  const auto& own_domain = this->self.location.domain;
  this->domains[own_domain].daemons.push_back(this->self);
  for (const auto& peer : peers) {
    const auto& domain = peer.location.domain;
    this->domains[domain].daemons.push_back(peer);
    this->domain_of.emplace(peer.vm.name, domain);
    if (domain == own_domain) this->domain_peers.push_back(peer.vm.name);
  }
  for (auto& [name, domain] : this->domains) ChooseCollectors(domain);
  std::erase_if(this->received_at, [&](const auto& each) {
    return !this->domain_of.contains(each.first);
  });
}

void GossipPlan::ChooseCollectors(Domain& domain) {
  auto& daemons = domain.daemons;
  std::sort(daemons.begin(), daemons.end(),
            [](const auto& a, const auto& b) { return a.vm.name < b.vm.name; });
  double max_cores = 0;
  for (const auto& each : daemons) max_cores = std::max(max_cores, each.cores);
  for (std::size_t i = 0; i < daemons.size(); ++i) {
    const bool is_large =
        daemons[i].cores >= kCollectorCoresFraction * max_cores;
    if (is_large) domain.collectors.push_back(i);
  }
}

void GossipPlan::OnMessageFrom(const std::string& vm_name, base::Instant now) {
  this->received_at[vm_name] = now;
}

void GossipPlan::OnSentToOtherDomains(const GossipTick& tick) {
  this->sent_slot = tick.slot;
}

bool GossipPlan::UsesCollectors() const {
  return this->domain_peers.size() >= this->options.max_direct_daemons;
}

bool GossipPlan::IsDue(const GossipTick& tick) const {
  return !this->UsesCollectors() || this->IsForOtherDomains(tick);
}

bool GossipPlan::IsForOtherDomains(const GossipTick& tick) const {
  if (!this->UsesCollectors()) {
    return tick.number % this->options.remote_period_ticks == 0;
  }
  const auto period = this->options.relayed_period_slots;
  return tick.slot / period != this->sent_slot / period;
}

const std::vector<std::string>& GossipPlan::DomainPeers() const {
  return this->domain_peers;
}

std::string GossipPlan::Collector(const GossipTick& tick) const {
  return this->CollectorOf(this->domains.at(this->self.location.domain), tick);
}

const std::string& GossipPlan::CollectorOf(const Domain& domain,
                                           const GossipTick& tick) const {
  const auto count = domain.collectors.size();
  for (std::size_t i = 0; i < count; ++i) {
    const auto index = domain.collectors[(tick.slot + i) % count];
    const auto& name = domain.daemons[index].vm.name;
    if (name == this->self.vm.name || this->IsResponsive(name, tick.now)) {
      return name;
    }
  }
  return domain.daemons[domain.collectors[tick.slot % count]].vm.name;
}

bool GossipPlan::IsResponsive(const std::string& vm_name,
                              base::Instant now) const {
  const auto found = this->received_at.find(vm_name);
  return found != this->received_at.end() &&
         now - found->second <= this->options.collector_timeout;
}

std::vector<std::string> GossipPlan::RemotePeers(const GossipTick& tick) const {
  std::vector<std::string> names;
  const auto round = tick.number / this->options.remote_period_ticks;
  for (const auto& [name, domain] : this->domains) {
    if (name == this->self.location.domain) continue;
    if (this->UsesCollectors()) {
      names.push_back(this->CollectorOf(domain, tick));
      continue;
    }
    // Each daemon starts at a different offset, so that they don't all choose
    // the same peer in a round.
    const auto index = (this->offset + round) % domain.daemons.size();
    names.push_back(domain.daemons[index].vm.name);
  }
  return names;
}

bool GossipPlan::ShouldForward(const base::VmId& sender, bool to_relay) const {
  const auto found = this->domain_of.find(sender.name);
  if (found == this->domain_of.end()) return false;
  return to_relay || found->second != this->self.location.domain;
}

}  // namespace gypsumtrack::policy
