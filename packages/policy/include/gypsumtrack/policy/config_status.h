#ifndef GYPSUMTRACK_POLICY_CONFIG_STATUS_H_
#define GYPSUMTRACK_POLICY_CONFIG_STATUS_H_

#include <map>
#include <string>
#include <vector>

#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/config_message.h"
#include "gypsumtrack/policy/config_tree.h"

/// Queries the root of each domain for the revisions in force.
namespace gypsumtrack::policy {

/// Settings of StatusRounds.
struct StatusTiming {
  /// Time after which an unanswered query is sent again.
  base::Duration resend_interval = std::chrono::milliseconds(200);
  /// Time after which the response is sent without the missing domains.
  base::Duration timeout = std::chrono::milliseconds(800);
};

/// The status queries in progress on this VM. Not thread-safe.
class StatusRounds {
 public:
  /// Starts without queries.
  explicit StatusRounds(StatusTiming timing) : timing(timing) {}

  // Commands. Each returns the messages and responses to send.

  /// Queries all domains. `own_counts` are the revisions in force in this VM's
  /// subtree, used if it is the root of its domain. Precondition: a new round
  /// name.
  ConfigActions Start(base::Instant now, const ConfigTree& tree,
                      const std::string& round,
                      const RevisionCounts& own_counts);
  /// Handles the report of a domain's root.
  ConfigActions OnReport(const std::string& from, const ReportStatus& report);
  /// Sends the queries and responses that are due.
  ConfigActions OnTimer(base::Instant now);

  // Queries.

  /// When to call OnTimer next.
  base::Instant next_wake() const;  // NOLINT

 private:
  struct DomainQuery {
    std::string root;
    DomainStatus status;
  };
  struct Round {
    std::vector<DomainQuery> queries;
    base::Instant resend_at{};
    base::Instant respond_at{};
  };

  static StatusResponse MakeResponse(const std::string& name,
                                     const Round& round);
  static void SendQueries(const std::string& name, const Round& round,
                          ConfigActions& out);

  StatusTiming timing;
  std::map<std::string, Round> rounds;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_CONFIG_STATUS_H_
