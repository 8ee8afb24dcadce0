#include "gypsumtrack/testing/batch_world.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace gypsumtrack::testing {
namespace {

using std::chrono::milliseconds;

constexpr base::Duration kTick = milliseconds(100);
constexpr base::Duration kCallDeadline = std::chrono::seconds(2);
constexpr base::Duration kRefusal = milliseconds(5);

base::Error Lost() { return {base::Errc::kUnknown, "no answer"}; }
base::Error Unreachable() { return {base::Errc::kUnavailable, "cut off"}; }

std::size_t IndexOf(const base::EndpointId& endpoint) {
  std::size_t index = 0;
  std::from_chars(endpoint.text.data() + 1,
                  endpoint.text.data() + endpoint.text.size(), index);
  return index;
}

bool Has(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

BatchWorld::BatchWorld(BatchWorldOptions world_options)
    : options(world_options),
      random(world_options.seed),
      machines(world_options.vms),
      endpoints(world_options.endpoints) {
  this->options.batch.start_interval = base::Duration(0);
  for (std::size_t vm = 0; vm < this->machines.size(); ++vm) this->Start(vm);
}

base::Duration BatchWorld::Between(base::Duration least, base::Duration most) {
  std::uniform_int_distribution<std::int64_t> spread(least.count(),
                                                     most.count());
  return base::Duration(spread(this->random));
}

bool BatchWorld::Chance(double part) {
  return std::uniform_real_distribution<double>(0, 1)(this->random) < part;
}

base::WallTime BatchWorld::WallNow() const {
  return this->wall + std::chrono::duration_cast<milliseconds>(
                          this->time.time_since_epoch());
}

void BatchWorld::At(base::Duration after, std::function<void()> run) {
  this->events.emplace(this->time + after, std::move(run));
}

void BatchWorld::Start(std::size_t vm) {
  auto& machine = this->machines[vm];
  ++machine.incarnation;
  machine.alive = true;
  machine.paused_until = {};
  const base::VmId id{fmt::format("vm{}", vm), machine.incarnation};
  machine.node = std::make_unique<policy::BatchNode>(
      id, this->options.batch, this->options.seed * 1000 + vm);
  const auto incarnation = machine.incarnation;
  this->At(this->Between(milliseconds(0), kTick),
           [this, vm, incarnation] { this->TickVm(vm, incarnation); });
}

void BatchWorld::TickVm(std::size_t vm, std::uint64_t incarnation) {
  const auto& machine = this->machines[vm];
  if (!machine.alive || machine.incarnation != incarnation) return;
  if (machine.paused_until <= this->time) {
    this->Offer(vm);
    const auto wall_now = this->wall + std::chrono::duration_cast<milliseconds>(
                                           this->time.time_since_epoch());
    machine.node->Tick(this->time, wall_now);
    this->Perform(vm);
  }
  this->At(kTick, [this, vm, incarnation] { this->TickVm(vm, incarnation); });
}

/// Each endpoint belongs to the first live VM at or after its number.
void BatchWorld::Offer(std::size_t vm) {
  std::vector<policy::BatchCapacity> capacity;
  for (std::size_t i = 0; i < this->endpoints.size(); ++i) {
    auto owner = i % this->machines.size();
    for (std::size_t step = 0; step < this->machines.size(); ++step) {
      if (this->machines[owner].alive) break;
      owner = (owner + 1) % this->machines.size();
    }
    if (owner != vm) continue;
    capacity.push_back({base::EndpointId(fmt::format("e{}", i)),
                        base::Service("clockdesk"),
                        {},
                        this->options.slots});
  }
  this->machines[vm].node->SetCapacity(this->time, capacity);
}

void BatchWorld::Deliver(std::size_t vm, std::uint64_t incarnation,
                         std::function<void(policy::BatchNode&)> event) {
  const auto& machine = this->machines[vm];
  if (!machine.alive || machine.incarnation != incarnation) return;
  if (machine.paused_until > this->time) {
    this->events.emplace(machine.paused_until,
                         [this, vm, incarnation, event = std::move(event)] {
                           this->Deliver(vm, incarnation, event);
                         });
    return;
  }
  event(*machine.node);
  this->Perform(vm);
}

void BatchWorld::Perform(std::size_t vm) {
  for (const auto& action : this->machines[vm].node->TakeActions()) {
    std::visit([this, vm](const auto& call) { this->Do(vm, call); }, action);
  }
}

/// `effect` runs at the store; `reply` brings its value, or an error, back.
template <typename Effect, typename Handler>
void BatchWorld::CallStore(std::size_t vm, Effect effect, Handler reply) {
  using Value = decltype(effect());
  const auto incarnation = this->machines[vm].incarnation;
  const auto answer = [this, vm, incarnation, reply](base::Duration after,
                                                     Value value) {
    this->At(after, [this, vm, incarnation, reply, value = std::move(value)] {
      this->Deliver(vm, incarnation, [reply, value](policy::BatchNode& node) {
        reply(node, value);
      });
    });
  };
  if (!this->ReachesTable(vm)) return answer(kRefusal, Unreachable());
  if (this->Chance(this->options.lost_requests)) {
    return answer(kCallDeadline, Lost());
  }
  const bool answered = !this->Chance(this->options.lost_answers);
  this->At(this->Between(milliseconds(1), milliseconds(20)),
           [this, vm, effect, answer, answered] {
             auto value = effect();
             if (answered && this->ReachesTable(vm)) {
               answer(this->Between(milliseconds(1), milliseconds(20)),
                      std::move(value));
             } else {
               answer(kCallDeadline, Lost());
             }
           });
}

void BatchWorld::Do(std::size_t vm, const policy::CommitCall& call) {
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

void BatchWorld::Do(std::size_t vm, const policy::ScanCall& call) {
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

void BatchWorld::Do(std::size_t vm, const policy::PutCall& call) {
  this->CallStore(
      vm,
      [this, name = call.name, bytes = call.bytes] {
        return this->memory.PutObject(name, bytes);
      },
      [this, id = call.id](policy::BatchNode& node, const base::Status& value) {
        node.OnStatus(this->time, id, value);
      });
}

void BatchWorld::Do(std::size_t vm, const policy::GetCall& call) {
  this->CallStore(
      vm, [this, name = call.name] { return this->memory.GetObject(name); },
      [this, id = call.id](policy::BatchNode& node,
                           const base::Outcome<std::string>& value) {
        node.OnObject(this->time, id, value);
      });
}

void BatchWorld::Do(std::size_t vm, const policy::RemoveCall& call) {
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

void BatchWorld::Do(std::size_t vm, const policy::StartItem& item) {
  const auto index = IndexOf(item.endpoint);
  auto& endpoint = this->endpoints[index];
  const auto incarnation = this->machines[vm].incarnation;
  ItemSend send{this->time, vm, item.job_uid,       item.chunk,
                item.item,  {}, this->Connected(vm)};
  if (endpoint.down_until > this->time) {
    send.outcome = policy::ItemOutcome::kNotRun;
    this->sent.push_back(send);
    this->At(milliseconds(20), [this, vm, incarnation, run = item.run] {
      this->Answer(vm, incarnation, run,
                   {policy::ItemOutcome::kNotRun, "", "connection refused"});
    });
    return;
  }
  send.outcome = policy::ItemOutcome::kEndpointFailed;
  this->sent.push_back(send);
  Flight flight{vm, incarnation, item, this->sent.size() - 1, this->time, {}};
  const auto length =
      this->Between(milliseconds(20), this->options.longest_item);
  flight.ends = this->time + length;
  const auto id = ++this->last_flight;
  endpoint.flights.emplace(id, flight);
  this->At(length, [this, index, id] {
    const auto& fake = this->endpoints[index];
    const auto found = fake.flights.find(id);
    if (found == fake.flights.end()) return;
    const auto& body = found->second.item.body;
    if (Has(body, kPoison)) {
      this->FailEndpoint(index, std::chrono::seconds(2));
    } else if (fake.broken) {
      this->EndFlight(index, id, policy::ItemOutcome::kEndpointFailed);
    } else if (Has(body, kBad)) {
      this->EndFlight(index, id, policy::ItemOutcome::kRejected);
    } else {
      this->EndFlight(index, id, policy::ItemOutcome::kCompleted);
    }
  });
}

void BatchWorld::EndFlight(std::size_t index, std::uint64_t id,
                           policy::ItemOutcome outcome) {
  auto& flights = this->endpoints[index].flights;
  const auto found = flights.find(id);
  if (found == flights.end()) return;
  const Flight flight = std::move(found->second);
  flights.erase(found);
  this->sent[flight.send].outcome = outcome;
  policy::RunResult result{outcome, "", ""};
  if (outcome == policy::ItemOutcome::kCompleted) {
    result.body = "done:" + flight.item.body;
  } else if (outcome != policy::ItemOutcome::kStopped) {
    result.reason = std::string(policy::kItemOutcomeNames.Name(outcome));
  }
  this->Answer(flight.vm, flight.incarnation, flight.item.run,
               std::move(result));
}

void BatchWorld::Answer(std::size_t vm, std::uint64_t incarnation,
                        policy::RunId run, policy::RunResult result) {
  this->Deliver(vm, incarnation,
                [this, run, result = std::move(result)](auto& node) {
                  node.OnItemEnd(this->time, run, result);
                });
}

void BatchWorld::Do(std::size_t vm, const policy::StopItem& stop) {
  const auto incarnation = this->machines[vm].incarnation;
  this->At(milliseconds(2), [this, vm, incarnation, run = stop.run] {
    for (std::size_t i = 0; i < this->endpoints.size(); ++i) {
      for (const auto& [id, flight] : this->endpoints[i].flights) {
        if (flight.vm != vm || flight.incarnation != incarnation) continue;
        if (flight.item.run != run) continue;
        return this->EndFlight(i, id, policy::ItemOutcome::kStopped);
      }
    }
  });
}

void BatchWorld::Do(std::size_t vm, const policy::QueryPeers& ask) {
  const auto incarnation = this->machines[vm].incarnation;
  const auto answer = [this, vm, incarnation, id = ask.id](
                          bool answered,
                          const std::vector<std::string>& ended) {
    this->Deliver(vm, incarnation,
                  [this, id, answered, ended](policy::BatchNode& node) {
                    node.OnPeerResponse(this->time, id, answered, ended);
                  });
  };
  for (std::size_t peer = 0; peer < this->machines.size(); ++peer) {
    const auto& machine = this->machines[peer];
    if (peer == vm || !machine.alive || !this->ReachesTable(peer)) continue;
    if (machine.cut_from_peers || this->machines[vm].cut_from_peers) continue;
    if (machine.paused_until > this->time) continue;
    this->At(milliseconds(10), [this, ask, answer] {
      std::vector<std::string> ended;
      for (const auto& key : ask.open_keys) {
        base::TableScan scan;
        scan.prefix = key;
        if (this->memory.Scan(scan).rows.empty()) ended.push_back(key);
      }
      answer(true, ended);
    });
    return;
  }
  this->At(kRefusal, [answer] { answer(false, {}); });
}

void BatchWorld::Do(std::size_t vm, const policy::NotifyPeers& tell) {
  if (this->machines[vm].cut_from_peers) return;
  for (std::size_t peer = 0; peer < this->machines.size(); ++peer) {
    if (peer == vm || this->machines[peer].cut_from_peers) continue;
    if (this->machines[peer].paused_until > this->time) continue;
    const auto incarnation = this->machines[peer].incarnation;
    this->At(milliseconds(2), [this, peer, incarnation, uid = tell.job_uid] {
      this->Deliver(peer, incarnation, [this, uid](policy::BatchNode& node) {
        node.OnCancelled(this->time, uid);
      });
    });
  }
}

SubmittedJob BatchWorld::Submit(const std::string& organisation,
                                const std::string& id,
                                std::vector<std::string> lines,
                                std::uint32_t chunk_items, bool idempotent) {
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

void BatchWorld::RunFor(base::Duration duration) {
  const auto end = this->time + duration;
  while (!this->events.empty() && this->events.begin()->first <= end) {
    auto event = this->events.extract(this->events.begin());
    this->time = event.key();
    event.mapped()();
  }
  this->time = end;
}

bool BatchWorld::RunUntilEnded(base::Duration longest) {
  const auto end = this->time + longest;
  const auto ended = [this] {
    return std::all_of(this->submitted.begin(), this->submitted.end(),
                       [this](const SubmittedJob& job) {
                         return this->StateOf(job) != policy::JobState::kOpen;
                       });
  };
  while (!ended() && this->time < end) this->RunFor(std::chrono::seconds(1));
  return ended();
}

void BatchWorld::LoseVm(std::size_t vm, base::Duration delay) {
  auto& machine = this->machines[vm];
  if (!machine.alive) return;
  machine.alive = false;
  // Handlers of calls in flight never run: the node can go at once.
  machine.node.reset();
  this->At(delay, [this, vm] { this->Start(vm); });
}

void BatchWorld::PauseVm(std::size_t vm, base::Duration duration) {
  this->machines[vm].paused_until = this->time + duration;
}

void BatchWorld::CutVm(std::size_t vm, bool cut, bool peers) {
  this->machines[vm].cut = cut;
  this->machines[vm].cut_from_peers = cut && peers;
}

void BatchWorld::FailEndpoint(std::size_t index, base::Duration duration) {
  auto& endpoint = this->endpoints[index];
  endpoint.down_until = this->time + duration;
  std::vector<std::uint64_t> ids;
  for (const auto& [id, flight] : endpoint.flights) ids.push_back(id);
  for (const auto id : ids) {
    this->EndFlight(index, id, policy::ItemOutcome::kEndpointFailed);
  }
}

void BatchWorld::BreakEndpoint(std::size_t endpoint, bool broken) {
  this->endpoints[endpoint].broken = broken;
}

void BatchWorld::SetSlots(std::uint32_t slots) { this->options.slots = slots; }

void BatchWorld::DrainVm(std::size_t vm) {
  auto& machine = this->machines[vm];
  if (!machine.alive) return;
  machine.node->Drain(this->time);
  this->Perform(vm);
}

std::shared_ptr<bool> BatchWorld::Cancel(std::size_t vm,
                                         const SubmittedJob& job) {
  auto acknowledged = std::make_shared<bool>(false);
  const auto incarnation = this->machines[vm].incarnation;
  this->Deliver(vm, incarnation, [this, job, acknowledged](auto& node) {
    node.Cancel(this->time, job.job,
                [acknowledged](base::Instant, const base::Status& status) {
                  if (status.ok()) *acknowledged = true;
                });
  });
  return acknowledged;
}

policy::JobState BatchWorld::StateOf(const SubmittedJob& job) const {
  base::TableScan scan;
  scan.prefix = policy::JobRowKey(job.job.organisation, job.job.id);
  const auto page = this->memory.Scan(scan);
  return policy::DecodeJob(page.rows.at(0).value)->state;
}

std::map<std::uint32_t, policy::ResultRow> BatchWorld::ResultRows(
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

std::map<std::uint64_t, policy::ItemResult> BatchWorld::Results(
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

const policy::BatchNode& BatchWorld::node(std::size_t vm) const {
  return *this->machines[vm].node;
}

bool BatchWorld::Connected(std::size_t vm) const {
  if (this->ReachesTable(vm)) return true;
  if (this->machines[vm].cut_from_peers) return false;
  for (std::size_t peer = 0; peer < this->machines.size(); ++peer) {
    const auto& machine = this->machines[peer];
    const bool answers = machine.alive && !machine.cut_from_peers &&
                         machine.paused_until <= this->time;
    if (peer != vm && answers && this->ReachesTable(peer)) return true;
  }
  return false;
}

bool BatchWorld::ReachesTable(std::size_t vm) const {
  return !this->machines[vm].cut;
}

}  // namespace gypsumtrack::testing
