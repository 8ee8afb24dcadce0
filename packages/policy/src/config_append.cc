#include "gypsumtrack/policy/config_append.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "gypsumtrack/policy/rule_merge.h"

namespace gypsumtrack::policy {
namespace {

/// The body that a proposal gives at the log's head; none if it changes
/// nothing.
struct BodyBuilder {
  using Built = base::Outcome<std::optional<ChangeBody>>;

  const ConfigLog& log;
  base::Revision base;

  Built operator()(const RulesFile& file) const {
    auto edits = MergeRules(this->log, this->base, file.rules);
    if (!edits.ok()) return edits.error();
    if (edits->empty()) return Built(std::nullopt);
    return Built(RulesDelta{std::move(*edits)});
  }

  Built operator()(const KeyGrant& grant) const {
    for (const auto& [hash, entry] : this->log.state().keys) {
      if (entry.grant == grant) return Built(std::nullopt);
      if (entry.grant.label != grant.label) continue;
      return base::Error(
          base::Errc::kConflict,
          fmt::format("label {}: in use since revision {} by {}", grant.label,
                      entry.origin.revision, entry.origin.author));
    }
    return Built(grant);
  }

  Built operator()(const KeyWithdrawal& withdrawal) const {
    KeyWithdrawal missing;
    for (const auto& hash : withdrawal.hashes) {
      if (this->log.state().withdrawn.count(hash) != 0) continue;
      missing.hashes.push_back(hash);
    }
    if (missing.hashes.empty()) return Built(std::nullopt);
    return Built(std::move(missing));
  }
};

std::vector<RuleEdit> EditsOf(const ChangeBody& body) {
  const auto* delta = std::get_if<RulesDelta>(&body);
  return delta == nullptr ? std::vector<RuleEdit>{} : delta->edits;
}

base::Error NothingChanged() {
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

AppendStep ConfigAppender::Finish(base::Outcome<AppendResult> result) {
  AppendStep out;
  out.answers.push_back(
      {std::move(this->queue.front().operation_id), std::move(result)});
  this->queue.pop_front();
  this->step = Step::kRead;
  this->read_after = {};
  this->sent.reset();
  this->outcome_unknown = false;
  return out;
}

AppendStep ConfigAppender::OnCaughtUp(const ConfigLog& log) {
  if (this->queue.empty() || this->step != Step::kRead) return {};
  const auto& proposal = this->queue.front();
  if (const auto* done = log.FindOperation(proposal.operation_id)) {
    return this->Finish(AppendResult{done->revision, EditsOf(done->body)});
  }
  auto body = std::visit(BodyBuilder{log, proposal.base}, proposal.body);
  if (!body.ok()) return this->Finish(body.error());
  if (!*body) return this->Finish(AppendResult{log.head(), {}});
  if (IsDryRun(proposal)) {
    return this->Finish(AppendResult{log.head(), EditsOf(**body)});
  }
  const auto revision = log.head() + 1;
  // Sent again unchanged, so that the table knows it by its operation id.
  if (!this->sent || this->sent->revision != revision) {
    this->sent =
        Change{revision,        proposal.base,        proposal.operation_id,
               proposal.author, proposal.proposed_at, std::move(**body)};
  }
  this->step = Step::kCommit;
  AppendStep out;
  out.commit = this->sent;
  return out;
}

AppendStep ConfigAppender::OnCommitReply(base::Instant now,
                                         const base::Status& reply) {
  if (this->queue.empty() || this->step != Step::kCommit) return {};
  if (reply.ok()) {
    auto accepted = std::move(*this->sent);
    auto out =
        this->Finish(AppendResult{accepted.revision, EditsOf(accepted.body)});
    out.accepted = std::move(accepted);
    return out;
  }
  this->step = Step::kRead;
  const bool lost_race = reply.error().Is(base::Errc::kConflict);
  this->read_after = lost_race ? now : now + kRetryDelay;
  if (reply.error().Is(base::Errc::kUnknown)) this->outcome_unknown = true;
  return {};
}

AppendStep ConfigAppender::OnTimer(base::Instant now) {
  AppendStep out;
  // A proposal at the table is settled by its reply, which has a deadline.
  while (!this->queue.empty() && this->step == Step::kRead &&
         this->queue.front().deadline <= now) {
    const auto error =
        this->outcome_unknown
            ? base::Error(base::Errc::kUnknown,
                          "the table didn't answer; the change may still take "
                          "effect: see the history")
            : NothingChanged();
    auto finished = this->Finish(error);
    out.answers.push_back(std::move(finished.answers.front()));
  }
  // Those behind the first were never sent.
  for (auto item = this->queue.begin(); item != this->queue.end();) {
    if (item == this->queue.begin() || item->deadline > now) {
      ++item;
      continue;
    }
    out.answers.push_back({std::move(item->operation_id), NothingChanged()});
    item = this->queue.erase(item);
  }
  return out;
}

bool ConfigAppender::WantsRead(base::Instant now) const {
  return !this->queue.empty() && this->step == Step::kRead &&
         this->read_after <= now;
}

base::Instant ConfigAppender::next_wake() const {
  if (this->queue.empty() || this->step == Step::kCommit) return base::kNever;
  auto earliest = this->read_after;
  for (const auto& proposal : this->queue) {
    earliest = std::min(earliest, proposal.deadline);
  }
  return earliest;
}

}  // namespace gypsumtrack::policy
