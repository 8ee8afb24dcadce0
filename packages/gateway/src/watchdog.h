#ifndef GYPSUMTRACK_GATEWAY_SRC_WATCHDOG_H_
#define GYPSUMTRACK_GATEWAY_SRC_WATCHDOG_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "gypsumtrack/base/time.h"

/// Timeouts for I/O on connections.
namespace gypsumtrack::gateway {

/// Calls a function when a deadline passes. Optimized for deadlines that are
/// moved often and rarely pass. Not thread-safe: must be used on its strand.
/// Must be owned by a shared_ptr.
class Watchdog : public std::enable_shared_from_this<Watchdog> {
 public:
  /// Calls `on_expiry` on `strand`. The deadline is initially kNever.
  Watchdog(const boost::asio::any_io_executor& strand, base::Clock clock,
           std::function<void()> on_expiry);

  /// Sets the deadline; kNever disables it. Clears expired().
  void Set(base::Instant deadline);
  /// Disables the watchdog permanently and releases `on_expiry`.
  void Stop();

  /// Whether the deadline set last has passed.
  bool expired() const { return this->has_expired; }  // NOLINT

 private:
  void StartTimer(base::Instant expires_at);
  void OnTimer();

  boost::asio::steady_timer timer;
  base::Clock clock;
  std::function<void()> on_expiry;
  base::Instant deadline = base::kNever;
  base::Instant timer_expires_at = base::kNever;
  bool has_expired = false;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_WATCHDOG_H_
