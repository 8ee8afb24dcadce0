#include "gypsumtrack/base/time.h"

namespace gypsumtrack::base {

Clock SystemClock() {
  return Clock{
      .now =
          [] {
            const auto since_boot =
                std::chrono::steady_clock::now().time_since_epoch();
            return Instant(std::chrono::duration_cast<Duration>(since_boot));
          },
      .wall =
          [] {
            return std::chrono::time_point_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now());
          }};
}

}  // namespace gypsumtrack::base
