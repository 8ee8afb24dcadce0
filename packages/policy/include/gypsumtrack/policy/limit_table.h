#ifndef GYPSUMTRACK_POLICY_LIMIT_TABLE_H_
#define GYPSUMTRACK_POLICY_LIMIT_TABLE_H_

#include <functional>
#include <map>
#include <string>

#include "gypsumtrack/policy/limit_messages.h"

/// Table calls of the limits. Commits are retried until their result is
/// certain, and writes stay within a rate budget.
namespace gypsumtrack::policy {

/// Issues table calls as actions and passes their results to handlers. Not
/// thread-safe.
class LimitTable {
 public:
  /// Called once with a commit's result. `committed` is false if a condition
  /// didn't hold. `first_sent` is when the commit was first sent: it took
  /// effect then or later.
  using CommitHandler =
      std::function<void(bool committed, base::Instant first_sent,
                         base::Instant now, LimitActions&)>;
  /// Called once with a scan's result. Scans aren't retried.
  using ScanHandler = std::function<void(const base::Outcome<base::ScanReply>&,
                                         base::Instant now, LimitActions&)>;

  LimitTable(const LimitSettings& settings, const base::VmId& self);

  // Commands.

  /// Starts a commit. Returns false, and does nothing, if the write budget is
  /// spent.
  bool Commit(base::TableCommit commit, CommitHandler handler,
              base::Instant now, LimitActions& actions);
  /// Starts a scan of all rows whose key begins with `prefix`.
  void Scan(std::string prefix, ScanHandler handler, LimitActions& actions);
  /// Records a commit's result, or schedules a retry if it is uncertain.
  /// Ignores unknown ids.
  void OnCommitReply(std::uint64_t id, const base::Status& status,
                     base::Instant now, LimitActions& actions);
  /// Passes on a scan's result. Ignores unknown ids.
  void OnScanReply(std::uint64_t id,
                   const base::Outcome<base::ScanReply>& reply,
                   base::Instant now, LimitActions& actions);
  /// Retries commits whose result is uncertain.
  void Tick(base::Instant now, LimitActions& actions);

  // Queries.

  /// Whether the table answered the last call.
  bool reachable() const { return this->table_answered; }  // NOLINT

 private:
  struct PendingCommit {
    base::TableCommit commit;
    CommitHandler handler;
    base::Instant first_sent;
    /// kNever while a call is in progress.
    base::Instant retry_at;
    base::Duration backoff;
  };

  std::string operation_prefix;
  TokenBucket write_budget;
  std::uint64_t last_id = 0;
  std::map<std::uint64_t, PendingCommit> commits;
  std::map<std::uint64_t, ScanHandler> scans;
  bool table_answered = false;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_LIMIT_TABLE_H_
