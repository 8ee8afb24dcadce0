#ifndef GYPSUMTRACK_POLICY_CONFIG_PUSH_H_
#define GYPSUMTRACK_POLICY_CONFIG_PUSH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/config_log.h"
#include "gypsumtrack/policy/config_message.h"
#include "gypsumtrack/policy/config_tree.h"

/// Pushes changes down a domain's tree, and reports the revisions in force up
/// the tree.
namespace gypsumtrack::policy {

/// Settings of a ConfigPusher.
struct PushTiming {
  /// Time after which an unacknowledged push is sent again.
  base::Duration resend_interval = std::chrono::milliseconds(300);
  /// Maximum number of pushes of the same changes. After that, the child
  /// fetches them when it receives an announcement.
  std::uint32_t max_attempts = 5;
  /// Minimum time between two reports.
  base::Duration min_report_interval = std::chrono::milliseconds(50);
  /// Maximum time between two reports.
  base::Duration max_report_interval = std::chrono::seconds(5);
  /// Time after which a child's report is ignored.
  base::Duration report_expiry = std::chrono::seconds(12);
  /// Maximum number of changes in a message.
  std::size_t max_batch_changes = 50;
};

/// One VM's part of a domain's tree: pushes changes to the children and reports
/// to the parent. Not thread-safe.
class ConfigPusher {
 public:
  /// Starts without children.
  explicit ConfigPusher(PushTiming timing) : timing(timing) {}

  // Commands.

  /// Removes the children that are no longer in the tree.
  void OnTreeChanged(const ConfigTree& tree);
  /// Pushes to the children the changes that have advanced the log's head from
  /// revision `before`.
  ConfigActions OnHeadAdvanced(base::Instant now, const ConfigTree& tree,
                               const ConfigLog& log, base::Revision before);
  /// Handles a child's report; reports of other VMs are ignored.
  void OnReport(base::Instant now, const ConfigTree& tree,
                const std::string& from, const ReportRevisions& report);
  /// Sends the pushes and the report that are due. `in_force` is this VM's
  /// revision in force, 0 while it isn't ready.
  ConfigActions OnTimer(base::Instant now, const ConfigTree& tree,
                        const ConfigLog& log, base::Revision in_force);

  // Queries.

  /// The revisions in force in this VM's subtree.
  RevisionCounts CountRevisions(base::Instant now,
                                base::Revision in_force) const;
  /// When to call OnTimer next.
  base::Instant next_wake() const;  // NOLINT

 private:
  struct Child {
    /// The newest revision that the child has reported.
    base::Revision acknowledged_revision = 0;
    /// The newest revision sent to the child.
    base::Revision sent_revision = 0;
    std::uint32_t attempts = 0;
    base::Instant resend_at = base::kNever;
    RevisionCounts counts;
    base::Instant expires_at{};
  };

  ConfigActions Push(base::Instant now, const std::string& vm, Child& child,
                     const ConfigLog& log, base::Revision after);

  PushTiming timing;
  std::map<std::string, Child> children;
  RevisionCounts last_reported_counts;
  bool report_due = false;
  base::Instant last_report_at{};
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_CONFIG_PUSH_H_
