#include "gypsumtrack/policy/serving/slowdown_estimate.h"

#include <algorithm>
#include <cmath>

namespace gypsumtrack::policy {
namespace {

/// Weight of a new report against the average of those before.
constexpr double kReportWeight = 0.25;
/// Time in which what is known loses most of its weight: a run lasts about as
/// long.
constexpr std::chrono::duration<double> kMemory{1.0};
/// A larger multiple is taken for this one.
constexpr double kMaxSlowdown = 10;

}  // namespace

void SlowdownEstimate::OnReport(double slowdown, base::Instant now) {
  const auto reported = std::min(slowdown, kMaxSlowdown) - 1;
  const auto known = this->Expected(now) - 1;
  this->excess = known + kReportWeight * (reported - known);
  this->updated_at = now;
}

double SlowdownEstimate::Expected(base::Instant now) const {
  const std::chrono::duration<double> age = now - this->updated_at;
  return 1 + this->excess * std::exp(-age / kMemory);
}

}  // namespace gypsumtrack::policy
