#include "watchdog.h"

#include <utility>

namespace gypsumtrack::gateway {

Watchdog::Watchdog(const boost::asio::any_io_executor& strand,
                   base::Clock clock, std::function<void()> on_expiry)
    : timer(strand), clock(std::move(clock)), on_expiry(std::move(on_expiry)) {}

void Watchdog::Set(base::Instant next) {
  this->deadline = next;
  this->has_expired = false;
  // If the timer expires before the stored deadline, OnTimer restarts it, so a
  // later deadline needs no timer operation here.
  if (next < this->timer_expires_at) this->StartTimer(next);
}

void Watchdog::Stop() {
  this->on_expiry = nullptr;
  this->deadline = base::kNever;
  this->timer.cancel();
}

void Watchdog::StartTimer(base::Instant expires_at) {
  this->timer_expires_at = expires_at;
  this->timer.expires_after(expires_at - this->clock.now());
  this->timer.async_wait(
      [self = this->shared_from_this()](boost::system::error_code error) {
        if (!error) self->OnTimer();
      });
}

void Watchdog::OnTimer() {
  this->timer_expires_at = base::kNever;
  if (this->deadline == base::kNever) return;
  if (this->clock.now() < this->deadline) {
    this->StartTimer(this->deadline);
    return;
  }
  this->deadline = base::kNever;
  this->has_expired = true;
  if (this->on_expiry) this->on_expiry();
}

}  // namespace gypsumtrack::gateway
