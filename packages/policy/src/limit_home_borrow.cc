#include <algorithm>
#include <utility>

#include "gypsumtrack/policy/limit_home.h"

namespace gypsumtrack::policy {
namespace {

/// An unanswered question is taken for lost after this.
constexpr auto kAnswerWait = std::chrono::milliseconds(150);
constexpr auto kReturnGap = std::chrono::milliseconds(20);
/// A domain not heard for so long is taken to be cut off.
constexpr auto kDomainSilent = std::chrono::seconds(4);
/// A limit without requests for so long isn't pooled.
constexpr auto kPoolIdle = std::chrono::seconds(30);

}  // namespace

std::optional<LimitPeer> LimitHome::LenderIn(
    const base::FailureDomain& domain) const {
  const auto hint = this->hints.find(domain);
  if (hint != this->hints.end()) return hint->second;
  if (this->cached) {
    const auto* share = FindShare(*this->cached, domain);
    if (share != nullptr && !share->home.vm.name.empty()) return share->home;
  }
  const auto live = this->context.live.find(domain);
  if (live == this->context.live.end()) return std::nullopt;
  return RendezvousHome(this->key, live->second);
}

LoanReport LimitHome::Wants() const {
  LoanReport wants;
  wants.key = this->key;
  wants.role = LoanRole::kHome;
  wants.demand = this->Demand();
  return wants;
}

/// Asks other domains for tokens; true if an answer may still come.
bool LimitHome::AskOthers(std::uint32_t wanted, base::Instant now,
                          LimitActions& actions) {
  if (!this->cached) return false;
  for (const auto& [borrower, entry] : this->loans.entries()) {
    if (!entry.pool || Outstanding(entry).rate <= 0) continue;
    for (const auto& share : this->cached->domains) {
      if (share.home.vm != borrower.vm) continue;
      return this->AskOther(share.domain, share.home, wanted, now, actions);
    }
  }
  bool hope = false;
  for (const auto& share : this->cached->domains) {
    if (share.domain == this->context.domain) continue;
    const auto lender = this->LenderIn(share.domain);
    if (!lender) continue;
    hope |= this->AskOther(share.domain, *lender, wanted, now, actions);
  }
  return hope;
}

bool LimitHome::AskOther(const base::FailureDomain& domain,
                         const LimitPeer& lender, std::uint32_t wanted,
                         base::Instant now, LimitActions& actions) {
  auto& in = this->in_loans[lender.vm];
  in.lender = lender;
  in.domain = domain;
  if (now < in.refused_until) return false;
  // A domain that has lent its whole share has nothing left.
  if (in.pool && in.loan.held().rate > 0) return false;
  const auto since = in.loan.UnansweredSince();
  const auto reported = in.loan.reported_at();
  const auto& settings = this->context.settings;
  if (reported != base::Instant{} && now < reported + settings.report_gap) {
    this->wake_at = std::min(this->wake_at, reported + settings.report_gap);
    return true;
  }
  if (since && wanted <= in.asked && now < reported + settings.foreign_gap) {
    return now < *since + kAnswerWait;
  }
  in.asked = wanted;
  auto wants = this->Wants();
  wants.waiting = wanted;
  wants.whole_share = in.pool;
  actions.messages.push_back({lender, in.loan.Report(std::move(wants), now)});
  return !since || now < *since + kAnswerWait;
}

void LimitHome::OnGrant(const LimitPeer& from, const LoanGrant& grant,
                        base::Instant now, LimitActions& actions) {
  const auto found = this->in_loans.find(from.vm);
  if (found == this->in_loans.end()) return;
  auto& in = found->second;
  this->Rebalance(now);
  const auto taken = in.loan.Take(grant, now);
  if (!taken) return;
  this->news[in.domain] = {grant.demand, now};
  in.asked -= std::min(in.asked, static_cast<std::uint32_t>(
                                     taken->tokens / kMicroRequestsPerRequest));
  if (grant.retry_after.count() > 0) {
    in.refused_until = now + grant.retry_after;
  }
  this->Rebalance(now);
  this->bucket.Add(taken->tokens, now);
  this->Serve(now, actions);
}

void LimitHome::OnRecall(const LimitPeer& from, base::Instant now,
                         LimitActions& actions) {
  const auto found = this->in_loans.find(from.vm);
  if (found == this->in_loans.end()) return;
  this->ReturnIdle(now, actions);
}

void LimitHome::OnHomeHint(const LimitPeer& from, const HomeHint& hint,
                           base::Instant now) {
  const auto found = this->in_loans.find(from.vm);
  if (found == this->in_loans.end()) return;
  auto& in = found->second;
  if (hint.home.name.empty() || hint.home == from.vm) {
    in.refused_until = now + this->context.settings.foreign_gap;
    return;
  }
  this->hints[in.domain] = {hint.home, hint.address};
}

/// Gives capacity back that nobody here needs.
void LimitHome::ReturnIdle(base::Instant now, LimitActions& actions) {
  for (auto& [vm, in] : this->in_loans) {
    if (in.pool) continue;
    const auto held = in.loan.held();
    if (held.capacity <= 0 && held.rate <= 0) continue;
    if (now < in.loan.reported_at() + kReturnGap) continue;
    this->Rebalance(now);
    const auto spare = Min(held, this->bucket.quota());
    if (IsZero(spare)) continue;
    const auto left = this->bucket.quota() - spare;
    const auto tokens =
        std::max<std::int64_t>(this->bucket.Tokens(now) - left.capacity, 0);
    const auto taken = this->bucket.Take(tokens, now);
    in.loan.Return(spare, std::min(taken, spare.capacity));
    this->Rebalance(now);
    actions.messages.push_back({in.lender, in.loan.Report(this->Wants(), now)});
  }
}

/// Position in the order in which domains may pool the limit.
std::size_t LimitHome::Rank(const base::FailureDomain& domain) const {
  const auto* own = FindShare(*this->cached, domain);
  if (own == nullptr) return this->cached->domains.size();
  return static_cast<std::size_t>(
      std::count_if(this->cached->domains.begin(), this->cached->domains.end(),
                    [&](const DomainShare& other) {
                      if (other.share.capacity != own->share.capacity) {
                        return other.share.capacity > own->share.capacity;
                      }
                      return other.domain < domain;
                    }));
}

bool LimitHome::IsPoolMain(base::Instant now) const {
  if (!this->cached || !this->limit) return false;
  if (this->limit->quota.rate >= this->context.settings.pooled_rate) {
    return false;
  }
  if (now >= this->active_at + kPoolIdle) return false;
  const auto own = this->Rank(this->context.domain);
  return std::none_of(this->news.begin(), this->news.end(),
                      [&](const auto& item) {
                        return item.second.heard + kDomainSilent > now &&
                               this->Rank(item.first) < own;
                      });
}

/// Borrows the whole share of the other domains of a slow limit, so that its
/// bucket is in one piece.
void LimitHome::RenewPool(base::Instant now, LimitActions& actions) {
  const bool main = this->IsPoolMain(now);
  if (!main) {
    for (auto& [vm, in] : this->in_loans) in.pool = false;
    return;
  }
  const auto own = this->Rank(this->context.domain);
  for (const auto& share : this->cached->domains) {
    if (this->Rank(share.domain) <= own) continue;
    const auto lender = this->LenderIn(share.domain);
    if (!lender) continue;
    auto& in = this->in_loans[lender->vm];
    in.lender = *lender;
    in.domain = share.domain;
    in.pool = true;
    const auto due =
        in.loan.reported_at() + this->context.settings.pool_renewal_interval;
    if (in.loan.reported_at() != base::Instant{} && now < due) continue;
    auto wants = this->Wants();
    wants.whole_share = true;
    actions.messages.push_back(
        {*lender, in.loan.Report(std::move(wants), now)});
  }
}

}  // namespace gypsumtrack::policy
