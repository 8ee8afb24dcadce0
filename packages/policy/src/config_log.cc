#include "gypsumtrack/policy/config_log.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace gypsumtrack::policy {
namespace {

struct ChangeApplier {
  ConfigState& state;
  ChangeOrigin origin;

  void operator()(const RulesDelta& delta) const {
    for (const auto& edit : delta.edits) {
      if (edit.after) {
        this->state.rules[edit.id()] = {*edit.after, this->origin};
      } else {
        this->state.rules.erase(edit.id());
      }
    }
  }
  void operator()(const KeyGrant& grant) const {
    if (this->state.withdrawn.count(grant.hash) != 0) return;
    this->state.keys[grant.hash] = {grant, this->origin};
  }
  void operator()(const KeyWithdrawal& withdrawal) const {
    for (const auto& hash : withdrawal.hashes) {
      this->state.keys.erase(hash);
      this->state.withdrawn.emplace(hash, this->origin.revision);
    }
  }
};

void UndoRuleEdits(const Change& change, std::map<RuleIdentity, Rule>& rules) {
  const auto* delta = std::get_if<RulesDelta>(&change.body);
  if (delta == nullptr) return;
  for (const auto& edit : delta->edits) {
    if (edit.before) {
      rules[edit.id()] = *edit.before;
    } else {
      rules.erase(edit.id());
    }
  }
}

bool ChangesRule(const Change& change, const RuleIdentity& id) {
  const auto* delta = std::get_if<RulesDelta>(&change.body);
  return delta != nullptr &&
         std::any_of(delta->edits.begin(), delta->edits.end(),
                     [&](const RuleEdit& edit) { return edit.id() == id; });
}

}  // namespace

RuleSet RulesOf(const ConfigState& state) {
  RuleSet rules;
  rules.reserve(state.rules.size());
  for (const auto& [id, entry] : state.rules) rules.push_back(entry.rule);
  return rules;
}

AccessSnapshot MakeAccessSnapshot(const ConfigState& state,
                                  const std::set<std::string>& pending) {
  std::vector<KeyGrant> grants;
  grants.reserve(state.keys.size());
  for (const auto& [hash, entry] : state.keys) grants.push_back(entry.grant);
  // Keys withdrawn by the log have no grant in `state`, so only the pending
  // withdrawals must be passed on.
  return {state.revision, RulesOf(state), std::move(grants), pending};
}

base::Status ConfigLog::Apply(Change change) {
  if (change.revision <= this->head()) return base::Done{};
  if (change.revision != this->head() + 1) {
    return base::Error(base::Errc::kConflict,
                       fmt::format("revision {} doesn't follow {}",
                                   change.revision, this->head()));
  }
  const ChangeOrigin origin{change.revision, change.author, change.changed_at};
  std::visit(ChangeApplier{this->current_state, origin}, change.body);
  this->current_state.revision = change.revision;
  this->recent_changes.push_back(std::move(change));
  if (this->recent_changes.size() > kMaxRecentChanges) {
    this->recent_changes.pop_front();
  }
  return base::Done{};
}

bool ConfigLog::InstallState(ConfigState newer) {
  if (newer.revision <= this->head()) return false;
  this->current_state = std::move(newer);
  this->recent_changes.clear();
  return true;
}

std::optional<std::vector<Change>> ConfigLog::ChangesAfter(
    base::Revision revision, std::size_t limit) const {
  std::vector<Change> found;
  if (revision >= this->head()) return found;
  if (this->recent_changes.empty() ||
      this->recent_changes.front().revision > revision + 1) {
    return std::nullopt;
  }
  const auto skip = revision + 1 - this->recent_changes.front().revision;
  const auto count =
      std::min<std::size_t>(limit, this->recent_changes.size() - skip);
  const auto first =
      this->recent_changes.begin() + static_cast<std::ptrdiff_t>(skip);
  found.assign(first, first + static_cast<std::ptrdiff_t>(count));
  return found;
}

const Change* ConfigLog::FindOperation(const std::string& operation_id) const {
  const auto found =
      std::find_if(this->recent_changes.rbegin(), this->recent_changes.rend(),
                   [&](const Change& change) {
                     return change.operation_id == operation_id;
                   });
  return found == this->recent_changes.rend() ? nullptr : &*found;
}

const Change* ConfigLog::FindRuleChange(const RuleIdentity& id) const {
  const auto found = std::find_if(
      this->recent_changes.rbegin(), this->recent_changes.rend(),
      [&](const Change& change) { return ChangesRule(change, id); });
  return found == this->recent_changes.rend() ? nullptr : &*found;
}

base::Outcome<RuleSet> ConfigLog::RulesAt(base::Revision revision) const {
  // Revision 0 is the empty log, whichever changes are retained.
  if (revision == 0) return RuleSet{};
  if (revision > this->head()) {
    return base::Error(base::Errc::kNotFound,
                       fmt::format("revision {} isn't reached; the head is {}",
                                   revision, this->head()));
  }
  if (revision < this->head() &&
      (this->recent_changes.empty() ||
       this->recent_changes.front().revision > revision + 1)) {
    return base::Error(
        base::Errc::kNotFound,
        fmt::format("revision {} is older than the kept changes", revision));
  }
  std::map<RuleIdentity, Rule> rules;
  for (const auto& [id, entry] : this->current_state.rules) {
    rules[id] = entry.rule;
  }
  for (auto change = this->recent_changes.rbegin();
       change != this->recent_changes.rend() && change->revision > revision;
       ++change) {
    UndoRuleEdits(*change, rules);
  }
  RuleSet found;
  for (auto& [id, rule] : rules) found.push_back(std::move(rule));
  return found;
}

}  // namespace gypsumtrack::policy
