#include "invariant_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "gypsumtrack/gateway/http_status.h"

namespace gypsumtrack::testing {
namespace {

namespace code = gateway::status;

/// Requests sent with a withdrawn key later than this after the withdrawal must
/// not run. Equals the setting bounds.revokeMs of the daemons.
constexpr base::Duration kWithdrawalBound = std::chrono::milliseconds(5000);
/// Items that reach an endpoint later than this after the end of their job must
/// not run. Equals the setting bounds.cancelMs of the daemons.
constexpr base::Duration kJobEndBound = std::chrono::milliseconds(3000);
/// How long a disruption excuses a daemon after it is over: contactMs of the
/// users' rules.
constexpr base::Duration kContact = std::chrono::milliseconds(4000);
constexpr base::Duration kRateWindow = std::chrono::seconds(5);
/// The settings bounds.quotaExcess and bounds.quotaSlack of the daemons: the
/// tolerated share and number of requests above a rate limit.
constexpr double kRateExcess = 0.1;
constexpr double kRateSlack = 20;

/// In any window of this length, from kContact after an endpoint first named
/// its limit, it may get 1.5 times what the limit allows and 5 requests more.
constexpr base::Duration kLimitWindow = std::chrono::seconds(4);
constexpr double kLimitFactor = 1.5;
constexpr double kLimitSlack = 5;

/// From kContact after a cut began, daemons that are cut from all endpoints
/// serve this share of what the others serve, unless at most so many tries fail
/// there: a number and a share of them.
constexpr double kCutServedShare = 2.0 / 3;
constexpr double kCutFailures = 10;
constexpr double kCutFailureShare = 1.0 / 50;

/// The tries of a group of daemons that no limit or rule refused.
struct TryCounts {
  double sent = 0;
  double served = 0;
};

/// Whether a try was refused for the caller's key or limit, which says nothing
/// about the daemon's reach.
bool WasRefusedByRules(unsigned status) {
  return status == code::kUnauthorized || status == code::kTooManyRequests;
}

/// Whether a status guarantees that the request has not run and never will.
bool GuaranteesNotRun(unsigned status) {
  constexpr std::array<unsigned, 4> kNotRunStatuses{
      code::kRequestTimeout, code::kMisdirected, code::kTooManyRequests,
      code::kUnavailable};
  return std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(), status) !=
         kNotRunStatuses.end();
}

/// The times at which a request was sent and first ran.
struct RequestInterval {
  base::Instant sent_at;
  base::Instant ran_at;
};

/// Returns the largest number of requests both sent and run within one window.
std::size_t MaxInWindow(const std::vector<RequestInterval>& all) {
  std::size_t most = 0;
  for (const auto& first : all) {
    const auto begin = first.sent_at;
    const auto end = begin + kRateWindow;
    const auto count = std::count_if(
        all.begin(), all.end(),
        [&](const auto& p) { return p.sent_at >= begin && p.ran_at < end; });
    most = std::max(most, static_cast<std::size_t>(count));
  }
  return most;
}

/// Returns the largest number of times within one window. Precondition: sorted.
std::size_t MaxTimesInWindow(const std::vector<base::Instant>& times,
                             base::Duration window) {
  std::size_t most = 0;
  for (auto first = times.begin(); first != times.end(); ++first) {
    const auto end = std::lower_bound(first, times.end(), *first + window);
    most = std::max(most, static_cast<std::size_t>(end - first));
  }
  return most;
}

}  // namespace

void InvariantChecker::RecordRequest(const std::string& id,
                                     RequestRecord record) {
  const std::lock_guard lock(this->mutex);
  this->requests[id] = std::move(record);
}

void InvariantChecker::RecordResponse(const std::string& id, unsigned status) {
  const std::lock_guard lock(this->mutex);
  this->requests[id].status = status;
}

void InvariantChecker::RecordItem(const std::string& id, ItemRecord item) {
  const std::lock_guard lock(this->mutex);
  this->items[id] = std::move(item);
}

void InvariantChecker::RecordSubmission(const std::string& job,
                                        unsigned status) {
  const std::lock_guard lock(this->mutex);
  const auto [entry, is_new] = this->refused_jobs.try_emplace(job, true);
  entry->second = entry->second && GuaranteesNotRun(status);
}

void InvariantChecker::RecordEnd(const std::string& job,
                                 base::Instant acknowledged_at) {
  const std::lock_guard lock(this->mutex);
  this->job_ends.try_emplace(job, acknowledged_at);
}

void InvariantChecker::RecordDisruption(const std::string& daemon,
                                        Disruption kind, base::Instant now) {
  const std::lock_guard lock(this->mutex);
  for (const auto& record : this->disruptions) {
    const bool is_same = record.daemon == daemon && record.kind == kind;
    if (is_same && record.until == base::kNever) return;
  }
  this->disruptions.push_back({daemon, kind, now});
}

void InvariantChecker::RecordDisruptionEnd(const std::string& daemon,
                                           Disruption kind, base::Instant now) {
  const std::lock_guard lock(this->mutex);
  for (auto& record : this->disruptions) {
    const bool is_same = record.daemon == daemon && record.kind == kind;
    if (is_same && record.until == base::kNever) record.until = now;
  }
}

void InvariantChecker::RecordWithdrawal(Withdrawal withdrawal) {
  const std::lock_guard lock(this->mutex);
  this->withdrawals.push_back(std::move(withdrawal));
}

void InvariantChecker::RecordRestoration(const std::string& key,
                                         base::Instant now) {
  const std::lock_guard lock(this->mutex);
  for (auto& withdrawal : this->withdrawals) {
    if (withdrawal.key == key && withdrawal.restored_at == base::kNever) {
      withdrawal.restored_at = now;
    }
  }
}

void InvariantChecker::RecordLimitedSpan(LimitedSpan span) {
  const std::lock_guard lock(this->mutex);
  this->limited_spans.push_back(std::move(span));
}

void InvariantChecker::RecordTry(StreamTry stream_try) {
  const std::lock_guard lock(this->mutex);
  this->tries.push_back(std::move(stream_try));
}

void InvariantChecker::RecordCut(EndpointCut cut) {
  const std::lock_guard lock(this->mutex);
  this->cuts.push_back(std::move(cut));
}

void InvariantChecker::AddViolation(std::string violation) {
  const std::lock_guard lock(this->mutex);
  this->caller_violations.push_back(std::move(violation));
}

std::vector<std::string> InvariantChecker::Check(
    const std::vector<EngineRun>& runs,
    const std::map<std::string, RateLimit>& limits,
    const SenderLookup& find_sender) const {
  const std::lock_guard lock(this->mutex);
  auto violations = this->caller_violations;
  std::map<std::string, int> run_counts;
  for (const auto& run : runs) {
    this->CheckRun(run, find_sender, violations);
    const auto found = this->requests.find(run.request_id);
    if (found == this->requests.end() || found->second.resumable) continue;
    if (++run_counts[run.request_id] == 2) {
      violations.push_back("request is not resumable but ran twice: " +
                           run.request_id);
    }
  }
  for (const auto& span : this->limited_spans)
    this->CheckLimitedSpan(span, runs, find_sender, violations);
  for (const auto& cut : this->cuts) this->CheckCut(cut, violations);
  this->CheckRates(runs, limits, violations);
  return violations;
}

void InvariantChecker::CheckRun(const EngineRun& run,
                                const SenderLookup& find_sender,
                                std::vector<std::string>& violations) const {
  if (!run.key.empty()) violations.push_back("key leaked: " + run.request_id);
  const auto request = this->requests.find(run.request_id);
  if (request != this->requests.end()) {
    return this->CheckRequestRun(run, request->second, violations);
  }
  const auto item = this->items.find(run.request_id);
  if (item != this->items.end()) {
    return this->CheckItemRun(run, item->second, find_sender, violations);
  }
  violations.push_back("endpoint ran an unknown request: " + run.request_id);
}

void InvariantChecker::CheckRequestRun(
    const EngineRun& run, const RequestRecord& record,
    std::vector<std::string>& violations) const {
  if (run.organisation != record.organisation || run.target != record.target) {
    violations.push_back("organisation or target differs from the request: " +
                         run.request_id);
  }
  if (GuaranteesNotRun(record.status)) {
    violations.push_back(fmt::format("status {} but the request ran: {}",
                                     record.status, run.request_id));
  }
  for (const auto& withdrawal : this->withdrawals) {
    const auto bound = withdrawal.acknowledged_at + kWithdrawalBound;
    if (withdrawal.key != record.key || record.sent_at < bound) continue;
    // The key was restored before the request ran, which permits the run.
    if (run.at >= withdrawal.restored_at) continue;
    violations.push_back("request ran with a withdrawn key: " + run.request_id);
  }
}

void InvariantChecker::CheckItemRun(
    const EngineRun& run, const ItemRecord& item,
    const SenderLookup& find_sender,
    std::vector<std::string>& violations) const {
  if (run.organisation != item.organisation || run.target != item.target) {
    violations.push_back(
        "organisation or target differs from the submitted item: " +
        run.request_id);
  }
  const auto refused = this->refused_jobs.find(item.job);
  if (refused != this->refused_jobs.end() && refused->second) {
    violations.push_back("item of a refused job ran: " + run.request_id);
  }
  this->CheckJobEnd(run, item, find_sender, violations);
}

void InvariantChecker::CheckJobEnd(const EngineRun& run, const ItemRecord& item,
                                   const SenderLookup& find_sender,
                                   std::vector<std::string>& violations) const {
  const auto ended = this->job_ends.find(item.job);
  if (ended == this->job_ends.end()) return;
  if (run.at <= ended->second + kJobEndBound) return;
  const auto sender = find_sender(run);
  if (sender && this->WasDisrupted(*sender, run.at)) return;
  const auto late = run.at - ended->second;
  violations.push_back(
      fmt::format("item {} of {} ran {} ms after the end of the job, from {}",
                  run.request_id, item.job, late.count() / 1000,
                  sender.value_or("an unknown daemon")));
}

bool InvariantChecker::WasDisrupted(const std::string& daemon,
                                    base::Instant at) const {
  return std::any_of(this->disruptions.begin(), this->disruptions.end(),
                     [&](const DisruptionRecord& record) {
                       const bool is_over = record.until != base::kNever &&
                                            at > record.until + kContact;
                       return record.daemon == daemon && at >= record.from &&
                              !is_over;
                     });
}

void InvariantChecker::CheckLimitedSpan(
    const LimitedSpan& span, const std::vector<EngineRun>& runs,
    const SenderLookup& find_sender,
    std::vector<std::string>& violations) const {
  const auto seconds = std::chrono::duration<double>(kLimitWindow).count();
  const auto allowed = static_cast<std::size_t>(
      kLimitFactor * span.per_second * seconds + kLimitSlack);
  const auto most_without = [&](bool disrupted_senders) {
    std::vector<base::Instant> times;
    for (const auto& run : runs) {
      const bool counts = run.engine == span.engine &&
                          run.at >= span.from + kContact && run.at < span.until;
      if (!counts) continue;
      const auto sender = disrupted_senders ? find_sender(run) : std::nullopt;
      if (sender && this->WasDisrupted(*sender, run.at)) continue;
      times.push_back(run.at);
    }
    std::sort(times.begin(), times.end());
    return MaxTimesInWindow(times, kLimitWindow);
  };
  if (most_without(false) <= allowed) return;
  const auto most = most_without(true);
  if (most <= allowed) return;
  violations.push_back(
      fmt::format("{} named a limit of {} a second and ran {} requests in 4 s "
                  "from daemons that weren't disrupted, allowed {}",
                  span.engine, span.per_second, most, allowed));
}

bool InvariantChecker::WasDisrupted(const StreamTry& stream_try) const {
  return this->WasDisrupted(stream_try.daemon, stream_try.sent_at) ||
         this->WasDisrupted(stream_try.daemon, stream_try.ended_at);
}

void InvariantChecker::CheckCut(const EndpointCut& cut,
                                std::vector<std::string>& violations) const {
  TryCounts there;
  TryCounts elsewhere;
  for (const auto& stream_try : this->tries) {
    if (stream_try.sent_at < cut.from + kContact) continue;
    if (stream_try.sent_at >= cut.until) continue;
    if (WasRefusedByRules(stream_try.status)) continue;
    if (this->WasDisrupted(stream_try)) continue;
    const auto found =
        std::find(cut.daemons.begin(), cut.daemons.end(), stream_try.daemon);
    auto& counts = found == cut.daemons.end() ? elsewhere : there;
    ++counts.sent;
    if (stream_try.status == code::kOk) ++counts.served;
  }
  const auto failed = there.sent - there.served;
  if (failed <= kCutFailures + there.sent * kCutFailureShare) return;
  // Without a try elsewhere there is nothing to compare with.
  if (there.served * elsewhere.sent >=
      elsewhere.served * there.sent * kCutServedShare) {
    return;
  }
  violations.push_back(fmt::format(
      "{} cut from all endpoints served {} of {} tries, the others {} of {}",
      fmt::join(cut.daemons, ", "), there.served, there.sent, elsewhere.served,
      elsewhere.sent));
}

void InvariantChecker::CheckRates(
    const std::vector<EngineRun>& runs,
    const std::map<std::string, RateLimit>& limits,
    std::vector<std::string>& violations) const {
  // Counts a request once, at its first run.
  std::map<std::string, base::Instant> first_runs;
  for (const auto& run : runs) {
    if (!this->requests.contains(run.request_id)) continue;
    const auto [entry, is_new] = first_runs.emplace(run.request_id, run.at);
    if (!is_new) entry->second = std::min(entry->second, run.at);
  }
  std::map<std::string, std::vector<RequestInterval>> intervals;
  for (const auto& [id, ran_at] : first_runs) {
    const auto& record = this->requests.at(id);
    intervals[record.organisation].push_back({record.sent_at, ran_at});
  }
  for (const auto& [organisation, all] : intervals) {
    const auto limit = limits.find(organisation);
    if (limit == limits.end()) continue;
    const auto seconds = std::chrono::duration<double>(kRateWindow).count();
    const auto allowed =
        (limit->second.per_second * seconds + limit->second.burst) *
            (1 + kRateExcess) +
        kRateSlack;
    const auto most = MaxInWindow(all);
    if (static_cast<double>(most) <= allowed) continue;
    violations.push_back(
        fmt::format("organisation {} ran {} requests in 5 s, allowed {}",
                    organisation, most, allowed));
  }
}

std::map<std::string, ServedCounts> InvariantChecker::ServedSince(
    base::Instant from) const {
  const std::lock_guard lock(this->mutex);
  std::map<std::string, ServedCounts> all;
  for (const auto& [id, record] : this->requests) {
    if (record.sent_at < from || record.caller_left) continue;
    auto& counts = all[record.organisation];
    ++counts.sent;
    if (record.status == code::kOk) ++counts.served;
    if (record.status == code::kTooManyRequests) ++counts.over_limit;
  }
  return all;
}

std::size_t InvariantChecker::request_count() const {
  const std::lock_guard lock(this->mutex);
  return this->requests.size();
}

std::size_t InvariantChecker::ended_job_count() const {
  const std::lock_guard lock(this->mutex);
  return this->job_ends.size();
}

}  // namespace gypsumtrack::testing
