#include "gypsumtrack/policy/token_bucket.h"

#include <algorithm>
#include <chrono>

namespace gypsumtrack::policy {
namespace {

/// Pico-requests in a micro-request.
constexpr std::int64_t kPicoPerMicro = 1'000'000;
constexpr int kTokenBits = 20;
constexpr std::uint64_t kTokenMask = TokenSlice::kMaxTokens;

std::uint32_t TokensOf(std::uint64_t packed) {
  return static_cast<std::uint32_t>(packed & kTokenMask);
}

std::uint64_t ExpiryOf(std::uint64_t packed) { return packed >> kTokenBits; }

/// Rounds down to whole milliseconds: a slice may expire early, never late.
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
    : current_quota(quota), refilled_at(now) {}

void TokenBucket::SetQuota(Quota next, base::Instant now) {
  this->Refill(now);
  this->current_quota = next;
  this->pico_tokens =
      std::min(this->pico_tokens, next.capacity * kPicoPerMicro);
}

void TokenBucket::Add(std::int64_t tokens, base::Instant now) {
  this->Refill(now);
  this->pico_tokens = std::min(this->pico_tokens + tokens * kPicoPerMicro,
                               this->current_quota.capacity * kPicoPerMicro);
}

std::int64_t TokenBucket::Take(std::int64_t wanted, base::Instant now) {
  this->Refill(now);
  const auto taken = std::min(wanted, this->pico_tokens / kPicoPerMicro);
  this->pico_tokens -= taken * kPicoPerMicro;
  return taken;
}

bool TokenBucket::TryTake(std::int64_t wanted, base::Instant now) {
  this->Refill(now);
  if (this->pico_tokens / kPicoPerMicro < wanted) return false;
  this->pico_tokens -= wanted * kPicoPerMicro;
  return true;
}

std::int64_t TokenBucket::Tokens(base::Instant now) const {
  return this->PicoTokens(now) / kPicoPerMicro;
}

base::Instant TokenBucket::AvailableAt(std::int64_t tokens,
                                       base::Instant now) const {
  const auto missing = tokens * kPicoPerMicro - this->PicoTokens(now);
  if (missing <= 0) return now;
  if (tokens > this->current_quota.capacity || this->current_quota.rate <= 0) {
    return base::kNever;
  }
  const auto wait = missing / this->current_quota.rate + 1;
  return now + base::Duration(wait);
}

void TokenBucket::Refill(base::Instant now) {
  this->pico_tokens = this->PicoTokens(now);
  this->refilled_at = std::max(this->refilled_at, now);
}

std::int64_t TokenBucket::PicoTokens(base::Instant now) const {
  const auto full = this->current_quota.capacity * kPicoPerMicro;
  const auto elapsed = (now - this->refilled_at).count();
  if (elapsed <= 0 || this->current_quota.rate <= 0) {
    return std::min(this->pico_tokens, full);
  }
  const auto missing = std::max<std::int64_t>(full - this->pico_tokens, 0);
  if (elapsed > missing / this->current_quota.rate) return full;
  return this->pico_tokens + this->current_quota.rate * elapsed;
}

bool TokenSlice::TryTake(base::Instant now) {
  const auto at = Milliseconds(now);
  auto current = this->packed.load(std::memory_order_relaxed);
  while (TokensOf(current) > 0 && at < ExpiryOf(current)) {
    if (this->packed.compare_exchange_weak(current, current - 1,
                                           std::memory_order_acq_rel)) {
      return true;
    }
  }
  return false;
}

std::uint32_t TokenSlice::Take(std::uint32_t wanted) {
  auto current = this->packed.load(std::memory_order_relaxed);
  for (;;) {
    const auto taken = std::min(wanted, TokensOf(current));
    if (this->packed.compare_exchange_weak(current, current - taken,
                                           std::memory_order_acq_rel)) {
      return taken;
    }
  }
}

std::uint32_t TokenSlice::Add(std::uint32_t tokens, base::Instant expires) {
  const auto expiry = Milliseconds(expires);
  auto current = this->packed.load(std::memory_order_relaxed);
  for (;;) {
    const auto added = std::min(tokens, kMaxTokens - TokensOf(current));
    const auto next = (std::max(expiry, ExpiryOf(current)) << kTokenBits) |
                      (TokensOf(current) + added);
    if (this->packed.compare_exchange_weak(current, next,
                                           std::memory_order_acq_rel)) {
      return added;
    }
  }
}

std::uint32_t TokenSlice::tokens() const {
  return TokensOf(this->packed.load(std::memory_order_acquire));
}

base::Instant TokenSlice::expires() const {
  const auto expiry = ExpiryOf(this->packed.load(std::memory_order_acquire));
  return base::Instant(std::chrono::milliseconds(expiry));
}

}  // namespace gypsumtrack::policy
