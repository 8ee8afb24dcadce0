#include <fmt/format.h>

#include <boost/json.hpp>
#include <tuple>
#include <utility>

#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/gateway/http_status.h"
#include "gypsumtrack/gateway/serving/relay_service.h"

namespace gypsumtrack::gateway {
namespace {

/// The store is asked again about every second; another daemon may know now.
constexpr base::Duration kAnotherDaemon = std::chrono::milliseconds(200);

AccessDecision Refuse(unsigned status, std::string code,
                      base::Duration come_back = {}) {
  AccessDecision decision;
  decision.refusal = {status, std::move(code), come_back};
  return decision;
}

/// A denial is said only while it is certain.
AccessDecision Deny(const ServingContext& context, unsigned status,
                    std::string code) {
  const bool certain = policy::MayRejectUnknown(
      context.settings.freshness, context.store_view.confirmed_at(),
      context.clock.now());
  if (certain) return Refuse(status, std::move(code));
  return Refuse(status::kUnavailable, "rules_out_of_date", kAnotherDaemon);
}

std::string_view HostOf(const RequestHead& request) {
  const auto* host = request.Find("Host");
  if (host == nullptr) return {};
  const std::string_view text(*host);
  return text.substr(0, text.find(':'));
}

AccessDecision CheckKey(const ServingContext& context, const CallerFacts& facts,
                        AccessDecision decision) {
  const auto* holder = policy::FindKeyHolder(*decision.rules, facts.key);
  if (holder == nullptr)
    return Deny(context, status::kUnauthorized, "unknown_key");
  const bool fresh = policy::MayUseKeys(context.settings.freshness,
                                        context.store_view.confirmed_at(),
                                        context.clock.now());
  if (!fresh)
    return Refuse(status::kUnavailable, "rules_out_of_date", kAnotherDaemon);
  decision.organisation = holder;
  return decision;
}

}  // namespace

AccessDecision DecideAccess(const ServingContext& context,
                            const RequestHead& request,
                            const CallerFacts& facts) {
  AccessDecision decision;
  decision.rules = context.store_view.Current()->rules;
  if (!decision.rules) {
    return Refuse(status::kUnavailable, "no_rules_yet", kAnotherDaemon);
  }
  decision.route =
      policy::FindRoute(*decision.rules, HostOf(request), request.path);
  if (decision.route == nullptr) {
    return Deny(context, status::kNotFound, "no_such_route");
  }
  // Without organisations nobody has a key.
  const bool open =
      decision.route->allows_anonymous || decision.rules->organisations.empty();
  if (open) return decision;
  return CheckKey(context, facts, std::move(decision));
}

AccessDecision DecideKeyAccess(const ServingContext& context,
                               const CallerFacts& facts) {
  AccessDecision decision;
  decision.rules = context.store_view.Current()->rules;
  if (!decision.rules) {
    return Refuse(status::kUnavailable, "no_rules_yet", kAnotherDaemon);
  }
  if (decision.rules->organisations.empty()) return decision;
  return CheckKey(context, facts, std::move(decision));
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

}  // namespace gypsumtrack::gateway
