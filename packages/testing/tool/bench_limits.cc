#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "bench.h"
#include "gypsumtrack/policy/token_bucket.h"
#include "gypsumtrack/testing/virtual_fleet.h"

namespace gypsumtrack::bench {
namespace {

using policy::kMicroRequestsPerRequest;
using policy::LimitDecision;
using policy::LimitKey;
using policy::Quota;
using policy::TokenBucket;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::VirtualFleet;
using testing::VirtualFleetOptions;
using testing::VirtualTime;

constexpr auto kWarmUp = seconds(30);
constexpr auto kFaultEnd = seconds(630);
constexpr auto kArrivalsEnd = seconds(660);
constexpr std::size_t kVms = 12;
constexpr std::size_t kVmsPerDomain = 4;

/// An organisation and its limit: a rate in requests per second, and a burst in
/// requests.
struct Organisation {
  const char* name;
  double rate;
  std::uint32_t burst;
};

constexpr Organisation kOrganisations[] = {
    {"federation", 120, 240}, {"cup", 80, 160}, {"clubs", 40, 80},
    {"schools", 8, 16},       {"north", 4, 8},  {"south", 2, 4},
    {"west", 1, 2},           {"east", 0.5, 2},
};
constexpr std::size_t kOrganisationCount = std::size(kOrganisations);

/// A simulated deployment and the domain that partitions disconnect.
struct Deployment {
  const char* name;
  VirtualFleetOptions options;
  const char* partitioned_domain;
};

Deployment Nilewatch() {
  VirtualFleetOptions options;
  options.domains = {{"delta-cairo", "delta", kVmsPerDomain},
                     {"delta-alex", "delta", kVmsPerDomain},
                     {"upper-aswan", "upper-egypt", kVmsPerDomain}};
  options.store_region = "delta";
  return {"Nilewatch", options, "upper-aswan"};
}

Deployment Liivamagi() {
  VirtualFleetOptions options;
  options.domains = {{"tartu-a", "tartu", kVmsPerDomain},
                     {"tartu-b", "tartu", kVmsPerDomain},
                     {"tallinn-a", "tallinn", kVmsPerDomain}};
  options.between_domains_delay = microseconds(500);
  options.store_region = "tartu";
  return {"Liivamägi", options, "tallinn-a"};
}

/// A request that arrives at a VM.
struct Arrival {
  VirtualTime at;
  std::size_t organisation;
  std::size_t vm;
};

/// A pattern of load and faults.
struct Scenario {
  const char* name;
  /// Weight of a VM in the load balancer; all are equal if unset.
  std::function<double(std::size_t vm)> weight;
  /// Offered load as a fraction of each rate.
  double load = 0.8;
  /// Whether each organisation sends its whole burst to one VM every 10 s.
  bool full_bursts = false;
  /// Whether one organisation sends five times its rate.
  bool one_over_limit = false;
  /// The VM that crashes for a minute; `kVms` stands for none.
  std::size_t lost_vm = kVms;
  bool store_down = false;
  /// Whether `Deployment::partitioned_domain` is disconnected from the rest.
  bool partitioned = false;
};

Quota QuotaOf(const Organisation& organisation) {
  return {
      std::llround(organisation.rate * kMicroRequestsPerRequest),
      static_cast<std::int64_t>(organisation.burst) * kMicroRequestsPerRequest};
}

LimitKey LimitKeyOf(std::size_t organisation) {
  return LimitKey(
      fmt::format("{}:00000000", kOrganisations[organisation].name));
}

bool VmIsUp(const Scenario& scenario, std::size_t vm, VirtualTime at) {
  return vm != scenario.lost_vm || at < kWarmUp || at > kWarmUp + seconds(62);
}

std::vector<Arrival> MakeArrivals(const Scenario& scenario) {
  std::mt19937_64 random(7);
  std::vector<double> weights;
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    weights.push_back(scenario.weight ? scenario.weight(vm) : 1);
  }
  std::discrete_distribution<std::size_t> vm_distribution(weights.begin(),
                                                          weights.end());
  std::vector<Arrival> arrivals;
  for (std::size_t i = 0; i < kOrganisationCount; ++i) {
    const auto& organisation = kOrganisations[i];
    const double load_factor =
        scenario.one_over_limit && i == 2 ? 5 : scenario.load;
    std::exponential_distribution<double> interarrival_time(load_factor *
                                                            organisation.rate);
    double at = 1;
    const double end = std::chrono::duration<double>(kArrivalsEnd).count();
    while ((at += interarrival_time(random)) < end) {
      const VirtualTime arrival_time(std::llround(at * 1e6));
      auto vm = vm_distribution(random);
      while (!VmIsUp(scenario, vm, arrival_time)) vm = vm_distribution(random);
      arrivals.push_back({arrival_time, i, vm});
    }
    if (!scenario.full_bursts) continue;
    for (VirtualTime arrival_time = kWarmUp; arrival_time < kArrivalsEnd;
         arrival_time += seconds(10)) {
      const auto vm = vm_distribution(random);
      for (std::uint32_t n = 0; n < organisation.burst; ++n) {
        arrivals.push_back({arrival_time + milliseconds(37 * i), i, vm});
      }
    }
  }
  std::stable_sort(arrivals.begin(), arrivals.end(),
                   [](const auto& a, const auto& b) { return a.at < b.at; });
  return arrivals;
}

/// Requests admitted per organisation after the warm-up.
using Counts = std::vector<std::int64_t>;

/// Requests refused in excess of a reference, per cent.
struct ExcessRefusals {
  double worst_organisation = 0;
  double overall = 0;
};

ExcessRefusals CompareAdmissions(const Counts& reference,
                                 const Counts& admitted) {
  ExcessRefusals refusals;
  std::int64_t total_shortfall = 0;
  std::int64_t reference_total = 0;
  for (std::size_t i = 0; i < reference.size(); ++i) {
    const auto shortfall =
        std::max<std::int64_t>(reference[i] - admitted[i], 0);
    const auto percent =
        100.0 * static_cast<double>(shortfall) /
        static_cast<double>(std::max<std::int64_t>(reference[i], 1));
    refusals.worst_organisation =
        std::max(refusals.worst_organisation, percent);
    total_shortfall += shortfall;
    reference_total += reference[i];
  }
  refusals.overall = 100.0 * static_cast<double>(total_shortfall) /
                     static_cast<double>(reference_total);
  return refusals;
}

TokenBucket FullBucket(Quota quota) {
  TokenBucket bucket(quota, base::Instant{});
  bucket.Add(quota.capacity, base::Instant{});
  return bucket;
}

/// Counts the admissions when each arrival takes a token from the bucket that
/// `select_bucket` returns; nullptr refuses the request.
Counts Replay(
    const std::vector<Arrival>& arrivals,
    const std::function<TokenBucket*(const Arrival&)>& select_bucket) {
  Counts counts(kOrganisationCount);
  for (const auto& arrival : arrivals) {
    auto* bucket = select_bucket(arrival);
    if (bucket == nullptr) continue;
    if (!bucket->TryTake(kMicroRequestsPerRequest, base::Instant(arrival.at)))
      continue;
    if (arrival.at >= kWarmUp) ++counts[arrival.organisation];
  }
  return counts;
}

/// Baseline: one bucket per organisation for the whole fleet.
Counts SingleBucket(const std::vector<Arrival>& arrivals) {
  std::vector<TokenBucket> buckets;
  for (const auto& organisation : kOrganisations)
    buckets.push_back(FullBucket(QuotaOf(organisation)));
  return Replay(arrivals, [&](const Arrival& arrival) {
    return &buckets[arrival.organisation];
  });
}

/// Baseline: each VM has an equal part of each limit.
Counts StaticSplit(const std::vector<Arrival>& arrivals) {
  std::vector<TokenBucket> buckets;
  for (const auto& organisation : kOrganisations) {
    auto part = QuotaOf(organisation);
    part.rate /= kVms;
    part.capacity /= kVms;
    for (std::size_t vm = 0; vm < kVms; ++vm)
      buckets.push_back(FullBucket(part));
  }
  return Replay(arrivals, [&](const Arrival& arrival) {
    return &buckets[arrival.organisation * kVms + arrival.vm];
  });
}

/// Baseline: one counter in the store, queried without delay for each request.
/// Requests are refused while their VM cannot reach the store.
Counts Central(const std::vector<Arrival>& arrivals, const Scenario& scenario) {
  std::vector<TokenBucket> buckets;
  for (const auto& organisation : kOrganisations)
    buckets.push_back(FullBucket(QuotaOf(organisation)));
  return Replay(arrivals, [&](const Arrival& arrival) -> TokenBucket* {
    const bool fault = arrival.at >= kWarmUp && arrival.at < kFaultEnd;
    const bool in_partitioned_domain = arrival.vm >= 2 * kVmsPerDomain;
    if (fault && scenario.store_down) return nullptr;
    if (fault && scenario.partitioned && in_partitioned_domain) return nullptr;
    return &buckets[arrival.organisation];
  });
}

/// Baseline with knowledge of the future: during a partition, each limit is
/// divided between the two sides by their demand over the whole partition;
/// otherwise it is undivided.
Counts Oracle(const std::vector<Arrival>& arrivals, const Scenario& scenario) {
  if (!scenario.partitioned) return SingleBucket(arrivals);
  std::vector<double> partitioned_demand(kOrganisationCount);
  std::vector<double> total_demand(kOrganisationCount);
  for (const auto& arrival : arrivals) {
    if (arrival.at < kWarmUp || arrival.at >= kFaultEnd) continue;
    ++total_demand[arrival.organisation];
    if (arrival.vm >= 2 * kVmsPerDomain)
      ++partitioned_demand[arrival.organisation];
  }
  std::vector<TokenBucket> undivided;
  std::vector<TokenBucket> connected_side;
  std::vector<TokenBucket> partitioned_side;
  for (std::size_t i = 0; i < kOrganisationCount; ++i) {
    const auto quota = QuotaOf(kOrganisations[i]);
    const auto partitioned_fraction = partitioned_demand[i] / total_demand[i];
    Quota partitioned_quota{
        std::llround(static_cast<double>(quota.rate) * partitioned_fraction),
        std::llround(static_cast<double>(quota.capacity) *
                     partitioned_fraction)};
    const auto requests =
        std::llround(static_cast<double>(partitioned_quota.capacity) /
                     kMicroRequestsPerRequest);
    partitioned_quota.capacity = std::clamp<std::int64_t>(
        requests * kMicroRequestsPerRequest, kMicroRequestsPerRequest,
        quota.capacity - kMicroRequestsPerRequest);
    undivided.push_back(FullBucket(quota));
    partitioned_side.push_back(FullBucket(partitioned_quota));
    connected_side.push_back(FullBucket(quota - partitioned_quota));
  }
  return Replay(arrivals, [&](const Arrival& arrival) {
    const auto i = arrival.organisation;
    if (arrival.at < kWarmUp || arrival.at >= kFaultEnd) return &undivided[i];
    return arrival.vm >= 2 * kVmsPerDomain ? &partitioned_side[i]
                                           : &connected_side[i];
  });
}

/// Outcome of one simulated run of a fleet.
struct FleetRun {
  Counts admitted = Counts(kOrganisationCount);
  /// Organisations that were admitted more than their limit allows.
  std::size_t over_limit = 0;
  testing::VirtualCounters counters;
};

std::map<LimitKey, policy::Limit> MakeLimits() {
  std::map<LimitKey, policy::Limit> limits;
  for (std::size_t i = 0; i < kOrganisationCount; ++i) {
    limits[LimitKeyOf(i)] = {QuotaOf(kOrganisations[i])};
  }
  return limits;
}

FleetRun RunFleet(const Deployment& deployment, const Scenario& scenario,
                  const std::vector<Arrival>& arrivals) {
  VirtualFleet fleet(deployment.options);
  FleetRun run;
  std::map<LimitKey, std::size_t> organisation_by_key;
  for (std::size_t i = 0; i < kOrganisationCount; ++i)
    organisation_by_key[LimitKeyOf(i)] = i;
  std::vector<std::vector<VirtualTime>> admitted(kOrganisationCount);
  fleet.on_outcome = [&](const testing::VirtualOutcome& outcome) {
    if (outcome.decision != LimitDecision::kAdmitted) return;
    const auto i = organisation_by_key.at(outcome.key);
    admitted[i].push_back(outcome.decided);
    if (outcome.requested >= kWarmUp) ++run.admitted[i];
  };
  fleet.SetRules(1, MakeLimits());
  std::size_t next = 0;
  std::function<void()> send_due_arrivals = [&] {
    while (next < arrivals.size() && arrivals[next].at <= fleet.now()) {
      const auto& arrival = arrivals[next++];
      fleet.Request(arrival.vm, LimitKeyOf(arrival.organisation));
    }
    if (next < arrivals.size()) fleet.At(arrivals[next].at, send_due_arrivals);
  };
  fleet.At(arrivals.front().at, send_due_arrivals);
  if (scenario.lost_vm < kVms) {
    fleet.At(kWarmUp, [&] { fleet.Crash(scenario.lost_vm); });
    fleet.At(kWarmUp + seconds(60), [&] { fleet.Restart(scenario.lost_vm); });
  }
  if (scenario.store_down) {
    fleet.At(kWarmUp, [&] { fleet.SetStoreDown(true); });
    fleet.At(kFaultEnd, [&] { fleet.SetStoreDown(false); });
  }
  if (scenario.partitioned) {
    fleet.At(kWarmUp,
             [&] { fleet.IsolateDomain(deployment.partitioned_domain, true); });
    fleet.At(kFaultEnd, [&] { fleet.ReconnectDomains(); });
  }
  fleet.RunUntil(kArrivalsEnd + seconds(1));
  for (std::size_t i = 0; i < kOrganisationCount; ++i) {
    if (!testing::WithinLimit(admitted[i], QuotaOf(kOrganisations[i]))) {
      ++run.over_limit;
    }
  }
  run.counters = fleet.counters();
  return run;
}

std::vector<Scenario> MakeScenarios() {
  std::vector<Scenario> scenarios;
  scenarios.push_back({"steady"});
  scenarios.push_back(
      {"skew 3:1 of VMs", [](std::size_t vm) { return vm % 2 ? 1 : 3; }});
  scenarios.push_back({"skew 3:1 of domains", [](std::size_t vm) {
                         return vm < kVmsPerDomain ? 3 : 1;
                       }});
  Scenario bursts{"full bursts on one VM"};
  bursts.load = 0.1;
  bursts.full_bursts = true;
  scenarios.push_back(bursts);
  Scenario over_limit{"one organisation at 5x"};
  over_limit.one_over_limit = true;
  scenarios.push_back(over_limit);
  Scenario vm_lost{"one VM lost"};
  vm_lost.lost_vm = 1;
  scenarios.push_back(vm_lost);
  Scenario store_outage{"store down 10 min"};
  store_outage.store_down = true;
  scenarios.push_back(store_outage);
  Scenario partition{"domain cut off 10 min"};
  partition.partitioned = true;
  scenarios.push_back(partition);
  return scenarios;
}

void PrintDetail(const Counts& single_bucket, const Counts& oracle,
                 const Counts& measured) {
  for (std::size_t i = 0; i < kOrganisationCount; ++i) {
    fmt::print(
        "      {:11} within {:6} oracle {:6} ours {:6}  {:6.2f}%\n",
        kOrganisations[i].name, single_bucket[i], oracle[i], measured[i],
        100.0 * static_cast<double>(single_bucket[i] - measured[i]) /
            static_cast<double>(std::max<std::int64_t>(single_bucket[i], 1)));
  }
}

void CompareDeployment(const Deployment& deployment,
                       const std::string& scenario_filter, bool detail) {
  fmt::print(
      "\n{}: part of within-rate requests refused, per cent "
      "(worst organisation / all)\n",
      deployment.name);
  fmt::print("{:24} {:>15} {:>15} {:>15} {:>15} {:>7} {:>9} {:>9}\n", "case",
             "gypsumtrack", "oracle", "static split", "central", "excess",
             "reads/s", "writes/s");
  for (const auto& scenario : MakeScenarios()) {
    if (!scenario_filter.empty() &&
        std::string(scenario.name).find(scenario_filter) != 0)
      continue;
    const auto arrivals = MakeArrivals(scenario);
    const auto single_bucket = SingleBucket(arrivals);
    const auto run = RunFleet(deployment, scenario, arrivals);
    const auto format_refusals = [&](const Counts& admitted) {
      const auto refusals = CompareAdmissions(single_bucket, admitted);
      return fmt::format("{:.3f} / {:.3f}", refusals.worst_organisation,
                         refusals.overall);
    };
    const auto run_seconds =
        std::chrono::duration<double>(kArrivalsEnd).count();
    const auto oracle = Oracle(arrivals, scenario);
    fmt::print("{:24} {:>15} {:>15} {:>15} {:>15} {:>7} {:>9.2f} {:>9.2f}\n",
               scenario.name, format_refusals(run.admitted),
               format_refusals(oracle), format_refusals(StaticSplit(arrivals)),
               format_refusals(Central(arrivals, scenario)), run.over_limit,
               static_cast<double>(run.counters.reads) / run_seconds,
               static_cast<double>(run.counters.writes) / run_seconds);
    if (detail) PrintDetail(single_bucket, oracle, run.admitted);
  }
}

}  // namespace

int BenchLimits(const std::vector<std::string>& args) {
  const bool detail =
      std::find(args.begin(), args.end(), "--detail") != args.end();
  std::string scenario_filter;
  if (!args.empty() && args[0][0] != '-') scenario_filter = args[0];
  CompareDeployment(Nilewatch(), scenario_filter, detail);
  CompareDeployment(Liivamagi(), scenario_filter, detail);
  return 0;
}

}  // namespace gypsumtrack::bench
