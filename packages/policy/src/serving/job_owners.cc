#include "gypsumtrack/policy/serving/job_owners.h"

#include <algorithm>
#include <utility>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

/// A row that names this daemon, though it doesn't run the job: the answer to
/// its own acceptance may still be on its way.
constexpr base::Duration kOwnRowSettles = std::chrono::milliseconds(1500);

bool RanksFirst(const base::VmId& self, const JobKey& key,
                const std::vector<base::VmId>& holders) {
  const auto score = [&](const base::VmId& vm) {
    return base::RendezvousScore(key.job.text, vm.name);
  };
  const auto best = std::max_element(
      holders.begin(), holders.end(),
      [&](const auto& a, const auto& b) { return score(a) < score(b); });
  return best != holders.end() && *best == self;
}

}  // namespace

JobOwners::JobOwners(base::VmId self_id) : self(std::move(self_id)) {}

void JobOwners::OnAcquired(const JobKey& key, std::uint64_t version,
                           base::Instant now) {
  this->mine[key] = version;
  this->Note({key, this->self, version}, now);
}

void JobOwners::OnReleased(const JobKey& key) { this->mine.erase(key); }

void JobOwners::OnJobEnded(const JobKey& key) {
  this->mine.erase(key);
  this->rows.erase(key);
}

void JobOwners::Note(const OwnerRow& row, base::Instant now) {
  auto& known = this->rows[row.key];
  if (row.version > known.version) known = {row.owner, row.version, now};
}

std::vector<LostJob> JobOwners::ApplySnapshot(
    const std::vector<OwnerRow>& listed, std::uint64_t as_of,
    base::Instant now) {
  std::map<JobKey, Known> next;
  for (const auto& row : listed) {
    const auto found = this->rows.find(row.key);
    const bool same =
        found != this->rows.end() && found->second.version >= row.version;
    next[row.key] = same ? found->second : Known{row.owner, row.version, now};
  }
  // What is newer than the snapshot isn't judged by it.
  for (const auto& [key, known] : this->rows) {
    if (known.version > as_of) next.try_emplace(key, known);
  }
  this->rows = std::move(next);
  std::vector<LostJob> lost;
  for (const auto& [key, version] : this->mine) {
    const auto found = this->rows.find(key);
    if (found == this->rows.end()) {
      lost.push_back({key, JobLossReason::kEnded});
    } else if (found->second.version > version) {
      lost.push_back({key, JobLossReason::kOwnedElsewhere});
    }
  }
  for (const auto& each : lost) this->mine.erase(each.key);
  return lost;
}

std::vector<LostJob> JobOwners::ApplyRow(const OwnerRow& row,
                                         base::Instant now) {
  this->Note(row, now);
  const auto found = this->mine.find(row.key);
  if (found == this->mine.end() || row.version <= found->second) return {};
  this->mine.erase(found);
  return {{row.key, JobLossReason::kOwnedElsewhere}};
}

std::vector<LostJob> JobOwners::ApplyRemoval(const JobKey& key) {
  this->rows.erase(key);
  if (this->mine.erase(key) == 0) return {};
  return {{key, JobLossReason::kEnded}};
}

std::vector<OwnerRow> JobOwners::OrphansToAdopt(const LeaseView& leases,
                                                base::Instant now) const {
  std::vector<OwnerRow> orphans;
  for (const auto& [key, known] : this->rows) {
    if (this->mine.contains(key)) continue;
    bool falls_here = false;
    if (known.owner == this->self) {
      falls_here = now - known.seen_at > kOwnRowSettles;
    } else if (known.owner.name.empty() || leases.is_lost(known.owner)) {
      falls_here = RanksFirst(this->self, key, leases.holders);
    }
    if (falls_here) orphans.push_back({key, known.owner, known.version});
  }
  return orphans;
}

}  // namespace gypsumtrack::policy
