#include "dispatch_state.h"

#include <algorithm>

namespace gypsumtrack::gateway {
namespace {

/// Endpoints get more requests than they have slots, so that none runs out
/// of work.
constexpr double kSlotOvercommit = 1.25;

policy::HealthSignal HealthSignalOf(const EndpointResult& result) {
  switch (result.outcome) {
    case CallOutcome::kComplete:
      return policy::HealthSignal::kSuccess;
    case CallOutcome::kRefused:
    case CallOutcome::kCancelled:
    case CallOutcome::kDeadline:
      return policy::HealthSignal::kNeutral;
    default:
      return policy::HealthSignal::kFailure;
  }
}

}  // namespace

DispatchState::DispatchState(std::uint64_t seed)
    : seed(seed), budget(this->retry_options), router({}) {}

void DispatchState::UpdateView(const ViewPtr& view) {
  if (view == this->current_view) return;
  this->current_view = view;
  this->router.OnView(*view);
  std::set<base::EndpointId> listed_ids;
  for (const auto& endpoint : view->endpoints) listed_ids.insert(endpoint.id);
  std::erase_if(this->loads, [&](const auto& entry) {
    return entry.second.own_online == 0 && listed_ids.count(entry.first) == 0;
  });
}

const policy::Endpoint* DispatchState::Choose(
    const policy::FleetView& view, const DispatchRequest& request,
    const std::vector<base::EndpointId>& avoid, base::Instant now) {
  policy::RouteRequest route;
  route.service = request.service;
  route.model = request.model;
  route.affinity_key = request.affinity_key;
  route.avoid = avoid;
  route.seed = ++this->seed;
  return this->router.Choose(view, route, now);
}

std::optional<policy::Endpoint> DispatchState::StartAttempt(
    const ViewPtr& view, const DispatchRequest& request,
    const std::vector<base::EndpointId>& avoid, base::Instant now) {
  const std::lock_guard lock(this->mutex);
  this->UpdateView(view);
  const auto* endpoint = this->Choose(*view, request, avoid, now);
  if (endpoint == nullptr) return std::nullopt;
  this->router.OnAttemptStarted(endpoint->id, now);
  ++this->loads[endpoint->id].own_online;
  return *endpoint;
}

void DispatchState::EndAttempt(const base::EndpointId& endpoint,
                               const EndpointResult& result,
                               base::Duration elapsed, base::Instant now) {
  const std::lock_guard lock(this->mutex);
  this->router.OnAttemptEnded(endpoint, HealthSignalOf(result), elapsed, now);
  const auto load = this->loads.find(endpoint);
  if (load != this->loads.end() && load->second.own_online > 0) {
    --load->second.own_online;
  }
  if (result.draining) this->router.OnDraining(endpoint);
}

void DispatchState::RecordLoad(const policy::LoadReport& report) {
  const std::lock_guard lock(this->mutex);
  this->router.OnReport(report);
  auto& load = this->loads[report.endpoint];
  load.reported_running = report.requests - report.waiting;
  load.reported_waiting = report.waiting;
  load.reported_at = report.as_of;
}

std::vector<policy::LoadSample> DispatchState::Loads() {
  const std::lock_guard lock(this->mutex);
  std::vector<policy::LoadSample> samples;
  samples.reserve(this->loads.size());
  for (const auto& [endpoint, load] : this->loads) {
    samples.push_back(load);
    samples.back().endpoint = endpoint;
  }
  return samples;
}

void DispatchState::CountRequest() {
  const std::lock_guard lock(this->mutex);
  this->budget.OnRequest();
}

bool DispatchState::TakeRetry(const policy::FailedAttempt& attempt,
                              base::Instant now) {
  const std::lock_guard lock(this->mutex);
  return policy::TakeRetry(this->retry_options, attempt, now, this->budget);
}

std::uint64_t DispatchState::NextId() {
  const std::lock_guard lock(this->mutex);
  return ++this->next_id;
}

bool DispatchState::HasFreeSlot(const policy::Endpoint& endpoint,
                                base::Instant now) const {
  if (endpoint.slots == 0) return true;
  return this->router.Load(endpoint.id, now) + 1 <=
         endpoint.slots * kSlotOvercommit;
}

base::Duration DispatchState::TimePerRequest(
    const policy::FleetView& view, const DispatchRequest& request) const {
  std::int64_t slots = 0;
  for (const auto& endpoint : view.endpoints) {
    if (endpoint.service == request.service) slots += endpoint.slots;
  }
  const auto daemon_count = static_cast<std::int64_t>(view.peers.size()) + 1;
  return this->router.mean_service_time() * daemon_count /
         std::max<std::int64_t>(1, slots);
}

TurnResult DispatchState::RequestTurn(std::uint64_t id, bool first,
                                      const ViewPtr& view,
                                      const DispatchRequest& request,
                                      base::Instant now) {
  const std::lock_guard lock(this->mutex);
  this->UpdateView(view);
  auto& queue = this->queues
                    .try_emplace({request.service, request.model},
                                 policy::FairQueueOptions{})
                    .first->second;
  const auto period = this->TimePerRequest(*view, request);
  if (this->evicted.erase(id) != 0) return {TurnState::kRefused, now + period};
  const auto* endpoint = this->Choose(*view, request, {}, now);
  const bool has_free_slot =
      endpoint == nullptr || this->HasFreeSlot(*endpoint, now);
  if (first) {
    if (has_free_slot && queue.size() == 0) return {TurnState::kSend, {}};
    const auto decision =
        queue.Push({id, request.organisation, request.share, request.deadline},
                   period, now);
    if (decision.evicted) this->evicted.insert(*decision.evicted);
    if (!decision.accepted) return {TurnState::kRefused, decision.retry_at};
  }
  if (!has_free_slot || queue.front() != id) return {TurnState::kQueued, {}};
  queue.Pop();
  return {TurnState::kSend, {}};
}

void DispatchState::RemoveFromQueue(std::uint64_t id,
                                    const DispatchRequest& request) {
  const std::lock_guard lock(this->mutex);
  this->evicted.erase(id);
  const auto found = this->queues.find({request.service, request.model});
  if (found != this->queues.end()) found->second.Remove(id);
}

}  // namespace gypsumtrack::gateway
