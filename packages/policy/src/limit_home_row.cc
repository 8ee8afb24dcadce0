#include <algorithm>
#include <utility>

#include "gypsumtrack/policy/limit_home.h"

namespace gypsumtrack::policy {
namespace {

/// Minimum time between two reads of the row.
constexpr auto kMinReadInterval = std::chrono::milliseconds(300);
/// Domains that haven't reduced their shares this long after a limit changed
/// are taken to be unreachable.
constexpr auto kReductionTimeout = std::chrono::seconds(5);
/// Quota moves to another domain if the own share exceeds the own domain's part
/// of the demand by at least this percentage of the limit.
constexpr std::int64_t kMoveThresholdPercent = 15;
/// Older demand reports are ignored.
constexpr auto kMaxDemandAge = std::chrono::seconds(10);

}  // namespace

void LimitHome::ReadRow(base::Instant now, LimitActions& actions) {
  if (this->read_pending || this->write_pending) return;
  if (this->row_read_at != base::Instant{} &&
      now < this->row_read_at + kMinReadInterval) {
    return;
  }
  this->read_pending = true;
  this->row_read_at = now;
  this->context.table.Scan(
      ShareRowKey(this->key),
      [this](const base::Outcome<base::ScanReply>& reply, base::Instant at,
             LimitActions& reply_actions) {
        this->OnRowRead(reply, at, reply_actions);
      },
      actions);
}

void LimitHome::OnRowRead(const base::Outcome<base::ScanReply>& reply,
                          base::Instant now, LimitActions& actions) {
  this->read_pending = false;
  if (!reply.ok()) this->deferred_reports.clear();
  if (!reply.ok() || this->write_pending) return;
  const auto row_key = ShareRowKey(this->key);
  const auto row = std::find_if(
      reply->rows.begin(), reply->rows.end(),
      [&](const base::Row& candidate) { return candidate.key == row_key; });
  if (row == reply->rows.end()) {
    this->cached_row.reset();
    this->row_version = 0;
  } else {
    if (row->version < this->row_version) return;
    this->cached_row = ParseShareRow(row->value);
    this->row_version = row->version;
    if (!this->cached_row) return;
  }
  this->home_hints.clear();
  const auto home = this->KnownHome();
  if (this->claimed) {
    const bool still_home = home && home->vm == this->context.self.vm;
    if (!still_home) this->claimed = false;
    this->UpdateBucketQuota(now);
    this->ReconcileRow(now, actions);
    return;
  }
  const bool held_by_other = home && home->vm != this->context.self.vm &&
                             !this->context.lease.IsFenced(home->vm);
  if (!held_by_other) {
    this->Claim(now, actions);
    return;
  }
  const auto& live_vms = this->context.live_vms[this->context.domain];
  const bool is_live =
      std::any_of(live_vms.begin(), live_vms.end(),
                  [&](const LimitPeer& peer) { return peer.vm == home->vm; });
  if (!is_live) this->context.lease.StartFence(home->vm, now);
}

void LimitHome::Claim(base::Instant now, LimitActions& actions) {
  const auto lease = this->context.lease.Condition();
  if (!lease || !this->limit || !this->context.lease.Valid(now)) return;
  base::TableCommit commit;
  ShareRow next;
  bool had_home = false;
  if (this->cached_row) {
    next = *this->cached_row;
    if (const auto home = this->KnownHome()) {
      had_home = true;
      if (home->vm != this->context.self.vm) {
        commit.conditions.push_back(
            {LeaseRowKey(this->context.domain, home->vm), 0});
      }
    }
  } else {
    std::vector<base::FailureDomain> domains;
    for (const auto& [domain, peers] : this->context.live_vms) {
      domains.push_back(domain);
    }
    next = DivideLimit(this->key, this->revision, this->limit->quota,
                       std::move(domains));
  }
  auto* own = FindShare(next, this->context.domain);
  if (own == nullptr) {
    next.domains.push_back(
        {this->context.domain, {}, next.limit, next.revision, {}});
    own = &next.domains.back();
  }
  own->home = this->context.self;
  const bool unused = own->unused;
  own->unused = false;
  const auto row_key = ShareRowKey(this->key);
  commit.conditions.push_back({row_key, this->row_version});
  commit.conditions.push_back(*lease);
  commit.writes.push_back({row_key, FormatShareRow(next)});
  this->write_pending = this->context.table.Commit(
      std::move(commit),
      [this, next, had_home, unused](bool committed, base::Instant,
                                     base::Instant at,
                                     LimitActions& reply_actions) {
        this->write_pending = false;
        if (committed) {
          this->OnClaimed(next, had_home, at, reply_actions);
          if (unused) this->FillUnusedShare(at, reply_actions);
        } else {
          this->ReadRow(at, reply_actions);
        }
      },
      now, actions);
}

void LimitHome::OnClaimed(ShareRow row, bool had_home, base::Instant now,
                          LimitActions& actions) {
  this->cached_row = std::move(row);
  ++this->row_version;
  this->row_read_at = now;
  this->claimed = true;
  this->can_lend_from = now;
  if (had_home && this->context.settings.wait_after_takeover) {
    // Loans of the previous home must have expired before this one lends.
    this->can_lend_from += WithClockSlack(this->context.settings.pool_ttl);
  }
  this->UpdateBucketQuota(now);
  this->NotifyOtherHomes(actions);
  this->ReconcileRow(now, actions);
  this->HandleDeferredReports(now, actions);
}

/// Fills the bucket of a share that was never lent, so that the limit's first
/// callers aren't refused.
void LimitHome::FillUnusedShare(base::Instant now, LimitActions& actions) {
  if (!this->context.settings.fill_unused_share) return;
  this->bucket.Add(this->bucket.quota().capacity, now);
  this->ServeBorrowers(now, actions);
}

void LimitHome::HandleDeferredReports(base::Instant now,
                                      LimitActions& actions) {
  const auto reports = std::exchange(this->deferred_reports, {});
  for (const auto& [borrower, deferred] : reports) {
    this->OnReport(deferred.from, deferred.report, now, actions);
  }
}

void LimitHome::ReconcileRow(base::Instant now, LimitActions& actions) {
  if (!this->claimed || this->write_pending || !this->cached_row ||
      !this->limit) {
    return;
  }
  const bool reduction_overdue =
      now >= this->limit_changed_at + kReductionTimeout;
  auto next =
      ReconcileShareRow(*this->cached_row, this->context.domain, this->revision,
                        this->limit->quota, reduction_overdue);
  if (next) this->WriteRow(std::move(*next), now, actions);
}

bool LimitHome::WriteRow(ShareRow next, base::Instant now,
                         LimitActions& actions) {
  base::TableCommit commit;
  const auto row_key = ShareRowKey(this->key);
  commit.conditions.push_back({row_key, this->row_version});
  commit.writes.push_back({row_key, FormatShareRow(next)});
  this->write_pending = this->context.table.Commit(
      std::move(commit),
      [this, next](bool committed, base::Instant, base::Instant at,
                   LimitActions& reply_actions) {
        this->write_pending = false;
        this->pending_row.reset();
        if (committed) {
          this->cached_row = next;
          ++this->row_version;
          this->row_read_at = at;
          this->NotifyOtherHomes(reply_actions);
        } else {
          this->row_read_at = {};
          this->ReadRow(at, reply_actions);
        }
        this->UpdateBucketQuota(at);
      },
      now, actions);
  if (!this->write_pending) return false;
  this->pending_row = std::move(next);
  this->UpdateBucketQuota(now);
  return true;
}

/// Moves quota to the domain whose share is furthest below its part of the
/// demand, if the own share is clearly above the own part.
void LimitHome::MoveShareTowardsDemand(base::Instant now,
                                       LimitActions& actions) {
  if (this->write_pending || !this->cached_row) return;
  if (now < this->share_moved_at + this->context.settings.share_move_interval) {
    return;
  }
  if (this->cached_row->limit != this->limit->quota) return;
  auto total = this->Demand();
  for (const auto& [domain, reported] : this->domain_demands) {
    if (now < reported.received_at + kMaxDemandAge) total += reported.demand;
  }
  if (total < kMicroRequestsPerRequest / 2) return;
  const auto& limit = this->limit->quota;
  const auto* own = FindShare(*this->cached_row, this->context.domain);
  const auto target_rate = [&](std::int64_t demand) {
    // A tenth is divided equally, so that a domain without demand keeps some
    // quota.
    const auto count =
        static_cast<std::int64_t>(this->cached_row->domains.size());
    const auto fraction =
        static_cast<double>(demand) / static_cast<double>(total);
    return static_cast<std::int64_t>(
        static_cast<double>(limit.rate) *
        (0.9 * fraction + 0.1 / static_cast<double>(count)));
  };
  const auto surplus = own->share.rate - target_rate(this->Demand());
  const auto threshold = limit.rate * kMoveThresholdPercent / 100;
  if (surplus < threshold) return;
  const DomainShare* receiver = nullptr;
  std::int64_t largest_deficit = threshold / 2;
  for (const auto& share : this->cached_row->domains) {
    const auto reported = this->domain_demands.find(share.domain);
    if (reported == this->domain_demands.end() ||
        now >= reported->second.received_at + kMaxDemandAge) {
      continue;
    }
    const auto domain_deficit =
        target_rate(reported->second.demand) - share.share.rate;
    if (domain_deficit <= largest_deficit) continue;
    largest_deficit = domain_deficit;
    receiver = &share;
  }
  if (receiver == nullptr) return;
  Quota amount;
  amount.rate = std::min(surplus, largest_deficit);
  amount.capacity = static_cast<std::int64_t>(
      static_cast<double>(limit.capacity) * static_cast<double>(amount.rate) /
      static_cast<double>(limit.rate));
  amount.capacity =
      amount.capacity / kMicroRequestsPerRequest * kMicroRequestsPerRequest;
  auto unlent = own->share - this->loan_ledger.LentToHomes();
  unlent.rate =
      WithClockSlack(own->share.rate) - this->loan_ledger.LentToHomes().rate;
  const auto available = Min(this->bucket.quota(), AtLeastZero(unlent));
  amount.rate = std::min(amount.rate, available.rate);
  amount.capacity = std::min(amount.capacity, available.capacity);
  if (amount.rate <= 0) return;
  this->share_moved_at = now;
  this->WriteRow(TransferShare(*this->cached_row, this->context.domain,
                               receiver->domain, amount),
                 now, actions);
}

void LimitHome::NotifyOtherHomes(LimitActions& actions) const {
  for (const auto& share : this->cached_row->domains) {
    if (share.domain == this->context.domain) continue;
    if (share.home.vm.name.empty()) continue;
    actions.messages.push_back({share.home, ShareRowChanged{this->key}});
  }
}

void LimitHome::OnShareRowChanged(base::Instant now, LimitActions& actions) {
  if (this->claimed) this->ReadRow(now, actions);
}

}  // namespace gypsumtrack::policy
