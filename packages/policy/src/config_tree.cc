#include "gypsumtrack/policy/config_tree.h"

#include <algorithm>
#include <utility>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

using Members = std::map<base::FailureDomain, std::vector<std::string>>;

Members MembersInState(const FleetView& view, PeerState state) {
  Members found;
  for (const auto& peer : view.peers) {
    if (peer.state != state) continue;
    found[peer.location.domain].push_back(peer.id.name);
  }
  return found;
}

}  // namespace

std::vector<std::string> RankByRendezvous(std::string_view key,
                                          std::vector<std::string> names) {
  std::vector<std::pair<std::uint64_t, std::string>> scored;
  scored.reserve(names.size());
  for (auto& name : names) {
    const auto score = base::RendezvousScore(key, name);
    scored.emplace_back(score, std::move(name));
  }
  std::sort(scored.rbegin(), scored.rend());
  names.clear();
  for (auto& [score, name] : scored) names.push_back(std::move(name));
  return names;
}

ConfigTree::ConfigTree(const FleetView& view, std::uint32_t fan_out)
    : name(view.self.name),
      own(view.location.domain),
      members(MembersInState(view, PeerState::kLive)) {
  auto suspects = MembersInState(view, PeerState::kSuspect);
  this->near = this->members[this->own];
  const auto& doubtful = suspects[this->own];
  this->near.insert(this->near.end(), doubtful.begin(), doubtful.end());
  this->members[this->own].push_back(this->name);
  // insert() leaves domains alone that have a live VM.
  this->members.insert(suspects.begin(), suspects.end());
  for (auto& [place, names] : this->members) {
    names = RankByRendezvous(place.text, std::move(names));
    if (place != this->own) this->roots.push_back(names.front());
  }
  const auto& ranked = this->members[this->own];
  const auto found = std::find(ranked.begin(), ranked.end(), this->name);
  this->rank = static_cast<std::size_t>(found - ranked.begin());
  if (this->rank > 0) this->above = ranked[(this->rank - 1) / fan_out];
  const auto first = this->rank * fan_out + 1;
  for (auto i = first; i < first + fan_out && i < ranked.size(); ++i) {
    this->below.push_back(ranked[i]);
  }
}

std::vector<std::string> ConfigTree::LiveNeighbours() const {
  const auto found = this->members.find(this->own);
  if (found == this->members.end()) return {};
  auto names = found->second;
  std::erase(names, this->name);
  return names;
}

bool ConfigTree::IsChild(const std::string& vm) const {
  return std::find(this->below.begin(), this->below.end(), vm) !=
         this->below.end();
}

}  // namespace gypsumtrack::policy
