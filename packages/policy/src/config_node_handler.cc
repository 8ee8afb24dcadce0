#include "config_node_handler.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gypsumtrack::policy {
namespace {

/// Most changes in the answer to a fetch.
constexpr std::size_t kFetchLimit = 200;

PendingWithdrawals Pending(const PendingWithdrawalSet& set, bool reply) {
  const auto hashes = set.Hashes();
  return {{hashes.begin(), hashes.end()}, reply};
}

}  // namespace

void ConfigNode::Handler::Send(ConfigMessage message) const {
  this->out.push_back(SendMessage{this->from, std::move(message)});
}

void ConfigNode::Handler::Confirm(const AnnounceHead& announce) const {
  if (announce.outside_contact_age) {
    const auto heard_at = this->now - *announce.outside_contact_age;
    auto& own = this->node.outside_at;
    if (!own || *own < heard_at) own = heard_at;
  }
  // Only what is in the replica can be confirmed as the head.
  if (!announce.confirmation_age ||
      announce.revision > this->node.replica.head())
    return;
  if (!this->node.reader.OnConfirmed(this->now - *announce.confirmation_age))
    return;
  const auto gap = this->node.options.announce / 2;
  const auto as_of = *this->node.reader.confirmed();
  if (as_of - this->node.announced_as_of < gap) return;
  this->node.announced_as_of = as_of;
  this->node.TellAnnounce(this->now, this->out);
}

bool ConfigNode::Handler::IsBehind(const AnnounceHead& announce) const {
  if (announce.revision < this->node.replica.head()) return true;
  const auto as_of = this->node.reader.confirmed();
  if (!as_of) return false;
  const auto slack = this->node.options.announce * 3 / 2;
  return !announce.confirmation_age ||
         this->now - *announce.confirmation_age + slack < *as_of;
}

void ConfigNode::Handler::operator()(const AnnounceHead& announce) const {
  this->Confirm(announce);
  if (announce.revision > this->node.replica.head()) {
    this->node.Fetch(this->now, this->from, this->out);
  } else if (this->node.serving && this->IsBehind(announce)) {
    this->Send(this->node.MakeAnnounce(this->now));
  }
  if (announce.withdrawals_digest != this->node.refused.digest()) {
    this->Send(Pending(this->node.refused, true));
  }
}

void ConfigNode::Handler::CatchUp(base::Revision head) const {
  if (head > this->node.replica.head()) {
    this->Send(FetchChanges{this->node.replica.head()});
    return;
  }
  this->node.heard_heads.insert(this->from);
}

void ConfigNode::Handler::operator()(const PushChanges& push) const {
  const auto before = this->node.replica.head();
  const bool missing = this->node.ApplyAll(this->now, push.changes, this->out);
  if (missing) {
    this->node.Fetch(this->now, this->from, this->out);
  } else if (push.head <= this->node.replica.head() ||
             this->node.replica.head() > before) {
    this->CatchUp(push.head);
  }
  if (push.changes.empty()) return;
  const auto in_force = this->node.in_force();
  this->Send(ReportRevisions{this->node.replica.head(),
                             this->node.pusher.Counts(this->now, in_force)});
}

void ConfigNode::Handler::operator()(const FetchChanges& fetch) const {
  // A node that isn't ready has no head to offer.
  if (!this->node.serving) return;
  const auto& replica = this->node.replica;
  auto changes = replica.ChangesAfter(fetch.after, kFetchLimit);
  if (changes) {
    this->Send(PushChanges{std::move(*changes), replica.head()});
  } else {
    this->Send(PushState{replica.state()});
  }
}

void ConfigNode::Handler::operator()(const PushState& push) const {
  const auto before = this->node.replica.head();
  if (this->node.replica.Adopt(push.state)) {
    this->node.OnGrown(this->now, before, this->out);
  }
  this->CatchUp(push.state.revision);
}

void ConfigNode::Handler::operator()(const ReportRevisions& report) const {
  this->node.pusher.OnReport(this->now, this->node.tree, this->from, report);
}

void ConfigNode::Handler::operator()(
    const policy::WithdrawKeys& message) const {
  this->node.Refuse(this->now, message.hashes);
  auto sent = this->node.withdrawals.OnWithdraw(this->now, this->node.tree,
                                                this->from, message);
  std::move(sent.begin(), sent.end(), std::back_inserter(this->out));
}

void ConfigNode::Handler::operator()(const WithdrawAck& ack) const {
  auto sent = this->node.withdrawals.OnAck(this->now, this->from, ack);
  std::move(sent.begin(), sent.end(), std::back_inserter(this->out));
}

void ConfigNode::Handler::operator()(const PendingWithdrawals& message) const {
  this->node.Refuse(this->now, message.hashes);
  if (message.reply) {
    this->Send(Pending(this->node.refused, false));
  } else {
    this->node.heard_withdrawals.insert(this->from);
  }
}

void ConfigNode::Handler::operator()(const QueryStatus& ask) const {
  const auto in_force = this->node.in_force();
  const auto& members = this->node.tree.domains();
  const auto own = members.find(this->node.tree.domain());
  const auto vms = own == members.end() ? 0 : own->second.size();
  this->Send(ReportStatus{ask.round,
                          this->node.pusher.Counts(this->now, in_force),
                          static_cast<std::uint32_t>(vms)});
}

void ConfigNode::Handler::operator()(const ReportStatus& told) const {
  auto answer = this->node.statuses.OnTell(this->from, told);
  std::move(answer.begin(), answer.end(), std::back_inserter(this->out));
}

}  // namespace gypsumtrack::policy
