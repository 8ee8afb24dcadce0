#include "gypsumtrack/policy/serving/endpoint_registry.h"

#include <algorithm>
#include <utility>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

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
    const bool has_news = state.entry.warm_at != entry.warm_at;
    state.entry = std::move(entry);
    state.expires_at = base::kNever;
    this->UpdateColdStart(state, is_new || restarted, has_news, now);
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
  for (auto& [id, state] : this->states) {
    if (state.cold_start) state.cold_start->Restart(position, now);
  }
}

void EndpointRegistry::OnAttemptStarted(const base::EndpointId& id,
                                        WorkKind kind, base::Instant now) {
  const auto found = this->states.find(id);
  if (found == this->states.end()) return;
  auto& state = found->second;
  ++(kind == WorkKind::kOnline ? state.own.online : state.own.batch);
  if (state.cold_start)
    state.cold_start->OnRequestSent(this->fleet_position, now);
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
      if (++state.failures >= this->options.bad_responses_to_avoid) {
        this->StartBackoff(state, now);
      }
      break;
    case AttemptResult::kUnreachable:
      ++state.failures;
      this->StartBackoff(state, now);
      this->OnUnreachable(state, now);
      break;
    case AttemptResult::kUnknown:
      break;
    case AttemptResult::kWrongEndpoint:
      // The entry is outdated and will be removed soon: use the longest
      // backoff.
      state.failures += this->options.bad_responses_to_avoid;
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
  if (report.slowdown) state.slowdown.OnReport(*report.slowdown, now);
  state.own_at_report = state.own.total();
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
