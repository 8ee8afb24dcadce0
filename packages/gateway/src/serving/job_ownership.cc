#include "job_ownership.h"

#include <optional>
#include <utility>

#include "gypsumtrack/base/event_log.h"

namespace gypsumtrack::gateway {
namespace {

/// How long the store holds a read of the owner table's changes. Short, so that
/// the owner of a job learns of its end within the cancel bound even if the
/// connection to the store was lost without an error.
constexpr base::Duration kOwnerFeedHold = std::chrono::milliseconds(500);
constexpr base::Duration kOwnerFeedMinPause = std::chrono::milliseconds(700);

JobKey KeyOf(const base::VersionedRow& row) {
  return {base::Organisation(row.at.partition), base::JobId(row.at.key)};
}

/// Returns none and logs an event if the row is malformed.
std::optional<policy::OwnerRow> ParseOwnerRow(const base::VersionedRow& row) {
  auto owner = layout::ParseOwner(row.value);
  if (owner.ok()) {
    return policy::OwnerRow{KeyOf(row), std::move(*owner), row.version,
                            layout::ParseOwnerRegions(row.value)};
  }
  base::LogEvent("owner_unreadable",
                 {{"job", row.at.key}, {"row_version", row.version}});
  return std::nullopt;
}

}  // namespace

OwnedJobPtr MakeOwnedJob(AcquiredJob acquired, base::Instant now,
                         std::shared_ptr<base::MemoryBudget> output_memory) {
  const auto* route = acquired.route;
  policy::JobRunOptions options;
  if (route != nullptr) options.max_failures = route->max_runs;
  options.memory = std::move(output_memory);
  auto job_items = ToJobItems(acquired.items);
  auto job = std::make_shared<OwnedJob>(OwnedJob{
      acquired.key, acquired.found.row, std::move(acquired.items),
      policy::JobRun(std::move(job_items), acquired.listed_ids, options),
      acquired.owner_version});
  job->acquired_at = now;
  job->allowed_regions = std::move(acquired.allowed_regions);
  job->run.RestorePartialItems(acquired.partials, now);
  if (route != nullptr) {
    const std::chrono::milliseconds age(acquired.found.store_time -
                                        acquired.found.row.accepted_at);
    const auto accepted_at = now - age;
    job->due = accepted_at + route->due_after;
    job->give_up_at = accepted_at + route->give_up_after;
  }
  return job;
}

JobOwnership::JobOwnership(ServingContext& context, const FleetService& fleet,
                           JobRunner& runner, JobRowCache& rows)
    : context(context),
      fleet(fleet),
      runner(runner),
      rows(rows),
      owners(context.self) {
  this->runner.owners_confirmed_at = [this] { return this->confirmed_at; };
  this->runner.on_removed = [this](const JobKey& key) {
    this->owners.OnReleased(key);
  };
}

void JobOwnership::Start() {
  TableFollowerOptions options;
  options.table = layout::kOwnerTable;
  options.all_partitions = true;
  options.long_poll_timeout = kOwnerFeedHold;
  options.min_call_delay = kOwnerFeedMinPause;
  this->follower = std::make_shared<TableFollower>(
      this->context.executor, this->context.clock, this->context.store, options,
      this->MakeFollowerHooks());
  this->follower->Start();
}

void JobOwnership::Stop() { this->follower->Stop(); }

TableFollowerHooks JobOwnership::MakeFollowerHooks() {
  TableFollowerHooks hooks;
  hooks.on_snapshot = [this](const std::vector<base::VersionedRow>& owner_rows,
                             std::uint64_t as_of) {
    this->ApplySnapshot(owner_rows, as_of);
  };
  hooks.on_changes = [this](const std::vector<base::VersionedRow>& owner_rows,
                            std::uint64_t as_of) {
    for (const auto& row : owner_rows) this->ApplyChange(row);
    this->owners.OnChangesApplied(as_of);
  };
  hooks.on_confirmed = [this](base::Instant sent_at) {
    this->confirmed_at = sent_at;
  };
  return hooks;
}

bool JobOwnership::Own(AcquiredJob acquired) {
  const auto now = this->context.clock.now();
  const auto lost =
      this->owners.OnAcquired(acquired.key, acquired.owner_version, now);
  if (lost) {
    base::LogEvent("job_not_run",
                   {{"job", acquired.key.job.text},
                    {"reason", policy::kJobLossReasonNames.Name(*lost)},
                    {"owner_version", acquired.owner_version}});
    return false;
  }
  this->rows.Insert(acquired.key, acquired.found.row);
  this->runner.Add(
      MakeOwnedJob(std::move(acquired), now, this->context.output_memory));
  return true;
}

void JobOwnership::OnJobEnded(const JobKey& key, std::uint64_t version) {
  this->owners.OnJobEnded(key, version);
  this->runner.Drop(key, "ended");
}

std::vector<policy::OwnerRow> JobOwnership::FindOrphans() const {
  if (!this->fleet.HoldsLease()) return {};
  policy::LeaseView leases;
  leases.is_lost = [this](const base::VmId& vm) {
    return this->fleet.HasLostLease(vm);
  };
  leases.adopters = [this](const base::VmId& vm) {
    return this->fleet.Adopters(vm);
  };
  leases.holders_in = [this](const policy::RegionLimit& allowed) {
    return this->fleet.LeaseHoldersIn(allowed);
  };
  return this->owners.OrphansToAdopt(leases, this->context.clock.now());
}

void JobOwnership::ApplySnapshot(
    const std::vector<base::VersionedRow>& snapshot, std::uint64_t as_of) {
  std::vector<policy::OwnerRow> owner_rows;
  for (const auto& row : snapshot) {
    if (auto owner = ParseOwnerRow(row)) owner_rows.push_back(*owner);
  }
  this->DropLostJobs(
      this->owners.ApplySnapshot(owner_rows, as_of, this->context.clock.now()));
}

void JobOwnership::ApplyChange(const base::VersionedRow& row) {
  if (row.removed) {
    this->DropLostJobs(this->owners.ApplyRemoval(KeyOf(row)));
  } else if (const auto owner = ParseOwnerRow(row)) {
    this->DropLostJobs(
        this->owners.ApplyRow(*owner, this->context.clock.now()));
  }
}

void JobOwnership::DropLostJobs(const std::vector<policy::LostJob>& lost_jobs) {
  for (const auto& lost : lost_jobs) {
    this->runner.Drop(lost.key, policy::kJobLossReasonNames.Name(lost.reason));
  }
}

}  // namespace gypsumtrack::gateway
