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
constexpr auto kEnd = seconds(660);
constexpr std::size_t kVms = 12;
constexpr std::size_t kVmsPerDomain = 4;

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

struct Site {
  const char* name;
  VirtualFleetOptions options;
  const char* cut_domain;
};

Site Nilewatch() {
  VirtualFleetOptions options;
  options.domains = {{"delta-cairo", "delta", kVmsPerDomain},
                     {"delta-alex", "delta", kVmsPerDomain},
                     {"upper-aswan", "upper-egypt", kVmsPerDomain}};
  options.store_region = "delta";
  return {"Nilewatch", options, "upper-aswan"};
}

Site Liivamagi() {
  VirtualFleetOptions options;
  options.domains = {{"tartu-a", "tartu", kVmsPerDomain},
                     {"tartu-b", "tartu", kVmsPerDomain},
                     {"tallinn-a", "tallinn", kVmsPerDomain}};
  options.between_domains = microseconds(500);
  options.store_region = "tartu";
  return {"Liivamägi", options, "tallinn-a"};
}

struct Arrival {
  VirtualTime at;
  std::size_t organisation;
  std::size_t vm;
};

struct Scenario {
  const char* name;
  /// Weight of a VM in the balancer.
  std::function<double(std::size_t vm)> weight;
  double load = 0.8;
  bool volleys = false;
  bool greedy = false;
  std::size_t lost_vm = kVms;
  bool store_down = false;
  bool cut = false;
};

Quota QuotaOf(const Organisation& organisation) {
  return {
      std::llround(organisation.rate * kMicroRequestsPerRequest),
      static_cast<std::int64_t>(organisation.burst) * kMicroRequestsPerRequest};
}

LimitKey KeyOf(std::size_t organisation) {
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
  std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
  std::vector<Arrival> arrivals;
  for (std::size_t i = 0; i < kOrganisationCount; ++i) {
    const auto& organisation = kOrganisations[i];
    const double factor = scenario.greedy && i == 2 ? 5 : scenario.load;
    std::exponential_distribution<double> gap(factor * organisation.rate);
    double at = 1;
    const double end = std::chrono::duration<double>(kEnd).count();
    while ((at += gap(random)) < end) {
      const VirtualTime when(std::llround(at * 1e6));
      auto vm = pick(random);
      while (!VmIsUp(scenario, vm, when)) vm = pick(random);
      arrivals.push_back({when, i, vm});
    }
    if (!scenario.volleys) continue;
    for (VirtualTime when = kWarmUp; when < kEnd; when += seconds(10)) {
      const auto vm = pick(random);
      for (std::uint32_t n = 0; n < organisation.burst; ++n) {
        arrivals.push_back({when + milliseconds(37 * i), i, vm});
      }
    }
  }
  std::stable_sort(arrivals.begin(), arrivals.end(),
                   [](const auto& a, const auto& b) { return a.at < b.at; });
  return arrivals;
}

/// Admissions of each organisation from the warm-up on.
using Counts = std::vector<std::int64_t>;

struct Loss {
  double worst = 0;
  double all = 0;
};

Loss LossOf(const Counts& reference, const Counts& admitted) {
  Loss loss;
  std::int64_t missed = 0;
  std::int64_t within = 0;
  for (std::size_t i = 0; i < reference.size(); ++i) {
    const auto lack = std::max<std::int64_t>(reference[i] - admitted[i], 0);
    const auto part =
        100.0 * static_cast<double>(lack) /
        static_cast<double>(std::max<std::int64_t>(reference[i], 1));
    loss.worst = std::max(loss.worst, part);
    missed += lack;
    within += reference[i];
  }
  loss.all = 100.0 * static_cast<double>(missed) / static_cast<double>(within);
  return loss;
}

TokenBucket FullBucket(Quota quota) {
  TokenBucket bucket(quota, base::Instant{});
  bucket.Add(quota.capacity, base::Instant{});
  return bucket;
}

/// Each arrival takes from the bucket that `choose` names.
Counts Replay(const std::vector<Arrival>& arrivals,
              const std::function<TokenBucket*(const Arrival&)>& choose) {
  Counts counts(kOrganisationCount);
  for (const auto& arrival : arrivals) {
    auto* bucket = choose(arrival);
    if (bucket == nullptr) continue;
    if (!bucket->TryTake(kMicroRequestsPerRequest, base::Instant(arrival.at)))
      continue;
    if (arrival.at >= kWarmUp) ++counts[arrival.organisation];
  }
  return counts;
}

Counts Whole(const std::vector<Arrival>& arrivals) {
  std::vector<TokenBucket> buckets;
  for (const auto& one : kOrganisations)
    buckets.push_back(FullBucket(QuotaOf(one)));
  return Replay(arrivals, [&](const Arrival& arrival) {
    return &buckets[arrival.organisation];
  });
}

Counts StaticSplit(const std::vector<Arrival>& arrivals) {
  std::vector<TokenBucket> buckets;
  for (const auto& one : kOrganisations) {
    auto part = QuotaOf(one);
    part.rate /= kVms;
    part.capacity /= kVms;
    for (std::size_t vm = 0; vm < kVms; ++vm)
      buckets.push_back(FullBucket(part));
  }
  return Replay(arrivals, [&](const Arrival& arrival) {
    return &buckets[arrival.organisation * kVms + arrival.vm];
  });
}

/// One counter in the store, asked for each request; answers come in time.
Counts Central(const std::vector<Arrival>& arrivals, const Scenario& scenario) {
  std::vector<TokenBucket> buckets;
  for (const auto& one : kOrganisations)
    buckets.push_back(FullBucket(QuotaOf(one)));
  return Replay(arrivals, [&](const Arrival& arrival) -> TokenBucket* {
    const bool fault = arrival.at >= kWarmUp && arrival.at < kFaultEnd;
    const bool far = arrival.vm >= 2 * kVmsPerDomain;
    if (fault && scenario.store_down) return nullptr;
    if (fault && scenario.cut && far) return nullptr;
    return &buckets[arrival.organisation];
  });
}

/// While the domain is cut off, each side has the part of the limit that its
/// demand over the whole cut asks for; else the limit is whole.
Counts Oracle(const std::vector<Arrival>& arrivals, const Scenario& scenario) {
  if (!scenario.cut) return Whole(arrivals);
  std::vector<double> far(kOrganisationCount);
  std::vector<double> all(kOrganisationCount);
  for (const auto& arrival : arrivals) {
    if (arrival.at < kWarmUp || arrival.at >= kFaultEnd) continue;
    ++all[arrival.organisation];
    if (arrival.vm >= 2 * kVmsPerDomain) ++far[arrival.organisation];
  }
  std::vector<TokenBucket> whole;
  std::vector<TokenBucket> near_side;
  std::vector<TokenBucket> far_side;
  for (std::size_t i = 0; i < kOrganisationCount; ++i) {
    const auto quota = QuotaOf(kOrganisations[i]);
    const auto part = far[i] / all[i];
    Quota away{std::llround(static_cast<double>(quota.rate) * part),
               std::llround(static_cast<double>(quota.capacity) * part)};
    const auto requests = std::llround(static_cast<double>(away.capacity) /
                                       kMicroRequestsPerRequest);
    away.capacity = std::clamp<std::int64_t>(
        requests * kMicroRequestsPerRequest, kMicroRequestsPerRequest,
        quota.capacity - kMicroRequestsPerRequest);
    whole.push_back(FullBucket(quota));
    far_side.push_back(FullBucket(away));
    near_side.push_back(FullBucket(quota - away));
  }
  return Replay(arrivals, [&](const Arrival& arrival) {
    const auto i = arrival.organisation;
    if (arrival.at < kWarmUp || arrival.at >= kFaultEnd) return &whole[i];
    return arrival.vm >= 2 * kVmsPerDomain ? &far_side[i] : &near_side[i];
  });
}

struct Run {
  Counts admitted = Counts(kOrganisationCount);
  std::size_t excess = 0;
  testing::VirtualCounters counters;
};

std::map<LimitKey, policy::Limit> Limits() {
  std::map<LimitKey, policy::Limit> limits;
  for (std::size_t i = 0; i < kOrganisationCount; ++i) {
    limits[KeyOf(i)] = {QuotaOf(kOrganisations[i])};
  }
  return limits;
}

Run RunFleet(const Site& site, const Scenario& scenario,
             const std::vector<Arrival>& arrivals) {
  VirtualFleet fleet(site.options);
  Run run;
  std::map<LimitKey, std::size_t> index;
  for (std::size_t i = 0; i < kOrganisationCount; ++i) index[KeyOf(i)] = i;
  std::vector<std::vector<VirtualTime>> admitted(kOrganisationCount);
  fleet.on_outcome = [&](const testing::VirtualOutcome& outcome) {
    if (outcome.verdict != LimitDecision::kAdmitted) return;
    const auto i = index.at(outcome.key);
    admitted[i].push_back(outcome.decided);
    if (outcome.asked >= kWarmUp) ++run.admitted[i];
  };
  fleet.SetRules(1, Limits());
  std::size_t next = 0;
  std::function<void()> feed = [&] {
    while (next < arrivals.size() && arrivals[next].at <= fleet.now()) {
      const auto& arrival = arrivals[next++];
      fleet.Request(arrival.vm, KeyOf(arrival.organisation));
    }
    if (next < arrivals.size()) fleet.At(arrivals[next].at, feed);
  };
  fleet.At(arrivals.front().at, feed);
  if (scenario.lost_vm < kVms) {
    fleet.At(kWarmUp, [&] { fleet.Crash(scenario.lost_vm); });
    fleet.At(kWarmUp + seconds(60), [&] { fleet.Restart(scenario.lost_vm); });
  }
  if (scenario.store_down) {
    fleet.At(kWarmUp, [&] { fleet.SetStoreDown(true); });
    fleet.At(kFaultEnd, [&] { fleet.SetStoreDown(false); });
  }
  if (scenario.cut) {
    fleet.At(kWarmUp, [&] { fleet.CutDomain(site.cut_domain, true); });
    fleet.At(kFaultEnd, [&] { fleet.HealDomains(); });
  }
  fleet.RunUntil(kEnd + seconds(1));
  for (std::size_t i = 0; i < kOrganisationCount; ++i) {
    if (!testing::WithinLimit(admitted[i], QuotaOf(kOrganisations[i]))) {
      ++run.excess;
    }
  }
  run.counters = fleet.counters();
  return run;
}

std::vector<Scenario> Scenarios() {
  std::vector<Scenario> all;
  all.push_back({"steady"});
  all.push_back(
      {"skew 3:1 of VMs", [](std::size_t vm) { return vm % 2 ? 1 : 3; }});
  all.push_back({"skew 3:1 of domains",
                 [](std::size_t vm) { return vm < kVmsPerDomain ? 3 : 1; }});
  Scenario volleys{"full bursts on one VM"};
  volleys.load = 0.1;
  volleys.volleys = true;
  all.push_back(volleys);
  Scenario greedy{"one organisation at 5x"};
  greedy.greedy = true;
  all.push_back(greedy);
  Scenario lost{"one VM lost"};
  lost.lost_vm = 1;
  all.push_back(lost);
  Scenario store{"store down 10 min"};
  store.store_down = true;
  all.push_back(store);
  Scenario cut{"domain cut off 10 min"};
  cut.cut = true;
  all.push_back(cut);
  return all;
}

void PrintDetail(const Counts& whole, const Counts& oracle,
                 const Counts& ours) {
  for (std::size_t i = 0; i < kOrganisationCount; ++i) {
    fmt::print("      {:11} within {:6} oracle {:6} ours {:6}  {:6.2f}%\n",
               kOrganisations[i].name, whole[i], oracle[i], ours[i],
               100.0 * static_cast<double>(whole[i] - ours[i]) /
                   static_cast<double>(std::max<std::int64_t>(whole[i], 1)));
  }
}

void CompareSite(const Site& site, const std::string& only, bool detail) {
  fmt::print(
      "\n{}: part of within-rate requests refused, per cent "
      "(worst organisation / all)\n",
      site.name);
  fmt::print("{:24} {:>15} {:>15} {:>15} {:>15} {:>7} {:>9} {:>9}\n", "case",
             "gypsumtrack", "oracle", "static split", "central", "excess",
             "reads/s", "writes/s");
  for (const auto& scenario : Scenarios()) {
    if (!only.empty() && std::string(scenario.name).find(only) != 0) continue;
    const auto arrivals = MakeArrivals(scenario);
    const auto whole = Whole(arrivals);
    const auto run = RunFleet(site, scenario, arrivals);
    const auto show = [&](const Counts& admitted) {
      const auto loss = LossOf(whole, admitted);
      return fmt::format("{:.3f} / {:.3f}", loss.worst, loss.all);
    };
    const auto length = std::chrono::duration<double>(kEnd).count();
    const auto oracle = Oracle(arrivals, scenario);
    fmt::print("{:24} {:>15} {:>15} {:>15} {:>15} {:>7} {:>9.2f} {:>9.2f}\n",
               scenario.name, show(run.admitted), show(oracle),
               show(StaticSplit(arrivals)), show(Central(arrivals, scenario)),
               run.excess, static_cast<double>(run.counters.reads) / length,
               static_cast<double>(run.counters.writes) / length);
    if (detail) PrintDetail(whole, oracle, run.admitted);
  }
}

}  // namespace

int BenchLimits(const std::vector<std::string>& args) {
  const bool detail =
      std::find(args.begin(), args.end(), "--detail") != args.end();
  std::string only;
  if (!args.empty() && args[0][0] != '-') only = args[0];
  CompareSite(Nilewatch(), only, detail);
  CompareSite(Liivamagi(), only, detail);
  return 0;
}

}  // namespace gypsumtrack::bench
