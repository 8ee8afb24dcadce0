#ifndef GYPSUMTRACK_POLICY_SERVING_FLEET_LEASES_H_
#define GYPSUMTRACK_POLICY_SERVING_FLEET_LEASES_H_

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/serving/daemon_leases.h"

/// Decides whose heartbeats a daemon reads and who takes over the jobs of a
/// lost daemon. In a small fleet each daemon reads all heartbeats. In a large
/// one, where that would grow with the square of the fleet, it reads those of
/// its own failure domain, and those of another domain only while no daemon
/// there reports that it holds its lease.
namespace gypsumtrack::policy {

/// Timing and sizes of the watch.
struct FleetLeasesOptions {
  DaemonLeaseOptions leases;
  /// Up to this many daemons, each reads the heartbeats of all.
  std::size_t max_fully_watched_daemons = 32;
  /// A domain is read from outside when none of its daemons has reported for
  /// this long that it holds its lease.
  base::Duration max_silence = std::chrono::milliseconds(2000);
  /// A daemon without a heartbeat row counts as lost only this long after its
  /// registration was seen, because the two are read at different times.
  base::Duration registration_grace_period = std::chrono::milliseconds(2500);
};

/// A daemon as it has registered itself in the store.
struct RegisteredDaemon {
  base::VmId vm;
  base::FailureDomain domain;
};

/// The leases of a fleet's daemons as one of them sees them. Not thread-safe.
class FleetLeases {
 public:
  FleetLeases(base::FailureDomain own_domain, FleetLeasesOptions options);

  // Commands.

  /// Replaces the registered daemons, including this one.
  void SetRegistered(const std::vector<RegisteredDaemon>& daemons,
                     base::Instant now);
  /// Records that a daemon reported to this one that it holds its lease.
  void OnHolderReport(const base::VmId& daemon, base::Instant now);
  /// Records all heartbeat rows of a domain, from one successful read.
  void ObserveDomain(const base::FailureDomain& domain,
                     const std::vector<LeaseRow>& rows, base::Instant now);

  // Queries.

  /// Returns the domains whose heartbeat rows are to be read now.
  std::vector<base::FailureDomain> DomainsToRead(base::Instant now) const;
  /// Returns whether the daemon has certainly lost its lease.
  bool HasLostLease(const base::VmId& daemon, base::Instant now) const;
  /// Returns whether the daemon may still serve callers.
  bool MayServe(const base::VmId& daemon, base::Instant now) const;
  /// Returns the daemons that are known to hold a lease.
  std::vector<base::VmId> Holders(base::Instant now) const;
  /// Returns the daemons that may take over what `lost` has left: the lease
  /// holders of its domain, or all if there is none or the domain is unknown.
  /// Empty if the domain isn't this daemon's and has holders of its own.
  std::vector<base::VmId> Adopters(const base::VmId& lost,
                                   base::Instant now) const;

 private:
  struct Registration {
    std::uint64_t incarnation = 0;
    base::FailureDomain domain;
    base::Instant seen_at{};
    /// When it last reported that it holds its lease.
    base::Instant reported_at{};
  };
  struct Domain {
    explicit Domain(const DaemonLeaseOptions& options) : leases(options) {}

    DaemonLeases leases;
    /// When its heartbeats were last read.
    base::Instant read_at = base::Instant::min();
    /// When a daemon of it was first seen, or last reported that it holds its
    /// lease.
    base::Instant reported_at{};
    std::size_t daemon_count = 0;
  };

  bool IsFullyWatched() const;
  /// Whether the domain's heartbeats were read so recently that they count.
  bool IsWatched(const Domain& domain, base::Instant now) const;
  /// Returns null if this incarnation of the daemon isn't registered.
  const Registration* Find(const base::VmId& daemon) const;
  std::vector<base::VmId> HoldersIn(const base::FailureDomain& domain,
                                    base::Instant now) const;

  base::FailureDomain own_domain;
  FleetLeasesOptions options;
  /// Keyed by VM name.
  std::unordered_map<std::string, Registration> registered;
  std::map<base::FailureDomain, Domain> domains;
  bool has_registered = false;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_FLEET_LEASES_H_
