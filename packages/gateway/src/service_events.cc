#include "service_events.h"

namespace gypsumtrack::gateway {

telemetry::ServiceEvent ServiceEventOf(AdmissionDecision decision) {
  switch (decision) {
    case AdmissionDecision::kAdmitted:
      return telemetry::ServiceEvent::kServed;
    case AdmissionDecision::kOverRate:
      return telemetry::ServiceEvent::kRefusedOverRate;
    case AdmissionDecision::kIsolated:
      return telemetry::ServiceEvent::kRefusedIsolated;
    case AdmissionDecision::kNotReady:
      return telemetry::ServiceEvent::kRefusedNoShare;
  }
  return telemetry::ServiceEvent::kFailed;
}

telemetry::ServiceEvent ServiceEventOf(const DispatchResult& result) {
  constexpr unsigned kFirstServerError = 500;
  if (result.outcome == DispatchOutcome::kNotPermitted) {
    return telemetry::ServiceEvent::kRefusedCaller;
  }
  if (result.outcome == DispatchOutcome::kResponded) {
    return result.last.head.status < kFirstServerError
               ? telemetry::ServiceEvent::kServed
               : telemetry::ServiceEvent::kFailed;
  }
  return result.run == policy::RunState::kNotRun
             ? telemetry::ServiceEvent::kRefusedOverload
             : telemetry::ServiceEvent::kFailed;
}

}  // namespace gypsumtrack::gateway
