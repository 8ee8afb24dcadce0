#include "gypsumtrack/policy/router.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>
#include <unordered_set>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

constexpr double kMeanTimeWeight = 0.05;
constexpr std::size_t kMaxChanges = 4096;
constexpr std::size_t kTiers = 3;
/// A request slows those beside it even while slots are free.
constexpr double kSharedSlowdown = 0.3;
/// Further endpoints tried for a prefix whose first one is full.
constexpr std::size_t kAffinityProbes = 3;

base::Duration Scale(base::Duration duration, double by) {
  return std::chrono::duration_cast<base::Duration>(duration * by);
}

bool Has(const std::vector<base::EndpointId>& ids, const base::EndpointId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/// An endpoint's place in the order of being considered.
struct Draw {
  std::uint32_t outstanding = 0;
  base::Instant sent_at{};
  std::uint64_t chance = 0;
  const Endpoint* endpoint = nullptr;

  bool operator<(const Draw& other) const {
    return std::tie(this->outstanding, this->sent_at, this->chance) <
           std::tie(other.outstanding, other.sent_at, other.chance);
  }
};

std::size_t TierOf(const Endpoint& endpoint, const base::Place& own) {
  if (endpoint.location.domain == own.domain) return 0;
  return endpoint.location.region == own.region ? 1 : 2;
}

}  // namespace

EndpointRouter::EndpointRouter(RouterOptions options)
    : options(options), mean_time(options.initial_service_time) {}

void EndpointRouter::OnView(const FleetView& view) {
  std::unordered_set<base::EndpointId> live;
  for (const auto& endpoint : view.endpoints) {
    if (!endpoint.draining) live.insert(endpoint.id);
  }
  for (auto& [id, state] : this->states) {
    if (!state.said_leaving) continue;
    if (live.count(id) == 0) {
      state.seen_gone = true;
    } else if (state.seen_gone) {
      state.said_leaving = state.seen_gone = false;
    }
  }
}

void EndpointRouter::OnReport(const LoadReport& report) {
  auto& state = this->states[report.endpoint];
  if (report.as_of < state.reported_at) return;
  state.reported_at = report.as_of;
  std::uint32_t own = 0;
  while (!state.changes.empty() && state.changes.front().at <= report.as_of) {
    own = state.changes.front().outstanding;
    if (state.changes.size() > 1 && state.changes[1].at <= report.as_of) {
      state.changes.pop_front();
      continue;
    }
    break;
  }
  const double others = report.requests > own ? report.requests - own : 0;
  this->others_sum += others - state.others;
  if (!state.reported) this->others_count++;
  state.reported = true;
  state.others = others;
}

void EndpointRouter::OnAttemptStarted(const base::EndpointId& endpoint,
                                      base::Instant now) {
  auto& state = this->states[endpoint];
  state.outstanding++;
  state.sent_at = now;
  this->NoteChange(state, now);
}

void EndpointRouter::OnAttemptEnded(const base::EndpointId& endpoint,
                                    HealthSignal end, base::Duration took,
                                    base::Instant now) {
  auto& state = this->states[endpoint];
  if (state.outstanding > 0) state.outstanding--;
  this->NoteChange(state, now);
  if (end == HealthSignal::kNeutral) return;
  if (end == HealthSignal::kSuccess) {
    state.failures = 0;
    state.ejected_until = {};
    this->mean_time += Scale(took - this->mean_time, kMeanTimeWeight);
    return;
  }
  state.failures++;
  if (state.failures < this->options.failures_to_eject) return;
  state.ejected_until = now + this->options.ejection;
}

void EndpointRouter::OnDraining(const base::EndpointId& endpoint) {
  this->states[endpoint].said_leaving = true;
}

void EndpointRouter::NoteChange(EndpointState& state, base::Instant now) {
  state.changes.push_back({now, state.outstanding});
  if (state.changes.size() > kMaxChanges) state.changes.pop_front();
}

const EndpointRouter::EndpointState* EndpointRouter::Find(
    const base::EndpointId& endpoint) const {
  const auto found = this->states.find(endpoint);
  return found == this->states.end() ? nullptr : &found->second;
}

double EndpointRouter::Others(const EndpointState* state,
                              base::Instant now) const {
  const double mean =
      this->others_count == 0 ? 0 : this->others_sum / this->others_count;
  if (state == nullptr || !state->reported) return mean;
  const auto memory = Scale(this->mean_time, this->options.report_memory);
  const auto age = now - state->reported_at;
  const double weight = std::exp(-static_cast<double>(age.count()) /
                                 static_cast<double>(memory.count() + 1));
  const double above = (state->others - mean) * std::min(1.0, weight);
  // Less than a request is noise, and would undo the even order of equals.
  return std::abs(above) < 1 ? mean : mean + above;
}

double EndpointRouter::Load(const base::EndpointId& endpoint,
                            base::Instant now) const {
  const auto* state = this->Find(endpoint);
  double load = 0;
  if (state != nullptr && this->options.use_own_outstanding) {
    load += state->outstanding;
  }
  if (this->options.use_reports) load += this->Others(state, now);
  return load;
}

base::Duration EndpointRouter::ExpectedWait(const Endpoint& endpoint,
                                            base::Instant now) const {
  const double slots = std::max(1U, endpoint.slots);
  const double load = this->Load(endpoint.id, now);
  const double queued = std::max(0.0, load + 1 - slots);
  const double shared = kSharedSlowdown * std::min(load, slots);
  return Scale(this->mean_time, (queued + shared) / slots);
}

EndpointRouter::Candidate EndpointRouter::MakeCandidate(
    const Endpoint& endpoint, base::Instant now) const {
  const auto* state = this->Find(endpoint.id);
  const auto sent_at = state == nullptr ? base::Instant() : state->sent_at;
  return {&endpoint, this->ExpectedWait(endpoint, now), sent_at};
}

bool EndpointRouter::IsEjected(const base::EndpointId& endpoint,
                               base::Instant now) const {
  const auto* state = this->Find(endpoint);
  return state != nullptr && state->ejected_until > now;
}

bool EndpointRouter::MayTake(const Endpoint& endpoint,
                             const RouteRequest& request) const {
  if (endpoint.draining || endpoint.service != request.service) return false;
  const auto& models = endpoint.models;
  const bool serves =
      request.model.empty() ||
      std::find(models.begin(), models.end(), request.model) != models.end();
  // The look-up of the state last: most endpoints serve another model.
  if (!serves) return false;
  const auto* state = this->Find(endpoint.id);
  return state == nullptr || !state->said_leaving;
}

std::vector<const Endpoint*> EndpointRouter::Eligible(
    const FleetView& view, const RouteRequest& request,
    base::Instant now) const {
  std::vector<const Endpoint*> all;
  std::vector<const Endpoint*> healthy;
  for (const auto& endpoint : view.endpoints) {
    if (!this->MayTake(endpoint, request)) continue;
    all.push_back(&endpoint);
    if (!this->IsEjected(endpoint.id, now)) healthy.push_back(&endpoint);
  }
  // When most seem to fail, the fault is more likely on this side.
  const bool minority = healthy.size() * 2 < all.size() + 1;
  if (this->options.keep_majority && minority) healthy = all;
  std::vector<const Endpoint*> fresh;
  for (const auto* endpoint : healthy) {
    if (!Has(request.avoid, endpoint->id)) fresh.push_back(endpoint);
  }
  return fresh.empty() ? healthy : fresh;
}

EndpointRouter::Candidate EndpointRouter::Sample(
    const std::vector<const Endpoint*>& tier, std::uint64_t seed,
    base::Instant now) const {
  // Least used and longest unused by this VM first: even without reports,
  // arrivals then come evenly. Chance decides among those never used.
  std::vector<Draw> draws;
  draws.reserve(tier.size());
  for (const auto* endpoint : tier) {
    const auto* state = this->Find(endpoint->id);
    Draw draw;
    draw.endpoint = endpoint;
    if (state != nullptr && this->options.use_own_outstanding) {
      draw.outstanding = state->outstanding;
      draw.sent_at = state->sent_at;
    }
    if (draw.sent_at == base::Instant()) {
      draw.chance = base::Hash64(endpoint->id.text, seed);
    }
    draws.push_back(draw);
  }
  const auto count = std::min<std::size_t>(this->options.choices, draws.size());
  std::partial_sort(draws.begin(),
                    draws.begin() + static_cast<std::ptrdiff_t>(count),
                    draws.end());
  Candidate best;
  for (std::size_t i = 0; i < count; ++i) {
    const auto candidate = this->MakeCandidate(*draws[i].endpoint, now);
    if (candidate.IsBetterThan(best)) best = candidate;
  }
  return best;
}

EndpointRouter::Candidate EndpointRouter::Affine(
    const std::vector<const Endpoint*>& tier, std::string_view key,
    base::Instant now) const {
  double total = 0;
  std::vector<std::pair<std::uint64_t, const Endpoint*>> ranked;
  for (const auto* endpoint : tier) {
    total += this->Load(endpoint->id, now);
    ranked.emplace_back(base::RendezvousScore(key, endpoint->id.text),
                        endpoint);
  }
  const auto mean = (total + 1) / static_cast<double>(tier.size());
  const auto bound = std::ceil(this->options.affinity_load_bound * mean);
  const auto probes = std::min(kAffinityProbes, ranked.size());
  std::partial_sort(
      ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(probes),
      ranked.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  for (std::size_t i = 0; i < probes; ++i) {
    const auto* endpoint = ranked[i].second;
    if (this->Load(endpoint->id, now) + 1 > bound) continue;
    return this->MakeCandidate(*endpoint, now);
  }
  return {};
}

base::Duration EndpointRouter::Distance(const Endpoint& endpoint,
                                        const base::Place& own) const {
  switch (TierOf(endpoint, own)) {
    case 0:
      return {};
    case 1:
      return this->options.domain_round_trip;
    default:
      return this->options.region_round_trip;
  }
}

const Endpoint* EndpointRouter::Choose(const FleetView& view,
                                       const RouteRequest& request,
                                       base::Instant now) const {
  std::array<std::vector<const Endpoint*>, kTiers> tiers;
  for (const auto* endpoint : this->Eligible(view, request, now)) {
    tiers[TierOf(*endpoint, view.location)].push_back(endpoint);
  }
  Candidate best;
  for (const auto& tier : tiers) {
    if (tier.empty()) continue;
    auto candidate = this->Sample(tier, request.seed, now);
    if (!request.affinity_key.empty()) {
      const auto affine = this->Affine(tier, request.affinity_key, now);
      const auto gained = affine.cost - this->options.affinity_gain;
      if (affine.endpoint != nullptr && gained < candidate.cost) {
        candidate = affine;
        candidate.cost = gained;
      }
    }
    candidate.cost += this->Distance(*candidate.endpoint, view.location);
    if (best.endpoint == nullptr || candidate.cost < best.cost) {
      best = candidate;
    }
  }
  return best.endpoint;
}

}  // namespace gypsumtrack::policy
