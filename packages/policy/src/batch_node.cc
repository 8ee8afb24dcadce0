#include "gypsumtrack/policy/batch_node.h"

#include <algorithm>
#include <utility>

namespace gypsumtrack::policy {
namespace {

/// Pause of an endpoint after its first failure; doubles with each in a row.
constexpr base::Duration kFirstPause = std::chrono::milliseconds(100);
constexpr std::uint32_t kMaxDoublings = 6;
/// Ended jobs remembered. Forgetting one is safe: its commits conflict.
constexpr std::size_t kMaxRemembered = 20'000;

}  // namespace

BatchNode::BatchNode(base::VmId self_id, BatchOptions node_options,
                     std::uint64_t node_seed)
    : self(std::move(self_id)),
      options(node_options),
      seed(node_seed),
      calls(this->self),
      janitor(this->calls, HolderRowKey(this->self, 0), node_options.janitor,
              node_seed),
      jobs(node_options.scheduler, node_seed) {
  this->holder.key = HolderRowKey(this->self, this->epoch);
  this->holder.row.vm = this->self.name;
}

BatchNode::~BatchNode() = default;

void BatchNode::Tick(base::Instant now, base::WallTime wall_now) {
  this->wall = wall_now;
  this->calls.Tick(now);
  this->janitor.Tick(now, wall_now);
  if (!this->draining) this->RefreshIndex(now);
  if (!this->chunks.empty() && now >= this->renew_at) this->Renew(now);
  this->Pump(now);
}

void BatchNode::SetCapacity(base::Instant now,
                            const std::vector<BatchCapacity>& capacity) {
  for (auto& [id, endpoint] : this->endpoints) endpoint.capacity.slots = 0;
  for (const auto& offer : capacity) {
    this->endpoints[offer.endpoint].capacity = offer;
  }
  for (auto& [id, endpoint] : this->endpoints) this->StopSurplus(endpoint);
  std::erase_if(this->endpoints, [](const auto& entry) {
    return entry.second.capacity.slots == 0 && entry.second.running == 0 &&
           entry.second.vouched;
  });
  this->Pump(now);
}

void BatchNode::Vouch(const base::EndpointId& endpoint) {
  const auto found = this->endpoints.find(endpoint);
  if (found != this->endpoints.end()) found->second.vouched = true;
}

void BatchNode::OnStatus(base::Instant now, CallId id,
                         const base::Status& status) {
  this->calls.OnStatus(now, id, status);
  this->Pump(now);
}

void BatchNode::OnScan(base::Instant now, CallId id,
                       base::Outcome<base::ScanReply> reply) {
  this->calls.OnScan(now, id, std::move(reply));
  this->Pump(now);
}

void BatchNode::OnObject(base::Instant now, CallId id,
                         base::Outcome<std::string> reply) {
  this->calls.OnObject(now, id, std::move(reply));
  this->Pump(now);
}

void BatchNode::OnItemEnd(base::Instant now, RunId run, RunResult result) {
  const auto found = this->running.find(run);
  if (found == this->running.end()) return;
  const RunningItem item = std::move(found->second);
  this->running.erase(found);
  auto& endpoint = this->endpoints[item.endpoint];
  --endpoint.running;
  if (item.start.alone) endpoint.alone = false;
  this->BookOutcome(now, endpoint, result.outcome);
  const bool vouched =
      item.vouched || !this->options.safeguards.require_healthy_endpoint;
  if (!item.control && this->Holds(item.chunk_key, item.token)) {
    auto* chunk = this->Find(item.chunk_key);
    chunk->run->End(item.start.item, item.endpoint, item.start.alone, vouched,
                    std::move(result));
    this->Advance(now, item.chunk_key);
  }
  this->Pump(now);
}

void BatchNode::BookOutcome(base::Instant now, EndpointState& endpoint,
                            ItemOutcome outcome) {
  if (outcome == ItemOutcome::kStopped) {
    ++this->counted.items_stopped;
    return;
  }
  if (outcome == ItemOutcome::kCompleted) {
    ++this->counted.items_completed;
    endpoint.vouched = true;
    endpoint.failures = 0;
    return;
  }
  if (outcome != ItemOutcome::kNotRun) endpoint.vouched = false;
  if (outcome == ItemOutcome::kRejected) return;
  const auto doublings = std::min(endpoint.failures, kMaxDoublings);
  endpoint.retry_at = now + kFirstPause * (1 << doublings);
  ++endpoint.failures;
}

void BatchNode::OnPeerResponse(base::Instant now, CallId id, bool answered,
                               const std::vector<std::string>& ended_keys) {
  for (const auto& key : ended_keys) {
    this->OnCancelled(now, key.substr(key.rfind('/') + 1));
  }
  if (answered) {
    this->calls.OnStatus(now, id, base::Done{});
  } else {
    this->calls.OnStatus(
        now, id, base::Error(base::Errc::kUnavailable, "no peer answered"));
  }
  this->Pump(now);
}

void BatchNode::FindEnded(base::Instant now,
                          const std::vector<std::string>& open_keys,
                          FoundReply reply) {
  struct Lookup {
    std::size_t open = 0;
    bool failed = false;
    std::vector<std::string> found;
    FoundReply reply;
  };
  auto lookup = std::make_shared<Lookup>();
  lookup->open = open_keys.size();
  lookup->reply = std::move(reply);
  if (open_keys.empty()) return lookup->reply(now, lookup->found);
  for (const auto& key : open_keys) {
    base::TableScan scan;
    scan.prefix = key;
    scan.limit = 1;
    this->calls.Scan(now, std::move(scan), CallMode::kOnce,
                     [lookup, key](base::Instant at,
                                   const base::Outcome<base::ScanReply>& page) {
                       if (!page.ok()) lookup->failed = true;
                       if (page.ok() && page->rows.empty())
                         lookup->found.push_back(key);
                       if (--lookup->open > 0) return;
                       if (lookup->failed) {
                         lookup->reply(
                             at, base::Error(base::Errc::kUnavailable,
                                             "the table can't be reached"));
                       } else {
                         lookup->reply(at, lookup->found);
                       }
                     });
  }
}

void BatchNode::OnCancelled(base::Instant now, const std::string& uid) {
  if (this->cancelled.size() >= kMaxRemembered) this->cancelled.clear();
  if (!this->cancelled.insert(uid).second) return;
  this->jobs.Remove(uid);
  std::vector<std::string> keys;
  for (const auto& [key, chunk] : this->chunks) {
    if (chunk.job.uid == uid) keys.push_back(key);
  }
  for (const auto& key : keys) this->Release(now, key);
}

void BatchNode::OnAccepted(base::Instant now, const BatchJob& job) {
  this->jobs.Put(job);
  this->Pump(now);
}

void BatchNode::Cancel(base::Instant now, const BatchJob& job,
                       CancelReply done) {
  this->janitor.Cancel(now, job, std::move(done),
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
    const auto* chunk = this->Find(key);
    if (chunk == nullptr) continue;
    this->StopChunk(*chunk);
    this->Advance(now, key);
  }
}

bool BatchNode::Drained() const {
  return this->draining && this->chunks.empty() && this->running.empty() &&
         this->releasing.empty() && !this->holder_busy;
}

std::vector<BatchAction> BatchNode::TakeActions() {
  auto taken = this->calls.TakeActions();
  for (auto& action : this->actions) taken.push_back(std::move(action));
  this->actions.clear();
  return taken;
}

std::uint32_t BatchNode::Running(const base::EndpointId& endpoint) const {
  const auto found = this->endpoints.find(endpoint);
  return found == this->endpoints.end() ? 0 : found->second.running;
}

bool BatchNode::KnowsCancelled(const std::string& uid) const {
  return this->cancelled.count(uid) != 0;
}

BatchNode::HeldChunk* BatchNode::Find(const std::string& key) {
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

std::uint64_t BatchNode::PendingBytes() const {
  std::uint64_t bytes = 0;
  for (const auto& [key, chunk] : this->chunks) {
    if (chunk.run) bytes += chunk.run->ResultBytes();
  }
  return bytes;
}

std::uint32_t BatchNode::FreeSlots() const {
  std::uint32_t free = 0;
  for (const auto& [id, endpoint] : this->endpoints) {
    if (endpoint.capacity.slots <= endpoint.running) continue;
    free += endpoint.capacity.slots - endpoint.running;
  }
  return free;
}

std::uint32_t BatchNode::Startable() const {
  std::uint32_t count = 0;
  for (const auto& [key, chunk] : this->chunks) {
    if (chunk.phase == Phase::kLoading) count += chunk.stored.row.items;
    if (chunk.phase == Phase::kIntent) count += this->options.intent_items;
    if (chunk.phase == Phase::kRunning) count += chunk.run->Startable();
  }
  return count;
}

/// An item starts under a lease that is known to be good. Past that, the lease
/// may have gone to another VM or the job may be cancelled: then it starts only
/// when the table and the peers were asked just now and none answered.
bool BatchNode::MayStart(base::Instant now) {
  if (!this->options.safeguards.lease_check) return true;
  if (now < this->confirmed_at + this->options.fresh_for) return true;
  if (this->unreachable) return true;
  if (!this->probing && now >= this->probe_at) {
    this->probe_at = now + this->options.probe_every;
    this->Renew(now);
  }
  return false;
}

void BatchNode::Pump(base::Instant now) {
  if (this->draining) return;
  if (this->FreeSlots() > 0 && this->Startable() > 0 &&
      this->PendingBytes() < this->options.max_pending_bytes &&
      this->MayStart(now)) {
    for (auto& [id, endpoint] : this->endpoints) {
      this->FillEndpoint(now, endpoint);
    }
  }
  this->LeaseMore(now);
}

void BatchNode::FillEndpoint(base::Instant now, EndpointState& endpoint) {
  if (now < endpoint.retry_at) return;
  while (endpoint.running < endpoint.capacity.slots && !endpoint.alone &&
         now >= endpoint.start_at) {
    if (!this->StartOne(endpoint) && !this->StartControl(endpoint)) return;
    endpoint.start_at = now + this->options.start_interval;
  }
}

bool BatchNode::StartOne(EndpointState& endpoint) {
  for (auto& [key, chunk] : this->chunks) {
    if (chunk.phase != Phase::kRunning) continue;
    if (!this->Serves(endpoint, chunk.job)) continue;
    const auto start = chunk.run->Next(
        endpoint.capacity.endpoint,
        endpoint.vouched || !this->options.safeguards.require_healthy_endpoint);
    if (!start) continue;
    // The endpoint runs empty first, so that the item gets it for itself.
    if (start->alone && endpoint.running > 0) return false;
    this->Start(chunk, *start, endpoint, /*control=*/false);
    return true;
  }
  return false;
}

/// Nothing else is left that could show whether the endpoint works.
bool BatchNode::StartControl(EndpointState& endpoint) {
  if (endpoint.vouched || endpoint.running > 0) return false;
  for (auto& [key, chunk] : this->chunks) {
    if (chunk.phase != Phase::kRunning) continue;
    if (!this->Serves(endpoint, chunk.job)) continue;
    const auto item = chunk.run->Control();
    if (!item) continue;
    this->Start(chunk, {*item, true}, endpoint, /*control=*/true);
    return true;
  }
  return false;
}

void BatchNode::Start(HeldChunk& chunk, const ItemStart& start,
                      EndpointState& endpoint, bool control) {
  if (!control) chunk.run->Start(start);
  ++endpoint.running;
  endpoint.alone = start.alone;
  const RunId run = ++this->last_run;
  RunningItem item;
  item.chunk_key = chunk.stored.key;
  item.token = chunk.stored.row.token;
  item.start = start;
  item.endpoint = endpoint.capacity.endpoint;
  item.vouched = endpoint.vouched;
  item.idempotent = chunk.job.idempotent;
  item.control = control;
  this->running.emplace(run, item);
  ++this->counted.items_started;
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
  if (!control) action.streamed = chunk.run->streamed(start.item);
  this->actions.emplace_back(std::move(action));
}

/// Stops the newest items first: they have streamed least.
void BatchNode::StopSurplus(EndpointState& endpoint) {
  std::uint32_t going = endpoint.running;
  for (auto run = this->running.rbegin(); run != this->running.rend(); ++run) {
    auto& item = run->second;
    if (item.endpoint != endpoint.capacity.endpoint) continue;
    if (item.stopping) --going;
  }
  for (auto run = this->running.rbegin(); run != this->running.rend(); ++run) {
    if (going <= endpoint.capacity.slots) return;
    auto& item = run->second;
    if (item.endpoint != endpoint.capacity.endpoint) continue;
    if (item.stopping || !item.idempotent) continue;
    item.stopping = true;
    --going;
    this->actions.emplace_back(StopItem{run->first});
  }
}

void BatchNode::StopChunk(const HeldChunk& chunk) {
  for (auto& [run, item] : this->running) {
    if (item.chunk_key != chunk.stored.key || item.stopping) continue;
    if (!item.idempotent) continue;
    item.stopping = true;
    this->actions.emplace_back(StopItem{run});
  }
}

void BatchNode::Advance(base::Instant now, const std::string& key) {
  auto* chunk = this->Find(key);
  if (chunk == nullptr) return;
  if (chunk->phase == Phase::kReleasing ||
      this->KnowsCancelled(chunk->job.uid)) {
    this->Release(now, key);
    return;
  }
  if (chunk->phase != Phase::kRunning) return;
  if (chunk->run->Finished()) {
    this->CommitChunk(now, *chunk);
  } else if (chunk->run->Stuck() ||
             (this->draining && chunk->run->running() == 0)) {
    this->HandBack(now, *chunk);
  } else if (chunk->run->WantsIntent() && !this->draining) {
    this->WriteIntent(now, *chunk);
  }
}

}  // namespace gypsumtrack::policy
