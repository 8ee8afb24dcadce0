#ifndef GYPSUMTRACK_GATEWAY_SERVING_FLEET_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_SERVING_FLEET_SERVICE_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gypsumtrack/base/row_store.h"
#include "gypsumtrack/gateway/serving/serving_settings.h"
#include "gypsumtrack/gateway/serving/table_follower.h"
#include "gypsumtrack/policy/serving/fleet_leases.h"
#include "gypsumtrack/policy/serving/region_limit.h"

/// Membership of the fleet: registers this daemon in the store, writes its
/// heartbeats there, follows the registrations of all daemons and reads the
/// heartbeats of those that this one watches.
namespace gypsumtrack::gateway {

/// Another daemon, as described by its registration.
struct PeerDaemon {
  base::VmId vm;
  base::Location location;
  /// `ip:port` for UDP messages.
  std::string gossip_address;
  /// Processor cores that it may use.
  double cores = 1;
  /// `ip:port` at which it opens tunnels to endpoints, and the secret that it
  /// asks for. Both are empty for a daemon of a release without tunnels.
  std::string tunnel_address;
  std::string tunnel_token;
};

/// The leases of all daemons, each renewed by heartbeats. Not thread-safe; must
/// be used on the thread of its executor.
class FleetService {
 public:
  using PeersHook = std::function<void(const std::vector<PeerDaemon>&)>;

  /// `on_peers` is called after each read of heartbeats with all registered
  /// peers but those that certainly no longer serve callers. `executor` must
  /// run on one thread. Precondition: `store` outlives the service.
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
  /// Records that a daemon reported to this one that it holds its lease.
  void OnHolderReport(const base::VmId& daemon);

  // Queries.

  /// Returns whether the daemon has certainly lost its lease.
  bool HasLostLease(const base::VmId& daemon) const;
  /// Returns the daemons that are known to hold a lease, including this one as
  /// long as HoldsLease().
  std::vector<base::VmId> LeaseHolders() const;
  /// The same, those in the allowed regions only.
  std::vector<base::VmId> LeaseHoldersIn(
      const policy::RegionLimit& allowed) const;
  /// Returns the lease holders that may take over the jobs of a daemon that has
  /// lost its lease, or of none if its VM name is empty.
  std::vector<base::VmId> Adopters(const base::VmId& lost) const;
  /// Returns whether this daemon may act as the holder of its lease.
  bool HoldsLease() const;
  /// Returns whether this daemon removes what others have left in the store: it
  /// has the smallest VM name of all lease holders. For a short time this may
  /// be true at two daemons.
  bool IsCollector() const;
  /// Returns whether this daemon is among the registered ones that it has read,
  /// so that those that were registered before it are known too.
  bool KnowsFleet() const;
  /// Returns this daemon.
  const base::VmId& self() const { return this->own.vm; }  // NOLINT
  /// Returns this daemon as it registers itself.
  const PeerDaemon& self_daemon() const { return this->own; }  // NOLINT
  /// Returns the peers passed to `on_peers` after the last read.
  const std::vector<PeerDaemon>& peers() const { return this->live_peers; }

 private:
  /// A heartbeat row whose daemon may have ended without removing it.
  struct RowAge {
    std::uint64_t version = 0;
    base::Instant unchanged_since{};
  };

  void FollowRegistrations();
  void ApplyRegistration(const base::VersionedRow& row);
  void PublishRegistrations();
  boost::asio::awaitable<void> WriteHeartbeats();
  /// Must be called when the store has confirmed a heartbeat.
  void OnHeartbeatWritten(base::Instant sent_at);
  boost::asio::awaitable<void> ReadHeartbeats();
  boost::asio::awaitable<void> ReadDomain(base::FailureDomain domain);
  void ApplyHeartbeats(const base::FailureDomain& domain,
                       const std::vector<base::VersionedRow>& rows);
  boost::asio::awaitable<void> RemoveStaleRows(
      std::vector<base::VersionedRow> rows);
  boost::asio::awaitable<void> RemoveStaleRow(const base::VersionedRow& row);
  /// Passes the peers that may serve to the hook.
  void PublishPeers();
  base::RowKey RegistrationKey() const;
  base::RowKey HeartbeatKey() const;
  /// Returns `holders` without this daemon unless it holds its lease.
  std::vector<base::VmId> WithOwnLease(std::vector<base::VmId> holders) const;

  boost::asio::any_io_executor executor;
  base::Clock clock;
  const base::RowStore& store;
  PeerDaemon own;
  PeersHook on_peers;
  policy::FleetLeases leases;
  std::shared_ptr<TableFollower> follower;
  /// All registered daemons, keyed by VM name.
  std::map<std::string, PeerDaemon> registered;
  /// Whether the registrations have ever been read.
  bool has_registrations = false;
  std::vector<PeerDaemon> live_peers;
  std::size_t holder_count = 0;
  /// The next heartbeat must write this daemon's registration as well.
  bool registration_due = true;
  /// When the newest heartbeat that the store confirmed was sent.
  base::Instant heartbeat_sent_at{};
  /// Keyed by VM name.
  std::map<std::string, RowAge> row_ages;
  bool deregistered = false;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_FLEET_SERVICE_H_
