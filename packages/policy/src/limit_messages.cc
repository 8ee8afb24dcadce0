#include "gypsumtrack/policy/limit_messages.h"

#include <fmt/format.h>

#include <cmath>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {

LimitKey LimitKeyOf(const RuleIdentity& rule) {
  const auto identity =
      fmt::format("{}\n{}\n{}\n{}", rule.service.text, rule.model.text,
                  rule.route.method, rule.route.path_prefix);
  const auto digest = static_cast<std::uint32_t>(base::Hash64(identity));
  return LimitKey(fmt::format("{}:{:08x}", rule.organisation.text, digest));
}

Limit LimitOf(const Rule& rule) {
  Limit limit;
  limit.quota.rate =
      std::llround(rule.rate_per_second * kMicroRequestsPerRequest);
  limit.quota.capacity =
      static_cast<std::int64_t>(rule.burst) * kMicroRequestsPerRequest;
  limit.isolated = rule.isolated;
  return limit;
}

base::Duration WithClockSlack(base::Duration duration) {
  return duration + duration * 3 / 100;
}

std::int64_t WithClockSlack(std::int64_t rate) { return rate * 100 / 101; }

}  // namespace gypsumtrack::policy
