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
/// A daemon trusts its own lease for less time than the others give it.
constexpr base::Duration kOwnLease = std::chrono::milliseconds(2200);
/// A row that stands still for so long belongs to a daemon that won't return.
constexpr base::Duration kStaleRow = std::chrono::seconds(20);

base::RowKey DaemonKey(const std::string& vm) {
  return {layout::kDaemonTable, "", vm};
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
      row_value(layout::WriteDaemon(
          {this->vm, settings.location, settings.gossip_listen})),
      on_peers(std::move(hook)),
      leases(kLeaseOptions) {}

void FleetService::Start() {
  asio::co_spawn(
      this->executor, [this] { return this->Beat(); }, asio::detached);
  asio::co_spawn(
      this->executor, [this] { return this->Watch(); }, asio::detached);
}

asio::awaitable<void> FleetService::Beat() {
  while (!this->leaving) {
    base::RowTransaction beat;
    beat.puts.push_back({DaemonKey(this->vm.name), this->row_value});
    const auto sent_at = this->clock.now();
    const auto written =
        co_await Transact(this->store, std::move(beat), sent_at + kCallTimeout);
    if (written.ok()) this->beat_at = sent_at;
    const auto next = sent_at + kLeaseOptions.heartbeat_period;
    const auto now = this->clock.now();
    if (now < next) co_await Pause(next - now);
  }
}

asio::awaitable<void> FleetService::Watch() {
  while (!this->leaving) {
    base::RowRange range;
    range.table = layout::kDaemonTable;
    const auto sent_at = this->clock.now();
    auto page = co_await ReadAllRows(this->store, std::move(range),
                                     sent_at + kCallTimeout);
    if (page.ok()) {
      this->TakeRows(page->rows);
      co_await this->RemoveStale(page->rows);
    }
    const auto next = sent_at + kLeaseOptions.heartbeat_period;
    const auto now = this->clock.now();
    if (now < next) co_await Pause(next - now);
  }
}

void FleetService::TakeRows(const std::vector<base::VersionedRow>& rows) {
  std::vector<policy::LeaseRow> lease_rows;
  std::vector<PeerDaemon> peers;
  for (const auto& row : rows) {
    auto daemon = layout::ReadDaemon(row.at.key, row.value);
    if (!daemon.ok()) {
      base::LogEvent("daemon_unreadable",
                     {{"vm", row.at.key}, {"row_version", row.version}});
      continue;
    }
    lease_rows.push_back({daemon->vm, row.version});
    if (daemon->vm.name != this->vm.name) peers.push_back(std::move(*daemon));
  }
  const auto before = this->leases.Holders().size();
  this->leases.Observe(lease_rows, this->clock.now());
  // The row of a daemon that is gone stays for a while.
  std::erase_if(
      peers, [&](const auto& peer) { return !this->leases.MayServe(peer.vm); });
  this->others = std::move(peers);
  const auto after = this->leases.Holders().size();
  if (before != after) {
    base::LogEvent("daemons_alive", {{"count", after}, {"before", before}});
  }
  this->on_peers(this->others);
}

asio::awaitable<void> FleetService::RemoveStale(
    const std::vector<base::VersionedRow>& rows) {
  const auto now = this->clock.now();
  for (const auto& row : rows) {
    auto& [version, since] = this->still_since[row.at.key];
    if (version != row.version) {
      version = row.version;
      since = now;
    }
    if (now - since < kStaleRow || row.at.key == this->vm.name) continue;
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

asio::awaitable<void> FleetService::Leave() {
  this->leaving = true;
  base::RowTransaction removal;
  removal.removals.push_back(DaemonKey(this->vm.name));
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
  return !this->leaving && this->beat_at != base::Instant{} &&
         this->clock.now() - this->beat_at < kOwnLease;
}

}  // namespace gypsumtrack::gateway
