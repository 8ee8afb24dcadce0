#include "gypsumtrack/policy/serving/endpoint_registry.h"

#include <algorithm>
#include <utility>

namespace gypsumtrack::policy {
namespace {

/// Choices whose cost differs by less are equal.
constexpr base::Duration kEqualCost = std::chrono::milliseconds(4);
/// For items: those of several daemons may go there before any hears of it.
constexpr base::Duration kBatchSpread = std::chrono::milliseconds(12);
/// An answer that broke off is held against an endpoint only the second time in
/// a row: a single one may be a caller's connection or a late packet.
constexpr std::uint32_t kBrokenToAvoid = 2;

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
    state.lapses_at = base::kNever;
  }
  const auto lapse_end = platform_back_at + this->options.lapse_hold;
  for (auto& [id, state] : this->states) {
    if (listed.contains(id) || state.lapses_at != base::kNever) continue;
    state.lapses_at = std::max(now, lapse_end);
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
  this->DropSilentPeers(now);
  std::vector<base::EndpointId> dropped;
  for (const auto& [id, state] : this->states) {
    if (state.lapses_at <= now) dropped.push_back(id);
  }
  for (const auto& id : dropped) this->states.erase(id);
  return dropped;
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

void EndpointRegistry::DropSilentPeers(base::Instant now) {
  std::erase_if(this->peers, [&](const auto& each) {
    const auto silent_for = now - each.second.heard_at;
    if (silent_for <= this->options.peer_counts_hold) return false;
    this->SubtractLoads(each.second.loads);
    return true;
  });
}

void EndpointRegistry::OnAttemptStarted(const base::EndpointId& id,
                                        WorkKind kind) {
  const auto found = this->states.find(id);
  if (found == this->states.end()) return;
  auto& own = found->second.own;
  ++(kind == WorkKind::kOnline ? own.online : own.batch);
}

void EndpointRegistry::OnAttemptEnded(const base::EndpointId& id, WorkKind kind,
                                      AttemptResult verdict,
                                      base::Instant now) {
  const auto found = this->states.find(id);
  if (found == this->states.end()) return;
  auto& state = found->second;
  auto& count = kind == WorkKind::kOnline ? state.own.online : state.own.batch;
  if (count > 0) --count;
  switch (verdict) {
    case AttemptResult::kSuccess:
      state.failures = 0;
      state.avoided_until = {};
      break;
    case AttemptResult::kBusy:
      state.busy_until = now + this->options.busy_pause;
      break;
    case AttemptResult::kBadResponse:
      if (++state.failures >= kBrokenToAvoid) this->OnFailure(state, now);
      break;
    case AttemptResult::kUnreachable:
      ++state.failures;
      this->OnFailure(state, now);
      break;
    case AttemptResult::kUnknown:
      break;
    case AttemptResult::kWrongEndpoint:
      // Its entry is about to go: leave it alone for as long as any failure.
      state.failures += kBrokenToAvoid;
      state.avoided_until = now + this->options.last_pause;
      break;
  }
}

void EndpointRegistry::OnFailure(State& state, base::Instant now) const {
  // Several requests that fail together are one failure.
  if (now < state.avoided_until) return;
  const auto doublings = std::min<std::uint32_t>(state.failures, 4);
  const auto pause = this->options.first_pause * (1U << doublings) / 2;
  state.avoided_until = now + std::min(pause, this->options.last_pause);
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

EndpointLoad EndpointRegistry::LoadOf(const State& state,
                                      base::Instant now) const {
  EndpointLoad load = state.own;
  load += state.peers;
  const bool reported = state.reported_at != base::Instant{} &&
                        now - state.reported_at < this->options.report_hold;
  if (!reported) return load;
  // Its own count, and what was sent there from here since.
  const auto own = state.own.total();
  const auto grown = own > state.own_at_report ? own - state.own_at_report : 0U;
  const auto counted = state.report.running + state.report.waiting + grown;
  if (counted > load.total()) load.online += counted - load.total();
  return load;
}

bool EndpointRegistry::Fits(const State& state,
                            const EndpointQuery& query) const {
  return state.entry.service == query.service && !state.entry.draining &&
         !query.tried.contains(state.entry.id);
}

bool EndpointRegistry::Avoided(const State& state, base::Instant now) const {
  if (now < state.avoided_until) return true;
  // After its pause a failing endpoint gets one request to show itself by.
  return state.failures >= kBrokenToAvoid && state.own.total() > 0;
}

base::Duration EndpointRegistry::Distance(const base::Place& from,
                                          const base::Place& to) const {
  if (from.domain == to.domain) return {};
  return from.region == to.region ? this->options.cross_domain
                                  : this->options.cross_region;
}

base::Duration EndpointRegistry::Cost(const State& state,
                                      const EndpointQuery& query,
                                      base::Instant now) const {
  const auto load = this->LoadOf(state, now).total();
  auto cost = this->Distance(query.origin, state.entry.location);
  const bool connected = !query.has_idle_connection ||
                         query.has_idle_connection(state.entry.address);
  if (!connected) cost += this->options.new_connection;
  cost += this->options.neighbour_step * load;
  if (load >= state.entry.slots) {
    cost += this->options.queue_step * (load - state.entry.slots + 1);
  }
  return cost;
}

std::vector<const EndpointRegistry::State*> EndpointRegistry::Candidates(
    const EndpointQuery& query, base::Instant now) const {
  std::vector<const State*> sound;
  std::vector<const State*> all;
  for (const auto& [id, state] : this->states) {
    if (!this->Fits(state, query)) continue;
    all.push_back(&state);
    if (!this->Avoided(state, now)) sound.push_back(&state);
  }
  // When most seem to fail, the fault is likely here or on the way.
  const bool trusts_suspicion = sound.size() * 4 >= all.size();
  return trusts_suspicion && !sound.empty() ? sound : all;
}

EndpointChoice EndpointRegistry::ChooseOnline(const EndpointQuery& query,
                                              base::Instant now) const {
  const auto candidates = this->Candidates(query, now);
  EndpointChoice choice;
  if (candidates.empty()) return choice;
  choice.status = ChoiceStatus::kNoCapacity;
  std::vector<Priced> open;
  for (const auto* state : candidates) {
    if (now < state->busy_until) continue;
    const auto load = this->LoadOf(*state, now).total();
    const auto room = state->entry.slots + this->options.queue_allowance;
    if (load >= room) continue;
    open.push_back({this->Cost(*state, query, now), state});
  }
  if (!open.empty()) this->Pick(open, query, kEqualCost, now, choice);
  return choice;
}

EndpointChoice EndpointRegistry::ChooseBatch(const EndpointQuery& query,
                                             std::uint32_t places_to_leave,
                                             base::Instant now) const {
  EndpointChoice choice;
  std::vector<Priced> open;
  for (const auto* state : this->Candidates(query, now)) {
    choice.status = ChoiceStatus::kNoCapacity;
    if (now < state->busy_until || this->Avoided(*state, now)) continue;
    const auto load = this->LoadOf(*state, now).total();
    if (load + 1 + places_to_leave > state->entry.slots) continue;
    open.push_back({this->Cost(*state, query, now), state});
  }
  if (!open.empty()) this->Pick(open, query, kBatchSpread, now, choice);
  return choice;
}

void EndpointRegistry::Pick(std::vector<Priced>& open,
                            const EndpointQuery& query, base::Duration spread,
                            base::Instant now, EndpointChoice& choice) const {
  const auto least = std::min_element(open.begin(), open.end(),
                                      [](const auto& a, const auto& b) {
                                        return a.cost < b.cost;
                                      })
                         ->cost;
  std::erase_if(open,
                [&](const auto& each) { return each.cost > least + spread; });
  // The better of two at random: nearly the best, and not the same for all.
  const auto& first = open[query.random_value % open.size()];
  const auto& second = open[query.random_value / open.size() % open.size()];
  const auto* chosen = (second.cost < first.cost ? second : first).state;
  choice.status = ChoiceStatus::kChosen;
  choice.endpoint = chosen->entry;
  choice.known_load = this->LoadOf(*chosen, now).total();
}

std::uint32_t EndpointRegistry::CountFreeSlots(const base::Service& service,
                                               std::uint32_t places_to_leave,
                                               base::Instant now) const {
  std::uint32_t places = 0;
  for (const auto& [id, state] : this->states) {
    if (state.entry.service != service || state.entry.draining) continue;
    if (this->Avoided(state, now)) continue;
    const auto taken = this->LoadOf(state, now).total() + places_to_leave;
    if (taken < state.entry.slots) places += state.entry.slots - taken;
  }
  return places;
}

std::uint32_t EndpointRegistry::BatchToYield(const base::EndpointId& id,
                                             std::uint64_t dice,
                                             base::Instant now) const {
  const auto found = this->states.find(id);
  if (found == this->states.end()) return 0;
  const auto& state = found->second;
  if (state.own.batch == 0) return 0;
  const auto load = this->LoadOf(state, now);
  if (load.online == 0) return 0;
  const bool top =
      this->OnlineShare(state.entry.service, now) > this->options.top_share;
  const auto allowed = state.entry.slots - (top ? 1 : 0);
  if (load.total() <= allowed) return 0;
  // What must go is shared in proportion.
  const auto excess = load.total() - allowed;
  const auto batch = std::max(load.batch, state.own.batch);
  const auto parts = excess * state.own.batch;
  const auto share = parts / batch + (dice % batch < parts % batch ? 1 : 0);
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
  return found != this->states.end() && !found->second.entry.draining &&
         found->second.entry.incarnation == incarnation;
}

double EndpointRegistry::OnlineShare(const base::Service& service,
                                     base::Instant now) const {
  double places = 0;
  double online = 0;
  for (const auto& [id, state] : this->states) {
    if (state.entry.service != service || state.entry.draining) continue;
    places += state.entry.slots;
    online += this->LoadOf(state, now).online;
  }
  return places > 0 ? online / places : 0;
}

}  // namespace gypsumtrack::policy
