#include "gypsumtrack/policy/batch_node.h"

#include <algorithm>
#include <utility>

namespace gypsumtrack::policy {
namespace {

/// Backoff of an endpoint after a failure; doubles with each consecutive one.
constexpr base::Duration kInitialBackoff = std::chrono::milliseconds(100);
constexpr std::uint32_t kMaxBackoffDoublings = 6;
/// Maximum number of ended jobs remembered. Forgetting one is safe, as its
/// commits conflict.
constexpr std::size_t kMaxCancelledJobs = 20'000;

}  // namespace

BatchNode::BatchNode(base::VmId self_id, BatchOptions node_options,
                     std::uint64_t node_seed)
    : self(std::move(self_id)),
      options(node_options),
      seed(node_seed),
      store_calls(this->self),
      garbage_collector(this->store_calls, HolderRowKey(this->self, 0),
                        node_options.garbage_collector, node_seed),
      job_queue(node_options.scheduler, node_seed) {
  this->holder.key = HolderRowKey(this->self, this->epoch);
  this->holder.row.vm = this->self.name;
}

BatchNode::~BatchNode() = default;

void BatchNode::Tick(base::Instant now, base::WallTime wall_now) {
  this->wall_time = wall_now;
  this->store_calls.Tick(now);
  this->garbage_collector.Tick(now, wall_now);
  if (!this->draining) this->RefreshIndex(now);
  const bool renews = !this->chunks.empty() || this->pending_renewal;
  if (renews && now >= this->next_renewal_at) this->RenewLeases(now);
  this->StartWork(now);
}

void BatchNode::SetCapacity(base::Instant now,
                            const std::vector<BatchCapacity>& capacity) {
  for (auto& [id, endpoint] : this->endpoints) endpoint.capacity.slots = 0;
  for (const auto& offer : capacity) {
    this->endpoints[offer.endpoint].capacity = offer;
  }
  for (auto& [id, endpoint] : this->endpoints) this->StopExcessItems(endpoint);
  std::erase_if(this->endpoints, [](const auto& entry) {
    return entry.second.capacity.slots == 0 && entry.second.running == 0 &&
           entry.second.known_healthy;
  });
  this->StartWork(now);
}

void BatchNode::MarkHealthy(const base::EndpointId& endpoint) {
  const auto found = this->endpoints.find(endpoint);
  if (found != this->endpoints.end()) found->second.known_healthy = true;
}

void BatchNode::OnStatus(base::Instant now, CallId id,
                         const base::Status& status) {
  this->store_calls.OnStatus(now, id, status);
  this->StartWork(now);
}

void BatchNode::OnScan(base::Instant now, CallId id,
                       base::Outcome<base::ScanReply> reply) {
  this->store_calls.OnScan(now, id, std::move(reply));
  this->StartWork(now);
}

void BatchNode::OnObject(base::Instant now, CallId id,
                         base::Outcome<std::string> reply) {
  this->store_calls.OnObject(now, id, std::move(reply));
  this->StartWork(now);
}

void BatchNode::OnItemEnd(base::Instant now, RunId run, RunResult result) {
  const auto found = this->running.find(run);
  if (found == this->running.end()) return;
  const RunningItem item = std::move(found->second);
  this->running.erase(found);
  auto& endpoint = this->endpoints[item.endpoint];
  --endpoint.running;
  if (item.start.exclusive) endpoint.exclusive = false;
  this->RecordOutcome(now, endpoint, result.outcome);
  const bool known_healthy =
      item.known_healthy || !this->options.safeguards.require_healthy_endpoint;
  if (this->Holds(item.chunk_key, item.token)) {
    auto& chunk = *this->FindChunk(item.chunk_key);
    if (!item.is_probe) {
      chunk.run->End(item.start.item, item.endpoint, item.start.exclusive,
                     known_healthy, std::move(result));
    } else {
      chunk.run->EndProbe(result.outcome, this->HasHealthyEndpoint(chunk.job));
    }
    this->AdvanceChunk(now, item.chunk_key);
  }
  this->StartWork(now);
}

void BatchNode::RecordOutcome(base::Instant now, EndpointState& endpoint,
                              ItemOutcome outcome) {
  if (outcome == ItemOutcome::kStopped) {
    ++this->totals.items_stopped;
    return;
  }
  if (outcome == ItemOutcome::kCompleted) {
    ++this->totals.items_completed;
    endpoint.known_healthy = true;
    endpoint.failures = 0;
    return;
  }
  if (outcome != ItemOutcome::kNotRun) endpoint.known_healthy = false;
  if (outcome == ItemOutcome::kRejected) return;
  const auto doublings = std::min(endpoint.failures, kMaxBackoffDoublings);
  endpoint.retry_at = now + kInitialBackoff * (1 << doublings);
  ++endpoint.failures;
}

void BatchNode::OnPeerResponse(base::Instant now, CallId id, bool any_response,
                               const std::vector<std::string>& ended_keys) {
  for (const auto& key : ended_keys) {
    this->OnCancelled(now, key.substr(key.rfind('/') + 1));
  }
  if (any_response) {
    this->store_calls.OnStatus(now, id, base::Done{});
  } else {
    this->store_calls.OnStatus(
        now, id, base::Error(base::Errc::kUnavailable, "no peer responded"));
  }
  this->StartWork(now);
}

void BatchNode::FindEnded(base::Instant now,
                          const std::vector<std::string>& open_keys,
                          EndedJobsReply reply) {
  struct Lookup {
    std::size_t remaining = 0;
    bool failed = false;
    std::vector<std::string> ended_keys;
    EndedJobsReply reply;
  };
  auto lookup = std::make_shared<Lookup>();
  lookup->remaining = open_keys.size();
  lookup->reply = std::move(reply);
  if (open_keys.empty()) return lookup->reply(now, lookup->ended_keys);
  for (const auto& key : open_keys) {
    base::TableScan scan;
    scan.prefix = key;
    scan.limit = 1;
    this->store_calls.Scan(
        now, std::move(scan), CallMode::kOnce,
        [lookup, key](base::Instant at,
                      const base::Outcome<base::ScanReply>& page) {
          if (!page.ok()) lookup->failed = true;
          if (page.ok() && page->rows.empty())
            lookup->ended_keys.push_back(key);
          if (--lookup->remaining > 0) return;
          if (lookup->failed) {
            lookup->reply(at, base::Error(base::Errc::kUnavailable,
                                          "the table can't be reached"));
          } else {
            lookup->reply(at, lookup->ended_keys);
          }
        });
  }
}

void BatchNode::OnCancelled(base::Instant now, const std::string& uid) {
  if (this->cancelled.size() >= kMaxCancelledJobs) this->cancelled.clear();
  if (!this->cancelled.insert(uid).second) return;
  this->job_queue.Remove(uid);
  std::vector<std::string> keys;
  for (const auto& [key, chunk] : this->chunks) {
    if (chunk.job.uid == uid) keys.push_back(key);
  }
  for (const auto& key : keys) this->ReleaseChunk(now, key);
}

void BatchNode::OnAccepted(base::Instant now, const BatchJob& job) {
  this->job_queue.Put(job);
  this->StartWork(now);
}

void BatchNode::Cancel(base::Instant now, const BatchJob& job,
                       CancelReply done) {
  this->garbage_collector.Cancel(now, job, std::move(done),
                                 [this, uid = job.uid](base::Instant at) {
                                   this->actions.emplace_back(NotifyPeers{uid});
                                   this->OnCancelled(at, uid);
                                 });
}

void BatchNode::Drain(base::Instant now) {
  this->draining = true;
  std::vector<std::string> keys;
  for (const auto& [key, chunk] : this->chunks) keys.push_back(key);
  for (const auto& key : keys) {
    const auto* chunk = this->FindChunk(key);
    if (chunk == nullptr) continue;
    this->StopChunkItems(*chunk);
    this->AdvanceChunk(now, key);
  }
}

bool BatchNode::Drained() const {
  return this->draining && this->chunks.empty() && this->running.empty() &&
         this->releasing.empty() && !this->holder_write_pending;
}

std::vector<BatchAction> BatchNode::TakeActions() {
  auto taken = this->store_calls.TakeActions();
  for (auto& action : this->actions) taken.push_back(std::move(action));
  this->actions.clear();
  return taken;
}

std::uint32_t BatchNode::Running(const base::EndpointId& endpoint) const {
  const auto found = this->endpoints.find(endpoint);
  return found == this->endpoints.end() ? 0 : found->second.running;
}

bool BatchNode::IsKnownCancelled(const std::string& uid) const {
  return this->cancelled.count(uid) != 0;
}

BatchNode::HeldChunk* BatchNode::FindChunk(const std::string& key) {
  const auto found = this->chunks.find(key);
  return found == this->chunks.end() ? nullptr : &found->second;
}

bool BatchNode::Serves(const EndpointState& endpoint,
                       const BatchJob& job) const {
  const auto& offer = endpoint.capacity;
  if (!job.service.empty() && offer.service != job.service) return false;
  if (job.model.empty()) return true;
  return std::find(offer.models.begin(), offer.models.end(), job.model) !=
         offer.models.end();
}

bool BatchNode::HasHealthyEndpoint(const BatchJob& job) const {
  return std::any_of(
      this->endpoints.begin(), this->endpoints.end(), [&](const auto& entry) {
        const auto& endpoint = entry.second;
        return endpoint.capacity.slots > 0 && endpoint.known_healthy &&
               this->Serves(endpoint, job);
      });
}

std::uint64_t BatchNode::PendingResultBytes() const {
  std::uint64_t bytes = 0;
  for (const auto& [key, chunk] : this->chunks) {
    if (chunk.run) bytes += chunk.run->ResultBytes();
  }
  return bytes;
}

std::uint32_t BatchNode::FreeSlots() const {
  std::uint32_t free_slots = 0;
  for (const auto& [id, endpoint] : this->endpoints) {
    if (endpoint.capacity.slots <= endpoint.running) continue;
    free_slots += endpoint.capacity.slots - endpoint.running;
  }
  return free_slots;
}

std::uint32_t BatchNode::StartableItems() const {
  std::uint32_t count = 0;
  for (const auto& [key, chunk] : this->chunks) {
    if (chunk.phase == Phase::kLoading) count += chunk.stored.row.items;
    if (chunk.phase == Phase::kIntent) count += this->options.intent_items;
    if (chunk.phase == Phase::kRunning) count += chunk.run->Startable();
  }
  return count;
}

/// An item may start while its lease is confirmed. After that, another VM may
/// have the lease, or the job may be cancelled, so this VM renews the lease. If
/// it can't reach the table, QueryPeersIfStale decides whether items start.
bool BatchNode::CanStartItems(base::Instant now) {
  if (!this->options.safeguards.lease_check) return true;
  if (now < this->lease_confirmed_at + this->options.lease_confirmed_for)
    return true;
  if (this->may_start_unconfirmed) return true;
  if (!this->store_probe_pending && now >= this->next_store_probe_at) {
    this->next_store_probe_at = now + this->options.store_probe_interval;
    this->RenewLeases(now);
  }
  return false;
}

void BatchNode::StartWork(base::Instant now) {
  if (this->draining) return;
  if (this->FreeSlots() > 0 && this->StartableItems() > 0 &&
      this->PendingResultBytes() < this->options.max_pending_result_bytes &&
      this->CanStartItems(now)) {
    for (auto& [id, endpoint] : this->endpoints) {
      this->FillEndpoint(now, endpoint);
    }
  }
  this->LeaseChunksIfNeeded(now);
}

void BatchNode::FillEndpoint(base::Instant now, EndpointState& endpoint) {
  if (now < endpoint.retry_at) return;
  while (endpoint.running < endpoint.capacity.slots && !endpoint.exclusive &&
         now >= endpoint.next_start_at) {
    if (!this->StartNextItem(endpoint) && !this->StartProbeItem(endpoint))
      return;
    endpoint.next_start_at = now + this->options.start_interval;
  }
}

bool BatchNode::StartNextItem(EndpointState& endpoint) {
  for (auto& [key, chunk] : this->chunks) {
    if (chunk.phase != Phase::kRunning) continue;
    if (!this->Serves(endpoint, chunk.job)) continue;
    const auto start = chunk.run->NextItem(
        endpoint.capacity.endpoint,
        endpoint.known_healthy ||
            !this->options.safeguards.require_healthy_endpoint);
    if (!start) continue;
    // Waits until the endpoint is idle, as the item must run exclusively.
    if (start->exclusive && endpoint.running > 0) return false;
    this->StartRun(chunk, *start, endpoint, /*is_probe=*/false);
    return true;
  }
  return false;
}

/// Runs a completed item again if no other item can show whether the endpoint
/// is healthy.
bool BatchNode::StartProbeItem(EndpointState& endpoint) {
  if (endpoint.known_healthy || endpoint.running > 0) return false;
  for (auto& [key, chunk] : this->chunks) {
    if (chunk.phase != Phase::kRunning) continue;
    if (!this->Serves(endpoint, chunk.job)) continue;
    const auto item = chunk.run->ProbeItem();
    if (!item) continue;
    this->StartRun(chunk, {*item, true}, endpoint, /*is_probe=*/true);
    return true;
  }
  return false;
}

void BatchNode::StartRun(HeldChunk& chunk, const ItemStart& start,
                         EndpointState& endpoint, bool is_probe) {
  if (!is_probe) chunk.run->Start(start);
  ++endpoint.running;
  endpoint.exclusive = start.exclusive;
  const RunId run = ++this->last_run;
  RunningItem item;
  item.chunk_key = chunk.stored.key;
  item.token = chunk.stored.row.token;
  item.start = start;
  item.endpoint = endpoint.capacity.endpoint;
  item.known_healthy = endpoint.known_healthy;
  item.idempotent = chunk.job.idempotent;
  item.is_probe = is_probe;
  this->running.emplace(run, item);
  ++this->totals.items_started;
  StartItem action;
  action.run = run;
  action.job_uid = chunk.job.uid;
  action.chunk = chunk.number;
  action.item = start.item;
  action.organisation = chunk.job.organisation;
  action.service = chunk.job.service;
  action.model = chunk.job.model;
  action.path = chunk.job.path;
  action.idempotent = chunk.job.idempotent;
  action.endpoint = item.endpoint;
  action.body = chunk.run->line(start.item);
  if (!is_probe) action.streamed = chunk.run->streamed(start.item);
  this->actions.emplace_back(std::move(action));
}

/// Stops the newest items first, as they have streamed the least output.
void BatchNode::StopExcessItems(EndpointState& endpoint) {
  std::uint32_t not_stopping = endpoint.running;
  for (auto run = this->running.rbegin(); run != this->running.rend(); ++run) {
    auto& item = run->second;
    if (item.endpoint != endpoint.capacity.endpoint) continue;
    if (item.stopping) --not_stopping;
  }
  for (auto run = this->running.rbegin(); run != this->running.rend(); ++run) {
    if (not_stopping <= endpoint.capacity.slots) return;
    auto& item = run->second;
    if (item.endpoint != endpoint.capacity.endpoint) continue;
    if (item.stopping || !item.idempotent) continue;
    item.stopping = true;
    --not_stopping;
    this->actions.emplace_back(StopItem{run->first});
  }
}

void BatchNode::StopChunkItems(const HeldChunk& chunk) {
  for (auto& [run, item] : this->running) {
    if (item.chunk_key != chunk.stored.key || item.stopping) continue;
    if (!item.idempotent) continue;
    item.stopping = true;
    this->actions.emplace_back(StopItem{run});
  }
}

void BatchNode::AdvanceChunk(base::Instant now, const std::string& key) {
  auto* chunk = this->FindChunk(key);
  if (chunk == nullptr) return;
  if (chunk->phase == Phase::kReleasing ||
      this->IsKnownCancelled(chunk->job.uid)) {
    this->ReleaseChunk(now, key);
    return;
  }
  if (chunk->phase != Phase::kRunning) return;
  if (chunk->run->Finished()) {
    this->CommitChunk(now, *chunk);
  } else if (chunk->run->AllRemainingDeferred() ||
             (this->draining && chunk->run->running() == 0)) {
    this->ReturnChunk(now, *chunk);
  } else if (chunk->run->NeedsIntent() && !this->draining) {
    this->WriteIntent(now, *chunk);
  }
}

}  // namespace gypsumtrack::policy
