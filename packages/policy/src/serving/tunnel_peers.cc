#include "gypsumtrack/policy/serving/tunnel_peers.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gypsumtrack::policy {
namespace {

/// How far a peer is away.
enum class Distance { kSameDomain, kSameRegion, kOtherRegion };

Distance DistanceBetween(const base::Location& a, const base::Location& b) {
  if (a.domain == b.domain) return Distance::kSameDomain;
  return a.region == b.region ? Distance::kSameRegion : Distance::kOtherRegion;
}

}  // namespace

TunnelPeers::TunnelPeers(TunnelPeersOptions peers_options)
    : options(peers_options) {}

void TunnelPeers::SetPeers(const std::vector<TunnelPeer>& peers) {
  std::set<std::string> names;
  for (const auto& peer : peers) {
    names.insert(peer.name);
    this->states[peer.name].peer = peer;
  }
  std::erase_if(this->states,
                [&](const auto& each) { return !names.contains(each.first); });
}

bool TunnelPeers::OnOffer(const std::string& name, bool opens_tunnels,
                          std::uint32_t requests, base::Instant now) {
  const auto found = this->states.find(name);
  if (found == this->states.end()) return false;
  auto& state = found->second;
  const bool has_ceased = state.opens_tunnels && !opens_tunnels;
  state.opens_tunnels = opens_tunnels;
  state.requests = requests;
  state.heard_at = now;
  return has_ceased;
}

void TunnelPeers::OnFailed(const std::string& name, base::Instant now) {
  const auto found = this->states.find(name);
  if (found == this->states.end()) return;
  found->second.avoided_until = now + this->options.backoff;
}

void TunnelPeers::OnDoubted(const std::string& name, base::Instant now) {
  const auto found = this->states.find(name);
  if (found == this->states.end()) return;
  found->second.doubted_until = now + this->options.backoff;
  if (this->chosen == name) this->chosen.clear();
}

bool TunnelPeers::IsUsable(const State& state, base::Instant now) const {
  return state.opens_tunnels && now >= state.avoided_until &&
         now - state.heard_at <= this->options.offer_max_age;
}

std::optional<TunnelPeer> TunnelPeers::Choose(const base::Location& from,
                                              std::uint64_t random,
                                              base::Instant now) {
  const auto kept = this->states.find(this->chosen);
  const bool is_kept = kept != this->states.end() && now < this->chosen_until &&
                       this->IsUsable(kept->second, now);
  if (is_kept) return kept->second.peer;
  const auto nearest = this->Nearest(from, now);
  if (nearest.empty()) return std::nullopt;
  const auto count = nearest.size();
  const auto* first = nearest[random % count];
  const auto* second = nearest[random / count % count];
  const auto busyness = [](const State& state) {
    return (state.requests + 1) / state.peer.cores;
  };
  const auto& best = busyness(*second) < busyness(*first) ? *second : *first;
  this->chosen = best.peer.name;
  this->chosen_until = now + this->options.choice_period;
  return best.peer;
}

std::vector<const TunnelPeers::State*> TunnelPeers::Nearest(
    const base::Location& from, base::Instant now) const {
  std::vector<const State*> nearest;
  std::pair nearest_rank(true, Distance::kOtherRegion);
  for (const auto& [name, state] : this->states) {
    if (!this->IsUsable(state, now)) continue;
    const std::pair rank(now < state.doubted_until,
                         DistanceBetween(from, state.peer.location));
    if (rank > nearest_rank) continue;
    if (rank < nearest_rank) nearest.clear();
    nearest_rank = rank;
    nearest.push_back(&state);
  }
  return nearest;
}

std::size_t TunnelPeers::CountUsable(base::Instant now) const {
  return static_cast<std::size_t>(std::count_if(
      this->states.begin(), this->states.end(),
      [&](const auto& each) { return this->IsUsable(each.second, now); }));
}

}  // namespace gypsumtrack::policy
