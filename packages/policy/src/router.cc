#include "gypsumtrack/policy/router.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>
#include <unordered_set>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

/// Weight of a new sample in the moving average of the service time.
constexpr double kServiceTimeWeight = 0.05;
/// Bounds the memory used per endpoint that sends no load reports.
constexpr std::size_t kMaxOutstandingChanges = 4096;
/// Own failure domain, own region, other regions.
constexpr std::size_t kTierCount = 3;
/// Concurrent requests slow each other down: each one, up to the number of
/// slots, adds this fraction of (mean service time / slots) to the expected
/// wait.
constexpr double kSharedSlowdown = 0.3;
/// Endpoints tried for a prefix, in the order of their rendezvous scores.
constexpr std::size_t kAffinityProbes = 3;

base::Duration Scale(base::Duration duration, double factor) {
  return std::chrono::duration_cast<base::Duration>(duration * factor);
}

bool Contains(const std::vector<base::EndpointId>& ids,
              const base::EndpointId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/// Sort key by which endpoints become candidates.
struct LoadRank {
  std::uint32_t outstanding = 0;
  base::Instant last_attempt_at{};
  std::uint64_t tie_breaker = 0;
  const Endpoint* endpoint = nullptr;

  bool operator<(const LoadRank& other) const {
    return std::tie(this->outstanding, this->last_attempt_at,
                    this->tie_breaker) < std::tie(other.outstanding,
                                                  other.last_attempt_at,
                                                  other.tie_breaker);
  }
};

std::size_t TierOf(const Endpoint& endpoint, const base::Location& own) {
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
    if (!state.reported_draining) continue;
    if (live.count(id) == 0) {
      state.seen_unavailable = true;
    } else if (state.seen_unavailable) {
      state.reported_draining = state.seen_unavailable = false;
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
  if (!state.reported) this->reported_count++;
  state.reported = true;
  state.others = others;
}

void EndpointRouter::OnAttemptStarted(const base::EndpointId& endpoint,
                                      base::Instant now) {
  auto& state = this->states[endpoint];
  state.outstanding++;
  state.last_attempt_at = now;
  this->RecordOutstanding(state, now);
}

void EndpointRouter::OnAttemptEnded(const base::EndpointId& endpoint,
                                    HealthSignal signal,
                                    base::Duration duration,
                                    base::Instant now) {
  auto& state = this->states[endpoint];
  if (state.outstanding > 0) state.outstanding--;
  this->RecordOutstanding(state, now);
  if (signal == HealthSignal::kNeutral) return;
  if (signal == HealthSignal::kSuccess) {
    state.failures = 0;
    state.ejected_until = {};
    this->mean_time += Scale(duration - this->mean_time, kServiceTimeWeight);
    return;
  }
  state.failures++;
  if (state.failures < this->options.failures_to_eject) return;
  state.ejected_until = now + this->options.ejection_duration;
}

void EndpointRouter::OnDraining(const base::EndpointId& endpoint) {
  this->states[endpoint].reported_draining = true;
}

void EndpointRouter::RecordOutstanding(EndpointState& state,
                                       base::Instant now) {
  state.changes.push_back({now, state.outstanding});
  if (state.changes.size() > kMaxOutstandingChanges) state.changes.pop_front();
}

const EndpointRouter::EndpointState* EndpointRouter::Find(
    const base::EndpointId& endpoint) const {
  const auto found = this->states.find(endpoint);
  return found == this->states.end() ? nullptr : &found->second;
}

double EndpointRouter::LoadOfOthers(const EndpointState* state,
                                    base::Instant now) const {
  const double mean =
      this->reported_count == 0 ? 0 : this->others_sum / this->reported_count;
  if (state == nullptr || !state->reported) return mean;
  const auto decay = Scale(this->mean_time, this->options.report_decay);
  const auto age = now - state->reported_at;
  const double weight = std::exp(-static_cast<double>(age.count()) /
                                 static_cast<double>(decay.count() + 1));
  const double excess = (state->others - mean) * std::min(1.0, weight);
  // A deviation of less than one request is noise, and would override the
  // least-recently-used order between equally loaded endpoints.
  return std::abs(excess) < 1 ? mean : mean + excess;
}

double EndpointRouter::Load(const base::EndpointId& endpoint,
                            base::Instant now) const {
  const auto* state = this->Find(endpoint);
  double load = 0;
  if (state != nullptr && this->options.use_own_outstanding) {
    load += state->outstanding;
  }
  if (this->options.use_reports) load += this->LoadOfOthers(state, now);
  return load;
}

base::Duration EndpointRouter::ExpectedWait(const Endpoint& endpoint,
                                            base::Instant now) const {
  const double slots = std::max(1U, endpoint.slots);
  const double load = this->Load(endpoint.id, now);
  const double queued = std::max(0.0, load + 1 - slots);
  const double slowdown = kSharedSlowdown * std::min(load, slots);
  return Scale(this->mean_time, (queued + slowdown) / slots);
}

EndpointRouter::Candidate EndpointRouter::MakeCandidate(
    const Endpoint& endpoint, base::Instant now) const {
  const auto* state = this->Find(endpoint.id);
  const auto last_attempt_at =
      state == nullptr ? base::Instant() : state->last_attempt_at;
  return {&endpoint, this->ExpectedWait(endpoint, now), last_attempt_at};
}

bool EndpointRouter::IsEjected(const base::EndpointId& endpoint,
                               base::Instant now) const {
  const auto* state = this->Find(endpoint);
  return state != nullptr && state->ejected_until > now;
}

bool EndpointRouter::CanServe(const Endpoint& endpoint,
                              const RouteRequest& request) const {
  if (endpoint.draining || endpoint.service != request.service) return false;
  const auto& models = endpoint.models;
  const bool serves_model =
      request.model.empty() ||
      std::find(models.begin(), models.end(), request.model) != models.end();
  // The state is looked up last, since most endpoints serve another model.
  if (!serves_model) return false;
  const auto* state = this->Find(endpoint.id);
  return state == nullptr || !state->reported_draining;
}

std::vector<const Endpoint*> EndpointRouter::EligibleEndpoints(
    const FleetView& view, const RouteRequest& request,
    base::Instant now) const {
  std::vector<const Endpoint*> all;
  std::vector<const Endpoint*> healthy;
  for (const auto& endpoint : view.endpoints) {
    if (!this->CanServe(endpoint, request)) continue;
    all.push_back(&endpoint);
    if (!this->IsEjected(endpoint.id, now)) healthy.push_back(&endpoint);
  }
  // If at least half of the endpoints seem to fail, the fault is more likely on
  // this VM.
  const bool half_ejected = healthy.size() * 2 < all.size() + 1;
  if (this->options.limit_ejections && half_ejected) healthy = all;
  std::vector<const Endpoint*> untried;
  for (const auto* endpoint : healthy) {
    if (!Contains(request.avoid, endpoint->id)) untried.push_back(endpoint);
  }
  return untried.empty() ? healthy : untried;
}

EndpointRouter::Candidate EndpointRouter::ChooseByLoad(
    const std::vector<const Endpoint*>& tier, std::uint64_t seed,
    base::Instant now) const {
  // Orders by the fewest outstanding requests, then by the least recent use by
  // this VM, so that requests arrive evenly even without load reports.
  // Endpoints that were never used are in pseudo-random order.
  std::vector<LoadRank> ranked;
  ranked.reserve(tier.size());
  for (const auto* endpoint : tier) {
    const auto* state = this->Find(endpoint->id);
    LoadRank rank;
    rank.endpoint = endpoint;
    if (state != nullptr && this->options.use_own_outstanding) {
      rank.outstanding = state->outstanding;
      rank.last_attempt_at = state->last_attempt_at;
    }
    if (rank.last_attempt_at == base::Instant()) {
      rank.tie_breaker = base::Hash64(endpoint->id.text, seed);
    }
    ranked.push_back(rank);
  }
  const auto count =
      std::min<std::size_t>(this->options.candidates_per_tier, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end());
  Candidate best;
  for (std::size_t i = 0; i < count; ++i) {
    const auto candidate = this->MakeCandidate(*ranked[i].endpoint, now);
    if (candidate.IsBetterThan(best)) best = candidate;
  }
  return best;
}

EndpointRouter::Candidate EndpointRouter::ChooseByAffinity(
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

base::Duration EndpointRouter::RoundTripTo(const Endpoint& endpoint,
                                           const base::Location& own) const {
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
  std::array<std::vector<const Endpoint*>, kTierCount> tiers;
  for (const auto* endpoint : this->EligibleEndpoints(view, request, now)) {
    tiers[TierOf(*endpoint, view.location)].push_back(endpoint);
  }
  Candidate best;
  for (const auto& tier : tiers) {
    if (tier.empty()) continue;
    auto candidate = this->ChooseByLoad(tier, request.seed, now);
    if (!request.affinity_key.empty()) {
      const auto affine =
          this->ChooseByAffinity(tier, request.affinity_key, now);
      const auto discounted = affine.cost - this->options.affinity_gain;
      if (affine.endpoint != nullptr && discounted < candidate.cost) {
        candidate = affine;
        candidate.cost = discounted;
      }
    }
    candidate.cost += this->RoundTripTo(*candidate.endpoint, view.location);
    if (best.endpoint == nullptr || candidate.cost < best.cost) {
      best = candidate;
    }
  }
  return best.endpoint;
}

}  // namespace gypsumtrack::policy
