#ifndef GYPSUMTRACK_GATEWAY_ADMISSION_H_
#define GYPSUMTRACK_GATEWAY_ADMISSION_H_

#include <boost/asio/awaitable.hpp>
#include <functional>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/rule.h"

/// Whether a request is within its organisation's rate and burst.
namespace gypsumtrack::gateway {

enum class AdmissionDecision {
  kAdmitted,
  kOverRate,  ///< above rate and burst
  kIsolated,  ///< the domain is cut off and the rule says `isolated=refuse`
  kNotReady,  ///< this VM holds no share yet
};

inline constexpr auto kAdmissionDecisionNames =
    base::MakeEnumTable<AdmissionDecision>({
        {AdmissionDecision::kAdmitted, "admitted"},
        {AdmissionDecision::kOverRate, "over_rate"},
        {AdmissionDecision::kIsolated, "isolated"},
        {AdmissionDecision::kNotReady, "not_ready"},
    });

struct Admission {
  AdmissionDecision decision = AdmissionDecision::kAdmitted;
  /// When a refused caller may come back.
  base::Instant retry_at{};
};

/// Takes one request's worth of the rule's rate, waiting for borrowed tokens no
/// longer than the deadline. Thread-safe.
using AdmitHook = std::function<boost::asio::awaitable<Admission>(
    const policy::Rule& rule, base::Instant deadline)>;

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_ADMISSION_H_
