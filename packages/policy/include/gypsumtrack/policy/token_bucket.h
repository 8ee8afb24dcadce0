#ifndef GYPSUMTRACK_POLICY_TOKEN_BUCKET_H_
#define GYPSUMTRACK_POLICY_TOKEN_BUCKET_H_

#include <atomic>
#include <cstdint>

#include "gypsumtrack/base/time.h"

/// Token buckets in integer units, so that no rounding makes or loses tokens.
namespace gypsumtrack::policy {

/// Micro-requests in one request.
inline constexpr std::int64_t kMicroRequestsPerRequest = 1'000'000;

/// A part of a limit: refill in micro-requests a second, capacity in
/// micro-requests.
struct Quota {
  std::int64_t rate = 0;
  std::int64_t capacity = 0;

  auto operator<=>(const Quota&) const = default;
  Quota& operator+=(const Quota& other);
  Quota& operator-=(const Quota& other);
};

Quota operator+(Quota a, const Quota& b);
Quota operator-(Quota a, const Quota& b);
bool IsZero(const Quota& quota);
/// Each part at least zero.
Quota AtLeastZero(Quota quota);
Quota Min(const Quota& a, const Quota& b);

/// Refills continuously and exactly. Tokens are in micro-requests. Not
/// thread-safe.
class TokenBucket {
 public:
  /// Starts empty.
  TokenBucket(Quota quota, base::Instant now);

  // Commands. Precondition of all: `now` doesn't fall.

  /// Refills under the old quota first; tokens above the new capacity are lost.
  void SetQuota(Quota next, base::Instant now);
  /// Tokens above the capacity are lost.
  void Add(std::int64_t tokens, base::Instant now);
  /// Takes up to `wanted`; returns what it took.
  std::int64_t Take(std::int64_t wanted, base::Instant now);
  /// Takes `wanted` or nothing.
  bool TryTake(std::int64_t wanted, base::Instant now);

  // Queries.

  Quota quota() const { return this->current; }  // NOLINT
  std::int64_t Tokens(base::Instant now) const;
  /// When `tokens` will be there if none are taken; kNever if never.
  base::Instant AvailableAt(std::int64_t tokens, base::Instant now) const;

 private:
  void Refill(base::Instant now);
  std::int64_t PicoTokens(base::Instant now) const;

  Quota current;
  /// Millionths of a micro-request.
  std::int64_t pico_tokens = 0;
  base::Instant refilled_at;
};

/// Whole tokens that threads take without a lock, until they expire. One atomic
/// word holds the count and the expiry. Thread-safe.
class TokenSlice {
 public:
  static constexpr std::uint32_t kMaxTokens = (1U << 20) - 1;

  // Commands.

  /// Takes one token if there is one and `now` is before the expiry.
  bool TryTake(base::Instant now);
  /// Takes up to `wanted`, also after the expiry; returns what it took.
  std::uint32_t Take(std::uint32_t wanted);
  /// Adds tokens, up to kMaxTokens in all, and extends the expiry of all;
  /// the expiry never moves back. Returns what it added.
  std::uint32_t Add(std::uint32_t tokens, base::Instant expires);

  // Queries.

  std::uint32_t tokens() const;   // NOLINT
  base::Instant expires() const;  // NOLINT

 private:
  /// 20 bits of tokens below 44 bits of expiry in milliseconds.
  std::atomic<std::uint64_t> word = 0;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_TOKEN_BUCKET_H_
