#ifndef GYPSUMTRACK_BASE_TIME_H_
#define GYPSUMTRACK_BASE_TIME_H_

#include <chrono>
#include <functional>

/// Points in time. Decisions never read a clock: the caller passes the time in,
/// so that a test can run many daemons in virtual time.
namespace gypsumtrack::base {

using Duration = std::chrono::microseconds;

/// Tag of a VM's own monotonic clock. Instants of two VMs can't be compared.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
};

/// A point on this VM's monotonic clock.
using Instant = std::chrono::time_point<MonotonicClock, Duration>;

/// A point on the calendar, UTC, for due times and audit records only.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

inline constexpr Instant kNever = Instant::max();

/// Behaviour that differs between a daemon and a test in virtual time.
struct Clock {
  /// Thread-safe.
  std::function<Instant()> now;
  /// Thread-safe.
  std::function<WallTime()> wall;
};

/// The clock of this machine. Thread-safe.
Clock SystemClock();

}  // namespace gypsumtrack::base

#endif  // GYPSUMTRACK_BASE_TIME_H_
