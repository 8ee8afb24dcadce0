#include <algorithm>
#include <utility>

#include "gypsumtrack/policy/limit_home.h"

namespace gypsumtrack::policy {
namespace {

/// An unanswered report is taken to be lost after this time.
constexpr auto kReplyTimeout = std::chrono::milliseconds(150);
constexpr auto kMinReturnInterval = std::chrono::milliseconds(20);
/// A domain whose home has sent nothing for this long is taken to be
/// unreachable.
constexpr auto kDomainTimeout = std::chrono::seconds(4);
/// A limit without requests for this long isn't pooled.
constexpr auto kPoolIdleTimeout = std::chrono::seconds(30);

}  // namespace

std::optional<LimitPeer> LimitHome::LenderIn(
    const base::FailureDomain& domain) const {
  const auto hint = this->home_hints.find(domain);
  if (hint != this->home_hints.end()) return hint->second;
  if (this->cached_row) {
    const auto* share = FindShare(*this->cached_row, domain);
    if (share != nullptr && !share->home.vm.name.empty()) return share->home;
  }
  const auto live_vms = this->context.live_vms.find(domain);
  if (live_vms == this->context.live_vms.end()) return std::nullopt;
  return RendezvousHome(this->key, live_vms->second);
}

LoanReport LimitHome::EmptyReport() const {
  LoanReport report;
  report.key = this->key;
  report.role = LoanRole::kHome;
  report.demand = this->Demand();
  return report;
}

/// Requests tokens from other domains; returns whether a reply may still come.
bool LimitHome::RequestFromOthers(std::uint32_t wanted, base::Instant now,
                                  LimitActions& actions) {
  if (!this->cached_row) return false;
  for (const auto& [borrower, entry] : this->loan_ledger.entries()) {
    if (!entry.whole_share || Outstanding(entry).rate <= 0) continue;
    for (const auto& share : this->cached_row->domains) {
      if (share.home.vm != borrower.vm) continue;
      return this->RequestFrom(share.domain, share.home, wanted, now, actions);
    }
  }
  bool reply_possible = false;
  for (const auto& share : this->cached_row->domains) {
    if (share.domain == this->context.domain) continue;
    const auto lender = this->LenderIn(share.domain);
    if (!lender) continue;
    reply_possible |=
        this->RequestFrom(share.domain, *lender, wanted, now, actions);
  }
  return reply_possible;
}

bool LimitHome::RequestFrom(const base::FailureDomain& domain,
                            const LimitPeer& lender, std::uint32_t wanted,
                            base::Instant now, LimitActions& actions) {
  auto& inbound = this->inbound_loans[lender.vm];
  inbound.lender = lender;
  inbound.domain = domain;
  if (now < inbound.refused_until) return false;
  // A domain that has lent its whole share has nothing left to lend.
  if (inbound.pooled && inbound.loan.held().rate > 0) return false;
  const auto unanswered_since = inbound.loan.UnansweredSince();
  const auto reported_at = inbound.loan.reported_at();
  const auto& settings = this->context.settings;
  if (reported_at != base::Instant{} &&
      now < reported_at + settings.min_report_interval) {
    this->wake_at =
        std::min(this->wake_at, reported_at + settings.min_report_interval);
    return true;
  }
  if (unanswered_since && wanted <= inbound.requested &&
      now < reported_at + settings.cross_domain_interval) {
    return now < *unanswered_since + kReplyTimeout;
  }
  inbound.requested = wanted;
  auto report = this->EmptyReport();
  report.waiting = wanted;
  report.whole_share = inbound.pooled;
  actions.messages.push_back(
      {lender, inbound.loan.MakeReport(std::move(report), now)});
  return !unanswered_since || now < *unanswered_since + kReplyTimeout;
}

void LimitHome::OnGrant(const LimitPeer& from, const LoanGrant& grant,
                        base::Instant now, LimitActions& actions) {
  const auto found = this->inbound_loans.find(from.vm);
  if (found == this->inbound_loans.end()) return;
  auto& inbound = found->second;
  this->UpdateBucketQuota(now);
  const auto accepted = inbound.loan.Accept(grant, now);
  if (!accepted) return;
  this->domain_demands[inbound.domain] = {grant.demand, now};
  inbound.requested -= std::min(
      inbound.requested,
      static_cast<std::uint32_t>(accepted->tokens / kMicroRequestsPerRequest));
  if (grant.retry_after.count() > 0) {
    inbound.refused_until = now + grant.retry_after;
  }
  this->UpdateBucketQuota(now);
  this->bucket.Add(accepted->tokens, now);
  this->ServeBorrowers(now, actions);
}

void LimitHome::OnRecall(const LimitPeer& from, base::Instant now,
                         LimitActions& actions) {
  const auto found = this->inbound_loans.find(from.vm);
  if (found == this->inbound_loans.end()) return;
  this->ReturnUnneeded(now, actions);
}

void LimitHome::OnHomeHint(const LimitPeer& from, const HomeHint& hint,
                           base::Instant now) {
  const auto found = this->inbound_loans.find(from.vm);
  if (found == this->inbound_loans.end()) return;
  auto& inbound = found->second;
  if (hint.home.name.empty() || hint.home == from.vm) {
    inbound.refused_until = now + this->context.settings.cross_domain_interval;
    return;
  }
  this->home_hints[inbound.domain] = {hint.home, hint.address};
}

/// Returns borrowed quota that isn't lent to anyone here.
void LimitHome::ReturnUnneeded(base::Instant now, LimitActions& actions) {
  for (auto& [vm, inbound] : this->inbound_loans) {
    if (inbound.pooled) continue;
    const auto held = inbound.loan.held();
    if (held.capacity <= 0 && held.rate <= 0) continue;
    if (now < inbound.loan.reported_at() + kMinReturnInterval) continue;
    this->UpdateBucketQuota(now);
    const auto spare = Min(held, this->bucket.quota());
    if (IsZero(spare)) continue;
    const auto remaining = this->bucket.quota() - spare;
    const auto tokens = std::max<std::int64_t>(
        this->bucket.Tokens(now) - remaining.capacity, 0);
    const auto taken = this->bucket.Take(tokens, now);
    inbound.loan.Return(spare, std::min(taken, spare.capacity));
    this->UpdateBucketQuota(now);
    actions.messages.push_back(
        {inbound.lender, inbound.loan.MakeReport(this->EmptyReport(), now)});
  }
}

/// Position in the order in which domains may pool the limit: larger capacity
/// first, then by name.
std::size_t LimitHome::PoolRank(const base::FailureDomain& domain) const {
  const auto* own = FindShare(*this->cached_row, domain);
  if (own == nullptr) return this->cached_row->domains.size();
  return static_cast<std::size_t>(std::count_if(
      this->cached_row->domains.begin(), this->cached_row->domains.end(),
      [&](const DomainShare& other) {
        if (other.share.capacity != own->share.capacity) {
          return other.share.capacity > own->share.capacity;
        }
        return other.domain < domain;
      }));
}

bool LimitHome::IsPoolHome(base::Instant now) const {
  if (!this->cached_row || !this->limit) return false;
  if (this->limit->quota.rate >=
      this->context.settings.pooling_rate_threshold) {
    return false;
  }
  if (now >= this->last_demand_at + kPoolIdleTimeout) return false;
  const auto own_rank = this->PoolRank(this->context.domain);
  return std::none_of(this->domain_demands.begin(), this->domain_demands.end(),
                      [&](const auto& item) {
                        return item.second.received_at + kDomainTimeout > now &&
                               this->PoolRank(item.first) < own_rank;
                      });
}

/// If this home pools the limit, borrows the whole shares of the domains ranked
/// after it, so that a slow limit has one undivided bucket.
void LimitHome::RenewPool(base::Instant now, LimitActions& actions) {
  const bool is_pool_home = this->IsPoolHome(now);
  if (!is_pool_home) {
    for (auto& [vm, inbound] : this->inbound_loans) inbound.pooled = false;
    return;
  }
  const auto own_rank = this->PoolRank(this->context.domain);
  for (const auto& share : this->cached_row->domains) {
    if (this->PoolRank(share.domain) <= own_rank) continue;
    const auto lender = this->LenderIn(share.domain);
    if (!lender) continue;
    auto& inbound = this->inbound_loans[lender->vm];
    inbound.lender = *lender;
    inbound.domain = share.domain;
    inbound.pooled = true;
    const auto due = inbound.loan.reported_at() +
                     this->context.settings.pool_renewal_interval;
    if (inbound.loan.reported_at() != base::Instant{} && now < due) continue;
    auto report = this->EmptyReport();
    report.whole_share = true;
    actions.messages.push_back(
        {*lender, inbound.loan.MakeReport(std::move(report), now)});
  }
}

}  // namespace gypsumtrack::policy
