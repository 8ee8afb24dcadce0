#include "gypsumtrack/policy/config_node.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "config_node_handler.h"
#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

void MoveActions(ConfigActions& out, ConfigActions more) {
  std::move(more.begin(), more.end(), std::back_inserter(out));
}

}  // namespace

ConfigNode::ConfigNode(ConfigOptions node_options, base::VmId vm)
    : options(std::move(node_options)),
      self(std::move(vm)),
      reader(this->options.read, base::Hash64(this->self.name)),
      pusher(this->options.push),
      withdrawal_rounds(this->options.withdrawal),
      status_rounds(this->options.status) {}

ConfigActions ConfigNode::OnFleet(base::Instant now, const FleetView& view) {
  this->tree = ConfigTree(view, this->options.fan_out);
  this->pusher.OnTreeChanged(this->tree);
  if (!this->started_at) this->started_at = now;
  return this->Finish(now, {});
}

ConfigActions ConfigNode::OnTimer(base::Instant now) {
  return this->Finish(now, {});
}

ConfigActions ConfigNode::OnMessage(base::Instant now, const std::string& from,
                                    const ConfigMessage& message) {
  const auto& neighbours = this->tree.neighbours();
  if (std::find(neighbours.begin(), neighbours.end(), from) ==
      neighbours.end()) {
    this->last_outside_contact = now;
  }
  ConfigActions out;
  std::visit(Handler{*this, now, from, out}, message);
  return this->Finish(now, std::move(out));
}

ConfigActions ConfigNode::OnStoreReply(base::Instant now, std::uint64_t token,
                                       const StoreReply& reply) {
  ConfigActions out;
  const auto call = this->store_calls.find(token);
  if (call == this->store_calls.end()) return out;
  const auto kind = call->second;
  this->store_calls.erase(call);
  switch (kind) {
    case StoreCall::kRead:
      this->OnRead(now, std::get<base::Outcome<LogPage>>(reply), out);
      break;
    case StoreCall::kSnapshot:
      this->OnSnapshot(
          now, std::get<base::Outcome<std::optional<ConfigState>>>(reply), out);
      break;
    case StoreCall::kCommit:
      this->ApplyAppendEffects(
          now, this->appender.OnCommitReply(now, std::get<base::Status>(reply)),
          out);
      break;
    case StoreCall::kCompact:
      this->compacting = false;
      break;
  }
  return this->Finish(now, std::move(out));
}

ConfigActions ConfigNode::Submit(base::Instant now, Proposal proposal) {
  this->appender.Submit(std::move(proposal));
  return this->Finish(now, {});
}

ConfigActions ConfigNode::Withdraw(base::Instant now, Proposal proposal) {
  const auto round = proposal.operation_id;
  const auto hashes = std::get<KeyWithdrawal>(proposal.body).hashes;
  this->AddPendingWithdrawals(now, hashes);
  this->own_operations.insert(round);
  this->appender.Submit(std::move(proposal));
  return this->Finish(
      now, this->withdrawal_rounds.Start(now, this->tree, round, hashes));
}

ConfigActions ConfigNode::QueryFleetStatus(base::Instant now,
                                           const std::string& round) {
  const auto own = this->pusher.CountRevisions(now, this->in_force());
  return this->Finish(now,
                      this->status_rounds.Start(now, this->tree, round, own));
}

bool ConfigNode::IsIsolated(base::Instant now) const {
  return !this->last_outside_contact ||
         *this->last_outside_contact + this->options.isolation_timeout <= now;
}

ConfigActions ConfigNode::Finish(base::Instant now, ConfigActions out) {
  if (!this->started_at) return out;
  if (this->appender.NeedsRead(now)) this->reader.RequestRead();
  this->ApplyAppendEffects(now, this->appender.OnTimer(now), out);
  this->SendDueRead(now, out);
  this->AdvanceStartup(now, out);
  this->SendDueAnnouncements(now, out);
  this->ReproposePendingWithdrawals(now);
  this->StartDueCompaction(now, out);
  MoveActions(out, this->pusher.OnTimer(now, this->tree, this->replica,
                                        this->in_force()));
  MoveActions(out, this->withdrawal_rounds.OnTimer(now));
  MoveActions(out, this->status_rounds.OnTimer(now));
  if (this->publish_due && this->serving) {
    this->publish_due = false;
    // Published before any message reports the new state to other VMs.
    out.insert(out.begin(), PublishAccess{});
  }
  this->ScheduleWake(now);
  return out;
}

void ConfigNode::ScheduleWake(base::Instant now) {
  this->wake_at = base::kNever;
  // Work that is due now but was not done depends on another event, so it gets
  // no timer.
  const auto consider = [&](base::Instant time) {
    if (time > now) this->wake_at = std::min(this->wake_at, time);
  };
  consider(this->reader.NextRead(this->tree.IsRoot() || !this->serving));
  consider(this->appender.next_wake());
  consider(this->pusher.next_wake());
  consider(this->withdrawal_rounds.next_wake());
  consider(this->status_rounds.next_wake());
  consider(this->next_announcement_at);
  if (!this->serving) consider(this->startup_resend_at);
  if (!this->pending.empty()) {
    consider(this->pending.OldestAddedAt() + this->options.repropose_delay);
  }
}

void ConfigNode::SendStoreRequest(base::Instant now, StoreCall kind,
                                  StoreRequest request, ConfigActions& out) {
  const auto token = this->next_token++;
  this->store_calls.emplace(token, kind);
  out.push_back(CallStore{token, std::move(request),
                          now + this->options.read.call_timeout});
}

void ConfigNode::SendDueRead(base::Instant now, ConfigActions& out) {
  const bool is_poller = this->tree.IsRoot() || !this->serving;
  if (this->reader.NextRead(is_poller) > now) return;
  this->reader.OnReadSent(now);
  if (this->needs_snapshot) {
    this->SendStoreRequest(now, StoreCall::kSnapshot, ReadSnapshot{}, out);
  } else {
    this->SendStoreRequest(now, StoreCall::kRead, ReadLog{this->replica.head()},
                           out);
  }
}

void ConfigNode::OnRead(base::Instant now, const base::Outcome<LogPage>& reply,
                        ConfigActions& out) {
  if (!reply.ok()) {
    this->reader.OnReadFailed(now);
    return;
  }
  this->last_outside_contact = now;
  const bool has_gap = this->ApplyChanges(now, reply->changes, out);
  if (has_gap) {
    // The rows in between were dropped from the log; the snapshot covers them.
    this->needs_snapshot = true;
    this->reader.OnReadFailed(now);
    return;
  }
  if (reply->has_more) {
    this->reader.OnPartialRead();
    return;
  }
  const auto previous_confirmation = this->reader.head_confirmed_at();
  this->reader.OnCaughtUp();
  this->caught_up = true;
  this->ApplyAppendEffects(now, this->appender.OnCaughtUp(this->replica), out);
  if (this->reader.head_confirmed_at() != previous_confirmation) {
    this->SendAnnouncements(now, out);
  }
}

void ConfigNode::OnSnapshot(
    base::Instant now, const base::Outcome<std::optional<ConfigState>>& reply,
    ConfigActions& out) {
  if (!reply.ok()) {
    this->reader.OnReadFailed(now);
    return;
  }
  this->last_outside_contact = now;
  this->needs_snapshot = false;
  this->reader.OnPartialRead();
  if (!*reply) return;
  this->snapshot_revision = (*reply)->revision;
  const auto before = this->replica.head();
  if (this->replica.InstallState(**reply)) {
    this->OnHeadAdvanced(now, before, out);
  }
}

bool ConfigNode::ApplyChanges(base::Instant now,
                              const std::vector<Change>& changes,
                              ConfigActions& out) {
  const auto before = this->replica.head();
  bool has_gap = false;
  for (const auto& change : changes) {
    if (this->replica.Apply(change).ok()) continue;
    has_gap = true;
    break;
  }
  if (this->replica.head() > before) this->OnHeadAdvanced(now, before, out);
  return has_gap;
}

void ConfigNode::OnHeadAdvanced(base::Instant now, base::Revision before,
                                ConfigActions& out) {
  this->publish_due = true;
  this->pending.RemoveLogged(this->replica.state());
  // A starting node may still be behind the revision that it will serve.
  if (!this->serving) return;
  MoveActions(
      out, this->pusher.OnHeadAdvanced(now, this->tree, this->replica, before));
}

void ConfigNode::ApplyAppendEffects(base::Instant now, AppendEffects effects,
                                    ConfigActions& out) {
  if (effects.commit) {
    this->SendStoreRequest(now, StoreCall::kCommit,
                           CommitChange{std::move(*effects.commit)}, out);
  }
  if (effects.accepted) {
    PushChanges push{{*effects.accepted}, effects.accepted->revision};
    this->ApplyChanges(now, push.changes, out);
    if (!this->tree.parent().empty()) {
      const auto& root = this->tree.domains().at(this->tree.domain()).front();
      out.push_back(SendMessage{root, push});
    }
    for (const auto& root : this->tree.other_roots()) {
      out.push_back(SendMessage{root, push});
    }
  }
  for (auto& response : effects.responses) {
    if (this->own_operations.erase(response.operation_id) == 0) {
      out.push_back(std::move(response));
      continue;
    }
    if (response.operation_id == this->reproposal_id) {
      this->reproposal_id.clear();
    }
    if (!response.result.ok()) continue;
    MoveActions(out, this->withdrawal_rounds.OnDurable(response.operation_id));
  }
}

void ConfigNode::AddPendingWithdrawals(base::Instant now,
                                       const std::vector<std::string>& hashes) {
  if (this->pending.Add(now, hashes, this->replica.state())) {
    this->publish_due = true;
  }
}

void ConfigNode::RequestChanges(base::Instant now, const std::string& from,
                                ConfigActions& out) {
  auto& last_sent = this->last_fetch_at[from];
  if (last_sent != base::Instant{} &&
      now - last_sent < this->options.startup_resend_interval) {
    return;
  }
  last_sent = now;
  out.push_back(SendMessage{from, FetchChanges{this->replica.head()}});
}

AnnounceHead ConfigNode::MakeAnnouncement(base::Instant now) const {
  AnnounceHead announce;
  announce.revision = this->replica.head();
  announce.withdrawals_digest = this->pending.digest();
  if (const auto confirmed_at = this->reader.head_confirmed_at()) {
    announce.confirmation_age = now - *confirmed_at;
  }
  if (this->last_outside_contact) {
    announce.outside_contact_age = now - *this->last_outside_contact;
  }
  return announce;
}

void ConfigNode::SendAnnouncements(base::Instant now, ConfigActions& out) {
  if (!this->serving) return;
  this->next_announcement_at = now + this->options.announce_interval;
  const auto announce = this->MakeAnnouncement(now);
  for (const auto& vm : this->tree.children()) {
    out.push_back(SendMessage{vm, announce});
  }
  if (!this->tree.IsRoot() || this->next_remote_announcement_at > now) return;
  // While the table is unreachable, other domains are the only source of
  // confirmations, so they are contacted more often.
  const auto interval = this->reader.table_reachable()
                            ? this->options.remote_announce_interval
                            : this->options.announce_interval;
  this->next_remote_announcement_at = now + interval;
  for (const auto& vm : this->tree.other_roots()) {
    out.push_back(SendMessage{vm, announce});
  }
}

void ConfigNode::SendDueAnnouncements(base::Instant now, ConfigActions& out) {
  if (!this->serving || this->next_announcement_at > now) return;
  if (this->tree.IsRoot()) {
    this->SendAnnouncements(now, out);
    return;
  }
  this->next_announcement_at = now + this->options.announce_interval;
  if (!this->reader.IsConfirmationStale(now)) return;
  // The parent has sent no recent confirmation of the head, so this node probes
  // one VM of its own domain and one of another.
  this->next_announcement_at = now + this->options.announce_interval / 2;
  const auto announce = this->MakeAnnouncement(now);
  const auto probe = this->probe_count++;
  const auto& neighbours = this->tree.neighbours();
  if (!neighbours.empty()) {
    out.push_back(SendMessage{neighbours[probe % neighbours.size()], announce});
  }
  const auto remote = this->RemoteVm(probe);
  if (!remote.empty()) out.push_back(SendMessage{remote, announce});
}

std::string ConfigNode::RemoteVm(std::size_t probe) const {
  const auto& domains = this->tree.domains();
  if (domains.size() < 2) return {};
  // Cycles through the domains, and through the VMs of a domain on each cycle.
  auto domain = domains.begin();
  std::advance(domain, probe % domains.size());
  if (domain->first == this->tree.domain()) return {};
  const auto& vms = domain->second;
  return vms[(probe / domains.size()) % vms.size()];
}

std::vector<std::string> ConfigNode::StartupPeers() const {
  auto peers = this->tree.neighbours();
  const auto& roots = this->tree.other_roots();
  peers.insert(peers.end(), roots.begin(), roots.end());
  return peers;
}

bool ConfigNode::CanStartServing(base::Instant now) const {
  const auto live = this->tree.LiveNeighbours();
  const auto received_from_all = [&](const std::set<std::string>& senders) {
    return std::all_of(live.begin(), live.end(),
                       [&](const auto& vm) { return senders.count(vm) != 0; });
  };
  const auto& wait = this->options.startup_wait;
  const bool wait_elapsed = *this->started_at + wait <= now;
  const bool has_no_neighbours = this->tree.neighbours().empty();
  const bool withdrawals_known =
      wait_elapsed || has_no_neighbours ||
      (!live.empty() && received_from_all(this->withdrawals_received_from));
  if (!withdrawals_known) return false;
  if (this->caught_up) return true;
  // Without the table, the highest head that peers report is used instead.
  if (this->reader.failures() == 0 || this->heads_received_from.empty()) {
    return false;
  }
  return received_from_all(this->heads_received_from) ||
         *this->started_at + 2 * wait <= now;
}

void ConfigNode::AdvanceStartup(base::Instant now, ConfigActions& out) {
  if (this->serving) return;
  if (this->CanStartServing(now)) {
    this->serving = true;
    this->publish_due = true;
    this->next_announcement_at = now;
    return;
  }
  if (this->startup_resend_at > now) return;
  this->startup_resend_at = now + this->options.startup_resend_interval;
  const auto hashes = this->pending.Hashes();
  for (const auto& vm : this->StartupPeers()) {
    if (this->withdrawals_received_from.count(vm) == 0) {
      out.push_back(SendMessage{
          vm, PendingWithdrawals{{hashes.begin(), hashes.end()}, true}});
    }
    if (this->reader.failures() > 0) {
      out.push_back(SendMessage{vm, FetchChanges{this->replica.head()}});
    }
  }
}

void ConfigNode::ReproposePendingWithdrawals(base::Instant now) {
  if (!this->serving || !this->tree.IsRoot()) return;
  if (!this->reproposal_id.empty() || !this->reader.table_reachable()) return;
  auto hashes = this->pending.AddedBefore(now - this->options.repropose_delay);
  if (hashes.empty()) return;
  this->reproposal_id =
      fmt::format("{}-{}/{}", this->self.name, this->self.incarnation,
                  this->reproposal_count++);
  this->own_operations.insert(this->reproposal_id);
  this->appender.Submit({.operation_id = this->reproposal_id,
                         .author = this->self.name,
                         .base = this->replica.head(),
                         .proposed_at = this->options.wall_clock(now),
                         .body = KeyWithdrawal{std::move(hashes)}});
  this->reader.RequestRead();
}

void ConfigNode::StartDueCompaction(base::Instant now, ConfigActions& out) {
  const auto head = this->replica.head();
  if (!this->serving || !this->tree.IsRoot() || this->compacting) return;
  if (!this->reader.table_reachable()) return;
  if (head < this->snapshot_revision + this->options.snapshot_interval) return;
  std::vector<std::string> domains;
  for (const auto& [domain, vms] : this->tree.domains()) {
    domains.push_back(domain.text);
  }
  // Only one domain writes the snapshot. If the VMs' views differ and two do,
  // the table keeps the newer one.
  const auto ranked = RankByRendezvous("config/snapshot", std::move(domains));
  if (ranked.front() != this->tree.domain().text) return;
  this->compacting = true;
  this->snapshot_revision = head;
  const auto retained = std::min(this->options.retained_rows, head);
  this->SendStoreRequest(now, StoreCall::kCompact,
                         WriteSnapshot{this->replica.state(), head - retained},
                         out);
}

}  // namespace gypsumtrack::policy
