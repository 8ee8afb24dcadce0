#include "gypsumtrack/testing/virtual_fleet.h"

#include <fmt/format.h>

#include <algorithm>

namespace gypsumtrack::testing {
namespace {

using std::chrono::milliseconds;

constexpr auto kViewInterval = milliseconds(500);
constexpr auto kStoreTimeout = milliseconds(300);
constexpr auto kRuleSpread = milliseconds(1000);
/// Envelope of a message: sender's incarnation, address, framing.
constexpr std::size_t kEnvelopeBytes = 40;

}  // namespace

VirtualFleet::VirtualFleet(VirtualFleetOptions chosen)
    : options(std::move(chosen)), random(this->options.seed) {
  for (const auto& domain : this->options.domains) {
    for (std::size_t i = 0; i < domain.vms; ++i) {
      Vm vm;
      vm.self.vm.name = fmt::format("{}-{}", domain.name, i);
      vm.self.address = fmt::format("10.0.{}.{}:1", this->vms.size() / 200,
                                    this->vms.size() % 200);
      vm.location = {base::FailureDomain(domain.name),
                     base::Region(domain.region)};
      this->by_address[vm.self.address] = this->vms.size();
      this->vms.push_back(std::move(vm));
    }
  }
  for (std::size_t i = 0; i < this->vms.size(); ++i) this->Start(i);
  for (auto& vm : this->vms) vm.was_alive = true;
  for (std::size_t i = 0; i < this->vms.size(); ++i) this->Refresh(i);
  this->At(kViewInterval, [this] { this->RefreshViews(); });
}

void VirtualFleet::Start(std::size_t index) {
  auto& vm = this->vms[index];
  vm.self.vm.incarnation = ++this->incarnations;
  const auto spread = 2 * this->options.clock_drift + 1;
  vm.drift = static_cast<std::int64_t>(this->random() %
                                       static_cast<std::uint64_t>(spread)) -
             this->options.clock_drift;
  vm.clock_offset = std::chrono::seconds(this->random() % 100'000);
  vm.node = std::make_unique<policy::LimitNode>(this->options.settings, vm.self,
                                                vm.location);
  vm.was_alive = false;
  vm.changed_at = this->time;
  this->changing_until = this->time + 2 * this->options.view_lag;
  if (this->revision > 0) {
    this->Carry(index, vm.node->OnRules(this->revision, this->limits,
                                        this->LocalTime(index)));
  }
  const auto first = milliseconds(this->random() % 20);
  const auto incarnation = vm.self.vm.incarnation;
  this->At(this->time + first, [this, index, incarnation] {
    this->StartTicks(index, incarnation);
  });
}

void VirtualFleet::StartTicks(std::size_t index, std::uint64_t incarnation) {
  this->OnVm(index, incarnation, [this, index, incarnation] {
    auto& vm = this->vms[index];
    const auto local = this->LocalTime(index);
    this->Carry(index, vm.node->Tick(local));
    const auto wake = vm.node->NextWake(local) - local;
    this->At(this->time + wake, [this, index, incarnation] {
      this->StartTicks(index, incarnation);
    });
  });
}

void VirtualFleet::At(VirtualTime at, Action action) {
  this->events.push({at, ++this->order, std::move(action)});
}

void VirtualFleet::RunUntil(VirtualTime end) {
  while (!this->events.empty() && this->events.top().at <= end) {
    auto action = this->events.top().action;
    this->time = this->events.top().at;
    this->events.pop();
    action();
  }
  this->time = end;
}

base::Instant VirtualFleet::LocalTime(std::size_t index) const {
  const auto& vm = this->vms[index];
  return base::Instant(vm.clock_offset + this->time +
                       this->time * vm.drift / 1000);
}

const std::string& VirtualFleet::DomainOf(std::size_t vm) const {
  return this->vms[vm].location.domain.text;
}

const policy::LimitNode* VirtualFleet::Node(std::size_t vm) const {
  return this->vms[vm].node.get();
}

void VirtualFleet::OnVm(std::size_t index, std::uint64_t incarnation,
                        Action action) {
  const auto& vm = this->vms[index];
  if (vm.node == nullptr || vm.self.vm.incarnation != incarnation) return;
  if (this->time < vm.paused_until) {
    this->At(vm.paused_until,
             [this, index, incarnation, action = std::move(action)] {
               this->OnVm(index, incarnation, action);
             });
    return;
  }
  action();
}

void VirtualFleet::SetRules(base::Revision next,
                            std::map<policy::LimitKey, policy::Limit> rules) {
  this->revision = next;
  this->limits = std::move(rules);
  for (std::size_t i = 0; i < this->vms.size(); ++i) {
    const auto delay = milliseconds(this->random() % kRuleSpread.count());
    const auto incarnation = this->vms[i].self.vm.incarnation;
    this->At(
        this->time + delay, [this, i, incarnation, next, all = this->limits] {
          if (this->cut_from_table.contains(this->DomainOf(i))) return;
          this->OnVm(i, incarnation, [this, i, next, all] {
            this->Carry(
                i, this->vms[i].node->OnRules(next, all, this->LocalTime(i)));
          });
        });
  }
}

void VirtualFleet::Request(std::size_t index, const policy::LimitKey& key) {
  const auto id = ++this->last_request;
  this->asked[id] = {key, this->time};
  const auto incarnation = this->vms[index].self.vm.incarnation;
  this->OnVm(index, incarnation, [this, index, id, key] {
    const auto local = this->LocalTime(index);
    policy::LimitActions actions;
    const auto verdict = this->vms[index].node->Admit(
        key, local, local + this->options.patience, id, actions);
    if (verdict != policy::LimitDecision::kWaiting) {
      this->Decide(index, id, verdict);
    }
    this->Carry(index, actions);
  });
}

void VirtualFleet::Decide(std::size_t vm, std::uint64_t request,
                          policy::LimitDecision verdict) {
  const auto found = this->asked.find(request);
  if (found == this->asked.end()) return;
  if (this->on_outcome) {
    this->on_outcome(
        {found->second.key, vm, found->second.at, this->time, verdict});
  }
  this->asked.erase(found);
}

void VirtualFleet::Crash(std::size_t index) {
  auto& vm = this->vms[index];
  if (vm.node == nullptr) return;
  vm.node.reset();
  vm.was_alive = true;
  vm.changed_at = this->time;
  this->changing_until = this->time + 2 * this->options.view_lag;
}

void VirtualFleet::Restart(std::size_t index) {
  this->Crash(index);
  this->vms[index].paused_until = {};
  this->Start(index);
  this->Refresh(index);
}

void VirtualFleet::Pause(std::size_t index, VirtualTime until) {
  auto& vm = this->vms[index];
  vm.paused_until = std::max(vm.paused_until, until);
  vm.was_alive = true;
  vm.changed_at = this->time;
  this->changing_until = this->time + 2 * this->options.view_lag;
  this->At(vm.paused_until, [this, index] {
    this->vms[index].was_alive = false;
    this->vms[index].changed_at = this->time;
    this->changing_until = this->time + 2 * this->options.view_lag;
  });
}

void VirtualFleet::CutDomain(const std::string& domain, bool from_table) {
  this->cut.insert(domain);
  this->changing_until = this->time + 2 * this->options.view_lag;
  if (from_table) this->cut_from_table.insert(domain);
}

void VirtualFleet::HealDomains() {
  this->cut.clear();
  this->changing_until = this->time + 2 * this->options.view_lag;
  this->cut_from_table.clear();
  // The daemon fetches the rules again once it reaches the table.
  for (std::size_t i = 0; i < this->vms.size(); ++i) {
    const auto incarnation = this->vms[i].self.vm.incarnation;
    this->OnVm(i, incarnation, [this, i] {
      this->Carry(i, this->vms[i].node->OnRules(this->revision, this->limits,
                                                this->LocalTime(i)));
    });
  }
}

bool VirtualFleet::SeesAlive(const Vm& other) const {
  const bool alive = other.node != nullptr && this->time >= other.paused_until;
  const bool settled = this->time >= other.changed_at + this->options.view_lag;
  return settled ? alive : other.was_alive;
}

policy::FleetView VirtualFleet::ViewOf(std::size_t index) const {
  const auto& self = this->vms[index];
  policy::FleetView view;
  view.self = self.self.vm;
  view.location = self.location;
  view.platform_reachable = this->CanReachStore(self);
  for (const auto& other : this->vms) {
    if (&other == &self) continue;
    const bool live = this->SeesAlive(other) && this->CanReach(self, other);
    policy::PeerVm peer{
        other.self.vm, other.self.address, other.location,
        live ? policy::PeerState::kLive : policy::PeerState::kSuspect};
    view.peers.push_back(std::move(peer));
  }
  return view;
}

void VirtualFleet::Refresh(std::size_t index) {
  const auto incarnation = this->vms[index].self.vm.incarnation;
  this->OnVm(index, incarnation, [this, index] {
    this->Carry(index, this->vms[index].node->OnFleetView(
                           this->ViewOf(index), this->LocalTime(index)));
  });
}

void VirtualFleet::RefreshViews() {
  // Views change only for a while after a VM or a link has.
  if (this->time < this->changing_until) {
    for (std::size_t i = 0; i < this->vms.size(); ++i) this->Refresh(i);
  }
  this->At(this->time + kViewInterval, [this] { this->RefreshViews(); });
}

void VirtualFleet::Carry(std::size_t index,
                         const policy::LimitActions& actions) {
  for (const auto& answer : actions.results) {
    this->Decide(index, answer.request_id, answer.decision);
  }
  for (const auto& send : actions.messages) this->SendMessage(index, send);
  for (const auto& commit : actions.commits) this->CarryCommit(index, commit);
  for (const auto& scan : actions.scans) this->CarryScan(index, scan);
}

void VirtualFleet::SendMessage(std::size_t from,
                               const policy::OutgoingLimitMessage& send) {
  ++this->counts.messages;
  if (this->size_of) {
    this->counts.bytes += this->size_of(send.message) + kEnvelopeBytes;
  }
  const auto to = this->by_address.find(send.to.address);
  if (to == this->by_address.end()) return;
  const auto index = to->second;
  const auto& sender = this->vms[from];
  if (!this->CanReach(sender, this->vms[index])) return;
  const int copies = 1 + (this->Chance(this->options.doubled) ? 1 : 0);
  for (int i = 0; i < copies; ++i) {
    if (this->Chance(this->options.lost)) continue;
    const auto at =
        this->time + this->Delay(sender.location, this->vms[index].location);
    this->At(at, [this, index, peer = sender.self, message = send.message] {
      const auto incarnation = this->vms[index].self.vm.incarnation;
      this->OnVm(index, incarnation, [this, index, peer, message] {
        this->Carry(index, this->vms[index].node->OnMessage(
                               peer, message, this->LocalTime(index)));
      });
    });
  }
}

void VirtualFleet::CarryCommit(std::size_t index,
                               const policy::LimitCommit& commit) {
  const auto& vm = this->vms[index];
  const auto incarnation = vm.self.vm.incarnation;
  ++this->counts.writes;
  const auto reply = [this, index, incarnation, id = commit.id](
                         const base::Status& status, base::Duration after) {
    this->At(this->time + after, [this, index, incarnation, id, status] {
      this->OnVm(index, incarnation, [this, index, id, status] {
        this->Carry(index, this->vms[index].node->OnCommitReply(
                               id, status, this->LocalTime(index)));
      });
    });
  };
  if (!this->CanReachStore(vm)) {
    reply(base::Error(base::Errc::kUnknown, "no answer"), kStoreTimeout);
    return;
  }
  this->At(this->time + this->StoreDelay(vm), [this, index, commit, reply] {
    const auto status = this->store.Commit(commit.commit);
    if (this->Chance(this->options.answers_lost)) {
      reply(base::Error(base::Errc::kUnknown, "lost"), kStoreTimeout);
    } else {
      reply(status, this->StoreDelay(this->vms[index]));
    }
  });
}

void VirtualFleet::CarryScan(std::size_t index, const policy::LimitScan& scan) {
  const auto& vm = this->vms[index];
  const auto incarnation = vm.self.vm.incarnation;
  ++this->counts.reads;
  const auto reply = [this, index, incarnation, id = scan.id](
                         const base::Outcome<base::ScanReply>& rows,
                         base::Duration after) {
    this->At(this->time + after, [this, index, incarnation, id, rows] {
      this->OnVm(index, incarnation, [this, index, id, rows] {
        this->Carry(index, this->vms[index].node->OnScanReply(
                               id, rows, this->LocalTime(index)));
      });
    });
  };
  if (!this->CanReachStore(vm)) {
    reply(base::Error(base::Errc::kUnavailable, "down"), kStoreTimeout);
    return;
  }
  this->At(this->time + this->StoreDelay(vm), [this, index, scan, reply] {
    reply(this->store.Scan(scan.scan), this->StoreDelay(this->vms[index]));
  });
}

base::Duration VirtualFleet::Delay(const base::Location& a,
                                   const base::Location& b) {
  auto delay = this->options.within_domain;
  if (a.domain != b.domain) delay = this->options.between_domains;
  if (a.region != b.region) delay = this->options.between_regions;
  if (this->options.jitter.count() == 0) return delay;
  return delay + base::Duration(static_cast<std::int64_t>(
                     this->random() %
                     static_cast<std::uint64_t>(this->options.jitter.count())));
}

base::Duration VirtualFleet::StoreDelay(const Vm& vm) {
  const base::Location store{base::FailureDomain("store"),
                             base::Region(this->options.store_region)};
  return this->Delay(vm.location, store);
}

bool VirtualFleet::CanReach(const Vm& a, const Vm& b) const {
  if (a.location.domain == b.location.domain) return true;
  return !this->cut.contains(a.location.domain.text) &&
         !this->cut.contains(b.location.domain.text);
}

bool VirtualFleet::CanReachStore(const Vm& vm) const {
  return !this->store_down &&
         !this->cut_from_table.contains(vm.location.domain.text);
}

bool VirtualFleet::Chance(std::uint32_t per_thousand) {
  if (per_thousand == 0) return false;
  return this->random() % 1000 < per_thousand;
}

bool WithinLimit(const std::vector<VirtualTime>& admitted,
                 const policy::Quota& limit) {
  if (admitted.empty()) return true;
  const base::Instant start{};
  policy::TokenBucket bucket(limit, start);
  bucket.Add(limit.capacity, start);
  return std::all_of(admitted.begin(), admitted.end(), [&](VirtualTime at) {
    return bucket.TryTake(policy::kMicroRequestsPerRequest, start + at);
  });
}

}  // namespace gypsumtrack::testing
