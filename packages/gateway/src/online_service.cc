#include "gypsumtrack/gateway/online_service.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <memory>
#include <tuple>
#include <utility>

#include "caller_headers.h"
#include "generation.h"
#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/gateway/error_reply.h"
#include "gypsumtrack/gateway/idempotency_store.h"
#include "online_replies.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

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

/// A call of a plain service, as it reaches the endpoint.
struct PlainCall {
  base::Service service;
  std::string path;
  std::string query;
  std::string body;
};

/// The head of a whole answer that this gateway writes itself.
ResponseHead AnswerHead(std::string content_type) {
  ResponseHead head;
  head.headers.push_back({"Content-Type", std::move(content_type)});
  head.headers.push_back(
      {kRunStateHeader,
       std::string(policy::kRunStateNames.Name(policy::RunState::kRan))});
  return head;
}

ResponseHead StreamHead() {
  auto head = AnswerHead("text/event-stream");
  head.headers.push_back({"Cache-Control", "no-cache"});
  return head;
}

StoredAnswer ToStored(const EndpointResult& result) {
  StoredAnswer answer;
  answer.status = result.head.status;
  answer.body = result.body;
  for (const auto& header : result.head.headers) {
    if (boost::beast::iequals(header.name, "Content-Type")) {
      answer.content_type = header.value;
    }
  }
  return answer;
}

/// Answers a request whose idempotency key was seen before, or can't be looked
/// up.
asio::awaitable<void> SendStored(Exchange& exchange, Intent intent) {
  ErrorReply reply;
  switch (intent.state) {
    case IntentState::kFresh:
    case IntentState::kDone: {
      ResponseHead head = AnswerHead(intent.answer.content_type);
      head.status = intent.answer.status;
      std::ignore = co_await exchange.Send(std::move(head),
                                           std::move(intent.answer.body));
      co_return;
    }
    case IntentState::kUnknown:
      reply = {409, "outcome_unknown",
               "A request with this idempotency key may have run.",
               policy::RunState::kUnknown, 1};
      break;
    case IntentState::kOtherRequest:
      reply = {422, "idempotency_key_reused",
               "The idempotency key belongs to another request."};
      break;
    case IntentState::kStoreDown:
      reply = {503, "store_unavailable",
               "The outcome can't be kept now, so the request isn't run.",
               policy::RunState::kNotRun, 1};
      break;
  }
  co_await SendError(exchange, std::move(reply));
}

std::string EventText(std::string_view data) {
  return "data: " + std::string(data) + "\n\n";
}

telemetry::ServiceEvent EventOf(AdmissionDecision decision) {
  switch (decision) {
    case AdmissionDecision::kAdmitted:
      return telemetry::ServiceEvent::kServed;
    case AdmissionDecision::kOverRate:
      return telemetry::ServiceEvent::kRefusedOverRate;
    case AdmissionDecision::kIsolated:
      return telemetry::ServiceEvent::kRefusedIsolated;
    case AdmissionDecision::kNotReady:
      return telemetry::ServiceEvent::kRefusedNoShare;
  }
  return telemetry::ServiceEvent::kFailed;
}

telemetry::ServiceEvent EventOf(const DispatchResult& result) {
  constexpr unsigned kFirstServerError = 500;
  if (result.end == DispatchEnd::kNotPermitted) {
    return telemetry::ServiceEvent::kRefusedCaller;
  }
  if (result.end == DispatchEnd::kAnswered) {
    return result.last.head.status < kFirstServerError
               ? telemetry::ServiceEvent::kServed
               : telemetry::ServiceEvent::kFailed;
  }
  return result.run == policy::RunState::kNotRun
             ? telemetry::ServiceEvent::kRefusedOverload
             : telemetry::ServiceEvent::kFailed;
}

}  // namespace

class OnlineService::State {
 public:
  State(const Runtime& runtime, OnlineHooks hooks)
      : runtime(runtime),
        hooks(std::move(hooks)),
        sender(runtime, this->hooks.fleet),
        outcomes(runtime) {}

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
  void Record(const Grant& grant, telemetry::ServiceEvent event,
              base::Duration first_byte) const;
  void RecordEnd(const Grant& grant, const DispatchResult& result,
                 base::Duration first_byte) const;
  DispatchRequest MakeDispatch(Exchange& exchange, const Grant& grant) const;
  asio::awaitable<base::Status> Forward(Exchange& exchange,
                                        Generation& generation,
                                        std::string_view part);
  asio::awaitable<void> FinishGeneration(Exchange& exchange,
                                         const Generation& generation,
                                         const DispatchResult& result);
  asio::awaitable<void> SendAnswer(Exchange& exchange, DispatchResult result);
  asio::awaitable<DispatchResult> CallPlain(Exchange& exchange,
                                            const Grant& grant,
                                            const PlainCall& call);
  asio::awaitable<void> CallOnce(Exchange& exchange, const Grant& grant,
                                 const PlainCall& call, std::string key);
  asio::awaitable<void> Reply(Exchange& exchange, DispatchResult result);

  const Runtime& runtime;
  OnlineHooks hooks;
  Dispatcher sender;
  IdempotencyStore outcomes;
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
  if (body.error().Is(base::Errc::kCancelled)) {
    exchange.Abort();
    co_return std::nullopt;
  }
  auto reply = BodyReply(body.error());
  co_await SendError(exchange, std::move(reply));
  co_return std::nullopt;
}

asio::awaitable<std::optional<Grant>> OnlineService::State::Admit(
    Exchange& exchange, AccessQuestion question) {
  auto grant = this->FindGrant(exchange.request(), question);
  if (!grant.ok()) {
    auto refusal = GrantReply(grant.error());
    co_await SendError(exchange, std::move(refusal));
    co_return std::nullopt;
  }
  if (grant->open) co_return std::move(*grant);
  const auto admission =
      co_await this->hooks.admit(grant->rule, exchange.deadline());
  if (admission.decision == AdmissionDecision::kAdmitted) {
    co_return std::move(*grant);
  }
  this->Record(*grant, EventOf(admission.decision), {});
  auto reply = AdmissionReply(admission, this->runtime.clock.now());
  co_await SendError(exchange, std::move(reply));
  co_return std::nullopt;
}

void OnlineService::State::Record(const Grant& grant,
                                  telemetry::ServiceEvent event,
                                  base::Duration first_byte) const {
  if (!this->hooks.record || grant.open) return;
  this->hooks.record(
      {grant.organisation, grant.rule.id.service, event, first_byte});
}

void OnlineService::State::RecordEnd(const Grant& grant,
                                     const DispatchResult& result,
                                     base::Duration first_byte) const {
  if (result.last.outcome == CallOutcome::kCancelled) return;
  this->Record(grant, EventOf(result), first_byte);
}

DispatchRequest OnlineService::State::MakeDispatch(Exchange& exchange,
                                                   const Grant& grant) const {
  DispatchRequest request;
  request.service = grant.rule.id.service;
  request.model = grant.rule.id.model;
  request.organisation = grant.organisation;
  request.share = grant.rule.share;
  request.idempotent = grant.rule.idempotent;
  request.deadline = exchange.deadline();
  request.cancel = std::make_shared<CallCancellation>();
  request.permitted = [this, grant] { return this->StillGranted(grant); };
  exchange.OnCallerDisconnect([cancel = request.cancel] { cancel->Cancel(); });
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
    ErrorReply reply{400, "invalid_request", parsed.error().message};
    co_await SendError(exchange, std::move(reply));
    co_return;
  }
  AccessQuestion question;
  question.model = base::Model(model);
  question.method = exchange.request().method;
  question.path = exchange.request().path;
  const auto grant = co_await this->Admit(exchange, std::move(question));
  if (!grant) co_return;
  const auto admitted_at = this->runtime.clock.now();
  auto first_byte_at = base::kNever;
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
      if (first_byte_at == base::kNever) {
        first_byte_at = this->runtime.clock.now();
      }
      return this->Forward(exchange, generation, part);
    };
    call.is_complete = [&] { return generation.whole(); };
    return call;
  };
  const auto result = co_await this->sender.Dispatch(std::move(request));
  const auto begun_at = std::min(first_byte_at, this->runtime.clock.now());
  this->RecordEnd(*grant, result, begun_at - admitted_at);
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
      auto reply = FailureReply(result, this->runtime.clock.now());
      co_await SendError(exchange, std::move(reply));
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
  auto reply =
      RenderError(FailureReply(result, this->runtime.clock.now())).body;
  reply.pop_back();
  std::ignore = co_await exchange.WritePart(EventText(reply));
  exchange.Abort();
}

asio::awaitable<void> OnlineService::State::SendAnswer(Exchange& exchange,
                                                       DispatchResult result) {
  auto headers = CallerResponseHeaders(result.last.head.headers);
  headers.push_back(
      {kRunStateHeader, std::string(policy::kRunStateNames.Name(result.run))});
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
  auto body = co_await this->ReadBody(exchange);
  if (!body) co_return;
  PlainCall call;
  call.service = base::Service(rest.substr(0, slash));
  call.path = path;
  call.query = StripKeyParameters(head.query, FindCallerKey(head));
  call.body = std::move(*body);
  const auto* key = head.Find("Idempotency-Key");
  if (key != nullptr && !grant->rule.idempotent) {
    co_await this->CallOnce(exchange, *grant, call, *key);
    co_return;
  }
  auto result = co_await this->CallPlain(exchange, *grant, call);
  co_await this->Reply(exchange, std::move(result));
}

asio::awaitable<DispatchResult> OnlineService::State::CallPlain(
    Exchange& exchange, const Grant& grant, const PlainCall& plain) {
  auto request = this->MakeDispatch(exchange, grant);
  request.service = plain.service;
  request.make_call = [&] {
    const auto& head = exchange.request();
    EndpointCall call;
    call.method = head.method;
    call.target = EncodePath(plain.path);
    if (!plain.query.empty()) call.target += "?" + plain.query;
    call.headers = EndpointRequestHeaders(head);
    call.body = plain.body;
    call.request_id = exchange.request_id();
    return call;
  };
  const auto admitted_at = this->runtime.clock.now();
  auto result = co_await this->sender.Dispatch(std::move(request));
  this->RecordEnd(grant, result, this->runtime.clock.now() - admitted_at);
  co_return result;
}

asio::awaitable<void> OnlineService::State::Reply(Exchange& exchange,
                                                  DispatchResult result) {
  if (result.end == DispatchEnd::kAnswered) {
    co_await this->SendAnswer(exchange, std::move(result));
  } else if (result.last.outcome == CallOutcome::kCancelled) {
    exchange.Abort();
  } else {
    auto reply = FailureReply(result, this->runtime.clock.now());
    co_await SendError(exchange, std::move(reply));
  }
}

asio::awaitable<void> OnlineService::State::CallOnce(Exchange& exchange,
                                                     const Grant& grant,
                                                     const PlainCall& call,
                                                     std::string key) {
  IdempotentRequest identity;
  identity.organisation = grant.organisation;
  identity.key = std::move(key);
  identity.digest =
      RequestDigest(exchange.request().method, call.service.text + call.path,
                    call.query, call.body);
  auto intent =
      co_await this->outcomes.Begin(std::move(identity), exchange.deadline());
  if (intent.state != IntentState::kFresh) {
    co_await SendStored(exchange, std::move(intent));
    co_return;
  }
  auto result = co_await this->CallPlain(exchange, grant, call);
  if (result.end == DispatchEnd::kAnswered &&
      result.run == policy::RunState::kRan) {
    co_await this->outcomes.Finish(intent, ToStored(result.last));
  } else if (result.run == policy::RunState::kNotRun) {
    co_await this->outcomes.Forget(intent);
  }
  co_await this->Reply(exchange, std::move(result));
}

asio::awaitable<void> OnlineService::State::ListModels(Exchange& exchange) {
  const auto access = this->hooks.access();
  const auto organisation =
      access ? access->FindOrganisation(this->KeyHash(exchange.request()))
             : std::nullopt;
  if (!organisation) {
    auto reply = Unauthorized();
    co_await SendError(exchange, std::move(reply));
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
  self->dispatcher().StartReports();
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
