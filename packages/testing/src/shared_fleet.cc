#include "gypsumtrack/testing/shared_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace gypsumtrack::testing {
namespace {

using std::chrono::milliseconds;

constexpr base::Duration kTickInterval = milliseconds(10);
constexpr base::Duration kStoreLatency = milliseconds(5);
/// One-way delay from the caller through the VM to the endpoint.
constexpr base::Duration kRequestDelay = std::chrono::microseconds(2'500);
/// One-way delay between VMs of a failure domain.
constexpr base::Duration kNoticeDelay = std::chrono::microseconds(1'500);
/// Load notices are sent only at multiples of this interval.
constexpr base::Duration kNoticeInterval = milliseconds(5);
constexpr base::Duration kIdleSampleInterval = milliseconds(10);
constexpr base::Duration kWarmUp = std::chrono::seconds(10);
constexpr std::uint32_t kChunkItems = 160;

std::size_t EndpointIndex(const base::EndpointId& endpoint) {
  std::size_t index = 0;
  std::from_chars(endpoint.text.data() + 1,
                  endpoint.text.data() + endpoint.text.size(), index);
  return index;
}

}  // namespace

SharedFleet::SharedFleet(SharedFleetOptions fleet_options)
    : options(fleet_options),
      random(this->options.seed),
      organisations({{"cairo-federation", 4},
                     {"alex-league", 4},
                     {"giza-schools", 2},
                     {"luxor-open", 2},
                     {"aswan-club", 1},
                     {"suez-club", 1},
                     {"minya-club", 1},
                     {"tanta-club", 1}}) {
  const auto count = this->options.domains * this->options.endpoints_per_domain;
  for (std::uint32_t i = 0; i < count; ++i) {
    this->engines.push_back(std::make_unique<StepEngine>(
        this->options.engine, [this] { return this->time; },
        [this](base::Duration after, std::function<void()> run) {
          this->At(after, std::move(run));
        }));
  }
  this->reports.resize(count);
  this->CreateVms();
  if (this->options.mode != FleetMode::kOnlineOnly) this->SubmitJobs();
}

void SharedFleet::At(base::Duration after, std::function<void()> run) {
  this->events.emplace(this->time + after, std::move(run));
}

base::WallTime SharedFleet::WallNow() const {
  return base::WallTime(
      std::chrono::duration_cast<milliseconds>(this->time.time_since_epoch()));
}

bool SharedFleet::IsBatchOnly(std::size_t endpoint) const {
  return this->options.mode == FleetMode::kFixedSplit && endpoint % 3 == 0;
}

void SharedFleet::CreateVms() {
  for (std::size_t i = 0; i < this->engines.size(); ++i) {
    policy::Endpoint endpoint;
    endpoint.id.text = fmt::format("e{}", i);
    endpoint.location.domain.text =
        fmt::format("d{}", i / this->options.endpoints_per_domain);
    endpoint.service.text = "clockdesk";
    endpoint.slots = this->options.engine.slots;
    this->view.endpoints.push_back(endpoint);
  }
  for (std::uint32_t i = 0;
       i < this->options.domains * this->options.vms_per_domain; ++i) {
    Vm vm;
    vm.id = {fmt::format("vm{}", i), 1};
    vm.domain = i / this->options.vms_per_domain;
    vm.online.resize(this->engines.size());
    vm.notified_online.resize(this->engines.size());
    vm.node = std::make_unique<policy::BatchNode>(
        vm.id, policy::BatchOptions{}, this->options.seed * 1000 + i);
    vm.slots = std::make_unique<policy::BatchSlots>(this->options.slots);
    this->vms.push_back(std::move(vm));
  }
  for (auto& vm : this->vms) {
    auto own = this->view;
    own.self = vm.id;
    own.location.domain.text = fmt::format("d{}", vm.domain);
    for (const auto& other : this->vms) {
      if (other.id == vm.id) continue;
      policy::PeerVm peer;
      peer.id = other.id;
      peer.location.domain.text = fmt::format("d{}", other.domain);
      peer.state = policy::PeerState::kLive;
      own.peers.push_back(peer);
    }
    vm.slots->SetFleet(own);
  }
}

/// Submits more work for each organisation than the run can complete, and later
/// a small job with a near due time.
void SharedFleet::SubmitJobs() {
  for (const auto& organisation : this->organisations) {
    for (int i = 0; i < 3; ++i) {
      this->Submit(organisation, fmt::format("large{}", i), 12'000,
                   std::chrono::hours(4 + i));
    }
    this->At(std::chrono::seconds(60), [this, organisation] {
      this->Submit(organisation, "small", 480, std::chrono::seconds(120));
    });
  }
}

void SharedFleet::Submit(const Organisation& organisation,
                         const std::string& id, std::uint32_t items,
                         base::Duration due_in) {
  policy::BatchJob job;
  job.organisation.text = organisation.name;
  job.id.text = id;
  job.uid = fmt::format("{}-{}", organisation.name, id);
  job.service.text = "clockdesk";
  job.share = organisation.share;
  job.items = items;
  job.accepted_at = this->WallNow();
  job.due_at =
      this->WallNow() + std::chrono::duration_cast<milliseconds>(due_in);
  job.keep_until = job.due_at + std::chrono::hours(24);
  base::TableCommit rows;
  rows.operation_id = fmt::format("submit/{}", ++this->last_operation);
  rows.writes = {{policy::StagingRowKey(job.uid), policy::EncodeStaging({})}};
  for (std::uint32_t at = 0; at < items; at += kChunkItems) {
    const auto end = std::min(items, at + kChunkItems);
    std::string bytes;
    for (auto i = at; i < end; ++i) bytes += "{}\n";
    (void)this->memory.PutObject(policy::InputObject(job.uid, job.chunks),
                                 bytes);
    policy::ChunkRow row;
    row.first_item = at;
    row.items = end - at;
    rows.writes.push_back(
        {policy::ChunkRowKey(job.uid, job.chunks), policy::EncodeChunk(row)});
    ++job.chunks;
  }
  (void)this->memory.Commit(rows);
  (void)this->memory.Commit(policy::AcceptJob(
      fmt::format("submit/{}", ++this->last_operation), job, 1));
  this->due_by_job[job.uid] = job.due_at;
  for (std::size_t i = 0; i < this->organisations.size(); ++i) {
    if (this->organisations[i].name == organisation.name) {
      this->organisation_by_job[job.uid] = i;
    }
  }
}

void SharedFleet::Run() {
  const auto end = this->time + this->options.run_duration;
  for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
    if (this->options.mode == FleetMode::kOnlineOnly) break;
    this->At(kTickInterval * static_cast<std::int64_t>(vm) / 12,
             [this, vm] { this->TickVm(vm); });
  }
  this->ScheduleArrival();
  this->ReportLoad();
  if (this->options.mode == FleetMode::kOnlineOnly) this->SampleIdle();
  while (!this->events.empty() && this->events.begin()->first <= end) {
    auto event = this->events.extract(this->events.begin());
    this->time = event.key();
    event.mapped()();
  }
}

void SharedFleet::ScheduleArrival() {
  const auto phase =
      this->time.time_since_epoch() % this->options.burst_interval;
  const bool burst = phase < this->options.burst_duration;
  const double rate = this->options.online_rate *
                      static_cast<double>(this->engines.size()) *
                      (burst ? this->options.burst_factor : 1.0);
  const double wait = std::exponential_distribution<double>(rate)(this->random);
  this->At(base::Duration(static_cast<std::int64_t>(wait * 1e6)), [this] {
    this->SendOnline(this->random() % this->vms.size());
    this->ScheduleArrival();
  });
}

/// Picks two random endpoints of the VM's domain and returns the one with the
/// lower load by its last report and the VM's own requests.
std::size_t SharedFleet::ChooseEndpoint(const Vm& vm) {
  const auto count = this->options.endpoints_per_domain;
  const auto first = vm.domain * count;
  const auto random_endpoint = [&] {
    while (true) {
      const auto endpoint = first + this->random() % count;
      if (!this->IsBatchOnly(endpoint)) return endpoint;
    }
  };
  const auto a = random_endpoint();
  const auto b = random_endpoint();
  const auto load = [&](std::size_t endpoint) {
    return this->reports[endpoint].running + this->reports[endpoint].waiting +
           vm.online[endpoint];
  };
  return load(a) <= load(b) ? a : b;
}

void SharedFleet::SendOnline(std::size_t index) {
  auto& vm = this->vms[index];
  const auto endpoint = this->ChooseEndpoint(vm);
  const auto sent_at = this->time;
  ++vm.online[endpoint];
  this->SendLoadNotice(index, endpoint);
  EngineRequest request;
  request.id = ++this->last_request;
  request.tokens = this->options.online_tokens;
  request.prefill = this->options.online_prefill;
  const bool after_warm_up =
      sent_at.time_since_epoch() > std::chrono::seconds(1000) + kWarmUp;
  if (after_warm_up) {
    request.first_token = [this, sent_at](base::Instant at) {
      const auto wait = at + kRequestDelay - sent_at;
      this->first_token_times_ms.push_back(static_cast<double>(wait.count()) /
                                           1e3);
    };
  }
  request.end = [this, index, endpoint](base::Instant, std::uint32_t) {
    --this->vms[index].online[endpoint];
    this->SendLoadNotice(index, endpoint);
  };
  this->At(kRequestDelay, [this, endpoint, request] {
    this->engines[endpoint]->Submit(request);
  });
}

void SharedFleet::SendLoadNotice(std::size_t index, std::size_t endpoint) {
  const auto delay =
      kNoticeInterval - this->time.time_since_epoch() % kNoticeInterval;
  this->At(delay, [this, index, endpoint] {
    const auto count = this->vms[index].online[endpoint];
    this->At(kNoticeDelay, [this, index, endpoint, count] {
      this->vms[index].notified_online[endpoint] = count;
    });
  });
}

void SharedFleet::ReportLoad() {
  for (std::size_t i = 0; i < this->engines.size(); ++i) {
    const Report report{this->time, this->engines[i]->running(),
                        this->engines[i]->waiting()};
    this->At(this->options.report_delay,
             [this, i, report] { this->reports[i] = report; });
  }
  this->At(this->options.report_interval, [this] { this->ReportLoad(); });
}

void SharedFleet::TickVm(std::size_t index) {
  auto& vm = this->vms[index];
  this->UpdateCapacity(vm);
  vm.node->Tick(this->time, this->WallNow());
  this->ExecuteActions(index);
  this->At(kTickInterval, [this, index] { this->TickVm(index); });
}

void SharedFleet::UpdateCapacity(Vm& vm) {
  std::vector<policy::BatchCapacity> capacity;
  for (std::size_t i = 0; i < this->engines.size(); ++i) {
    const auto& id = this->view.endpoints[i].id;
    if (!vm.slots->Owns(id)) continue;
    policy::LoadSample sample;
    sample.endpoint = id;
    sample.reported_running = this->reports[i].running;
    sample.reported_waiting = this->reports[i].waiting;
    sample.reported_at = this->reports[i].at;
    sample.own_online = vm.online[i];
    sample.own_batch = vm.node->Running(id);
    if (this->options.load_notices) {
      for (const auto& other : this->vms) {
        if (other.id != vm.id) sample.peer_online += other.notified_online[i];
      }
      sample.peers_known = true;
    }
    vm.slots->Observe(this->time, sample);
  }
  if (this->options.mode == FleetMode::kYield) {
    capacity = vm.slots->Capacity(this->time);
  } else {
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      const auto& endpoint = this->view.endpoints[i];
      if (!vm.slots->Owns(endpoint.id)) continue;
      const bool batch_allowed =
          this->options.mode == FleetMode::kSameAsOnline ||
          this->IsBatchOnly(i);
      if (!batch_allowed) continue;
      capacity.push_back(
          {endpoint.id, endpoint.service, endpoint.models, endpoint.slots});
    }
  }
  vm.node->SetCapacity(this->time, capacity);
}

void SharedFleet::ExecuteActions(std::size_t vm) {
  for (const auto& action : this->vms[vm].node->TakeActions()) {
    std::visit([this, vm](const auto& call) { this->Execute(vm, call); },
               action);
  }
}

void SharedFleet::Execute(std::size_t vm, const policy::CommitCall& call) {
  const auto status = this->memory.Commit(call.commit);
  if (status.ok()) this->write_count += call.commit.writes.size();
  this->At(kStoreLatency, [this, vm, id = call.id, status] {
    this->vms[vm].node->OnStatus(this->time, id, status);
    this->ExecuteActions(vm);
  });
}

void SharedFleet::Execute(std::size_t vm, const policy::ScanCall& call) {
  const auto page = this->memory.Scan(call.scan);
  this->At(kStoreLatency, [this, vm, id = call.id, page] {
    this->vms[vm].node->OnScan(this->time, id, page);
    this->ExecuteActions(vm);
  });
}

void SharedFleet::Execute(std::size_t vm, const policy::PutCall& call) {
  const auto status = this->memory.PutObject(call.name, call.bytes);
  this->At(kStoreLatency, [this, vm, id = call.id, status] {
    this->vms[vm].node->OnStatus(this->time, id, status);
    this->ExecuteActions(vm);
  });
}

void SharedFleet::Execute(std::size_t vm, const policy::GetCall& call) {
  const auto bytes = this->memory.GetObject(call.name);
  this->At(kStoreLatency, [this, vm, id = call.id, bytes] {
    this->vms[vm].node->OnObject(this->time, id, bytes);
    this->ExecuteActions(vm);
  });
}

void SharedFleet::Execute(std::size_t vm, const policy::RemoveCall& call) {
  this->memory.RemoveObject(call.name);
  this->At(kStoreLatency, [this, vm, id = call.id] {
    this->vms[vm].node->OnStatus(this->time, id, base::Done{});
    this->ExecuteActions(vm);
  });
}

void SharedFleet::Execute(std::size_t vm, const policy::QueryPeers& query) {
  this->At(kStoreLatency, [this, vm, id = query.id] {
    this->vms[vm].node->OnPeerResponse(this->time, id, true, {});
    this->ExecuteActions(vm);
  });
}

void SharedFleet::Execute(std::size_t vm, const policy::StartItem& item) {
  const auto endpoint = EndpointIndex(item.endpoint);
  EngineRequest request;
  request.id = ++this->last_request;
  // A resumed item streams only its remaining tokens. Its streamed prefix has
  // one byte per token.
  const auto streamed_before = static_cast<std::uint32_t>(item.streamed.size());
  request.tokens = this->options.batch_tokens - streamed_before;
  request.prefill = this->options.batch_prefill;
  this->vms[vm].requests[item.run] = request.id;
  request.end = [this, vm, run = item.run, streamed_before, uid = item.job_uid](
                    base::Instant at, std::uint32_t streamed) {
    const auto total_streamed = streamed_before + streamed;
    policy::RunResult result;
    result.outcome = policy::ItemOutcome::kCompleted;
    if (total_streamed < this->options.batch_tokens) {
      result.outcome = policy::ItemOutcome::kStopped;
      result.body.assign(total_streamed, 't');
      ++this->stopped_count;
    } else {
      ++this->organisations[this->organisation_by_job.at(uid)].items;
      if (this->WallNow() > this->due_by_job.at(uid)) ++this->late_item_count;
    }
    this->streamed_batch_tokens += streamed;
    (void)at;
    this->At(kNoticeDelay, [this, vm, run, result] {
      this->vms[vm].requests.erase(run);
      this->vms[vm].node->OnItemEnd(this->time, run, result);
      this->ExecuteActions(vm);
    });
  };
  this->At(kNoticeDelay, [this, endpoint, request] {
    this->engines[endpoint]->Submit(request);
  });
}

void SharedFleet::Execute(std::size_t vm, const policy::StopItem& stop) {
  const auto found = this->vms[vm].requests.find(stop.run);
  if (found == this->vms[vm].requests.end()) return;
  this->At(kNoticeDelay, [this, request = found->second] {
    for (auto& engine : this->engines) engine->Stop(request);
  });
}

/// Adds the tokens that batch would stream if it always filled the idle slots,
/// including the slowdown of each step that batch causes.
void SharedFleet::SampleIdle() {
  const auto& engine = this->options.engine;
  for (const auto& simulated : this->engines) {
    const auto idle =
        engine.slots - std::min(engine.slots, simulated->running());
    const double prefill =
        static_cast<double>(idle) / this->options.batch_tokens *
        static_cast<double>(this->options.batch_prefill.count());
    const double step =
        static_cast<double>(
            (engine.step + engine.step_per_request * engine.slots).count()) +
        prefill;
    this->idle_slot_token_sum +=
        idle * static_cast<double>(kIdleSampleInterval.count()) / step;
  }
  this->At(kIdleSampleInterval, [this] { this->SampleIdle(); });
}

std::vector<double> SharedFleet::FirstTokenTimesMs() const {
  auto sorted = this->first_token_times_ms;
  std::sort(sorted.begin(), sorted.end());
  return sorted;
}

std::uint64_t SharedFleet::items() const {
  std::uint64_t total = 0;
  for (const auto& organisation : this->organisations) {
    total += organisation.items;
  }
  return total;
}

double SharedFleet::LowestRelativeShare() const {
  std::uint32_t shares = 0;
  for (const auto& organisation : this->organisations) {
    shares += organisation.share;
  }
  double lowest = 1e9;
  for (const auto& organisation : this->organisations) {
    const double due_items =
        static_cast<double>(this->items()) * organisation.share / shares;
    lowest =
        std::min(lowest, static_cast<double>(organisation.items) / due_items);
  }
  return lowest;
}

}  // namespace gypsumtrack::testing
