#include "config_node_handler.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gypsumtrack::policy {
namespace {

/// Maximum number of changes in the response to FetchChanges.
constexpr std::size_t kMaxFetchedChanges = 200;

PendingWithdrawals MakePendingWithdrawals(const PendingWithdrawalSet& set,
                                          bool reply) {
  const auto hashes = set.Hashes();
  return {{hashes.begin(), hashes.end()}, reply};
}

}  // namespace

void ConfigNode::Handler::Send(ConfigMessage message) const {
  this->out.push_back(SendMessage{this->from, std::move(message)});
}

void ConfigNode::Handler::RecordConfirmation(
    const AnnounceHead& announce) const {
  if (announce.outside_contact_age) {
    const auto contact_at = this->now - *announce.outside_contact_age;
    auto& latest = this->node.last_outside_contact;
    if (!latest || *latest < contact_at) latest = contact_at;
  }
  // A confirmation of a revision that the replica lacks can't be used yet.
  if (!announce.confirmation_age ||
      announce.revision > this->node.replica.head()) {
    return;
  }
  if (!this->node.reader.OnHeadConfirmed(this->now -
                                         *announce.confirmation_age)) {
    return;
  }
  // Limits how often confirmations are forwarded down the tree.
  const auto min_interval = this->node.options.announce_interval / 2;
  const auto confirmed_at = *this->node.reader.head_confirmed_at();
  if (confirmed_at - this->node.last_announced_confirmation < min_interval) {
    return;
  }
  this->node.last_announced_confirmation = confirmed_at;
  this->node.SendAnnouncements(this->now, this->out);
}

bool ConfigNode::Handler::IsSenderBehind(const AnnounceHead& announce) const {
  if (announce.revision < this->node.replica.head()) return true;
  const auto confirmed_at = this->node.reader.head_confirmed_at();
  if (!confirmed_at) return false;
  const auto tolerance = this->node.options.announce_interval * 3 / 2;
  return !announce.confirmation_age ||
         this->now - *announce.confirmation_age + tolerance < *confirmed_at;
}

void ConfigNode::Handler::operator()(const AnnounceHead& announce) const {
  this->RecordConfirmation(announce);
  if (announce.revision > this->node.replica.head()) {
    this->node.RequestChanges(this->now, this->from, this->out);
  } else if (this->node.serving && this->IsSenderBehind(announce)) {
    this->Send(this->node.MakeAnnouncement(this->now));
  }
  if (announce.withdrawals_digest != this->node.pending.digest()) {
    this->Send(MakePendingWithdrawals(this->node.pending, true));
  }
}

void ConfigNode::Handler::FetchUpTo(base::Revision head) const {
  if (head > this->node.replica.head()) {
    this->Send(FetchChanges{this->node.replica.head()});
    return;
  }
  this->node.heads_received_from.insert(this->from);
}

void ConfigNode::Handler::operator()(const PushChanges& push) const {
  const auto before = this->node.replica.head();
  const bool has_gap =
      this->node.ApplyChanges(this->now, push.changes, this->out);
  if (has_gap) {
    this->node.RequestChanges(this->now, this->from, this->out);
  } else if (push.head <= this->node.replica.head() ||
             this->node.replica.head() > before) {
    this->FetchUpTo(push.head);
  }
  if (push.changes.empty()) return;
  const auto in_force = this->node.in_force();
  this->Send(
      ReportRevisions{this->node.replica.head(),
                      this->node.pusher.CountRevisions(this->now, in_force)});
}

void ConfigNode::Handler::operator()(const FetchChanges& fetch) const {
  // A node that isn't serving may be behind, so it offers no changes.
  if (!this->node.serving) return;
  const auto& replica = this->node.replica;
  auto changes = replica.ChangesAfter(fetch.after, kMaxFetchedChanges);
  if (changes) {
    this->Send(PushChanges{std::move(*changes), replica.head()});
  } else {
    this->Send(PushState{replica.state()});
  }
}

void ConfigNode::Handler::operator()(const PushState& push) const {
  const auto before = this->node.replica.head();
  if (this->node.replica.InstallState(push.state)) {
    this->node.OnHeadAdvanced(this->now, before, this->out);
  }
  this->FetchUpTo(push.state.revision);
}

void ConfigNode::Handler::operator()(const ReportRevisions& report) const {
  this->node.pusher.OnReport(this->now, this->node.tree, this->from, report);
}

void ConfigNode::Handler::operator()(
    const policy::WithdrawKeys& message) const {
  this->node.AddPendingWithdrawals(this->now, message.hashes);
  auto actions = this->node.withdrawal_rounds.OnWithdraw(
      this->now, this->node.tree, this->from, message);
  std::move(actions.begin(), actions.end(), std::back_inserter(this->out));
}

void ConfigNode::Handler::operator()(const WithdrawAck& ack) const {
  auto actions = this->node.withdrawal_rounds.OnAck(this->now, this->from, ack);
  std::move(actions.begin(), actions.end(), std::back_inserter(this->out));
}

void ConfigNode::Handler::operator()(const PendingWithdrawals& message) const {
  this->node.AddPendingWithdrawals(this->now, message.hashes);
  if (message.reply) {
    this->Send(MakePendingWithdrawals(this->node.pending, false));
  } else {
    this->node.withdrawals_received_from.insert(this->from);
  }
}

void ConfigNode::Handler::operator()(const QueryStatus& query) const {
  const auto in_force = this->node.in_force();
  const auto& domains = this->node.tree.domains();
  const auto own = domains.find(this->node.tree.domain());
  const auto vms = own == domains.end() ? 0 : own->second.size();
  this->Send(ReportStatus{query.round,
                          this->node.pusher.CountRevisions(this->now, in_force),
                          static_cast<std::uint32_t>(vms)});
}

void ConfigNode::Handler::operator()(const ReportStatus& report) const {
  auto actions = this->node.status_rounds.OnReport(this->from, report);
  std::move(actions.begin(), actions.end(), std::back_inserter(this->out));
}

}  // namespace gypsumtrack::policy
