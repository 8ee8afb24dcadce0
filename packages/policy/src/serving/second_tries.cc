#include "gypsumtrack/policy/serving/second_tries.h"

#include <algorithm>
#include <cmath>

namespace gypsumtrack::policy {
namespace {

constexpr double kFirstBoundMillis = 1;
constexpr double kBoundGrowth = 1.125;
/// The counts are halved at this total, so that recent times weigh more.
constexpr std::uint32_t kMaxSamples = 1024;
/// Weight of a response in the recent share of late ones.
constexpr double kLateWeight = 0.05;

double Millis(base::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

SecondTries::SecondTries(SecondTryOptions tries_options)
    : options(tries_options) {}

std::size_t SecondTries::BucketOf(base::Duration took) {
  const auto millis = std::max(Millis(took), kFirstBoundMillis);
  const auto steps =
      std::log(millis / kFirstBoundMillis) / std::log(kBoundGrowth);
  return std::min(static_cast<std::size_t>(steps), kBuckets - 1);
}

base::Duration SecondTries::UpperBound(std::size_t bucket) {
  const std::chrono::duration<double, std::milli> bound(
      kFirstBoundMillis *
      std::pow(kBoundGrowth, static_cast<double>(bucket + 1)));
  return std::chrono::duration_cast<base::Duration>(bound);
}

void SecondTries::OnRequest(const std::string& route) {
  if (this->options.max_share <= 0) return;
  auto& known = this->routes[route];
  known.budget =
      std::min(known.budget + this->options.max_share, this->options.max_saved);
}

void SecondTries::OnFirstEvent(const std::string& route, base::Duration took) {
  if (this->options.max_share <= 0) return;
  auto& known = this->routes[route];
  const auto late_after = this->LateAfter(known);
  const bool is_late = late_after && took > *late_after;
  known.late_share += kLateWeight * ((is_late ? 1 : 0) - known.late_share);
  ++known.counts[BucketOf(took)];
  if (++known.total < kMaxSamples) return;
  known.total = 0;
  for (auto& count : known.counts) {
    count /= 2;
    known.total += count;
  }
}

std::optional<base::Duration> SecondTries::LateAfter(const Route& route) const {
  if (route.total < this->options.min_samples) return std::nullopt;
  const auto rank = static_cast<std::uint32_t>(
      std::ceil(this->options.late_quantile * route.total));
  std::uint32_t below = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    below += route.counts[i];
    if (below >= rank) return std::max(UpperBound(i), this->options.min_delay);
  }
  return std::nullopt;
}

std::optional<base::Duration> SecondTries::LateAfter(
    const std::string& route) const {
  const auto found = this->routes.find(route);
  if (found == this->routes.end()) return std::nullopt;
  return this->LateAfter(found->second);
}

SecondTry SecondTries::Take(const std::string& route, base::Duration waited) {
  if (this->options.max_share <= 0) return SecondTry::kOff;
  auto& known = this->routes[route];
  const auto late_after = this->LateAfter(known);
  if (!late_after) return SecondTry::kUnknownTimes;
  if (waited < *late_after) return SecondTry::kNotLate;
  if (known.late_share > this->options.max_late_share)
    return SecondTry::kManyLate;
  if (known.budget < 1) return SecondTry::kOverBudget;
  known.budget -= 1;
  known.late_share += kLateWeight * (1 - known.late_share);
  return SecondTry::kGranted;
}

}  // namespace gypsumtrack::policy
