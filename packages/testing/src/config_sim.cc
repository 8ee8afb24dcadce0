#include "gypsumtrack/testing/config_sim.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace gypsumtrack::testing {
namespace {

/// Changes in one answer of the table.
constexpr std::size_t kPage = 500;
/// The first instant: later than any age that a node works with.
constexpr base::Instant kStart{std::chrono::hours(1)};

base::FailureDomain DomainName(std::uint32_t domain) {
  return base::FailureDomain(fmt::format("domain-{}", domain));
}

base::Error NoAnswer(bool sent) {
  return sent ? base::Error(base::Errc::kUnknown, "no answer")
              : base::Error(base::Errc::kUnavailable, "not reached");
}

/// The error reply that fits the request.
policy::StoreReply FailedReply(const policy::StoreRequest& request,
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
  this->time = kStart;
  this->changed_at = kStart;
  const auto count = this->options.domains * this->options.vms_per_domain;
  for (std::uint32_t i = 0; i < count; ++i) {
    Vm vm;
    vm.id = {fmt::format("vm-{}", i), 0};
    vm.domain = i % this->options.domains;
    this->by_name[vm.id.name] = i;
    this->vms.push_back(std::move(vm));
  }
  for (std::size_t i = 0; i < count; ++i) this->Restart(i);
}

void ConfigSim::At(base::Instant at, Event event) {
  this->queue.push({std::max(at, this->time), this->order++, std::move(event)});
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
  vm.up_since = this->time;
  this->Deliver(index, vm.id.incarnation, [this, index] {
    return this->vms[index].node->OnFleet(this->time, this->ViewOf(index));
  });
}

void ConfigSim::Pause(std::size_t index, base::Duration length) {
  auto& vm = this->vms[index];
  vm.paused_until = std::max(vm.paused_until, this->time + length);
  vm.up_since = vm.paused_until;
}

void ConfigSim::CutDomains(std::uint32_t a, std::uint32_t b, bool cut) {
  const auto pair = std::minmax(a, b);
  if (cut) {
    this->cuts.insert(pair);
  } else {
    this->cuts.erase(pair);
  }
  this->changed_at = this->time;
  this->PlanViews();
}

void ConfigSim::CutFromTable(std::uint32_t domain, bool cut) {
  if (cut) {
    this->table_cuts.insert(domain);
  } else {
    this->table_cuts.erase(domain);
  }
  this->changed_at = this->time;
}

void ConfigSim::SetTableDown(bool down) {
  this->table_down = down;
  this->changed_at = this->time;
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

void ConfigSim::OnStep(std::function<void(std::size_t)> hook) {
  this->step = std::move(hook);
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
  return a == b || this->cuts.count(std::minmax(a, b)) == 0;
}

bool ConfigSim::ReachesTable(std::uint32_t domain) const {
  return !this->table_down && this->table_cuts.count(domain) == 0;
}

base::Instant ConfigSim::UpSince(std::size_t vm) const {
  return this->vms[vm].up_since;
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
             this->Perform(index, command());
           });
}

void ConfigSim::Perform(std::size_t index, policy::ConfigActions actions) {
  for (auto& action : actions) {
    if (const auto* send = std::get_if<policy::SendMessage>(&action)) {
      this->Send(index, *send);
    } else if (const auto* call = std::get_if<policy::CallStore>(&action)) {
      this->Call(index, *call);
    } else if (auto* answer = std::get_if<policy::AppendResponse>(&action)) {
      this->appends.emplace(answer->operation_id, std::move(*answer));
    } else if (auto* told = std::get_if<policy::WithdrawResponse>(&action)) {
      this->withdrawals.emplace(told->round, std::move(*told));
    } else if (auto* status = std::get_if<policy::StatusResponse>(&action)) {
      this->statuses.emplace(status->round, std::move(*status));
    }
  }
  this->PlanWake(index);
  if (this->step) this->step(index);
}

void ConfigSim::PlanWake(std::size_t index) {
  auto& vm = this->vms[index];
  const auto wake = ++vm.wake;
  const auto incarnation = vm.id.incarnation;
  const auto at = vm.node->next_wake();
  if (at == base::kNever) return;
  this->At(at, [this, index, wake, incarnation] {
    const auto& target = this->vms[index];
    if (target.wake != wake || target.id.incarnation != incarnation) return;
    this->Deliver(index, incarnation, [this, index] {
      return this->vms[index].node->OnTimer(this->time);
    });
  });
}

base::Duration ConfigSim::Delay(bool near) {
  const auto span = this->options.jitter.count();
  const auto extra =
      span == 0 ? 0
                : static_cast<std::int64_t>(this->random() %
                                            static_cast<std::uint64_t>(span));
  const auto fixed = near ? this->options.near_delay : this->options.far_delay;
  return fixed + base::Duration(extra);
}

bool ConfigSim::Chance(std::uint32_t per_thousand) {
  return per_thousand != 0 && this->random() % 1000 < per_thousand;
}

void ConfigSim::Send(std::size_t from, const policy::SendMessage& send) {
  auto& sender = this->vms[from];
  const auto to = this->by_name.at(send.vm);
  auto& receiver = this->vms[to];
  std::size_t bytes = 0;
  if (this->options.size_of) bytes = this->options.size_of(send.message);
  ++sender.traffic.messages_sent;
  sender.traffic.bytes_sent += bytes;
  if (this->options.swallow && this->options.swallow(send.message)) return;
  if (!this->IsLinked(sender.domain, receiver.domain)) return;
  if (this->Chance(this->options.loss)) return;
  const int copies = this->Chance(this->options.duplicates) ? 2 : 1;
  const bool near = sender.domain == receiver.domain;
  for (int i = 0; i < copies; ++i) {
    this->At(
        this->time + this->Delay(near),
        [this, to, bytes, name = sender.id.name, message = send.message] {
          auto& target = this->vms[to];
          target.traffic.bytes_received += bytes;
          this->Deliver(to, target.id.incarnation, [this, to, name, message] {
            return this->vms[to].node->OnMessage(this->time, name, message);
          });
        });
  }
}

void ConfigSim::Call(std::size_t index, const policy::CallStore& call) {
  const auto incarnation = this->vms[index].id.incarnation;
  const auto domain = this->vms[index].domain;
  const auto reply = [this, index, incarnation, token = call.token](
                         base::Instant at, const policy::StoreReply& answer) {
    this->At(at, [this, index, incarnation, token, answer] {
      this->Deliver(index, incarnation, [this, index, token, answer] {
        return this->vms[index].node->OnStoreReply(this->time, token, answer);
      });
    });
  };
  const bool commit =
      std::holds_alternative<policy::CommitChange>(call.request);
  const auto sent_at = this->time;
  this->At(this->time + this->Delay(false), [this, reply, commit, domain,
                                             sent_at, call] {
    if (!this->ReachesTable(domain)) {
      // A lost call is known only at the deadline, a refused one at once.
      const bool silent = this->Chance(500);
      reply(silent ? call.deadline : this->time + (this->time - sent_at),
            FailedReply(call.request, NoAnswer(silent)));
      return;
    }
    const auto answer = this->Execute(call.request);
    if (commit && this->Chance(this->options.lost_answers)) {
      reply(call.deadline, FailedReply(call.request, NoAnswer(true)));
      return;
    }
    reply(this->time + this->Delay(false), answer);
  });
}

policy::StoreReply ConfigSim::Execute(const policy::StoreRequest& request) {
  if (const auto* read = std::get_if<policy::ReadLog>(&request)) {
    ++this->store.reads;
    policy::LogPage page;
    const auto first = std::max(read->after, this->store.dropped_to);
    for (const auto& change : this->store.log) {
      if (change.revision <= first) continue;
      page.has_more = page.changes.size() == kPage;
      if (page.has_more) break;
      page.changes.push_back(change);
    }
    return base::Outcome<policy::LogPage>(std::move(page));
  }
  if (std::holds_alternative<policy::ReadSnapshot>(request)) {
    ++this->store.reads;
    return base::Outcome<std::optional<policy::ConfigState>>(
        this->store.snapshot);
  }
  ++this->store.writes;
  if (const auto* commit = std::get_if<policy::CommitChange>(&request)) {
    return this->Commit(commit->change);
  }
  const auto& write = std::get<policy::WriteSnapshot>(request);
  auto& snapshot = this->store.snapshot;
  if (!snapshot || snapshot->revision < write.state.revision) {
    snapshot = write.state;
    this->store.dropped_to = write.drop_up_to;
  }
  return base::Status(base::Done{});
}

policy::StoreReply ConfigSim::Commit(const policy::Change& change) {
  auto& log = this->store.log;
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

void ConfigSim::PlanViews() {
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
    const bool heard = this->IsLinked(self.domain, vm.domain);
    peer.state = heard ? policy::PeerState::kLive : policy::PeerState::kSuspect;
    view.peers.push_back(std::move(peer));
  }
  return view;
}

}  // namespace gypsumtrack::testing
