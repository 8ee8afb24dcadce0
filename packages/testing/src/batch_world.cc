#include "gypsumtrack/testing/batch_world.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace gypsumtrack::testing {
namespace {

using std::chrono::milliseconds;

constexpr base::Duration kTickInterval = milliseconds(100);
constexpr base::Duration kCallTimeout = std::chrono::seconds(2);
constexpr base::Duration kRefusalDelay = milliseconds(5);

base::Error NoResponse() { return {base::Errc::kUnknown, "no response"}; }
base::Error Unreachable() { return {base::Errc::kUnavailable, "unreachable"}; }

std::size_t EndpointIndex(const base::EndpointId& endpoint) {
  std::size_t index = 0;
  std::from_chars(endpoint.text.data() + 1,
                  endpoint.text.data() + endpoint.text.size(), index);
  return index;
}

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

BatchSimulation::BatchSimulation(BatchSimulationOptions simulation_options)
    : options(simulation_options),
      random(simulation_options.seed),
      vm_states(simulation_options.vms),
      endpoints(simulation_options.endpoints) {
  this->options.batch.start_interval = base::Duration(0);
  for (std::size_t vm = 0; vm < this->vm_states.size(); ++vm) this->StartVm(vm);
}

base::Duration BatchSimulation::RandomDuration(base::Duration min,
                                               base::Duration max) {
  std::uniform_int_distribution<std::int64_t> distribution(min.count(),
                                                           max.count());
  return base::Duration(distribution(this->random));
}

bool BatchSimulation::RandomEvent(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(this->random) <
         probability;
}

base::WallTime BatchSimulation::WallNow() const {
  return this->wall_epoch + std::chrono::duration_cast<milliseconds>(
                                this->time.time_since_epoch());
}

void BatchSimulation::At(base::Duration after, std::function<void()> run) {
  this->events.emplace(this->time + after, std::move(run));
}

void BatchSimulation::StartVm(std::size_t vm) {
  auto& state = this->vm_states[vm];
  ++state.incarnation;
  state.alive = true;
  state.paused_until = {};
  const base::VmId id{fmt::format("vm{}", vm), state.incarnation};
  state.node = std::make_unique<policy::BatchNode>(
      id, this->options.batch, this->options.seed * 1000 + vm);
  const auto incarnation = state.incarnation;
  this->At(this->RandomDuration(milliseconds(0), kTickInterval),
           [this, vm, incarnation] { this->TickVm(vm, incarnation); });
}

void BatchSimulation::TickVm(std::size_t vm, std::uint64_t incarnation) {
  const auto& state = this->vm_states[vm];
  if (!state.alive || state.incarnation != incarnation) return;
  if (state.paused_until <= this->time) {
    this->UpdateCapacity(vm);
    const auto wall_now =
        this->wall_epoch +
        std::chrono::duration_cast<milliseconds>(this->time.time_since_epoch());
    state.node->Tick(this->time, wall_now);
    this->ExecuteActions(vm);
  }
  this->At(kTickInterval,
           [this, vm, incarnation] { this->TickVm(vm, incarnation); });
}

/// Assigns each endpoint to the first live VM, starting at the endpoint's index
/// modulo the number of VMs.
void BatchSimulation::UpdateCapacity(std::size_t vm) {
  std::vector<policy::BatchCapacity> capacity;
  for (std::size_t i = 0; i < this->endpoints.size(); ++i) {
    auto owner = i % this->vm_states.size();
    for (std::size_t step = 0; step < this->vm_states.size(); ++step) {
      if (this->vm_states[owner].alive) break;
      owner = (owner + 1) % this->vm_states.size();
    }
    if (owner != vm) continue;
    capacity.push_back({base::EndpointId(fmt::format("e{}", i)),
                        base::Service("clockdesk"),
                        {},
                        this->options.slots});
  }
  this->vm_states[vm].node->SetCapacity(this->time, capacity);
}

void BatchSimulation::Deliver(std::size_t vm, std::uint64_t incarnation,
                              std::function<void(policy::BatchNode&)> event) {
  const auto& state = this->vm_states[vm];
  if (!state.alive || state.incarnation != incarnation) return;
  if (state.paused_until > this->time) {
    this->events.emplace(state.paused_until,
                         [this, vm, incarnation, event = std::move(event)] {
                           this->Deliver(vm, incarnation, event);
                         });
    return;
  }
  event(*state.node);
  this->ExecuteActions(vm);
}

void BatchSimulation::ExecuteActions(std::size_t vm) {
  for (const auto& action : this->vm_states[vm].node->TakeActions()) {
    std::visit([this, vm](const auto& call) { this->Execute(vm, call); },
               action);
  }
}

/// Runs `operation` at the store and passes its value or an error to `reply`.
template <typename Operation, typename Handler>
void BatchSimulation::CallStore(std::size_t vm, Operation operation,
                                Handler reply) {
  using Value = decltype(operation());
  const auto incarnation = this->vm_states[vm].incarnation;
  const auto respond = [this, vm, incarnation, reply](base::Duration after,
                                                      Value value) {
    this->At(after, [this, vm, incarnation, reply, value = std::move(value)] {
      this->Deliver(vm, incarnation, [reply, value](policy::BatchNode& node) {
        reply(node, value);
      });
    });
  };
  if (!this->ReachesTable(vm)) return respond(kRefusalDelay, Unreachable());
  if (this->RandomEvent(this->options.lost_requests)) {
    return respond(kCallTimeout, NoResponse());
  }
  const bool response_delivered =
      !this->RandomEvent(this->options.lost_responses);
  this->At(this->RandomDuration(milliseconds(1), milliseconds(20)),
           [this, vm, operation, respond, response_delivered] {
             auto value = operation();
             if (response_delivered && this->ReachesTable(vm)) {
               respond(this->RandomDuration(milliseconds(1), milliseconds(20)),
                       std::move(value));
             } else {
               respond(kCallTimeout, NoResponse());
             }
           });
}

void BatchSimulation::Execute(std::size_t vm, const policy::CommitCall& call) {
  this->CallStore(
      vm,
      [this, commit = call.commit] {
        auto status = this->memory.Commit(commit);
        if (status.ok()) this->writes += commit.writes.size();
        return status;
      },
      [this, id = call.id](policy::BatchNode& node, const base::Status& value) {
        node.OnStatus(this->time, id, value);
      });
}

void BatchSimulation::Execute(std::size_t vm, const policy::ScanCall& call) {
  this->CallStore(
      vm,
      [this, scan = call.scan] {
        return base::Outcome<base::ScanReply>(this->memory.Scan(scan));
      },
      [this, id = call.id](policy::BatchNode& node,
                           const base::Outcome<base::ScanReply>& value) {
        node.OnScan(this->time, id, value);
      });
}

void BatchSimulation::Execute(std::size_t vm, const policy::PutCall& call) {
  this->CallStore(
      vm,
      [this, name = call.name, bytes = call.bytes] {
        return this->memory.PutObject(name, bytes);
      },
      [this, id = call.id](policy::BatchNode& node, const base::Status& value) {
        node.OnStatus(this->time, id, value);
      });
}

void BatchSimulation::Execute(std::size_t vm, const policy::GetCall& call) {
  this->CallStore(
      vm, [this, name = call.name] { return this->memory.GetObject(name); },
      [this, id = call.id](policy::BatchNode& node,
                           const base::Outcome<std::string>& value) {
        node.OnObject(this->time, id, value);
      });
}

void BatchSimulation::Execute(std::size_t vm, const policy::RemoveCall& call) {
  this->CallStore(
      vm,
      [this, name = call.name] {
        this->memory.RemoveObject(name);
        return base::Status(base::Done{});
      },
      [this, id = call.id](policy::BatchNode& node, const base::Status& value) {
        node.OnStatus(this->time, id, value);
      });
}

void BatchSimulation::Execute(std::size_t vm, const policy::StartItem& item) {
  const auto index = EndpointIndex(item.endpoint);
  auto& endpoint = this->endpoints[index];
  const auto incarnation = this->vm_states[vm].incarnation;
  ItemAttempt attempt{this->time, vm, item.job_uid,         item.chunk,
                      item.item,  {}, this->IsConnected(vm)};
  if (endpoint.down_until > this->time) {
    attempt.outcome = policy::ItemOutcome::kNotRun;
    this->recorded_attempts.push_back(attempt);
    this->At(milliseconds(20), [this, vm, incarnation, run = item.run] {
      this->DeliverResult(
          vm, incarnation, run,
          {policy::ItemOutcome::kNotRun, "", "connection refused"});
    });
    return;
  }
  attempt.outcome = policy::ItemOutcome::kEndpointFailed;
  this->recorded_attempts.push_back(attempt);
  ActiveRun active{vm,         incarnation,
                   item,       this->recorded_attempts.size() - 1,
                   this->time, {}};
  const auto run_duration =
      this->RandomDuration(milliseconds(20), this->options.max_item_duration);
  active.ends = this->time + run_duration;
  const auto id = ++this->last_run_id;
  endpoint.active_runs.emplace(id, active);
  this->At(run_duration, [this, index, id] {
    const auto& target = this->endpoints[index];
    const auto found = target.active_runs.find(id);
    if (found == target.active_runs.end()) return;
    const auto& body = found->second.item.body;
    if (Contains(body, kPoisonMarker)) {
      this->FailEndpoint(index, std::chrono::seconds(2));
    } else if (target.failing) {
      this->EndRun(index, id, policy::ItemOutcome::kEndpointFailed);
    } else if (Contains(body, kRejectedMarker)) {
      this->EndRun(index, id, policy::ItemOutcome::kRejected);
    } else {
      this->EndRun(index, id, policy::ItemOutcome::kCompleted);
    }
  });
}

void BatchSimulation::EndRun(std::size_t index, std::uint64_t id,
                             policy::ItemOutcome outcome) {
  auto& active_runs = this->endpoints[index].active_runs;
  const auto found = active_runs.find(id);
  if (found == active_runs.end()) return;
  const ActiveRun active = std::move(found->second);
  active_runs.erase(found);
  this->recorded_attempts[active.attempt].outcome = outcome;
  policy::RunResult result{outcome, "", ""};
  if (outcome == policy::ItemOutcome::kCompleted) {
    result.body = "done:" + active.item.body;
  } else if (outcome != policy::ItemOutcome::kStopped) {
    result.reason = std::string(policy::kItemOutcomeNames.Name(outcome));
  }
  this->DeliverResult(active.vm, active.incarnation, active.item.run,
                      std::move(result));
}

void BatchSimulation::DeliverResult(std::size_t vm, std::uint64_t incarnation,
                                    policy::RunId run,
                                    policy::RunResult result) {
  this->Deliver(vm, incarnation,
                [this, run, result = std::move(result)](auto& node) {
                  node.OnItemEnd(this->time, run, result);
                });
}

void BatchSimulation::Execute(std::size_t vm, const policy::StopItem& stop) {
  const auto incarnation = this->vm_states[vm].incarnation;
  this->At(milliseconds(2), [this, vm, incarnation, run = stop.run] {
    for (std::size_t i = 0; i < this->endpoints.size(); ++i) {
      for (const auto& [id, active] : this->endpoints[i].active_runs) {
        if (active.vm != vm || active.incarnation != incarnation) continue;
        if (active.item.run != run) continue;
        return this->EndRun(i, id, policy::ItemOutcome::kStopped);
      }
    }
  });
}

void BatchSimulation::Execute(std::size_t vm, const policy::QueryPeers& query) {
  const auto incarnation = this->vm_states[vm].incarnation;
  const auto respond = [this, vm, incarnation, id = query.id](
                           bool response_delivered,
                           const std::vector<std::string>& ended) {
    this->Deliver(
        vm, incarnation,
        [this, id, response_delivered, ended](policy::BatchNode& node) {
          node.OnPeerResponse(this->time, id, response_delivered, ended);
        });
  };
  for (std::size_t peer = 0; peer < this->vm_states.size(); ++peer) {
    const auto& state = this->vm_states[peer];
    if (peer == vm || !state.alive || !this->ReachesTable(peer)) continue;
    if (state.without_peers || this->vm_states[vm].without_peers) continue;
    if (state.paused_until > this->time) continue;
    this->At(milliseconds(10), [this, query, respond] {
      std::vector<std::string> ended;
      for (const auto& key : query.open_keys) {
        base::TableScan scan;
        scan.prefix = key;
        if (this->memory.Scan(scan).rows.empty()) ended.push_back(key);
      }
      respond(true, ended);
    });
    return;
  }
  this->At(kRefusalDelay, [respond] { respond(false, {}); });
}

void BatchSimulation::Execute(std::size_t vm,
                              const policy::NotifyPeers& notification) {
  if (this->vm_states[vm].without_peers) return;
  for (std::size_t peer = 0; peer < this->vm_states.size(); ++peer) {
    if (peer == vm || this->vm_states[peer].without_peers) continue;
    if (this->vm_states[peer].paused_until > this->time) continue;
    const auto incarnation = this->vm_states[peer].incarnation;
    this->At(milliseconds(2), [this, peer, incarnation,
                               uid = notification.job_uid] {
      this->Deliver(peer, incarnation, [this, uid](policy::BatchNode& node) {
        node.OnCancelled(this->time, uid);
      });
    });
  }
}

SubmittedJob BatchSimulation::Submit(const std::string& organisation,
                                     const std::string& id,
                                     std::vector<std::string> lines,
                                     std::uint32_t chunk_items,
                                     bool idempotent) {
  SubmittedJob out;
  auto& job = out.job;
  job.organisation.text = organisation;
  job.id.text = id;
  job.uid = fmt::format("u{}", this->submitted.size());
  job.service.text = "clockdesk";
  job.path = "/confirm";
  job.idempotent = idempotent;
  job.items = lines.size();
  const auto wall_now = this->WallNow();
  job.accepted_at = wall_now;
  job.due_at = wall_now + std::chrono::hours(2);
  job.keep_until = wall_now + std::chrono::hours(200);
  base::TableCommit rows;
  rows.operation_id = fmt::format("submit/{}", ++this->last_operation);
  rows.writes = {{policy::StagingRowKey(job.uid), policy::EncodeStaging({})}};
  for (std::size_t at = 0; at < lines.size(); at += chunk_items) {
    const auto end = std::min(lines.size(), at + chunk_items);
    std::string bytes;
    for (auto i = at; i < end; ++i) bytes += lines[i] + "\n";
    (void)this->memory.PutObject(policy::InputObject(job.uid, job.chunks),
                                 bytes);
    policy::ChunkRow row;
    row.first_item = at;
    row.items = static_cast<std::uint32_t>(end - at);
    rows.writes.push_back(
        {policy::ChunkRowKey(job.uid, job.chunks), policy::EncodeChunk(row)});
    ++job.chunks;
  }
  (void)this->memory.Commit(rows);
  const auto accept = policy::AcceptJob(
      fmt::format("submit/{}", ++this->last_operation), job, 1);
  (void)this->memory.Commit(accept);
  this->writes += rows.writes.size() + accept.writes.size();
  out.lines = std::move(lines);
  this->submitted.push_back(out);
  return out;
}

void BatchSimulation::RunFor(base::Duration duration) {
  const auto end = this->time + duration;
  while (!this->events.empty() && this->events.begin()->first <= end) {
    auto event = this->events.extract(this->events.begin());
    this->time = event.key();
    event.mapped()();
  }
  this->time = end;
}

bool BatchSimulation::RunUntilEnded(base::Duration timeout) {
  const auto end = this->time + timeout;
  const auto ended = [this] {
    return std::all_of(this->submitted.begin(), this->submitted.end(),
                       [this](const SubmittedJob& job) {
                         return this->JobStateOf(job) !=
                                policy::JobState::kOpen;
                       });
  };
  while (!ended() && this->time < end) this->RunFor(std::chrono::seconds(1));
  return ended();
}

void BatchSimulation::CrashVm(std::size_t vm, base::Duration delay) {
  auto& state = this->vm_states[vm];
  if (!state.alive) return;
  state.alive = false;
  // Deliver drops the replies of pending calls, so the node can be destroyed
  // now.
  state.node.reset();
  this->At(delay, [this, vm] { this->StartVm(vm); });
}

void BatchSimulation::PauseVm(std::size_t vm, base::Duration duration) {
  this->vm_states[vm].paused_until = this->time + duration;
}

void BatchSimulation::SetPartition(std::size_t vm, bool enabled,
                                   bool from_peers) {
  this->vm_states[vm].without_table = enabled;
  this->vm_states[vm].without_peers = enabled && from_peers;
}

void BatchSimulation::FailEndpoint(std::size_t index, base::Duration duration) {
  auto& endpoint = this->endpoints[index];
  endpoint.down_until = this->time + duration;
  std::vector<std::uint64_t> ids;
  for (const auto& [id, active] : endpoint.active_runs) ids.push_back(id);
  for (const auto id : ids) {
    this->EndRun(index, id, policy::ItemOutcome::kEndpointFailed);
  }
}

void BatchSimulation::SetEndpointFailing(std::size_t endpoint, bool failing) {
  this->endpoints[endpoint].failing = failing;
}

void BatchSimulation::SetSlots(std::uint32_t slots) {
  this->options.slots = slots;
}

void BatchSimulation::DrainVm(std::size_t vm) {
  auto& state = this->vm_states[vm];
  if (!state.alive) return;
  state.node->Drain(this->time);
  this->ExecuteActions(vm);
}

std::shared_ptr<bool> BatchSimulation::Cancel(std::size_t vm,
                                              const SubmittedJob& job) {
  auto acknowledged = std::make_shared<bool>(false);
  const auto incarnation = this->vm_states[vm].incarnation;
  this->Deliver(vm, incarnation, [this, job, acknowledged](auto& node) {
    node.Cancel(this->time, job.job,
                [acknowledged](base::Instant, const base::Status& status) {
                  if (status.ok()) *acknowledged = true;
                });
  });
  return acknowledged;
}

policy::JobState BatchSimulation::JobStateOf(const SubmittedJob& job) const {
  base::TableScan scan;
  scan.prefix = policy::JobRowKey(job.job.organisation, job.job.id);
  const auto page = this->memory.Scan(scan);
  return policy::DecodeJob(page.rows.at(0).value)->state;
}

std::map<std::uint32_t, policy::ResultRow> BatchSimulation::ResultRows(
    const SubmittedJob& job) const {
  std::map<std::uint32_t, policy::ResultRow> rows;
  base::TableScan scan;
  scan.prefix = policy::ResultPrefix(job.job.uid);
  for (const auto& row : this->memory.Scan(scan).rows) {
    rows[policy::ChunkOfKey(row.key).value()] =
        *policy::DecodeResult(row.value);
  }
  return rows;
}

std::map<std::uint64_t, policy::ItemResult> BatchSimulation::Results(
    const SubmittedJob& job) const {
  std::map<std::uint64_t, policy::ItemResult> all;
  for (const auto& [chunk, row] : this->ResultRows(job)) {
    const auto bytes = this->memory.GetObject(row.object);
    if (!bytes.ok()) continue;
    const auto results = policy::DecodeResults(*bytes);
    for (const auto& [item, result] : *results) {
      all[row.first_item + item] = result;
    }
  }
  return all;
}

const policy::BatchNode& BatchSimulation::node(std::size_t vm) const {
  return *this->vm_states[vm].node;
}

bool BatchSimulation::IsConnected(std::size_t vm) const {
  if (this->ReachesTable(vm)) return true;
  if (this->vm_states[vm].without_peers) return false;
  for (std::size_t peer = 0; peer < this->vm_states.size(); ++peer) {
    const auto& state = this->vm_states[peer];
    const bool responds =
        state.alive && !state.without_peers && state.paused_until <= this->time;
    if (peer != vm && responds && this->ReachesTable(peer)) return true;
  }
  return false;
}

bool BatchSimulation::ReachesTable(std::size_t vm) const {
  return !this->vm_states[vm].without_table;
}

}  // namespace gypsumtrack::testing
