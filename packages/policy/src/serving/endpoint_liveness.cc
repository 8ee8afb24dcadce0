#include "gypsumtrack/policy/serving/endpoint_liveness.h"

#include <algorithm>
#include <set>

namespace gypsumtrack::policy {

EndpointLiveness::EndpointLiveness(EndpointLivenessOptions liveness_options)
    : options(liveness_options) {}

void EndpointLiveness::OnRead(const EndpointRowsRead& read, base::Instant now) {
  this->store_recovered_at = read.store_recovered_at;
  if (read.is_snapshot) this->RemoveMissing(read, now);
  for (const auto& id : read.removed) this->ApplyRemoval(id, now);
  for (const auto& row : read.written) this->ApplyRow(row, now);
  for (auto& [endpoint, watched] : this->watches) {
    const bool is_later = read.sent_at >= watched.lost_at;
    if (is_later && !watched.baseline) watched.baseline = read.as_of;
  }
}

void EndpointLiveness::RemoveMissing(const EndpointRowsRead& snapshot,
                                     base::Instant now) {
  std::set<base::EndpointId> missing;
  for (const auto& [id, incarnation] : this->listed) missing.insert(id);
  for (const auto& row : snapshot.written) missing.erase(row.id);
  for (const auto& id : missing) this->ApplyRemoval(id, now);
}

void EndpointLiveness::ApplyRemoval(const base::EndpointId& id,
                                    base::Instant now) {
  this->listed.erase(id);
  for (auto& [endpoint, watched] : this->watches) {
    if (endpoint.id == id && !watched.removed_at) watched.removed_at = now;
  }
}

void EndpointLiveness::ApplyRow(const EndpointRow& row, base::Instant now) {
  // A row that can't be read is another writer's.
  if (!row.incarnation) return;
  this->listed[row.id] = *row.incarnation;
  for (auto& [endpoint, watched] : this->watches) {
    if (endpoint.id != row.id || watched.decided) continue;
    if (endpoint.incarnation != *row.incarnation) {
      watched.decided = Liveness::kEnded;
      continue;
    }
    watched.removed_at.reset();
    watched.last_renewed_at = now;
    const bool is_later = watched.baseline && row.version > *watched.baseline;
    if (is_later) watched.decided = Liveness::kAlive;
  }
}

void EndpointLiveness::Watch(const EndpointIncarnation& endpoint,
                             base::Instant lost_at) {
  const auto [at, is_new] = this->watches.try_emplace(endpoint);
  auto& watched = at->second;
  watched.lost_at = lost_at;
  watched.expires_at = lost_at + this->options.max_watch_time;
  watched.baseline.reset();
  if (!is_new) return;
  watched.last_renewed_at = lost_at;
  const auto found = this->listed.find(endpoint.id);
  if (found == this->listed.end()) {
    watched.removed_at = lost_at;
  } else if (found->second != endpoint.incarnation) {
    watched.decided = Liveness::kEnded;
  }
}

std::optional<Liveness> EndpointLiveness::JudgeRemoval(
    const Watched& watched, base::Instant now) const {
  // Rows of live endpoints expire as well while the store is down.
  if (this->store_recovered_at > watched.lost_at) {
    const auto back_by =
        this->store_recovered_at + this->options.missing_row_grace_period;
    return now >= back_by ? std::optional(Liveness::kEnded) : std::nullopt;
  }
  const auto silent_for = std::chrono::duration<double, std::micro>(
      *watched.removed_at - watched.last_renewed_at);
  const auto min_silence =
      this->options.min_silent_periods * this->options.heartbeat_period;
  return silent_for >= min_silence ? Liveness::kEnded : Liveness::kUnknown;
}

std::vector<LivenessVerdict> EndpointLiveness::TakeVerdicts(base::Instant now) {
  std::vector<LivenessVerdict> verdicts;
  for (auto& [endpoint, watched] : this->watches) {
    if (!watched.decided && watched.removed_at)
      watched.decided = this->JudgeRemoval(watched, now);
    if (!watched.decided && now >= watched.expires_at)
      watched.decided = Liveness::kUnknown;
    if (watched.decided) verdicts.push_back({endpoint, *watched.decided});
  }
  for (const auto& verdict : verdicts) this->watches.erase(verdict.endpoint);
  return verdicts;
}

}  // namespace gypsumtrack::policy
