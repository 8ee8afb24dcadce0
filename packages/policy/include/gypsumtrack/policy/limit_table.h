#ifndef GYPSUMTRACK_POLICY_LIMIT_TABLE_H_
#define GYPSUMTRACK_POLICY_LIMIT_TABLE_H_

#include <functional>
#include <map>
#include <string>

#include "gypsumtrack/policy/limit_messages.h"

/// Table calls of the limits: commits are sent again until their result is
/// certain, and writes stay within a budget.
namespace gypsumtrack::policy {

/// Not thread-safe.
class LimitTable {
 public:
  /// `committed` is false if a condition didn't hold. `first_sent` is when the
  /// commit left for the first time: it took effect then or later.
  using CommitDone =
      std::function<void(bool committed, base::Instant first_sent,
                         base::Instant now, LimitActions&)>;
  using ScanDone = std::function<void(const base::Outcome<base::ScanReply>&,
                                      base::Instant now, LimitActions&)>;

  LimitTable(const LimitSettings& settings, const base::VmId& self);

  // Commands.

  /// False, and nothing done, if the write budget is spent.
  bool Commit(base::TableCommit commit, CommitDone done, base::Instant now,
              LimitActions& actions);
  void Scan(std::string prefix, ScanDone done, LimitActions& actions);
  void OnCommitReply(std::uint64_t id, const base::Status& status,
                     base::Instant now, LimitActions& actions);
  void OnScanReply(std::uint64_t id,
                   const base::Outcome<base::ScanReply>& reply,
                   base::Instant now, LimitActions& actions);
  /// Sends commits of uncertain result again.
  void Tick(base::Instant now, LimitActions& actions);

  // Queries.

  /// Whether the last call was answered.
  bool reachable() const { return this->answered; }  // NOLINT

 private:
  struct Pending {
    base::TableCommit commit;
    CommitDone done;
    base::Instant first_sent;
    /// kNever while a call is under way.
    base::Instant retry_at;
    base::Duration backoff;
  };

  std::string operation_prefix;
  TokenBucket budget;
  std::uint64_t last_id = 0;
  std::map<std::uint64_t, Pending> commits;
  std::map<std::uint64_t, ScanDone> scans;
  bool answered = false;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_LIMIT_TABLE_H_
