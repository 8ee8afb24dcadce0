#ifndef GYPSUMTRACK_POLICY_RULE_H_
#define GYPSUMTRACK_POLICY_RULE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/outcome.h"

/// Rules: the lines of the operators' rule file. A rule states who may call
/// which service, at what rate, and whether in bulk.
namespace gypsumtrack::policy {

/// What a rule allows.
enum class RuleKind {
  kAllow,  ///< An organisation may call a service.
  kOpen,   ///< Anyone may call a route without a key.
};

/// Names of the kinds in the rule file.
inline constexpr auto kRuleKindNames = base::MakeEnumTable<RuleKind>({
    {RuleKind::kAllow, "allow"},
    {RuleKind::kOpen, "open"},
});

/// Whether an isolated failure domain serves the requests that match a rule.
enum class IsolatedMode { kServe, kRefuse };

/// Names of the modes in the rule file.
inline constexpr auto kIsolatedModeNames = base::MakeEnumTable<IsolatedMode>({
    {IsolatedMode::kServe, "serve"},
    {IsolatedMode::kRefuse, "refuse"},
});

/// An HTTP method and a path prefix, such as `POST:/confirm`. An empty method
/// or prefix matches all requests.
struct Route {
  std::string method;
  std::string path_prefix;

  auto operator<=>(const Route&) const = default;
};

/// The fields that identify a rule. A rule file has at most one rule of an
/// identity.
struct RuleIdentity {
  RuleKind kind = RuleKind::kAllow;
  base::Organisation organisation;
  base::Service service;
  base::Model model;
  Route route;

  auto operator<=>(const RuleIdentity&) const = default;
};

/// One rule.
struct Rule {
  RuleIdentity id;
  /// Maximum sustained rate, in requests per second; 0 for open rules, which
  /// have no limit.
  double rate_per_second = 0;
  /// Maximum number of requests in a burst.
  std::uint32_t burst = 0;
  /// Whether batch jobs are allowed.
  bool bulk = false;
  /// Weight of the organisation when it shares endpoints with others.
  std::uint32_t share = 1;
  /// Whether a request may run more than once.
  bool idempotent = true;
  /// What an isolated failure domain does with matching requests.
  IsolatedMode isolated = IsolatedMode::kServe;
  /// Who requested the rule, and why.
  std::string comment;

  bool operator==(const Rule&) const = default;
};

/// Rules in file order, without blank lines and comment lines.
using RuleSet = std::vector<Rule>;

/// Parses a rule file. Errors: kInvalid, with a message of the form
/// `line:column: expected ...` for the first error in the file. Thread-safe.
base::Outcome<RuleSet> ParseRules(const std::string& text);

/// Formats a rule as its canonical line, including the comment, without a
/// newline. Thread-safe.
std::string FormatRule(const Rule& rule);

/// Formats rules as a canonical rule file. Thread-safe.
std::string FormatRules(const RuleSet& rules);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_RULE_H_
