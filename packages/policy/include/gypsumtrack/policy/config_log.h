#ifndef GYPSUMTRACK_POLICY_CONFIG_LOG_H_
#define GYPSUMTRACK_POLICY_CONFIG_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/access.h"
#include "gypsumtrack/policy/rule.h"

/// The log of configuration changes, and a daemon's replica of it.
namespace gypsumtrack::policy {

/// A rule that is added (no `before`), removed (no `after`) or changed.
struct RuleEdit {
  std::optional<Rule> before;
  std::optional<Rule> after;
  /// The revision that set `before`; 0 if there is none.
  base::Revision replaces = 0;

  /// The identity of the rule. Precondition: `before` or `after` is set.
  const RuleIdentity& id() const {  // NOLINT
    return this->after ? this->after->id : this->before->id;
  }
  bool operator==(const RuleEdit&) const = default;
};

/// A change of rules.
struct RulesDelta {
  std::vector<RuleEdit> edits;

  bool operator==(const RulesDelta&) const = default;
};

/// A change that withdraws keys for good.
struct KeyWithdrawal {
  /// Hashes of the withdrawn keys.
  std::vector<std::string> hashes;

  bool operator==(const KeyWithdrawal&) const = default;
};

/// What a change does.
using ChangeBody = std::variant<RulesDelta, KeyGrant, KeyWithdrawal>;

/// A committed change: one row of the log.
struct Change {
  base::Revision revision = 0;
  /// The revision that the author has edited.
  base::Revision base = 0;
  /// Unique per operator request; a retry of the request keeps it.
  std::string operation_id;
  std::string author;
  base::WallTime changed_at{};
  ChangeBody body;

  bool operator==(const Change&) const = default;
};

/// The revision, author and time of a change.
struct ChangeOrigin {
  base::Revision revision = 0;
  std::string author;
  base::WallTime changed_at{};

  bool operator==(const ChangeOrigin&) const = default;
};

/// A rule and the change that set it.
struct RuleEntry {
  Rule rule;
  ChangeOrigin origin;

  bool operator==(const RuleEntry&) const = default;
};

/// A key and the change that granted it.
struct KeyEntry {
  KeyGrant grant;
  ChangeOrigin origin;

  bool operator==(const KeyEntry&) const = default;
};

/// The configuration at a revision: the result of all changes up to it.
struct ConfigState {
  base::Revision revision = 0;
  std::map<RuleIdentity, RuleEntry> rules;
  /// Granted keys by hash, without the withdrawn ones.
  std::map<std::string, KeyEntry> keys;
  /// The revision of each withdrawal, by key hash.
  std::map<std::string, base::Revision> withdrawn;

  bool operator==(const ConfigState&) const = default;
};

/// The rules of a state, ordered by identity. Thread-safe.
RuleSet RulesOf(const ConfigState& state);

/// Builds the snapshot that requests are checked against. `pending` are the
/// hashes of keys whose withdrawal isn't in the log yet. Thread-safe.
AccessSnapshot MakeAccessSnapshot(const ConfigState& state,
                                  const std::set<std::string>& pending);

/// A replica of the log: the current state and the most recent changes. Its
/// revision never decreases. Not thread-safe.
class ConfigLog {
 public:
  /// Maximum number of changes retained for deltas, history and merges.
  static constexpr std::size_t kMaxRecentChanges = 20'000;

  // Commands.

  /// Applies the change that follows the head. Ignores a change at or below the
  /// head. Errors: kConflict if changes in between are missing.
  base::Status Apply(Change change);
  /// Replaces the state and drops the retained changes if `newer` has a higher
  /// revision. Returns whether it had.
  bool InstallState(ConfigState newer);

  // Queries.

  /// The revision of the last applied change; 0 if there is none.
  base::Revision head() const {  // NOLINT
    return this->current_state.revision;
  }
  /// The configuration at the head.
  const ConfigState& state() const { return this->current_state; }  // NOLINT
  /// Retained changes, oldest first.
  const std::deque<Change>& changes() const {  // NOLINT
    return this->recent_changes;
  }
  /// Up to `limit` changes that follow `revision`; none if they aren't
  /// retained.
  std::optional<std::vector<Change>> ChangesAfter(base::Revision revision,
                                                  std::size_t limit) const;
  /// The retained change of that operation; null if there is none. Valid until
  /// the next command.
  const Change* FindOperation(const std::string& operation_id) const;
  /// The last retained change of that rule; null if there is none. Valid until
  /// the next command.
  const Change* FindRuleChange(const RuleIdentity& id) const;
  /// The rules at an earlier revision. Errors: kNotFound if the changes since
  /// then aren't retained or the revision is above the head.
  base::Outcome<RuleSet> RulesAt(base::Revision revision) const;

 private:
  ConfigState current_state;
  std::deque<Change> recent_changes;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_CONFIG_LOG_H_
