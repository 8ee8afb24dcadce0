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

/// Pushes of changes down a domain's tree, and reports of the revisions in
/// force up it.
namespace gypsumtrack::policy {

struct PushTiming {
  /// When an unacknowledged push is sent again.
  base::Duration resend = std::chrono::milliseconds(300);
  /// Pushes of the same changes before the child is left to fetch them.
  std::uint32_t tries = 5;
  /// Shortest time between two reports.
  base::Duration report_gap = std::chrono::milliseconds(50);
  /// Longest time between two reports.
  base::Duration report_refresh = std::chrono::seconds(5);
  /// When a child's report no longer counts.
  base::Duration report_expiry = std::chrono::seconds(12);
  /// Most changes in one message.
  std::size_t batch = 50;
};

/// Not thread-safe.
class ConfigPusher {
 public:
  explicit ConfigPusher(PushTiming timing) : timing(timing) {}

  // Commands.

  /// Forgets children that the tree no longer has.
  void OnTree(const ConfigTree& tree);
  /// The log has grown from `before`.
  ConfigActions OnHead(base::Instant now, const ConfigTree& tree,
                       const ConfigLog& log, base::Revision before);
  void OnReport(base::Instant now, const ConfigTree& tree,
                const std::string& from, const ReportRevisions& report);
  /// Sends what is due. `in_force` is 0 on a VM that isn't ready.
  ConfigActions OnTimer(base::Instant now, const ConfigTree& tree,
                        const ConfigLog& log, base::Revision in_force);

  // Queries.

  /// Revisions in force in this VM's subtree.
  RevisionCounts Counts(base::Instant now, base::Revision in_force) const;
  base::Instant next_wake() const;  // NOLINT

 private:
  struct Child {
    base::Revision acknowledged = 0;
    /// The newest revision sent.
    base::Revision sent = 0;
    std::uint32_t tries = 0;
    base::Instant resend_at = base::kNever;
    RevisionCounts counts;
    base::Instant expires_at{};
  };

  ConfigActions Push(base::Instant now, const std::string& vm, Child& child,
                     const ConfigLog& log, base::Revision after);

  PushTiming timing;
  std::map<std::string, Child> children;
  RevisionCounts reported;
  bool report_due = false;
  base::Instant reported_at{};
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_CONFIG_PUSH_H_
