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

/// Measures the queueing delay of requests under several routing strategies, in
/// virtual time.
namespace gypsumtrack::bench {
namespace {

using base::Duration;
using base::EndpointId;
using base::Instant;

enum class RoutingStrategy {
  kRouter,
  kNoReports,
  kLeastReported,
  kRoundRobin,
  kRandom,
  kOracle
};

constexpr auto kStrategyNames = base::MakeEnumTable<RoutingStrategy>({
    {RoutingStrategy::kRouter, "router"},
    {RoutingStrategy::kNoReports, "router without reports"},
    {RoutingStrategy::kLeastReported, "least reported load"},
    {RoutingStrategy::kRoundRobin, "round robin"},
    {RoutingStrategy::kRandom, "random"},
    {RoutingStrategy::kOracle, "oracle"},
});

/// A simulated fleet and its load.
struct FleetSetup {
  std::string_view name;
  std::uint32_t vms = 0;
  std::uint32_t endpoints = 0;
  std::uint32_t domains = 1;
  std::uint32_t slots = 4;
  double utilisation = 0.8;
  Duration service = std::chrono::milliseconds(200);
  Duration warm_up = std::chrono::seconds(10);
  Duration measured = std::chrono::seconds(60);
  /// Number of distinct prompt prefixes; 0 sends no affinity key.
  std::uint32_t prefixes = 0;
};

constexpr Duration kReportLag = std::chrono::seconds(1);
constexpr Duration kPollInterval = std::chrono::milliseconds(500);
constexpr std::uint32_t kReportsPerPoll = 4;
constexpr std::size_t kCachedPrefixes = 16;

/// A simulated endpoint with its queue, load history and prefix cache.
struct SimulatedEndpoint {
  std::uint32_t running = 0;
  /// Arrival time and request index.
  std::deque<std::pair<Instant, std::uint64_t>> waiting;
  /// Load at each change, back to `kReportLag` ago.
  std::deque<std::pair<Instant, std::uint32_t>> history;
  /// Cached prefixes, most recently used first.
  std::list<std::uint32_t> cached;

  std::uint32_t Load() const {
    return this->running + static_cast<std::uint32_t>(this->waiting.size());
  }
};

/// A request in the simulation; `vm` and `endpoint` are indexes.
struct SimulatedRequest {
  std::uint32_t vm = 0;
  std::uint32_t endpoint = 0;
  Instant sent{};
  Duration service{};
};

/// A simulated VM and its view of the endpoints of its domain.
struct Vm {
  policy::EndpointRouter router;
  policy::FleetView view;
  std::vector<std::uint32_t> local_endpoints;
  std::vector<std::uint32_t> reported_loads;
  std::uint32_t next_report = 0;
  std::uint32_t next_round_robin = 0;
};

/// Queueing delays and prefix cache hits after the warm-up.
struct RoutingResult {
  std::vector<double> waits_ms;
  std::uint64_t prefix_hits = 0;
  std::uint64_t requests = 0;
};

/// Discrete-event simulation of one routing strategy.
class RoutingSimulation {
 public:
  RoutingSimulation(FleetSetup setup, RoutingStrategy strategy,
                    std::uint64_t seed)
      : setup(setup),
        strategy(strategy),
        random(seed),
        endpoints(setup.endpoints) {
    for (std::uint32_t i = 0; i < setup.vms; ++i) this->AddVm(i);
  }

  RoutingResult Run() {
    const Instant end(this->setup.warm_up + this->setup.measured);
    for (std::uint32_t i = 0; i < this->setup.vms; ++i) {
      this->Schedule(Instant(this->DrawUniform(kPollInterval)),
                     [this, i] { this->PollReports(i); });
    }
    this->Schedule(Instant(), [this] { this->HandleArrival(); });
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
    std::uint64_t sequence = 0;
    std::function<void()> action;

    bool operator<(const Event& other) const {
      return std::pair(this->at, this->sequence) >
             std::pair(other.at, other.sequence);
    }
  };

  void Schedule(Instant at, std::function<void()> action) {
    this->events.push({at, this->sequence++, std::move(action)});
  }

  Duration DrawUniform(Duration limit) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        0, limit.count())(this->random));
  }

  Duration DrawExponential(double mean_us) {
    return Duration(static_cast<Duration::rep>(
        std::exponential_distribution<double>(1 / mean_us)(this->random)));
  }

  void AddVm(std::uint32_t index) {
    policy::RouterOptions options;
    options.initial_service_time = this->setup.service;
    options.use_reports = this->strategy != RoutingStrategy::kNoReports;
    Vm vm{policy::EndpointRouter(options), {}, {}, {}, 0, 0};
    auto domain = [](std::uint32_t number) {
      return base::FailureDomain("d" + std::to_string(number));
    };
    const auto own = index % this->setup.domains;
    vm.view.location.domain = domain(own);
    for (std::uint32_t i = 0; i < this->setup.endpoints; ++i) {
      if (i % this->setup.domains != own) continue;
      policy::Endpoint endpoint;
      endpoint.id = EndpointId(std::to_string(i));
      endpoint.location = vm.view.location;
      endpoint.slots = this->setup.slots;
      vm.local_endpoints.push_back(i);
      vm.view.endpoints.push_back(std::move(endpoint));
    }
    vm.reported_loads.resize(vm.local_endpoints.size());
    vm.next_round_robin = static_cast<std::uint32_t>(this->random());
    this->vms.push_back(std::move(vm));
  }

  void HandleArrival() {
    const double per_second = this->setup.endpoints * this->setup.slots *
                              this->setup.utilisation * 1e6 /
                              static_cast<double>(this->setup.service.count());
    this->Schedule(this->now + this->DrawExponential(1e6 / per_second),
                   [this] { this->HandleArrival(); });
    const auto vm =
        static_cast<std::uint32_t>(this->random() % this->vms.size());
    const auto prefix = this->DrawPrefix();
    const auto position = this->Choose(this->vms[vm], prefix);
    const auto endpoint = this->vms[vm].local_endpoints[position];
    this->vms[vm].router.OnAttemptStarted(
        this->vms[vm].view.endpoints[position].id, this->now);
    this->UpdatePrefixCache(this->endpoints[endpoint], prefix);
    const auto mean = static_cast<double>(this->setup.service.count());
    this->requests.push_back(
        {vm, endpoint, this->now, this->DrawExponential(mean)});
    this->endpoints[endpoint].waiting.emplace_back(this->now,
                                                   this->requests.size() - 1);
    this->StartQueuedRequests(endpoint);
  }

  /// Draws from a skewed distribution that favours low prefix numbers.
  std::uint32_t DrawPrefix() {
    if (this->setup.prefixes == 0) return 0;
    const double draw =
        std::uniform_real_distribution<double>(0, 1)(this->random);
    return static_cast<std::uint32_t>(draw * draw * this->setup.prefixes);
  }

  void UpdatePrefixCache(SimulatedEndpoint& endpoint, std::uint32_t prefix) {
    if (this->setup.prefixes == 0) return;
    const auto found =
        std::find(endpoint.cached.begin(), endpoint.cached.end(), prefix);
    const bool hit = found != endpoint.cached.end();
    if (hit) endpoint.cached.erase(found);
    endpoint.cached.push_front(prefix);
    if (endpoint.cached.size() > kCachedPrefixes) endpoint.cached.pop_back();
    if (this->IsMeasuring()) this->result.prefix_hits += hit ? 1 : 0;
  }

  bool IsMeasuring() const { return this->now >= Instant(this->setup.warm_up); }

  std::size_t Choose(Vm& vm, std::uint32_t prefix) {
    const auto count = vm.local_endpoints.size();
    switch (this->strategy) {
      case RoutingStrategy::kRouter:
      case RoutingStrategy::kNoReports: {
        policy::RouteRequest request;
        request.seed = this->random();
        if (this->setup.prefixes > 0) {
          request.affinity_key = std::to_string(prefix);
        }
        const auto* chosen = vm.router.Choose(vm.view, request, this->now);
        return static_cast<std::size_t>(chosen - vm.view.endpoints.data());
      }
      case RoutingStrategy::kRoundRobin:
        return vm.next_round_robin++ % count;
      case RoutingStrategy::kRandom:
        return this->random() % count;
      case RoutingStrategy::kLeastReported:
        return this->LeastLoaded(
            count, [&](std::size_t i) { return vm.reported_loads[i]; });
      case RoutingStrategy::kOracle:
        return this->LeastLoaded(count, [&](std::size_t i) {
          return this->endpoints[vm.local_endpoints[i]].Load();
        });
    }
    return 0;
  }

  /// Returns the position with the least load. Ties go to the first position
  /// after a random start.
  template <typename Load>
  std::size_t LeastLoaded(std::size_t count, Load load) {
    const auto start = this->random() % count;
    std::size_t best = start;
    for (std::size_t i = 1; i < count; ++i) {
      const auto index = (start + i) % count;
      if (load(index) < load(best)) best = index;
    }
    return best;
  }

  void StartQueuedRequests(std::uint32_t index) {
    auto& endpoint = this->endpoints[index];
    while (endpoint.running < this->setup.slots && !endpoint.waiting.empty()) {
      const auto id = endpoint.waiting.front().second;
      endpoint.waiting.pop_front();
      endpoint.running++;
      if (this->IsMeasuring())
        this->RecordWait(this->now - this->requests[id].sent);
      this->Schedule(this->now + this->requests[id].service,
                     [this, id] { this->HandleCompletion(id); });
    }
    this->RecordLoad(endpoint);
  }

  void RecordWait(Duration wait) {
    this->result.requests++;
    this->result.waits_ms.push_back(static_cast<double>(wait.count()) / 1e3);
  }

  void RecordLoad(SimulatedEndpoint& endpoint) {
    endpoint.history.emplace_back(this->now, endpoint.Load());
    while (endpoint.history.size() > 1 &&
           endpoint.history[1].first <= this->now - kReportLag) {
      endpoint.history.pop_front();
    }
  }

  void HandleCompletion(std::uint64_t id) {
    const auto& request = this->requests[id];
    auto& vm = this->vms[request.vm];
    this->endpoints[request.endpoint].running--;
    vm.router.OnAttemptEnded(EndpointId(std::to_string(request.endpoint)),
                             policy::HealthSignal::kSuccess, request.service,
                             this->now);
    this->StartQueuedRequests(request.endpoint);
  }

  void PollReports(std::uint32_t index) {
    auto& vm = this->vms[index];
    const Instant as_of = this->now - kReportLag;
    for (std::uint32_t i = 0; i < kReportsPerPoll; ++i) {
      const auto position = vm.next_report++ % vm.local_endpoints.size();
      const auto load =
          this->LoadAt(this->endpoints[vm.local_endpoints[position]], as_of);
      vm.reported_loads[position] = load;
      vm.router.OnReport({vm.view.endpoints[position].id, as_of, load});
    }
    this->Schedule(this->now + kPollInterval,
                   [this, index] { this->PollReports(index); });
  }

  std::uint32_t LoadAt(const SimulatedEndpoint& endpoint, Instant as_of) const {
    std::uint32_t load = 0;
    for (const auto& [at, value] : endpoint.history) {
      if (at > as_of) break;
      load = value;
    }
    return load;
  }

  FleetSetup setup;
  RoutingStrategy strategy;
  std::mt19937_64 random;
  std::vector<SimulatedEndpoint> endpoints;
  std::vector<Vm> vms;
  std::deque<SimulatedRequest> requests;
  std::priority_queue<Event> events;
  std::uint64_t sequence = 0;
  Instant now{};
  RoutingResult result;
};

double Quantile(std::vector<double>& values, double quantile) {
  if (values.empty()) return 0;
  const auto index = static_cast<std::ptrdiff_t>(
      quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + index, values.end());
  return values[static_cast<std::size_t>(index)];
}

void RunSetup(const FleetSetup& setup, std::uint64_t seed) {
  fmt::print("{}: {} VMs, {} workers, {} slots, utilisation {}, seed {}\n",
             setup.name, setup.vms, setup.endpoints, setup.slots,
             setup.utilisation, seed);
  for (const auto& strategy : kStrategyNames.entries) {
    auto result = RoutingSimulation(setup, strategy.value, seed).Run();
    const double hits = static_cast<double>(result.prefix_hits) /
                        static_cast<double>(result.requests);
    const auto median = Quantile(result.waits_ms, 0.5);
    const auto tail = Quantile(result.waits_ms, 0.99);
    fmt::print(
        "  {:24} p50 {:8.1f} ms  p99 {:8.1f} ms  prefix hits {:4.1f}%"
        "  ({} requests)\n",
        strategy.name, median, tail, hits * 100, result.requests);
  }
}

void PrintSmall(std::uint64_t seed) {
  FleetSetup setup{"small", 12, 18};
  RunSetup(setup, seed);
  setup.name = "small, busier";
  setup.utilisation = 0.9;
  RunSetup(setup, seed);
  setup.name = "small, prefixes";
  setup.utilisation = 0.8;
  setup.prefixes = 200;
  RunSetup(setup, seed);
}

void PrintLarge(std::uint64_t seed) {
  FleetSetup setup{"large", 400, 6400, 7, 16, 0.8};
  setup.service = std::chrono::seconds(18);
  setup.warm_up = std::chrono::seconds(45);
  setup.measured = std::chrono::seconds(15);
  RunSetup(setup, seed);
}

/// Runs one domain, about a seventh of the large case. Routing never crosses
/// domains, so the others behave alike.
void PrintDomain(std::uint64_t seed) {
  FleetSetup setup{"one domain of the large case", 57, 914, 1, 16, 0.8};
  setup.service = std::chrono::seconds(18);
  setup.warm_up = std::chrono::seconds(45);
  setup.measured = std::chrono::seconds(15);
  RunSetup(setup, seed);
}

}  // namespace

/// Accepts `small`, `domain` or `large`, then a seed. Runs all three with seed
/// 1 by default.
int BenchRouting(const std::vector<std::string>& args) {
  const std::string selected_case = args.empty() ? "" : args[0];
  std::uint64_t seed = 1;
  if (args.size() > 1) {
    const auto& text = args[1];
    std::from_chars(text.data(), text.data() + text.size(), seed);
  }
  const bool all = selected_case.empty();
  if (all || selected_case == "small") PrintSmall(seed);
  if (all || selected_case == "domain") PrintDomain(seed);
  if (all || selected_case == "large") PrintLarge(seed);
  return 0;
}

}  // namespace gypsumtrack::bench
