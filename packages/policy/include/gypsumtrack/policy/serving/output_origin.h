#ifndef GYPSUMTRACK_POLICY_SERVING_OUTPUT_ORIGIN_H_
#define GYPSUMTRACK_POLICY_SERVING_OUTPUT_ORIGIN_H_

#include <compare>
#include <string>

#include "gypsumtrack/base/names.h"

/// Who began a stream or the output of an item.
namespace gypsumtrack::policy {

/// The endpoints that can continue an output: those of the service and of the
/// software version that began it. What two origins write doesn't fit together.
struct OutputOrigin {
  base::Service service;
  std::string version;

  auto operator<=>(const OutputOrigin&) const = default;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_OUTPUT_ORIGIN_H_
