#ifndef GYPSUMTRACK_GATEWAY_ADMISSION_H_
#define GYPSUMTRACK_GATEWAY_ADMISSION_H_

#include <boost/asio/awaitable.hpp>
#include <functional>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/rule.h"

/// Admission of requests by rate limit.
namespace gypsumtrack::gateway {

/// Whether a request is admitted, and why not.
enum class AdmissionDecision {
  kAdmitted,
  kOverRate,  ///< the organisation exceeds its rate and burst
  kIsolated,  ///< the failure domain is isolated; the rule has
              ///< `isolated=refuse`
  kNotReady,  ///< this VM has no share of the rate yet
};

/// Names of the decisions, as they appear outside the process.
inline constexpr auto kAdmissionDecisionNames =
    base::MakeEnumTable<AdmissionDecision>({
        {AdmissionDecision::kAdmitted, "admitted"},
        {AdmissionDecision::kOverRate, "over_rate"},
        {AdmissionDecision::kIsolated, "isolated"},
        {AdmissionDecision::kNotReady, "not_ready"},
    });

/// Decision on one request.
struct Admission {
  AdmissionDecision decision = AdmissionDecision::kAdmitted;
  /// When a refused caller may retry. Unspecified if admitted.
  base::Instant retry_at{};
};

/// Takes one token of the rule's rate. May wait for borrowed tokens, but not
/// past the deadline. Thread-safe.
using AdmitHook = std::function<boost::asio::awaitable<Admission>(
    const policy::Rule& rule, base::Instant deadline)>;

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_ADMISSION_H_
