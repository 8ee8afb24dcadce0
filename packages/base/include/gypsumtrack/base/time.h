#ifndef GYPSUMTRACK_BASE_TIME_H_
#define GYPSUMTRACK_BASE_TIME_H_

#include <chrono>
#include <functional>

/// Clock and time types. Decision code never reads a clock: its caller passes
/// the time, so that a test can run many daemons in virtual time.
namespace gypsumtrack::base {

/// A time span in microseconds.
using Duration = std::chrono::microseconds;

/// Clock tag for `Instant`. Instants of different VMs aren't comparable.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
};

/// A point on this VM's monotonic clock.
using Instant = std::chrono::time_point<MonotonicClock, Duration>;

/// UTC calendar time in milliseconds, for due times and audit records only.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Later than any other instant.
inline constexpr Instant kNever = Instant::max();

/// Time source: the system clock in a daemon, virtual time in tests.
struct Clock {
  /// Returns the monotonic time. Thread-safe.
  std::function<Instant()> now;
  /// Returns the calendar time. Thread-safe.
  std::function<WallTime()> wall;
};

/// Returns the operating system's clock. Its monotonic time includes the time
/// in which the VM was suspended. Thread-safe.
Clock SystemClock();

}  // namespace gypsumtrack::base

#endif  // GYPSUMTRACK_BASE_TIME_H_
