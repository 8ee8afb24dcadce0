#ifndef GYPSUMTRACK_POLICY_SERVING_REGION_LIMIT_H_
#define GYPSUMTRACK_POLICY_SERVING_REGION_LIMIT_H_

#include <optional>
#include <set>

#include "gypsumtrack/base/names.h"

/// The regions in which the operators allow requests to be served and their
/// bodies to be held.
namespace gypsumtrack::policy {

/// The allowed regions; none if all are. An empty set allows no region.
using RegionLimit = std::optional<std::set<base::Region>>;

/// Whether the limit allows the region. Thread-safe.
inline bool Allows(const RegionLimit& limit, const base::Region& region) {
  return !limit || limit->contains(region);
}

/// Returns the regions that both limits allow. Thread-safe.
inline RegionLimit Intersect(const RegionLimit& a, const RegionLimit& b) {
  if (!a) return b;
  if (!b) return a;
  std::set<base::Region> both;
  for (const auto& region : *a) {
    if (b->contains(region)) both.insert(region);
  }
  return both;
}

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_REGION_LIMIT_H_
