#ifndef GYPSUMTRACK_POLICY_SERVING_FRESHNESS_H_
#define GYPSUMTRACK_POLICY_SERVING_FRESHNESS_H_

#include "gypsumtrack/base/time.h"

/// How old a belief may be for what is decided by it.
namespace gypsumtrack::policy {

/// The rules as they were in force at `confirmed_at`, or later: the instant at
/// which the newest successful read of them was sent.
struct FreshnessLimits {
  /// A withdrawn key must be refused within `withdrawal_bound` of its
  /// withdrawal, on every VM.
  base::Duration withdrawal_bound = std::chrono::seconds(5);
  /// A change must be in force within `change_bound` on VMs that reach the
  /// platform.
  base::Duration change_bound = std::chrono::milliseconds(2500);
};

/// Left between a check and the moment at which the endpoint sees the request.
inline constexpr base::Duration kDispatchMargin =
    std::chrono::milliseconds(400);

/// Whether a request with a key may still be sent to an endpoint.
inline bool MayUseKeys(const FreshnessLimits& limits,
                       base::Instant confirmed_at, base::Instant now) {
  return now - confirmed_at < limits.withdrawal_bound - kDispatchMargin;
}

/// Whether "no such key" or "no such route" is certain enough to be said.
inline bool MayRejectUnknown(const FreshnessLimits& limits,
                             base::Instant confirmed_at, base::Instant now) {
  return now - confirmed_at < limits.change_bound - kDispatchMargin;
}

/// From the choice of an endpoint until an item reaches it, a slow start of the
/// connection included.
inline constexpr base::Duration kItemDispatchMargin =
    std::chrono::milliseconds(700);

/// Whether items of jobs that were open at `owners_confirmed_at` may still be
/// sent to endpoints: the end of a job must stop them within `cancel_bound`,
/// also at a daemon that the store turns away.
inline bool MayStartItems(base::Duration cancel_bound,
                          base::Instant owners_confirmed_at,
                          base::Instant now) {
  return now - owners_confirmed_at < cancel_bound - kItemDispatchMargin;
}

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_FRESHNESS_H_
