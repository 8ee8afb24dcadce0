#include "gypsumtrack/policy/batch_slots.h"

#include <algorithm>
#include <cmath>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

/// Returns whether this VM owns the endpoint's batch slots.
bool IsOwner(const FleetView& view, const Endpoint& endpoint) {
  return endpoint.location.domain == view.location.domain &&
         BatchSlots::OwnerOf(view, endpoint) == nullptr;
}

}  // namespace

BatchSlots::BatchSlots(SlotOptions slot_options) : options(slot_options) {}

void BatchSlots::SetFleet(const FleetView& view) {
  std::map<base::EndpointId, EndpointState> next_owned;
  for (const auto& endpoint : view.endpoints) {
    if (endpoint.draining || !IsOwner(view, endpoint)) continue;
    const auto previous = this->owned.find(endpoint.id);
    EndpointState state;
    if (previous != this->owned.end()) state = std::move(previous->second);
    state.endpoint = endpoint;
    next_owned.emplace(endpoint.id, std::move(state));
  }
  this->owned = std::move(next_owned);
}

std::uint32_t BatchSlots::BatchCountAt(const EndpointState& state,
                                       base::Instant time) const {
  std::uint32_t count = 0;
  for (const auto& entry : state.batch_counts) {
    if (entry.at > time) break;
    count = entry.count;
  }
  return count;
}

void BatchSlots::Observe(base::Instant now, const LoadSample& sample) {
  const auto found = this->owned.find(sample.endpoint);
  if (found == this->owned.end()) return;
  auto& state = found->second;
  const auto oldest = now - this->options.peak_window;
  if (state.batch_counts.empty() ||
      state.batch_counts.back().count != sample.own_batch) {
    state.batch_counts.push_back({now, sample.own_batch});
  }
  while (state.batch_counts.size() > 1 && state.batch_counts[1].at < oldest) {
    state.batch_counts.pop_front();
  }
  while (!state.online_peaks.empty() &&
         state.online_peaks.front().at < oldest) {
    state.online_peaks.pop_front();
  }
  std::uint32_t online = sample.own_online + sample.peer_online;
  if (sample.reported_at != state.last_sample.reported_at) {
    const auto batch = this->BatchCountAt(state, sample.reported_at);
    const auto running = sample.reported_running;
    state.reported_online = running > batch ? running - batch : 0;
    online = std::max(online, state.reported_online);
    // A few requests always wait for the inference engine's next step, so
    // waiting requests count only if all slots are in use.
    if (sample.reported_waiting > 0 && running >= state.endpoint.slots) {
      state.blocked_until = now + this->options.yield_duration;
    }
  }
  while (!state.online_peaks.empty() &&
         state.online_peaks.back().online <= online) {
    state.online_peaks.pop_back();
  }
  state.online_peaks.push_back({now, online});
  state.last_sample = sample;
}

double BatchSlots::EstimatedOnline(const EndpointState& state) const {
  if (state.last_sample.peers_known) {
    // Adds half of the reported requests that no daemon counts. They may be
    // online requests whose notice was lost, or batch items that started or
    // ended since the report.
    const auto known =
        state.last_sample.own_online + state.last_sample.peer_online;
    const auto uncounted =
        state.reported_online > known ? state.reported_online - known : 0;
    const auto half_uncounted = uncounted / 2;
    return known + half_uncounted;
  }
  const double peak =
      state.online_peaks.empty() ? 0 : state.online_peaks.front().online;
  return std::ceil(peak * (1 + this->options.burst_fraction));
}

bool BatchSlots::IsBlocked(const EndpointState& state,
                           base::Instant now) const {
  if (now < state.blocked_until) return true;
  const bool reported = state.last_sample.reported_at != base::Instant{};
  return reported &&
         now - state.last_sample.reported_at > this->options.max_report_age;
}

std::vector<BatchCapacity> BatchSlots::Capacity(base::Instant now) {
  std::vector<BatchCapacity> capacity;
  for (auto& [id, state] : this->owned) {
    const double slots = state.endpoint.slots;
    const double idle =
        this->IsBlocked(state, now) ? 0 : slots - this->EstimatedOnline(state);
    const auto slots_above_spare = [idle, slots](double spare) {
      const double available = idle - std::ceil(slots * spare);
      return available <= 0 ? 0U : static_cast<std::uint32_t>(available);
    };
    // Hysteresis: slots are taken back only to keep the smaller spare fraction
    // free, and added only while the larger one stays free.
    state.granted_slots =
        std::min(state.granted_slots,
                 slots_above_spare(this->options.min_spare_fraction));
    state.granted_slots = std::max(
        state.granted_slots, slots_above_spare(this->options.spare_fraction));
    BatchCapacity offer;
    offer.endpoint = id;
    offer.service = state.endpoint.service;
    offer.models = state.endpoint.models;
    offer.slots = state.granted_slots;
    capacity.push_back(std::move(offer));
  }
  return capacity;
}

const PeerVm* BatchSlots::OwnerOf(const FleetView& view,
                                  const Endpoint& endpoint) {
  if (endpoint.location.domain != view.location.domain) return nullptr;
  const auto& key = endpoint.id.text;
  auto best_score = base::RendezvousScore(key, view.self.name);
  const PeerVm* owner = nullptr;
  for (const auto& peer : view.peers) {
    if (peer.location.domain != view.location.domain) continue;
    if (peer.state != PeerState::kLive) continue;
    const auto score = base::RendezvousScore(key, peer.id.name);
    if (score <= best_score) continue;
    best_score = score;
    owner = &peer;
  }
  return owner;
}

bool BatchSlots::Owns(const base::EndpointId& endpoint) const {
  return this->owned.count(endpoint) != 0;
}

}  // namespace gypsumtrack::policy
