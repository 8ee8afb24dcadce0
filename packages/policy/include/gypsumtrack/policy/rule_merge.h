#ifndef GYPSUMTRACK_POLICY_RULE_MERGE_H_
#define GYPSUMTRACK_POLICY_RULE_MERGE_H_

#include <string>
#include <vector>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/policy/config_log.h"
#include "gypsumtrack/policy/rule.h"

/// Computes differences between rule files and merges them three-way, rule by
/// rule.
namespace gypsumtrack::policy {

/// Returns the edits that turn `before` into `after`, ordered by rule identity,
/// with `replaces` set to 0. Precondition: each identity occurs at most once in
/// `before` and at most once in `after`. Thread-safe.
std::vector<RuleEdit> DiffRules(const RuleSet& before, const RuleSet& after);

/// Formats edits as one line per removed (`-`) or added (`+`) rule; a changed
/// rule has both lines. Thread-safe.
std::string FormatEdits(const std::vector<RuleEdit>& edits);

/// Returns the edits that merge `file`, edited from revision `base`, into the
/// head of `log`. Edits that others have made since `base` are kept. Errors:
/// kConflict if the file edits a rule that has since been changed differently;
/// the message has the rule, and the revision, author and comment of the other
/// change. kNotFound if the rules at `base` aren't available. Thread-safe.
base::Outcome<std::vector<RuleEdit>> MergeRules(const ConfigLog& log,
                                                base::Revision base,
                                                const RuleSet& file);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_RULE_MERGE_H_
