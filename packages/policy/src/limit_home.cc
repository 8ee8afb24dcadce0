#include "gypsumtrack/policy/limit_home.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

/// Requests keep waiting if refill can serve them within this time.
constexpr auto kMaxRefillWait = std::chrono::milliseconds(30);
/// Minimum time between two recalls to the same borrower.
constexpr auto kMinRecallInterval = std::chrono::milliseconds(20);
constexpr auto kMinRetryAfter = std::chrono::milliseconds(5);
constexpr auto kMaxRetryAfter = std::chrono::milliseconds(500);
/// A VM tries to become home only for this long after the last request.
constexpr auto kClaimDemandWindow = std::chrono::seconds(4);
constexpr auto kIdleTimeout = std::chrono::seconds(60);
constexpr auto kDemandUpdateInterval = std::chrono::seconds(1);
/// Time over which demand is averaged.
constexpr auto kDemandWindow = std::chrono::seconds(40);

std::uint64_t FirstSequence(base::Instant now) {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(now.time_since_epoch().count(), 0));
}

}  // namespace

std::optional<LimitPeer> RendezvousHome(const LimitKey& key,
                                        const std::vector<LimitPeer>& peers) {
  std::optional<LimitPeer> best;
  std::uint64_t best_score = 0;
  for (const auto& peer : peers) {
    const auto score = base::RendezvousScore(key.text, peer.vm.name);
    if (best && score <= best_score) continue;
    best = peer;
    best_score = score;
  }
  return best;
}

LimitHome::LimitHome(HomeContext& context, LimitKey key, base::Instant now)
    : context(context),
      key(std::move(key)),
      loan_ledger(FirstSequence(now)),
      bucket({}, now),
      last_demand_at(now) {}

void LimitHome::OnLimit(base::Revision next_revision, const Limit& next,
                        base::Instant now, LimitActions& actions) {
  if (next_revision < this->revision) return;
  this->revision = next_revision;
  if (this->limit == next) return;
  this->limit = next;
  this->limit_changed_at = now;
  this->UpdateBucketQuota(now);
  this->ReconcileRow(now, actions);
}

bool LimitHome::CanLend(base::Instant now) const {
  if (!this->claimed || !this->limit) return false;
  return now >= this->can_lend_from && this->context.lease.Valid(now);
}

Quota LimitHome::OwnShare() const {
  if (!this->claimed || !this->cached_row || !this->limit) return {};
  const auto* share = FindShare(*this->cached_row, this->context.domain);
  if (share == nullptr) return {};
  auto own = ScaleDownShare(*share, this->limit->quota);
  if (this->pending_row && this->context.settings.reduce_share_before_write) {
    const auto* next = FindShare(*this->pending_row, this->context.domain);
    if (next != nullptr) own = Min(own, next->share);
  }
  return own;
}

Quota LimitHome::Borrowed() const {
  Quota sum;
  for (const auto& [vm, inbound] : this->inbound_loans) {
    sum += inbound.loan.held();
  }
  return sum;
}

/// Inbound loans that outlive any loan made from them now.
Quota LimitHome::LendableInboundLoans(base::Instant now) const {
  const auto min_remaining = WithClockSlack(this->context.settings.serve_ttl);
  Quota sum;
  for (const auto& [vm, inbound] : this->inbound_loans) {
    if (inbound.loan.expires() - now >= min_remaining) {
      sum += inbound.loan.held();
    }
  }
  return sum;
}

void LimitHome::UpdateBucketQuota(base::Instant now) {
  this->loan_ledger.Expire(now);
  for (auto& [vm, inbound] : this->inbound_loans) inbound.loan.Expire(now);
  std::erase_if(this->inbound_loans, [&](const auto& item) {
    return IsZero(item.second.loan.held()) &&
           now >= item.second.loan.reported_at() + kIdleTimeout;
  });
  auto own = this->OwnShare();
  own.rate = WithClockSlack(own.rate);
  const auto total =
      own + this->LendableInboundLoans(now) - this->loan_ledger.Lent();
  this->over_lent = total.rate < 0 || total.capacity < 0;
  this->bucket.SetQuota(AtLeastZero(total), now);
}

base::Duration LimitHome::GrantTtl(LoanRole role, bool whole_share,
                                   const Quota& added,
                                   base::Instant now) const {
  const auto& settings = this->context.settings;
  auto ttl = role == LoanRole::kServe ? settings.serve_ttl
             : whole_share            ? settings.pool_ttl
                                      : settings.home_ttl;
  auto own = this->OwnShare();
  own.rate = WithClockSlack(own.rate);
  const auto lent_to_homes = this->loan_ledger.LentToHomes() + added;
  const bool covered_by_own_share =
      lent_to_homes.rate <= own.rate && lent_to_homes.capacity <= own.capacity;
  if (role == LoanRole::kHome && covered_by_own_share) return ttl;
  const auto min_remaining = WithClockSlack(settings.serve_ttl);
  for (const auto& [vm, inbound] : this->inbound_loans) {
    const auto remaining = inbound.loan.expires() - now;
    if (remaining < min_remaining || IsZero(inbound.loan.held())) continue;
    // Even with a clock slack of 3%, the new loan ends before the inbound loan.
    ttl = std::min<base::Duration>(ttl, remaining * 100 / 104);
  }
  return ttl;
}

void LimitHome::OnReport(const LimitPeer& from, const LoanReport& report,
                         base::Instant now, LimitActions& actions) {
  if (report.role == LoanRole::kServe || report.waiting > 0) {
    this->last_demand_at = now;
  }
  if (!this->CanLend(now)) {
    this->ReadRow(now, actions);
    if (!this->cached_row && this->read_pending) {
      this->deferred_reports.insert_or_assign(Borrower{from.vm, report.role},
                                              DeferredReport{from, report});
      return;
    }
    HomeHint hint{this->key, {}, {}};
    if (const auto home = this->KnownHome(); home && !this->claimed) {
      hint.home = home->vm;
      hint.address = home->address;
    }
    actions.messages.push_back({from, std::move(hint)});
    return;
  }
  const auto returned = this->loan_ledger.OnReport(from, report, now);
  if (!returned) return;
  if (report.role == LoanRole::kHome && this->cached_row) {
    for (const auto& share : this->cached_row->domains) {
      if (share.home.vm != from.vm) continue;
      this->domain_demands[share.domain] = {report.demand, now};
    }
  }
  this->UpdateBucketQuota(now);
  this->bucket.Add(*returned, now);
  const Borrower borrower{from.vm, report.role};
  if (report.role == LoanRole::kServe) this->new_demand -= *returned;
  this->ServeBorrowers(now, actions);
  auto* entry = this->loan_ledger.Find(borrower);
  if (entry != nullptr && entry->whole_share) {
    this->LendWholeShare(borrower, now, actions);
  }
  entry = this->loan_ledger.Find(borrower);
  // A VM whose requests must wait gets a reply too, so that it doesn't take
  // this home for unresponsive.
  const bool reply_due =
      entry != nullptr &&
      entry->last_answered_report < entry->last_report_number &&
      (report.waiting == 0 || report.role == LoanRole::kServe);
  if (reply_due && NeedsReply(report)) {
    this->SendGrant(borrower, {}, 0, {}, now, actions);
  }
  this->ReturnUnneeded(now, actions);
}

void LimitHome::SendGrant(const Borrower& to, const Quota& added,
                          std::int64_t tokens, base::Duration retry_after,
                          base::Instant now, LimitActions& actions) {
  auto* entry = this->loan_ledger.Find(to);
  // Loans made under a higher limit aren't renewed, so that they expire.
  const auto ttl =
      this->over_lent && IsZero(added)
          ? base::Duration{}
          : this->GrantTtl(to.role, entry->whole_share, added, now);
  auto grant = this->loan_ledger.Grant(to, this->key, added, tokens, ttl, now);
  if (to.role == LoanRole::kServe) this->new_demand += tokens;
  grant.retry_after = retry_after;
  grant.demand = this->Demand();
  actions.messages.push_back({{to.vm, entry->address}, std::move(grant)});
  this->UpdateBucketQuota(now);
}

void LimitHome::ServeBorrowers(base::Instant now, LimitActions& actions) {
  this->wake_at = base::kNever;
  if (!this->CanLend(now)) return;
  const auto unmet = this->ServeWaiting(now, actions);
  if (unmet == 0) {
    this->ServePrefetch(now, actions);
    return;
  }
  const auto available_at =
      this->bucket.AvailableAt(unmet * kMicroRequestsPerRequest, now);
  if (available_at != base::kNever && available_at <= now + kMaxRefillWait) {
    this->wake_at = this->bucket.AvailableAt(kMicroRequestsPerRequest, now);
    return;
  }
  const bool recalled = this->RecallPrefetched(now, actions);
  const bool requested = this->RequestFromOthers(unmet, now, actions);
  if (!recalled && !requested) this->RefuseWaiting(now, actions);
}

/// Lends tokens for waiting requests; returns how many requests still wait.
std::uint32_t LimitHome::ServeWaiting(base::Instant now,
                                      LimitActions& actions) {
  std::uint32_t unmet = 0;
  std::vector<Borrower> waiting;
  for (const auto& [borrower, entry] : this->loan_ledger.entries()) {
    if (entry.waiting > 0) waiting.push_back(borrower);
  }
  for (const auto& borrower : waiting) {
    auto* entry = this->loan_ledger.Find(borrower);
    auto whole_tokens = this->bucket.Tokens(now) / kMicroRequestsPerRequest;
    if (borrower.role == LoanRole::kHome) {
      whole_tokens =
          std::min(whole_tokens, this->LendableToHomes(now).capacity /
                                     kMicroRequestsPerRequest);
    }
    const auto granted = std::min<std::int64_t>(entry->waiting, whole_tokens);
    if (granted > 0) {
      const auto tokens =
          this->bucket.Take(granted * kMicroRequestsPerRequest, now);
      entry->waiting -= static_cast<std::uint32_t>(granted);
      this->SendGrant(borrower, {0, tokens}, tokens, {}, now, actions);
    }
    entry = this->loan_ledger.Find(borrower);
    if (entry != nullptr) unmet += entry->waiting;
  }
  return unmet;
}

/// Lends tokens ahead of requests: to each borrower at most half of the tokens
/// that the bucket holds above half of this home's total capacity.
void LimitHome::ServePrefetch(base::Instant now, LimitActions& actions) {
  const auto total = this->OwnShare() + this->LendableInboundLoans(now);
  std::vector<Borrower> borrowers;
  for (const auto& [borrower, entry] : this->loan_ledger.entries()) {
    const auto held = Outstanding(entry).capacity / kMicroRequestsPerRequest;
    if (entry.prefetch > held) borrowers.push_back(borrower);
  }
  for (const auto& borrower : borrowers) {
    auto* entry = this->loan_ledger.Find(borrower);
    if (entry == nullptr) continue;
    const auto spare = (this->bucket.Tokens(now) - total.capacity / 2) / 2;
    const auto held = Outstanding(*entry).capacity / kMicroRequestsPerRequest;
    const auto granted = std::min<std::int64_t>(
        entry->prefetch - held, spare / kMicroRequestsPerRequest);
    entry->prefetch = 0;
    if (granted <= 0) continue;
    const auto tokens =
        this->bucket.Take(granted * kMicroRequestsPerRequest, now);
    this->SendGrant(borrower, {0, tokens}, tokens, {}, now, actions);
  }
}

/// Borrowed quota is returned to its lender and not lent to other homes, except
/// by the home that pools the limit.
Quota LimitHome::LendableToHomes(base::Instant now) const {
  if (this->IsPoolHome(now)) return this->bucket.quota();
  auto own = this->OwnShare();
  own.rate = WithClockSlack(own.rate);
  own -= this->loan_ledger.LentToHomes();
  return Min(this->bucket.quota(), AtLeastZero(own));
}

/// Lends the borrower all quota that may be lent to homes, unless the
/// borrower's domain has a worse pool rank than this home's.
void LimitHome::LendWholeShare(const Borrower& borrower, base::Instant now,
                               LimitActions& actions) {
  if (this->cached_row) {
    for (const auto& share : this->cached_row->domains) {
      if (share.home.vm != borrower.vm) continue;
      if (this->PoolRank(share.domain) > this->PoolRank(this->context.domain)) {
        return;
      }
    }
  }
  this->UpdateBucketQuota(now);
  auto lendable = this->LendableToHomes(now);
  lendable.capacity =
      lendable.capacity / kMicroRequestsPerRequest * kMicroRequestsPerRequest;
  const auto tokens = this->bucket.Take(lendable.capacity, now);
  this->SendGrant(borrower, lendable, tokens, {}, now, actions);
}

/// Recalls prefetched tokens from borrowers without waiting requests; returns
/// whether any recall is in progress.
bool LimitHome::RecallPrefetched(base::Instant now, LimitActions& actions) {
  bool recall_pending = false;
  for (auto& [borrower, entry] : this->loan_ledger.entries()) {
    if (borrower.role != LoanRole::kServe || entry.waiting > 0) continue;
    if (Outstanding(entry).capacity <= 0) continue;
    if (now < entry.recalled_at + kMinRecallInterval) {
      recall_pending =
          recall_pending || entry.last_report_at < entry.recalled_at;
      continue;
    }
    // Recall again only after a report, so that the borrower had time to use
    // the tokens that it kept.
    if (entry.recalled_at != base::Instant{} &&
        entry.last_report_at < entry.recalled_at) {
      continue;
    }
    entry.recalled_at = now;
    recall_pending = true;
    actions.messages.push_back({{borrower.vm, entry.address},
                                LoanRecall{this->key, LoanRole::kServe}});
  }
  return recall_pending;
}

void LimitHome::RefuseWaiting(base::Instant now, LimitActions& actions) {
  const auto retry_after = this->RetryAfter(now);
  std::vector<Borrower> waiting;
  for (auto& [borrower, entry] : this->loan_ledger.entries()) {
    if (entry.waiting == 0) continue;
    if (borrower.role == LoanRole::kServe) {
      this->new_demand += entry.waiting * kMicroRequestsPerRequest;
    }
    entry.waiting = 0;
    waiting.push_back(borrower);
  }
  for (const auto& borrower : waiting) {
    this->SendGrant(borrower, {}, 0, retry_after, now, actions);
  }
}

base::Duration LimitHome::RetryAfter(base::Instant now) const {
  auto at = this->bucket.AvailableAt(kMicroRequestsPerRequest, now);
  for (const auto& [vm, inbound] : this->inbound_loans) {
    if (inbound.refused_until > now) at = std::min(at, inbound.refused_until);
  }
  if (at == base::kNever) return kMaxRetryAfter;
  const base::Duration wait = at - now;
  return std::clamp<base::Duration>(wait, kMinRetryAfter, kMaxRetryAfter);
}

void LimitHome::UpdateDemand(base::Instant now) {
  const auto elapsed = now - this->demand_updated_at;
  if (elapsed < kDemandUpdateInterval) return;
  const auto seconds = std::chrono::duration<double>(elapsed).count();
  const auto rate = static_cast<double>(this->new_demand) / seconds;
  const auto weight = std::min(
      1.0, seconds / std::chrono::duration<double>(kDemandWindow).count());
  const auto before = static_cast<double>(this->demand_rate);
  this->demand_rate = std::max<std::int64_t>(
      0, std::llround(before + weight * (rate - before)));
  this->new_demand = 0;
  this->demand_updated_at = now;
}

std::int64_t LimitHome::TokensLeft(base::Instant now) const {
  const auto total = this->OwnShare() + this->LendableInboundLoans(now) -
                     this->loan_ledger.Lent();
  const auto max_tokens = std::max<std::int64_t>(total.capacity, 0);
  return std::min(this->bucket.Tokens(now), max_tokens);
}

std::optional<LimitPeer> LimitHome::KnownHome() const {
  if (!this->cached_row) return std::nullopt;
  const auto* share = FindShare(*this->cached_row, this->context.domain);
  if (share == nullptr || share->home.vm.name.empty()) return std::nullopt;
  return share->home;
}

bool LimitHome::Idle(base::Instant now) const {
  return !this->claimed && !this->read_pending && !this->write_pending &&
         now >= this->last_demand_at + kIdleTimeout;
}

void LimitHome::Tick(base::Instant now, LimitActions& actions) {
  if (!this->limit) return;
  if (!this->claimed) {
    const bool recently_requested =
        now < this->last_demand_at + kClaimDemandWindow;
    if (recently_requested) this->ReadRow(now, actions);
    return;
  }
  if (!this->context.lease.Condition()) {
    this->claimed = false;
    return;
  }
  if (now >= this->row_read_at + this->context.settings.row_refresh_interval) {
    this->ReadRow(now, actions);
  }
  this->ReconcileRow(now, actions);
  if (!this->CanLend(now)) return;
  this->UpdateBucketQuota(now);
  this->UpdateDemand(now);
  this->RenewPool(now, actions);
  this->MoveShareTowardsDemand(now, actions);
  this->ServeBorrowers(now, actions);
  this->ReturnUnneeded(now, actions);
}

}  // namespace gypsumtrack::policy
