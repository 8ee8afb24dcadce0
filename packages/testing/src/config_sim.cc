#include "gypsumtrack/testing/config_sim.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace gypsumtrack::testing {
namespace {

/// Maximum number of changes in one page of the log.
constexpr std::size_t kMaxChangesPerPage = 500;
/// Start of virtual time. It exceeds every age that a node subtracts from the
/// current time.
constexpr base::Instant kStartTime{std::chrono::hours(1)};

base::FailureDomain DomainName(std::uint32_t domain) {
  return base::FailureDomain(fmt::format("domain-{}", domain));
}

base::Error NoResponseError(bool sent) {
  return sent ? base::Error(base::Errc::kUnknown, "no response from the store")
              : base::Error(base::Errc::kUnavailable,
                            "the store is unreachable");
}

/// Returns an error reply of the type that the request expects.
policy::StoreReply MakeErrorReply(const policy::StoreRequest& request,
                                  const base::Error& error) {
  if (std::holds_alternative<policy::ReadLog>(request)) {
    return base::Outcome<policy::LogPage>(error);
  }
  if (std::holds_alternative<policy::ReadSnapshot>(request)) {
    return base::Outcome<std::optional<policy::ConfigState>>(error);
  }
  return base::Status(error);
}

}  // namespace

ConfigSim::ConfigSim(ConfigSimOptions settings)
    : options(std::move(settings)), random(this->options.seed) {
  this->time = kStartTime;
  this->link_changed_at = kStartTime;
  const auto count = this->options.domains * this->options.vms_per_domain;
  for (std::uint32_t i = 0; i < count; ++i) {
    Vm vm;
    vm.id = {fmt::format("vm-{}", i), 0};
    vm.domain = i % this->options.domains;
    this->index_by_name[vm.id.name] = i;
    this->vms.push_back(std::move(vm));
  }
  for (std::size_t i = 0; i < count; ++i) this->Restart(i);
}

void ConfigSim::At(base::Instant at, Event event) {
  this->queue.push(
      {std::max(at, this->time), this->sequence++, std::move(event)});
}

void ConfigSim::RunUntil(base::Instant end) {
  while (!this->queue.empty() && this->queue.top().at <= end) {
    const auto next = this->queue.top();
    this->queue.pop();
    this->time = next.at;
    next.event();
  }
  this->time = end;
}

void ConfigSim::Restart(std::size_t index) {
  auto& vm = this->vms[index];
  ++vm.id.incarnation;
  vm.node = std::make_unique<policy::ConfigNode>(this->options.node, vm.id);
  vm.paused_until = this->time;
  vm.running_since = this->time;
  this->Deliver(index, vm.id.incarnation, [this, index] {
    return this->vms[index].node->OnFleet(this->time, this->ViewOf(index));
  });
}

void ConfigSim::Pause(std::size_t index, base::Duration length) {
  auto& vm = this->vms[index];
  vm.paused_until = std::max(vm.paused_until, this->time + length);
  vm.running_since = vm.paused_until;
}

void ConfigSim::SetDomainsPartitioned(std::uint32_t a, std::uint32_t b,
                                      bool partitioned) {
  const auto pair = std::minmax(a, b);
  if (partitioned) {
    this->partitions.insert(pair);
  } else {
    this->partitions.erase(pair);
  }
  this->link_changed_at = this->time;
  this->ScheduleViewUpdates();
}

void ConfigSim::SetStorePartitioned(std::uint32_t domain, bool partitioned) {
  if (partitioned) {
    this->store_partitions.insert(domain);
  } else {
    this->store_partitions.erase(domain);
  }
  this->link_changed_at = this->time;
}

void ConfigSim::SetStoreDown(bool down) {
  this->store_down = down;
  this->link_changed_at = this->time;
}

void ConfigSim::Submit(std::size_t vm, const policy::Proposal& proposal) {
  this->Deliver(vm, this->vms[vm].id.incarnation, [this, vm, proposal] {
    return this->vms[vm].node->Submit(this->time, proposal);
  });
}

void ConfigSim::Withdraw(std::size_t vm, const std::string& round,
                         const std::string& hash) {
  policy::Proposal proposal;
  proposal.operation_id = round;
  proposal.author = "operator";
  proposal.body = policy::KeyWithdrawal{{hash}};
  this->Deliver(vm, this->vms[vm].id.incarnation, [this, vm, proposal] {
    return this->vms[vm].node->Withdraw(this->time, proposal);
  });
}

void ConfigSim::QueryFleetStatus(std::size_t vm, const std::string& round) {
  this->Deliver(vm, this->vms[vm].id.incarnation, [this, vm, round] {
    return this->vms[vm].node->QueryFleetStatus(this->time, round);
  });
}

void ConfigSim::SetStepHook(std::function<void(std::size_t)> hook) {
  this->step_hook = std::move(hook);
}

std::uint32_t ConfigSim::DomainOf(std::size_t vm) const {
  return this->vms[vm].domain;
}

const policy::ConfigNode& ConfigSim::node(std::size_t vm) const {
  return *this->vms[vm].node;
}

bool ConfigSim::Accepts(std::size_t vm, const std::string& hash) const {
  const auto& node = this->node(vm);
  if (!node.ready()) return false;
  return policy::MakeAccessSnapshot(node.log().state(),
                                    node.pending_withdrawals().Hashes())
      .FindOrganisation(hash)
      .has_value();
}

bool ConfigSim::IsPaused(std::size_t vm) const {
  return this->vms[vm].paused_until > this->time;
}

bool ConfigSim::IsLinked(std::uint32_t a, std::uint32_t b) const {
  return a == b || this->partitions.count(std::minmax(a, b)) == 0;
}

bool ConfigSim::ReachesStore(std::uint32_t domain) const {
  return !this->store_down && this->store_partitions.count(domain) == 0;
}

base::Instant ConfigSim::RunningSince(std::size_t vm) const {
  return this->vms[vm].running_since;
}

const SimTraffic& ConfigSim::traffic(std::size_t vm) const {
  return this->vms[vm].traffic;
}

void ConfigSim::Deliver(std::size_t index, std::uint64_t incarnation,
                        std::function<policy::ConfigActions()> command) {
  const auto& vm = this->vms[index];
  this->At(vm.paused_until,
           [this, index, incarnation, command = std::move(command)] {
             const auto& target = this->vms[index];
             if (target.id.incarnation != incarnation) return;
             if (target.paused_until > this->time) {
               this->Deliver(index, incarnation, command);
               return;
             }
             this->PerformActions(index, command());
           });
}

void ConfigSim::PerformActions(std::size_t index,
                               policy::ConfigActions actions) {
  for (auto& action : actions) {
    if (const auto* send = std::get_if<policy::SendMessage>(&action)) {
      this->Send(index, *send);
    } else if (const auto* call = std::get_if<policy::CallStore>(&action)) {
      this->PerformStoreCall(index, *call);
    } else if (auto* append = std::get_if<policy::AppendResponse>(&action)) {
      this->appends.emplace(append->operation_id, std::move(*append));
    } else if (auto* withdrawal =
                   std::get_if<policy::WithdrawResponse>(&action)) {
      this->withdrawals.emplace(withdrawal->round, std::move(*withdrawal));
    } else if (auto* status = std::get_if<policy::StatusResponse>(&action)) {
      this->statuses.emplace(status->round, std::move(*status));
    }
  }
  this->ScheduleWake(index);
  if (this->step_hook) this->step_hook(index);
}

void ConfigSim::ScheduleWake(std::size_t index) {
  auto& vm = this->vms[index];
  const auto wake_generation = ++vm.wake_generation;
  const auto incarnation = vm.id.incarnation;
  const auto at = vm.node->next_wake();
  if (at == base::kNever) return;
  this->At(at, [this, index, wake_generation, incarnation] {
    const auto& target = this->vms[index];
    if (target.wake_generation != wake_generation ||
        target.id.incarnation != incarnation)
      return;
    this->Deliver(index, incarnation, [this, index] {
      return this->vms[index].node->OnTimer(this->time);
    });
  });
}

base::Duration ConfigSim::Delay(bool same_domain) {
  const auto jitter_range = this->options.jitter.count();
  const auto jitter =
      jitter_range == 0
          ? 0
          : static_cast<std::int64_t>(this->random() %
                                      static_cast<std::uint64_t>(jitter_range));
  const auto base_delay = same_domain ? this->options.intra_domain_delay
                                      : this->options.inter_domain_delay;
  return base_delay + base::Duration(jitter);
}

bool ConfigSim::BernoulliDraw(std::uint32_t per_thousand) {
  return per_thousand != 0 && this->random() % 1000 < per_thousand;
}

void ConfigSim::Send(std::size_t from, const policy::SendMessage& send) {
  auto& sender = this->vms[from];
  const auto to = this->index_by_name.at(send.vm);
  auto& receiver = this->vms[to];
  std::size_t bytes = 0;
  if (this->options.message_size)
    bytes = this->options.message_size(send.message);
  ++sender.traffic.messages_sent;
  sender.traffic.bytes_sent += bytes;
  if (this->options.drop_message && this->options.drop_message(send.message))
    return;
  if (!this->IsLinked(sender.domain, receiver.domain)) return;
  if (this->BernoulliDraw(this->options.loss)) return;
  const int copies = this->BernoulliDraw(this->options.duplicates) ? 2 : 1;
  const bool same_domain = sender.domain == receiver.domain;
  for (int i = 0; i < copies; ++i) {
    this->At(
        this->time + this->Delay(same_domain),
        [this, to, bytes, name = sender.id.name, message = send.message] {
          auto& target = this->vms[to];
          target.traffic.bytes_received += bytes;
          this->Deliver(to, target.id.incarnation, [this, to, name, message] {
            return this->vms[to].node->OnMessage(this->time, name, message);
          });
        });
  }
}

void ConfigSim::PerformStoreCall(std::size_t index,
                                 const policy::CallStore& call) {
  const auto incarnation = this->vms[index].id.incarnation;
  const auto domain = this->vms[index].domain;
  const auto reply = [this, index, incarnation, token = call.token](
                         base::Instant at, const policy::StoreReply& response) {
    this->At(at, [this, index, incarnation, token, response] {
      this->Deliver(index, incarnation, [this, index, token, response] {
        return this->vms[index].node->OnStoreReply(this->time, token, response);
      });
    });
  };
  const bool commit =
      std::holds_alternative<policy::CommitChange>(call.request);
  const auto sent_at = this->time;
  this->At(this->time + this->Delay(false), [this, reply, commit, domain,
                                             sent_at, call] {
    if (!this->ReachesStore(domain)) {
      // A lost call fails at its deadline, a refused one after a round trip.
      const bool timed_out = this->BernoulliDraw(500);
      reply(timed_out ? call.deadline : this->time + (this->time - sent_at),
            MakeErrorReply(call.request, NoResponseError(timed_out)));
      return;
    }
    const auto response = this->Execute(call.request);
    if (commit && this->BernoulliDraw(this->options.lost_commit_responses)) {
      reply(call.deadline, MakeErrorReply(call.request, NoResponseError(true)));
      return;
    }
    reply(this->time + this->Delay(false), response);
  });
}

policy::StoreReply ConfigSim::Execute(const policy::StoreRequest& request) {
  if (const auto* read = std::get_if<policy::ReadLog>(&request)) {
    ++this->stored.reads;
    policy::LogPage page;
    const auto first = std::max(read->after, this->stored.dropped_to);
    for (const auto& change : this->stored.log) {
      if (change.revision <= first) continue;
      page.has_more = page.changes.size() == kMaxChangesPerPage;
      if (page.has_more) break;
      page.changes.push_back(change);
    }
    return base::Outcome<policy::LogPage>(std::move(page));
  }
  if (std::holds_alternative<policy::ReadSnapshot>(request)) {
    ++this->stored.reads;
    return base::Outcome<std::optional<policy::ConfigState>>(
        this->stored.snapshot);
  }
  ++this->stored.writes;
  if (const auto* commit = std::get_if<policy::CommitChange>(&request)) {
    return this->Commit(commit->change);
  }
  const auto& write = std::get<policy::WriteSnapshot>(request);
  auto& snapshot = this->stored.snapshot;
  if (!snapshot || snapshot->revision < write.state.revision) {
    snapshot = write.state;
    this->stored.dropped_to = write.drop_up_to;
  }
  return base::Status(base::Done{});
}

policy::StoreReply ConfigSim::Commit(const policy::Change& change) {
  auto& log = this->stored.log;
  const auto head = static_cast<base::Revision>(log.size());
  if (change.revision <= head &&
      log[change.revision - 1].operation_id == change.operation_id &&
      log[change.revision - 1] == change) {
    return base::Status(base::Done{});
  }
  if (change.revision == head + 1) {
    log.push_back(change);
    this->committed_at.push_back(this->time);
    return base::Status(base::Done{});
  }
  if (!this->options.compare_and_set && change.revision <= head) {
    log[change.revision - 1] = change;
    return base::Status(base::Done{});
  }
  return base::Status(base::Error(base::Errc::kConflict, "the head has moved"));
}

void ConfigSim::ScheduleViewUpdates() {
  this->At(this->time + this->options.membership_lag, [this] {
    for (std::size_t i = 0; i < this->vms.size(); ++i) {
      this->Deliver(i, this->vms[i].id.incarnation, [this, i] {
        return this->vms[i].node->OnFleet(this->time, this->ViewOf(i));
      });
    }
  });
}

policy::FleetView ConfigSim::ViewOf(std::size_t index) const {
  const auto& self = this->vms[index];
  policy::FleetView view;
  view.self = self.id;
  view.location = {DomainName(self.domain), base::Region("region")};
  for (const auto& vm : this->vms) {
    if (vm.id.name == self.id.name) continue;
    policy::PeerVm peer;
    peer.id = vm.id;
    peer.location = {DomainName(vm.domain), view.location.region};
    const bool linked = this->IsLinked(self.domain, vm.domain);
    peer.state =
        linked ? policy::PeerState::kLive : policy::PeerState::kSuspect;
    view.peers.push_back(std::move(peer));
  }
  return view;
}

}  // namespace gypsumtrack::testing
