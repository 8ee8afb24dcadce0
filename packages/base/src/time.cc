#include "gypsumtrack/base/time.h"

#include <ctime>

namespace gypsumtrack::base {
namespace {

/// Unlike CLOCK_MONOTONIC, includes the time in which the VM was suspended, so
/// that a lease can't outlive a suspension.
Instant BootTime() {
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
}

}  // namespace

Clock SystemClock() {
  return Clock{.now = BootTime, .wall = [] {
                 return std::chrono::time_point_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now());
               }};
}

}  // namespace gypsumtrack::base
