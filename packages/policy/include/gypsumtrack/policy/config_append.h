#ifndef GYPSUMTRACK_POLICY_CONFIG_APPEND_H_
#define GYPSUMTRACK_POLICY_CONFIG_APPEND_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/config_log.h"

/// Appends the changes that operators propose to the configuration log.
namespace gypsumtrack::policy {

/// A complete rule file, edited from the proposal's base revision.
struct RulesFile {
  RuleSet rules;
  /// Whether to return the edits without applying them.
  bool dry_run = false;
};

/// What a proposal would change.
using ProposalBody = std::variant<RulesFile, KeyGrant, KeyWithdrawal>;

/// A configuration change that an operator requests.
struct Proposal {
  /// Unique per request; a retry of the request keeps it.
  std::string operation_id;
  std::string author;
  /// The revision that the author has edited.
  base::Revision base = 0;
  base::WallTime proposed_at{};
  /// When an uncommitted proposal fails with kUnavailable or kUnknown.
  base::Instant deadline = base::kNever;
  ProposalBody body;
};

/// The result of a successful proposal.
struct AppendResult {
  /// Revision of the change; the head's revision if nothing was changed.
  base::Revision revision = 0;
  /// The edits made to rules, or those that a dry run would make.
  std::vector<RuleEdit> edits;
};

/// The response to a proposal. Errors: kConflict (the proposal contradicts a
/// later change), kNotFound (the base revision isn't available), kUnavailable
/// (the table was unreachable and nothing was changed), kUnknown (the table did
/// not respond and the change may still take effect).
struct AppendResponse {
  std::string operation_id;
  base::Outcome<AppendResult> result;
};

/// What the caller of a ConfigAppender command must do.
struct AppendEffects {
  /// Commit this change if the head is still its predecessor, and pass the
  /// reply to OnCommitReply.
  std::optional<Change> commit;
  /// A change that was committed to the log.
  std::optional<Change> accepted;
  /// Responses to send.
  std::vector<AppendResponse> responses;
};

/// Processes proposals one at a time: reads the head, merges the proposal and
/// commits it by compare-and-set. After a lost reply, it reads the log to find
/// out whether the change was committed. Not thread-safe.
class ConfigAppender {
 public:
  /// Delay before the next read after a commit that failed other than by a
  /// conflict.
  static constexpr base::Duration kRetryDelay = std::chrono::milliseconds(200);

  // Commands.

  /// Queues a proposal.
  void Submit(Proposal proposal);
  /// Precondition: `log` holds the table's head as of a read that was sent
  /// after NeedsRead returned true.
  AppendEffects OnCaughtUp(const ConfigLog& log);
  /// Handles the table's reply to the last commit.
  AppendEffects OnCommitReply(base::Instant now, const base::Status& reply);
  /// Fails the proposals past their deadline.
  AppendEffects OnTimer(base::Instant now);

  // Queries.

  /// Whether the first proposal is waiting for a read of the head.
  bool NeedsRead(base::Instant now) const;
  /// When to call OnTimer and NeedsRead again.
  base::Instant next_wake() const;  // NOLINT
  /// Whether there are no proposals.
  bool idle() const { return this->queue.empty(); }  // NOLINT

 private:
  enum class Phase { kRead, kCommit };

  /// Removes the first proposal and returns the response to it.
  AppendEffects FinishFirst(base::Outcome<AppendResult> result);

  std::deque<Proposal> queue;
  Phase phase = Phase::kRead;
  base::Instant next_read_at{};
  /// The first proposal's change as last sent to the table.
  std::optional<Change> sent_change;
  /// Whether a commit of the first proposal failed with kUnknown.
  bool outcome_unknown = false;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_CONFIG_APPEND_H_
