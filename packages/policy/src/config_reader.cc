#include "gypsumtrack/policy/config_reader.h"

#include <algorithm>
#include <string_view>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {

base::Duration ConfigReader::Jitter(base::Duration max_jitter) const {
  const std::string_view bytes(
      reinterpret_cast<const char*>(&this->failure_count),
      sizeof(this->failure_count));
  const auto fraction = base::Hash64(bytes, this->seed) % 1024;
  return max_jitter * static_cast<std::int64_t>(fraction) / 1024;
}

void ConfigReader::OnReadSent(base::Instant now) {
  this->sent_at = now;
  this->last_read_at = now;
  this->read_requested = false;
}

void ConfigReader::OnCaughtUp() {
  // The response is only known to be valid as of when the read was sent.
  if (this->sent_at) this->OnHeadConfirmed(*this->sent_at);
  this->sent_at.reset();
  this->last_read_succeeded = true;
  this->failure_count = 0;
  this->backoff_until = {};
}

void ConfigReader::OnPartialRead() {
  this->sent_at.reset();
  this->last_read_succeeded = true;
  this->failure_count = 0;
  this->read_requested = true;
  this->backoff_until = {};
}

void ConfigReader::OnReadFailed(base::Instant now) {
  this->sent_at.reset();
  this->last_read_succeeded = false;
  const auto doublings = std::min<std::uint32_t>(this->failure_count, 8);
  const auto wait = std::min(this->timing.initial_backoff * (1 << doublings),
                             this->timing.max_backoff);
  ++this->failure_count;
  this->backoff_until = now + wait / 2 + this->Jitter(wait / 2);
}

bool ConfigReader::OnHeadConfirmed(base::Instant time) {
  if (this->confirmed_at && *this->confirmed_at >= time) return false;
  this->confirmed_at = time;
  return true;
}

void ConfigReader::RequestRead() { this->read_requested = true; }

base::Instant ConfigReader::NextRead(bool is_poller) const {
  if (this->in_flight()) return base::kNever;
  if (this->read_requested) return this->backoff_until;
  const auto next_poll_at = this->last_read_at + this->timing.poll_interval;
  if (is_poller) return std::max(next_poll_at, this->backoff_until);
  const auto stale_at =
      (this->confirmed_at ? *this->confirmed_at : base::Instant{}) +
      this->timing.max_confirmation_age;
  return std::max({stale_at, next_poll_at, this->backoff_until});
}

bool ConfigReader::IsConfirmationStale(base::Instant now) const {
  return !this->confirmed_at ||
         *this->confirmed_at + this->timing.max_confirmation_age <= now;
}

}  // namespace gypsumtrack::policy
