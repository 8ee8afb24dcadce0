#ifndef GYPSUMTRACK_POLICY_CONFIG_STATUS_H_
#define GYPSUMTRACK_POLICY_CONFIG_STATUS_H_

#include <map>
#include <string>
#include <vector>

#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/config_message.h"
#include "gypsumtrack/policy/config_tree.h"

/// Questions to the first VM of each domain about the revisions in force.
namespace gypsumtrack::policy {

struct StatusTiming {
  base::Duration resend = std::chrono::milliseconds(200);
  base::Duration answer = std::chrono::milliseconds(800);
};

/// Not thread-safe.
class StatusRounds {
 public:
  explicit StatusRounds(StatusTiming timing) : timing(timing) {}

  // Commands. Each returns what to send and to answer.

  /// `own` are the counts of this VM's subtree, used if it is its domain's
  /// first. Precondition: a new round name.
  ConfigActions Start(base::Instant now, const ConfigTree& tree,
                      const std::string& round, const RevisionCounts& own);
  ConfigActions OnTell(const std::string& from, const ReportStatus& told);
  ConfigActions OnTimer(base::Instant now);

  // Queries.

  base::Instant next_wake() const;  // NOLINT

 private:
  struct Part {
    std::string root;
    DomainStatus status;
  };
  struct Round {
    std::vector<Part> parts;
    base::Instant resend_at{};
    base::Instant answer_at{};
  };

  static StatusResponse Answer(const std::string& name, const Round& round);
  static void Ask(const std::string& name, const Round& round,
                  ConfigActions& out);

  StatusTiming timing;
  std::map<std::string, Round> rounds;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_CONFIG_STATUS_H_
