#ifndef GYPSUMTRACK_POLICY_ACCESS_H_
#define GYPSUMTRACK_POLICY_ACCESS_H_

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/policy/rule.h"

/// Who a key belongs to and what its organisation may call. Built once for each
/// revision, then read by all threads.
namespace gypsumtrack::policy {

/// A caller's key as the system keeps it: never the key itself.
struct KeyGrant {
  /// HMAC of the key, in hex.
  std::string hash;
  base::Organisation organisation;
  /// Name by which operators speak of the key.
  std::string label;

  bool operator==(const KeyGrant&) const = default;
};

/// What a request asks for.
struct AccessRequest {
  base::Service service;
  base::Model model;
  std::string_view method;
  std::string_view path;
};

/// Immutable once built; all queries are thread-safe.
class AccessSnapshot {
 public:
  AccessSnapshot() = default;
  AccessSnapshot(base::Revision at, RuleSet rules, std::vector<KeyGrant> grants,
                 std::set<std::string> withdrawn);

  base::Revision revision() const { return this->at; }  // NOLINT
  const RuleSet& rules() const { return this->all; }    // NOLINT

  /// The key's organisation; none if it was never granted or is withdrawn.
  std::optional<base::Organisation> FindOrganisation(
      const std::string& key_hash) const;

  /// The rule with the longest matching route of an allowed request.
  const Rule* FindRule(const base::Organisation& organisation,
                       const AccessRequest& request) const;

  /// The open rule that lets the request pass without a key.
  const Rule* FindOpenRule(const AccessRequest& request) const;

 private:
  base::Revision at = 0;
  RuleSet all;
  std::unordered_map<std::string, KeyGrant> grants;
  std::set<std::string> withdrawn;
  /// Positions in `all`.
  std::unordered_map<base::Organisation, std::vector<std::size_t>> by_org;
  std::vector<std::size_t> open;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_ACCESS_H_
