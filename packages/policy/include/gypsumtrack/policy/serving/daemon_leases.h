#ifndef GYPSUMTRACK_POLICY_SERVING_DAEMON_LEASES_H_
#define GYPSUMTRACK_POLICY_SERVING_DAEMON_LEASES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"

/// Tracks which daemons hold their leases, using the heartbeat rows in the
/// store.
namespace gypsumtrack::policy {

/// A heartbeat row as read from the store.
struct LeaseRow {
  base::VmId daemon;
  /// Increases with each heartbeat.
  std::uint64_t version = 0;
};

/// Timing of heartbeats and leases.
struct DaemonLeaseOptions {
  /// Interval between heartbeats, and between reads of all rows.
  base::Duration heartbeat_period = std::chrono::milliseconds(1000);
  /// A daemon loses its lease when its row hasn't changed for this long.
  base::Duration lease_duration = std::chrono::milliseconds(2700);
  /// A daemon that can't renew its lease may serve callers for this long after
  /// the lease ends, until its cached keys are too old to be used.
  base::Duration serving_grace_period = std::chrono::milliseconds(3000);
};

/// Derives the lease state of every daemon from successive reads of the
/// heartbeat rows. A lease expires only when a read shows an unchanged row:
/// queries report the state as of the last read. Not thread-safe.
class DaemonLeases {
 public:
  explicit DaemonLeases(DaemonLeaseOptions options);

  // Commands.

  /// Records all rows of one successful read. If more than two heartbeat
  /// periods have passed since the previous read, every lease starts anew,
  /// because no daemon could renew its lease while the store was unavailable.
  void Observe(const std::vector<LeaseRow>& rows, base::Instant now);

  // Queries.

  /// Returns whether the daemon has certainly lost its lease: its row was
  /// removed, belongs to another incarnation, or hasn't changed for the lease
  /// duration. Returns false before the first read.
  bool HasLostLease(const base::VmId& daemon) const;
  /// Returns whether the daemon may still serve callers, with or without a
  /// lease.
  bool MayServe(const base::VmId& daemon) const;
  /// Returns the daemons that hold a lease.
  std::vector<base::VmId> Holders() const;

 private:
  /// Last known heartbeat of a daemon.
  struct Heartbeat {
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    base::Instant changed_at{};
  };

  bool Expired(const Heartbeat& heartbeat) const;
  /// Returns null if there is no row of this incarnation of the daemon.
  const Heartbeat* Find(const base::VmId& daemon) const;

  DaemonLeaseOptions options;
  /// Keyed by VM name.
  std::map<std::string, Heartbeat> heartbeats;
  base::Instant read_at{};
  bool has_read = false;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_DAEMON_LEASES_H_
