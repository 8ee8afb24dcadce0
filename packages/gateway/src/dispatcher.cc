#include "gypsumtrack/gateway/dispatcher.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <utility>
#include <vector>

#include "dispatch_state.h"
#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/base/log.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

constexpr base::Logger kLog{"dispatch"};
constexpr auto kUseAwaitable = asio::as_tuple(asio::use_awaitable);
/// How often a queued request checks for its turn.
constexpr base::Duration kTurnPollInterval = std::chrono::milliseconds(5);
constexpr base::Duration kLoadPollInterval = std::chrono::milliseconds(500);
constexpr base::Duration kLoadPollTimeout = std::chrono::milliseconds(500);
/// Limit of local endpoints polled in each interval, which bounds the control
/// traffic of a VM. One remote endpoint is polled in addition.
constexpr std::size_t kEndpointsPerInterval = 4;
constexpr std::size_t kIdBytes = 8;

/// Parses the response of an endpoint's /load route; empty if it isn't a JSON
/// object. Missing fields are 0.
std::optional<policy::LoadReport> ParseLoadReport(const std::string& body,
                                                  base::Instant received) {
  boost::system::error_code error;
  const auto parsed = boost::json::parse(body, error);
  const auto* report = parsed.if_object();
  if (error || report == nullptr) return std::nullopt;
  auto field = [&](const char* name) -> std::uint32_t {
    const auto* value = report->if_contains(name);
    if (value == nullptr || !value->is_int64()) return 0;
    return static_cast<std::uint32_t>(value->as_int64());
  };
  policy::LoadReport out;
  out.waiting = field("waiting");
  out.requests = field("running") + out.waiting;
  out.as_of = received - std::chrono::milliseconds(field("age_ms"));
  return out;
}

/// Returns the next endpoints to poll, in rotation: several in the local
/// failure domain and one elsewhere.
std::vector<const policy::Endpoint*> SelectEndpointsToPoll(
    const policy::FleetView& view, std::size_t& next) {
  std::vector<const policy::Endpoint*> local;
  std::vector<const policy::Endpoint*> remote;
  for (const auto& endpoint : view.endpoints) {
    const bool is_local = endpoint.location.domain == view.location.domain;
    (is_local ? local : remote).push_back(&endpoint);
  }
  std::vector<const policy::Endpoint*> out;
  const auto count = std::min(kEndpointsPerInterval, local.size());
  for (std::size_t i = 0; i < count; ++i) {
    out.push_back(local[(next + i) % local.size()]);
  }
  if (!remote.empty()) {
    out.push_back(remote[next / kEndpointsPerInterval % remote.size()]);
  }
  next += kEndpointsPerInterval;
  return out;
}

}  // namespace

class Dispatcher::State : public std::enable_shared_from_this<State> {
 public:
  State(const Runtime& runtime, FleetViewHook fleet)
      : runtime(runtime),
        fleet(std::move(fleet)),
        client(runtime.pool, runtime.clock, {}),
        dispatch_state(base::Hash64(base::RandomHex(kIdBytes))) {}

  asio::awaitable<DispatchResult> Dispatch(DispatchRequest request) {
    this->dispatch_state.CountRequest();
    DispatchResult out;
    const auto turn = co_await this->WaitForTurn(request);
    if (turn.state != TurnState::kSend) {
      out.outcome = DispatchOutcome::kOverload;
      out.retry_at = turn.retry_at;
      co_return out;
    }
    std::vector<base::EndpointId> tried;
    std::uint32_t attempts = 0;
    bool may_continue = true;
    while (may_continue) {
      attempts++;
      may_continue = co_await this->Attempt(request, tried, out);
      if (may_continue) may_continue = this->TakeRetry(request, attempts, out);
    }
    co_return out;
  }

  std::vector<policy::LoadSample> Loads() {
    return this->dispatch_state.Loads();
  }

  void StartLoadPolling() {
    asio::co_spawn(
        asio::make_strand(this->runtime.pool),
        [self = this->shared_from_this()] { return self->PollLoads(); },
        asio::detached);
  }

  void Stop() { this->stopped.store(true); }

 private:
  /// Makes one attempt. Returns whether it failed and a retry may be
  /// considered.
  asio::awaitable<bool> Attempt(const DispatchRequest& request,
                                std::vector<base::EndpointId>& tried,
                                DispatchResult& out) {
    if (request.still_permitted && !request.still_permitted()) {
      out.outcome = DispatchOutcome::kNotPermitted;
      co_return false;
    }
    const auto started_at = this->runtime.clock.now();
    const auto endpoint = this->dispatch_state.StartAttempt(
        this->fleet(), request, tried, started_at);
    if (!endpoint) {
      if (tried.empty()) out.outcome = DispatchOutcome::kNoEndpoint;
      co_return false;
    }
    tried.push_back(endpoint->id);
    auto call = this->MakeCall(*endpoint, request);
    out.last = co_await this->client.Call(std::move(call));
    const auto now = this->runtime.clock.now();
    this->dispatch_state.EndAttempt(endpoint->id, out.last, now - started_at,
                                    now);
    out.run = policy::CombineRunStates(out.run, out.last.run);
    const bool is_complete = out.last.outcome == CallOutcome::kComplete;
    out.outcome =
        is_complete ? DispatchOutcome::kResponded : DispatchOutcome::kFailed;
    if (!is_complete) {
      kLog.Info("Attempt at endpoint {} did not complete: {}.",
                endpoint->id.text, kCallOutcomeNames.Name(out.last.outcome));
    }
    co_return !is_complete;
  }

  EndpointCall MakeCall(const policy::Endpoint& endpoint,
                        const DispatchRequest& request) const {
    auto call = request.make_call();
    call.address = endpoint.address;
    call.deadline = request.deadline;
    call.cancel = request.cancel;
    call.idempotent = request.idempotent;
    call.progress_timeout = this->runtime.settings.progress_timeout;
    return call;
  }

  bool TakeRetry(const DispatchRequest& request, std::uint32_t attempts,
                 const DispatchResult& out) {
    policy::FailedAttempt attempt;
    attempt.run_state = out.last.run;
    attempt.combined_run_state = out.run;
    attempt.idempotent = request.idempotent;
    attempt.cancelled = out.last.outcome == CallOutcome::kCancelled;
    attempt.attempts = attempts;
    attempt.deadline = request.deadline;
    return this->dispatch_state.TakeRetry(attempt, this->runtime.clock.now());
  }

  asio::awaitable<TurnResult> WaitForTurn(const DispatchRequest& request) {
    const auto id = this->dispatch_state.NextId();
    auto turn = this->dispatch_state.RequestTurn(
        id, true, this->fleet(), request, this->runtime.clock.now());
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (turn.state == TurnState::kQueued) {
      timer.expires_after(kTurnPollInterval);
      co_await timer.async_wait(kUseAwaitable);
      const auto now = this->runtime.clock.now();
      const bool disconnected = request.cancel && request.cancel->cancelled();
      if (disconnected || now >= request.deadline) {
        this->dispatch_state.RemoveFromQueue(id, request);
        turn = {TurnState::kRefused, now};
        break;
      }
      turn = this->dispatch_state.RequestTurn(id, false, this->fleet(), request,
                                              now);
    }
    co_return turn;
  }

  asio::awaitable<void> PollLoads() {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    std::size_t next = 0;
    while (!this->stopped.load()) {
      timer.expires_after(kLoadPollInterval);
      co_await timer.async_wait(kUseAwaitable);
      if (this->stopped.load()) co_return;
      const auto view = this->fleet();
      for (const auto* endpoint : SelectEndpointsToPoll(*view, next)) {
        if (this->stopped.load()) co_return;
        co_await this->PollLoad(*endpoint);
      }
    }
  }

  asio::awaitable<void> PollLoad(const policy::Endpoint& endpoint) {
    EndpointCall call;
    call.address = endpoint.address;
    call.method = "GET";
    call.target = "/load";
    call.request_id = "load-" + endpoint.id.text;
    call.deadline = this->runtime.clock.now() + kLoadPollTimeout;
    const auto response = co_await this->client.Call(std::move(call));
    if (response.outcome != CallOutcome::kComplete ||
        response.head.status != 200)
      co_return;
    auto report = ParseLoadReport(response.body, this->runtime.clock.now());
    if (!report) co_return;
    report->endpoint = endpoint.id;
    this->dispatch_state.RecordLoad(*report);
  }

  const Runtime& runtime;
  FleetViewHook fleet;
  EndpointClient client;
  DispatchState dispatch_state;
  std::atomic<bool> stopped{false};
};

Dispatcher::Dispatcher(const Runtime& runtime, FleetViewHook fleet)
    : state(std::make_shared<State>(runtime, std::move(fleet))) {}

Dispatcher::~Dispatcher() { this->state->Stop(); }

asio::awaitable<DispatchResult> Dispatcher::Dispatch(DispatchRequest request) {
  return this->state->Dispatch(std::move(request));
}

std::vector<policy::LoadSample> Dispatcher::Loads() const {
  return this->state->Loads();
}

void Dispatcher::StartLoadPolling() { this->state->StartLoadPolling(); }

void Dispatcher::Stop() { this->state->Stop(); }

}  // namespace gypsumtrack::gateway
