#ifndef GYPSUMTRACK_POLICY_TOKEN_BUCKET_H_
#define GYPSUMTRACK_POLICY_TOKEN_BUCKET_H_

#include <atomic>
#include <cstdint>

#include "gypsumtrack/base/time.h"

/// Token buckets in integer units, so that rounding neither creates nor loses
/// tokens.
namespace gypsumtrack::policy {

/// Tokens are counted in micro-requests: a request costs this many.
inline constexpr std::int64_t kMicroRequestsPerRequest = 1'000'000;

/// A limit or a part of one.
struct Quota {
  /// Refill in micro-requests a second.
  std::int64_t rate = 0;
  /// Bucket size in micro-requests.
  std::int64_t capacity = 0;

  auto operator<=>(const Quota&) const = default;
  Quota& operator+=(const Quota& other);
  Quota& operator-=(const Quota& other);
};

// The functions on quotas are thread-safe.

/// Add or subtract rates and capacities. Results may be negative.
Quota operator+(Quota a, const Quota& b);
Quota operator-(Quota a, const Quota& b);
/// Whether both the rate and the capacity are zero.
bool IsZero(const Quota& quota);
/// Replaces a negative rate or capacity by zero.
Quota AtLeastZero(Quota quota);
/// The smaller rate and the smaller capacity of two quotas.
Quota Min(const Quota& a, const Quota& b);

/// A token bucket with continuous, exact refill. Tokens are in micro-requests.
/// Not thread-safe.
class TokenBucket {
 public:
  /// Creates an empty bucket.
  TokenBucket(Quota quota, base::Instant now);

  // Commands. Precondition of all: `now` never decreases.

  /// Refills under the old quota, then changes it. Tokens above the new
  /// capacity are lost.
  void SetQuota(Quota next, base::Instant now);
  /// Adds tokens. Tokens above the capacity are lost.
  void Add(std::int64_t tokens, base::Instant now);
  /// Takes up to `wanted` tokens; returns the number taken.
  std::int64_t Take(std::int64_t wanted, base::Instant now);
  /// Takes `wanted` tokens, or none if there are fewer.
  bool TryTake(std::int64_t wanted, base::Instant now);

  // Queries.

  /// The rate and capacity in force.
  Quota quota() const { return this->current_quota; }  // NOLINT
  /// Tokens in the bucket at `now`.
  std::int64_t Tokens(base::Instant now) const;
  /// When the bucket will hold `tokens` if none are taken; kNever if it can't.
  base::Instant AvailableAt(std::int64_t tokens, base::Instant now) const;

 private:
  void Refill(base::Instant now);
  std::int64_t PicoTokens(base::Instant now) const;

  Quota current_quota;
  /// In pico-requests (millionths of a micro-request).
  std::int64_t pico_tokens = 0;
  base::Instant refilled_at;
};

/// Whole tokens, one per request, that threads take without a lock until the
/// tokens expire. One atomic word holds the count and the expiry. Thread-safe.
class TokenSlice {
 public:
  static constexpr std::uint32_t kMaxTokens = (1U << 20) - 1;

  // Commands.

  /// Takes one token if there is one and `now` is before the expiry.
  bool TryTake(base::Instant now);
  /// Takes up to `wanted` tokens, expired ones included; returns the number
  /// taken.
  std::uint32_t Take(std::uint32_t wanted);
  /// Adds tokens, up to kMaxTokens in total, and extends the expiry of all of
  /// them to `expires`; an earlier `expires` leaves it unchanged. Returns the
  /// number added.
  std::uint32_t Add(std::uint32_t tokens, base::Instant expires);

  // Queries.

  /// Tokens left, expired ones included.
  std::uint32_t tokens() const;  // NOLINT
  /// Expiry of all tokens, in whole milliseconds; zero before the first `Add`.
  base::Instant expires() const;  // NOLINT

 private:
  /// The low 20 bits hold the tokens, the high 44 bits the expiry in
  /// milliseconds.
  std::atomic<std::uint64_t> packed = 0;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_TOKEN_BUCKET_H_
