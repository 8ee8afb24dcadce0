#include <algorithm>
#include <utility>

#include "gypsumtrack/policy/serving/endpoint_registry.h"

/// The choice of an endpoint for a request.
namespace gypsumtrack::policy {
namespace {

/// Online requests: endpoints whose cost is within this of the lowest are
/// considered equal.
constexpr base::Duration kOnlineMaxExtraCost = std::chrono::milliseconds(4);
/// The same for endpoints that differ only in their load, which other daemons
/// change before this one learns of it.
constexpr base::Duration kOnlineMaxExtraLoadCost =
    std::chrono::milliseconds(16);
/// Weight of an endpoint without free slots, in slots.
constexpr double kFullEndpointWeight = 0.1;
/// Resolution of the random fraction that picks an endpoint.
constexpr std::uint64_t kRandomSteps = 1'000'000;
/// Batch items: wider than for online requests, because several daemons may
/// send items to an endpoint before they receive each other's loads.
constexpr base::Duration kBatchMaxExtraCost = std::chrono::milliseconds(12);

}  // namespace

bool EndpointRegistry::Matches(const State& state,
                               const EndpointQuery& query) const {
  const bool fits = !query.version || *query.version == state.entry.version;
  return state.entry.service == query.service && fits && this->Accepts(state) &&
         Allows(query.allowed_regions, state.entry.location.region) &&
         !query.tried.contains(state.entry.id);
}

bool EndpointRegistry::Avoided(const State& state, base::Instant now) const {
  if (now < state.avoided_until) return true;
  // After its backoff a failing endpoint receives a single request as a probe.
  return state.failures >= this->options.bad_responses_to_avoid &&
         state.own.total() > 0;
}

base::Duration EndpointRegistry::DistanceCost(const base::Location& from,
                                              const base::Location& to) const {
  if (from.domain == to.domain) return {};
  return from.region == to.region ? this->options.cross_domain_cost
                                  : this->options.cross_region_cost;
}

base::Duration EndpointRegistry::FixedCost(const State& state,
                                           const EndpointQuery& query) const {
  const auto cost = this->DistanceCost(query.origin, state.entry.location);
  const bool connected = !query.has_idle_connection ||
                         query.has_idle_connection(state.entry.address);
  return connected ? cost : cost + this->options.new_connection_cost;
}

base::Duration EndpointRegistry::Cost(const State& state,
                                      const EndpointQuery& query,
                                      base::Instant now) const {
  const auto load = this->LoadOf(state, now).total();
  auto cost = this->FixedCost(state, query);
  cost += this->options.cost_per_concurrent_request * load;
  const auto slowdown = state.slowdown.Expected(now) - 1;
  cost += std::chrono::duration_cast<base::Duration>(
      slowdown * this->options.slowdown_cost);
  if (load >= state.entry.slots) {
    cost +=
        this->options.cost_per_queued_request * (load - state.entry.slots + 1);
  }
  return cost;
}

std::vector<const EndpointRegistry::State*> EndpointRegistry::UsableEndpoints(
    const EndpointQuery& query, base::Instant now) const {
  std::vector<const State*> healthy;
  std::vector<const State*> all;
  for (const auto& [id, state] : this->states) {
    if (!this->Matches(state, query)) continue;
    all.push_back(&state);
    if (!this->Avoided(state, now)) healthy.push_back(&state);
  }
  // If most endpoints seem to fail, the cause is likely this daemon or the
  // network.
  const bool trusts_failures = healthy.size() * 4 >= all.size();
  return trusts_failures && !healthy.empty() ? healthy : all;
}

EndpointChoice EndpointRegistry::ChooseOnline(const EndpointQuery& query,
                                              base::Instant now) const {
  const auto usable = this->UsableEndpoints(query, now);
  EndpointChoice choice;
  if (usable.empty()) return choice;
  choice.status = ChoiceStatus::kNoCapacity;
  std::vector<Candidate> candidates;
  for (const auto* state : usable) {
    if (now < state->busy_until || !this->LimitAllows(*state, now)) continue;
    const auto load = this->LoadOf(*state, now).total();
    const auto capacity =
        state->entry.slots + this->options.max_queued_requests;
    if (load >= capacity) continue;
    auto cost = this->Cost(*state, query, now);
    if (this->IsLimited(*state)) cost += this->options.limited_turn_cost;
    candidates.push_back({cost, state});
  }
  if (candidates.empty()) return choice;
  if (this->peers.size() > this->options.large_fleet_peers) {
    this->PickByFreeSlots(candidates, query, now, choice);
  } else {
    this->Pick(candidates, query, kOnlineMaxExtraCost, now, choice);
  }
  return choice;
}

void EndpointRegistry::PickByFreeSlots(std::vector<Candidate>& candidates,
                                       const EndpointQuery& query,
                                       base::Instant now,
                                       EndpointChoice& choice) const {
  const auto cheapest = *std::min_element(
      candidates.begin(), candidates.end(),
      [](const auto& a, const auto& b) { return a.cost < b.cost; });
  const auto lowest_fixed_cost = this->FixedCost(*cheapest.state, query);
  std::erase_if(candidates, [&](const auto& each) {
    const auto fixed_cost = this->FixedCost(*each.state, query);
    const bool differs_in_load =
        fixed_cost <= lowest_fixed_cost + kOnlineMaxExtraCost;
    const auto max_extra_cost =
        differs_in_load ? kOnlineMaxExtraLoadCost : kOnlineMaxExtraCost;
    return each.cost > cheapest.cost + max_extra_cost;
  });
  // Other daemons choose by the same loads at the same time. If each preferred
  // the lowest one, all would choose the same endpoints.
  std::vector<std::pair<double, const State*>> weighted;
  double total_weight = 0;
  for (const auto& each : candidates) {
    const auto load = this->LoadOf(*each.state, now).total();
    const auto slots = each.state->entry.slots;
    const auto weight =
        load < slots ? static_cast<double>(slots - load) : kFullEndpointWeight;
    weighted.emplace_back(weight, each.state);
    total_weight += weight;
  }
  std::stable_sort(
      weighted.begin(), weighted.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  auto position = total_weight *
                  static_cast<double>(query.random_value % kRandomSteps) /
                  static_cast<double>(kRandomSteps);
  const State* chosen = weighted.back().second;
  for (const auto& [weight, state] : weighted) {
    if (position < weight) {
      chosen = state;
      break;
    }
    position -= weight;
  }
  this->Choose(*chosen, now, choice);
}

void EndpointRegistry::Choose(const State& state, base::Instant now,
                              EndpointChoice& choice) const {
  choice.status = ChoiceStatus::kChosen;
  choice.endpoint = state.entry;
  choice.known_load = this->LoadOf(state, now).total();
  choice.is_paced = this->IsLimited(state) ||
                    (state.cold_start && state.cold_start->IsPacing(now));
}

EndpointChoice EndpointRegistry::ChooseBatch(const EndpointQuery& query,
                                             std::uint32_t reserved_slots,
                                             base::Instant now) const {
  EndpointChoice choice;
  std::vector<Candidate> candidates;
  for (const auto* state : this->UsableEndpoints(query, now)) {
    choice.status = ChoiceStatus::kNoCapacity;
    if (now < state->busy_until || this->Avoided(*state, now)) continue;
    if (!this->LimitAllows(*state, now)) continue;
    const auto load = this->LoadOf(*state, now).total();
    if (load + 1 + reserved_slots > state->entry.slots) continue;
    auto cost = this->Cost(*state, query, now);
    if (this->IsLimited(*state)) cost -= this->options.limited_turn_cost;
    candidates.push_back({cost, state});
  }
  if (!candidates.empty()) {
    this->Pick(candidates, query, kBatchMaxExtraCost, now, choice);
  }
  return choice;
}

void EndpointRegistry::Pick(std::vector<Candidate>& candidates,
                            const EndpointQuery& query,
                            base::Duration max_extra_cost, base::Instant now,
                            EndpointChoice& choice) const {
  const auto lowest_cost =
      std::min_element(
          candidates.begin(), candidates.end(),
          [](const auto& a, const auto& b) { return a.cost < b.cost; })
          ->cost;
  std::erase_if(candidates, [&](const auto& each) {
    return each.cost > lowest_cost + max_extra_cost;
  });
  // Choose the cheaper of two random candidates: that is close to the lowest
  // cost and differs between daemons.
  const auto& first = candidates[query.random_value % candidates.size()];
  const auto& second =
      candidates[query.random_value / candidates.size() % candidates.size()];
  const auto* chosen = (second.cost < first.cost ? second : first).state;
  this->Choose(*chosen, now, choice);
}

}  // namespace gypsumtrack::policy
