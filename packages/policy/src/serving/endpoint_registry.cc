#include "gypsumtrack/policy/serving/endpoint_registry.h"

#include <algorithm>
#include <utility>

#include "gypsumtrack/base/hash.h"

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
/// Number of consecutive failures from which on a bad response causes the
/// endpoint to be avoided. A single bad response may be caused by a caller's
/// connection or a late packet.
constexpr std::uint32_t kBadResponsesToAvoid = 2;
/// Time after its last report that an incarnation of an endpoint ends in any
/// case: some serve for many seconds after they were told to drain.
constexpr base::Duration kRestrictionsRetention = std::chrono::minutes(10);
/// Time for which a change of a limit is sent to the peers again and again.
constexpr base::Duration kLimitChangeWindow = std::chrono::seconds(3);
/// A larger change of the time of day between two updates is a step.
constexpr base::Duration kMaxClockDrift = std::chrono::milliseconds(200);

}  // namespace

EndpointRegistry::EndpointRegistry(EndpointRegistryOptions options)
    : options(options) {}

void EndpointRegistry::ReplaceEntries(std::vector<EndpointEntry> entries,
                                      base::Instant platform_back_at,
                                      base::Instant now) {
  std::set<base::EndpointId> listed;
  for (auto& entry : entries) {
    listed.insert(entry.id);
    const auto [at, is_new] = this->states.try_emplace(entry.id);
    auto& state = at->second;
    const bool restarted = state.entry.incarnation != entry.incarnation;
    if (is_new || restarted) this->Reset(state, entry.id);
    state.entry = std::move(entry);
    state.expires_at = base::kNever;
  }
  const auto grace_period_end =
      platform_back_at + this->options.missing_entry_grace_period;
  for (auto& [id, state] : this->states) {
    if (listed.contains(id) || state.expires_at != base::kNever) continue;
    state.expires_at = std::max(now, grace_period_end);
  }
}

void EndpointRegistry::Reset(State& state, const base::EndpointId& id) const {
  state = State{};
  for (const auto& [name, peer] : this->peers) {
    const auto found = peer.loads.find(id);
    if (found != peer.loads.end()) state.peers += found->second;
  }
}

std::vector<base::EndpointId> EndpointRegistry::RemoveExpired(
    base::Instant now) {
  this->RemoveUnresponsivePeers(now);
  std::vector<base::EndpointId> removed;
  for (const auto& [id, state] : this->states) {
    if (state.expires_at <= now) removed.push_back(id);
  }
  for (const auto& id : removed) this->states.erase(id);
  std::erase_if(this->restrictions, [&](const auto& each) {
    return each.second.forgotten_at <= now;
  });
  return removed;
}

void EndpointRegistry::SetPeerLoads(const std::string& peer,
                                    EndpointLoads loads, base::Instant now) {
  auto& known = this->peers[peer];
  this->SubtractLoads(known.loads);
  this->AddLoads(loads);
  known = {std::move(loads), now};
}

void EndpointRegistry::AddLoads(const EndpointLoads& loads) {
  for (const auto& [id, load] : loads) {
    const auto found = this->states.find(id);
    if (found != this->states.end()) found->second.peers += load;
  }
}

void EndpointRegistry::SubtractLoads(const EndpointLoads& loads) {
  for (const auto& [id, load] : loads) {
    const auto found = this->states.find(id);
    if (found != this->states.end()) found->second.peers -= load;
  }
}

void EndpointRegistry::RemoveUnresponsivePeers(base::Instant now) {
  std::erase_if(this->peers, [&](const auto& each) {
    const auto age = now - each.second.received_at;
    if (age <= this->options.peer_loads_max_age) return false;
    this->SubtractLoads(each.second.loads);
    return true;
  });
}

void EndpointRegistry::SetFleetPosition(const FleetPosition& position,
                                        base::Instant now) {
  const auto clock_step =
      std::chrono::abs(position.wall_offset - this->fleet_position.wall_offset);
  this->fleet_position = position;
  if (clock_step <= kMaxClockDrift) return;
  for (auto& [id, known] : this->restrictions) {
    if (known.turns) known.turns->Restart(position, now);
  }
}

void EndpointRegistry::OnAttemptStarted(const base::EndpointId& id,
                                        WorkKind kind, base::Instant now) {
  const auto found = this->states.find(id);
  if (found == this->states.end()) return;
  auto& state = found->second;
  ++(kind == WorkKind::kOnline ? state.own.online : state.own.batch);
  const auto known = this->restrictions.find(id);
  const bool is_limited =
      known != this->restrictions.end() &&
      known->second.incarnation == state.entry.incarnation &&
      known->second.turns;
  if (is_limited) known->second.turns->TakeTurn(this->fleet_position, now);
}

void EndpointRegistry::OnAttemptEnded(const base::EndpointId& id, WorkKind kind,
                                      AttemptResult result, base::Instant now) {
  const auto found = this->states.find(id);
  if (found == this->states.end()) return;
  auto& state = found->second;
  auto& count = kind == WorkKind::kOnline ? state.own.online : state.own.batch;
  if (count > 0) --count;
  switch (result) {
    case AttemptResult::kSuccess:
      state.failures = 0;
      state.avoided_until = {};
      break;
    case AttemptResult::kBusy:
      state.busy_until = now + this->options.busy_backoff;
      break;
    case AttemptResult::kBadResponse:
      if (++state.failures >= kBadResponsesToAvoid) {
        this->StartBackoff(state, now);
      }
      break;
    case AttemptResult::kUnreachable:
      ++state.failures;
      this->StartBackoff(state, now);
      break;
    case AttemptResult::kUnknown:
      break;
    case AttemptResult::kWrongEndpoint:
      // The entry is outdated and will be removed soon: use the longest
      // backoff.
      state.failures += kBadResponsesToAvoid;
      state.avoided_until = now + this->options.max_backoff;
      break;
  }
}

void EndpointRegistry::ForgetFailures() {
  for (auto& [id, state] : this->states) {
    state.failures = 0;
    state.avoided_until = {};
  }
}

void EndpointRegistry::StartBackoff(State& state, base::Instant now) const {
  // Requests that fail during a backoff, as concurrent ones do, don't extend
  // it.
  if (now < state.avoided_until) return;
  const auto doublings = std::min<std::uint32_t>(state.failures, 4);
  const auto backoff = this->options.initial_backoff * (1U << doublings) / 2;
  state.avoided_until = now + std::min(backoff, this->options.max_backoff);
}

void EndpointRegistry::OnReport(const base::EndpointId& id,
                                const EndpointReport& report,
                                base::Instant now) {
  const auto found = this->states.find(id);
  if (found == this->states.end()) return;
  auto& state = found->second;
  state.report = report;
  state.reported_at = now;
  state.own_at_report = state.own.total();
}

bool EndpointRegistry::OnLeaving(const base::EndpointId& id,
                                 std::uint64_t incarnation, base::Instant now) {
  auto* known = this->MakeRestrictions(id, incarnation, now);
  if (known == nullptr) return false;
  return !std::exchange(known->leaving, true);
}

bool EndpointRegistry::OnRateLimit(const base::EndpointId& id,
                                   std::uint64_t incarnation,
                                   const RateLimitReport& report, bool is_own,
                                   base::Instant now) {
  if (!report.per_second && !this->restrictions.contains(id)) return false;
  auto* known = this->MakeRestrictions(id, incarnation, now);
  if (known == nullptr || report.as_of < known->limit_as_of) return false;
  known->limit_as_of = report.as_of;
  if (known->rate_limit == report.per_second) return false;
  known->rate_limit = report.per_second;
  if (is_own) known->own_change_at = now;
  known->turns.reset();
  if (report.per_second) {
    known->turns.emplace(*report.per_second, base::Hash64(id.text),
                         this->fleet_position, now);
  }
  return true;
}

std::vector<RateLimitChange> EndpointRegistry::OwnRateLimitChanges(
    base::Instant now) const {
  std::vector<RateLimitChange> changes;
  for (const auto& [id, known] : this->restrictions) {
    if (known.own_change_at < now - kLimitChangeWindow) continue;
    changes.push_back(
        {id, known.incarnation, {known.rate_limit, known.limit_as_of}});
  }
  return changes;
}

EndpointRegistry::Restrictions* EndpointRegistry::MakeRestrictions(
    const base::EndpointId& id, std::uint64_t incarnation, base::Instant now) {
  const auto listed = this->states.find(id);
  const bool is_outdated = listed != this->states.end() &&
                           listed->second.entry.incarnation != incarnation;
  if (is_outdated) return nullptr;
  auto& known = this->restrictions[id];
  if (known.incarnation != incarnation) known = {.incarnation = incarnation};
  known.forgotten_at = now + kRestrictionsRetention;
  return &known;
}

const EndpointRegistry::Restrictions* EndpointRegistry::FindRestrictions(
    const EndpointEntry& entry) const {
  const auto found = this->restrictions.find(entry.id);
  const bool is_known = found != this->restrictions.end() &&
                        found->second.incarnation == entry.incarnation;
  return is_known ? &found->second : nullptr;
}

bool EndpointRegistry::IsLimited(const State& state) const {
  const auto* known = this->FindRestrictions(state.entry);
  return known != nullptr && known->turns;
}

bool EndpointRegistry::LimitAllows(const State& state,
                                   base::Instant now) const {
  const auto* known = this->FindRestrictions(state.entry);
  return known == nullptr || !known->turns ||
         known->turns->HasTurn(this->fleet_position, now);
}

bool EndpointRegistry::Accepts(const State& state) const {
  if (state.entry.draining) return false;
  const auto* known = this->FindRestrictions(state.entry);
  return known == nullptr || !known->leaving;
}

EndpointLoad EndpointRegistry::LoadOf(const State& state,
                                      base::Instant now) const {
  EndpointLoad load = state.own;
  load += state.peers;
  const bool has_recent_report =
      state.reported_at != base::Instant{} &&
      now - state.reported_at < this->options.report_max_age;
  if (!has_recent_report) return load;
  // Add what this daemon has sent since the report.
  const auto own = state.own.total();
  const auto sent_since =
      own > state.own_at_report ? own - state.own_at_report : 0U;
  const auto reported_total =
      state.report.running + state.report.waiting + sent_since;
  if (reported_total > load.total()) {
    load.online += reported_total - load.total();
  }
  return load;
}

bool EndpointRegistry::Matches(const State& state,
                               const EndpointQuery& query) const {
  const bool fits = !query.version || *query.version == state.entry.version;
  return state.entry.service == query.service && fits && this->Accepts(state) &&
         !query.tried.contains(state.entry.id);
}

bool EndpointRegistry::Avoided(const State& state, base::Instant now) const {
  if (now < state.avoided_until) return true;
  // After its backoff a failing endpoint receives a single request as a probe.
  return state.failures >= kBadResponsesToAvoid && state.own.total() > 0;
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

std::uint32_t EndpointRegistry::CountFreeSlots(const base::Service& service,
                                               std::uint32_t reserved_slots,
                                               base::Instant now) const {
  std::uint32_t slots = 0;
  for (const auto& [id, state] : this->states) {
    if (state.entry.service != service || !this->Accepts(state)) continue;
    if (this->Avoided(state, now) || !this->LimitAllows(state, now)) continue;
    const auto occupied = this->LoadOf(state, now).total() + reserved_slots;
    if (occupied >= state.entry.slots) continue;
    const auto free = state.entry.slots - occupied;
    // Of a limited endpoint only the request of this turn is certain.
    slots += this->IsLimited(state) ? 1 : free;
  }
  return slots;
}

std::uint32_t EndpointRegistry::BatchToYield(const base::EndpointId& id,
                                             std::uint64_t random_value,
                                             base::Instant now) const {
  const auto found = this->states.find(id);
  if (found == this->states.end()) return 0;
  const auto& state = found->second;
  if (state.own.batch == 0) return 0;
  const auto load = this->LoadOf(state, now);
  if (load.online == 0) return 0;
  // A limited endpoint isn't short of slots.
  const bool is_peak =
      !this->IsLimited(state) && this->OnlineShare(state.entry.service, now) >
                                     this->options.peak_online_share;
  const auto allowed = state.entry.slots - (is_peak ? 1 : 0);
  if (load.total() <= allowed) return 0;
  // The daemons share the excess in proportion to their batch items.
  const auto excess = load.total() - allowed;
  const auto batch = std::max(load.batch, state.own.batch);
  const auto weighted = excess * state.own.batch;
  const auto share =
      weighted / batch + (random_value % batch < weighted % batch ? 1 : 0);
  return std::min(share, state.own.batch);
}

EndpointLoads EndpointRegistry::OwnLoads() const {
  EndpointLoads loads;
  for (const auto& [id, state] : this->states) {
    if (state.own.total() > 0) loads[id] = state.own;
  }
  return loads;
}

EndpointLoad EndpointRegistry::Load(const base::EndpointId& id,
                                    base::Instant now) const {
  const auto found = this->states.find(id);
  return found == this->states.end() ? EndpointLoad{}
                                     : this->LoadOf(found->second, now);
}

bool EndpointRegistry::AcceptsRequests(const base::EndpointId& id,
                                       std::uint64_t incarnation) const {
  const auto found = this->states.find(id);
  return found != this->states.end() && this->Accepts(found->second) &&
         found->second.entry.incarnation == incarnation;
}

VersionCounts EndpointRegistry::CountByVersion(
    const base::Service& service) const {
  VersionCounts counts;
  for (const auto& [id, state] : this->states) {
    if (state.entry.service != service) continue;
    auto& count = counts[state.entry.version];
    ++count.known;
    if (this->Accepts(state)) ++count.accepting;
  }
  return counts;
}

double EndpointRegistry::OnlineShare(const base::Service& service,
                                     base::Instant now) const {
  double slots = 0;
  double online = 0;
  for (const auto& [id, state] : this->states) {
    if (state.entry.service != service || !this->Accepts(state)) continue;
    const auto load = this->LoadOf(state, now);
    slots += this->IsLimited(state) ? std::min(state.entry.slots, load.total())
                                    : state.entry.slots;
    online += load.online;
  }
  return slots > 0 ? online / slots : 0;
}

}  // namespace gypsumtrack::policy
