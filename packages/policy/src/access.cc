#include "gypsumtrack/policy/access.h"

#include <utility>

namespace gypsumtrack::policy {
namespace {

bool Matches(const Rule& rule, const AccessRequest& request) {
  const auto& id = rule.id;
  if (!id.service.empty() && !request.service.empty() &&
      id.service != request.service) {
    return false;
  }
  if (id.model != request.model) return false;
  if (!id.route.method.empty() && id.route.method != request.method) {
    return false;
  }
  return request.path.substr(0, id.route.path_prefix.size()) ==
         id.route.path_prefix;
}

const Rule* FindLongestRoute(const RuleSet& rules,
                             const std::vector<std::size_t>& candidates,
                             const AccessRequest& request) {
  const Rule* best = nullptr;
  for (const auto index : candidates) {
    const Rule& rule = rules[index];
    if (!Matches(rule, request)) continue;
    if (best == nullptr ||
        rule.id.route.path_prefix.size() > best->id.route.path_prefix.size()) {
      best = &rule;
    }
  }
  return best;
}

}  // namespace

AccessSnapshot::AccessSnapshot(base::Revision revision, RuleSet rules,
                               std::vector<KeyGrant> grants,
                               std::set<std::string> withdrawn)
    : config_revision(revision),
      rule_set(std::move(rules)),
      withdrawn_hashes(std::move(withdrawn)) {
  for (auto& grant : grants) {
    auto hash = grant.hash;
    this->grants_by_hash.emplace(std::move(hash), std::move(grant));
  }
  for (std::size_t i = 0; i < this->rule_set.size(); ++i) {
    const auto& id = this->rule_set[i].id;
    if (id.kind == RuleKind::kOpen) {
      this->open_rules.push_back(i);
    } else {
      this->allow_rules_by_organisation[id.organisation].push_back(i);
    }
  }
}

std::optional<base::Organisation> AccessSnapshot::FindOrganisation(
    const std::string& key_hash) const {
  if (this->withdrawn_hashes.count(key_hash) != 0) return std::nullopt;
  const auto found = this->grants_by_hash.find(key_hash);
  if (found == this->grants_by_hash.end()) return std::nullopt;
  return found->second.organisation;
}

const Rule* AccessSnapshot::FindRule(const base::Organisation& organisation,
                                     const AccessRequest& request) const {
  const auto found = this->allow_rules_by_organisation.find(organisation);
  if (found == this->allow_rules_by_organisation.end()) return nullptr;
  return FindLongestRoute(this->rule_set, found->second, request);
}

const Rule* AccessSnapshot::FindOpenRule(const AccessRequest& request) const {
  return FindLongestRoute(this->rule_set, this->open_rules, request);
}

}  // namespace gypsumtrack::policy
