#include "gypsumtrack/policy/config_append.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "gypsumtrack/policy/rule_merge.h"

namespace gypsumtrack::policy {
namespace {

/// Builds the body of the change that applies a proposal to the log's head;
/// none if the proposal changes nothing.
struct BodyBuilder {
  using Result = base::Outcome<std::optional<ChangeBody>>;

  const ConfigLog& log;
  base::Revision base;

  Result operator()(const RulesFile& file) const {
    auto edits = MergeRules(this->log, this->base, file.rules);
    if (!edits.ok()) return edits.error();
    if (edits->empty()) return Result(std::nullopt);
    return Result(RulesDelta{std::move(*edits)});
  }

  Result operator()(const KeyGrant& grant) const {
    for (const auto& [hash, entry] : this->log.state().keys) {
      if (entry.grant == grant) return Result(std::nullopt);
      if (entry.grant.label != grant.label) continue;
      return base::Error(
          base::Errc::kConflict,
          fmt::format("label {}: in use since revision {} by {}", grant.label,
                      entry.origin.revision, entry.origin.author));
    }
    return Result(grant);
  }

  Result operator()(const KeyWithdrawal& withdrawal) const {
    KeyWithdrawal missing;
    for (const auto& hash : withdrawal.hashes) {
      if (this->log.state().withdrawn.count(hash) != 0) continue;
      missing.hashes.push_back(hash);
    }
    if (missing.hashes.empty()) return Result(std::nullopt);
    return Result(std::move(missing));
  }
};

std::vector<RuleEdit> RuleEditsOf(const ChangeBody& body) {
  const auto* delta = std::get_if<RulesDelta>(&body);
  return delta == nullptr ? std::vector<RuleEdit>{} : delta->edits;
}

base::Error TableUnreachable() {
  return {base::Errc::kUnavailable,
          "the table can't be reached; nothing changed"};
}

bool IsDryRun(const Proposal& proposal) {
  const auto* file = std::get_if<RulesFile>(&proposal.body);
  return file != nullptr && file->dry_run;
}

}  // namespace

void ConfigAppender::Submit(Proposal proposal) {
  this->queue.push_back(std::move(proposal));
}

AppendEffects ConfigAppender::FinishFirst(base::Outcome<AppendResult> result) {
  AppendEffects out;
  out.responses.push_back(
      {std::move(this->queue.front().operation_id), std::move(result)});
  this->queue.pop_front();
  this->phase = Phase::kRead;
  this->next_read_at = {};
  this->sent_change.reset();
  this->outcome_unknown = false;
  return out;
}

AppendEffects ConfigAppender::OnCaughtUp(const ConfigLog& log) {
  if (this->queue.empty() || this->phase != Phase::kRead) return {};
  const auto& proposal = this->queue.front();
  if (const auto* accepted = log.FindOperation(proposal.operation_id)) {
    return this->FinishFirst(
        AppendResult{accepted->revision, RuleEditsOf(accepted->body)});
  }
  auto body = std::visit(BodyBuilder{log, proposal.base}, proposal.body);
  if (!body.ok()) return this->FinishFirst(body.error());
  if (!*body) return this->FinishFirst(AppendResult{log.head(), {}});
  if (IsDryRun(proposal)) {
    return this->FinishFirst(AppendResult{log.head(), RuleEditsOf(**body)});
  }
  const auto revision = log.head() + 1;
  // A retry sends the same change, so that the table recognises it by its
  // operation id.
  if (!this->sent_change || this->sent_change->revision != revision) {
    this->sent_change =
        Change{revision,        proposal.base,        proposal.operation_id,
               proposal.author, proposal.proposed_at, std::move(**body)};
  }
  this->phase = Phase::kCommit;
  AppendEffects out;
  out.commit = this->sent_change;
  return out;
}

AppendEffects ConfigAppender::OnCommitReply(base::Instant now,
                                            const base::Status& reply) {
  if (this->queue.empty() || this->phase != Phase::kCommit) return {};
  if (reply.ok()) {
    auto accepted = std::move(*this->sent_change);
    auto out = this->FinishFirst(
        AppendResult{accepted.revision, RuleEditsOf(accepted.body)});
    out.accepted = std::move(accepted);
    return out;
  }
  this->phase = Phase::kRead;
  const bool is_conflict = reply.error().Is(base::Errc::kConflict);
  this->next_read_at = is_conflict ? now : now + kRetryDelay;
  if (reply.error().Is(base::Errc::kUnknown)) this->outcome_unknown = true;
  return {};
}

AppendEffects ConfigAppender::OnTimer(base::Instant now) {
  AppendEffects out;
  // A proposal that is being committed doesn't expire here: the call to the
  // table has its own deadline.
  while (!this->queue.empty() && this->phase == Phase::kRead &&
         this->queue.front().deadline <= now) {
    const auto error =
        this->outcome_unknown
            ? base::Error(base::Errc::kUnknown,
                          "the table didn't answer; the change may still take "
                          "effect: see the history")
            : TableUnreachable();
    auto finished = this->FinishFirst(error);
    out.responses.push_back(std::move(finished.responses.front()));
  }
  // The proposals behind the first were never sent to the table.
  for (auto proposal = this->queue.begin(); proposal != this->queue.end();) {
    if (proposal == this->queue.begin() || proposal->deadline > now) {
      ++proposal;
      continue;
    }
    out.responses.push_back(
        {std::move(proposal->operation_id), TableUnreachable()});
    proposal = this->queue.erase(proposal);
  }
  return out;
}

bool ConfigAppender::NeedsRead(base::Instant now) const {
  return !this->queue.empty() && this->phase == Phase::kRead &&
         this->next_read_at <= now;
}

base::Instant ConfigAppender::next_wake() const {
  if (this->queue.empty() || this->phase == Phase::kCommit) return base::kNever;
  auto earliest = this->next_read_at;
  for (const auto& proposal : this->queue) {
    earliest = std::min(earliest, proposal.deadline);
  }
  return earliest;
}

}  // namespace gypsumtrack::policy
