#ifndef GYPSUMTRACK_POLICY_RULE_H_
#define GYPSUMTRACK_POLICY_RULE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/outcome.h"

/// One line of the operators' file: who may call what, how often, and whether
/// in bulk.
namespace gypsumtrack::policy {

enum class RuleKind {
  kAllow,  ///< an organisation may call a service
  kOpen,   ///< anyone may call a route, without a key
};

inline constexpr auto kRuleKindNames = base::MakeEnumTable<RuleKind>({
    {RuleKind::kAllow, "allow"},
    {RuleKind::kOpen, "open"},
});

/// What a failure domain that is cut off does with the rule's organisation.
enum class IsolatedMode { kServe, kRefuse };

inline constexpr auto kIsolatedModeNames = base::MakeEnumTable<IsolatedMode>({
    {IsolatedMode::kServe, "serve"},
    {IsolatedMode::kRefuse, "refuse"},
});

/// An HTTP method and a path prefix, `POST:/confirm`. Empty matches all.
struct Route {
  std::string method;
  std::string path_prefix;

  auto operator<=>(const Route&) const = default;
};

/// Two rules are the same rule when their identities are equal.
struct RuleIdentity {
  RuleKind kind = RuleKind::kAllow;
  base::Organisation organisation;
  base::Service service;
  base::Model model;
  Route route;

  auto operator<=>(const RuleIdentity&) const = default;
};

struct Rule {
  RuleIdentity id;
  /// Requests a second; 0 on open rules, which aren't limited.
  double rate_per_second = 0;
  /// Requests that may come at once.
  std::uint32_t burst = 0;
  bool bulk = false;
  /// Weight among the organisations that share endpoints.
  std::uint32_t share = 1;
  bool idempotent = true;
  IsolatedMode isolated = IsolatedMode::kServe;
  /// Who asked for it and why.
  std::string comment;

  bool operator==(const Rule&) const = default;
};

/// The rules of a file in its order, without blank lines and free comments.
using RuleSet = std::vector<Rule>;

/// Reads a whole file. Errors: kInvalid with `line:column: expected ...`;
/// nothing of a file with an error is returned. Thread-safe.
base::Outcome<RuleSet> ParseRules(const std::string& text);

/// The canonical line of a rule, comment included, without a line end.
/// Thread-safe.
std::string FormatRule(const Rule& rule);

/// Precondition: none. The canonical file. Thread-safe.
std::string FormatRules(const RuleSet& rules);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_RULE_H_
