#include "gypsumtrack/gateway/serving/relay_service.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/gateway/http_status.h"
#include "gypsumtrack/gateway/serving/row_store_await.h"
#include "gypsumtrack/policy/serving/attempts.h"
#include "gypsumtrack/policy/serving/event_splitter.h"
#include "send_to_endpoint.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

/// While it waits for room a request looks again this often.
constexpr base::Duration kRoomCheck = std::chrono::milliseconds(10);
/// A request already under way waits longer for a further endpoint than a new
/// one: the caller has nothing to gain by coming back.
constexpr base::Duration kResumeWait = std::chrono::milliseconds(600);
/// A stream that may be resumed is taken elsewhere when its endpoint is silent
/// for this many pauses that would still be on time.
constexpr int kSilentPauses = 3;
constexpr base::Duration kLeastSilence = std::chrono::milliseconds(1000);

/// One request on its way.
class Relay {
 public:
  Relay(ServingContext& context, Exchange& exchange, CallerFacts facts,
        AccessDecision access)
      : context(context),
        exchange(exchange),
        facts(std::move(facts)),
        access(std::move(access)),
        route(*this->access.route),
        arrived(context.clock.now()),
        deadline(this->arrived +
                 std::min(this->facts.patience.value_or(this->route.timeout),
                          this->route.timeout)),
        cancel(std::make_shared<CallCancel>()),
        after_event(this->facts.after_event) {
    if (this->access.organisation != nullptr) {
      this->organisation = this->access.organisation->name;
    }
  }

  asio::awaitable<void> Run() {
    this->context.metrics.requests.Add();
    auto read =
        co_await this->exchange.ReadBody(this->access.rules->max_body_bytes);
    if (!read.ok()) {
      co_await this->RefuseBody(read.error());
      co_return;
    }
    this->body = std::move(*read);
    if (!this->context.quota.TryAdmit(this->organisation,
                                      this->context.clock.now())) {
      co_await this->RefuseQuota();
      co_return;
    }
    this->exchange.OnCallerGone([cancel = this->cancel] { cancel->Cancel(); });
    bool going = true;
    while (going) going = co_await this->SendOnce();
  }

 private:
  base::Instant Now() const { return this->context.clock.now(); }
  bool CallerLeft() const { return this->cancel->cancelled(); }

  asio::awaitable<void> RefuseBody(const base::Error& error) {
    if (error.Is(base::Errc::kCancelled)) {
      this->exchange.Abort();
      co_return;
    }
    const bool slow = error.Is(base::Errc::kTimeout);
    Refusal refusal{slow ? status::kRequestTimeout : status::kPayloadTooLarge,
                    slow ? "body_too_slow" : "body_refused",
                    {}};
    co_await SendRefusal(this->context, this->exchange, this->facts.request_id,
                         std::move(refusal));
  }

  asio::awaitable<void> RefuseQuota() {
    const auto now = this->Now();
    base::LogEvent("over_rate",
                   {{"request", this->facts.request_id},
                    {"organisation", this->organisation.text},
                    {"tokens", this->context.quota.Tokens(this->organisation)},
                    {"rate", this->access.organisation->rate},
                    {"burst", this->access.organisation->burst},
                    {"rules", this->access.rules->version}});
    this->context.metrics.over_quota.Add();
    Refusal refusal{status::kTooManyRequests, "over_rate", {}};
    refusal.retry_after =
        this->context.quota.NextAdmissionTime(this->organisation, now) - now;
    co_await SendRefusal(this->context, this->exchange, this->facts.request_id,
                         std::move(refusal));
  }

  /// Sends it to one endpoint; whether it is to be sent to a further one.
  asio::awaitable<bool> SendOnce() {
    const auto choice = co_await this->ChooseEndpoint();
    if (this->CallerLeft()) {
      this->OnCallerLeft("before_send");
      co_return false;
    }
    if (choice.status != policy::ChoiceStatus::kChosen) {
      co_await this->GiveUpWithoutRoom(choice.status);
      co_return false;
    }
    const bool allowed = co_await this->CheckStillAllowed();
    if (!allowed) co_return false;
    const auto result = co_await this->Send(choice);
    const bool again = co_await this->AfterSend(choice, result);
    co_return again;
  }

  asio::awaitable<policy::EndpointChoice> ChooseEndpoint() {
    const auto began = this->Now();
    const auto until =
        this->attempts.attempt_count() == 0
            ? policy::CapacityWaitDeadline(this->arrived, this->route)
            : began + kResumeWait;
    auto query = this->context.MakeQuery(this->route);
    query.tried = this->tried;
    for (;;) {
      query.random_value = this->context.NextRandom();
      const auto now = this->Now();
      auto choice = this->context.endpoints.ChooseOnline(query, now);
      if (choice.status == policy::ChoiceStatus::kNoEndpoint &&
          !query.tried.empty()) {
        // All were tried: the first ones may have recovered.
        query.tried.clear();
        this->tried.clear();
        choice = this->context.endpoints.ChooseOnline(query, now);
      }
      const bool settled = choice.status == policy::ChoiceStatus::kChosen ||
                           choice.status == policy::ChoiceStatus::kNoEndpoint;
      if (settled || now >= std::min(until, this->deadline) ||
          this->CallerLeft()) {
        co_return choice;
      }
      co_await Pause(kRoomCheck);
    }
  }

  /// No endpoint has room, or there is none.
  asio::awaitable<void> GiveUpWithoutRoom(policy::ChoiceStatus end) {
    const bool no_room = end == policy::ChoiceStatus::kNoCapacity;
    const std::string reason = no_room ? "no_room" : "no_endpoint";
    if (this->began) {
      this->BreakOff(reason);
      co_return;
    }
    if (this->attempts.may_have_run()) {
      co_await this->Fail(status::kBadGateway, reason);
      co_return;
    }
    co_await this->RefuseUnrun(reason);
  }

  asio::awaitable<void> RefuseUnrun(std::string reason) {
    this->context.quota.ReturnToken(this->organisation);
    Refusal refusal{status::kUnavailable, std::move(reason),
                    policy::RefusalRetryAfter(this->context.NextRandom())};
    co_await SendRefusal(this->context, this->exchange, this->facts.request_id,
                         std::move(refusal));
  }

  /// The key may have been withdrawn while the request waited or ran.
  asio::awaitable<bool> CheckStillAllowed() {
    if (this->access.organisation == nullptr) co_return true;
    const auto now_allowed = DecideKeyAccess(this->context, this->facts);
    if (now_allowed.organisation != nullptr) co_return true;
    if (this->began) {
      this->BreakOff(now_allowed.refusal.code);
    } else if (this->attempts.may_have_run()) {
      co_await this->Fail(status::kBadGateway, now_allowed.refusal.code);
    } else {
      this->context.quota.ReturnToken(this->organisation);
      co_await SendRefusal(this->context, this->exchange,
                           this->facts.request_id, now_allowed.refusal);
    }
    co_return false;
  }

  asio::awaitable<EndpointResult> Send(const policy::EndpointChoice& choice) {
    const auto now = this->Now();
    base::LogEvent("sent", {{"request", this->facts.request_id},
                            {"organisation", this->organisation.text},
                            {"endpoint", choice.endpoint.id.text},
                            {"load", choice.known_load},
                            {"send", this->attempts.attempt_count() + 1},
                            {"rules", this->access.rules->version},
                            {"belief_age_ms",
                             this->context.StoreViewAge().count() / 1000}});
    this->tried.insert(choice.endpoint.id);
    this->splitter = {};
    EndpointCall call;
    call.address = choice.endpoint.address;
    call.method = this->exchange.request().method;
    call.target = this->exchange.request().target;
    Forwarding forwarding;
    forwarding.endpoint = choice.endpoint.id;
    forwarding.organisation = this->organisation;
    forwarding.time_left = this->deadline - now;
    forwarding.after_event = this->after_event;
    call.headers = this->context.wire.endpoint_headers(this->exchange.request(),
                                                       forwarding);
    call.body = this->body;
    call.request_id = this->facts.request_id;
    call.idempotent = policy::MayRunAgain(this->route);
    call.deadline = this->deadline;
    call.progress_timeout = this->SilenceAllowed(now);
    call.cancel = this->cancel;
    if (this->route.kind == policy::RequestKind::kStream) {
      call.on_part = [this](const ResponseHead& head, std::string_view part) {
        return this->TakePart(head, std::string(part));
      };
      call.is_whole = [this] { return this->splitter.at_event_end(); };
    }
    auto result =
        co_await SendToEndpoint(this->context, choice.endpoint,
                                policy::WorkKind::kOnline, std::move(call));
    co_return result;
  }

  /// A silent endpoint is left for another one only if the request may run
  /// again there.
  base::Duration SilenceAllowed(base::Instant now) const {
    const auto left = this->deadline - now;
    if (!policy::MayRunAgain(this->route)) return left;
    const auto silence = std::max<base::Duration>(
        kSilentPauses * this->route.event_gap_objective, kLeastSilence);
    return std::min<base::Duration>(silence, left);
  }

  asio::awaitable<base::Status> TakePart(const ResponseHead& head,
                                         std::string part) {
    const auto answer = this->context.wire.read_answer(head);
    if (!answer.genuine) {
      co_return base::Error(base::Errc::kInvalid, "not the endpoint's answer");
    }
    std::string bytes;
    for (auto& event : this->splitter.Feed(part)) {
      if (!this->Follows(event)) {
        co_return base::Error(base::Errc::kInvalid, "an event is out of order");
      }
      bytes += event.bytes;
    }
    if (bytes.empty()) co_return base::Done{};
    if (!this->began) {
      auto begun = co_await this->Begin(head);
      if (!begun.ok()) co_return begun;
    }
    auto written = co_await this->exchange.WritePart(std::move(bytes));
    co_return written;
  }

  /// Whether the event comes right after the one before; notes it if so.
  bool Follows(const policy::StreamEvent& event) {
    if (!event.id) return true;
    if (this->after_event && *event.id != *this->after_event + 1) return false;
    this->after_event = event.id;
    return true;
  }

  asio::awaitable<base::Status> Begin(const ResponseHead& head) {
    this->began = true;
    this->context.metrics.first_byte.Record(this->SecondsSinceArrival());
    ResponseHead out;
    out.status = head.status;
    out.headers = this->context.wire.caller_headers(head);
    auto begun = co_await this->exchange.BeginStream(std::move(out));
    co_return begun;
  }

  double SecondsSinceArrival() const {
    return std::chrono::duration<double>(this->Now() - this->arrived).count();
  }

  asio::awaitable<bool> AfterSend(const policy::EndpointChoice& choice,
                                  const EndpointResult& result) {
    if (this->CallerLeft()) {
      this->OnCallerLeft("after_send");
      co_return false;
    }
    const auto now = this->Now();
    const auto end = this->ClassifyEnd(result);
    const auto step = this->attempts.OnAttemptEnd(this->route, end, this->began,
                                                  this->deadline - now);
    base::LogEvent("send_ended",
                   {{"request", this->facts.request_id},
                    {"endpoint", choice.endpoint.id.text},
                    {"call", kCallEndNames.Name(result.end)},
                    {"status", result.head.status},
                    {"reused", result.reused_connection ? 1 : 0},
                    {"end", policy::kAttemptOutcomeNames.Name(end)},
                    {"next", policy::kNextStepNames.Name(step)},
                    {"age_ms", (now - this->arrived).count() / 1000}});
    switch (step) {
      case policy::NextStep::kRetry:
        this->context.metrics.resumed.Add();
        co_return true;
      case policy::NextStep::kDeliver:
        co_await this->Deliver(result);
        co_return false;
      case policy::NextStep::kRefuse:
        co_await this->RefuseUnrun("endpoints_refused");
        co_return false;
      case policy::NextStep::kFail:
        co_await this->Fail(now >= this->deadline ? status::kGatewayTimeout
                                                  : status::kBadGateway,
                            "answer_lost");
        co_return false;
      case policy::NextStep::kAbort:
        this->BreakOff("answer_lost");
        co_return false;
    }
    co_return false;
  }

  policy::AttemptOutcome ClassifyEnd(const EndpointResult& result) const {
    if (result.run == policy::RunState::kNotRun) {
      return policy::AttemptOutcome::kNotRun;
    }
    if (result.end != CallEnd::kWhole) return policy::AttemptOutcome::kUnknown;
    if (result.head.status >= 500) return policy::AttemptOutcome::kFailed;
    const bool success = result.head.status / 100 == 2;
    if (success && !this->context.wire.read_answer(result.head).genuine) {
      return policy::AttemptOutcome::kUnknown;
    }
    return policy::AttemptOutcome::kResponded;
  }

  asio::awaitable<void> Deliver(const EndpointResult& result) {
    if (this->began) {
      std::ignore = co_await this->exchange.EndStream();
    } else {
      ResponseHead head;
      head.status = result.head.status;
      head.headers = this->context.wire.caller_headers(result.head);
      this->context.metrics.first_byte.Record(this->SecondsSinceArrival());
      std::ignore = co_await this->exchange.Send(std::move(head), result.body);
    }
    this->context.metrics.delivered.Add();
    this->context.metrics.complete_response.Record(this->SecondsSinceArrival());
  }

  asio::awaitable<void> Fail(unsigned status, std::string reason) {
    this->context.metrics.failed.Add();
    Refusal refusal{status, std::move(reason), {}};
    co_await SendRefusal(this->context, this->exchange, this->facts.request_id,
                         std::move(refusal));
  }

  void BreakOff(std::string_view reason) {
    this->context.metrics.aborted.Add();
    base::LogEvent("broken_off", {{"request", this->facts.request_id},
                                  {"reason", reason},
                                  {"sends", this->attempts.attempt_count()}});
    this->exchange.Abort();
  }

  void OnCallerLeft(std::string_view when) {
    this->context.metrics.disconnected_callers.Add();
    base::LogEvent("caller_left", {{"request", this->facts.request_id},
                                   {"when", when},
                                   {"sends", this->attempts.attempt_count()}});
    this->exchange.Abort();
  }

  ServingContext& context;
  Exchange& exchange;
  const CallerFacts facts;
  const AccessDecision access;
  const policy::RouteRule& route;
  base::Organisation organisation;
  const base::Instant arrived;
  const base::Instant deadline;
  std::shared_ptr<CallCancel> cancel;
  std::string body;
  policy::AttemptTracker attempts;
  std::set<base::EndpointId> tried;
  policy::EventSplitter splitter;
  /// The last event that the caller has.
  std::optional<std::uint64_t> after_event;
  bool began = false;
};

}  // namespace

asio::awaitable<void> RelayRequest(ServingContext& context, Exchange& exchange,
                                   CallerFacts facts, AccessDecision access) {
  const auto relay = std::make_unique<Relay>(
      context, exchange, std::move(facts), std::move(access));
  co_await relay->Run();
}

}  // namespace gypsumtrack::gateway
