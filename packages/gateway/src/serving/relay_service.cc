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
#include "gypsumtrack/policy/serving/request_fingerprint.h"
#include "send_to_endpoint.h"
#include "stream_origin_tracker.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

/// Interval at which a request that waits for a free slot looks for one.
constexpr base::Duration kCapacityPollInterval = std::chrono::milliseconds(10);
/// Maximum time that a request waits for a free slot after its first attempt.
/// Longer than that of a new request, because the caller has nothing to gain by
/// sending the request again itself.
constexpr base::Duration kRetryCapacityWait = std::chrono::milliseconds(600);
/// Maximum time that a request that continues a stream waits for a token of its
/// organisation.
constexpr base::Duration kContinuationTokenWait =
    std::chrono::milliseconds(1000);
/// Interval between attempts of a request that many endpoints have refused.
constexpr base::Duration kRefusedRetryInterval = std::chrono::milliseconds(100);
/// An attempt of a request that can be sent again is abandoned when it makes no
/// progress for kMaxEventGaps times the route's event gap objective, or for
/// kMinProgressTimeout if that is longer.
constexpr int kMaxEventGaps = 3;
constexpr base::Duration kMinProgressTimeout = std::chrono::milliseconds(1000);
/// Retry delay for callers while it can't be read who began their stream.
constexpr base::Duration kUnknownOriginRetryAfter =
    std::chrono::milliseconds(300);
/// Retry delay for callers of a daemon that is about to end.
constexpr base::Duration kStoppingRetryAfter = std::chrono::milliseconds(10);
/// Error code while neither this daemon nor a peer reaches endpoints.
constexpr const char* kNoPathCode = "endpoints_unreachable";
/// Error code of requests that a stopping daemon doesn't take or can't finish.
constexpr const char* kStoppingCode = "stopping";
/// Error codes of requests that crash endpoints, by themselves or by a part of
/// their prompt.
constexpr const char* kBadRequestCode = "request_crashes_endpoints";
constexpr const char* kBadPromptCode = "prompt_crashes_endpoints";

const char* ErrorCodeFor(const policy::CrashSuspect& suspect) {
  return suspect.kind == policy::SuspectKind::kRequest ? kBadRequestCode
                                                       : kBadPromptCode;
}

/// Relays one request, with retries, and its response.
class RequestRelay {
 public:
  RequestRelay(ServingContext& context, Exchange& exchange,
               RequestMetadata facts, AccessDecision access)
      : context(context),
        exchange(exchange),
        facts(std::move(facts)),
        access(std::move(access)),
        route(*this->access.route),
        arrived(context.clock.now()),
        deadline(this->arrived +
                 std::min(this->facts.requested_timeout.value_or(
                              this->route.timeout),
                          this->route.timeout)),
        registration(
            context.planned_stop.Register([this] { this->StopForShutdown(); })),
        cancel(std::make_shared<CallCancellation>()),
        after_event(this->facts.after_event),
        origin(context, this->route, this->facts) {
    if (this->access.organisation != nullptr) {
      this->organisation = this->access.organisation->name;
    }
    this->allowed_regions =
        policy::AllowedRegions(this->route, this->access.organisation);
  }

  asio::awaitable<void> Run() {
    this->context.metrics.requests.Add();
    this->context.second_tries.OnRequest(this->route.name);
    auto read =
        co_await this->exchange.ReadBody(this->access.rules->max_body_bytes);
    if (!read.ok()) {
      co_await RefuseUnreadBody(this->context, this->exchange,
                                this->facts.request_id, read.error());
      co_return;
    }
    this->body = std::move(*read);
    // Each attempt sends a copy.
    if (!this->exchange.TryHold(this->body.size())) {
      this->body = {};
      co_await SendNoMemory(this->context, this->exchange,
                            this->facts.request_id);
      co_return;
    }
    const auto& request = this->exchange.request();
    const auto fingerprint = policy::FingerprintOf(
        this->organisation, request.method, request.path, this->body);
    this->fingerprint = fingerprint;
    this->suspects = policy::ToSuspects(this->facts.shared_parts);
    this->suspects.push_back({policy::SuspectKind::kRequest, fingerprint.text});
    if (const auto found = FindQuarantined(this->context, this->suspects)) {
      co_await this->RefuseQuarantined(*found);
      co_return;
    }
    this->exchange.OnCallerDisconnect(
        [cancel = this->cancel] { cancel->Cancel(); });
    if (this->ComesTooLate()) {
      co_await this->RefuseTooLate();
      co_return;
    }
    const bool is_admitted = co_await this->Admit();
    if (this->CallerDisconnected()) {
      if (is_admitted) this->context.quota.ReturnToken(this->organisation);
      this->OnCallerDisconnected("before_send");
      co_return;
    }
    if (!is_admitted) {
      co_await this->RefuseOverQuota();
      co_return;
    }
    const bool is_origin_known = co_await this->origin.FindOrigin();
    if (!is_origin_known) {
      co_await this->RefuseUnknownOrigin();
      co_return;
    }
    bool retry = true;
    while (retry) retry = co_await this->Attempt();
    this->ReleaseReservation();
  }

 private:
  base::Instant Now() const { return this->context.clock.now(); }
  bool CallerDisconnected() const {
    return this->cancel->cancelled() && !this->must_stop;
  }

  /// Makes the request answer at once: the daemon is about to end.
  void StopForShutdown() {
    if (this->cancel->cancelled()) return;
    this->must_stop = true;
    this->cancel->Cancel();
  }

  /// Whether the daemon stops and the request would probably run at its end.
  bool ComesTooLate() const {
    const auto now = this->Now();
    return this->must_stop ||
           this->context.planned_stop.ComesTooLate(now, this->deadline - now);
  }

  /// Refuses a request that hasn't been admitted. A retry, on another
  /// connection, reaches another VM.
  asio::awaitable<void> RefuseTooLate() {
    Refusal refusal{status::kUnavailable, kStoppingCode, kStoppingRetryAfter};
    co_await SendRefusal(this->context, this->exchange, this->facts.request_id,
                         std::move(refusal));
  }

  /// Ends a request because the daemon is about to end.
  asio::awaitable<void> EndForShutdown() {
    if (this->response_started) {
      this->AbortResponse(kStoppingCode);
    } else if (this->attempts.may_have_run()) {
      co_await this->Fail(status::kBadGateway, kStoppingCode);
    } else {
      co_await this->RefuseNotRun(kStoppingCode);
    }
  }

  /// Refuses a request that continues a stream of which can't be told who began
  /// it.
  asio::awaitable<void> RefuseUnknownOrigin() {
    this->context.quota.ReturnToken(this->organisation);
    Refusal refusal{status::kUnavailable, "unknown_version",
                    kUnknownOriginRetryAfter};
    co_await SendRefusal(this->context, this->exchange, this->facts.request_id,
                         std::move(refusal));
  }

  asio::awaitable<void> RefuseOverQuota() {
    const auto now = this->Now();
    const auto state = this->context.quota.State(this->organisation, now);
    base::LogEvent("over_rate",
                   {{"request", this->facts.request_id},
                    {"organisation", this->organisation.text},
                    {"tokens", state.tokens},
                    {"unconfirmed", state.unconfirmed},
                    {"own_share", state.own_share},
                    {"reserved_share", state.reserved_share},
                    {"round_age_ms", state.round_age.count() / 1000},
                    {"rate", this->access.organisation->rate},
                    {"burst", this->access.organisation->burst},
                    {"continues", this->facts.continued_request},
                    {"rules", this->access.rules->version}});
    this->context.metrics.over_quota.Add();
    Refusal refusal{status::kTooManyRequests, "over_rate", {}};
    refusal.retry_after =
        this->context.quota.NextAdmissionTime(this->organisation, now) - now;
    co_await SendRefusal(this->context, this->exchange, this->facts.request_id,
                         std::move(refusal));
  }

  /// Whether the organisation's limit admits the request. One that continues a
  /// stream waits for a token, before new requests: its caller would lose what
  /// it has.
  asio::awaitable<bool> Admit() {
    using policy::AdmissionKind;
    auto& quota = this->context.quota;
    const auto now = this->Now();
    if (!this->facts.after_event)
      co_return quota.TryAdmit(this->organisation, now);
    bool is_admitted =
        quota.TryAdmit(this->organisation, now, AdmissionKind::kContinuation);
    if (is_admitted) co_return true;
    const auto wait_deadline =
        std::min(now + kContinuationTokenWait, this->deadline);
    quota.OnContinuationWaits(this->organisation);
    while (!is_admitted && this->Now() < wait_deadline &&
           !this->cancel->cancelled()) {
      co_await Pause(kCapacityPollInterval);
      is_admitted = quota.TryAdmit(this->organisation, this->Now(),
                                   AdmissionKind::kWaitingContinuation);
    }
    quota.OnContinuationWaitEnded(this->organisation);
    co_return is_admitted;
  }

  /// Makes one attempt. Returns whether to retry the request.
  asio::awaitable<bool> Attempt() {
    if (this->must_stop) {
      co_await this->EndForShutdown();
      co_return false;
    }
    if (this->attempts.attempt_count() == 0 && !this->HasPath()) {
      co_await this->RefuseNotRun(kNoPathCode);
      co_return false;
    }
    const auto choice = co_await this->NextEndpoint();
    if (this->CallerDisconnected()) {
      this->OnCallerDisconnected("before_send");
      co_return false;
    }
    if (this->must_stop) {
      co_await this->EndForShutdown();
      co_return false;
    }
    if (choice.status != policy::ChoiceStatus::kChosen) {
      co_await this->GiveUpWithoutEndpoint(choice.status);
      co_return false;
    }
    const bool allowed = co_await this->CheckStillAllowed();
    if (!allowed) co_return false;
    if (const auto found = FindQuarantined(this->context, this->suspects)) {
      co_await this->EndQuarantined(*found);
      co_return false;
    }
    const auto result = co_await this->Send(choice);
    const bool retry = co_await this->OnAttemptEnd(choice, result);
    co_return retry;
  }

  /// Whether endpoints can be reached, directly or through a peer.
  bool HasPath() const {
    return this->context.FindPath(this->allowed_regions).kind !=
           PathKind::kNone;
  }

  /// Returns the endpoint with the reserved slot, or waits for one.
  asio::awaitable<policy::EndpointChoice> NextEndpoint() {
    if (this->reservation) co_return *this->reservation;
    const auto choice = co_await this->ChooseEndpoint();
    co_return choice;
  }

  /// Waits until an endpoint has a free slot. The choice has no endpoint if
  /// none matches or the request has waited as long as it may.
  asio::awaitable<policy::EndpointChoice> ChooseEndpoint() {
    const auto wait_deadline = this->CapacityWaitDeadline();
    auto query = this->origin.MakeQuery(this->attempts.attempt_count() == 0);
    for (;;) {
      const auto now = this->Now();
      const auto choice = this->ChooseNow(query, this->tried);
      const bool settled = choice.status == policy::ChoiceStatus::kChosen ||
                           choice.status == policy::ChoiceStatus::kNoEndpoint;
      if (settled || now >= std::min(wait_deadline, this->deadline) ||
          this->cancel->cancelled()) {
        co_return choice;
      }
      co_await Pause(kCapacityPollInterval);
    }
  }

  base::Instant CapacityWaitDeadline() const {
    // Of a stream that is taken up the caller has lost the time already.
    if (this->attempts.attempt_count() == 0 && !this->origin.must_continue())
      return policy::CapacityWaitDeadline(this->arrived, this->route);
    // The attempt that was abandoned might have gone on.
    if (this->attempts.abandoned()) return this->deadline;
    return this->Now() + kRetryCapacityWait;
  }

  /// Chooses an endpoint that isn't among `tried_endpoints`. If all were tried,
  /// clears them and chooses any but the one of the attempt in progress: the
  /// first ones may have recovered since.
  policy::EndpointChoice ChooseNow(
      policy::EndpointQuery& query,
      std::set<base::EndpointId>& tried_endpoints) const {
    const auto now = this->Now();
    policy::EndpointChoice no_path;
    no_path.status = policy::ChoiceStatus::kNoCapacity;
    if (!this->HasPath()) return no_path;
    query.random_value = this->context.NextRandom();
    query.allowed_regions = this->CurrentRegions();
    query.tried = tried_endpoints;
    auto choice = this->context.endpoints.ChooseOnline(query, now);
    const bool all_tried = choice.status == policy::ChoiceStatus::kNoEndpoint &&
                           !tried_endpoints.empty();
    if (!all_tried) return choice;
    tried_endpoints.clear();
    if (this->current_endpoint) tried_endpoints.insert(*this->current_endpoint);
    query.tried = tried_endpoints;
    return this->context.endpoints.ChooseOnline(query, now);
  }

  /// The regions that the request was admitted with and the rules in force
  /// still allow.
  policy::RegionLimit CurrentRegions() const {
    const auto rules = this->context.store_view.Current()->rules;
    if (!rules || rules == this->access.rules) return this->allowed_regions;
    const auto* current_route =
        policy::FindRouteByName(*rules, this->route.name);
    const auto* current_organisation =
        policy::FindOrganisation(*rules, this->organisation.text);
    if (current_route == nullptr) return this->allowed_regions;
    return policy::Intersect(
        this->allowed_regions,
        policy::AllowedRegions(*current_route, current_organisation));
  }

  /// Whether to end the attempt, which has made no progress for a while, in
  /// favour of another one.
  bool MayAbandon() {
    const auto now = this->Now();
    const auto started_at = this->attempt_started_at;
    const bool is_silent =
        now >= started_at + this->ProgressTimeout(started_at);
    if (this->attempt_events > 0 || is_silent)
      return this->ReserveNextAttempt();
    return this->ReserveSecondTry();
  }

  /// Whether the request may be taken from an endpoint that is late with its
  /// first event. The events of a stream that goes on aren't known to be late.
  bool MayTrySecond() const {
    return this->route.kind == policy::RequestKind::kStream &&
           policy::MayRunAgain(this->route) && !this->after_event &&
           !this->tried_second;
  }

  /// Whether the request is sent to another endpoint because its first event is
  /// late. If so, reserves a slot for it, of those that nobody waits for.
  bool ReserveSecondTry() {
    if (!this->MayTrySecond()) return false;
    const auto now = this->Now();
    const auto waited = now - this->attempt_started_at;
    const auto late_after =
        this->context.second_tries.LateAfter(this->route.name);
    if (!late_after || waited < *late_after) return false;
    if (!this->ReserveNextAttempt()) return false;
    const auto& choice = *this->reservation;
    const bool has_free_slot = choice.known_load < choice.endpoint.slots;
    auto decision = policy::SecondTry::kOverBudget;
    if (has_free_slot && !choice.is_paced)
      decision = this->context.second_tries.Take(this->route.name, waited);
    const bool is_granted =
        decision == policy::SecondTry::kGranted &&
        this->context.quota.TryAdmit(this->organisation, now);
    base::LogEvent(
        "second_try",
        {{"request", this->facts.request_id},
         {"late", this->current_endpoint ? this->current_endpoint->text : ""},
         {"endpoint", choice.endpoint.id.text},
         {"waited_ms", waited.count() / 1000},
         {"late_after_ms", late_after->count() / 1000},
         {"free_slot", has_free_slot ? 1 : 0},
         {"granted", is_granted ? 1 : 0},
         {"decision", policy::kSecondTryNames.Name(decision)}});
    this->tried_second = true;
    if (!is_granted) {
      this->ReleaseReservation();
      return false;
    }
    this->context.metrics.second_tries.Add();
    *this->is_early_end = true;
    return true;
  }

  /// Whether the request can be sent again now. If so, reserves the slot for
  /// it: the requests of an endpoint fall silent together, and each needs a
  /// slot of its own. If not, giving up an attempt would end the response,
  /// though its endpoint may only be silent for a moment.
  bool ReserveNextAttempt() {
    const auto time_left = this->deadline - this->Now();
    if (!this->attempts.MayRetryLostAttempt(this->route, time_left))
      return false;
    if (!this->CanResume() || !this->IsKeyValid()) return false;
    if (FindQuarantined(this->context, this->suspects)) return false;
    auto query = this->origin.MakeQuery(this->attempts.attempt_count() == 0);
    auto tried_endpoints = this->tried;
    auto choice = this->ChooseNow(query, tried_endpoints);
    if (choice.status != policy::ChoiceStatus::kChosen) return false;
    this->ReleaseReservation();
    this->context.endpoints.OnAttemptStarted(
        choice.endpoint.id, policy::WorkKind::kOnline, this->Now());
    this->reservation = std::move(choice);
    return true;
  }

  void ReleaseReservation() {
    if (!this->reservation) return;
    this->context.endpoints.OnAttemptEnded(
        this->reservation->endpoint.id, policy::WorkKind::kOnline,
        policy::AttemptResult::kUnknown, this->Now());
    this->reservation.reset();
  }

  /// Whether another endpoint can continue the response: without the id of an
  /// event there is nothing to resume after.
  bool CanResume() const {
    return !this->response_started || this->after_event;
  }

  bool IsKeyValid() const {
    return this->access.organisation == nullptr ||
           DecideKeyAccess(this->context, this->facts).organisation != nullptr;
  }

  /// Ends the request because no endpoint has a free slot or none matches.
  asio::awaitable<void> GiveUpWithoutEndpoint(
      policy::ChoiceStatus choice_status) {
    const bool no_capacity = choice_status == policy::ChoiceStatus::kNoCapacity;
    const char* none_anywhere =
        this->allowed_regions ? "no_endpoint_in_regions" : "no_endpoint";
    const char* none_matches =
        this->origin.must_continue() ? "version_gone" : none_anywhere;
    const char* none_free = this->HasPath() ? "no_room" : kNoPathCode;
    const std::string reason = no_capacity ? none_free : none_matches;
    if (this->response_started) {
      this->AbortResponse(reason);
      co_return;
    }
    if (this->attempts.may_have_run()) {
      co_await this->Fail(status::kBadGateway, reason);
      co_return;
    }
    co_await this->RefuseNotRun(reason);
  }

  /// Refuses a request that no endpoint ran.
  asio::awaitable<void> RefuseNotRun(std::string reason) {
    this->context.quota.ReturnToken(this->organisation);
    Refusal refusal{status::kUnavailable, std::move(reason),
                    policy::RefusalRetryAfter(this->context.NextRandom())};
    co_await SendRefusal(this->context, this->exchange, this->facts.request_id,
                         std::move(refusal));
  }

  /// Checks the key again, because it may have been withdrawn while the request
  /// waited or ran. Ends the request and returns false if it isn't valid any
  /// more.
  asio::awaitable<bool> CheckStillAllowed() {
    if (this->access.organisation == nullptr) co_return true;
    const auto decision = DecideKeyAccess(this->context, this->facts);
    if (decision.organisation != nullptr) co_return true;
    if (this->response_started) {
      this->AbortResponse(decision.refusal.code);
    } else if (this->attempts.may_have_run()) {
      co_await this->Fail(status::kBadGateway, decision.refusal.code);
    } else {
      this->context.quota.ReturnToken(this->organisation);
      co_await SendRefusal(this->context, this->exchange,
                           this->facts.request_id, decision.refusal);
    }
    co_return false;
  }

  /// Refuses a request that no endpoint ran, because it or a part of its prompt
  /// crashes endpoints.
  asio::awaitable<void> RefuseQuarantined(policy::QuarantinedSuspect found) {
    this->context.metrics.quarantined.Add();
    base::LogEvent(
        "request_quarantined",
        {{"request", this->facts.request_id},
         {"organisation", this->organisation.text},
         {"fingerprint", this->fingerprint.text},
         {"kind", policy::kSuspectKindNames.Name(found.suspect.kind)},
         {"suspect", found.suspect.id}});
    Refusal refusal{status::kUnavailable, ErrorCodeFor(found.suspect), {}};
    refusal.retry_after = found.until - this->context.clock.wall();
    co_await SendRefusal(this->context, this->exchange, this->facts.request_id,
                         std::move(refusal));
  }

  /// Ends a request that was put in quarantine since it was admitted.
  asio::awaitable<void> EndQuarantined(policy::QuarantinedSuspect found) {
    const std::string code = ErrorCodeFor(found.suspect);
    if (this->response_started) {
      this->AbortResponse(code);
    } else if (this->attempts.may_have_run()) {
      co_await this->Fail(status::kBadGateway, code);
    } else {
      this->context.quota.ReturnToken(this->organisation);
      co_await this->RefuseQuarantined(std::move(found));
    }
  }

  /// Sends the request to the chosen endpoint and, on a route for streams,
  /// relays the response.
  asio::awaitable<EndpointResult> Send(const policy::EndpointChoice& choice) {
    const auto now = this->Now();
    base::LogEvent("sent", {{"request", this->facts.request_id},
                            {"organisation", this->organisation.text},
                            {"fingerprint", this->fingerprint.text},
                            {"parts", FormatParts(this->facts.shared_parts)},
                            {"endpoint", choice.endpoint.id.text},
                            {"version", choice.endpoint.version},
                            {"continues", this->facts.continued_request},
                            {"load", choice.known_load},
                            {"via", this->context.FindPath().hop.peer},
                            {"send", this->attempts.attempt_count() + 1},
                            {"rules", this->access.rules->version},
                            {"belief_age_ms",
                             this->context.StoreViewAge().count() / 1000}});
    this->tried.insert(choice.endpoint.id);
    this->current_endpoint = choice.endpoint.id;
    this->splitter = {};
    this->attempt_events = 0;
    this->arrival_limit = {};
    this->origin.OnAttemptStarted(
        choice.endpoint, this->attempts.attempt_count(), this->deadline);
    EndpointCall call;
    call.address = choice.endpoint.address;
    call.method = this->exchange.request().method;
    call.target = this->exchange.request().target;
    ForwardingMetadata forwarding;
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
    call.progress_timeout = this->ProgressTimeout(now);
    call.may_abandon = [this] { return this->MayAbandon(); };
    call.is_early_end = std::make_shared<bool>(false);
    this->is_early_end = call.is_early_end;
    this->attempt_started_at = now;
    if (this->MayTrySecond()) {
      call.late_head_timeout =
          this->context.second_tries.LateAfter(this->route.name);
    }
    call.cancel = this->cancel;
    if (this->route.kind == policy::RequestKind::kStream) {
      call.on_part = [this](const ResponseHead& head, std::string_view part) {
        return this->RelayPart(head, std::string(part));
      };
      call.made_progress = [this] {
        return this->part_content != policy::PartContent::kNone;
      };
      call.is_complete = [this](const ResponseHead& head) {
        return this->IsComplete(head);
      };
    }
    const bool is_counted = this->reservation.has_value();
    this->reservation.reset();
    auto result = co_await SendToEndpoint(
        this->context, choice.endpoint, policy::WorkKind::kOnline,
        std::move(call), is_counted, this->allowed_regions);
    this->current_endpoint.reset();
    ReportRunEnd(this->context, this->suspects, this->fingerprint.text,
                 choice.endpoint, result, this->attempt_events);
    co_return result;
  }

  /// Time without progress after which an attempt is abandoned. It is limited
  /// only by the deadline if the request must not run again elsewhere.
  base::Duration ProgressTimeout(base::Instant now) const {
    const auto time_left = this->deadline - now;
    if (!policy::MayRunAgain(this->route)) return time_left;
    const auto timeout = std::max<base::Duration>(
        kMaxEventGaps * this->route.event_gap_objective, kMinProgressTimeout);
    return std::min<base::Duration>(timeout, time_left);
  }

  /// Relays the complete events of a part of a stream.
  asio::awaitable<base::Status> RelayPart(const ResponseHead& head,
                                          std::string part) {
    const auto response = this->context.wire.read_response(head);
    if (!response.has_seal) {
      co_return base::Error(base::Errc::kInvalid,
                            "the response lacks the endpoint's seal");
    }
    if (!this->MayContinue(head)) {
      co_return base::Error(base::Errc::kInvalid,
                            "the response doesn't continue the stream");
    }
    std::string bytes;
    bool in_order = true;
    const auto events = this->splitter.Feed(part);
    for (const auto& event : events) {
      in_order = this->AcceptEvent(event);
      if (!in_order) break;
      bytes += event.bytes;
      this->CountEvent(event);
    }
    // The accepted events count as relayed, so they are relayed in any case: a
    // retry resumes after the last of them.
    auto relayed = co_await this->RelayEvents(head, std::move(bytes));
    const auto now = this->Now();
    this->part_content = policy::ClassifyPart(this->splitter, events);
    const bool in_time = this->arrival_limit.OnPart(this->part_content, now,
                                                    this->ProgressTimeout(now));
    const bool valid = in_order && in_time &&
                       !this->splitter.event_too_long() &&
                       !this->splitter.event_malformed();
    if (!relayed.ok() || valid) co_return relayed;
    co_return base::Error(
        base::Errc::kInvalid,
        "an event is malformed, out of order, too long or too slow");
  }

  /// Sends the caller the bytes of events, after the head if it hasn't been
  /// sent yet.
  asio::awaitable<base::Status> RelayEvents(const ResponseHead& head,
                                            std::string bytes) {
    if (bytes.empty()) co_return base::Done{};
    if (!this->response_started) {
      const bool is_recorded =
          co_await this->origin.WaitForRecord(this->deadline);
      if (!is_recorded) {
        this->after_event = this->facts.after_event;
        co_return base::Error(base::Errc::kTimeout,
                              "the version of the stream isn't recorded");
      }
      this->origin.OnFirstEvent();
      auto started = co_await this->StartStream(head);
      if (!started.ok()) co_return started;
    }
    auto written = co_await this->exchange.WritePart(std::move(bytes));
    co_return written;
  }

  /// Whether the response may go on with the one that the caller receives, if
  /// that has begun.
  bool MayContinue(const ResponseHead& head) const {
    return !this->response_started ||
           ContinuesStream(head, this->started_status);
  }

  void CountEvent(const policy::StreamEvent& event) {
    if (!policy::IsContent(event)) return;
    if (this->attempt_events++ > 0) return;
    ReportFirstEvent(this->context, this->suspects);
    if (this->facts.after_event || this->response_started) return;
    this->context.second_tries.OnFirstEvent(
        this->route.name, this->Now() - this->attempt_started_at);
  }

  /// Whether the stream of the current attempt may end here. One without a
  /// length or chunks that ends before any event was broken off, unless it
  /// resumes a stream, which may have had all events.
  bool IsComplete(const ResponseHead& head) const {
    const bool has_events = this->response_started || this->after_event;
    return this->splitter.at_event_end() &&
           (has_events || !IsCloseDelimited(head));
  }

  /// Returns whether the event directly follows the one before, and if so
  /// records it as the last one. Data without an id is accepted only in a
  /// stream without ids, as it could be neither placed nor resumed after.
  bool AcceptEvent(const policy::StreamEvent& event) {
    if (!event.id) return event.data.empty() || !this->after_event;
    if (this->after_event && *event.id != *this->after_event + 1) return false;
    this->after_event = event.id;
    return true;
  }

  asio::awaitable<base::Status> StartStream(const ResponseHead& head) {
    this->response_started = true;
    this->started_status = head.status;
    this->context.metrics.first_byte.Record(this->SecondsSinceArrival());
    ResponseHead caller_head;
    caller_head.status = head.status;
    caller_head.headers = this->context.wire.caller_headers(head);
    auto started = co_await this->exchange.BeginStream(std::move(caller_head));
    co_return started;
  }

  double SecondsSinceArrival() const {
    return std::chrono::duration<double>(this->Now() - this->arrived).count();
  }

  /// Takes the next step after an attempt. Returns whether to retry the
  /// request.
  asio::awaitable<bool> OnAttemptEnd(const policy::EndpointChoice& choice,
                                     const EndpointResult& result) {
    if (this->CallerDisconnected()) {
      this->OnCallerDisconnected("after_send");
      co_return false;
    }
    const auto now = this->Now();
    const auto outcome = this->ClassifyOutcome(result);
    const bool abandoned = result.outcome == CallOutcome::kStalled &&
                           outcome == policy::AttemptOutcome::kUnknown;
    if (abandoned) {
      this->attempts.OnAttemptAbandoned();
      // It is avoided for a while, and may go on by then.
      if (!*this->is_early_end) this->tried.erase(choice.endpoint.id);
    }
    if (FailedAtPeer(result)) this->tried.erase(choice.endpoint.id);
    auto step = this->attempts.OnAttemptEnd(
        this->route, outcome, this->response_started, this->deadline - now);
    if (step == policy::NextStep::kRetry && !this->CanResume())
      step = policy::NextStep::kAbort;
    // Attempt() ends the request in place of the retry.
    if (this->must_stop && result.outcome != CallOutcome::kComplete)
      step = policy::NextStep::kRetry;
    base::LogEvent("send_ended",
                   {{"request", this->facts.request_id},
                    {"endpoint", choice.endpoint.id.text},
                    {"call", kCallOutcomeNames.Name(result.outcome)},
                    {"status", result.head.status},
                    {"reused", result.reused_connection ? 1 : 0},
                    {"events", this->attempt_events},
                    {"end", policy::kAttemptOutcomeNames.Name(outcome)},
                    {"next", policy::kNextStepNames.Name(step)},
                    {"age_ms", (now - this->arrived).count() / 1000}});
    switch (step) {
      case policy::NextStep::kRetry:
        this->context.metrics.resumed.Add();
        if (this->attempts.IsRefusedOften() &&
            outcome == policy::AttemptOutcome::kNotRun)
          co_await Pause(kRefusedRetryInterval);
        co_return true;
      case policy::NextStep::kDeliver:
        co_await this->Deliver(result);
        co_return false;
      case policy::NextStep::kRefuse:
        co_await this->RefuseNotRun("endpoints_refused");
        co_return false;
      case policy::NextStep::kFail:
        co_await this->Fail(now >= this->deadline ? status::kGatewayTimeout
                                                  : status::kBadGateway,
                            "answer_lost");
        co_return false;
      case policy::NextStep::kAbort:
        this->AbortResponse("answer_lost");
        co_return false;
    }
    co_return false;
  }

  policy::AttemptOutcome ClassifyOutcome(const EndpointResult& result) const {
    if (result.run == policy::RunState::kNotRun) {
      return policy::AttemptOutcome::kNotRun;
    }
    if (result.outcome != CallOutcome::kComplete)
      return policy::AttemptOutcome::kUnknown;
    // The caller would send the request again.
    if (status::PromisesNotRun(result.head.status))
      return policy::AttemptOutcome::kUnknown;
    if (result.head.status >= 500) return policy::AttemptOutcome::kFailed;
    const bool success = result.head.status / 100 == 2;
    // The caller's response would seem to be complete.
    if (!this->MayContinue(result.head)) return policy::AttemptOutcome::kFailed;
    if (success && !this->context.wire.read_response(result.head).has_seal) {
      return policy::AttemptOutcome::kUnknown;
    }
    return policy::AttemptOutcome::kResponded;
  }

  /// Sends the caller the response, or the end of its stream.
  asio::awaitable<void> Deliver(const EndpointResult& result) {
    if (this->response_started) {
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

  /// Reports an error to a caller whose request may have run.
  asio::awaitable<void> Fail(unsigned status, std::string reason) {
    this->context.metrics.failed.Add();
    Refusal refusal{status, std::move(reason), {}};
    co_await SendRefusal(this->context, this->exchange, this->facts.request_id,
                         std::move(refusal));
  }

  /// Aborts a response that has started and can't be completed.
  void AbortResponse(std::string_view reason) {
    this->context.metrics.aborted.Add();
    base::LogEvent("broken_off", {{"request", this->facts.request_id},
                                  {"reason", reason},
                                  {"sends", this->attempts.attempt_count()}});
    this->exchange.Abort();
  }

  void OnCallerDisconnected(std::string_view when) {
    this->context.metrics.disconnected_callers.Add();
    base::LogEvent("caller_left", {{"request", this->facts.request_id},
                                   {"when", when},
                                   {"sends", this->attempts.attempt_count()}});
    this->exchange.Abort();
  }

  ServingContext& context;
  Exchange& exchange;
  const RequestMetadata facts;
  const AccessDecision access;
  const policy::RouteRule& route;
  base::Organisation organisation;
  /// Where the request may be served.
  policy::RegionLimit allowed_regions;
  const base::Instant arrived;
  const base::Instant deadline;
  const PlannedStop::Registration registration;
  /// Set when the daemon is about to end.
  bool must_stop = false;
  std::shared_ptr<CallCancellation> cancel;
  std::string body;
  /// Set once the body was read.
  policy::RequestFingerprint fingerprint;
  /// What a crash of an endpoint may be blamed on: the request, and the parts
  /// of its prompt. Set once the body was read.
  std::vector<policy::CrashSuspect> suspects;
  policy::AttemptTracker attempts;
  std::set<base::EndpointId> tried;
  base::Instant attempt_started_at{};
  /// Whether a second try was asked for; each request gets one decision.
  bool tried_second = false;
  /// Of the attempt in progress: whether it ends in favour of a second try.
  std::shared_ptr<bool> is_early_end = std::make_shared<bool>(false);
  /// Endpoint of the attempt in progress.
  std::optional<base::EndpointId> current_endpoint;
  policy::EventSplitter splitter;
  /// Number of events received in the current attempt.
  std::uint64_t attempt_events = 0;
  policy::EventArrivalLimit arrival_limit;
  /// What the last part of the stream has brought.
  policy::PartContent part_content = policy::PartContent::kNone;
  /// Id of the last event that was relayed, at first of the last one that the
  /// caller reports to have received.
  std::optional<std::uint64_t> after_event;
  bool response_started = false;
  /// Status of the response that was started.
  unsigned started_status = 0;
  StreamOriginTracker origin;
  /// The endpoint of the next attempt, which is counted there already.
  std::optional<policy::EndpointChoice> reservation;
};

}  // namespace

asio::awaitable<void> RelayRequest(ServingContext& context, Exchange& exchange,
                                   RequestMetadata metadata,
                                   AccessDecision access) {
  const auto relay = std::make_unique<RequestRelay>(
      context, exchange, std::move(metadata), std::move(access));
  co_await relay->Run();
}

}  // namespace gypsumtrack::gateway
