#include "gypsumtrack/testing/membership_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace gypsumtrack::testing {
namespace {

constexpr double kRandomRange = 18446744073709551616.0;
constexpr auto kAfterPause = std::chrono::milliseconds(1);

}  // namespace

MembershipFleet::MembershipFleet(const MembershipFleetOptions& settings,
                                 Measure size)
    : options(settings), measure(std::move(size)), random_state(settings.seed) {
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
  this->RecordList();
  // The first list is there before the daemons.
  this->lists.front().first = base::Instant::min();
  for (const auto& name : this->Names()) {
    this->Boot(name, base::Duration(this->Random() % 1000000));
  }
}

void MembershipFleet::At(base::Instant when, std::function<void()> run) {
  this->events.push({when, this->next_event++, std::move(run)});
}

void MembershipFleet::Boot(const std::string& name, base::Duration after) {
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

bool MembershipFleet::Runs(const std::string& name,
                           std::uint64_t incarnation) const {
  const auto& daemon = this->daemons.at(name);
  return daemon.alive && daemon.id.incarnation == incarnation;
}

void MembershipFleet::TickLoop(const std::string& name,
                               std::uint64_t incarnation) {
  if (!this->Runs(name, incarnation)) return;
  auto& daemon = this->daemons.at(name);
  auto next = daemon.paused_until + kAfterPause;
  if (daemon.paused_until <= this->now) {
    const auto actions = daemon.membership->Tick(this->now);
    this->Perform(name, actions);
    next = actions.next_tick;
  }
  this->At(next,
           [this, name, incarnation] { this->TickLoop(name, incarnation); });
}

void MembershipFleet::ListLoop(const std::string& name,
                               std::uint64_t incarnation) {
  if (!this->Runs(name, incarnation)) return;
  auto& daemon = this->daemons.at(name);
  if (daemon.paused_until <= this->now) {
    if (this->platform_down || this->cut.contains(name)) {
      daemon.membership->HandleListFailure(this->now);
    } else {
      daemon.membership->HandleList(this->now, this->LaggingList());
    }
  }
  this->At(this->now + this->options.list_period,
           [this, name, incarnation] { this->ListLoop(name, incarnation); });
}

void MembershipFleet::Perform(const std::string& from,
                              const policy::MembershipActions& actions) {
  for (const auto& ping : actions.pings) this->SendPing(from, ping);
  for (const auto& sync : actions.syncs) this->SendSync(from, sync);
}

void MembershipFleet::SendPing(const std::string& from,
                               const policy::PingAction& ping) {
  const auto id = this->daemons.at(from).id;
  const auto answered = std::make_shared<bool>(false);
  this->Count(from, ping.message);
  const auto to = this->ByAddress(ping.address);
  this->Deliver(from, to, [this, id, to, ping, answered](Daemon& callee) {
    const auto answer =
        callee.membership->HandlePing(this->now, id, ping.message);
    this->Count(to, answer);
    this->Deliver(to, id.name, [=, this](Daemon& caller) {
      if (caller.id != id || *answered) return;
      *answered = true;
      caller.membership->HandleAck(this->now, ping.target, answer);
    });
  });
  this->At(ping.deadline, [=, this] {
    if (*answered || !this->Runs(id.name, id.incarnation)) return;
    *answered = true;
    this->daemons.at(id.name).membership->HandlePingFailure(this->now,
                                                            ping.target);
  });
}

void MembershipFleet::SendSync(const std::string& from,
                               const policy::SyncAction& sync) {
  const auto id = this->daemons.at(from).id;
  this->Count(from, {});
  const auto to = this->ByAddress(sync.address);
  this->Deliver(from, to, [this, id, to, sync](Daemon& callee) {
    const auto answer = callee.membership->HandleSync(sync.request);
    this->Count(to, answer);
    this->Deliver(to, id.name, [this, id, answer](Daemon& caller) {
      if (caller.id != id) return;
      caller.membership->HandleSyncReply(this->now, answer);
    });
  });
}

void MembershipFleet::Deliver(const std::string& from, const std::string& to,
                              std::function<void(Daemon&)> run) {
  if (to.empty() || this->Lost(from, to)) return;
  const bool near = this->DomainOf(from) == this->DomainOf(to);
  const auto delay = near ? this->options.delay : this->options.domain_delay;
  const auto jitter = base::Duration(
      this->Random() % static_cast<std::uint64_t>(delay.count() + 1));
  const auto incarnation = this->daemons.at(to).id.incarnation;
  this->At(this->now + delay + jitter, [=, this, run = std::move(run)] {
    if (!this->Runs(to, incarnation)) return;
    auto& daemon = this->daemons.at(to);
    // What reaches a paused process is read when it goes on.
    if (daemon.paused_until > this->now) {
      return this->At(daemon.paused_until, [=, this] {
        if (this->Runs(to, incarnation)) run(this->daemons.at(to));
      });
    }
    run(daemon);
  });
}

void MembershipFleet::Count(const std::string& from,
                            const policy::MembershipMessage& message) {
  auto& traffic = this->daemons.at(from).traffic;
  ++traffic.messages;
  if (this->measure) traffic.bytes += this->measure(message);
}

std::string MembershipFleet::ByAddress(const std::string& address) const {
  for (const auto& [name, daemon] : this->daemons) {
    if (daemon.address == address) return name;
  }
  return {};
}

bool MembershipFleet::Lost(const std::string& from, const std::string& to) {
  if (this->cut.contains(from) != this->cut.contains(to)) return true;
  return static_cast<double>(this->Random()) / kRandomRange <
         this->options.loss;
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
  this->RecordList();
}

void MembershipFleet::Restart(const std::string& name) {
  this->Boot(name, base::Duration(1));
  this->RecordList();
}

void MembershipFleet::Pause(const std::string& name, base::Duration time) {
  this->daemons.at(name).paused_until = this->now + time;
}

void MembershipFleet::Leave(const std::string& name) {
  this->Perform(name,
                this->daemons.at(name).membership->AnnounceShutdown(this->now));
}

void MembershipFleet::Cut(const std::set<std::string>& one_side) {
  this->cut = one_side;
}

void MembershipFleet::Heal() { this->cut.clear(); }

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

void MembershipFleet::RecordList() {
  std::vector<base::ListedVm> listed;
  for (const auto& [name, daemon] : this->daemons) {
    if (!daemon.alive) continue;
    listed.push_back(
        {.name = name, .address = daemon.address, .location = daemon.location});
  }
  this->lists.emplace_back(this->now, std::move(listed));
}

std::vector<base::ListedVm> MembershipFleet::LaggingList() const {
  const auto* newest = &this->lists.front().second;
  for (const auto& [at, listed] : this->lists) {
    if (at == base::Instant::min() ||
        at + this->options.list_lag <= this->now) {
      newest = &listed;
    }
  }
  return *newest;
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

policy::MemberUpdate MembershipFleet::TruthOf(const std::string& name) const {
  const auto& daemon = this->daemons.at(name);
  return {
      .id = daemon.id, .address = daemon.address, .location = daemon.location};
}

policy::FleetView MembershipFleet::ViewOf(const std::string& name) const {
  return this->daemons.at(name).membership->View(this->now);
}

policy::PeerState MembershipFleet::StateSeen(const std::string& by,
                                             const std::string& of) const {
  return this->daemons.at(by).membership->PeerStateOf(this->now, of);
}

bool MembershipFleet::AllSee(const std::string& domain, const std::string& of,
                             policy::PeerState state) const {
  for (const auto& [name, daemon] : this->daemons) {
    if (!daemon.alive || name == of) continue;
    if (!domain.empty() && daemon.location.domain.text != domain) continue;
    if (this->StateSeen(name, of) != state) return false;
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
