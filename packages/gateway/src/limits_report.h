#ifndef GYPSUMTRACK_GATEWAY_SRC_LIMITS_REPORT_H_
#define GYPSUMTRACK_GATEWAY_SRC_LIMITS_REPORT_H_

#include <json/value.h>

#include "gypsumtrack/policy/limit_node.h"

namespace gypsumtrack::gateway {

/// What a VM knows of a limit, for operators. Thread-safe.
Json::Value EncodeLimitReport(const policy::LimitReport& report);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_LIMITS_REPORT_H_
