#include "gypsumtrack/testing/shared_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace gypsumtrack::testing {
namespace {

using std::chrono::milliseconds;

constexpr base::Duration kSlotTick = milliseconds(10);
constexpr base::Duration kStoreLatency = milliseconds(5);
/// Caller to VM to endpoint, one way.
constexpr base::Duration kOneWay = std::chrono::microseconds(2'500);
/// One way between VMs of a domain.
constexpr base::Duration kNoticeDelay = std::chrono::microseconds(1'500);
/// A VM tells of its load at most this often.
constexpr base::Duration kNoticeTick = milliseconds(5);
constexpr base::Duration kIdleSample = milliseconds(10);
constexpr base::Duration kWarmUp = std::chrono::seconds(10);
constexpr std::uint32_t kChunkItems = 160;

std::size_t IndexOf(const base::EndpointId& endpoint) {
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
  this->MakeVms();
  if (this->options.mode != FleetMode::kOnlineOnly) this->SubmitJobs();
}

void SharedFleet::At(base::Duration after, std::function<void()> run) {
  this->events.emplace(this->time + after, std::move(run));
}

base::WallTime SharedFleet::WallNow() const {
  return base::WallTime(
      std::chrono::duration_cast<milliseconds>(this->time.time_since_epoch()));
}

bool SharedFleet::ForBatchOnly(std::size_t endpoint) const {
  return this->options.mode == FleetMode::kFixedSplit && endpoint % 3 == 0;
}

void SharedFleet::MakeVms() {
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
    vm.told.resize(this->engines.size());
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

/// Each organisation has more work than the run can do, and a small job that
/// comes later and is due soon.
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
  this->due_of[job.uid] = job.due_at;
  for (std::size_t i = 0; i < this->organisations.size(); ++i) {
    if (this->organisations[i].name == organisation.name) {
      this->organisation_of[job.uid] = i;
    }
  }
}

void SharedFleet::Run() {
  const auto end = this->time + this->options.length;
  for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
    if (this->options.mode == FleetMode::kOnlineOnly) break;
    this->At(kSlotTick * static_cast<std::int64_t>(vm) / 12,
             [this, vm] { this->TickVm(vm); });
  }
  this->Arrive();
  this->ReportLoad();
  if (this->options.mode == FleetMode::kOnlineOnly) this->SampleIdle();
  while (!this->events.empty() && this->events.begin()->first <= end) {
    auto event = this->events.extract(this->events.begin());
    this->time = event.key();
    event.mapped()();
  }
}

void SharedFleet::Arrive() {
  const auto phase = this->time.time_since_epoch() % this->options.burst_every;
  const bool burst = phase < this->options.burst_length;
  const double rate = this->options.online_rate *
                      static_cast<double>(this->engines.size()) *
                      (burst ? this->options.burst_factor : 1.0);
  const double wait = std::exponential_distribution<double>(rate)(this->random);
  this->At(base::Duration(static_cast<std::int64_t>(wait * 1e6)), [this] {
    this->SendOnline(this->random() % this->vms.size());
    this->Arrive();
  });
}

/// The better of two of its domain's endpoints by stale report and own load.
std::size_t SharedFleet::ChooseEndpoint(const Vm& vm) {
  const auto count = this->options.endpoints_per_domain;
  const auto first = vm.domain * count;
  const auto any = [&] {
    while (true) {
      const auto endpoint = first + this->random() % count;
      if (!this->ForBatchOnly(endpoint)) return endpoint;
    }
  };
  const auto a = any();
  const auto b = any();
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
  this->Tell(index, endpoint);
  EngineRequest request;
  request.id = ++this->last_request;
  request.tokens = this->options.online_tokens;
  request.prefill = this->options.online_prefill;
  const bool counts =
      sent_at.time_since_epoch() > std::chrono::seconds(1000) + kWarmUp;
  if (counts) {
    request.first_token = [this, sent_at](base::Instant at) {
      const auto wait = at + kOneWay - sent_at;
      this->first_tokens.push_back(static_cast<double>(wait.count()) / 1e3);
    };
  }
  request.end = [this, index, endpoint](base::Instant, std::uint32_t) {
    --this->vms[index].online[endpoint];
    this->Tell(index, endpoint);
  };
  this->At(kOneWay, [this, endpoint, request] {
    this->engines[endpoint]->Submit(request);
  });
}

void SharedFleet::Tell(std::size_t index, std::size_t endpoint) {
  const auto rest = kNoticeTick - this->time.time_since_epoch() % kNoticeTick;
  this->At(rest, [this, index, endpoint] {
    const auto count = this->vms[index].online[endpoint];
    this->At(kNoticeDelay, [this, index, endpoint, count] {
      this->vms[index].told[endpoint] = count;
    });
  });
}

void SharedFleet::ReportLoad() {
  for (std::size_t i = 0; i < this->engines.size(); ++i) {
    const Report report{this->time, this->engines[i]->running(),
                        this->engines[i]->waiting()};
    this->At(this->options.report_lag,
             [this, i, report] { this->reports[i] = report; });
  }
  this->At(this->options.report_every, [this] { this->ReportLoad(); });
}

void SharedFleet::TickVm(std::size_t index) {
  auto& vm = this->vms[index];
  this->Offer(vm);
  vm.node->Tick(this->time, this->WallNow());
  this->Perform(index);
  this->At(kSlotTick, [this, index] { this->TickVm(index); });
}

void SharedFleet::Offer(Vm& vm) {
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
        if (other.id != vm.id) sample.peer_online += other.told[i];
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
      const bool all =
          this->options.mode == FleetMode::kOrdinary || this->ForBatchOnly(i);
      if (!all) continue;
      capacity.push_back(
          {endpoint.id, endpoint.service, endpoint.models, endpoint.slots});
    }
  }
  vm.node->SetCapacity(this->time, capacity);
}

void SharedFleet::Perform(std::size_t vm) {
  for (const auto& action : this->vms[vm].node->TakeActions()) {
    std::visit([this, vm](const auto& call) { this->Do(vm, call); }, action);
  }
}

void SharedFleet::Do(std::size_t vm, const policy::CommitCall& call) {
  const auto status = this->memory.Commit(call.commit);
  if (status.ok()) this->writes += call.commit.writes.size();
  this->At(kStoreLatency, [this, vm, id = call.id, status] {
    this->vms[vm].node->OnStatus(this->time, id, status);
    this->Perform(vm);
  });
}

void SharedFleet::Do(std::size_t vm, const policy::ScanCall& call) {
  const auto page = this->memory.Scan(call.scan);
  this->At(kStoreLatency, [this, vm, id = call.id, page] {
    this->vms[vm].node->OnScan(this->time, id, page);
    this->Perform(vm);
  });
}

void SharedFleet::Do(std::size_t vm, const policy::PutCall& call) {
  const auto status = this->memory.PutObject(call.name, call.bytes);
  this->At(kStoreLatency, [this, vm, id = call.id, status] {
    this->vms[vm].node->OnStatus(this->time, id, status);
    this->Perform(vm);
  });
}

void SharedFleet::Do(std::size_t vm, const policy::GetCall& call) {
  const auto bytes = this->memory.GetObject(call.name);
  this->At(kStoreLatency, [this, vm, id = call.id, bytes] {
    this->vms[vm].node->OnObject(this->time, id, bytes);
    this->Perform(vm);
  });
}

void SharedFleet::Do(std::size_t vm, const policy::RemoveCall& call) {
  this->memory.RemoveObject(call.name);
  this->At(kStoreLatency, [this, vm, id = call.id] {
    this->vms[vm].node->OnStatus(this->time, id, base::Done{});
    this->Perform(vm);
  });
}

void SharedFleet::Do(std::size_t vm, const policy::QueryPeers& ask) {
  this->At(kStoreLatency, [this, vm, id = ask.id] {
    this->vms[vm].node->OnPeerResponse(this->time, id, true, {});
    this->Perform(vm);
  });
}

void SharedFleet::Do(std::size_t vm, const policy::StartItem& item) {
  const auto endpoint = IndexOf(item.endpoint);
  EngineRequest request;
  request.id = ++this->last_request;
  // A resumed item streams only the rest; its prefix counts its tokens.
  const auto before = static_cast<std::uint32_t>(item.streamed.size());
  request.tokens = this->options.batch_tokens - before;
  request.prefill = this->options.batch_prefill;
  this->vms[vm].requests[item.run] = request.id;
  request.end = [this, vm, run = item.run, before, uid = item.job_uid](
                    base::Instant at, std::uint32_t streamed) {
    const auto whole = before + streamed;
    policy::RunResult result;
    result.outcome = policy::ItemOutcome::kCompleted;
    if (whole < this->options.batch_tokens) {
      result.outcome = policy::ItemOutcome::kStopped;
      result.body.assign(whole, 't');
      ++this->stops;
    } else {
      ++this->organisations[this->organisation_of.at(uid)].items;
      if (this->WallNow() > this->due_of.at(uid)) ++this->late;
    }
    this->useful_tokens += streamed;
    (void)at;
    this->At(kNoticeDelay, [this, vm, run, result] {
      this->vms[vm].requests.erase(run);
      this->vms[vm].node->OnItemEnd(this->time, run, result);
      this->Perform(vm);
    });
  };
  this->At(kNoticeDelay, [this, endpoint, request] {
    this->engines[endpoint]->Submit(request);
  });
}

void SharedFleet::Do(std::size_t vm, const policy::StopItem& stop) {
  const auto found = this->vms[vm].requests.find(stop.run);
  if (found == this->vms[vm].requests.end()) return;
  this->At(kNoticeDelay, [this, request = found->second] {
    for (auto& engine : this->engines) engine->Stop(request);
  });
}

/// Tokens that batch would stream in the idle slots, if it always filled them
/// and slowed each step as much as it does.
void SharedFleet::SampleIdle() {
  const auto& engine = this->options.engine;
  for (const auto& fake : this->engines) {
    const auto idle = engine.slots - std::min(engine.slots, fake->running());
    const double reads =
        static_cast<double>(idle) / this->options.batch_tokens *
        static_cast<double>(this->options.batch_prefill.count());
    const double step =
        static_cast<double>(
            (engine.step + engine.step_per_request * engine.slots).count()) +
        reads;
    this->idle_tokens += idle * static_cast<double>(kIdleSample.count()) / step;
  }
  this->At(kIdleSample, [this] { this->SampleIdle(); });
}

std::vector<double> SharedFleet::FirstTokens() const {
  auto sorted = this->first_tokens;
  std::sort(sorted.begin(), sorted.end());
  return sorted;
}

std::uint64_t SharedFleet::items() const {
  std::uint64_t all = 0;
  for (const auto& organisation : this->organisations) {
    all += organisation.items;
  }
  return all;
}

double SharedFleet::WorstShare() const {
  std::uint32_t shares = 0;
  for (const auto& organisation : this->organisations) {
    shares += organisation.share;
  }
  double worst = 1e9;
  for (const auto& organisation : this->organisations) {
    const double due =
        static_cast<double>(this->items()) * organisation.share / shares;
    worst = std::min(worst, static_cast<double>(organisation.items) / due);
  }
  return worst;
}

}  // namespace gypsumtrack::testing
