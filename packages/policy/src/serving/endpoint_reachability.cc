#include "gypsumtrack/policy/serving/endpoint_reachability.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gypsumtrack::policy {

EndpointReachability::EndpointReachability(
    ReachabilityOptions reachability_options)
    : options(reachability_options) {}

void EndpointReachability::SetTargets(std::vector<ProbeTarget> new_targets) {
  this->targets = std::move(new_targets);
}

void EndpointReachability::OnCallStarted(base::Instant now) {
  if (this->calls == 0) this->calls_since = now;
  ++this->calls;
}

void EndpointReachability::OnCallEnded() { --this->calls; }

void EndpointReachability::OnBytes(base::Instant now) {
  this->last_evidence = now;
}

void EndpointReachability::OnConnectionLost(base::Instant /*now*/) {
  this->round_wanted = true;
}

void EndpointReachability::OnConnect(const base::EndpointId& endpoint,
                                     bool connected, base::Instant started_at,
                                     base::Instant now) {
  if (connected) {
    this->last_evidence = now;
    this->last_opened = std::max(this->last_opened, started_at);
    this->failed.clear();
    this->round_wanted = false;
    this->cut = false;
    return;
  }
  const bool stood_still =
      now - started_at > this->options.connect_timeout + this->options.max_lag;
  if (stood_still) return;
  this->failed[endpoint] = now;
  this->round_wanted = true;
  std::erase_if(this->failed, [&](const auto& each) {
    return now - each.second > this->options.failure_window;
  });
  if (this->cut || !this->CoversAll()) return;
  this->cut = true;
  // The round that showed it has put off the next probe for longer.
  this->next_probe_at =
      std::min(this->next_probe_at, now + this->options.recovery_interval);
}

bool EndpointReachability::CoversAll() const {
  std::set<base::FailureDomain> domains;
  std::set<base::Service> services;
  std::size_t failed_targets = 0;
  for (const auto& target : this->targets) {
    if (!this->failed.contains(target.endpoint)) continue;
    ++failed_targets;
    domains.insert(target.domain);
    services.insert(target.service);
  }
  const auto required =
      std::min(this->options.min_failed_endpoints, this->targets.size());
  if (failed_targets == 0 || failed_targets < required) return false;
  return std::all_of(this->targets.begin(), this->targets.end(),
                     [&](const ProbeTarget& target) {
                       return domains.contains(target.domain) &&
                              services.contains(target.service);
                     });
}

bool EndpointReachability::IsSuspicious(base::Instant now) const {
  if (this->round_wanted) return true;
  const auto silent_since = std::max(this->last_evidence, this->calls_since);
  return this->calls > 0 && now - silent_since >= this->options.max_silence;
}

std::vector<ProbeTarget> EndpointReachability::TakeProbes(std::uint64_t random,
                                                          base::Instant now) {
  if (this->targets.empty()) return {};
  if (this->cut) {
    if (now < this->next_probe_at) return {};
    this->next_probe_at = now + this->options.recovery_interval;
    return {this->targets[random % this->targets.size()]};
  }
  if (this->IsSuspicious(now) && now >= this->next_round_at) {
    this->next_round_at = now + this->options.round_interval;
    this->next_probe_at = now + this->options.max_evidence_age;
    this->round_wanted = false;
    return this->SelectRound(random);
  }
  const bool is_due = now >= this->next_probe_at &&
                      this->EvidenceAge(now) >= this->options.max_evidence_age;
  if (!is_due) return {};
  this->next_probe_at = now + this->options.max_evidence_age;
  return {this->targets[random % this->targets.size()]};
}

std::vector<ProbeTarget> EndpointReachability::Shuffled(
    std::uint64_t random) const {
  auto shuffled = this->targets;
  // A linear congruential generator: each step depends on `random` alone.
  constexpr std::uint64_t kMultiplier = 6364136223846793005ULL;
  constexpr std::uint64_t kIncrement = 1442695040888963407ULL;
  constexpr unsigned kHighBits = 33;
  for (std::size_t i = shuffled.size(); i > 1; --i) {
    random = random * kMultiplier + kIncrement;
    std::swap(shuffled[i - 1], shuffled[(random >> kHighBits) % i]);
  }
  return shuffled;
}

std::vector<ProbeTarget> EndpointReachability::SelectRound(
    std::uint64_t random) const {
  std::set<base::FailureDomain> domains;
  std::set<base::Service> services;
  std::vector<ProbeTarget> selected;
  std::vector<ProbeTarget> others;
  for (const auto& target : this->Shuffled(random)) {
    const bool new_domain = domains.insert(target.domain).second;
    const bool new_service = services.insert(target.service).second;
    (new_domain || new_service ? selected : others).push_back(target);
  }
  while (selected.size() < this->options.min_failed_endpoints &&
         !others.empty()) {
    selected.push_back(others.back());
    others.pop_back();
  }
  return selected;
}

}  // namespace gypsumtrack::policy
