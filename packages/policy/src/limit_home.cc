#include "gypsumtrack/policy/limit_home.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

/// Waiting requests are kept if refill will serve them within this time.
constexpr auto kRefillWait = std::chrono::milliseconds(30);
constexpr auto kRecallGap = std::chrono::milliseconds(20);
constexpr auto kShortestRetry = std::chrono::milliseconds(5);
constexpr auto kLongestRetry = std::chrono::milliseconds(500);
constexpr auto kRecentDemand = std::chrono::seconds(4);
constexpr auto kIdleAfter = std::chrono::seconds(60);
constexpr auto kDemandStep = std::chrono::seconds(1);
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
      loans(FirstSequence(now)),
      bucket({}, now),
      active_at(now) {}

void LimitHome::OnLimit(base::Revision next_revision, const Limit& next,
                        base::Instant now, LimitActions& actions) {
  if (next_revision < this->revision) return;
  this->revision = next_revision;
  if (this->limit == next) return;
  this->limit = next;
  this->limit_changed_at = now;
  this->Rebalance(now);
  this->Adjust(now, actions);
}

bool LimitHome::Usable(base::Instant now) const {
  if (!this->claimed || !this->limit) return false;
  return now >= this->usable_from && this->context.lease.Valid(now);
}

Quota LimitHome::OwnShare() const {
  if (!this->claimed || !this->cached || !this->limit) return {};
  const auto* share = FindShare(*this->cached, this->context.domain);
  if (share == nullptr) return {};
  auto own = CutShare(*share, this->limit->quota);
  if (this->written && this->context.settings.reduce_share_before_write) {
    const auto* next = FindShare(*this->written, this->context.domain);
    if (next != nullptr) own = Min(own, next->share);
  }
  return own;
}

Quota LimitHome::Borrowed() const {
  Quota sum;
  for (const auto& [vm, in] : this->in_loans) sum += in.loan.held();
  return sum;
}

/// Loans that outlast any loan made from them.
Quota LimitHome::UsableInLoans(base::Instant now) const {
  const auto least = WithClockSlack(this->context.settings.serve_ttl);
  Quota sum;
  for (const auto& [vm, in] : this->in_loans) {
    if (in.loan.expires() - now >= least) sum += in.loan.held();
  }
  return sum;
}

void LimitHome::Rebalance(base::Instant now) {
  this->loans.Expire(now);
  for (auto& [vm, in] : this->in_loans) in.loan.Expire(now);
  std::erase_if(this->in_loans, [&](const auto& item) {
    return IsZero(item.second.loan.held()) &&
           now >= item.second.loan.reported_at() + kIdleAfter;
  });
  auto own = this->OwnShare();
  own.rate = WithClockSlack(own.rate);
  const auto total = own + this->UsableInLoans(now) - this->loans.Out();
  this->overdrawn = total.rate < 0 || total.capacity < 0;
  this->bucket.SetQuota(AtLeastZero(total), now);
}

base::Duration LimitHome::Ttl(LoanRole role, bool pool, const Quota& added,
                              base::Instant now) const {
  const auto& settings = this->context.settings;
  auto ttl = role == LoanRole::kServe ? settings.serve_ttl
             : pool                   ? settings.pool_ttl
                                      : settings.home_ttl;
  auto own = this->OwnShare();
  own.rate = WithClockSlack(own.rate);
  const auto homes = this->loans.OutToHomes() + added;
  const bool own_covers =
      homes.rate <= own.rate && homes.capacity <= own.capacity;
  if (role == LoanRole::kHome && own_covers) return ttl;
  const auto least = WithClockSlack(settings.serve_ttl);
  for (const auto& [vm, in] : this->in_loans) {
    const auto left = in.loan.expires() - now;
    if (left < least || IsZero(in.loan.held())) continue;
    ttl = std::min<base::Duration>(ttl, left * 100 / 104);
  }
  return ttl;
}

void LimitHome::OnReport(const LimitPeer& from, const LoanReport& report,
                         base::Instant now, LimitActions& actions) {
  if (report.role == LoanRole::kServe || report.waiting > 0) {
    this->active_at = now;
  }
  if (!this->Usable(now)) {
    this->ReadRow(now, actions);
    if (!this->cached && this->reading) {
      this->early.insert_or_assign(Borrower{from.vm, report.role},
                                   EarlyReport{from, report});
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
  const auto returned = this->loans.OnReport(from, report, now);
  if (!returned) return;
  if (report.role == LoanRole::kHome && this->cached) {
    for (const auto& share : this->cached->domains) {
      if (share.home.vm != from.vm) continue;
      this->news[share.domain] = {report.demand, now};
    }
  }
  this->Rebalance(now);
  this->bucket.Add(*returned, now);
  const Borrower borrower{from.vm, report.role};
  if (report.role == LoanRole::kServe) this->asked -= *returned;
  this->Serve(now, actions);
  auto* entry = this->loans.Find(borrower);
  if (entry != nullptr && entry->pool) {
    this->ServePool(borrower, now, actions);
  }
  entry = this->loans.Find(borrower);
  // A VM whose requests must wait is told that it has been heard.
  const bool answer_due =
      entry != nullptr && entry->answered < entry->last_number &&
      (report.waiting == 0 || report.role == LoanRole::kServe);
  if (answer_due && AsksForAnswer(report)) {
    this->Send(borrower, {}, 0, {}, now, actions);
  }
  this->ReturnIdle(now, actions);
}

void LimitHome::Send(const Borrower& to, const Quota& added,
                     std::int64_t tokens, base::Duration retry_after,
                     base::Instant now, LimitActions& actions) {
  auto* entry = this->loans.Find(to);
  // What was lent under a higher limit isn't renewed: it lapses.
  const auto ttl = this->overdrawn && IsZero(added)
                       ? base::Duration{}
                       : this->Ttl(to.role, entry->pool, added, now);
  auto grant = this->loans.Grant(to, this->key, added, tokens, ttl, now);
  if (to.role == LoanRole::kServe) this->asked += tokens;
  grant.retry_after = retry_after;
  grant.demand = this->Demand();
  actions.messages.push_back({{to.vm, entry->address}, std::move(grant)});
  this->Rebalance(now);
}

void LimitHome::Serve(base::Instant now, LimitActions& actions) {
  this->wake_at = base::kNever;
  if (!this->Usable(now)) return;
  const auto unmet = this->ServeWaiting(now, actions);
  if (unmet == 0) {
    this->ServeStocks(now, actions);
    return;
  }
  const auto soon =
      this->bucket.AvailableAt(unmet * kMicroRequestsPerRequest, now);
  if (soon != base::kNever && soon <= now + kRefillWait) {
    this->wake_at = this->bucket.AvailableAt(kMicroRequestsPerRequest, now);
    return;
  }
  const bool recalled = this->RecallStocks(now, actions);
  const bool asked = this->AskOthers(unmet, now, actions);
  if (!recalled && !asked) this->RefuseWaiting(now, actions);
}

/// Returns how many requests still wait.
std::uint32_t LimitHome::ServeWaiting(base::Instant now,
                                      LimitActions& actions) {
  std::uint32_t unmet = 0;
  std::vector<Borrower> waiting;
  for (const auto& [borrower, entry] : this->loans.entries()) {
    if (entry.waiting > 0) waiting.push_back(borrower);
  }
  for (const auto& borrower : waiting) {
    auto* entry = this->loans.Find(borrower);
    auto whole = this->bucket.Tokens(now) / kMicroRequestsPerRequest;
    if (borrower.role == LoanRole::kHome) {
      whole = std::min(whole, this->LendableToHomes(now).capacity /
                                  kMicroRequestsPerRequest);
    }
    const auto given = std::min<std::int64_t>(entry->waiting, whole);
    if (given > 0) {
      const auto tokens =
          this->bucket.Take(given * kMicroRequestsPerRequest, now);
      entry->waiting -= static_cast<std::uint32_t>(given);
      this->Send(borrower, {0, tokens}, tokens, {}, now, actions);
    }
    entry = this->loans.Find(borrower);
    if (entry != nullptr) unmet += entry->waiting;
  }
  return unmet;
}

/// Fills stocks from what is above half of all that this home has.
void LimitHome::ServeStocks(base::Instant now, LimitActions& actions) {
  const auto all = this->OwnShare() + this->UsableInLoans(now);
  std::vector<Borrower> wanting;
  for (const auto& [borrower, entry] : this->loans.entries()) {
    const auto held = Outstanding(entry).capacity / kMicroRequestsPerRequest;
    if (entry.stock > held) wanting.push_back(borrower);
  }
  for (const auto& borrower : wanting) {
    auto* entry = this->loans.Find(borrower);
    if (entry == nullptr) continue;
    const auto spare = (this->bucket.Tokens(now) - all.capacity / 2) / 2;
    const auto held = Outstanding(*entry).capacity / kMicroRequestsPerRequest;
    const auto given = std::min<std::int64_t>(entry->stock - held,
                                              spare / kMicroRequestsPerRequest);
    entry->stock = 0;
    if (given <= 0) continue;
    const auto tokens =
        this->bucket.Take(given * kMicroRequestsPerRequest, now);
    this->Send(borrower, {0, tokens}, tokens, {}, now, actions);
  }
}

/// What was borrowed goes back to its lender, not on to others, but for the one
/// home that pools the limit.
Quota LimitHome::LendableToHomes(base::Instant now) const {
  if (this->IsPoolMain(now)) return this->bucket.quota();
  auto own = this->OwnShare();
  own.rate = WithClockSlack(own.rate);
  own -= this->loans.OutToHomes();
  return Min(this->bucket.quota(), AtLeastZero(own));
}

/// Lends a domain that precedes this one all that lies here.
void LimitHome::ServePool(const Borrower& borrower, base::Instant now,
                          LimitActions& actions) {
  if (this->cached) {
    for (const auto& share : this->cached->domains) {
      if (share.home.vm != borrower.vm) continue;
      if (this->Rank(share.domain) > this->Rank(this->context.domain)) return;
    }
  }
  this->Rebalance(now);
  auto all = this->LendableToHomes(now);
  all.capacity =
      all.capacity / kMicroRequestsPerRequest * kMicroRequestsPerRequest;
  const auto tokens = this->bucket.Take(all.capacity, now);
  this->Send(borrower, all, tokens, {}, now, actions);
}

/// Whether stocks are on their way back.
bool LimitHome::RecallStocks(base::Instant now, LimitActions& actions) {
  bool under_way = false;
  for (auto& [borrower, entry] : this->loans.entries()) {
    if (borrower.role != LoanRole::kServe || entry.waiting > 0) continue;
    if (Outstanding(entry).capacity <= 0) continue;
    if (now < entry.recalled + kRecallGap) {
      under_way = under_way || entry.heard < entry.recalled;
      continue;
    }
    // Asked again only after it has had time to use what it kept.
    if (entry.recalled != base::Instant{} && entry.heard < entry.recalled) {
      continue;
    }
    entry.recalled = now;
    under_way = true;
    actions.messages.push_back({{borrower.vm, entry.address},
                                LoanRecall{this->key, LoanRole::kServe}});
  }
  return under_way;
}

void LimitHome::RefuseWaiting(base::Instant now, LimitActions& actions) {
  const auto retry = this->RetryAfter(now);
  std::vector<Borrower> waiting;
  for (auto& [borrower, entry] : this->loans.entries()) {
    if (entry.waiting == 0) continue;
    if (borrower.role == LoanRole::kServe) {
      this->asked += entry.waiting * kMicroRequestsPerRequest;
    }
    entry.waiting = 0;
    waiting.push_back(borrower);
  }
  for (const auto& borrower : waiting) {
    this->Send(borrower, {}, 0, retry, now, actions);
  }
}

base::Duration LimitHome::RetryAfter(base::Instant now) const {
  auto at = this->bucket.AvailableAt(kMicroRequestsPerRequest, now);
  for (const auto& [vm, in] : this->in_loans) {
    if (in.refused_until > now) at = std::min(at, in.refused_until);
  }
  if (at == base::kNever) return kLongestRetry;
  const base::Duration wait = at - now;
  return std::clamp<base::Duration>(wait, kShortestRetry, kLongestRetry);
}

void LimitHome::MeasureDemand(base::Instant now) {
  const auto elapsed = now - this->measured_at;
  if (elapsed < kDemandStep) return;
  const auto seconds = std::chrono::duration<double>(elapsed).count();
  const auto rate = static_cast<double>(this->asked) / seconds;
  const auto weight = std::min(
      1.0, seconds / std::chrono::duration<double>(kDemandWindow).count());
  const auto before = static_cast<double>(this->demand);
  this->demand = std::max<std::int64_t>(
      0, std::llround(before + weight * (rate - before)));
  this->asked = 0;
  this->measured_at = now;
}

std::int64_t LimitHome::TokensLeft(base::Instant now) const {
  const auto total =
      this->OwnShare() + this->UsableInLoans(now) - this->loans.Out();
  const auto most = std::max<std::int64_t>(total.capacity, 0);
  return std::min(this->bucket.Tokens(now), most);
}

std::optional<LimitPeer> LimitHome::KnownHome() const {
  if (!this->cached) return std::nullopt;
  const auto* share = FindShare(*this->cached, this->context.domain);
  if (share == nullptr || share->home.vm.name.empty()) return std::nullopt;
  return share->home;
}

bool LimitHome::Idle(base::Instant now) const {
  return !this->claimed && !this->reading && !this->writing &&
         now >= this->active_at + kIdleAfter;
}

void LimitHome::Tick(base::Instant now, LimitActions& actions) {
  if (!this->limit) return;
  if (!this->claimed) {
    const bool wanted = now < this->active_at + kRecentDemand;
    if (wanted) this->ReadRow(now, actions);
    return;
  }
  if (!this->context.lease.Condition()) {
    this->claimed = false;
    return;
  }
  if (now >= this->row_read + this->context.settings.row_refresh_interval) {
    this->ReadRow(now, actions);
  }
  this->Adjust(now, actions);
  if (!this->Usable(now)) return;
  this->Rebalance(now);
  this->MeasureDemand(now);
  this->RenewPool(now, actions);
  this->MoveTowardsDemand(now, actions);
  this->Serve(now, actions);
  this->ReturnIdle(now, actions);
}

}  // namespace gypsumtrack::policy
