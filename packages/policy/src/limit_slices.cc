#include "gypsumtrack/policy/limit_slices.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gypsumtrack::policy {
namespace {

/// Demand is averaged over about this long.
constexpr auto kDemandWindow = std::chrono::seconds(2);
constexpr auto kDemandStep = std::chrono::milliseconds(200);
/// Slower callers hold no tokens ahead of requests.
constexpr std::int64_t kStockDemand = kMicroRequestsPerRequest;
/// A stock covers so many seconds of demand.
constexpr double kStockSeconds = 0.7;
constexpr auto kHomeSilent = std::chrono::milliseconds(15);
constexpr auto kHomeNotReadyPause = std::chrono::milliseconds(100);
constexpr auto kIdleAfter = std::chrono::seconds(30);

}  // namespace

LimitSlices::LimitSlices(const LimitSettings& settings, LimitKey key)
    : settings(settings), key(std::move(key)) {}

LimitSlices::Source& LimitSlices::SourceOf(const LimitPeer& peer) {
  auto& source = this->sources[peer.vm];
  source.peer = peer;
  return source;
}

LimitDecision LimitSlices::Admit(const LimitRequest& request,
                                 const LimitLenders& lenders, base::Instant now,
                                 LimitActions& actions) {
  this->active_at = now;
  ++this->seen;
  this->MeasureDemand(now);
  if (this->waiting.empty() && this->TakeToken(now)) {
    this->Tick(lenders, now, actions);
    return LimitDecision::kAdmitted;
  }
  if (now < this->refuse_until) return LimitDecision::kOverRate;
  this->waiting.push_back(request);
  this->Ask(lenders, now, actions);
  return LimitDecision::kWaiting;
}

void LimitSlices::CountAdmitted(std::uint32_t requests) {
  this->seen += requests;
}

bool LimitSlices::TakeToken(base::Instant now) {
  for (auto& [vm, source] : this->sources) {
    const auto at = this->settings.enforce_expiry ? now : base::Instant{};
    if (source.slice->TryTake(at)) return true;
  }
  return false;
}

void LimitSlices::CountSpent(Source& source) {
  const auto left = source.slice->tokens();
  if (left < source.known_tokens) source.report_due = true;
  source.known_tokens = left;
}

/// Brings the loan in line with the slice.
void LimitSlices::Settle(Source& source, base::Instant now) {
  const bool lapsed =
      this->settings.enforce_expiry && now >= source.loan.expires();
  if (lapsed) {
    source.slice->Take(TokenSlice::kMaxTokens);
    source.loan.Expire(now);
  }
  this->CountSpent(source);
  source.loan.Keep({0, source.known_tokens * kMicroRequestsPerRequest});
}

void LimitSlices::ReportTo(Source& source, bool give_back, base::Instant now,
                           LimitActions& actions) {
  this->Settle(source, now);
  const auto stock = this->StockWanted();
  const auto wanted = give_back ? 0 : stock;
  if (source.known_tokens > 2 * wanted + 1 || give_back) {
    const auto surplus =
        source.known_tokens - std::min(source.known_tokens, wanted);
    const auto returned =
        source.slice->Take(surplus) * kMicroRequestsPerRequest;
    source.loan.Return({0, returned}, returned);
    source.known_tokens = source.slice->tokens();
    source.loan.Keep({0, source.known_tokens * kMicroRequestsPerRequest});
  }
  source.report_due = false;
  source.asked = static_cast<std::uint32_t>(this->waiting.size());
  LoanReport wants;
  wants.key = this->key;
  wants.waiting = static_cast<std::uint32_t>(this->waiting.size());
  wants.prefetch = give_back ? 0 : stock;
  wants.demand = this->rate_seen;
  actions.messages.push_back(
      {source.peer, source.loan.Report(std::move(wants), now)});
}

void LimitSlices::AskSource(const LimitPeer& peer, base::Instant now,
                            LimitActions& actions) {
  auto& source = this->SourceOf(peer);
  source.report_due = true;
  if (now < source.refused_until) return;
  const auto since = source.loan.reported_at();
  if (since != base::Instant{} && now < since + this->settings.report_gap) {
    return;
  }
  this->ReportTo(source, false, now, actions);
}

void LimitSlices::Ask(const LimitLenders& lenders, base::Instant now,
                      LimitActions& actions) {
  bool silent = !lenders.home || now < this->home_silent_until;
  if (lenders.home) {
    const auto since = this->SourceOf(*lenders.home).loan.UnansweredSince();
    silent = silent || (since && now >= *since + kHomeSilent);
    this->AskSource(*lenders.home, now, actions);
  }
  if (!silent) return;
  for (const auto& other : lenders.others) {
    const auto& source = this->SourceOf(other);
    const auto since = source.loan.UnansweredSince();
    if (since && now < source.loan.reported_at() + this->settings.foreign_gap) {
      continue;
    }
    this->AskSource(other, now, actions);
  }
}

void LimitSlices::OnGrant(const LimitPeer& from, const LoanGrant& grant,
                          base::Instant now, LimitActions& actions) {
  const auto found = this->sources.find(from.vm);
  if (found == this->sources.end()) return;
  auto& source = found->second;
  this->Settle(source, now);
  if (const auto taken = source.loan.Take(grant, now)) {
    const auto tokens =
        static_cast<std::uint32_t>(taken->tokens / kMicroRequestsPerRequest);
    source.slice->Add(tokens, taken->expires);
    source.known_tokens = source.slice->tokens();
    this->ServeWaiting(now, actions);
    this->CountSpent(source);
  }
  if (grant.retry_after.count() <= 0) return;
  source.refused_until = now + grant.retry_after;
  const bool others_may_lend = std::any_of(
      this->sources.begin(), this->sources.end(), [&](const auto& item) {
        return item.first != from.vm && now >= item.second.refused_until &&
               item.second.loan.UnansweredSince().has_value();
      });
  if (others_may_lend) return;
  this->refuse_until = now + grant.retry_after;
  this->RefuseWaiting(this->refuse_until, actions);
}

void LimitSlices::OnRecall(const LimitPeer& from, base::Instant now,
                           LimitActions& actions) {
  const auto found = this->sources.find(from.vm);
  if (found != this->sources.end()) {
    this->ReportTo(found->second, true, now, actions);
  }
}

void LimitSlices::OnHomeNotReady(base::Instant now) {
  this->home_silent_until = now + kHomeNotReadyPause;
}

void LimitSlices::ServeWaiting(base::Instant now, LimitActions& actions) {
  while (!this->waiting.empty() && this->TakeToken(now)) {
    actions.results.push_back(
        {this->waiting.front().id, LimitDecision::kAdmitted, {}});
    this->waiting.pop_front();
  }
}

void LimitSlices::RefuseWaiting(base::Instant retry, LimitActions& actions) {
  for (const auto& request : this->waiting) {
    actions.results.push_back({request.id, LimitDecision::kOverRate, retry});
  }
  this->waiting.clear();
}

void LimitSlices::Tick(const LimitLenders& lenders, base::Instant now,
                       LimitActions& actions) {
  this->MeasureDemand(now);
  std::erase_if(this->waiting, [&](const LimitRequest& request) {
    if (now < request.deadline) return false;
    const auto retry = now + this->settings.foreign_gap;
    actions.results.push_back({request.id, LimitDecision::kOverRate, retry});
    return true;
  });
  if (!this->waiting.empty()) this->Ask(lenders, now, actions);
  for (auto& [vm, source] : this->sources) {
    const bool is_home = lenders.home && lenders.home->vm == vm;
    this->Maintain(source, is_home, now, actions);
  }
  std::erase_if(this->sources, [&](const auto& item) {
    const auto& source = item.second;
    return source.known_tokens == 0 && this->waiting.empty() &&
           now >= source.loan.reported_at() + kIdleAfter;
  });
}

/// Gives spent capacity back, renews the loan and fills the stock up.
void LimitSlices::Maintain(Source& source, bool is_home, base::Instant now,
                           LimitActions& actions) {
  this->CountSpent(source);
  const auto since = now - source.loan.reported_at();
  if (since < this->settings.report_gap) return;
  const auto stock = is_home ? this->StockWanted() : 0;
  const bool low = 2 * source.known_tokens <= stock;
  const bool renewal =
      source.known_tokens > 0 && since >= this->settings.serve_ttl / 3;
  const bool unanswered = source.loan.UnansweredSince().has_value();
  const bool retry = unanswered && since >= this->settings.report_retry &&
                     (source.report_due || !this->waiting.empty());
  const bool spent = source.report_due && !unanswered && low;
  const bool fill = stock > 0 && low && !unanswered &&
                    now >= source.refused_until &&
                    since >= this->settings.foreign_gap;
  const bool more_waiting =
      this->waiting.size() > source.asked && now >= source.refused_until;
  if (spent || renewal || retry || fill || more_waiting) {
    this->ReportTo(source, !is_home && this->waiting.empty(), now, actions);
  }
}

void LimitSlices::MeasureDemand(base::Instant now) {
  const auto elapsed = now - this->measured_at;
  if (elapsed < kDemandStep) return;
  for (auto& [vm, source] : this->sources) this->CountSpent(source);
  const auto seconds = std::chrono::duration<double>(elapsed).count();
  const auto rate =
      static_cast<double>(this->seen) * kMicroRequestsPerRequest / seconds;
  const auto weight =
      1 -
      std::exp(-seconds / std::chrono::duration<double>(kDemandWindow).count());
  const auto before = static_cast<double>(this->rate_seen);
  this->rate_seen = std::llround(before + weight * (rate - before));
  this->seen = 0;
  this->measured_at = now;
}

std::uint32_t LimitSlices::StockWanted() const {
  if (this->rate_seen < kStockDemand) return 0;
  const auto demand =
      static_cast<double>(this->rate_seen) / kMicroRequestsPerRequest;
  return static_cast<std::uint32_t>(std::ceil(demand * kStockSeconds));
}

std::shared_ptr<TokenSlice> LimitSlices::Slice(const base::VmId& lender) const {
  const auto found = this->sources.find(lender);
  return found == this->sources.end() ? nullptr : found->second.slice;
}

std::uint32_t LimitSlices::TokensHeld(base::Instant now) const {
  std::uint32_t tokens = 0;
  for (const auto& [vm, source] : this->sources) {
    if (now < source.slice->expires()) tokens += source.slice->tokens();
  }
  return tokens;
}

bool LimitSlices::Idle(base::Instant now) const {
  return this->waiting.empty() && this->TokensHeld(now) == 0 &&
         now >= this->active_at + kIdleAfter;
}

base::Instant LimitSlices::NextWake() const {
  auto wake = base::kNever;
  if (!this->waiting.empty()) wake = this->waiting.front().deadline;
  for (const auto& [vm, source] : this->sources) {
    const bool low = 2 * source.known_tokens <= this->StockWanted();
    const bool more_waiting = this->waiting.size() > source.asked;
    const bool spent =
        source.report_due && low && !source.loan.UnansweredSince();
    if (!spent && !more_waiting) continue;
    wake =
        std::min(wake, source.loan.reported_at() + this->settings.report_gap);
  }
  return wake;
}

}  // namespace gypsumtrack::policy
