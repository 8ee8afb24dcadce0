#include "gypsumtrack/gateway/online_service.h"

#include <algorithm>
#include <memory>
#include <tuple>
#include <utility>

#include "caller_headers.h"
#include "generation.h"
#include "gypsumtrack/gateway/error_reply.h"
#include "gypsumtrack/gateway/idempotency_store.h"
#include "online_access.h"
#include "online_replies.h"
#include "online_responses.h"
#include "service_events.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kServicePrefix = "/s/";
/// Prompts that agree in this many leading bytes prefer the same endpoint,
/// which has their prefix cached.
constexpr std::size_t kAffinityBytes = 256;

/// A request to a service without a model, as it is sent to the endpoint.
struct ServiceCall {
  base::Service service;
  std::string path;
  std::string query;
  std::string body;
};

}  // namespace

class OnlineService::State {
 public:
  State(const Runtime& runtime, OnlineHooks hooks)
      : runtime(runtime),
        hooks(std::move(hooks)),
        access(this->hooks.access, runtime.settings.fleet_secret),
        request_dispatcher(runtime, this->hooks.fleet),
        idempotency_store(runtime) {}

  asio::awaitable<void> Generate(Exchange& exchange, GenerationKind kind);
  asio::awaitable<void> ListModels(Exchange& exchange);
  asio::awaitable<void> CallService(Exchange& exchange);

  Dispatcher& dispatcher() { return this->request_dispatcher; }  // NOLINT

 private:
  asio::awaitable<std::optional<std::string>> ReadBody(Exchange& exchange);
  asio::awaitable<std::optional<Grant>> Admit(Exchange& exchange,
                                              AccessTarget target);
  void Record(const Grant& grant, telemetry::ServiceEvent event,
              base::Duration first_byte) const;
  void RecordResult(const Grant& grant, const DispatchResult& result,
                    base::Duration first_byte) const;
  DispatchRequest MakeDispatch(Exchange& exchange, const Grant& grant) const;
  asio::awaitable<base::Status> ForwardEvents(Exchange& exchange,
                                              Generation& generation,
                                              std::string_view part);
  asio::awaitable<void> SendGenerationResult(Exchange& exchange,
                                             const Generation& generation,
                                             const DispatchResult& result);
  asio::awaitable<DispatchResult> DispatchServiceCall(Exchange& exchange,
                                                      const Grant& grant,
                                                      const ServiceCall& call);
  asio::awaitable<void> CallWithIdempotencyKey(Exchange& exchange,
                                               const Grant& grant,
                                               const ServiceCall& call,
                                               std::string key);
  asio::awaitable<void> SendResult(Exchange& exchange, DispatchResult result);

  const Runtime& runtime;
  OnlineHooks hooks;
  OnlineAccess access;
  Dispatcher request_dispatcher;
  IdempotencyStore idempotency_store;
};

asio::awaitable<std::optional<std::string>> OnlineService::State::ReadBody(
    Exchange& exchange) {
  auto body = co_await exchange.ReadBody(this->runtime.settings.max_body_bytes);
  if (body.ok()) co_return std::move(*body);
  if (body.error().Is(base::Errc::kCancelled)) {
    exchange.Abort();
    co_return std::nullopt;
  }
  auto reply = BodyErrorReply(body.error());
  co_await SendError(exchange, std::move(reply));
  co_return std::nullopt;
}

asio::awaitable<std::optional<Grant>> OnlineService::State::Admit(
    Exchange& exchange, AccessTarget target) {
  auto grant = this->access.Find(exchange.request(), target);
  if (!grant.ok()) {
    auto refusal = AccessErrorReply(grant.error());
    co_await SendError(exchange, std::move(refusal));
    co_return std::nullopt;
  }
  if (grant->open) co_return std::move(*grant);
  const auto admission =
      co_await this->hooks.admit(grant->rule, exchange.deadline());
  if (admission.decision == AdmissionDecision::kAdmitted) {
    co_return std::move(*grant);
  }
  this->Record(*grant, ServiceEventOf(admission.decision), {});
  auto reply = AdmissionErrorReply(admission, this->runtime.clock.now());
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

void OnlineService::State::RecordResult(const Grant& grant,
                                        const DispatchResult& result,
                                        base::Duration first_byte) const {
  if (result.last.outcome == CallOutcome::kCancelled) return;
  this->Record(grant, ServiceEventOf(result), first_byte);
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
  request.still_permitted = [this, grant] {
    return this->access.IsStillGranted(grant);
  };
  exchange.OnCallerDisconnect([cancel = request.cancel] { cancel->Cancel(); });
  return request;
}

asio::awaitable<base::Status> OnlineService::State::ForwardEvents(
    Exchange& exchange, Generation& generation, std::string_view part) {
  auto events = generation.Feed(part);
  if (!events.ok()) co_return events.error();
  if (!generation.request().stream || events->empty()) co_return base::Done{};
  if (!exchange.response_started()) {
    auto started = co_await exchange.BeginStream(MakeStreamHead());
    if (!started.ok()) co_return started;
  }
  std::string out;
  for (const auto& event : *events) out += FormatEvent(event);
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
  AccessTarget target;
  target.model = base::Model(model);
  target.method = exchange.request().method;
  target.path = exchange.request().path;
  const auto grant = co_await this->Admit(exchange, std::move(target));
  if (!grant) co_return;
  const auto admitted_at = this->runtime.clock.now();
  auto first_byte_at = base::kNever;
  Generation generation(std::move(*parsed), exchange.request_id(),
                        this->runtime.generated_text);
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
      return this->ForwardEvents(exchange, generation, part);
    };
    call.is_complete = [&](const ResponseHead&) {
      return generation.is_complete();
    };
    return call;
  };
  const auto result =
      co_await this->request_dispatcher.Dispatch(std::move(request));
  const auto response_started_at =
      std::min(first_byte_at, this->runtime.clock.now());
  this->RecordResult(*grant, result, response_started_at - admitted_at);
  co_await this->SendGenerationResult(exchange, generation, result);
}

asio::awaitable<void> OnlineService::State::SendGenerationResult(
    Exchange& exchange, const Generation& generation,
    const DispatchResult& result) {
  const bool is_complete =
      result.outcome == DispatchOutcome::kResponded && generation.is_complete();
  if (!exchange.response_started()) {
    if (!is_complete && result.outcome == DispatchOutcome::kResponded) {
      co_await SendEndpointResponse(exchange, result);
    } else if (!is_complete) {
      auto reply = DispatchErrorReply(result, this->runtime.clock.now());
      co_await SendError(exchange, std::move(reply));
    } else {
      std::ignore = co_await exchange.Send(MakeResponseHead("application/json"),
                                           generation.AssembleResponse());
    }
    co_return;
  }
  if (is_complete) {
    const auto written = co_await exchange.WritePart(FormatEvent("[DONE]"));
    if (written.ok()) std::ignore = co_await exchange.EndStream();
    co_return;
  }
  auto reply =
      RenderError(DispatchErrorReply(result, this->runtime.clock.now())).body;
  reply.pop_back();
  std::ignore = co_await exchange.WritePart(FormatEvent(reply));
  exchange.Abort();
}

asio::awaitable<void> OnlineService::State::CallService(Exchange& exchange) {
  const auto& head = exchange.request();
  const auto rest = head.path.substr(kServicePrefix.size());
  const auto slash = rest.find('/');
  const auto path =
      slash == std::string::npos ? std::string("/") : rest.substr(slash);
  AccessTarget target;
  target.service = base::Service(rest.substr(0, slash));
  target.method = head.method;
  target.path = path;
  const auto grant = co_await this->Admit(exchange, std::move(target));
  if (!grant) co_return;
  auto body = co_await this->ReadBody(exchange);
  if (!body) co_return;
  ServiceCall call;
  call.service = base::Service(rest.substr(0, slash));
  call.path = path;
  call.query = StripKeyParameters(head.query, FindCallerKey(head));
  call.body = std::move(*body);
  const auto* key = head.Find("Idempotency-Key");
  if (key != nullptr && !grant->rule.idempotent) {
    co_await this->CallWithIdempotencyKey(exchange, *grant, call, *key);
    co_return;
  }
  auto result = co_await this->DispatchServiceCall(exchange, *grant, call);
  co_await this->SendResult(exchange, std::move(result));
}

asio::awaitable<DispatchResult> OnlineService::State::DispatchServiceCall(
    Exchange& exchange, const Grant& grant, const ServiceCall& service_call) {
  auto request = this->MakeDispatch(exchange, grant);
  request.service = service_call.service;
  request.make_call = [&] {
    const auto& head = exchange.request();
    EndpointCall call;
    call.method = head.method;
    call.target = EncodePath(service_call.path);
    if (!service_call.query.empty()) call.target += "?" + service_call.query;
    call.headers = EndpointRequestHeaders(head);
    call.body = service_call.body;
    call.request_id = exchange.request_id();
    return call;
  };
  const auto admitted_at = this->runtime.clock.now();
  auto result = co_await this->request_dispatcher.Dispatch(std::move(request));
  this->RecordResult(grant, result, this->runtime.clock.now() - admitted_at);
  co_return result;
}

asio::awaitable<void> OnlineService::State::SendResult(Exchange& exchange,
                                                       DispatchResult result) {
  if (result.outcome == DispatchOutcome::kResponded) {
    co_await SendEndpointResponse(exchange, std::move(result));
  } else if (result.last.outcome == CallOutcome::kCancelled) {
    exchange.Abort();
  } else {
    auto reply = DispatchErrorReply(result, this->runtime.clock.now());
    co_await SendError(exchange, std::move(reply));
  }
}

asio::awaitable<void> OnlineService::State::CallWithIdempotencyKey(
    Exchange& exchange, const Grant& grant, const ServiceCall& call,
    std::string key) {
  IdempotentRequest identity;
  identity.organisation = grant.organisation;
  identity.key = std::move(key);
  identity.digest =
      RequestDigest(exchange.request().method, call.service.text + call.path,
                    call.query, call.body);
  auto intent = co_await this->idempotency_store.Begin(std::move(identity),
                                                       exchange.deadline());
  if (intent.state != IntentState::kNew) {
    co_await SendStoredOutcome(exchange, std::move(intent));
    co_return;
  }
  auto result = co_await this->DispatchServiceCall(exchange, grant, call);
  if (result.outcome == DispatchOutcome::kResponded &&
      result.run == policy::RunState::kRan) {
    co_await this->idempotency_store.Finish(intent,
                                            ToStoredResponse(result.last));
  } else if (result.run == policy::RunState::kNotRun) {
    co_await this->idempotency_store.Discard(intent);
  }
  co_await this->SendResult(exchange, std::move(result));
}

asio::awaitable<void> OnlineService::State::ListModels(Exchange& exchange) {
  const auto access = this->hooks.access();
  const auto organisation =
      access
          ? access->FindOrganisation(this->access.KeyHash(exchange.request()))
          : std::nullopt;
  if (!organisation) {
    auto reply = UnauthorizedReply();
    co_await SendError(exchange, std::move(reply));
    co_return;
  }
  std::ignore = co_await exchange.Send(MakeResponseHead("application/json"),
                                       ModelListJson(*access, *organisation));
}

OnlineService::OnlineService(const Runtime& runtime, OnlineHooks hooks)
    : state(std::make_unique<State>(runtime, std::move(hooks))) {}

OnlineService::~OnlineService() = default;

void OnlineService::Register(Router& router) {
  auto* service_state = this->state.get();
  service_state->dispatcher().StartLoadPolling();
  router.Add("POST", "/v1/completions", [service_state](Exchange& exchange) {
    return service_state->Generate(exchange, GenerationKind::kCompletion);
  });
  router.Add("POST", "/v1/chat/completions",
             [service_state](Exchange& exchange) {
               return service_state->Generate(exchange, GenerationKind::kChat);
             });
  router.Add("GET", "/v1/models", [service_state](Exchange& exchange) {
    return service_state->ListModels(exchange);
  });
  router.Add("*", std::string(kServicePrefix),
             [service_state](Exchange& exchange) {
               return service_state->CallService(exchange);
             });
}

Dispatcher& OnlineService::dispatcher() { return this->state->dispatcher(); }

}  // namespace gypsumtrack::gateway
