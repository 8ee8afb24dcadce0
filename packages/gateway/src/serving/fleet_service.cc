#include "gypsumtrack/gateway/serving/fleet_service.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/gateway/serving/row_store_await.h"
#include "gypsumtrack/gateway/serving/store_layout.h"
#include "gypsumtrack/policy/serving/job_owners.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

constexpr policy::FleetLeasesOptions kFleetOptions;
constexpr policy::DaemonLeaseOptions kLeaseOptions = kFleetOptions.leases;
constexpr base::Duration kCallTimeout = std::chrono::milliseconds(1200);
/// A daemon regards its own lease as held for less time than its peers do, so
/// that it stops acting as its holder before they take over its jobs.
constexpr base::Duration kOwnLeaseDuration = std::chrono::milliseconds(2200);
/// The rows of a daemon whose heartbeats have stopped for this long are
/// removed: it serves no callers any more. One that lives registers anew.
constexpr base::Duration kStaleRowAge =
    kLeaseOptions.lease_duration + kLeaseOptions.serving_grace_period;
/// Random bytes of the secret that peers present to open a tunnel.
constexpr std::size_t kTunnelTokenBytes = 16;
/// Registrations rarely change, so the store may hold the feed for long.
constexpr base::Duration kRegistrationPollTimeout = std::chrono::seconds(5);

}  // namespace

FleetService::FleetService(const asio::any_io_executor& run_on,
                           base::Clock system_clock,
                           const base::RowStore& row_store,
                           const ServingSettings& settings, base::VmId self_id,
                           PeersHook hook)
    : executor(run_on),
      clock(std::move(system_clock)),
      store(row_store),
      own{std::move(self_id),     settings.location,
          settings.gossip_listen, settings.cpu_cores,
          settings.tunnel_listen, base::RandomHex(kTunnelTokenBytes)},
      on_peers(std::move(hook)),
      leases(settings.location.domain, kFleetOptions) {}

void FleetService::Start() {
  this->FollowRegistrations();
  asio::co_spawn(
      this->executor, [this] { return this->WriteHeartbeats(); },
      asio::detached);
  asio::co_spawn(
      this->executor, [this] { return this->ReadHeartbeats(); },
      asio::detached);
}

// Registrations.

void FleetService::FollowRegistrations() {
  TableFollowerOptions options;
  options.table = layout::kDaemonTable;
  options.all_partitions = true;
  options.long_poll_timeout = kRegistrationPollTimeout;
  TableFollowerHooks hooks;
  hooks.on_snapshot = [this](const std::vector<base::VersionedRow>& rows,
                             std::uint64_t /*as_of*/) {
    this->registered.clear();
    for (const auto& row : rows) this->ApplyRegistration(row);
    this->PublishRegistrations();
  };
  hooks.on_changes = [this](const std::vector<base::VersionedRow>& rows,
                            std::uint64_t /*as_of*/) {
    for (const auto& row : rows) this->ApplyRegistration(row);
    this->PublishRegistrations();
  };
  this->follower =
      std::make_shared<TableFollower>(this->executor, this->clock, this->store,
                                      std::move(options), std::move(hooks));
  this->follower->Start();
}

void FleetService::ApplyRegistration(const base::VersionedRow& row) {
  if (row.removed) {
    this->registered.erase(row.at.key);
    return;
  }
  auto daemon = layout::ParseDaemon(row.at.key, row.value);
  if (daemon.ok()) {
    this->registered[row.at.key] = std::move(*daemon);
    return;
  }
  base::LogEvent("daemon_unreadable",
                 {{"vm", row.at.key}, {"row_version", row.version}});
}

void FleetService::PublishRegistrations() {
  std::vector<policy::RegisteredDaemon> daemons;
  for (const auto& [name, daemon] : this->registered) {
    daemons.push_back({daemon.vm, daemon.location.domain});
  }
  this->leases.SetRegistered(daemons, this->clock.now());
  this->has_registrations = true;
  // Peers remove the registration of a daemon that couldn't renew its lease.
  const auto own = this->registered.find(this->self().name);
  this->registration_due =
      own == this->registered.end() || own->second.vm != this->self();
  this->PublishPeers();
}

base::RowKey FleetService::RegistrationKey() const {
  return {layout::kDaemonTable, this->own.location.domain.text,
          this->self().name};
}

base::RowKey FleetService::HeartbeatKey() const {
  return {layout::kLeaseTable, this->own.location.domain.text,
          this->self().name};
}

// Heartbeats.

asio::awaitable<void> FleetService::WriteHeartbeats() {
  while (!this->deregistered) {
    base::RowTransaction heartbeat;
    heartbeat.puts.push_back(
        {this->HeartbeatKey(), layout::SerializeLease(this->self())});
    if (this->registration_due) {
      heartbeat.puts.push_back(
          {this->RegistrationKey(), layout::SerializeDaemon(this->own)});
    }
    const auto sent_at = this->clock.now();
    const auto written = co_await Transact(this->store, std::move(heartbeat),
                                           sent_at + kCallTimeout);
    if (written.ok()) this->OnHeartbeatWritten(sent_at);
    const auto next_at = sent_at + kLeaseOptions.heartbeat_period;
    const auto now = this->clock.now();
    if (now < next_at) co_await Pause(next_at - now);
  }
}

void FleetService::OnHeartbeatWritten(base::Instant sent_at) {
  const bool is_first = this->heartbeat_sent_at == base::Instant{};
  const bool was_away = !is_first && !this->HoldsLease();
  this->heartbeat_sent_at = sent_at;
  // The store was out of reach. The feed of registrations may hang for seconds
  // more, and others may have removed this daemon's or registered anew.
  if (was_away && !this->deregistered) this->follower->Retry();
}

asio::awaitable<void> FleetService::ReadHeartbeats() {
  while (!this->deregistered) {
    const auto started_at = this->clock.now();
    for (auto& domain : this->leases.DomainsToRead(started_at)) {
      co_await this->ReadDomain(std::move(domain));
    }
    this->PublishPeers();
    const auto next_at = started_at + kLeaseOptions.heartbeat_period;
    const auto now = this->clock.now();
    if (now < next_at) co_await Pause(next_at - now);
  }
}

asio::awaitable<void> FleetService::ReadDomain(base::FailureDomain domain) {
  base::RowRange range;
  range.table = layout::kLeaseTable;
  range.partition = domain.text;
  auto page = co_await ReadAllRows(this->store, std::move(range),
                                   this->clock.now() + kCallTimeout);
  if (!page.ok()) co_return;
  this->ApplyHeartbeats(domain, page->rows);
  co_await this->RemoveStaleRows(std::move(page->rows));
}

void FleetService::ApplyHeartbeats(
    const base::FailureDomain& domain,
    const std::vector<base::VersionedRow>& rows) {
  std::vector<policy::LeaseRow> lease_rows;
  for (const auto& row : rows) {
    auto daemon = layout::ParseLease(row.at.key, row.value);
    if (daemon.ok()) {
      lease_rows.push_back({std::move(*daemon), row.version});
      continue;
    }
    base::LogEvent("daemon_unreadable",
                   {{"vm", row.at.key}, {"row_version", row.version}});
  }
  this->leases.ObserveDomain(domain, lease_rows, this->clock.now());
}

void FleetService::PublishPeers() {
  // An empty list would mean that this daemon is alone.
  if (!this->has_registrations) return;
  const auto now = this->clock.now();
  this->live_peers.clear();
  for (const auto& [name, daemon] : this->registered) {
    const bool is_self = name == this->self().name;
    if (!is_self && this->leases.MayServe(daemon.vm, now)) {
      this->live_peers.push_back(daemon);
    }
  }
  const auto holders = this->leases.Holders(now).size();
  if (holders != this->holder_count) {
    base::LogEvent("daemons_alive",
                   {{"count", holders}, {"before", this->holder_count}});
    this->holder_count = holders;
  }
  this->on_peers(this->live_peers);
}

asio::awaitable<void> FleetService::RemoveStaleRows(
    std::vector<base::VersionedRow> rows) {
  const auto now = this->clock.now();
  for (const auto& row : rows) {
    auto& age = this->row_ages[row.at.key];
    if (age.version != row.version) age = {row.version, now};
    const bool is_stale = now - age.unchanged_since >= kStaleRowAge;
    if (!is_stale || row.at.key == this->self().name) continue;
    age.unchanged_since = now;
    co_await this->RemoveStaleRow(row);
  }
}

asio::awaitable<void> FleetService::RemoveStaleRow(
    const base::VersionedRow& row) {
  // All daemons that watch the domain see the stale row; one removes it.
  const auto daemon = layout::ParseLease(row.at.key, row.value);
  const base::VmId lost = daemon.ok() ? *daemon : base::VmId{row.at.key, 0};
  const auto adopters = this->Adopters(lost);
  if (!policy::RanksFirst(this->self(), row.at.key, adopters)) co_return;
  base::RowTransaction removal;
  removal.expectations.push_back({row.at, row.version});
  removal.removals.push_back(row.at);
  removal.removals.push_back(
      {layout::kDaemonTable, row.at.partition, row.at.key});
  const auto removed = co_await Transact(this->store, std::move(removal),
                                         this->clock.now() + kCallTimeout);
  if (removed.ok() && removed->applied) {
    base::LogEvent("daemon_row_removed", {{"vm", row.at.key}});
  }
}

asio::awaitable<void> FleetService::Deregister() {
  this->deregistered = true;
  this->follower->Stop();
  base::RowTransaction removal;
  removal.removals.push_back(this->HeartbeatKey());
  removal.removals.push_back(this->RegistrationKey());
  const auto removed = co_await Transact(this->store, std::move(removal),
                                         this->clock.now() + kCallTimeout);
  if (!removed.ok()) {
    base::LogEvent("leave_not_told", {{"reason", removed.error().message}});
  }
}

void FleetService::OnHolderReport(const base::VmId& daemon) {
  this->leases.OnHolderReport(daemon, this->clock.now());
}

// Queries.

bool FleetService::HasLostLease(const base::VmId& daemon) const {
  return this->leases.HasLostLease(daemon, this->clock.now());
}

std::vector<base::VmId> FleetService::LeaseHolders() const {
  return this->WithOwnLease(this->leases.Holders(this->clock.now()));
}

std::vector<base::VmId> FleetService::LeaseHoldersIn(
    const policy::RegionLimit& allowed) const {
  auto holders = this->LeaseHolders();
  std::erase_if(holders, [&](const base::VmId& holder) {
    const auto found = this->registered.find(holder.name);
    return found == this->registered.end() ||
           !policy::Allows(allowed, found->second.location.region);
  });
  return holders;
}

std::vector<base::VmId> FleetService::Adopters(const base::VmId& lost) const {
  auto adopters = this->leases.Adopters(lost, this->clock.now());
  if (adopters.empty()) return adopters;
  return this->WithOwnLease(std::move(adopters));
}

std::vector<base::VmId> FleetService::WithOwnLease(
    std::vector<base::VmId> holders) const {
  std::erase_if(holders, [&](const auto& each) {
    return each.name == this->self().name;
  });
  if (this->HoldsLease()) holders.push_back(this->self());
  return holders;
}

bool FleetService::KnowsFleet() const {
  return this->registered.contains(this->self().name);
}

bool FleetService::IsCollector() const {
  const auto holders = this->LeaseHolders();
  const auto collector = std::min_element(
      holders.begin(), holders.end(),
      [](const auto& a, const auto& b) { return a.name < b.name; });
  return collector != holders.end() && collector->name == this->self().name;
}

bool FleetService::HoldsLease() const {
  return !this->deregistered && this->heartbeat_sent_at != base::Instant{} &&
         this->clock.now() - this->heartbeat_sent_at < kOwnLeaseDuration;
}

}  // namespace gypsumtrack::gateway
