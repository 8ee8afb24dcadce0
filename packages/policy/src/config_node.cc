#include "gypsumtrack/policy/config_node.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "config_node_handler.h"
#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

void AppendActions(ConfigActions& out, ConfigActions more) {
  std::move(more.begin(), more.end(), std::back_inserter(out));
}

}  // namespace

ConfigNode::ConfigNode(ConfigOptions settings, base::VmId vm)
    : options(std::move(settings)),
      self(std::move(vm)),
      reader(this->options.read, base::Hash64(this->self.name)),
      pusher(this->options.push),
      withdrawals(this->options.withdrawal),
      statuses(this->options.status) {}

ConfigActions ConfigNode::OnFleet(base::Instant now, const FleetView& view) {
  this->tree = ConfigTree(view, this->options.fan_out);
  this->pusher.OnTree(this->tree);
  if (!this->started_at) this->started_at = now;
  return this->Finish(now, {});
}

ConfigActions ConfigNode::OnTimer(base::Instant now) {
  return this->Finish(now, {});
}

ConfigActions ConfigNode::OnMessage(base::Instant now, const std::string& from,
                                    const ConfigMessage& message) {
  const auto& near = this->tree.neighbours();
  if (std::find(near.begin(), near.end(), from) == near.end()) {
    this->outside_at = now;
  }
  ConfigActions out;
  std::visit(Handler{*this, now, from, out}, message);
  return this->Finish(now, std::move(out));
}

ConfigActions ConfigNode::OnStoreReply(base::Instant now, std::uint64_t token,
                                       const StoreReply& reply) {
  ConfigActions out;
  const auto call = this->calls.find(token);
  if (call == this->calls.end()) return out;
  const auto kind = call->second;
  this->calls.erase(call);
  switch (kind) {
    case StoreCall::kRead:
      this->OnRead(now, std::get<base::Outcome<LogPage>>(reply), out);
      break;
    case StoreCall::kSnapshot:
      this->OnSnapshot(
          now, std::get<base::Outcome<std::optional<ConfigState>>>(reply), out);
      break;
    case StoreCall::kCommit:
      this->RunAppend(
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
  this->Refuse(now, hashes);
  this->own_operations.insert(round);
  this->appender.Submit(std::move(proposal));
  return this->Finish(now,
                      this->withdrawals.Start(now, this->tree, round, hashes));
}

ConfigActions ConfigNode::QueryFleetStatus(base::Instant now,
                                           const std::string& round) {
  const auto own = this->pusher.Counts(now, this->in_force());
  return this->Finish(now, this->statuses.Start(now, this->tree, round, own));
}

bool ConfigNode::IsIsolated(base::Instant now) const {
  return !this->outside_at ||
         *this->outside_at + this->options.isolation <= now;
}

ConfigActions ConfigNode::Finish(base::Instant now, ConfigActions out) {
  if (!this->started_at) return out;
  if (this->appender.WantsRead(now)) this->reader.Hurry();
  this->RunAppend(now, this->appender.OnTimer(now), out);
  this->RunReads(now, out);
  this->RunStart(now, out);
  this->RunAnnounce(now, out);
  this->RunTakeUp(now);
  this->RunCompaction(now, out);
  AppendActions(out, this->pusher.OnTimer(now, this->tree, this->replica,
                                          this->in_force()));
  AppendActions(out, this->withdrawals.OnTimer(now));
  AppendActions(out, this->statuses.OnTimer(now));
  if (this->publish && this->serving) {
    this->publish = false;
    // Before the messages that tell others of it.
    out.insert(out.begin(), PublishAccess{});
  }
  this->PlanWake(now);
  return out;
}

void ConfigNode::PlanWake(base::Instant now) {
  this->wake = base::kNever;
  // What is due now and wasn't done waits for something else to happen.
  const auto consider = [&](base::Instant time) {
    if (time > now) this->wake = std::min(this->wake, time);
  };
  consider(this->reader.NextRead(this->tree.IsRoot() || !this->serving));
  consider(this->appender.next_wake());
  consider(this->pusher.next_wake());
  consider(this->withdrawals.next_wake());
  consider(this->statuses.next_wake());
  consider(this->announce_at);
  if (!this->serving) consider(this->start_resend_at);
  if (!this->refused.empty()) {
    consider(this->refused.Oldest() + this->options.take_up);
  }
}

void ConfigNode::Call(base::Instant now, StoreCall kind, StoreRequest request,
                      ConfigActions& out) {
  const auto token = this->next_token++;
  this->calls.emplace(token, kind);
  out.push_back(
      CallStore{token, std::move(request), now + this->options.read.timeout});
}

void ConfigNode::RunReads(base::Instant now, ConfigActions& out) {
  const bool eager = this->tree.IsRoot() || !this->serving;
  if (this->reader.NextRead(eager) > now) return;
  this->reader.OnSent(now);
  if (this->needs_snapshot) {
    this->Call(now, StoreCall::kSnapshot, ReadSnapshot{}, out);
  } else {
    this->Call(now, StoreCall::kRead, ReadLog{this->replica.head()}, out);
  }
}

void ConfigNode::OnRead(base::Instant now, const base::Outcome<LogPage>& reply,
                        ConfigActions& out) {
  if (!reply.ok()) {
    this->reader.OnFailed(now);
    return;
  }
  this->outside_at = now;
  const bool missing = this->ApplyAll(now, reply->changes, out);
  if (missing) {
    // The rows between were dropped: a snapshot holds them.
    this->needs_snapshot = true;
    this->reader.OnFailed(now);
    return;
  }
  if (reply->has_more) {
    this->reader.OnPart();
    return;
  }
  const auto known = this->reader.confirmed();
  this->reader.OnCaughtUp();
  this->caught_up = true;
  this->RunAppend(now, this->appender.OnCaughtUp(this->replica), out);
  if (this->reader.confirmed() != known) this->TellAnnounce(now, out);
}

void ConfigNode::OnSnapshot(
    base::Instant now, const base::Outcome<std::optional<ConfigState>>& reply,
    ConfigActions& out) {
  if (!reply.ok()) {
    this->reader.OnFailed(now);
    return;
  }
  this->outside_at = now;
  this->needs_snapshot = false;
  this->reader.OnPart();
  if (!*reply) return;
  this->snapshot_revision = (*reply)->revision;
  const auto before = this->replica.head();
  if (this->replica.Adopt(**reply)) this->OnGrown(now, before, out);
}

bool ConfigNode::ApplyAll(base::Instant now, const std::vector<Change>& changes,
                          ConfigActions& out) {
  const auto before = this->replica.head();
  bool missing = false;
  for (const auto& change : changes) {
    if (this->replica.Apply(change).ok()) continue;
    missing = true;
    break;
  }
  if (this->replica.head() > before) this->OnGrown(now, before, out);
  return missing;
}

void ConfigNode::OnGrown(base::Instant now, base::Revision before,
                         ConfigActions& out) {
  this->publish = true;
  this->refused.Settle(this->replica.state());
  // A starting node may hold less than it will serve from.
  if (!this->serving) return;
  AppendActions(out,
                this->pusher.OnHead(now, this->tree, this->replica, before));
}

void ConfigNode::RunAppend(base::Instant now, AppendStep step,
                           ConfigActions& out) {
  if (step.commit) {
    this->Call(now, StoreCall::kCommit, CommitChange{std::move(*step.commit)},
               out);
  }
  if (step.accepted) {
    PushChanges push{{*step.accepted}, step.accepted->revision};
    this->ApplyAll(now, push.changes, out);
    if (!this->tree.parent().empty()) {
      const auto& root = this->tree.domains().at(this->tree.domain()).front();
      out.push_back(SendMessage{root, push});
    }
    for (const auto& root : this->tree.other_roots()) {
      out.push_back(SendMessage{root, push});
    }
  }
  for (auto& answer : step.answers) {
    if (this->own_operations.erase(answer.operation_id) == 0) {
      out.push_back(std::move(answer));
      continue;
    }
    if (answer.operation_id == this->take_up) this->take_up.clear();
    if (!answer.result.ok()) continue;
    AppendActions(out, this->withdrawals.OnDurable(answer.operation_id));
  }
}

void ConfigNode::Refuse(base::Instant now,
                        const std::vector<std::string>& hashes) {
  if (this->refused.Add(now, hashes, this->replica.state())) {
    this->publish = true;
  }
}

void ConfigNode::Fetch(base::Instant now, const std::string& from,
                       ConfigActions& out) {
  auto& last = this->fetched_at[from];
  if (last != base::Instant{} && now - last < this->options.start_resend) {
    return;
  }
  last = now;
  out.push_back(SendMessage{from, FetchChanges{this->replica.head()}});
}

AnnounceHead ConfigNode::MakeAnnounce(base::Instant now) const {
  AnnounceHead announce;
  announce.revision = this->replica.head();
  announce.withdrawals_digest = this->refused.digest();
  if (const auto as_of = this->reader.confirmed())
    announce.confirmation_age = now - *as_of;
  if (this->outside_at) announce.outside_contact_age = now - *this->outside_at;
  return announce;
}

void ConfigNode::TellAnnounce(base::Instant now, ConfigActions& out) {
  if (!this->serving) return;
  this->announce_at = now + this->options.announce;
  const auto announce = this->MakeAnnounce(now);
  for (const auto& vm : this->tree.children()) {
    out.push_back(SendMessage{vm, announce});
  }
  if (!this->tree.IsRoot() || this->announce_far_at > now) return;
  // Without the table, the answers of other domains stand in for it.
  const auto period = this->reader.reachable() ? this->options.announce_far
                                               : this->options.announce;
  this->announce_far_at = now + period;
  for (const auto& vm : this->tree.other_roots()) {
    out.push_back(SendMessage{vm, announce});
  }
}

void ConfigNode::RunAnnounce(base::Instant now, ConfigActions& out) {
  if (!this->serving || this->announce_at > now) return;
  if (this->tree.IsRoot()) {
    this->TellAnnounce(now, out);
    return;
  }
  this->announce_at = now + this->options.announce;
  if (!this->reader.IsSilent(now)) return;
  // Nothing comes from above: ask around, here and in the other domains.
  this->announce_at = now + this->options.announce / 2;
  const auto announce = this->MakeAnnounce(now);
  const auto turn = this->turns++;
  const auto& near = this->tree.neighbours();
  if (!near.empty()) {
    out.push_back(SendMessage{near[turn % near.size()], announce});
  }
  const auto far = this->FarVm(turn);
  if (!far.empty()) out.push_back(SendMessage{far, announce});
}

std::string ConfigNode::FarVm(std::size_t turn) const {
  const auto& domains = this->tree.domains();
  if (domains.size() < 2) return {};
  // One domain after the other, and another VM of it each time round.
  auto domain = domains.begin();
  std::advance(domain, turn % domains.size());
  if (domain->first == this->tree.domain()) return {};
  const auto& vms = domain->second;
  return vms[(turn / domains.size()) % vms.size()];
}

std::vector<std::string> ConfigNode::StartPeers() const {
  auto peers = this->tree.neighbours();
  const auto& roots = this->tree.other_roots();
  peers.insert(peers.end(), roots.begin(), roots.end());
  return peers;
}

bool ConfigNode::StartedWhole(base::Instant now) const {
  const auto live = this->tree.LiveNeighbours();
  const auto heard_all = [&](const std::set<std::string>& heard) {
    return std::all_of(live.begin(), live.end(),
                       [&](const auto& vm) { return heard.count(vm) != 0; });
  };
  const auto& wait = this->options.start_wait;
  const bool waited = *this->started_at + wait <= now;
  const bool lone = this->tree.neighbours().empty();
  const bool withdrawals_known =
      waited || lone || (!live.empty() && heard_all(this->heard_withdrawals));
  if (!withdrawals_known) return false;
  if (this->caught_up) return true;
  // Without the table, the highest head of the peers stands in.
  if (this->reader.failures() == 0 || this->heard_heads.empty()) return false;
  return heard_all(this->heard_heads) || *this->started_at + 2 * wait <= now;
}

void ConfigNode::RunStart(base::Instant now, ConfigActions& out) {
  if (this->serving) return;
  if (this->StartedWhole(now)) {
    this->serving = true;
    this->publish = true;
    this->announce_at = now;
    return;
  }
  if (this->start_resend_at > now) return;
  this->start_resend_at = now + this->options.start_resend;
  const auto hashes = this->refused.Hashes();
  for (const auto& vm : this->StartPeers()) {
    if (this->heard_withdrawals.count(vm) == 0) {
      out.push_back(SendMessage{
          vm, PendingWithdrawals{{hashes.begin(), hashes.end()}, true}});
    }
    if (this->reader.failures() > 0) {
      out.push_back(SendMessage{vm, FetchChanges{this->replica.head()}});
    }
  }
}

void ConfigNode::RunTakeUp(base::Instant now) {
  if (!this->serving || !this->tree.IsRoot()) return;
  if (!this->take_up.empty() || !this->reader.reachable()) return;
  auto hashes = this->refused.AddedBefore(now - this->options.take_up);
  if (hashes.empty()) return;
  this->take_up = fmt::format("{}-{}/{}", this->self.name,
                              this->self.incarnation, this->take_ups++);
  this->own_operations.insert(this->take_up);
  this->appender.Submit({.operation_id = this->take_up,
                         .author = this->self.name,
                         .base = this->replica.head(),
                         .proposed_at = this->options.wall_clock(now),
                         .body = KeyWithdrawal{std::move(hashes)}});
  this->reader.Hurry();
}

void ConfigNode::RunCompaction(base::Instant now, ConfigActions& out) {
  const auto head = this->replica.head();
  if (!this->serving || !this->tree.IsRoot() || this->compacting) return;
  if (!this->reader.reachable()) return;
  if (head < this->snapshot_revision + this->options.snapshot_interval) return;
  std::vector<std::string> domains;
  for (const auto& [domain, vms] : this->tree.domains()) {
    domains.push_back(domain.text);
  }
  // One domain does it; if two do, the table keeps the newer one.
  const auto ranked = RankByRendezvous("config/snapshot", std::move(domains));
  if (ranked.front() != this->tree.domain().text) return;
  this->compacting = true;
  this->snapshot_revision = head;
  const auto kept = std::min(this->options.retained_rows, head);
  this->Call(now, StoreCall::kCompact,
             WriteSnapshot{this->replica.state(), head - kept}, out);
}

}  // namespace gypsumtrack::policy
