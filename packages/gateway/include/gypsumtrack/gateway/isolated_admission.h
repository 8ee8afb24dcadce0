#ifndef GYPSUMTRACK_GATEWAY_ISOLATED_ADMISSION_H_
#define GYPSUMTRACK_GATEWAY_ISOLATED_ADMISSION_H_

#include <functional>

#include "gypsumtrack/base/time.h"
#include "gypsumtrack/gateway/admission.h"

/// Admission by rules with `isolated=refuse`.
namespace gypsumtrack::gateway {

/// Returns a hook that refuses requests of rules with `isolated=refuse` while
/// `is_isolated` returns true, and passes all others to `next`. Thread-safe if
/// the hooks are.
AdmitHook RefuseWhenIsolated(std::function<bool()> is_isolated,
                             base::Clock clock, AdmitHook next);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_ISOLATED_ADMISSION_H_
