#include "gypsumtrack/policy/token_bucket.h"

#include <algorithm>
#include <chrono>

namespace gypsumtrack::policy {
namespace {

constexpr std::int64_t kPico = 1'000'000;
constexpr int kTokenBits = 20;
constexpr std::uint64_t kTokenMask = TokenSlice::kMaxTokens;

std::uint32_t TokensOf(std::uint64_t word) {
  return static_cast<std::uint32_t>(word & kTokenMask);
}

std::uint64_t ExpiryOf(std::uint64_t word) { return word >> kTokenBits; }

/// Whole milliseconds, rounded down: a slice expires early, never late.
std::uint64_t Milliseconds(base::Instant at) {
  const auto since = at.time_since_epoch();
  if (since.count() <= 0) return 0;
  return static_cast<std::uint64_t>(
      std::chrono::floor<std::chrono::milliseconds>(since).count());
}

}  // namespace

Quota& Quota::operator+=(const Quota& other) {
  this->rate += other.rate;
  this->capacity += other.capacity;
  return *this;
}

Quota& Quota::operator-=(const Quota& other) {
  this->rate -= other.rate;
  this->capacity -= other.capacity;
  return *this;
}

Quota operator+(Quota a, const Quota& b) { return a += b; }
Quota operator-(Quota a, const Quota& b) { return a -= b; }
bool IsZero(const Quota& quota) {
  return quota.rate == 0 && quota.capacity == 0;
}

Quota AtLeastZero(Quota quota) {
  return {std::max<std::int64_t>(quota.rate, 0),
          std::max<std::int64_t>(quota.capacity, 0)};
}

Quota Min(const Quota& a, const Quota& b) {
  return {std::min(a.rate, b.rate), std::min(a.capacity, b.capacity)};
}

TokenBucket::TokenBucket(Quota quota, base::Instant now)
    : current(quota), refilled_at(now) {}

void TokenBucket::SetQuota(Quota next, base::Instant now) {
  this->Refill(now);
  this->current = next;
  this->pico_tokens = std::min(this->pico_tokens, next.capacity * kPico);
}

void TokenBucket::Add(std::int64_t tokens, base::Instant now) {
  this->Refill(now);
  this->pico_tokens = std::min(this->pico_tokens + tokens * kPico,
                               this->current.capacity * kPico);
}

std::int64_t TokenBucket::Take(std::int64_t wanted, base::Instant now) {
  this->Refill(now);
  const auto taken = std::min(wanted, this->pico_tokens / kPico);
  this->pico_tokens -= taken * kPico;
  return taken;
}

bool TokenBucket::TryTake(std::int64_t wanted, base::Instant now) {
  this->Refill(now);
  if (this->pico_tokens / kPico < wanted) return false;
  this->pico_tokens -= wanted * kPico;
  return true;
}

std::int64_t TokenBucket::Tokens(base::Instant now) const {
  return this->PicoTokens(now) / kPico;
}

base::Instant TokenBucket::AvailableAt(std::int64_t tokens,
                                       base::Instant now) const {
  const auto missing = tokens * kPico - this->PicoTokens(now);
  if (missing <= 0) return now;
  if (tokens > this->current.capacity || this->current.rate <= 0) {
    return base::kNever;
  }
  const auto wait = missing / this->current.rate + 1;
  return now + base::Duration(wait);
}

void TokenBucket::Refill(base::Instant now) {
  this->pico_tokens = this->PicoTokens(now);
  this->refilled_at = std::max(this->refilled_at, now);
}

std::int64_t TokenBucket::PicoTokens(base::Instant now) const {
  const auto full = this->current.capacity * kPico;
  const auto elapsed = (now - this->refilled_at).count();
  if (elapsed <= 0 || this->current.rate <= 0) {
    return std::min(this->pico_tokens, full);
  }
  const auto missing = std::max<std::int64_t>(full - this->pico_tokens, 0);
  if (elapsed > missing / this->current.rate) return full;
  return this->pico_tokens + this->current.rate * elapsed;
}

bool TokenSlice::TryTake(base::Instant now) {
  const auto at = Milliseconds(now);
  auto seen = this->word.load(std::memory_order_relaxed);
  while (TokensOf(seen) > 0 && at < ExpiryOf(seen)) {
    if (this->word.compare_exchange_weak(seen, seen - 1,
                                         std::memory_order_acq_rel)) {
      return true;
    }
  }
  return false;
}

std::uint32_t TokenSlice::Take(std::uint32_t wanted) {
  auto seen = this->word.load(std::memory_order_relaxed);
  for (;;) {
    const auto taken = std::min(wanted, TokensOf(seen));
    if (this->word.compare_exchange_weak(seen, seen - taken,
                                         std::memory_order_acq_rel)) {
      return taken;
    }
  }
}

std::uint32_t TokenSlice::Add(std::uint32_t tokens, base::Instant expires) {
  const auto expiry = Milliseconds(expires);
  auto seen = this->word.load(std::memory_order_relaxed);
  for (;;) {
    const auto added = std::min(tokens, kMaxTokens - TokensOf(seen));
    const auto next = (std::max(expiry, ExpiryOf(seen)) << kTokenBits) |
                      (TokensOf(seen) + added);
    if (this->word.compare_exchange_weak(seen, next,
                                         std::memory_order_acq_rel)) {
      return added;
    }
  }
}

std::uint32_t TokenSlice::tokens() const {
  return TokensOf(this->word.load(std::memory_order_acquire));
}

base::Instant TokenSlice::expires() const {
  const auto expiry = ExpiryOf(this->word.load(std::memory_order_acquire));
  return base::Instant(std::chrono::milliseconds(expiry));
}

}  // namespace gypsumtrack::policy
