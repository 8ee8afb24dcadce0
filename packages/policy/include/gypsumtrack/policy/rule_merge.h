#ifndef GYPSUMTRACK_POLICY_RULE_MERGE_H_
#define GYPSUMTRACK_POLICY_RULE_MERGE_H_

#include <string>
#include <vector>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/policy/config_log.h"
#include "gypsumtrack/policy/rule.h"

/// Differences between rule files, and three-way merge by rule.
namespace gypsumtrack::policy {

/// The edits that turn `before` into `after`, by rule identity; `replaces` is
/// left 0. Precondition: no identity twice in either. Thread-safe.
std::vector<RuleEdit> DiffRules(const RuleSet& before, const RuleSet& after);

/// One line for each rule removed (`-`) or added (`+`). Thread-safe.
std::string FormatEdits(const std::vector<RuleEdit>& edits);

/// The edits that bring `file`, written against revision `base`, into the head
/// of `log`. Edits that others made since are kept; a rule that another change
/// set otherwise is refused. Errors: kConflict, naming the rule, the other
/// revision, its author and its comment; kNotFound if `base` isn't kept.
/// Thread-safe.
base::Outcome<std::vector<RuleEdit>> MergeRules(const ConfigLog& log,
                                                base::Revision base,
                                                const RuleSet& file);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_RULE_MERGE_H_
