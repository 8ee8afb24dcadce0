#ifndef GYPSUMTRACK_GATEWAY_ISOLATED_ADMISSION_H_
#define GYPSUMTRACK_GATEWAY_ISOLATED_ADMISSION_H_

#include <functional>

#include "gypsumtrack/base/time.h"
#include "gypsumtrack/gateway/admission.h"

/// Rules with `isolated=refuse`.
namespace gypsumtrack::gateway {

/// Refuses requests of such a rule while `isolated` says that the domain is cut
/// off; asks `next` about all others. Thread-safe if the hooks are.
AdmitHook RefuseIsolated(std::function<bool()> isolated, base::Clock clock,
                         AdmitHook next);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_ISOLATED_ADMISSION_H_
