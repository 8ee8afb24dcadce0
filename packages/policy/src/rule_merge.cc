#include "gypsumtrack/policy/rule_merge.h"

#include <fmt/format.h>

#include <map>
#include <optional>

namespace gypsumtrack::policy {
namespace {

std::string FormatIdentity(const RuleIdentity& id) {
  std::string text(kRuleKindNames.Name(id.kind));
  if (!id.organisation.empty()) text += " org=" + id.organisation.text;
  text += " service=" + id.service.text;
  if (!id.model.empty()) text += " model=" + id.model.text;
  if (!id.route.path_prefix.empty()) {
    text += fmt::format(" route={}:{}", id.route.method, id.route.path_prefix);
  }
  return text;
}

std::string FindComment(const Change& change, const RuleIdentity& id) {
  const auto* delta = std::get_if<RulesDelta>(&change.body);
  if (delta == nullptr) return {};
  for (const auto& edit : delta->edits) {
    if (edit.id() != id) continue;
    return edit.after ? edit.after->comment : edit.before->comment;
  }
  return {};
}

base::Error ConflictError(const ConfigLog& log, const RuleIdentity& id) {
  const auto& rules = log.state().rules;
  const auto entry = rules.find(id);
  const Change* change = log.FindRuleChange(id);
  if (entry != rules.end()) {
    const auto& origin = entry->second.origin;
    return {base::Errc::kConflict,
            fmt::format("{}: changed in revision {} by {} (\"{}\")",
                        FormatIdentity(id), origin.revision, origin.author,
                        entry->second.rule.comment)};
  }
  if (change == nullptr) {
    return {base::Errc::kConflict,
            fmt::format("{}: removed by another change", FormatIdentity(id))};
  }
  return {base::Errc::kConflict,
          fmt::format("{}: removed in revision {} by {} (\"{}\")",
                      FormatIdentity(id), change->revision, change->author,
                      FindComment(*change, id))};
}

}  // namespace

std::vector<RuleEdit> DiffRules(const RuleSet& before, const RuleSet& after) {
  std::map<RuleIdentity, RuleEdit> edits;
  for (const auto& rule : before) edits[rule.id].before = rule;
  for (const auto& rule : after) edits[rule.id].after = rule;
  std::vector<RuleEdit> changed;
  for (auto& [id, edit] : edits) {
    if (edit.before != edit.after) changed.push_back(std::move(edit));
  }
  return changed;
}

std::string FormatEdits(const std::vector<RuleEdit>& edits) {
  std::string text;
  for (const auto& edit : edits) {
    if (edit.before) text += "- " + FormatRule(*edit.before) + "\n";
    if (edit.after) text += "+ " + FormatRule(*edit.after) + "\n";
  }
  return text;
}

base::Outcome<std::vector<RuleEdit>> MergeRules(const ConfigLog& log,
                                                base::Revision base,
                                                const RuleSet& file) {
  const auto old_rules = log.RulesAt(base);
  if (!old_rules.ok()) return old_rules.error();
  const auto& current_rules = log.state().rules;
  std::vector<RuleEdit> merged;
  for (auto& edit : DiffRules(*old_rules, file)) {
    const auto entry = current_rules.find(edit.id());
    std::optional<Rule> current_rule;
    if (entry != current_rules.end()) current_rule = entry->second.rule;
    if (current_rule == edit.after) continue;
    if (current_rule != edit.before) return ConflictError(log, edit.id());
    if (entry != current_rules.end()) {
      edit.replaces = entry->second.origin.revision;
    }
    merged.push_back(std::move(edit));
  }
  return merged;
}

}  // namespace gypsumtrack::policy
