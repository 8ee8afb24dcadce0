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

/// The log of configuration changes and a daemon's replica of it.
namespace gypsumtrack::policy {

/// One rule added (no `before`), removed (no `after`) or changed.
struct RuleEdit {
  std::optional<Rule> before;
  std::optional<Rule> after;
  /// Revision that set `before`; 0 if there is none.
  base::Revision replaces = 0;

  /// Precondition: `before` or `after` is set.
  const RuleIdentity& id() const {  // NOLINT
    return this->after ? this->after->id : this->before->id;
  }
  bool operator==(const RuleEdit&) const = default;
};

struct RulesDelta {
  std::vector<RuleEdit> edits;

  bool operator==(const RulesDelta&) const = default;
};

struct KeyWithdrawal {
  /// Hashes of the withdrawn keys.
  std::vector<std::string> hashes;

  bool operator==(const KeyWithdrawal&) const = default;
};

using ChangeBody = std::variant<RulesDelta, KeyGrant, KeyWithdrawal>;

/// One accepted change: a row of the log.
struct Change {
  base::Revision revision = 0;
  /// The revision that the author had seen.
  base::Revision base = 0;
  /// Unique for each request of an operator, and kept when it is sent again.
  std::string operation_id;
  std::string author;
  base::WallTime changed_at{};
  ChangeBody body;

  bool operator==(const Change&) const = default;
};

/// Who made a change, and when.
struct ChangeOrigin {
  base::Revision revision = 0;
  std::string author;
  base::WallTime changed_at{};

  bool operator==(const ChangeOrigin&) const = default;
};

struct RuleEntry {
  Rule rule;
  ChangeOrigin origin;

  bool operator==(const RuleEntry&) const = default;
};

struct KeyEntry {
  KeyGrant grant;
  ChangeOrigin origin;

  bool operator==(const KeyEntry&) const = default;
};

/// Everything that the log says up to a revision.
struct ConfigState {
  base::Revision revision = 0;
  std::map<RuleIdentity, RuleEntry> rules;
  /// By key hash; withdrawn keys are gone from it.
  std::map<std::string, KeyEntry> keys;
  /// Revision of each withdrawal, by key hash.
  std::map<std::string, base::Revision> withdrawn;

  bool operator==(const ConfigState&) const = default;
};

/// The rules in canonical order. Thread-safe.
RuleSet RulesOf(const ConfigState& state);

/// What requests are checked against: `pending` are withdrawals that the log
/// doesn't hold yet. Thread-safe.
AccessSnapshot MakeAccessSnapshot(const ConfigState& state,
                                  const std::set<std::string>& pending);

/// A replica of the log: the state and the most recent changes. Its revision
/// never falls. Not thread-safe.
class ConfigLog {
 public:
  /// Changes kept for deltas, history and merges.
  static constexpr std::size_t kKeptChanges = 20'000;

  // Commands.

  /// Applies the change that follows the head. A change at or below the head is
  /// ignored. Errors: kConflict if changes between are missing.
  base::Status Apply(Change change);
  /// Adopts a whole state if it is newer. Returns whether it was.
  bool Adopt(ConfigState newer);

  // Queries.

  base::Revision head() const { return this->current.revision; }  // NOLINT
  const ConfigState& state() const { return this->current; }      // NOLINT
  /// Kept changes, oldest first.
  const std::deque<Change>& changes() const { return this->kept; }  // NOLINT
  /// The changes after `revision`, at most `limit`; none if they aren't kept.
  std::optional<std::vector<Change>> ChangesAfter(base::Revision revision,
                                                  std::size_t limit) const;
  /// The kept change of that operation; null if there is none.
  const Change* FindOperation(const std::string& operation_id) const;
  /// The last kept change of that rule; null if there is none.
  const Change* FindRuleChange(const RuleIdentity& id) const;
  /// The rules as they were. Errors: kNotFound if the changes since then aren't
  /// kept or the revision isn't reached yet.
  base::Outcome<RuleSet> RulesAt(base::Revision revision) const;

 private:
  ConfigState current;
  std::deque<Change> kept;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_CONFIG_LOG_H_
