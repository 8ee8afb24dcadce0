#include "gypsumtrack/gateway/serving/fleet_service.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/gateway/serving/row_store_await.h"
#include "gypsumtrack/gateway/serving/store_layout.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

constexpr policy::DaemonLeaseOptions kLeaseOptions;
constexpr base::Duration kCallTimeout = std::chrono::milliseconds(1200);
/// A daemon regards its own lease as held for less time than its peers do, so
/// that it stops acting as its holder before they take over its jobs.
constexpr base::Duration kOwnLeaseDuration = std::chrono::milliseconds(2200);
/// A heartbeat row that hasn't changed for this long is removed, because its
/// daemon is assumed to have ended without removing it.
constexpr base::Duration kStaleRowAge = std::chrono::seconds(20);

base::RowKey HeartbeatKey(const std::string& vm_name) {
  return {layout::kDaemonTable, "", vm_name};
}

}  // namespace

FleetService::FleetService(const asio::any_io_executor& run_on,
                           base::Clock system_clock,
                           const base::RowStore& row_store,
                           const ServingSettings& settings, base::VmId self_id,
                           PeersHook hook)
    : executor(run_on),
      clock(std::move(system_clock)),
      store(row_store),
      vm(std::move(self_id)),
      row_value(layout::SerializeDaemon(
          {this->vm, settings.location, settings.gossip_listen})),
      on_peers(std::move(hook)),
      leases(kLeaseOptions) {}

void FleetService::Start() {
  asio::co_spawn(
      this->executor, [this] { return this->WriteHeartbeats(); },
      asio::detached);
  asio::co_spawn(
      this->executor, [this] { return this->ReadHeartbeats(); },
      asio::detached);
}

asio::awaitable<void> FleetService::WriteHeartbeats() {
  while (!this->deregistered) {
    base::RowTransaction heartbeat;
    heartbeat.puts.push_back({HeartbeatKey(this->vm.name), this->row_value});
    const auto sent_at = this->clock.now();
    const auto written = co_await Transact(this->store, std::move(heartbeat),
                                           sent_at + kCallTimeout);
    if (written.ok()) this->heartbeat_sent_at = sent_at;
    const auto next_at = sent_at + kLeaseOptions.heartbeat_period;
    const auto now = this->clock.now();
    if (now < next_at) co_await Pause(next_at - now);
  }
}

asio::awaitable<void> FleetService::ReadHeartbeats() {
  while (!this->deregistered) {
    base::RowRange range;
    range.table = layout::kDaemonTable;
    const auto sent_at = this->clock.now();
    auto page = co_await ReadAllRows(this->store, std::move(range),
                                     sent_at + kCallTimeout);
    if (page.ok()) {
      this->ApplyRows(page->rows);
      co_await this->RemoveStaleRows(page->rows);
    }
    const auto next_at = sent_at + kLeaseOptions.heartbeat_period;
    const auto now = this->clock.now();
    if (now < next_at) co_await Pause(next_at - now);
  }
}

void FleetService::ApplyRows(const std::vector<base::VersionedRow>& rows) {
  std::vector<policy::LeaseRow> lease_rows;
  std::vector<PeerDaemon> peers;
  for (const auto& row : rows) {
    auto daemon = layout::ParseDaemon(row.at.key, row.value);
    if (!daemon.ok()) {
      base::LogEvent("daemon_unreadable",
                     {{"vm", row.at.key}, {"row_version", row.version}});
      continue;
    }
    lease_rows.push_back({daemon->vm, row.version});
    if (daemon->vm.name != this->vm.name) peers.push_back(std::move(*daemon));
  }
  const auto holders_before = this->leases.Holders().size();
  this->leases.Observe(lease_rows, this->clock.now());
  // A row doesn't prove that its daemon runs: the row of a killed daemon stays
  // in the store for kStaleRowAge.
  std::erase_if(
      peers, [&](const auto& peer) { return !this->leases.MayServe(peer.vm); });
  this->live_peers = std::move(peers);
  const auto holders_after = this->leases.Holders().size();
  if (holders_before != holders_after) {
    base::LogEvent("daemons_alive",
                   {{"count", holders_after}, {"before", holders_before}});
  }
  this->on_peers(this->live_peers);
}

asio::awaitable<void> FleetService::RemoveStaleRows(
    const std::vector<base::VersionedRow>& rows) {
  const auto now = this->clock.now();
  for (const auto& row : rows) {
    auto& [version, since] = this->unchanged_since[row.at.key];
    if (version != row.version) {
      version = row.version;
      since = now;
    }
    if (now - since < kStaleRowAge || row.at.key == this->vm.name) continue;
    base::RowTransaction removal;
    removal.expectations.push_back({row.at, row.version});
    removal.removals.push_back(row.at);
    const auto removed =
        co_await Transact(this->store, std::move(removal), now + kCallTimeout);
    if (removed.ok() && removed->applied) {
      base::LogEvent("daemon_row_removed", {{"vm", row.at.key}});
    }
    since = now;
  }
}

asio::awaitable<void> FleetService::Deregister() {
  this->deregistered = true;
  base::RowTransaction removal;
  removal.removals.push_back(HeartbeatKey(this->vm.name));
  const auto removed = co_await Transact(this->store, std::move(removal),
                                         this->clock.now() + kCallTimeout);
  if (!removed.ok()) {
    base::LogEvent("leave_not_told", {{"reason", removed.error().message}});
  }
}

bool FleetService::HasLostLease(const base::VmId& daemon) const {
  return this->leases.HasLostLease(daemon);
}

std::vector<base::VmId> FleetService::LeaseHolders() const {
  auto holders = this->leases.Holders();
  std::erase_if(holders,
                [&](const auto& each) { return each.name == this->vm.name; });
  if (this->HoldsLease()) holders.push_back(this->vm);
  return holders;
}

bool FleetService::HoldsLease() const {
  return !this->deregistered && this->heartbeat_sent_at != base::Instant{} &&
         this->clock.now() - this->heartbeat_sent_at < kOwnLeaseDuration;
}

}  // namespace gypsumtrack::gateway
