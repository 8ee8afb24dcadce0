#include "gypsumtrack/policy/serving/crash_quarantine.h"

#include <algorithm>
#include <iterator>

namespace gypsumtrack::policy {
namespace {

base::WallTime Expiry(base::WallTime last_crash_at, base::Duration duration) {
  return last_crash_at +
         std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}  // namespace

std::vector<CrashSuspect> ToSuspects(
    const std::vector<base::PromptPart>& parts) {
  std::vector<CrashSuspect> suspects;
  for (const auto& part : parts)
    suspects.push_back({SuspectKind::kPromptPart, part.text});
  return suspects;
}

std::vector<CrashSuspect> SelectKind(const std::vector<CrashSuspect>& suspects,
                                     SuspectKind kind) {
  std::vector<CrashSuspect> selected;
  std::copy_if(suspects.begin(), suspects.end(), std::back_inserter(selected),
               [&](const auto& each) { return each.kind == kind; });
  return selected;
}

CrashQuarantine::CrashQuarantine(std::string self_name,
                                 CrashQuarantineOptions quarantine_options)
    : self(std::move(self_name)), options(quarantine_options) {}

void CrashQuarantine::OnProgress(const std::vector<CrashSuspect>& suspects,
                                 base::Instant now, std::uint64_t random) {
  for (const auto& suspect : suspects) {
    // Each request has a fingerprint of its own, which seldom matters again.
    if (suspect.kind == SuspectKind::kPromptPart)
      this->RememberProgress(suspect, now);
    const auto found = this->known.find(suspect);
    if (found == this->known.end()) continue;
    auto& evidence = found->second;
    evidence.own_runs.clear();
    evidence.own_changed = false;
    if (evidence.reports.empty()) {
      this->known.erase(found);
      continue;
    }
    if (evidence.remove_at != base::kNever) continue;
    const auto spread =
        static_cast<std::uint64_t>(this->options.max_removal_delay.count());
    evidence.remove_at =
        now + base::Duration(static_cast<std::int64_t>(random % (spread + 1)));
  }
}

void CrashQuarantine::RememberProgress(const CrashSuspect& part,
                                       base::Instant now) {
  if (this->progress.size() >= this->options.max_suspects)
    this->ForgetOldProgress(now);
  this->progress[part] = now;
}

void CrashQuarantine::ForgetOldProgress(base::Instant now) {
  std::erase_if(this->progress, [&](const auto& each) {
    return now - each.second > this->options.progress_window;
  });
  // Forgetting too much only causes reports that progress will remove.
  if (this->progress.size() >= this->options.max_suspects)
    this->progress.clear();
}

void CrashQuarantine::OnCrash(const std::vector<CrashSuspect>& suspects,
                              const CrashedRun& run, base::WallTime crashed_at,
                              base::Instant now) {
  for (const auto& suspect : suspects) {
    const auto made_progress = this->progress.find(suspect);
    if (made_progress != this->progress.end() &&
        now - made_progress->second <= this->options.progress_window) {
      continue;
    }
    const bool is_known = this->known.contains(suspect);
    if (!is_known && this->known.size() >= this->options.max_suspects) continue;
    auto& evidence = this->known[suspect];
    if (evidence.own_runs.size() >= this->options.max_runs_per_report) {
      evidence.own_runs.erase(evidence.own_runs.begin());
    }
    if (evidence.own_runs.empty())
      evidence.held_until = now + this->options.request_report_delay;
    evidence.own_runs.insert(run);
    evidence.own_withdrawn = false;
    evidence.last_own_crash_at =
        std::max(evidence.last_own_crash_at, crashed_at);
    evidence.own_changed = true;
  }
}

std::size_t CrashQuarantine::OnAlive(const EndpointIncarnation& endpoint) {
  std::size_t suspects = 0;
  for (auto& [suspect, evidence] : this->known) {
    const auto erased = std::erase_if(evidence.own_runs, [&](const auto& run) {
      return run.endpoint == endpoint.id &&
             run.incarnation == endpoint.incarnation;
    });
    if (erased == 0) continue;
    ++suspects;
    evidence.own_changed = !evidence.own_runs.empty();
    evidence.own_withdrawn = evidence.own_runs.empty();
  }
  return suspects;
}

std::vector<CrashReport> CrashQuarantine::TakeChangedReports(
    base::Instant now) {
  std::vector<CrashReport> changed;
  for (auto& [suspect, evidence] : this->known) {
    const bool is_held = suspect.kind == SuspectKind::kRequest &&
                         evidence.own_runs.size() < 2 &&
                         now < evidence.held_until;
    if (!evidence.own_changed || is_held) continue;
    evidence.own_changed = false;
    changed.push_back(
        {{suspect, this->self}, evidence.own_runs, evidence.last_own_crash_at});
  }
  return changed;
}

void CrashQuarantine::OnWriteFailed(const std::vector<CrashReport>& reports) {
  for (const auto& report : reports) {
    const auto found = this->known.find(report.key.suspect);
    if (found == this->known.end()) continue;
    found->second.own_changed = !found->second.own_runs.empty();
  }
}

void CrashQuarantine::ForgetReports() {
  for (auto& [suspect, evidence] : this->known) evidence.reports.clear();
  std::erase_if(this->known,
                [](const auto& each) { return each.second.own_runs.empty(); });
}

void CrashQuarantine::ApplyReport(CrashReport report, std::uint64_t version) {
  const bool is_known = this->known.contains(report.key.suspect);
  if (!is_known && this->known.size() >= this->options.max_suspects) return;
  auto& evidence = this->known[report.key.suspect];
  evidence.reports[report.key.daemon] = {std::move(report.runs),
                                         report.last_crash_at, version};
}

void CrashQuarantine::ApplyRemoval(const CrashReportKey& key) {
  const auto found = this->known.find(key.suspect);
  if (found == this->known.end()) return;
  auto& evidence = found->second;
  const auto removed = evidence.reports.extract(key.daemon);
  if (key.daemon == this->self && !removed.empty()) {
    // Crashes that were reported before the removal are cleared with it.
    for (const auto& run : removed.mapped().runs) evidence.own_runs.erase(run);
    evidence.own_changed = !evidence.own_runs.empty();
  }
  if (evidence.reports.empty()) evidence.remove_at = base::kNever;
  if (evidence.reports.empty() && evidence.own_runs.empty())
    this->known.erase(found);
}

std::vector<std::pair<CrashReportKey, std::uint64_t>>
CrashQuarantine::TakeReportsToRemove(bool collects_all, base::Instant now,
                                     base::WallTime wall) {
  std::vector<std::pair<CrashReportKey, std::uint64_t>> removals;
  for (auto& [suspect, evidence] : this->known) {
    const bool is_cleared = evidence.remove_at <= now;
    if (is_cleared) evidence.remove_at = base::kNever;
    for (const auto& [daemon, report] : evidence.reports) {
      const bool is_expired =
          wall >= Expiry(report.last_crash_at, this->options.duration);
      const bool is_own = daemon == this->self;
      const bool is_withdrawn = is_own && evidence.own_withdrawn;
      if (is_withdrawn) evidence.own_withdrawn = false;
      const bool collects = collects_all || is_own;
      if (is_cleared || is_withdrawn || (is_expired && collects))
        removals.push_back({{suspect, daemon}, report.version});
    }
  }
  return removals;
}

std::optional<base::WallTime> CrashQuarantine::QuarantinedSince(
    SuspectKind kind, const Evidence& evidence) const {
  std::set<EndpointIncarnation> endpoints;
  std::map<std::string, std::set<EndpointIncarnation>> endpoints_of_requests;
  std::optional<base::WallTime> newest;
  const auto add = [&](const std::set<CrashedRun>& runs,
                       base::WallTime last_crash_at) {
    for (const auto& run : runs) {
      endpoints.insert({run.endpoint, run.incarnation});
      endpoints_of_requests[run.request].insert(
          {run.endpoint, run.incarnation});
    }
    newest = std::max(newest.value_or(last_crash_at), last_crash_at);
  };
  for (const auto& [daemon, report] : evidence.reports) {
    add(report.runs, report.last_crash_at);
  }
  if (!evidence.own_runs.empty())
    add(evidence.own_runs, evidence.last_own_crash_at);
  std::size_t most_of_one_request = 0;
  for (const auto& [request, crashed] : endpoints_of_requests)
    most_of_one_request = std::max(most_of_one_request, crashed.size());
  // Sound requests that ran beside are near the crashes of one request, but at
  // no other endpoints.
  const bool is_cause =
      kind == SuspectKind::kRequest || most_of_one_request < endpoints.size();
  const bool is_quarantined =
      endpoints.size() >= this->options.min_endpoints && is_cause;
  return is_quarantined ? newest : std::nullopt;
}

std::optional<QuarantinedSuspect> CrashQuarantine::Find(
    const std::vector<CrashSuspect>& suspects, base::WallTime wall) const {
  if (this->known.empty()) return std::nullopt;
  for (const auto& suspect : suspects) {
    const auto found = this->known.find(suspect);
    if (found == this->known.end()) continue;
    const auto since = this->QuarantinedSince(suspect.kind, found->second);
    if (!since) continue;
    const auto until = Expiry(*since, this->options.duration);
    if (wall < until) return QuarantinedSuspect{suspect, until};
  }
  return std::nullopt;
}

bool CrashQuarantine::has_pending_reports() const {
  return std::any_of(
      this->known.begin(), this->known.end(), [this](const auto& each) {
        const auto& evidence = each.second;
        const bool is_withdrawn =
            evidence.own_withdrawn && evidence.reports.contains(this->self);
        return evidence.own_changed || is_withdrawn ||
               evidence.remove_at != base::kNever;
      });
}

}  // namespace gypsumtrack::policy
