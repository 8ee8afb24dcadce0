#include "gypsumtrack/policy/serving/job_owners.h"

#include <algorithm>
#include <utility>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

/// A row may state an owner that doesn't run the job yet, because the response
/// to its commit hasn't arrived, or one whose registration hasn't been read
/// yet. The job counts as an orphan only after this time.
constexpr base::Duration kNewRowGracePeriod = std::chrono::milliseconds(1500);

}  // namespace

bool RanksFirst(const base::VmId& daemon, const std::string& name,
                const std::vector<base::VmId>& candidates) {
  const auto score = [&](const base::VmId& vm) {
    return base::RendezvousScore(name, vm.name);
  };
  const auto best = std::max_element(
      candidates.begin(), candidates.end(),
      [&](const auto& a, const auto& b) { return score(a) < score(b); });
  return best != candidates.end() && *best == daemon;
}

JobOwners::JobOwners(base::VmId self_id) : self(std::move(self_id)) {}

std::optional<JobLossReason> JobOwners::OnAcquired(const JobKey& key,
                                                   std::uint64_t version,
                                                   base::Instant now) {
  const auto found = this->rows.find(key);
  const bool is_cached = found != this->rows.end();
  const bool is_removed = !is_cached && version <= this->applied_version;
  if (is_removed || this->ended_versions.contains(key)) {
    return JobLossReason::kEnded;
  }
  if (is_cached && found->second.version > version) {
    return JobLossReason::kOwnedElsewhere;
  }
  this->owned_versions[key] = version;
  this->CacheRow({key, this->self, version, {}}, now);
  return std::nullopt;
}

void JobOwners::OnReleased(const JobKey& key) {
  this->owned_versions.erase(key);
}

void JobOwners::OnJobEnded(const JobKey& key, std::uint64_t version) {
  this->owned_versions.erase(key);
  this->rows.erase(key);
  if (version > this->applied_version) this->ended_versions[key] = version;
}

void JobOwners::OnChangesApplied(std::uint64_t as_of) {
  this->applied_version = std::max(this->applied_version, as_of);
  std::erase_if(this->ended_versions, [&](const auto& each) {
    return each.second <= this->applied_version;
  });
}

void JobOwners::CacheRow(const OwnerRow& row, base::Instant now) {
  auto& cached = this->rows[row.key];
  if (row.version > cached.version)
    cached = {row.owner, row.version, row.allowed_regions, now};
}

std::vector<LostJob> JobOwners::ApplySnapshot(
    const std::vector<OwnerRow>& snapshot, std::uint64_t as_of,
    base::Instant now) {
  std::map<JobKey, CachedRow> next;
  for (const auto& row : snapshot) {
    const bool is_old = !this->has_snapshot && row.owner != this->self;
    const auto seen_at = is_old ? base::Instant::min() : now;
    const auto found = this->rows.find(row.key);
    const bool is_cached =
        found != this->rows.end() && found->second.version >= row.version;
    next[row.key] = is_cached ? found->second
                              : CachedRow{row.owner, row.version,
                                          row.allowed_regions, seen_at};
  }
  this->has_snapshot = true;
  // Rows newer than the snapshot aren't part of it and stay.
  for (const auto& [key, cached] : this->rows) {
    if (cached.version > as_of) next.try_emplace(key, cached);
  }
  this->rows = std::move(next);
  this->OnChangesApplied(as_of);
  std::vector<LostJob> lost;
  for (const auto& [key, version] : this->owned_versions) {
    const auto found = this->rows.find(key);
    if (found == this->rows.end()) {
      lost.push_back({key, JobLossReason::kEnded});
    } else if (found->second.version > version) {
      lost.push_back({key, JobLossReason::kOwnedElsewhere});
    }
  }
  for (const auto& each : lost) this->owned_versions.erase(each.key);
  return lost;
}

std::vector<LostJob> JobOwners::ApplyRow(const OwnerRow& row,
                                         base::Instant now) {
  this->CacheRow(row, now);
  const auto found = this->owned_versions.find(row.key);
  if (found == this->owned_versions.end() || row.version <= found->second) {
    return {};
  }
  this->owned_versions.erase(found);
  return {{row.key, JobLossReason::kOwnedElsewhere}};
}

std::vector<LostJob> JobOwners::ApplyRemoval(const JobKey& key) {
  this->rows.erase(key);
  if (this->owned_versions.erase(key) == 0) return {};
  return {{key, JobLossReason::kEnded}};
}

std::vector<OwnerRow> JobOwners::OrphansToAdopt(const LeaseView& leases,
                                                base::Instant now) const {
  std::vector<OwnerRow> orphans;
  for (const auto& [key, cached] : this->rows) {
    if (this->owned_versions.contains(key)) continue;
    const bool is_unowned = cached.owner.name.empty();
    const bool is_settled = cached.seen_at == base::Instant::min() ||
                            now - cached.seen_at > kNewRowGracePeriod;
    if (!is_unowned && !is_settled) continue;
    bool adopt = cached.owner == this->self;
    if (!adopt && (is_unowned || leases.is_lost(cached.owner))) {
      const auto candidates = cached.allowed_regions
                                  ? leases.holders_in(cached.allowed_regions)
                                  : leases.adopters(cached.owner);
      adopt = RanksFirst(this->self, key.job.text, candidates);
    }
    if (adopt) {
      orphans.push_back(
          {key, cached.owner, cached.version, cached.allowed_regions});
    }
  }
  return orphans;
}

}  // namespace gypsumtrack::policy
