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

/// Membership of the fleet: writes this daemon's heartbeats to the store and
/// reads those of the others.
namespace gypsumtrack::gateway {

/// Another daemon, as described by its heartbeat row.
struct PeerDaemon {
  base::VmId vm;
  base::Location location;
  /// `ip:port` for UDP messages.
  std::string gossip_address;
};

/// The leases of all daemons, each renewed by heartbeats. Not thread-safe; must
/// be used on the thread of its executor.
class FleetService {
 public:
  using PeersHook = std::function<void(const std::vector<PeerDaemon>&)>;

  /// `on_peers` is called after each read of the heartbeats with all peers
  /// that hold a lease or lost it so recently that they may still serve
  /// callers. `executor` must run on one thread. Precondition: `store` outlives
  /// the service.
  FleetService(const boost::asio::any_io_executor& executor, base::Clock clock,
               const base::RowStore& store, const ServingSettings& settings,
               base::VmId self, PeersHook on_peers);

  // Commands.

  /// Starts to write and read heartbeats. Precondition: called once.
  void Start();
  /// Stops the heartbeats and removes this daemon's row, so that other daemons
  /// take over its jobs at once instead of after the lease has expired. Failure
  /// to remove the row is only logged.
  boost::asio::awaitable<void> Deregister();

  // Queries.

  /// Returns whether the daemon has certainly lost its lease.
  bool HasLostLease(const base::VmId& daemon) const;
  /// Returns the daemons that hold a lease, including this one as long as
  /// HoldsLease().
  std::vector<base::VmId> LeaseHolders() const;
  /// Returns whether this daemon may act as the holder of its lease.
  bool HoldsLease() const;
  /// Returns this daemon.
  const base::VmId& self() const { return this->vm; }  // NOLINT
  /// Returns the peers passed to `on_peers` after the last read.
  const std::vector<PeerDaemon>& peers() const { return this->live_peers; }

 private:
  boost::asio::awaitable<void> WriteHeartbeats();
  boost::asio::awaitable<void> ReadHeartbeats();
  boost::asio::awaitable<void> RemoveStaleRows(
      const std::vector<base::VersionedRow>& rows);
  void ApplyRows(const std::vector<base::VersionedRow>& rows);

  boost::asio::any_io_executor executor;
  base::Clock clock;
  const base::RowStore& store;
  base::VmId vm;
  std::string row_value;
  PeersHook on_peers;
  policy::DaemonLeases leases;
  std::vector<PeerDaemon> live_peers;
  /// When the newest heartbeat that the store confirmed was sent.
  base::Instant heartbeat_sent_at{};
  /// The newest version of each row and when that version was first read, keyed
  /// by row key.
  std::map<std::string, std::pair<std::uint64_t, base::Instant>>
      unchanged_since;
  bool deregistered = false;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_FLEET_SERVICE_H_
