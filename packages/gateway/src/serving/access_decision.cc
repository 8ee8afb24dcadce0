#include <fmt/format.h>

#include <boost/json.hpp>
#include <tuple>
#include <utility>

#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/gateway/http_status.h"
#include "gypsumtrack/gateway/serving/relay_service.h"

namespace gypsumtrack::gateway {
namespace {

/// Retry delay for callers when the cached rules are missing or too old.
/// Shorter than the second or so until this daemon reads the store again,
/// because another daemon may have newer rules now.
constexpr base::Duration kStaleRulesRetryAfter = std::chrono::milliseconds(200);

/// Retry delay for callers when this daemon has no room for a request. Another
/// daemon may have.
constexpr base::Duration kNoMemoryRetryAfter = std::chrono::milliseconds(200);

AccessDecision Refuse(unsigned status, std::string code,
                      base::Duration retry_after = {}) {
  AccessDecision decision;
  decision.refusal = {status, std::move(code), retry_after};
  return decision;
}

/// Refuses a request whose key or route doesn't exist in the cached rules. If
/// these are too old for the refusal to be certain, the caller is told to retry
/// instead.
AccessDecision RefuseUnknown(const ServingContext& context, unsigned status,
                             std::string code) {
  const bool current = policy::MayRejectUnknown(
      context.settings.freshness, context.store_view.confirmed_at(),
      context.clock.now());
  if (current) return Refuse(status, std::move(code));
  return Refuse(status::kUnavailable, "rules_out_of_date",
                kStaleRulesRetryAfter);
}

/// Returns the host without its port; empty if there is none.
std::string_view HostOf(const RequestHead& request) {
  const auto* header = request.Find("Host");
  if (header == nullptr) return {};
  const std::string_view host(*header);
  return host.substr(0, host.find(':'));
}

/// Adds the holder of the caller's key to the decision, or refuses.
AccessDecision CheckKey(const ServingContext& context,
                        const RequestMetadata& metadata,
                        AccessDecision decision) {
  const auto* organisation =
      policy::FindKeyHolder(*decision.rules, metadata.key);
  if (organisation == nullptr)
    return RefuseUnknown(context, status::kUnauthorized, "unknown_key");
  const bool may_use_keys = policy::MayUseKeys(
      context.settings.freshness, context.store_view.confirmed_at(),
      context.clock.now());
  if (!may_use_keys)
    return Refuse(status::kUnavailable, "rules_out_of_date",
                  kStaleRulesRetryAfter);
  decision.organisation = organisation;
  return decision;
}

}  // namespace

AccessDecision DecideAccess(const ServingContext& context,
                            const RequestHead& request,
                            const RequestMetadata& metadata) {
  AccessDecision decision;
  decision.rules = context.store_view.Current()->rules;
  if (!decision.rules) {
    return Refuse(status::kUnavailable, "no_rules_yet", kStaleRulesRetryAfter);
  }
  decision.route =
      policy::FindRoute(*decision.rules, HostOf(request), request.path);
  if (decision.route == nullptr) {
    return RefuseUnknown(context, status::kNotFound, "no_such_route");
  }
  // Rules without organisations have no keys, so requests need none.
  const bool needs_no_key =
      decision.route->allows_anonymous || decision.rules->organisations.empty();
  if (needs_no_key) return decision;
  return CheckKey(context, metadata, std::move(decision));
}

AccessDecision DecideKeyAccess(const ServingContext& context,
                               const RequestMetadata& metadata) {
  AccessDecision decision;
  decision.rules = context.store_view.Current()->rules;
  if (!decision.rules) {
    return Refuse(status::kUnavailable, "no_rules_yet", kStaleRulesRetryAfter);
  }
  if (decision.rules->organisations.empty()) return decision;
  return CheckKey(context, metadata, std::move(decision));
}

boost::asio::awaitable<void> SendRefusal(ServingContext& context,
                                         Exchange& exchange,
                                         std::string request_id,
                                         Refusal refusal) {
  base::LogEvent("refused",
                 {{"request", request_id},
                  {"status", refusal.status},
                  {"reason", refusal.code},
                  {"come_back_ms", refusal.retry_after.count() / 1000},
                  {"belief_age_ms", context.StoreViewAge().count() / 1000}});
  context.metrics.refused.Add();
  ResponseHead head;
  head.status = refusal.status;
  head.headers.push_back({"Content-Type", "application/json"});
  if (!request_id.empty()) {
    head.headers.push_back(
        {context.wire.request_id_header, std::move(request_id)});
  }
  if (refusal.retry_after > base::Duration::zero()) {
    const std::chrono::duration<double> seconds = refusal.retry_after;
    head.headers.push_back(
        {"Retry-After", fmt::format("{:.3f}", seconds.count())});
  }
  const boost::json::object error{{"code", refusal.code}};
  std::string body =
      boost::json::serialize(boost::json::object{{"error", error}});
  std::ignore = co_await exchange.Send(std::move(head), std::move(body));
}

boost::asio::awaitable<void> SendNoMemory(ServingContext& context,
                                          Exchange& exchange,
                                          std::string request_id) {
  Refusal refusal{status::kUnavailable, "no_memory", kNoMemoryRetryAfter};
  co_await SendRefusal(context, exchange, std::move(request_id),
                       std::move(refusal));
}

boost::asio::awaitable<void> RefuseUnreadBody(ServingContext& context,
                                              Exchange& exchange,
                                              std::string request_id,
                                              const base::Error& error) {
  if (error.Is(base::Errc::kCancelled)) {
    exchange.Abort();
    co_return;
  }
  if (error.Is(base::Errc::kOverload)) {
    co_await SendNoMemory(context, exchange, std::move(request_id));
    co_return;
  }
  const bool timed_out = error.Is(base::Errc::kTimeout);
  Refusal refusal{
      timed_out ? status::kRequestTimeout : status::kPayloadTooLarge,
      timed_out ? "body_too_slow" : "body_refused",
      {}};
  co_await SendRefusal(context, exchange, std::move(request_id),
                       std::move(refusal));
}

}  // namespace gypsumtrack::gateway
