#ifndef GYPSUMTRACK_POLICY_SERVING_FRESHNESS_H_
#define GYPSUMTRACK_POLICY_SERVING_FRESHNESS_H_

#include "gypsumtrack/base/time.h"

/// How old a cached view of the store's rows may be for the decisions that are
/// made from it. All functions are pure and thread-safe.
///
/// A view is confirmed at the instant at which the request of the newest
/// successful read was sent: the view holds the rows as of then, or later.
namespace gypsumtrack::policy {

/// Bounds on the time within which a change of the rules must take effect.
struct FreshnessLimits {
  /// A withdrawn key must be refused on every VM within this time after its
  /// withdrawal.
  base::Duration withdrawal_bound = std::chrono::seconds(5);
  /// A change must take effect within this time on VMs that can reach the
  /// platform.
  base::Duration change_bound = std::chrono::milliseconds(2500);
};

/// Time allowed from a freshness check until the endpoint receives the request.
inline constexpr base::Duration kDispatchMargin =
    std::chrono::milliseconds(400);

/// Returns whether a request with a key may still be sent to an endpoint, given
/// when the cached rules were confirmed.
inline bool MayUseKeys(const FreshnessLimits& limits,
                       base::Instant confirmed_at, base::Instant now) {
  return now - confirmed_at < limits.withdrawal_bound - kDispatchMargin;
}

/// Returns whether the cached rules are recent enough to reject a request
/// because its key or its route doesn't exist.
inline bool MayRejectUnknown(const FreshnessLimits& limits,
                             base::Instant confirmed_at, base::Instant now) {
  return now - confirmed_at < limits.change_bound - kDispatchMargin;
}

/// Time allowed from the choice of an endpoint until it receives an item. It
/// includes a slow connection setup.
inline constexpr base::Duration kItemDispatchMargin =
    std::chrono::milliseconds(700);

/// Returns whether items of a job may still be sent, given that the job was
/// open at `ownership_confirmed_at`. Items must stop within `cancel_bound`
/// after the end of their job, also on a daemon whose reads the store rejects.
inline bool MayStartItems(base::Duration cancel_bound,
                          base::Instant ownership_confirmed_at,
                          base::Instant now) {
  return now - ownership_confirmed_at < cancel_bound - kItemDispatchMargin;
}

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_FRESHNESS_H_
