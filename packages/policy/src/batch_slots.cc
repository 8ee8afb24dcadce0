#include "gypsumtrack/policy/batch_slots.h"

#include <algorithm>
#include <cmath>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

/// Whether `self` has the highest score of its domain's live VMs.
bool IsOwner(const FleetView& view, const Endpoint& endpoint) {
  if (endpoint.place.domain != view.place.domain) return false;
  const auto& key = endpoint.id.text;
  const auto own = base::RendezvousScore(key, view.self.name);
  return std::none_of(view.peers.begin(), view.peers.end(),
                      [&](const PeerVm& peer) {
                        return peer.place.domain == view.place.domain &&
                               peer.state == PeerState::kLive &&
                               peer.id.name != view.self.name &&
                               base::RendezvousScore(key, peer.id.name) > own;
                      });
}

}  // namespace

BatchSlots::BatchSlots(SlotOptions slot_options) : options(slot_options) {}

void BatchSlots::SetFleet(const FleetView& view) {
  std::map<base::EndpointId, State> next;
  for (const auto& endpoint : view.endpoints) {
    if (endpoint.leaving || !IsOwner(view, endpoint)) continue;
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
  std::uint32_t online = sample.own_online;
  if (sample.reported_at != state.last.reported_at) {
    const auto batch = this->BatchAt(state, sample.reported_at);
    const auto running = sample.reported_running;
    online = std::max(online, running > batch ? running - batch : 0);
    if (sample.reported_waiting > 0) {
      state.held_until = now + this->options.hold;
    }
  }
  while (!state.peaks.empty() && state.peaks.back().online <= online) {
    state.peaks.pop_back();
  }
  state.peaks.push_back({now, online});
  state.last = sample;
}

std::uint32_t BatchSlots::Target(const State& state, base::Instant now) const {
  const auto slots = state.endpoint.slots;
  if (now < state.held_until) return 0;
  const bool reported = state.last.reported_at != base::Instant{};
  if (reported && now - state.last.reported_at > this->options.report_lapse) {
    return 0;
  }
  const double online = state.peaks.empty() ? 0 : state.peaks.front().online;
  const double room = std::ceil(slots * this->options.spare_share) +
                      std::ceil(online * (1 + this->options.burst_room));
  return room >= slots ? 0 : slots - static_cast<std::uint32_t>(room);
}

std::vector<BatchCapacity> BatchSlots::Capacity(base::Instant now) {
  std::vector<BatchCapacity> capacity;
  for (auto& [id, state] : this->owned) {
    const auto target = this->Target(state, now);
    if (target <= state.granted) {
      state.granted = target;
    } else if (now >= state.grow_at) {
      ++state.granted;
      state.grow_at = now + this->options.grow_every;
    }
    BatchCapacity offer;
    offer.endpoint = id;
    offer.service = state.endpoint.service;
    offer.models = state.endpoint.models;
    offer.slots = state.granted;
    capacity.push_back(std::move(offer));
  }
  return capacity;
}

bool BatchSlots::Owns(const base::EndpointId& endpoint) const {
  return this->owned.count(endpoint) != 0;
}

}  // namespace gypsumtrack::policy
