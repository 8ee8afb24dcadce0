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

const Rule* LongestRoute(const RuleSet& rules,
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

AccessSnapshot::AccessSnapshot(base::Revision at, RuleSet rules,
                               std::vector<KeyGrant> key_grants,
                               std::set<std::string> withdrawn_keys)
    : at(at), all(std::move(rules)), withdrawn(std::move(withdrawn_keys)) {
  for (auto& grant : key_grants) {
    auto hash = grant.hash;
    this->grants.emplace(std::move(hash), std::move(grant));
  }
  for (std::size_t i = 0; i < this->all.size(); ++i) {
    const auto& id = this->all[i].id;
    if (id.kind == RuleKind::kOpen) {
      this->open.push_back(i);
    } else {
      this->by_org[id.organisation].push_back(i);
    }
  }
}

std::optional<base::Organisation> AccessSnapshot::FindOrganisation(
    const std::string& key_hash) const {
  if (this->withdrawn.count(key_hash) != 0) return std::nullopt;
  const auto found = this->grants.find(key_hash);
  if (found == this->grants.end()) return std::nullopt;
  return found->second.organisation;
}

const Rule* AccessSnapshot::FindRule(const base::Organisation& organisation,
                                     const AccessRequest& request) const {
  const auto found = this->by_org.find(organisation);
  if (found == this->by_org.end()) return nullptr;
  return LongestRoute(this->all, found->second, request);
}

const Rule* AccessSnapshot::FindOpenRule(const AccessRequest& request) const {
  return LongestRoute(this->all, this->open, request);
}

}  // namespace gypsumtrack::policy
