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
constexpr auto kUse = asio::as_tuple(asio::use_awaitable);
/// How often a queued request looks for its turn.
constexpr base::Duration kTurnInterval = std::chrono::milliseconds(5);
constexpr base::Duration kReportInterval = std::chrono::milliseconds(500);
constexpr base::Duration kReportTimeout = std::chrono::milliseconds(500);
/// Endpoints asked in each interval: a bound on a VM's control traffic.
constexpr std::size_t kReportsPerInterval = 4;
constexpr std::size_t kIdBytes = 8;

/// Milliseconds that a report says it is old, and the requests it counts.
std::optional<policy::LoadReport> ParseReport(const std::string& body,
                                              base::Instant received) {
  boost::system::error_code error;
  const auto parsed = boost::json::parse(body, error);
  const auto* report = parsed.if_object();
  if (error || report == nullptr) return std::nullopt;
  auto number = [&](const char* name) -> std::uint32_t {
    const auto* value = report->if_contains(name);
    if (value == nullptr || !value->is_int64()) return 0;
    return static_cast<std::uint32_t>(value->as_int64());
  };
  policy::LoadReport out;
  out.waiting = number("waiting");
  out.requests = number("running") + out.waiting;
  out.as_of = received - std::chrono::milliseconds(number("age_ms"));
  return out;
}

/// The next endpoints to ask, most of them in the own domain.
std::vector<const policy::Endpoint*> TakeForReports(
    const policy::FleetView& view, std::size_t& next) {
  std::vector<const policy::Endpoint*> own;
  std::vector<const policy::Endpoint*> away;
  for (const auto& endpoint : view.endpoints) {
    const bool near = endpoint.location.domain == view.location.domain;
    (near ? own : away).push_back(&endpoint);
  }
  std::vector<const policy::Endpoint*> out;
  const auto count = std::min(kReportsPerInterval, own.size());
  for (std::size_t i = 0; i < count; ++i) {
    out.push_back(own[(next + i) % own.size()]);
  }
  if (!away.empty()) {
    out.push_back(away[next / kReportsPerInterval % away.size()]);
  }
  next += kReportsPerInterval;
  return out;
}

}  // namespace

class Dispatcher::State : public std::enable_shared_from_this<State> {
 public:
  State(const Runtime& runtime, FleetViewHook fleet)
      : runtime(runtime),
        fleet(std::move(fleet)),
        client(runtime.pool, runtime.clock, {}),
        decisions(base::Hash64(base::RandomHex(kIdBytes))) {}

  asio::awaitable<DispatchResult> Dispatch(DispatchRequest request) {
    this->decisions.CountRequest();
    DispatchResult out;
    const auto turn = co_await this->WaitForTurn(request);
    if (turn.turn != Turn::kGo) {
      out.end = DispatchEnd::kOverload;
      out.retry_at = turn.retry_at;
      co_return out;
    }
    std::vector<base::EndpointId> tried;
    std::uint32_t attempts = 0;
    bool going = true;
    while (going) {
      attempts++;
      going = co_await this->Attempt(request, tried, out);
      if (going) going = this->TakeRetry(request, attempts, out);
    }
    co_return out;
  }

  std::vector<policy::LoadSample> Loads() { return this->decisions.Loads(); }

  void StartReports() {
    asio::co_spawn(
        asio::make_strand(this->runtime.pool),
        [self = this->shared_from_this()] { return self->PollReports(); },
        asio::detached);
  }

  void Stop() { this->stopped.store(true); }

 private:
  /// Whether the attempt failed in a way that leaves a choice.
  asio::awaitable<bool> Attempt(const DispatchRequest& request,
                                std::vector<base::EndpointId>& tried,
                                DispatchResult& out) {
    if (request.permitted && !request.permitted()) {
      out.end = DispatchEnd::kNotPermitted;
      co_return false;
    }
    const auto began = this->runtime.clock.now();
    const auto endpoint =
        this->decisions.Send(this->fleet(), request, tried, began);
    if (!endpoint) {
      if (tried.empty()) out.end = DispatchEnd::kNoEndpoint;
      co_return false;
    }
    tried.push_back(endpoint->id);
    auto call = this->MakeCall(*endpoint, request);
    out.last = co_await this->client.Call(std::move(call));
    const auto now = this->runtime.clock.now();
    this->decisions.End(endpoint->id, out.last, now - began, now);
    out.run = policy::CombineRunStates(out.run, out.last.run);
    const bool whole = out.last.outcome == CallOutcome::kComplete;
    out.end = whole ? DispatchEnd::kAnswered : DispatchEnd::kFailed;
    if (!whole) {
      kLog.Info("Endpoint {} ended a call as {}.", endpoint->id.text,
                kCallOutcomeNames.Name(out.last.outcome));
    }
    co_return !whole;
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
    return this->decisions.TakeRetry(attempt, this->runtime.clock.now());
  }

  asio::awaitable<TurnVerdict> WaitForTurn(const DispatchRequest& request) {
    const auto id = this->decisions.NextId();
    auto verdict = this->decisions.AskTurn(id, true, this->fleet(), request,
                                           this->runtime.clock.now());
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (verdict.turn == Turn::kWait) {
      timer.expires_after(kTurnInterval);
      co_await timer.async_wait(kUse);
      const auto now = this->runtime.clock.now();
      const bool gone = request.cancel && request.cancel->cancelled();
      if (gone || now >= request.deadline) {
        this->decisions.LeaveQueue(id, request);
        verdict = {Turn::kRefused, now};
        break;
      }
      verdict = this->decisions.AskTurn(id, false, this->fleet(), request, now);
    }
    co_return verdict;
  }

  asio::awaitable<void> PollReports() {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    std::size_t next = 0;
    while (!this->stopped.load()) {
      timer.expires_after(kReportInterval);
      co_await timer.async_wait(kUse);
      if (this->stopped.load()) co_return;
      const auto view = this->fleet();
      for (const auto* endpoint : TakeForReports(*view, next)) {
        if (this->stopped.load()) co_return;
        co_await this->PollReport(*endpoint);
      }
    }
  }

  asio::awaitable<void> PollReport(const policy::Endpoint& endpoint) {
    EndpointCall call;
    call.address = endpoint.address;
    call.method = "GET";
    call.target = "/load";
    call.request_id = "load-" + endpoint.id.text;
    call.deadline = this->runtime.clock.now() + kReportTimeout;
    const auto answer = co_await this->client.Call(std::move(call));
    if (answer.outcome != CallOutcome::kComplete || answer.head.status != 200)
      co_return;
    auto report = ParseReport(answer.body, this->runtime.clock.now());
    if (!report) co_return;
    report->endpoint = endpoint.id;
    this->decisions.Report(*report);
  }

  const Runtime& runtime;
  FleetViewHook fleet;
  EndpointClient client;
  DispatchState decisions;
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

void Dispatcher::StartReports() { this->state->StartReports(); }

void Dispatcher::Stop() { this->state->Stop(); }

}  // namespace gypsumtrack::gateway
