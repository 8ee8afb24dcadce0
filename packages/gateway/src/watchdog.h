#ifndef GYPSUMTRACK_GATEWAY_SRC_WATCHDOG_H_
#define GYPSUMTRACK_GATEWAY_SRC_WATCHDOG_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "gypsumtrack/base/time.h"

/// A deadline that moves often and rarely passes.
namespace gypsumtrack::gateway {

/// Calls a hook when a stored deadline passes. Used on one strand.
class Watchdog : public std::enable_shared_from_this<Watchdog> {
 public:
  Watchdog(const boost::asio::any_io_executor& strand, base::Clock clock,
           std::function<void()> on_expiry);

  /// Moves the deadline; kNever disarms. Clears expired().
  void Set(base::Instant deadline);
  /// Ends it for good: the hook isn't called any more.
  void Stop();

  /// Whether the deadline set last has passed.
  bool expired() const { return this->has_expired; }  // NOLINT

 private:
  void Wait(base::Instant until);
  void OnTimer();

  boost::asio::steady_timer timer;
  base::Clock clock;
  std::function<void()> on_expiry;
  base::Instant deadline = base::kNever;
  base::Instant waiting_until = base::kNever;
  bool has_expired = false;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_WATCHDOG_H_
