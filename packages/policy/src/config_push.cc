#include "gypsumtrack/policy/config_push.h"

#include <algorithm>
#include <utility>

namespace gypsumtrack::policy {

void ConfigPusher::OnTree(const ConfigTree& tree) {
  std::erase_if(this->children,
                [&](const auto& child) { return !tree.IsChild(child.first); });
  // A new parent knows nothing of this subtree.
  this->reported.clear();
}

ConfigActions ConfigPusher::Push(base::Instant now, const std::string& vm,
                                 Child& child, const ConfigLog& log,
                                 base::Revision after) {
  auto changes = log.ChangesAfter(after, this->timing.batch);
  // A child too far behind learns of the head from an announcement.
  if (!changes || changes->empty()) return {};
  child.sent = changes->back().revision;
  child.resend_at = now + this->timing.resend;
  return {SendMessage{vm, PushChanges{std::move(*changes), log.head()}}};
}

ConfigActions ConfigPusher::OnHead(base::Instant now, const ConfigTree& tree,
                                   const ConfigLog& log,
                                   base::Revision before) {
  ConfigActions out;
  for (const auto& vm : tree.children()) {
    auto& child = this->children[vm];
    if (child.acknowledged >= log.head()) continue;
    child.tries = 1;
    const auto after = std::max({before, child.sent, child.acknowledged});
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
  child.acknowledged = report.revision;
  child.counts = report.counts;
  child.expires_at = now + this->timing.report_expiry;
  if (child.acknowledged >= child.sent) child.resend_at = base::kNever;
}

RevisionCounts ConfigPusher::Counts(base::Instant now,
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
    if (child.acknowledged >= log.head()) continue;
    if (child.tries++ >= this->timing.tries) continue;
    auto sent = this->Push(now, vm, child, log, child.acknowledged);
    out.insert(out.end(), sent.begin(), sent.end());
  }
  const auto counts = this->Counts(now, in_force);
  this->report_due = counts != this->reported ||
                     now - this->reported_at >= this->timing.report_refresh;
  if (tree.parent().empty() || !this->report_due) return out;
  if (now - this->reported_at < this->timing.report_gap) return out;
  out.push_back(
      SendMessage{tree.parent(), ReportRevisions{log.head(), counts}});
  this->reported = counts;
  this->reported_at = now;
  this->report_due = false;
  return out;
}

base::Instant ConfigPusher::next_wake() const {
  auto earliest =
      this->reported_at + (this->report_due ? this->timing.report_gap
                                            : this->timing.report_refresh);
  for (const auto& [vm, child] : this->children) {
    earliest = std::min(earliest, child.resend_at);
  }
  return earliest;
}

}  // namespace gypsumtrack::policy
