#include "gypsumtrack/policy/serving/stream_versions.h"

#include <algorithm>
#include <utility>

namespace gypsumtrack::policy {
namespace {

/// Returns the version with the most endpoints that accept requests.
/// Precondition: `counts` isn't empty.
const std::string& LargestVersion(const VersionCounts& counts) {
  return std::max_element(counts.begin(), counts.end(),
                          [](const auto& a, const auto& b) {
                            return a.second.accepting < b.second.accepting;
                          })
      ->first;
}

}  // namespace

bool IsCurrentEndpointList(base::Instant read_at, base::Instant now) {
  return now - read_at <= kMaxEndpointListAge;
}

void DefaultVersions::ApplyRow(const base::Service& service,
                               const std::string& version,
                               std::uint64_t row_version) {
  this->rows[service] = {version, row_version};
}

void DefaultVersions::ApplyRemoval(const base::Service& service) {
  this->rows.erase(service);
}

void DefaultVersions::ForgetRows() { this->rows.clear(); }

void DefaultVersions::Observe(const base::Service& service,
                              const VersionCounts& counts,
                              base::Duration stream_lifetime,
                              base::Instant now) {
  const auto [at, is_new] = this->services.try_emplace(service);
  auto& state = at->second;
  if (is_new) state.unseen_streams_end_at = now + stream_lifetime;
  state.counts = counts;
  for (const auto& [version, count] : counts) {
    state.streams_end_at[version] = now + stream_lifetime;
  }
  std::erase_if(state.streams_end_at,
                [&](const auto& each) { return each.second <= now; });
}

void DefaultVersions::OnEndpointsRead(base::Instant read_at,
                                      base::Duration stream_lifetime,
                                      base::Instant now) {
  const auto before = std::exchange(this->endpoints_read_at, read_at);
  if (IsCurrentEndpointList(before, read_at)) return;
  for (auto& [service, state] : this->services)
    state.unseen_streams_end_at = now + stream_lifetime;
}

std::optional<std::string> DefaultVersions::Find(
    const base::Service& service) const {
  const auto found = this->rows.find(service);
  if (found == this->rows.end()) return std::nullopt;
  return found->second.version;
}

std::optional<DefaultVersionChange> DefaultVersions::DueChange(
    const base::Service& service, base::Instant now) const {
  const auto observed = this->services.find(service);
  if (observed == this->services.end()) return std::nullopt;
  const auto& state = observed->second;
  if (state.counts.empty()) return std::nullopt;
  const auto& largest = LargestVersion(state.counts);
  const auto row = this->rows.find(service);
  if (row == this->rows.end()) return DefaultVersionChange{largest, 0};
  const bool may_continue = now < state.unseen_streams_end_at ||
                            state.streams_end_at.contains(row->second.version);
  if (may_continue) return std::nullopt;
  return DefaultVersionChange{largest, row->second.row_version};
}

std::optional<std::string> DefaultVersions::SoleVersion(
    const base::Service& service, base::Instant now) const {
  const auto observed = this->services.find(service);
  if (observed == this->services.end()) return std::nullopt;
  const auto& state = observed->second;
  const bool is_certain =
      now >= state.unseen_streams_end_at && state.streams_end_at.size() == 1;
  if (!is_certain) return std::nullopt;
  return state.streams_end_at.begin()->first;
}

}  // namespace gypsumtrack::policy
