#ifndef GYPSUMTRACK_GATEWAY_SERVING_FLEET_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_SERVING_FLEET_SERVICE_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gypsumtrack/base/row_store.h"
#include "gypsumtrack/gateway/serving/serving_settings.h"
#include "gypsumtrack/policy/serving/daemon_leases.h"

/// This daemon's heartbeat in the store, and those of the others.
namespace gypsumtrack::gateway {

/// Another daemon.
struct PeerDaemon {
  base::VmId vm;
  base::Place location;
  /// `ip:port` for its UDP messages.
  std::string gossip_address;
};

class FleetService {
 public:
  using PeersHook = std::function<void(const std::vector<PeerDaemon>&)>;

  /// `on_peers` is called after each read of the others' heartbeats. All runs
  /// on `executor`, one thread. Precondition: `store` outlives it.
  FleetService(const boost::asio::any_io_executor& executor, base::Clock clock,
               const base::RowStore& store, const ServingSettings& settings,
               base::VmId self, PeersHook on_peers);

  // Commands.

  void Start();
  /// Writes no more heartbeats and removes the row, so that others take over
  /// at once.
  boost::asio::awaitable<void> Leave();

  // Queries.

  /// Whether the daemon surely lost its lease.
  bool HasLostLease(const base::VmId& daemon) const;
  /// Daemons that hold a lease, this one included while it is sure of its own.
  std::vector<base::VmId> LeaseHolders() const;
  /// Whether this daemon may think that it holds its own lease.
  bool HoldsLease() const;
  const base::VmId& self() const { return this->vm; }  // NOLINT
  const std::vector<PeerDaemon>& peers() const { return this->others; }

 private:
  boost::asio::awaitable<void> Beat();
  boost::asio::awaitable<void> Watch();
  boost::asio::awaitable<void> RemoveStale(
      const std::vector<base::VersionedRow>& rows);
  void TakeRows(const std::vector<base::VersionedRow>& rows);

  boost::asio::any_io_executor executor;
  base::Clock clock;
  const base::RowStore& store;
  base::VmId vm;
  std::string row_value;
  PeersHook on_peers;
  policy::DaemonLeases leases;
  std::vector<PeerDaemon> others;
  /// When the newest heartbeat that was written was sent.
  base::Instant beat_at{};
  /// When a row that stands still was first seen so.
  std::map<std::string, std::pair<std::uint64_t, base::Instant>> still_since;
  bool leaving = false;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_FLEET_SERVICE_H_
