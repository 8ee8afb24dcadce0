#include "online_replies.h"

#include <boost/json.hpp>
#include <set>
#include <utility>

namespace gypsumtrack::gateway {

namespace json = boost::json;

ErrorReply UnauthorizedReply() {
  return {401, "unauthorized", "The request carries no valid key."};
}

ErrorReply BodyErrorReply(const base::Error& error) {
  if (error.Is(base::Errc::kTimeout)) {
    return {408, "request_timeout", "The body came too slowly."};
  }
  return {413, "body_refused", error.message};
}

ErrorReply AccessErrorReply(const base::Error& error) {
  if (error.Is(base::Errc::kUnauthorized)) return UnauthorizedReply();
  if (error.Is(base::Errc::kForbidden)) {
    return {403, "forbidden", error.message};
  }
  return {503, "not_ready", error.message, policy::RunState::kNotRun, 1};
}

ErrorReply AdmissionErrorReply(const Admission& admission, base::Instant now) {
  ErrorReply reply;
  reply.retry_after_seconds = RetryAfterSeconds(now, admission.retry_at);
  reply.status = 503;
  switch (admission.decision) {
    case AdmissionDecision::kOverRate:
      reply.status = 429;
      reply.code = "over_rate";
      reply.message = "The organisation is over its rate.";
      return reply;
    case AdmissionDecision::kIsolated:
      reply.code = "isolated";
      reply.message = "This failure domain is cut off and the rule refuses.";
      return reply;
    default:
      reply.code = "not_ready";
      reply.message = "This VM holds no share of the rate yet.";
      return reply;
  }
}

ErrorReply DispatchErrorReply(const DispatchResult& result, base::Instant now) {
  switch (result.outcome) {
    case DispatchOutcome::kNotPermitted: {
      auto reply = UnauthorizedReply();
      reply.run = result.run;
      return reply;
    }
    case DispatchOutcome::kOverload:
      return {503, "overload", "The endpoints have no room for the request.",
              result.run, RetryAfterSeconds(now, result.retry_at)};
    case DispatchOutcome::kNoEndpoint:
      return {503, "no_endpoint", "No endpoint can take the request now.",
              result.run, 1};
    default:
      break;
  }
  switch (result.last.outcome) {
    case CallOutcome::kDeadline:
      return {504, "deadline", "The request's deadline passed.", result.run};
    case CallOutcome::kRefused:
    case CallOutcome::kConnect:
      return {503, "endpoint_unavailable", "No endpoint took the request.",
              result.run, 1};
    default:
      return {502, "endpoint_failed", "The endpoint gave no whole answer.",
              result.run};
  }
}

std::string ModelListJson(const policy::AccessSnapshot& access,
                          const base::Organisation& organisation) {
  std::set<std::string> names;
  for (const auto& rule : access.rules()) {
    const bool is_callable = rule.id.kind == policy::RuleKind::kOpen ||
                             rule.id.organisation == organisation;
    if (is_callable && !rule.id.model.empty()) names.insert(rule.id.model.text);
  }
  json::array data;
  for (const auto& name : names) {
    data.push_back(json::object{{"id", name}, {"object", "model"}});
  }
  const json::object list{{"object", "list"}, {"data", std::move(data)}};
  return json::serialize(list) + "\n";
}

}  // namespace gypsumtrack::gateway
