#include <algorithm>
#include <utility>

#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/policy/serving/endpoint_registry.h"

/// What restricts the requests that an endpoint gets: its own reports, the
/// rules for cold endpoints and evacuations.
namespace gypsumtrack::policy {
namespace {

/// Time after its last report that an incarnation of an endpoint ends in any
/// case: some serve for many seconds after they were told to drain.
constexpr base::Duration kRestrictionsRetention = std::chrono::minutes(10);
/// Time for which a change of a limit is sent to the peers again and again.
constexpr base::Duration kLimitChangeWindow = std::chrono::seconds(3);

}  // namespace

void EndpointRegistry::SetEvacuatedDomains(
    std::set<base::FailureDomain> domains) {
  this->evacuated = std::move(domains);
}

void EndpointRegistry::SetColdStartRules(ColdStartRules rules) {
  if (rules == this->cold_start_rules) return;
  this->cold_start_rules = std::move(rules);
  for (auto& [id, state] : this->states) {
    if (this->FindColdStartRule(state) == nullptr) state.cold_start.reset();
  }
}

const ColdStartRule* EndpointRegistry::FindColdStartRule(
    const State& state) const {
  const auto found = this->cold_start_rules.find(state.entry.service);
  return found == this->cold_start_rules.end() ? nullptr : &found->second;
}

void EndpointRegistry::UpdateColdStart(State& state, bool is_new, bool has_news,
                                       base::Instant now) const {
  const auto* rule = this->FindColdStartRule(state);
  if (rule == nullptr) return;
  const bool is_first = !state.cold_start;
  if (is_first) {
    state.cold_start.emplace(*rule, base::Hash64(state.entry.id.text),
                             this->fleet_position, now);
  }
  if (state.entry.warm_at) {
    if (is_first || has_news)
      state.cold_start->SetColdUntil(*state.entry.warm_at, now);
  } else if (is_new) {
    state.cold_start->ExtendColdUntil(now + rule->duration);
  }
}

void EndpointRegistry::OnUnreachable(State& state, base::Instant now) const {
  const auto* rule = this->FindColdStartRule(state);
  if (rule == nullptr || !state.cold_start) return;
  const auto back_at = std::max(now, state.avoided_until);
  state.cold_start->ExtendColdUntil(back_at + rule->duration);
}

std::size_t EndpointRegistry::CountCold(base::Instant now) const {
  return static_cast<std::size_t>(std::count_if(
      this->states.begin(), this->states.end(), [&](const auto& each) {
        const auto& pacer = each.second.cold_start;
        return pacer && pacer->IsPacing(now);
      }));
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
  const bool is_paced =
      state.cold_start && !state.cold_start->Allows(this->fleet_position, now);
  if (is_paced) return false;
  const auto* known = this->FindRestrictions(state.entry);
  return known == nullptr || !known->turns ||
         known->turns->HasTurn(this->fleet_position, now);
}

bool EndpointRegistry::Accepts(const State& state) const {
  if (state.entry.draining) return false;
  if (this->evacuated.contains(state.entry.location.domain)) return false;
  const auto* known = this->FindRestrictions(state.entry);
  return known == nullptr || !known->leaving;
}

}  // namespace gypsumtrack::policy
