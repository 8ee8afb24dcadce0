#include "gypsumtrack/policy/limit_slices.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gypsumtrack::policy {
namespace {

/// Time constant of the average demand.
constexpr auto kDemandWindow = std::chrono::seconds(2);
constexpr auto kDemandUpdateInterval = std::chrono::milliseconds(200);
/// Below this demand, in micro-requests a second, no tokens are prefetched.
constexpr std::int64_t kMinPrefetchDemand = kMicroRequestsPerRequest;
/// Prefetched tokens cover this many seconds of demand.
constexpr double kPrefetchSeconds = 0.7;
/// A home that hasn't replied for this long is taken to be unresponsive.
constexpr auto kHomeReplyTimeout = std::chrono::milliseconds(15);
/// How long tokens are also requested from other domains after the home has
/// reported that it can't lend.
constexpr auto kHomeNotReadyDelay = std::chrono::milliseconds(100);
constexpr auto kIdleTimeout = std::chrono::seconds(30);

}  // namespace

LimitSlices::LimitSlices(const LimitSettings& settings, LimitKey key)
    : settings(settings), key(std::move(key)) {}

LimitSlices::Source& LimitSlices::GetOrCreateSource(const LimitPeer& peer) {
  auto& source = this->sources[peer.vm];
  source.peer = peer;
  return source;
}

LimitDecision LimitSlices::Admit(const LimitRequest& request,
                                 const LimitLenders& lenders, base::Instant now,
                                 LimitActions& actions) {
  this->last_request_at = now;
  ++this->new_requests;
  this->UpdateDemand(now);
  if (this->waiting.empty() && this->TakeToken(now)) {
    this->Tick(lenders, now, actions);
    return LimitDecision::kAdmitted;
  }
  if (now < this->refuse_until) return LimitDecision::kOverRate;
  this->waiting.push_back(request);
  this->RequestTokens(lenders, now, actions);
  return LimitDecision::kWaiting;
}

void LimitSlices::CountAdmitted(std::uint32_t requests) {
  this->new_requests += requests;
}

bool LimitSlices::TakeToken(base::Instant now) {
  for (auto& [vm, source] : this->sources) {
    // The zero instant is before any expiry, so it skips the check.
    const auto at = this->settings.enforce_expiry ? now : base::Instant{};
    if (source.slice->TryTake(at)) return true;
  }
  return false;
}

void LimitSlices::DetectSpentTokens(Source& source) {
  const auto tokens = source.slice->tokens();
  if (tokens < source.known_tokens) source.report_due = true;
  source.known_tokens = tokens;
}

/// Updates the loan to what its slice still holds; drops both if the loan has
/// expired.
void LimitSlices::SyncLoan(Source& source, base::Instant now) {
  const bool expired =
      this->settings.enforce_expiry && now >= source.loan.expires();
  if (expired) {
    source.slice->Take(TokenSlice::kMaxTokens);
    source.loan.Expire(now);
  }
  this->DetectSpentTokens(source);
  source.loan.SetHeld({0, source.known_tokens * kMicroRequestsPerRequest});
}

void LimitSlices::SendReport(Source& source, bool return_all, base::Instant now,
                             LimitActions& actions) {
  this->SyncLoan(source, now);
  const auto target = this->PrefetchTarget();
  const auto wanted = return_all ? 0 : target;
  // Hysteresis: tokens above the target are returned only once more than twice
  // the target is held.
  if (source.known_tokens > 2 * wanted + 1 || return_all) {
    const auto surplus =
        source.known_tokens - std::min(source.known_tokens, wanted);
    const auto returned =
        source.slice->Take(surplus) * kMicroRequestsPerRequest;
    source.loan.Return({0, returned}, returned);
    source.known_tokens = source.slice->tokens();
    source.loan.SetHeld({0, source.known_tokens * kMicroRequestsPerRequest});
  }
  source.report_due = false;
  source.reported_waiting = static_cast<std::uint32_t>(this->waiting.size());
  LoanReport report;
  report.key = this->key;
  report.waiting = static_cast<std::uint32_t>(this->waiting.size());
  report.prefetch = return_all ? 0 : target;
  report.demand = this->demand_rate;
  actions.messages.push_back(
      {source.peer, source.loan.MakeReport(std::move(report), now)});
}

void LimitSlices::RequestFrom(const LimitPeer& peer, base::Instant now,
                              LimitActions& actions) {
  auto& source = this->GetOrCreateSource(peer);
  source.report_due = true;
  if (now < source.refused_until) return;
  const auto reported_at = source.loan.reported_at();
  if (reported_at != base::Instant{} &&
      now < reported_at + this->settings.min_report_interval) {
    return;
  }
  this->SendReport(source, false, now, actions);
}

void LimitSlices::RequestTokens(const LimitLenders& lenders, base::Instant now,
                                LimitActions& actions) {
  bool home_unresponsive = !lenders.home || now < this->home_unavailable_until;
  if (lenders.home) {
    const auto unanswered_since =
        this->GetOrCreateSource(*lenders.home).loan.UnansweredSince();
    home_unresponsive =
        home_unresponsive ||
        (unanswered_since && now >= *unanswered_since + kHomeReplyTimeout);
    this->RequestFrom(*lenders.home, now, actions);
  }
  if (!home_unresponsive) return;
  for (const auto& other : lenders.others) {
    const auto& source = this->GetOrCreateSource(other);
    const auto unanswered_since = source.loan.UnansweredSince();
    if (unanswered_since && now < source.loan.reported_at() +
                                      this->settings.cross_domain_interval) {
      continue;
    }
    this->RequestFrom(other, now, actions);
  }
}

void LimitSlices::OnGrant(const LimitPeer& from, const LoanGrant& grant,
                          base::Instant now, LimitActions& actions) {
  const auto found = this->sources.find(from.vm);
  if (found == this->sources.end()) return;
  auto& source = found->second;
  this->SyncLoan(source, now);
  if (const auto accepted = source.loan.Accept(grant, now)) {
    const auto tokens =
        static_cast<std::uint32_t>(accepted->tokens / kMicroRequestsPerRequest);
    source.slice->Add(tokens, accepted->expires);
    source.known_tokens = source.slice->tokens();
    this->AdmitWaiting(now, actions);
    this->DetectSpentTokens(source);
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
    this->SendReport(found->second, true, now, actions);
  }
}

void LimitSlices::OnHomeNotReady(base::Instant now) {
  this->home_unavailable_until = now + kHomeNotReadyDelay;
}

void LimitSlices::AdmitWaiting(base::Instant now, LimitActions& actions) {
  while (!this->waiting.empty() && this->TakeToken(now)) {
    actions.results.push_back(
        {this->waiting.front().id, LimitDecision::kAdmitted, {}});
    this->waiting.pop_front();
  }
}

void LimitSlices::RefuseWaiting(base::Instant retry_at, LimitActions& actions) {
  for (const auto& request : this->waiting) {
    actions.results.push_back({request.id, LimitDecision::kOverRate, retry_at});
  }
  this->waiting.clear();
}

void LimitSlices::Tick(const LimitLenders& lenders, base::Instant now,
                       LimitActions& actions) {
  this->UpdateDemand(now);
  std::erase_if(this->waiting, [&](const LimitRequest& request) {
    if (now < request.deadline) return false;
    const auto retry_at = now + this->settings.cross_domain_interval;
    actions.results.push_back({request.id, LimitDecision::kOverRate, retry_at});
    return true;
  });
  if (!this->waiting.empty()) this->RequestTokens(lenders, now, actions);
  for (auto& [vm, source] : this->sources) {
    const bool is_home = lenders.home && lenders.home->vm == vm;
    this->MaintainLoan(source, is_home, now, actions);
  }
  std::erase_if(this->sources, [&](const auto& item) {
    const auto& source = item.second;
    return source.known_tokens == 0 && this->waiting.empty() &&
           now >= source.loan.reported_at() + kIdleTimeout;
  });
}

/// Sends a report if spent capacity is to be returned, the loan is to be
/// renewed, a report is unanswered, or tokens are needed.
void LimitSlices::MaintainLoan(Source& source, bool is_home, base::Instant now,
                               LimitActions& actions) {
  this->DetectSpentTokens(source);
  const auto since_report = now - source.loan.reported_at();
  if (since_report < this->settings.min_report_interval) return;
  const auto target = is_home ? this->PrefetchTarget() : 0;
  const bool below_half = 2 * source.known_tokens <= target;
  const bool renewal_due =
      source.known_tokens > 0 && since_report >= this->settings.serve_ttl / 3;
  const bool unanswered = source.loan.UnansweredSince().has_value();
  const bool retry_due = unanswered &&
                         since_report >= this->settings.report_retry_interval &&
                         (source.report_due || !this->waiting.empty());
  const bool spent_due = source.report_due && !unanswered && below_half;
  const bool prefetch_due =
      target > 0 && below_half && !unanswered && now >= source.refused_until &&
      since_report >= this->settings.cross_domain_interval;
  const bool more_waiting = this->waiting.size() > source.reported_waiting &&
                            now >= source.refused_until;
  if (spent_due || renewal_due || retry_due || prefetch_due || more_waiting) {
    this->SendReport(source, !is_home && this->waiting.empty(), now, actions);
  }
}

void LimitSlices::UpdateDemand(base::Instant now) {
  const auto elapsed = now - this->demand_updated_at;
  if (elapsed < kDemandUpdateInterval) return;
  for (auto& [vm, source] : this->sources) this->DetectSpentTokens(source);
  const auto seconds = std::chrono::duration<double>(elapsed).count();
  const auto rate = static_cast<double>(this->new_requests) *
                    kMicroRequestsPerRequest / seconds;
  const auto weight =
      1 -
      std::exp(-seconds / std::chrono::duration<double>(kDemandWindow).count());
  const auto before = static_cast<double>(this->demand_rate);
  this->demand_rate = std::llround(before + weight * (rate - before));
  this->new_requests = 0;
  this->demand_updated_at = now;
}

std::uint32_t LimitSlices::PrefetchTarget() const {
  if (this->demand_rate < kMinPrefetchDemand) return 0;
  const auto demand =
      static_cast<double>(this->demand_rate) / kMicroRequestsPerRequest;
  return static_cast<std::uint32_t>(std::ceil(demand * kPrefetchSeconds));
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
         now >= this->last_request_at + kIdleTimeout;
}

base::Instant LimitSlices::NextWake() const {
  auto wake = base::kNever;
  if (!this->waiting.empty()) wake = this->waiting.front().deadline;
  for (const auto& [vm, source] : this->sources) {
    const bool below_half = 2 * source.known_tokens <= this->PrefetchTarget();
    const bool more_waiting = this->waiting.size() > source.reported_waiting;
    const bool spent_due =
        source.report_due && below_half && !source.loan.UnansweredSince();
    if (!spent_due && !more_waiting) continue;
    wake = std::min(
        wake, source.loan.reported_at() + this->settings.min_report_interval);
  }
  return wake;
}

}  // namespace gypsumtrack::policy
