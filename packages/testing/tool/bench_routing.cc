#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <deque>
#include <functional>
#include <list>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bench.h"
#include "gypsumtrack/policy/router.h"

/// Waits of requests under several ways of choosing endpoints, in virtual time.
namespace gypsumtrack::bench {
namespace {

using base::Duration;
using base::EndpointId;
using base::Instant;

enum class Way {
  kRouter,
  kNoReports,
  kLeastReported,
  kRoundRobin,
  kRandom,
  kOracle
};

constexpr auto kWayNames = base::MakeEnumTable<Way>({
    {Way::kRouter, "router"},
    {Way::kNoReports, "router without reports"},
    {Way::kLeastReported, "least reported load"},
    {Way::kRoundRobin, "round robin"},
    {Way::kRandom, "random"},
    {Way::kOracle, "oracle"},
});

struct Case {
  std::string_view name;
  std::uint32_t vms = 0;
  std::uint32_t workers = 0;
  std::uint32_t domains = 1;
  std::uint32_t slots = 4;
  double utilisation = 0.8;
  Duration service = std::chrono::milliseconds(200);
  Duration warm_up = std::chrono::seconds(10);
  Duration measured = std::chrono::seconds(60);
  /// Distinct prompt prefixes; 0 sends no affinity key.
  std::uint32_t prefixes = 0;
};

constexpr Duration kReportLag = std::chrono::seconds(1);
constexpr Duration kReportInterval = std::chrono::milliseconds(500);
constexpr std::uint32_t kReportsPerInterval = 4;
constexpr std::size_t kCachedPrefixes = 16;

struct Worker {
  std::uint32_t running = 0;
  std::deque<std::pair<Instant, std::uint64_t>> waiting;
  std::deque<std::pair<Instant, std::uint32_t>> history;
  std::list<std::uint32_t> cached;

  std::uint32_t Load() const {
    return this->running + static_cast<std::uint32_t>(this->waiting.size());
  }
};

struct Job {
  std::uint32_t vm = 0;
  std::uint32_t worker = 0;
  Instant sent{};
  Duration service{};
};

struct Vm {
  policy::EndpointRouter router;
  policy::FleetView view;
  std::vector<std::uint32_t> local;
  std::vector<std::uint32_t> reported;
  std::uint32_t next_report = 0;
  std::uint32_t next_robin = 0;
};

struct Result {
  std::vector<double> waits_ms;
  std::uint64_t prefix_hits = 0;
  std::uint64_t requests = 0;
};

class RoutingRun {
 public:
  RoutingRun(Case setup, Way way, std::uint64_t seed)
      : setup(setup), way(way), random(seed), workers(setup.workers) {
    for (std::uint32_t i = 0; i < setup.vms; ++i) this->AddVm(i);
  }

  Result Run() {
    const Instant end(this->setup.warm_up + this->setup.measured);
    for (std::uint32_t i = 0; i < this->setup.vms; ++i) {
      this->At(Instant(this->Within(kReportInterval)),
               [this, i] { this->Poll(i); });
    }
    this->At(Instant(), [this] { this->Arrive(); });
    while (!this->events.empty() && this->events.top().at < end) {
      this->now = this->events.top().at;
      const auto action = this->events.top().action;
      this->events.pop();
      action();
    }
    return std::move(this->result);
  }

 private:
  struct Event {
    Instant at{};
    std::uint64_t order = 0;
    std::function<void()> action;

    bool operator<(const Event& other) const {
      return std::pair(this->at, this->order) >
             std::pair(other.at, other.order);
    }
  };

  void At(Instant at, std::function<void()> action) {
    this->events.push({at, this->order++, std::move(action)});
  }

  Duration Within(Duration limit) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        0, limit.count())(this->random));
  }

  Duration Exponential(double mean_us) {
    return Duration(static_cast<Duration::rep>(
        std::exponential_distribution<double>(1 / mean_us)(this->random)));
  }

  void AddVm(std::uint32_t index) {
    policy::RouterOptions options;
    options.initial_service_time = this->setup.service;
    options.use_reports = this->way != Way::kNoReports;
    Vm vm{policy::EndpointRouter(options), {}, {}, {}, 0, 0};
    auto domain = [](std::uint32_t number) {
      return base::FailureDomain("d" + std::to_string(number));
    };
    const auto own = index % this->setup.domains;
    vm.view.location.domain = domain(own);
    for (std::uint32_t i = 0; i < this->setup.workers; ++i) {
      if (i % this->setup.domains != own) continue;
      policy::Endpoint endpoint;
      endpoint.id = EndpointId(std::to_string(i));
      endpoint.location = vm.view.location;
      endpoint.slots = this->setup.slots;
      vm.local.push_back(i);
      vm.view.endpoints.push_back(std::move(endpoint));
    }
    vm.reported.resize(vm.local.size());
    vm.next_robin = static_cast<std::uint32_t>(this->random());
    this->vms.push_back(std::move(vm));
  }

  void Arrive() {
    const double per_second = this->setup.workers * this->setup.slots *
                              this->setup.utilisation * 1e6 /
                              static_cast<double>(this->setup.service.count());
    this->At(this->now + this->Exponential(1e6 / per_second),
             [this] { this->Arrive(); });
    const auto vm =
        static_cast<std::uint32_t>(this->random() % this->vms.size());
    const auto prefix = this->DrawPrefix();
    const auto position = this->Choose(this->vms[vm], prefix);
    const auto worker = this->vms[vm].local[position];
    this->vms[vm].router.OnAttemptStarted(
        this->vms[vm].view.endpoints[position].id, this->now);
    this->UsePrefix(this->workers[worker], prefix);
    const auto mean = static_cast<double>(this->setup.service.count());
    this->jobs.push_back({vm, worker, this->now, this->Exponential(mean)});
    this->workers[worker].waiting.emplace_back(this->now,
                                               this->jobs.size() - 1);
    this->Advance(worker);
  }

  /// Some prefixes are asked for much more often than others.
  std::uint32_t DrawPrefix() {
    if (this->setup.prefixes == 0) return 0;
    const double draw =
        std::uniform_real_distribution<double>(0, 1)(this->random);
    return static_cast<std::uint32_t>(draw * draw * this->setup.prefixes);
  }

  void UsePrefix(Worker& worker, std::uint32_t prefix) {
    if (this->setup.prefixes == 0) return;
    const auto found =
        std::find(worker.cached.begin(), worker.cached.end(), prefix);
    const bool hit = found != worker.cached.end();
    if (hit) worker.cached.erase(found);
    worker.cached.push_front(prefix);
    if (worker.cached.size() > kCachedPrefixes) worker.cached.pop_back();
    if (this->Measuring()) this->result.prefix_hits += hit ? 1 : 0;
  }

  bool Measuring() const { return this->now >= Instant(this->setup.warm_up); }

  std::size_t Choose(Vm& vm, std::uint32_t prefix) {
    const auto count = vm.local.size();
    switch (this->way) {
      case Way::kRouter:
      case Way::kNoReports: {
        policy::RouteRequest request;
        request.seed = this->random();
        if (this->setup.prefixes > 0) {
          request.affinity_key = std::to_string(prefix);
        }
        const auto* chosen = vm.router.Choose(vm.view, request, this->now);
        return static_cast<std::size_t>(chosen - vm.view.endpoints.data());
      }
      case Way::kRoundRobin:
        return vm.next_robin++ % count;
      case Way::kRandom:
        return this->random() % count;
      case Way::kLeastReported:
        return this->Least(count,
                           [&](std::size_t i) { return vm.reported[i]; });
      case Way::kOracle:
        return this->Least(count, [&](std::size_t i) {
          return this->workers[vm.local[i]].Load();
        });
    }
    return 0;
  }

  /// Ties go to the first after a random start.
  template <typename Load>
  std::size_t Least(std::size_t count, Load load) {
    const auto start = this->random() % count;
    std::size_t best = start;
    for (std::size_t i = 1; i < count; ++i) {
      const auto index = (start + i) % count;
      if (load(index) < load(best)) best = index;
    }
    return best;
  }

  void Advance(std::uint32_t index) {
    auto& worker = this->workers[index];
    while (worker.running < this->setup.slots && !worker.waiting.empty()) {
      const auto id = worker.waiting.front().second;
      worker.waiting.pop_front();
      worker.running++;
      if (this->Measuring()) this->NoteWait(this->now - this->jobs[id].sent);
      this->At(this->now + this->jobs[id].service,
               [this, id] { this->Finish(id); });
    }
    this->NoteLoad(worker);
  }

  void NoteWait(Duration wait) {
    this->result.requests++;
    this->result.waits_ms.push_back(static_cast<double>(wait.count()) / 1e3);
  }

  void NoteLoad(Worker& worker) {
    worker.history.emplace_back(this->now, worker.Load());
    while (worker.history.size() > 1 &&
           worker.history[1].first <= this->now - kReportLag) {
      worker.history.pop_front();
    }
  }

  void Finish(std::uint64_t id) {
    const auto& job = this->jobs[id];
    auto& vm = this->vms[job.vm];
    this->workers[job.worker].running--;
    vm.router.OnAttemptEnded(EndpointId(std::to_string(job.worker)),
                             policy::HealthSignal::kSuccess, job.service,
                             this->now);
    this->Advance(job.worker);
  }

  void Poll(std::uint32_t index) {
    auto& vm = this->vms[index];
    const Instant as_of = this->now - kReportLag;
    for (std::uint32_t i = 0; i < kReportsPerInterval; ++i) {
      const auto position = vm.next_report++ % vm.local.size();
      const auto load = this->LoadAt(this->workers[vm.local[position]], as_of);
      vm.reported[position] = load;
      vm.router.OnReport({vm.view.endpoints[position].id, as_of, load});
    }
    this->At(this->now + kReportInterval, [this, index] { this->Poll(index); });
  }

  std::uint32_t LoadAt(const Worker& worker, Instant as_of) const {
    std::uint32_t load = 0;
    for (const auto& [at, value] : worker.history) {
      if (at > as_of) break;
      load = value;
    }
    return load;
  }

  Case setup;
  Way way;
  std::mt19937_64 random;
  std::vector<Worker> workers;
  std::vector<Vm> vms;
  std::deque<Job> jobs;
  std::priority_queue<Event> events;
  std::uint64_t order = 0;
  Instant now{};
  Result result;
};

double Percentile(std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  const auto index = static_cast<std::ptrdiff_t>(
      share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + index, values.end());
  return values[static_cast<std::size_t>(index)];
}

void Print(const Case& setup, std::uint64_t seed) {
  fmt::print("{}: {} VMs, {} workers, {} slots, utilisation {}, seed {}\n",
             setup.name, setup.vms, setup.workers, setup.slots,
             setup.utilisation, seed);
  for (const auto& way : kWayNames.entries) {
    auto result = RoutingRun(setup, way.value, seed).Run();
    const double hits = static_cast<double>(result.prefix_hits) /
                        static_cast<double>(result.requests);
    const auto median = Percentile(result.waits_ms, 0.5);
    const auto tail = Percentile(result.waits_ms, 0.99);
    fmt::print(
        "  {:24} p50 {:8.1f} ms  p99 {:8.1f} ms  prefix hits {:4.1f}%"
        "  ({} requests)\n",
        way.name, median, tail, hits * 100, result.requests);
  }
}

void PrintSmall(std::uint64_t seed) {
  Case setup{"small", 12, 18};
  Print(setup, seed);
  setup.name = "small, busier";
  setup.utilisation = 0.9;
  Print(setup, seed);
  setup.name = "small, prefixes";
  setup.utilisation = 0.8;
  setup.prefixes = 200;
  Print(setup, seed);
}

void PrintLarge(std::uint64_t seed) {
  Case setup{"large", 400, 6400, 7, 16, 0.8};
  setup.service = std::chrono::seconds(18);
  setup.warm_up = std::chrono::seconds(45);
  setup.measured = std::chrono::seconds(15);
  Print(setup, seed);
}

/// A seventh of the large case, which all of its VMs and workers repeat.
void PrintDomain(std::uint64_t seed) {
  Case setup{"one domain of the large case", 57, 914, 1, 16, 0.8};
  setup.service = std::chrono::seconds(18);
  setup.warm_up = std::chrono::seconds(45);
  setup.measured = std::chrono::seconds(15);
  Print(setup, seed);
}

}  // namespace

/// Arguments: `small`, `domain` or `large`, then a seed; all and 1 if absent.
int BenchRouting(const std::vector<std::string>& args) {
  const std::string which = args.empty() ? "" : args[0];
  std::uint64_t seed = 1;
  if (args.size() > 1) {
    const auto& text = args[1];
    std::from_chars(text.data(), text.data() + text.size(), seed);
  }
  const bool all = which.empty();
  if (all || which == "small") PrintSmall(seed);
  if (all || which == "domain") PrintDomain(seed);
  if (all || which == "large") PrintLarge(seed);
  return 0;
}

}  // namespace gypsumtrack::bench
