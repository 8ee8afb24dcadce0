#include "gypsumtrack/policy/config_push.h"

#include <algorithm>
#include <utility>

namespace gypsumtrack::policy {

void ConfigPusher::OnTreeChanged(const ConfigTree& tree) {
  std::erase_if(this->children,
                [&](const auto& child) { return !tree.IsChild(child.first); });
  // A new parent has no counts of this subtree, so they are reported again.
  this->last_reported_counts.clear();
}

ConfigActions ConfigPusher::Push(base::Instant now, const std::string& vm,
                                 Child& child, const ConfigLog& log,
                                 base::Revision after) {
  auto changes = log.ChangesAfter(after, this->timing.max_batch_changes);
  // A child that is behind the retained changes learns of the head from an
  // announcement and fetches the full state.
  if (!changes || changes->empty()) return {};
  child.sent_revision = changes->back().revision;
  child.resend_at = now + this->timing.resend_interval;
  return {SendMessage{vm, PushChanges{std::move(*changes), log.head()}}};
}

ConfigActions ConfigPusher::OnHeadAdvanced(base::Instant now,
                                           const ConfigTree& tree,
                                           const ConfigLog& log,
                                           base::Revision before) {
  ConfigActions out;
  for (const auto& vm : tree.children()) {
    auto& child = this->children[vm];
    if (child.acknowledged_revision >= log.head()) continue;
    child.attempts = 1;
    const auto after =
        std::max({before, child.sent_revision, child.acknowledged_revision});
    auto sent = this->Push(now, vm, child, log, std::min(after, log.head()));
    out.insert(out.end(), sent.begin(), sent.end());
  }
  return out;
}

void ConfigPusher::OnReport(base::Instant now, const ConfigTree& tree,
                            const std::string& from,
                            const ReportRevisions& report) {
  if (!tree.IsChild(from)) return;
  auto& child = this->children[from];
  child.acknowledged_revision = report.revision;
  child.counts = report.counts;
  child.expires_at = now + this->timing.report_expiry;
  if (child.acknowledged_revision >= child.sent_revision) {
    child.resend_at = base::kNever;
  }
}

RevisionCounts ConfigPusher::CountRevisions(base::Instant now,
                                            base::Revision in_force) const {
  RevisionCounts counts;
  if (in_force > 0) ++counts[in_force];
  for (const auto& [vm, child] : this->children) {
    if (child.expires_at <= now) continue;
    for (const auto& [revision, vms] : child.counts) counts[revision] += vms;
  }
  return counts;
}

ConfigActions ConfigPusher::OnTimer(base::Instant now, const ConfigTree& tree,
                                    const ConfigLog& log,
                                    base::Revision in_force) {
  ConfigActions out;
  for (auto& [vm, child] : this->children) {
    if (child.resend_at > now) continue;
    child.resend_at = base::kNever;
    if (child.acknowledged_revision >= log.head()) continue;
    if (child.attempts++ >= this->timing.max_attempts) continue;
    auto sent = this->Push(now, vm, child, log, child.acknowledged_revision);
    out.insert(out.end(), sent.begin(), sent.end());
  }
  const auto counts = this->CountRevisions(now, in_force);
  this->report_due =
      counts != this->last_reported_counts ||
      now - this->last_report_at >= this->timing.max_report_interval;
  if (tree.parent().empty() || !this->report_due) return out;
  if (now - this->last_report_at < this->timing.min_report_interval) return out;
  out.push_back(
      SendMessage{tree.parent(), ReportRevisions{log.head(), counts}});
  this->last_reported_counts = counts;
  this->last_report_at = now;
  this->report_due = false;
  return out;
}

base::Instant ConfigPusher::next_wake() const {
  auto earliest = this->last_report_at +
                  (this->report_due ? this->timing.min_report_interval
                                    : this->timing.max_report_interval);
  for (const auto& [vm, child] : this->children) {
    earliest = std::min(earliest, child.resend_at);
  }
  return earliest;
}

}  // namespace gypsumtrack::policy
