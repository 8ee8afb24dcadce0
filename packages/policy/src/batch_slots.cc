#include "gypsumtrack/policy/batch_slots.h"

#include <algorithm>
#include <cmath>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

/// Whether this VM has the highest score of its domain's live VMs.
bool IsOwner(const FleetView& view, const Endpoint& endpoint) {
  return endpoint.location.domain == view.location.domain &&
         BatchSlots::OwnerOf(view, endpoint) == nullptr;
}

}  // namespace

BatchSlots::BatchSlots(SlotOptions slot_options) : options(slot_options) {}

void BatchSlots::SetFleet(const FleetView& view) {
  std::map<base::EndpointId, State> next;
  for (const auto& endpoint : view.endpoints) {
    if (endpoint.draining || !IsOwner(view, endpoint)) continue;
    const auto before = this->owned.find(endpoint.id);
    State state;
    if (before != this->owned.end()) state = std::move(before->second);
    state.endpoint = endpoint;
    next.emplace(endpoint.id, std::move(state));
  }
  this->owned = std::move(next);
}

std::uint32_t BatchSlots::BatchAt(const State& state,
                                  base::Instant when) const {
  std::uint32_t count = 0;
  for (const auto& entry : state.batch_before) {
    if (entry.at > when) break;
    count = entry.count;
  }
  return count;
}

void BatchSlots::Observe(base::Instant now, const LoadSample& sample) {
  const auto found = this->owned.find(sample.endpoint);
  if (found == this->owned.end()) return;
  auto& state = found->second;
  const auto oldest = now - this->options.window;
  if (state.batch_before.empty() ||
      state.batch_before.back().count != sample.own_batch) {
    state.batch_before.push_back({now, sample.own_batch});
  }
  while (state.batch_before.size() > 1 && state.batch_before[1].at < oldest) {
    state.batch_before.pop_front();
  }
  while (!state.peaks.empty() && state.peaks.front().at < oldest) {
    state.peaks.pop_front();
  }
  std::uint32_t online = sample.own_online + sample.peer_online;
  if (sample.reported_at != state.last.reported_at) {
    const auto batch = this->BatchAt(state, sample.reported_at);
    const auto running = sample.reported_running;
    state.reported_online = running > batch ? running - batch : 0;
    online = std::max(online, state.reported_online);
    // A few always wait for the engine's next step; only a full one is late.
    if (sample.reported_waiting > 0 && running >= state.endpoint.slots) {
      state.held_until = now + this->options.hold;
    }
  }
  while (!state.peaks.empty() && state.peaks.back().online <= online) {
    state.peaks.pop_back();
  }
  state.peaks.push_back({now, online});
  state.last = sample;
}

double BatchSlots::Online(const State& state) const {
  if (state.last.peers_known) {
    // Half of the report's surplus: it covers lost notices, and errs by the
    // batch items that came or went since.
    const auto told = state.last.own_online + state.last.peer_online;
    const auto surplus =
        state.reported_online > told ? state.reported_online - told : 0;
    const auto half = surplus / 2;
    return told + half;
  }
  const double peak = state.peaks.empty() ? 0 : state.peaks.front().online;
  return std::ceil(peak * (1 + this->options.burst_room));
}

bool BatchSlots::Blocked(const State& state, base::Instant now) const {
  if (now < state.held_until) return true;
  const bool reported = state.last.reported_at != base::Instant{};
  return reported && now - state.last.reported_at > this->options.report_lapse;
}

std::vector<BatchCapacity> BatchSlots::Capacity(base::Instant now) {
  std::vector<BatchCapacity> capacity;
  for (auto& [id, state] : this->owned) {
    const double slots = state.endpoint.slots;
    const double idle =
        this->Blocked(state, now) ? 0 : slots - this->Online(state);
    const auto part = [idle, slots](double spare) {
      const double rest = idle - std::ceil(slots * spare);
      return rest <= 0 ? 0U : static_cast<std::uint32_t>(rest);
    };
    state.granted = std::min(state.granted, part(this->options.least_spare));
    state.granted = std::max(state.granted, part(this->options.spare));
    BatchCapacity offer;
    offer.endpoint = id;
    offer.service = state.endpoint.service;
    offer.models = state.endpoint.models;
    offer.slots = state.granted;
    capacity.push_back(std::move(offer));
  }
  return capacity;
}

const PeerVm* BatchSlots::OwnerOf(const FleetView& view,
                                  const Endpoint& endpoint) {
  if (endpoint.location.domain != view.location.domain) return nullptr;
  const auto& key = endpoint.id.text;
  auto best = base::RendezvousScore(key, view.self.name);
  const PeerVm* owner = nullptr;
  for (const auto& peer : view.peers) {
    if (peer.location.domain != view.location.domain) continue;
    if (peer.state != PeerState::kLive) continue;
    const auto score = base::RendezvousScore(key, peer.id.name);
    if (score <= best) continue;
    best = score;
    owner = &peer;
  }
  return owner;
}

bool BatchSlots::Owns(const base::EndpointId& endpoint) const {
  return this->owned.count(endpoint) != 0;
}

}  // namespace gypsumtrack::policy
