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

/// Access checks: the organisation that owns a key, and the requests that the
/// organisation may send. A snapshot is built for each new revision or
/// withdrawal and shared by all threads.
namespace gypsumtrack::policy {

/// A key granted to an organisation. Holds a hash, never the key itself.
struct KeyGrant {
  /// HMAC of the key, in hexadecimal.
  std::string hash;
  base::Organisation organisation;
  /// Operator-assigned name of the key; unique among the granted keys.
  std::string label;

  bool operator==(const KeyGrant&) const = default;
};

/// The properties of a request that rules are matched against. The string
/// views must outlive the object.
struct AccessRequest {
  base::Service service;
  base::Model model;
  std::string_view method;
  std::string_view path;
};

/// The rules and keys of one revision. Immutable; all queries are thread-safe.
class AccessSnapshot {
 public:
  /// An empty snapshot, which allows nothing.
  AccessSnapshot() = default;
  /// `withdrawn` holds the hashes of keys to refuse even if `grants` has them.
  AccessSnapshot(base::Revision revision, RuleSet rules,
                 std::vector<KeyGrant> grants, std::set<std::string> withdrawn);

  /// The revision of the configuration that the snapshot was built from.
  base::Revision revision() const { return this->config_revision; }  // NOLINT
  /// All rules of the revision.
  const RuleSet& rules() const { return this->rule_set; }  // NOLINT

  /// The organisation that owns the key; none if the key was never granted or
  /// is withdrawn.
  std::optional<base::Organisation> FindOrganisation(
      const std::string& key_hash) const;

  /// The organisation's matching rule with the longest route; null if no rule
  /// allows the request. Valid as long as the snapshot.
  const Rule* FindRule(const base::Organisation& organisation,
                       const AccessRequest& request) const;

  /// The matching open rule with the longest route, which allows the request
  /// without a key; null if there is none. Valid as long as the snapshot.
  const Rule* FindOpenRule(const AccessRequest& request) const;

 private:
  base::Revision config_revision = 0;
  RuleSet rule_set;
  std::unordered_map<std::string, KeyGrant> grants_by_hash;
  std::set<std::string> withdrawn_hashes;
  /// Indices into `rule_set`.
  std::unordered_map<base::Organisation, std::vector<std::size_t>>
      allow_rules_by_organisation;
  /// Indices into `rule_set`.
  std::vector<std::size_t> open_rules;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_ACCESS_H_
