#include "gypsumtrack/gateway/online_service.h"

#include <boost/json.hpp>
#include <memory>
#include <set>
#include <tuple>
#include <utility>

#include "caller_headers.h"
#include "generation.h"
#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/gateway/error_reply.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::string_view kServicePrefix = "/s/";
/// Prompts that share this many bytes are sent where the prefix is cached.
constexpr std::size_t kAffinityBytes = 256;

/// A request that may go on: who asks, and by which rule.
struct Grant {
  std::string key_hash;
  base::Organisation organisation;
  policy::Rule rule;
  /// By an open rule, without a key.
  bool open = false;
};

struct AccessQuestion {
  base::Service service;
  base::Model model;
  std::string method;
  std::string path;
};

ErrorReply Unauthorized() {
  return {401, "unauthorized", "The request carries no valid key."};
}

/// What callers are told when no whole answer came.
ErrorReply FailureReply(const DispatchResult& result) {
  switch (result.end) {
    case DispatchEnd::kNotPermitted: {
      auto reply = Unauthorized();
      reply.run = result.run;
      return reply;
    }
    case DispatchEnd::kNoEndpoint:
      return {503, "no_endpoint", "No endpoint can take the request now.",
              result.run, 1};
    default:
      break;
  }
  switch (result.last.end) {
    case CallEnd::kDeadline:
      return {504, "deadline", "The request's deadline passed.", result.run};
    case CallEnd::kRefused:
    case CallEnd::kConnect:
      return {503, "endpoint_unavailable", "No endpoint took the request.",
              result.run, 1};
    default:
      return {502, "endpoint_failed", "The endpoint gave no whole answer.",
              result.run};
  }
}

/// The head of a whole answer that this gateway writes itself.
ResponseHead AnswerHead(std::string content_type) {
  ResponseHead head;
  head.headers.push_back({"Content-Type", std::move(content_type)});
  head.headers.push_back({kRunHeader, std::string(policy::kRunStateNames.Name(
                                          policy::RunState::kRan))});
  return head;
}

ResponseHead StreamHead() {
  auto head = AnswerHead("text/event-stream");
  head.headers.push_back({"Cache-Control", "no-cache"});
  return head;
}

/// The models that the organisation may call.
std::string ModelList(const policy::AccessSnapshot& access,
                      const base::Organisation& organisation) {
  std::set<std::string> names;
  for (const auto& rule : access.rules()) {
    const bool theirs = rule.id.kind == policy::RuleKind::kOpen ||
                        rule.id.organisation == organisation;
    if (theirs && !rule.id.model.empty()) names.insert(rule.id.model.text);
  }
  json::array data;
  for (const auto& name : names) {
    data.push_back(json::object{{"id", name}, {"object", "model"}});
  }
  const json::object list{{"object", "list"}, {"data", std::move(data)}};
  return json::serialize(list) + "\n";
}

std::string EventText(std::string_view data) {
  return "data: " + std::string(data) + "\n\n";
}

}  // namespace

class OnlineService::State {
 public:
  State(const Runtime& runtime, OnlineHooks hooks)
      : runtime(runtime),
        hooks(std::move(hooks)),
        sender(runtime, this->hooks.fleet) {}

  asio::awaitable<void> Generate(Exchange& exchange, GenerationKind kind);
  asio::awaitable<void> ListModels(Exchange& exchange);
  asio::awaitable<void> CallService(Exchange& exchange);

  Dispatcher& dispatcher() { return this->sender; }  // NOLINT

 private:
  asio::awaitable<std::optional<std::string>> ReadBody(Exchange& exchange);
  asio::awaitable<std::optional<Grant>> Admit(Exchange& exchange,
                                              AccessQuestion question);
  base::Outcome<Grant> FindGrant(const RequestHead& request,
                                 const AccessQuestion& question) const;
  std::string KeyHash(const RequestHead& request) const;
  bool StillGranted(const Grant& grant) const;
  DispatchRequest MakeDispatch(Exchange& exchange, const Grant& grant) const;
  asio::awaitable<base::Status> Forward(Exchange& exchange,
                                        Generation& generation,
                                        std::string_view part);
  asio::awaitable<void> FinishGeneration(Exchange& exchange,
                                         const Generation& generation,
                                         const DispatchResult& result);
  asio::awaitable<void> SendAnswer(Exchange& exchange, DispatchResult result);

  const Runtime& runtime;
  OnlineHooks hooks;
  Dispatcher sender;
};

std::string OnlineService::State::KeyHash(const RequestHead& request) const {
  const auto key = FindCallerKey(request);
  if (key.empty()) return {};
  return base::HmacSha256Hex(this->runtime.settings.fleet_secret, key);
}

base::Outcome<Grant> OnlineService::State::FindGrant(
    const RequestHead& request, const AccessQuestion& question) const {
  const auto access = this->hooks.access();
  if (!access) {
    return base::Error(base::Errc::kUnavailable,
                       "This VM has no configuration yet.");
  }
  const policy::AccessRequest asked{question.service, question.model,
                                    question.method, question.path};
  Grant grant;
  if (const auto* rule = access->FindOpenRule(asked)) {
    grant.open = true;
    grant.rule = *rule;
    return grant;
  }
  grant.key_hash = this->KeyHash(request);
  const auto organisation = access->FindOrganisation(grant.key_hash);
  if (!organisation) {
    return base::Error(base::Errc::kUnauthorized,
                       "The request carries no valid key.");
  }
  const auto* rule = access->FindRule(*organisation, asked);
  if (rule == nullptr) {
    return base::Error(base::Errc::kForbidden,
                       "No rule lets the organisation call this.");
  }
  grant.organisation = *organisation;
  grant.rule = *rule;
  return grant;
}

bool OnlineService::State::StillGranted(const Grant& grant) const {
  if (grant.open) return true;
  const auto access = this->hooks.access();
  return access &&
         access->FindOrganisation(grant.key_hash) == grant.organisation;
}

asio::awaitable<std::optional<std::string>> OnlineService::State::ReadBody(
    Exchange& exchange) {
  auto body = co_await exchange.ReadBody(this->runtime.settings.max_body_bytes);
  if (body.ok()) co_return std::move(*body);
  if (body.error().Is(base::Errc::kTimeout)) {
    co_await SendError(exchange,
                       {408, "request_timeout", "The body came too slowly."});
  } else if (body.error().Is(base::Errc::kInvalid)) {
    co_await SendError(exchange, {413, "body_refused", body.error().message});
  } else {
    exchange.Abort();
  }
  co_return std::nullopt;
}

asio::awaitable<std::optional<Grant>> OnlineService::State::Admit(
    Exchange& exchange, AccessQuestion question) {
  auto grant = this->FindGrant(exchange.request(), question);
  if (!grant.ok()) {
    const auto& error = grant.error();
    if (error.Is(base::Errc::kUnauthorized)) {
      co_await SendError(exchange, Unauthorized());
    } else if (error.Is(base::Errc::kForbidden)) {
      co_await SendError(exchange, {403, "forbidden", error.message});
    } else {
      co_await SendError(exchange, {503, "not_ready", error.message,
                                    policy::RunState::kNotRun, 1});
    }
    co_return std::nullopt;
  }
  if (grant->open) co_return std::move(*grant);
  const auto admission =
      co_await this->hooks.admit(grant->rule, exchange.deadline());
  const auto wait =
      RetryAfterSeconds(this->runtime.clock.now(), admission.retry_at);
  switch (admission.verdict) {
    case AdmissionVerdict::kAdmitted:
      co_return std::move(*grant);
    case AdmissionVerdict::kOverRate:
      co_await SendError(
          exchange, {429, "over_rate", "The organisation is over its rate.",
                     policy::RunState::kNotRun, wait});
      break;
    case AdmissionVerdict::kIsolated:
      co_await SendError(exchange,
                         {503, "isolated",
                          "This failure domain is cut off and the rule says to "
                          "refuse.",
                          policy::RunState::kNotRun, wait});
      break;
    case AdmissionVerdict::kNotReady:
      co_await SendError(exchange, {503, "not_ready",
                                    "This VM holds no share of the rate yet.",
                                    policy::RunState::kNotRun, wait});
      break;
  }
  co_return std::nullopt;
}

DispatchRequest OnlineService::State::MakeDispatch(Exchange& exchange,
                                                   const Grant& grant) const {
  DispatchRequest request;
  request.service = grant.rule.id.service;
  request.model = grant.rule.id.model;
  request.idempotent = grant.rule.idempotent;
  request.deadline = exchange.deadline();
  request.cancel = std::make_shared<CallCancel>();
  request.permitted = [this, grant] { return this->StillGranted(grant); };
  exchange.OnCallerGone([cancel = request.cancel] { cancel->Cancel(); });
  return request;
}

asio::awaitable<base::Status> OnlineService::State::Forward(
    Exchange& exchange, Generation& generation, std::string_view part) {
  auto events = generation.Feed(part);
  if (!events.ok()) co_return events.error();
  if (!generation.request().stream || events->empty()) co_return base::Done{};
  if (!exchange.response_started()) {
    auto begun = co_await exchange.BeginStream(StreamHead());
    if (!begun.ok()) co_return begun;
  }
  std::string out;
  for (const auto& event : *events) out += EventText(event);
  co_return co_await exchange.WritePart(std::move(out));
}

asio::awaitable<void> OnlineService::State::Generate(Exchange& exchange,
                                                     GenerationKind kind) {
  const auto body = co_await this->ReadBody(exchange);
  if (!body) co_return;
  auto parsed = ParseGenerationRequest(kind, *body);
  const std::string model = parsed.ok() ? parsed->model : std::string();
  if (!parsed.ok()) {
    co_await SendError(exchange,
                       {400, "invalid_request", parsed.error().message});
    co_return;
  }
  AccessQuestion question;
  question.model = base::Model(model);
  question.method = exchange.request().method;
  question.path = exchange.request().path;
  const auto grant = co_await this->Admit(exchange, std::move(question));
  if (!grant) co_return;
  Generation generation(std::move(*parsed), exchange.request_id());
  auto request = this->MakeDispatch(exchange, *grant);
  request.affinity_key =
      model + '\n' + generation.request().prompt.substr(0, kAffinityBytes);
  request.make_call = [&] {
    generation.BeginAttempt();
    EndpointCall call;
    call.method = "POST";
    call.target = exchange.request().path;
    call.headers.push_back({"Content-Type", "application/json"});
    call.headers.push_back({"Accept", "text/event-stream"});
    call.body = generation.AttemptBody();
    call.request_id = exchange.request_id();
    call.on_part = [&](const ResponseHead&, std::string_view part) {
      return this->Forward(exchange, generation, part);
    };
    call.is_whole = [&] { return generation.whole(); };
    return call;
  };
  const auto result = co_await this->sender.Dispatch(std::move(request));
  co_await this->FinishGeneration(exchange, generation, result);
}

asio::awaitable<void> OnlineService::State::FinishGeneration(
    Exchange& exchange, const Generation& generation,
    const DispatchResult& result) {
  const bool whole = result.end == DispatchEnd::kAnswered && generation.whole();
  if (!exchange.response_started()) {
    if (!whole && result.end == DispatchEnd::kAnswered) {
      co_await this->SendAnswer(exchange, result);
    } else if (!whole) {
      co_await SendError(exchange, FailureReply(result));
    } else {
      std::ignore = co_await exchange.Send(AnswerHead("application/json"),
                                           generation.Assemble());
    }
    co_return;
  }
  if (whole) {
    const auto marked = co_await exchange.WritePart(EventText("[DONE]"));
    if (marked.ok()) std::ignore = co_await exchange.EndStream();
    co_return;
  }
  auto reply = RenderError(FailureReply(result)).body;
  reply.pop_back();
  std::ignore = co_await exchange.WritePart(EventText(reply));
  exchange.Abort();
}

asio::awaitable<void> OnlineService::State::SendAnswer(Exchange& exchange,
                                                       DispatchResult result) {
  auto headers = CallerResponseHeaders(result.last.head.headers);
  headers.push_back(
      {kRunHeader, std::string(policy::kRunStateNames.Name(result.run))});
  ResponseHead head{result.last.head.status, std::move(headers)};
  std::ignore =
      co_await exchange.Send(std::move(head), std::move(result.last.body));
}

asio::awaitable<void> OnlineService::State::CallService(Exchange& exchange) {
  const auto& head = exchange.request();
  const auto rest = head.path.substr(kServicePrefix.size());
  const auto slash = rest.find('/');
  const auto path =
      slash == std::string::npos ? std::string("/") : rest.substr(slash);
  AccessQuestion question;
  question.service = base::Service(rest.substr(0, slash));
  question.method = head.method;
  question.path = path;
  const auto grant = co_await this->Admit(exchange, std::move(question));
  if (!grant) co_return;
  const auto body = co_await this->ReadBody(exchange);
  if (!body) co_return;
  auto request = this->MakeDispatch(exchange, *grant);
  request.service = base::Service(rest.substr(0, slash));
  const auto query = StripKeyParameters(head.query);
  request.make_call = [&] {
    EndpointCall call;
    call.method = head.method;
    call.target = EncodePath(path) + (query.empty() ? "" : "?" + query);
    call.headers = EndpointRequestHeaders(head);
    call.body = *body;
    call.request_id = exchange.request_id();
    return call;
  };
  auto result = co_await this->sender.Dispatch(std::move(request));
  if (result.end == DispatchEnd::kAnswered) {
    co_await this->SendAnswer(exchange, std::move(result));
  } else if (result.last.end == CallEnd::kCancelled) {
    exchange.Abort();
  } else {
    co_await SendError(exchange, FailureReply(result));
  }
}

asio::awaitable<void> OnlineService::State::ListModels(Exchange& exchange) {
  const auto access = this->hooks.access();
  const auto organisation =
      access ? access->FindOrganisation(this->KeyHash(exchange.request()))
             : std::nullopt;
  if (!organisation) {
    co_await SendError(exchange, Unauthorized());
    co_return;
  }
  std::ignore = co_await exchange.Send(AnswerHead("application/json"),
                                       ModelList(*access, *organisation));
}

OnlineService::OnlineService(const Runtime& runtime, OnlineHooks hooks)
    : state(std::make_unique<State>(runtime, std::move(hooks))) {}

OnlineService::~OnlineService() = default;

void OnlineService::Register(Router& router) {
  auto* self = this->state.get();
  router.Add("POST", "/v1/completions", [self](Exchange& exchange) {
    return self->Generate(exchange, GenerationKind::kCompletion);
  });
  router.Add("POST", "/v1/chat/completions", [self](Exchange& exchange) {
    return self->Generate(exchange, GenerationKind::kChat);
  });
  router.Add("GET", "/v1/models",
             [self](Exchange& exchange) { return self->ListModels(exchange); });
  router.Add("*", std::string(kServicePrefix), [self](Exchange& exchange) {
    return self->CallService(exchange);
  });
}

Dispatcher& OnlineService::dispatcher() { return this->state->dispatcher(); }

}  // namespace gypsumtrack::gateway
