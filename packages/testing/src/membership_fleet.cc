#include "gypsumtrack/testing/membership_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace gypsumtrack::testing {
namespace {

/// Number of values of a 64-bit random number, 2^64.
constexpr double kRandomValueCount = 18446744073709551616.0;
/// Time between the end of a pause and the next tick.
constexpr auto kResumeDelay = std::chrono::milliseconds(1);

}  // namespace

MembershipFleet::MembershipFleet(const MembershipFleetOptions& settings,
                                 MessageSize size)
    : options(settings),
      message_size(std::move(size)),
      random_state(settings.seed) {
  for (int d = 0; d < settings.domains; ++d) {
    for (int i = 0; i < settings.daemons_per_domain; ++i) {
      const auto name = fmt::format("entry-{}-{:02}", d, i);
      auto& daemon = this->daemons[name];
      daemon.id.name = name;
      daemon.address = fmt::format("10.{}.0.{}:8082", d, i + 1);
      daemon.location = {base::FailureDomain(fmt::format("domain-{}", d)),
                         base::Region(fmt::format("region-{}", d % 3))};
    }
  }
  this->RecordPlatformList();
  // The first list is available from the start, without lag.
  this->platform_lists.front().first = base::Instant::min();
  for (const auto& name : this->Names()) {
    this->StartDaemon(name, base::Duration(this->Random() % 1000000));
  }
}

void MembershipFleet::At(base::Instant when, std::function<void()> run) {
  this->events.push({when, this->next_event++, std::move(run)});
}

void MembershipFleet::StartDaemon(const std::string& name,
                                  base::Duration after) {
  auto& daemon = this->daemons.at(name);
  daemon.alive = true;
  daemon.id.incarnation = this->next_incarnation++;
  daemon.membership = std::make_unique<policy::Membership>(
      this->options.membership, daemon.id, daemon.address, daemon.location,
      this->Random());
  const auto incarnation = daemon.id.incarnation;
  this->At(this->now + after, [this, name, incarnation] {
    this->ListLoop(name, incarnation);
    this->TickLoop(name, incarnation);
  });
}

bool MembershipFleet::IsRunning(const std::string& name,
                                std::uint64_t incarnation) const {
  const auto& daemon = this->daemons.at(name);
  return daemon.alive && daemon.id.incarnation == incarnation;
}

void MembershipFleet::TickLoop(const std::string& name,
                               std::uint64_t incarnation) {
  if (!this->IsRunning(name, incarnation)) return;
  auto& daemon = this->daemons.at(name);
  auto next = daemon.paused_until + kResumeDelay;
  if (daemon.paused_until <= this->now) {
    const auto actions = daemon.membership->Tick(this->now);
    this->PerformActions(name, actions);
    next = actions.next_tick;
  }
  this->At(next,
           [this, name, incarnation] { this->TickLoop(name, incarnation); });
}

void MembershipFleet::ListLoop(const std::string& name,
                               std::uint64_t incarnation) {
  if (!this->IsRunning(name, incarnation)) return;
  auto& daemon = this->daemons.at(name);
  if (daemon.paused_until <= this->now) {
    if (this->platform_down || this->partitioned.contains(name)) {
      daemon.membership->HandleListFailure(this->now);
    } else {
      daemon.membership->HandleList(this->now, this->DelayedPlatformList());
    }
  }
  this->At(this->now + this->options.platform_list_period,
           [this, name, incarnation] { this->ListLoop(name, incarnation); });
}

void MembershipFleet::PerformActions(const std::string& from,
                                     const policy::MembershipActions& actions) {
  for (const auto& ping : actions.pings) this->SendPing(from, ping);
  for (const auto& sync : actions.syncs) this->SendSync(from, sync);
}

void MembershipFleet::SendPing(const std::string& from,
                               const policy::PingAction& ping) {
  const auto id = this->daemons.at(from).id;
  const auto completed = std::make_shared<bool>(false);
  this->Count(from, ping.message);
  const auto to = this->FindByAddress(ping.address);
  this->Deliver(from, to, [this, id, to, ping, completed](Daemon& callee) {
    const auto response =
        callee.membership->HandlePing(this->now, id, ping.message);
    this->Count(to, response);
    this->Deliver(to, id.name, [=, this](Daemon& caller) {
      if (caller.id != id || *completed) return;
      *completed = true;
      caller.membership->HandleAck(this->now, ping.target, response);
    });
  });
  this->At(ping.deadline, [=, this] {
    if (*completed || !this->IsRunning(id.name, id.incarnation)) return;
    *completed = true;
    this->daemons.at(id.name).membership->HandlePingFailure(this->now,
                                                            ping.target);
  });
}

void MembershipFleet::SendSync(const std::string& from,
                               const policy::SyncAction& sync) {
  const auto id = this->daemons.at(from).id;
  this->Count(from, {});
  const auto to = this->FindByAddress(sync.address);
  this->Deliver(from, to, [this, id, to, sync](Daemon& callee) {
    const auto response = callee.membership->HandleSync(sync.request);
    this->Count(to, response);
    this->Deliver(to, id.name, [this, id, response](Daemon& caller) {
      if (caller.id != id) return;
      caller.membership->HandleSyncReply(this->now, response);
    });
  });
}

void MembershipFleet::Deliver(const std::string& from, const std::string& to,
                              std::function<void(Daemon&)> run) {
  if (to.empty() || this->DrawLoss(from, to)) return;
  const bool same_domain = this->DomainOf(from) == this->DomainOf(to);
  const auto delay = same_domain ? this->options.intra_domain_delay
                                 : this->options.inter_domain_delay;
  const auto jitter = base::Duration(
      this->Random() % static_cast<std::uint64_t>(delay.count() + 1));
  const auto incarnation = this->daemons.at(to).id.incarnation;
  this->At(this->now + delay + jitter, [=, this, run = std::move(run)] {
    if (!this->IsRunning(to, incarnation)) return;
    auto& daemon = this->daemons.at(to);
    // A paused process receives its messages when it resumes.
    if (daemon.paused_until > this->now) {
      return this->At(daemon.paused_until, [=, this] {
        if (this->IsRunning(to, incarnation)) run(this->daemons.at(to));
      });
    }
    run(daemon);
  });
}

void MembershipFleet::Count(const std::string& from,
                            const policy::MembershipMessage& message) {
  auto& traffic = this->daemons.at(from).traffic;
  ++traffic.messages;
  if (this->message_size) traffic.bytes += this->message_size(message);
}

std::string MembershipFleet::FindByAddress(const std::string& address) const {
  for (const auto& [name, daemon] : this->daemons) {
    if (daemon.address == address) return name;
  }
  return {};
}

bool MembershipFleet::DrawLoss(const std::string& from, const std::string& to) {
  if (this->partitioned.contains(from) != this->partitioned.contains(to))
    return true;
  return static_cast<double>(this->Random()) / kRandomValueCount <
         this->options.loss_probability;
}

void MembershipFleet::Run(base::Duration time) {
  const auto end = this->now + time;
  while (!this->events.empty() && this->events.top().at <= end) {
    const auto event = this->events.top();
    this->events.pop();
    this->now = std::max(this->now, event.at);
    event.run();
  }
  this->now = end;
}

base::Duration MembershipFleet::RunUntil(const std::function<bool()>& condition,
                                         base::Duration limit) {
  constexpr auto kStep = std::chrono::milliseconds(250);
  const auto begin = this->now;
  while (!condition() && this->now - begin < limit) this->Run(kStep);
  return this->now - begin;
}

void MembershipFleet::Kill(const std::string& name) {
  this->daemons.at(name).alive = false;
  this->RecordPlatformList();
}

void MembershipFleet::Restart(const std::string& name) {
  this->StartDaemon(name, base::Duration(1));
  this->RecordPlatformList();
}

void MembershipFleet::Pause(const std::string& name, base::Duration time) {
  this->daemons.at(name).paused_until = this->now + time;
}

void MembershipFleet::AnnounceShutdown(const std::string& name) {
  this->PerformActions(
      name, this->daemons.at(name).membership->AnnounceShutdown(this->now));
}

void MembershipFleet::Partition(const std::set<std::string>& one_side) {
  this->partitioned = one_side;
}

void MembershipFleet::EndPartition() { this->partitioned.clear(); }

void MembershipFleet::SetPlatformDown(bool down) { this->platform_down = down; }

void MembershipFleet::ResetTraffic() {
  for (auto& [name, daemon] : this->daemons) daemon.traffic = {};
}

void MembershipFleet::ReplayOldUpdate(const std::string& to,
                                      const policy::MemberUpdate& about) {
  policy::MembershipMessage message;
  message.updates.push_back(about);
  this->daemons.at(to).membership->HandleSyncReply(this->now, message);
}

void MembershipFleet::RecordPlatformList() {
  std::vector<base::ListedVm> listed;
  for (const auto& [name, daemon] : this->daemons) {
    if (!daemon.alive) continue;
    listed.push_back(
        {.name = name, .address = daemon.address, .location = daemon.location});
  }
  this->platform_lists.emplace_back(this->now, std::move(listed));
}

std::vector<base::ListedVm> MembershipFleet::DelayedPlatformList() const {
  const auto* latest = &this->platform_lists.front().second;
  for (const auto& [at, listed] : this->platform_lists) {
    if (at == base::Instant::min() ||
        at + this->options.platform_list_lag <= this->now) {
      latest = &listed;
    }
  }
  return *latest;
}

base::Instant MembershipFleet::Now() const { return this->now; }

std::vector<std::string> MembershipFleet::Names() const {
  std::vector<std::string> names;
  for (const auto& [name, daemon] : this->daemons) names.push_back(name);
  return names;
}

std::vector<std::string> MembershipFleet::Alive() const {
  std::vector<std::string> names;
  for (const auto& [name, daemon] : this->daemons) {
    if (daemon.alive) names.push_back(name);
  }
  return names;
}

base::VmId MembershipFleet::IdOf(const std::string& name) const {
  return this->daemons.at(name).id;
}

policy::MemberUpdate MembershipFleet::CurrentUpdateOf(
    const std::string& name) const {
  const auto& daemon = this->daemons.at(name);
  return {
      .id = daemon.id, .address = daemon.address, .location = daemon.location};
}

policy::FleetView MembershipFleet::ViewOf(const std::string& name) const {
  return this->daemons.at(name).membership->View(this->now);
}

policy::PeerState MembershipFleet::StateObserved(const std::string& by,
                                                 const std::string& of) const {
  return this->daemons.at(by).membership->PeerStateOf(this->now, of);
}

bool MembershipFleet::AllObserve(const std::string& domain,
                                 const std::string& of,
                                 policy::PeerState state) const {
  for (const auto& [name, daemon] : this->daemons) {
    if (!daemon.alive || name == of) continue;
    if (!domain.empty() && daemon.location.domain.text != domain) continue;
    if (this->StateObserved(name, of) != state) return false;
  }
  return true;
}

std::string MembershipFleet::DomainOf(const std::string& name) const {
  return this->daemons.at(name).location.domain.text;
}

MembershipTraffic MembershipFleet::TrafficOf(const std::string& name) const {
  return this->daemons.at(name).traffic;
}

std::uint64_t MembershipFleet::Random() {
  // SplitMix64.
  std::uint64_t z = (this->random_state += 0x9E3779B97F4A7C15ULL);
  z = (z ^ (z >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  z = (z ^ (z >> 27U)) * 0x94D049BB133111EBULL;
  return z ^ (z >> 31U);
}

}  // namespace gypsumtrack::testing
