#include "watchdog.h"

#include <utility>

namespace gypsumtrack::gateway {

Watchdog::Watchdog(const boost::asio::any_io_executor& strand,
                   base::Clock clock, std::function<void()> on_expiry)
    : timer(strand), clock(std::move(clock)), on_expiry(std::move(on_expiry)) {}

void Watchdog::Set(base::Instant next) {
  this->deadline = next;
  this->has_expired = false;
  // A timer that fires early looks at the stored deadline and waits again.
  if (next < this->waiting_until) this->Wait(next);
}

void Watchdog::Stop() {
  this->on_expiry = nullptr;
  this->deadline = base::kNever;
  this->timer.cancel();
}

void Watchdog::Wait(base::Instant until) {
  this->waiting_until = until;
  this->timer.expires_after(until - this->clock.now());
  this->timer.async_wait(
      [self = this->shared_from_this()](boost::system::error_code error) {
        if (!error) self->OnTimer();
      });
}

void Watchdog::OnTimer() {
  this->waiting_until = base::kNever;
  if (this->deadline == base::kNever) return;
  if (this->clock.now() < this->deadline) {
    this->Wait(this->deadline);
    return;
  }
  this->deadline = base::kNever;
  this->has_expired = true;
  if (this->on_expiry) this->on_expiry();
}

}  // namespace gypsumtrack::gateway
