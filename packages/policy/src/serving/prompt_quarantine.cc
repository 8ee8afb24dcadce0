#include "gypsumtrack/policy/serving/prompt_quarantine.h"

#include <algorithm>

namespace gypsumtrack::policy {
namespace {

base::WallTime Expiry(base::WallTime last_crash_at, base::Duration duration) {
  return last_crash_at +
         std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}  // namespace

PromptQuarantine::PromptQuarantine(std::string self_name,
                                   PromptQuarantineOptions quarantine_options)
    : self(std::move(self_name)), options(quarantine_options) {}

void PromptQuarantine::OnProgress(const std::vector<base::PromptPart>& parts,
                                  base::Instant now, std::uint64_t random) {
  for (const auto& part : parts) {
    if (this->progress.size() >= this->options.max_parts)
      this->ForgetOldProgress(now);
    this->progress[part] = now;
    const auto found = this->suspects.find(part);
    if (found == this->suspects.end()) continue;
    auto& suspect = found->second;
    suspect.own_runs.clear();
    suspect.own_changed = false;
    if (suspect.reports.empty()) {
      this->suspects.erase(found);
      continue;
    }
    if (suspect.remove_at != base::kNever) continue;
    const auto spread =
        static_cast<std::uint64_t>(this->options.max_removal_delay.count());
    suspect.remove_at =
        now + base::Duration(static_cast<std::int64_t>(random % (spread + 1)));
  }
}

void PromptQuarantine::ForgetOldProgress(base::Instant now) {
  std::erase_if(this->progress, [&](const auto& each) {
    return now - each.second > this->options.progress_window;
  });
  // Forgetting too much only causes reports that progress will remove.
  if (this->progress.size() >= this->options.max_parts) this->progress.clear();
}

void PromptQuarantine::OnCrash(const std::vector<base::PromptPart>& parts,
                               const CrashedRun& run, base::WallTime crashed_at,
                               base::Instant now) {
  for (const auto& part : parts) {
    const auto made_progress = this->progress.find(part);
    if (made_progress != this->progress.end() &&
        now - made_progress->second <= this->options.progress_window) {
      continue;
    }
    const bool is_known = this->suspects.contains(part);
    if (!is_known && this->suspects.size() >= this->options.max_parts) continue;
    auto& suspect = this->suspects[part];
    if (suspect.own_runs.size() >= this->options.max_runs_per_report) {
      suspect.own_runs.erase(suspect.own_runs.begin());
    }
    suspect.own_runs.insert(run);
    suspect.last_own_crash_at = std::max(suspect.last_own_crash_at, crashed_at);
    suspect.own_changed = true;
  }
}

std::vector<CrashReport> PromptQuarantine::TakeChangedReports() {
  std::vector<CrashReport> changed;
  for (auto& [part, suspect] : this->suspects) {
    if (!suspect.own_changed) continue;
    suspect.own_changed = false;
    changed.push_back(
        {{part, this->self}, suspect.own_runs, suspect.last_own_crash_at});
  }
  return changed;
}

void PromptQuarantine::OnWriteFailed(const std::vector<CrashReport>& reports) {
  for (const auto& report : reports) {
    const auto found = this->suspects.find(report.key.part);
    if (found == this->suspects.end()) continue;
    found->second.own_changed = !found->second.own_runs.empty();
  }
}

void PromptQuarantine::ForgetReports() {
  for (auto& [part, suspect] : this->suspects) suspect.reports.clear();
  std::erase_if(this->suspects,
                [](const auto& each) { return each.second.own_runs.empty(); });
}

void PromptQuarantine::ApplyReport(CrashReport report, std::uint64_t version) {
  const bool is_known = this->suspects.contains(report.key.part);
  if (!is_known && this->suspects.size() >= this->options.max_parts) return;
  auto& suspect = this->suspects[report.key.part];
  suspect.reports[report.key.daemon] = {std::move(report.runs),
                                        report.last_crash_at, version};
}

void PromptQuarantine::ApplyRemoval(const CrashReportKey& key) {
  const auto found = this->suspects.find(key.part);
  if (found == this->suspects.end()) return;
  auto& suspect = found->second;
  const auto removed = suspect.reports.extract(key.daemon);
  if (key.daemon == this->self && !removed.empty()) {
    // Crashes that were reported before the removal are cleared with it.
    for (const auto& run : removed.mapped().runs) suspect.own_runs.erase(run);
    suspect.own_changed = !suspect.own_runs.empty();
  }
  if (suspect.reports.empty()) suspect.remove_at = base::kNever;
  if (suspect.reports.empty() && suspect.own_runs.empty())
    this->suspects.erase(found);
}

std::vector<std::pair<CrashReportKey, std::uint64_t>>
PromptQuarantine::TakeReportsToRemove(bool collects_all, base::Instant now,
                                      base::WallTime wall) {
  std::vector<std::pair<CrashReportKey, std::uint64_t>> removals;
  for (auto& [part, suspect] : this->suspects) {
    const bool is_cleared = suspect.remove_at <= now;
    if (is_cleared) suspect.remove_at = base::kNever;
    for (const auto& [daemon, report] : suspect.reports) {
      const bool is_expired =
          wall >= Expiry(report.last_crash_at, this->options.duration);
      const bool collects = collects_all || daemon == this->self;
      if (is_cleared || (is_expired && collects))
        removals.push_back({{part, daemon}, report.version});
    }
  }
  return removals;
}

std::optional<base::WallTime> PromptQuarantine::QuarantinedSince(
    const Suspect& suspect) const {
  std::set<std::pair<base::EndpointId, std::uint64_t>> endpoints;
  std::set<std::string> requests;
  std::optional<base::WallTime> newest;
  const auto add = [&](const std::set<CrashedRun>& runs,
                       base::WallTime last_crash_at) {
    for (const auto& run : runs) {
      endpoints.insert({run.endpoint, run.incarnation});
      requests.insert(run.request_id);
    }
    newest = std::max(newest.value_or(last_crash_at), last_crash_at);
  };
  for (const auto& [daemon, report] : suspect.reports) {
    add(report.runs, report.last_crash_at);
  }
  if (!suspect.own_runs.empty())
    add(suspect.own_runs, suspect.last_own_crash_at);
  const bool is_quarantined = endpoints.size() >= this->options.min_endpoints &&
                              requests.size() >= this->options.min_requests;
  return is_quarantined ? newest : std::nullopt;
}

std::optional<QuarantinedPart> PromptQuarantine::Find(
    const std::vector<base::PromptPart>& parts, base::WallTime wall) const {
  if (this->suspects.empty()) return std::nullopt;
  for (const auto& part : parts) {
    const auto found = this->suspects.find(part);
    if (found == this->suspects.end()) continue;
    const auto since = this->QuarantinedSince(found->second);
    if (!since) continue;
    const auto until = Expiry(*since, this->options.duration);
    if (wall < until) return QuarantinedPart{part, until};
  }
  return std::nullopt;
}

bool PromptQuarantine::has_pending_reports() const {
  return std::any_of(
      this->suspects.begin(), this->suspects.end(), [](const auto& each) {
        return each.second.own_changed || each.second.remove_at != base::kNever;
      });
}

}  // namespace gypsumtrack::policy
