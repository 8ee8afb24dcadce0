#ifndef GYPSUMTRACK_GATEWAY_SRC_LIMITS_REPORT_H_
#define GYPSUMTRACK_GATEWAY_SRC_LIMITS_REPORT_H_

#include <json/value.h>

#include "gypsumtrack/policy/limit_node.h"

namespace gypsumtrack::gateway {

/// Encodes a VM's state of a limit as JSON for operators. Rates, bursts and
/// tokens are in requests, ages in seconds. Thread-safe.
Json::Value EncodeLimitReport(const policy::LimitReport& report);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_LIMITS_REPORT_H_
