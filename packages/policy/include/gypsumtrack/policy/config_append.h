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

/// Turns operators' requests into changes at the head of the log.
namespace gypsumtrack::policy {

/// A whole rule file, written against the proposal's base revision.
struct RulesFile {
  RuleSet rules;
  /// Only says what would change.
  bool dry_run = false;
};

using ProposalBody = std::variant<RulesFile, KeyGrant, KeyWithdrawal>;

/// An operator's request.
struct Proposal {
  /// Unique for each request, and kept when it is sent again.
  std::string operation_id;
  std::string author;
  base::Revision base = 0;
  base::WallTime proposed_at{};
  base::Instant deadline = base::kNever;
  ProposalBody body;
};

/// What became of an accepted proposal.
struct AppendResult {
  /// Revision of the change, or the head if nothing changed.
  base::Revision revision = 0;
  std::vector<RuleEdit> edits;
};

/// Errors: kConflict, kNotFound, kInvalid; kUnavailable (nothing was sent to
/// the table), kUnknown (the change may still take effect).
struct AppendResponse {
  std::string operation_id;
  base::Outcome<AppendResult> result;
};

/// What to do next.
struct AppendStep {
  /// Write this change if the head is still the revision below it.
  std::optional<Change> commit;
  /// This change is in the log.
  std::optional<Change> accepted;
  std::vector<AppendResponse> answers;
};

/// One proposal at a time: read the head, merge, compare-and-set, and settle a
/// lost answer by reading the log back. Not thread-safe.
class ConfigAppender {
 public:
  /// Wait after a commit that the table didn't answer.
  static constexpr base::Duration kRetryDelay = std::chrono::milliseconds(200);

  // Commands.

  void Submit(Proposal proposal);
  /// The replica holds the table's head as of a read sent after WantsRead.
  AppendStep OnCaughtUp(const ConfigLog& log);
  /// The answer to the last commit.
  AppendStep OnCommitReply(base::Instant now, const base::Status& reply);
  /// Gives up proposals past their deadline.
  AppendStep OnTimer(base::Instant now);

  // Queries.

  /// Whether the first proposal waits for a read of the head.
  bool WantsRead(base::Instant now) const;
  /// When OnTimer or WantsRead next has something to say.
  base::Instant next_wake() const;                   // NOLINT
  bool idle() const { return this->queue.empty(); }  // NOLINT

 private:
  enum class Step { kRead, kCommit };

  AppendStep Finish(base::Outcome<AppendResult> result);

  std::deque<Proposal> queue;
  Step step = Step::kRead;
  base::Instant read_after{};
  /// The change that was sent and not answered.
  std::optional<Change> sent;
  bool outcome_unknown = false;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_CONFIG_APPEND_H_
