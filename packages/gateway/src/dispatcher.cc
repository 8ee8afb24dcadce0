#include "gypsumtrack/gateway/dispatcher.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>
#include <unordered_map>
#include <utility>

#include "gypsumtrack/base/log.h"

namespace gypsumtrack::gateway {
namespace {

constexpr base::Logger kLog{"dispatch"};
constexpr unsigned kMaxAttempts = 3;

bool Serves(const policy::Endpoint& endpoint, const DispatchRequest& request) {
  if (endpoint.leaving || endpoint.service != request.service) return false;
  if (request.model.empty()) return true;
  return std::find(endpoint.models.begin(), endpoint.models.end(),
                   request.model) != endpoint.models.end();
}

}  // namespace

class Dispatcher::State {
 public:
  State(const Runtime& runtime, FleetViewHook fleet)
      : runtime(runtime),
        fleet(std::move(fleet)),
        client(runtime.pool, runtime.clock, {}) {}

  boost::asio::awaitable<DispatchResult> Dispatch(DispatchRequest request) {
    DispatchResult out;
    std::set<base::EndpointId> tried;
    for (unsigned attempt = 0; attempt < kMaxAttempts; ++attempt) {
      const auto view = this->fleet();
      const auto* endpoint = this->Choose(*view, request, tried);
      if (endpoint == nullptr) co_return out;
      if (request.permitted && !request.permitted()) {
        out.end = DispatchEnd::kNotPermitted;
        co_return out;
      }
      tried.insert(endpoint->id);
      out.last = co_await this->SendOnce(*endpoint, request);
      out.run = std::max(out.run, out.last.run);
      out.end = out.last.end == CallEnd::kWhole ? DispatchEnd::kAnswered
                                                : DispatchEnd::kFailed;
      if (!this->MayRetry(request, out)) co_return out;
    }
    co_return out;
  }

 private:
  boost::asio::awaitable<EndpointResult> SendOnce(
      const policy::Endpoint& endpoint, const DispatchRequest& request) {
    auto call = request.make_call();
    call.address = endpoint.address;
    call.deadline = request.deadline;
    call.cancel = request.cancel;
    call.idempotent = request.idempotent;
    call.progress_timeout = this->runtime.settings.progress_timeout;
    this->Count(endpoint.id, 1);
    auto result = co_await this->client.Call(std::move(call));
    this->Count(endpoint.id, -1);
    if (result.end != CallEnd::kWhole) {
      kLog.Info("Endpoint {} ended a call as {}.", endpoint.id.text,
                kCallEndNames.Name(result.end));
    }
    co_return result;
  }

  bool MayRetry(const DispatchRequest& request,
                const DispatchResult& out) const {
    if (out.end == DispatchEnd::kAnswered) return false;
    if (out.last.end == CallEnd::kCancelled) return false;
    if (this->runtime.clock.now() >= request.deadline) return false;
    return request.idempotent || out.run == policy::RunState::kNotRun;
  }

  const policy::Endpoint* Choose(const policy::FleetView& view,
                                 const DispatchRequest& request,
                                 const std::set<base::EndpointId>& tried) {
    const std::lock_guard lock(this->mutex);
    const policy::Endpoint* best = nullptr;
    auto rank = [&](const policy::Endpoint& endpoint) {
      return std::tuple(tried.count(endpoint.id),
                        endpoint.place.domain != view.place.domain,
                        endpoint.place.region != view.place.region,
                        this->outstanding[endpoint.id]);
    };
    for (const auto& endpoint : view.endpoints) {
      if (!Serves(endpoint, request)) continue;
      if (best == nullptr || rank(endpoint) < rank(*best)) best = &endpoint;
    }
    return best;
  }

  void Count(const base::EndpointId& id, int by) {
    const std::lock_guard lock(this->mutex);
    this->outstanding[id] += by;
  }

  const Runtime& runtime;
  FleetViewHook fleet;
  EndpointClient client;
  std::mutex mutex;
  std::unordered_map<base::EndpointId, int> outstanding;
};

Dispatcher::Dispatcher(const Runtime& runtime, FleetViewHook fleet)
    : state(std::make_unique<State>(runtime, std::move(fleet))) {}

Dispatcher::~Dispatcher() = default;

boost::asio::awaitable<DispatchResult> Dispatcher::Dispatch(
    DispatchRequest request) {
  return this->state->Dispatch(std::move(request));
}

}  // namespace gypsumtrack::gateway
