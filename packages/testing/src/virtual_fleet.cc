#include "gypsumtrack/testing/virtual_fleet.h"

#include <fmt/format.h>

#include <algorithm>

namespace gypsumtrack::testing {
namespace {

using std::chrono::milliseconds;

constexpr auto kViewRefreshInterval = milliseconds(500);
constexpr auto kStoreTimeout = milliseconds(300);
constexpr auto kMaxRuleDelay = milliseconds(1000);
/// Size of a message's envelope: the sender's incarnation, address and framing.
constexpr std::size_t kEnvelopeBytes = 40;

}  // namespace

VirtualFleet::VirtualFleet(VirtualFleetOptions fleet_options)
    : options(std::move(fleet_options)), random(this->options.seed) {
  for (const auto& domain : this->options.domains) {
    for (std::size_t i = 0; i < domain.vms; ++i) {
      Vm vm;
      vm.self.vm.name = fmt::format("{}-{}", domain.name, i);
      vm.self.address = fmt::format("10.0.{}.{}:1", this->vms.size() / 200,
                                    this->vms.size() % 200);
      vm.location = {base::FailureDomain(domain.name),
                     base::Region(domain.region)};
      this->vm_by_address[vm.self.address] = this->vms.size();
      this->vms.push_back(std::move(vm));
    }
  }
  for (std::size_t i = 0; i < this->vms.size(); ++i) this->Start(i);
  for (auto& vm : this->vms) vm.alive_before_change = true;
  for (std::size_t i = 0; i < this->vms.size(); ++i) this->RefreshView(i);
  this->At(kViewRefreshInterval, [this] { this->RefreshViews(); });
}

void VirtualFleet::Start(std::size_t index) {
  auto& vm = this->vms[index];
  vm.self.vm.incarnation = ++this->last_incarnation;
  const auto drift_range = 2 * this->options.max_clock_drift_per_thousand + 1;
  vm.drift = static_cast<std::int64_t>(
                 this->random() % static_cast<std::uint64_t>(drift_range)) -
             this->options.max_clock_drift_per_thousand;
  vm.clock_offset = std::chrono::seconds(this->random() % 100'000);
  vm.node = std::make_unique<policy::LimitNode>(this->options.settings, vm.self,
                                                vm.location);
  vm.alive_before_change = false;
  vm.liveness_changed_at = this->time;
  this->views_change_until = this->time + 2 * this->options.view_lag;
  if (this->revision > 0) {
    this->ExecuteActions(index, vm.node->OnRules(this->revision, this->limits,
                                                 this->LocalTime(index)));
  }
  const auto first = milliseconds(this->random() % 20);
  const auto incarnation = vm.self.vm.incarnation;
  this->At(this->time + first,
           [this, index, incarnation] { this->RunTick(index, incarnation); });
}

void VirtualFleet::RunTick(std::size_t index, std::uint64_t incarnation) {
  this->RunOnVm(index, incarnation, [this, index, incarnation] {
    auto& vm = this->vms[index];
    const auto local_now = this->LocalTime(index);
    this->ExecuteActions(index, vm.node->Tick(local_now));
    const auto wake = vm.node->NextWake(local_now) - local_now;
    this->At(this->time + wake,
             [this, index, incarnation] { this->RunTick(index, incarnation); });
  });
}

void VirtualFleet::At(VirtualTime at, Action action) {
  this->events.push({at, ++this->sequence, std::move(action)});
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

void VirtualFleet::RunOnVm(std::size_t index, std::uint64_t incarnation,
                           Action action) {
  const auto& vm = this->vms[index];
  if (vm.node == nullptr || vm.self.vm.incarnation != incarnation) return;
  if (this->time < vm.paused_until) {
    this->At(vm.paused_until,
             [this, index, incarnation, action = std::move(action)] {
               this->RunOnVm(index, incarnation, action);
             });
    return;
  }
  action();
}

void VirtualFleet::SetRules(base::Revision new_revision,
                            std::map<policy::LimitKey, policy::Limit> rules) {
  this->revision = new_revision;
  this->limits = std::move(rules);
  for (std::size_t i = 0; i < this->vms.size(); ++i) {
    const auto delay = milliseconds(this->random() % kMaxRuleDelay.count());
    const auto incarnation = this->vms[i].self.vm.incarnation;
    this->At(this->time + delay, [this, i, incarnation, new_revision,
                                  limits_at_revision = this->limits] {
      if (this->domains_without_table.contains(this->DomainOf(i))) return;
      this->RunOnVm(
          i, incarnation, [this, i, new_revision, limits_at_revision] {
            this->ExecuteActions(
                i, this->vms[i].node->OnRules(new_revision, limits_at_revision,
                                              this->LocalTime(i)));
          });
    });
  }
}

void VirtualFleet::Request(std::size_t index, const policy::LimitKey& key) {
  const auto id = ++this->last_request;
  this->pending_requests[id] = {key, this->time};
  const auto incarnation = this->vms[index].self.vm.incarnation;
  this->RunOnVm(index, incarnation, [this, index, id, key] {
    const auto local_now = this->LocalTime(index);
    policy::LimitActions actions;
    const auto decision = this->vms[index].node->Admit(
        key, local_now, local_now + this->options.requested_timeout, id,
        actions);
    if (decision != policy::LimitDecision::kWaiting) {
      this->RecordDecision(index, id, decision);
    }
    this->ExecuteActions(index, actions);
  });
}

void VirtualFleet::RecordDecision(std::size_t vm, std::uint64_t request,
                                  policy::LimitDecision decision) {
  const auto found = this->pending_requests.find(request);
  if (found == this->pending_requests.end()) return;
  if (this->on_outcome) {
    this->on_outcome(
        {found->second.key, vm, found->second.at, this->time, decision});
  }
  this->pending_requests.erase(found);
}

void VirtualFleet::Crash(std::size_t index) {
  auto& vm = this->vms[index];
  if (vm.node == nullptr) return;
  vm.node.reset();
  vm.alive_before_change = true;
  vm.liveness_changed_at = this->time;
  this->views_change_until = this->time + 2 * this->options.view_lag;
}

void VirtualFleet::Restart(std::size_t index) {
  this->Crash(index);
  this->vms[index].paused_until = {};
  this->Start(index);
  this->RefreshView(index);
}

void VirtualFleet::Pause(std::size_t index, VirtualTime until) {
  auto& vm = this->vms[index];
  vm.paused_until = std::max(vm.paused_until, until);
  vm.alive_before_change = true;
  vm.liveness_changed_at = this->time;
  this->views_change_until = this->time + 2 * this->options.view_lag;
  this->At(vm.paused_until, [this, index] {
    this->vms[index].alive_before_change = false;
    this->vms[index].liveness_changed_at = this->time;
    this->views_change_until = this->time + 2 * this->options.view_lag;
  });
}

void VirtualFleet::IsolateDomain(const std::string& domain, bool from_table) {
  this->isolated_domains.insert(domain);
  this->views_change_until = this->time + 2 * this->options.view_lag;
  if (from_table) this->domains_without_table.insert(domain);
}

void VirtualFleet::ReconnectDomains() {
  this->isolated_domains.clear();
  this->views_change_until = this->time + 2 * this->options.view_lag;
  this->domains_without_table.clear();
  // A daemon fetches the rules again once it can reach the table.
  for (std::size_t i = 0; i < this->vms.size(); ++i) {
    const auto incarnation = this->vms[i].self.vm.incarnation;
    this->RunOnVm(i, incarnation, [this, i] {
      this->ExecuteActions(
          i, this->vms[i].node->OnRules(this->revision, this->limits,
                                        this->LocalTime(i)));
    });
  }
}

bool VirtualFleet::AppearsAlive(const Vm& other) const {
  const bool alive = other.node != nullptr && this->time >= other.paused_until;
  const bool change_visible =
      this->time >= other.liveness_changed_at + this->options.view_lag;
  return change_visible ? alive : other.alive_before_change;
}

policy::FleetView VirtualFleet::BuildView(std::size_t index) const {
  const auto& self = this->vms[index];
  policy::FleetView view;
  view.self = self.self.vm;
  view.location = self.location;
  view.platform_reachable = this->CanReachStore(self);
  for (const auto& other : this->vms) {
    if (&other == &self) continue;
    const bool live = this->AppearsAlive(other) && this->CanReach(self, other);
    policy::PeerVm peer{
        other.self.vm, other.self.address, other.location,
        live ? policy::PeerState::kLive : policy::PeerState::kSuspect};
    view.peers.push_back(std::move(peer));
  }
  return view;
}

void VirtualFleet::RefreshView(std::size_t index) {
  const auto incarnation = this->vms[index].self.vm.incarnation;
  this->RunOnVm(index, incarnation, [this, index] {
    this->ExecuteActions(
        index, this->vms[index].node->OnFleetView(this->BuildView(index),
                                                  this->LocalTime(index)));
  });
}

void VirtualFleet::RefreshViews() {
  // Views change only for a limited time after the state of a VM or link
  // changes.
  if (this->time < this->views_change_until) {
    for (std::size_t i = 0; i < this->vms.size(); ++i) this->RefreshView(i);
  }
  this->At(this->time + kViewRefreshInterval, [this] { this->RefreshViews(); });
}

void VirtualFleet::ExecuteActions(std::size_t index,
                                  const policy::LimitActions& actions) {
  for (const auto& result : actions.results) {
    this->RecordDecision(index, result.request_id, result.decision);
  }
  for (const auto& send : actions.messages) this->SendMessage(index, send);
  for (const auto& commit : actions.commits) this->ExecuteCommit(index, commit);
  for (const auto& scan : actions.scans) this->ExecuteScan(index, scan);
}

void VirtualFleet::SendMessage(std::size_t from,
                               const policy::OutgoingLimitMessage& send) {
  ++this->counter_values.messages;
  if (this->size_of) {
    this->counter_values.bytes += this->size_of(send.message) + kEnvelopeBytes;
  }
  const auto to = this->vm_by_address.find(send.to.address);
  if (to == this->vm_by_address.end()) return;
  const auto index = to->second;
  const auto& sender = this->vms[from];
  if (!this->CanReach(sender, this->vms[index])) return;
  const int copy_count =
      1 + (this->RandomEvent(this->options.duplicated_per_thousand) ? 1 : 0);
  for (int i = 0; i < copy_count; ++i) {
    if (this->RandomEvent(this->options.lost_per_thousand)) continue;
    const auto at = this->time + this->NetworkDelay(sender.location,
                                                    this->vms[index].location);
    this->At(at, [this, index, peer = sender.self, message = send.message] {
      const auto incarnation = this->vms[index].self.vm.incarnation;
      this->RunOnVm(index, incarnation, [this, index, peer, message] {
        this->ExecuteActions(index, this->vms[index].node->OnMessage(
                                        peer, message, this->LocalTime(index)));
      });
    });
  }
}

void VirtualFleet::ExecuteCommit(std::size_t index,
                                 const policy::LimitCommit& commit) {
  const auto& vm = this->vms[index];
  const auto incarnation = vm.self.vm.incarnation;
  ++this->counter_values.writes;
  const auto reply = [this, index, incarnation, id = commit.id](
                         const base::Status& status, base::Duration after) {
    this->At(this->time + after, [this, index, incarnation, id, status] {
      this->RunOnVm(index, incarnation, [this, index, id, status] {
        this->ExecuteActions(index, this->vms[index].node->OnCommitReply(
                                        id, status, this->LocalTime(index)));
      });
    });
  };
  if (!this->CanReachStore(vm)) {
    reply(base::Error(base::Errc::kUnknown, "no response"), kStoreTimeout);
    return;
  }
  this->At(this->time + this->StoreNetworkDelay(vm), [this, index, commit,
                                                      reply] {
    const auto status = this->store.Commit(commit.commit);
    if (this->RandomEvent(this->options.lost_responses_per_thousand)) {
      reply(base::Error(base::Errc::kUnknown, "response lost"), kStoreTimeout);
    } else {
      reply(status, this->StoreNetworkDelay(this->vms[index]));
    }
  });
}

void VirtualFleet::ExecuteScan(std::size_t index,
                               const policy::LimitScan& scan) {
  const auto& vm = this->vms[index];
  const auto incarnation = vm.self.vm.incarnation;
  ++this->counter_values.reads;
  const auto reply = [this, index, incarnation, id = scan.id](
                         const base::Outcome<base::ScanReply>& rows,
                         base::Duration after) {
    this->At(this->time + after, [this, index, incarnation, id, rows] {
      this->RunOnVm(index, incarnation, [this, index, id, rows] {
        this->ExecuteActions(index, this->vms[index].node->OnScanReply(
                                        id, rows, this->LocalTime(index)));
      });
    });
  };
  if (!this->CanReachStore(vm)) {
    reply(base::Error(base::Errc::kUnavailable, "store unreachable"),
          kStoreTimeout);
    return;
  }
  this->At(this->time + this->StoreNetworkDelay(vm),
           [this, index, scan, reply] {
             reply(this->store.Scan(scan.scan),
                   this->StoreNetworkDelay(this->vms[index]));
           });
}

base::Duration VirtualFleet::NetworkDelay(const base::Location& a,
                                          const base::Location& b) {
  auto delay = this->options.within_domain_delay;
  if (a.domain != b.domain) delay = this->options.between_domains_delay;
  if (a.region != b.region) delay = this->options.between_regions_delay;
  if (this->options.jitter.count() == 0) return delay;
  return delay + base::Duration(static_cast<std::int64_t>(
                     this->random() %
                     static_cast<std::uint64_t>(this->options.jitter.count())));
}

base::Duration VirtualFleet::StoreNetworkDelay(const Vm& vm) {
  const base::Location store{base::FailureDomain("store"),
                             base::Region(this->options.store_region)};
  return this->NetworkDelay(vm.location, store);
}

bool VirtualFleet::CanReach(const Vm& a, const Vm& b) const {
  if (a.location.domain == b.location.domain) return true;
  return !this->isolated_domains.contains(a.location.domain.text) &&
         !this->isolated_domains.contains(b.location.domain.text);
}

bool VirtualFleet::CanReachStore(const Vm& vm) const {
  return !this->store_down &&
         !this->domains_without_table.contains(vm.location.domain.text);
}

bool VirtualFleet::RandomEvent(std::uint32_t per_thousand) {
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
