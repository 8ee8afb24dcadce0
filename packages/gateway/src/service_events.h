#ifndef GYPSUMTRACK_GATEWAY_SRC_SERVICE_EVENTS_H_
#define GYPSUMTRACK_GATEWAY_SRC_SERVICE_EVENTS_H_

#include "gypsumtrack/gateway/admission.h"
#include "gypsumtrack/gateway/dispatcher.h"
#include "gypsumtrack/telemetry/service_level.h"

/// How requests count in service level statistics. All functions are
/// thread-safe.
namespace gypsumtrack::gateway {

/// Returns how an admission counts.
telemetry::ServiceEvent ServiceEventOf(AdmissionDecision decision);

/// Returns how a dispatched request counts.
telemetry::ServiceEvent ServiceEventOf(const DispatchResult& result);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_SERVICE_EVENTS_H_
