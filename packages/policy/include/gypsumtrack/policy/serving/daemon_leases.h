#ifndef GYPSUMTRACK_POLICY_SERVING_DAEMON_LEASES_H_
#define GYPSUMTRACK_POLICY_SERVING_DAEMON_LEASES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"

/// Which daemons still hold their leases, by the heartbeat rows in the store.
namespace gypsumtrack::policy {

/// A heartbeat row as read from the store.
struct LeaseRow {
  base::VmId daemon;
  /// Rises with each heartbeat.
  std::uint64_t version = 0;
};

struct DaemonLeaseOptions {
  base::Duration heartbeat_period = std::chrono::milliseconds(1000);
  /// A daemon whose row hasn't changed for so long has lost its lease.
  base::Duration lease = std::chrono::milliseconds(2700);
  /// A daemon that can't renew its lease may go on serving callers for so long
  /// after it: until what it knows of keys is too old.
  base::Duration serves_on = std::chrono::milliseconds(3000);
};

/// Not thread-safe; used on one thread.
class DaemonLeases {
 public:
  explicit DaemonLeases(DaemonLeaseOptions options);

  // Commands.

  /// All rows of one successful read. After a gap between reads each daemon
  /// has its whole lease again: while the store was away none could renew it.
  void Observe(const std::vector<LeaseRow>& rows, base::Instant now);

  // Queries.

  /// Whether the daemon surely lost its lease: its row is gone, belongs to a
  /// later start, or has stood still. False while nothing was read.
  bool HasLostLease(const base::VmId& daemon) const;
  /// Whether the daemon may be serving callers, with or without its lease.
  bool MayServe(const base::VmId& daemon) const;
  /// Daemons that hold a lease.
  std::vector<base::VmId> Holders() const;

 private:
  struct Seen {
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    base::Instant changed_at{};
  };

  bool Expired(const Seen& seen) const;
  const Seen* Find(const base::VmId& daemon) const;

  DaemonLeaseOptions options;
  std::map<std::string, Seen> daemons;
  base::Instant read_at{};
  bool has_read = false;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_DAEMON_LEASES_H_
