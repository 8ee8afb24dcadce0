#include "gypsumtrack/policy/config_reader.h"

#include <algorithm>
#include <string_view>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {

base::Duration ConfigReader::Jitter(base::Duration span) const {
  const std::string_view bytes(reinterpret_cast<const char*>(&this->failed),
                               sizeof(this->failed));
  const auto draw = base::Hash64(bytes, this->seed) % 1024;
  return span * static_cast<std::int64_t>(draw) / 1024;
}

void ConfigReader::OnSent(base::Instant now) {
  this->sent_at = now;
  this->last_read = now;
  this->hurried = false;
}

void ConfigReader::OnCaughtUp() {
  // The head is known as of the sending, not of the answer.
  if (this->sent_at) this->OnConfirmed(*this->sent_at);
  this->sent_at.reset();
  this->answered = true;
  this->failed = 0;
  this->held_until = {};
}

void ConfigReader::OnPart() {
  this->sent_at.reset();
  this->answered = true;
  this->failed = 0;
  this->hurried = true;
  this->held_until = {};
}

void ConfigReader::OnFailed(base::Instant now) {
  this->sent_at.reset();
  this->answered = false;
  const auto doublings = std::min<std::uint32_t>(this->failed, 8);
  const auto wait = std::min(this->timing.backoff * (1 << doublings),
                             this->timing.longest_backoff);
  ++this->failed;
  this->held_until = now + wait / 2 + this->Jitter(wait / 2);
}

bool ConfigReader::OnConfirmed(base::Instant time) {
  if (this->as_of && *this->as_of >= time) return false;
  this->as_of = time;
  return true;
}

void ConfigReader::Hurry() { this->hurried = true; }

base::Instant ConfigReader::NextRead(bool eager) const {
  if (this->in_flight()) return base::kNever;
  if (this->hurried) return this->held_until;
  const auto own_turn = this->last_read + this->timing.poll;
  if (eager) return std::max(own_turn, this->held_until);
  const auto silent_at = (this->as_of ? *this->as_of : base::Instant{}) +
                         this->timing.max_confirmation_age;
  return std::max({silent_at, own_turn, this->held_until});
}

bool ConfigReader::IsSilent(base::Instant now) const {
  return !this->as_of ||
         *this->as_of + this->timing.max_confirmation_age <= now;
}

}  // namespace gypsumtrack::policy
