#include "gypsumtrack/gateway/isolated_admission.h"

#include <utility>

namespace gypsumtrack::gateway {
namespace {

/// Delay after which a refused caller may retry.
constexpr base::Duration kRetryAfter = std::chrono::seconds(5);

boost::asio::awaitable<Admission> Refuse(base::Instant now) {
  Admission refused;
  refused.decision = AdmissionDecision::kIsolated;
  refused.retry_at = now + kRetryAfter;
  co_return refused;
}

}  // namespace

AdmitHook RefuseWhenIsolated(std::function<bool()> is_isolated,
                             base::Clock clock, AdmitHook next) {
  return [is_isolated = std::move(is_isolated), clock = std::move(clock),
          next = std::move(next)](const policy::Rule& rule,
                                  base::Instant deadline) {
    const bool refuses = rule.isolated == policy::IsolatedMode::kRefuse;
    if (refuses && is_isolated()) return Refuse(clock.now());
    return next(rule, deadline);
  };
}

}  // namespace gypsumtrack::gateway
