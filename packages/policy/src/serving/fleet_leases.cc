#include "gypsumtrack/policy/serving/fleet_leases.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gypsumtrack::policy {

FleetLeases::FleetLeases(base::FailureDomain domain, FleetLeasesOptions options)
    : own_domain(std::move(domain)), options(options) {}

void FleetLeases::SetRegistered(const std::vector<RegisteredDaemon>& daemons,
                                base::Instant now) {
  std::unordered_map<std::string, Registration> next;
  for (auto& [name, domain] : this->domains) domain.daemon_count = 0;
  for (const auto& daemon : daemons) {
    Registration registration{daemon.vm.incarnation, daemon.domain, now, {}};
    if (const auto* known = this->Find(daemon.vm)) registration = *known;
    next[daemon.vm.name] = registration;
    const auto [at, is_new] =
        this->domains.try_emplace(daemon.domain, Domain(this->options.leases));
    if (is_new) at->second.reported_at = now;
    ++at->second.daemon_count;
  }
  std::erase_if(this->domains,
                [](const auto& each) { return each.second.daemon_count == 0; });
  this->registered = std::move(next);
  this->has_registered = true;
}

void FleetLeases::OnHolderReport(const base::VmId& daemon, base::Instant now) {
  const auto found = this->registered.find(daemon.name);
  if (found == this->registered.end()) return;
  if (found->second.incarnation != daemon.incarnation) return;
  found->second.reported_at = now;
  this->domains.at(found->second.domain).reported_at = now;
}

void FleetLeases::ObserveDomain(const base::FailureDomain& name,
                                const std::vector<LeaseRow>& rows,
                                base::Instant now) {
  const auto found = this->domains.find(name);
  if (found == this->domains.end()) return;
  found->second.leases.Observe(rows, now);
  found->second.read_at = now;
}

bool FleetLeases::IsFullyWatched() const {
  return this->registered.size() <= this->options.max_fully_watched_daemons;
}

bool FleetLeases::IsWatched(const Domain& domain, base::Instant now) const {
  if (domain.read_at == base::Instant::min()) return false;
  return now - domain.read_at <= 2 * this->options.leases.heartbeat_period;
}

const FleetLeases::Registration* FleetLeases::Find(
    const base::VmId& daemon) const {
  const auto found = this->registered.find(daemon.name);
  if (found == this->registered.end()) return nullptr;
  const bool is_same = found->second.incarnation == daemon.incarnation;
  return is_same ? &found->second : nullptr;
}

std::vector<base::FailureDomain> FleetLeases::DomainsToRead(
    base::Instant now) const {
  std::vector<base::FailureDomain> names;
  for (const auto& [name, domain] : this->domains) {
    const bool is_silent = now - domain.reported_at > this->options.max_silence;
    if (name == this->own_domain || this->IsFullyWatched() || is_silent) {
      names.push_back(name);
    }
  }
  return names;
}

bool FleetLeases::HasLostLease(const base::VmId& daemon,
                               base::Instant now) const {
  if (!this->has_registered) return false;
  const auto* registration = this->Find(daemon);
  if (registration == nullptr) return true;
  const auto& domain = this->domains.at(registration->domain);
  if (!this->IsWatched(domain, now)) return false;
  if (now - registration->seen_at <= this->options.registration_grace_period) {
    return false;
  }
  return domain.leases.HasLostLease(daemon);
}

bool FleetLeases::MayServe(const base::VmId& daemon, base::Instant now) const {
  const auto* registration = this->Find(daemon);
  if (registration == nullptr) return false;
  const auto& domain = this->domains.at(registration->domain);
  if (!this->IsWatched(domain, now)) return true;
  const bool is_new =
      now - registration->seen_at <= this->options.registration_grace_period;
  return is_new || domain.leases.MayServe(daemon);
}

std::vector<base::VmId> FleetLeases::HoldersIn(const base::FailureDomain& name,
                                               base::Instant now) const {
  const auto& domain = this->domains.at(name);
  if (this->IsWatched(domain, now)) return domain.leases.Holders();
  std::vector<base::VmId> holders;
  for (const auto& [vm_name, registration] : this->registered) {
    if (registration.domain != name) continue;
    if (registration.reported_at == base::Instant{}) continue;
    if (now - registration.reported_at > this->options.max_silence) continue;
    holders.push_back({vm_name, registration.incarnation});
  }
  return holders;
}

std::vector<base::VmId> FleetLeases::Holders(base::Instant now) const {
  std::vector<base::VmId> holders;
  for (const auto& [name, domain] : this->domains) {
    auto in_domain = this->HoldersIn(name, now);
    std::move(in_domain.begin(), in_domain.end(), std::back_inserter(holders));
  }
  return holders;
}

std::vector<base::VmId> FleetLeases::Adopters(const base::VmId& lost,
                                              base::Instant now) const {
  const auto found = this->registered.find(lost.name);
  if (found == this->registered.end() || this->IsFullyWatched()) {
    return this->Holders(now);
  }
  const auto& name = found->second.domain;
  auto in_domain = this->HoldersIn(name, now);
  if (name == this->own_domain && !in_domain.empty()) return in_domain;
  const bool is_watched = this->IsWatched(this->domains.at(name), now);
  if (in_domain.empty() && is_watched) return this->Holders(now);
  return {};
}

}  // namespace gypsumtrack::policy
