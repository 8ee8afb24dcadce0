#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <string>
#include <vector>

#include "bench.h"
#include "gypsumtrack/peer/config_codec.h"
#include "gypsumtrack/policy/access.h"
#include "gypsumtrack/testing/config_sim.h"

namespace gypsumtrack::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ConfigSim;
using testing::ConfigSimOptions;

constexpr auto kWarmUp = seconds(30);
constexpr auto kMeasuredTime = seconds(600);
/// Gives 18,000 changes per day.
constexpr auto kChangePeriod = milliseconds(4800);
/// Bytes around each message body: the frame with its authentication tag (25),
/// the JSON-RPC notification (46), and the TCP and IP headers (52).
constexpr std::size_t kOverheadBytes = 25 + 46 + 52;
constexpr int kOrganisations = 1300;

std::size_t WireSize(const policy::ConfigMessage& message) {
  return kOverheadBytes +
         peer::WriteJson(peer::EncodeConfigMessage(message)).size();
}

policy::Rule MakeRule(int organisation, int model, int rate) {
  policy::Rule rule;
  rule.id.organisation =
      base::Organisation(fmt::format("org-{}", organisation));
  rule.id.service = base::Service("clockdesk");
  rule.id.model = base::Model(fmt::format("model-{}", model));
  rule.rate_per_second = rate;
  rule.burst = 20;
  rule.comment = "events office, 2026-12-01: national cup";
  return rule;
}

std::string MakeHash(int key) {
  return fmt::format("{:064x}", static_cast<unsigned>(key));
}

policy::KeyGrant MakeGrant(int key) {
  return {MakeHash(key),
          base::Organisation(fmt::format("org-{}", key % kOrganisations)),
          fmt::format("key-{}", key)};
}

/// Cycles through setting a rule, granting a key and withdrawing that key.
policy::Proposal MakeChange(const ConfigSim& sim, int number) {
  policy::Proposal proposal;
  proposal.operation_id = fmt::format("{:024x}", number);
  proposal.author = "events-office";
  proposal.deadline = sim.now() + seconds(10);
  switch (number % 3) {
    case 0:
      proposal.body = policy::RulesFile{{MakeRule(number, 1, 40)}};
      break;
    case 1:
      proposal.body = MakeGrant(number);
      break;
    default:
      proposal.body = policy::KeyWithdrawal{{MakeHash(number - 1)}};
  }
  return proposal;
}

/// A fault that is present throughout a simulation run.
struct FaultScenario {
  const char* name;
  std::uint32_t loss_per_thousand;
  bool isolates_first_domain;
  bool pauses_vms;
};

constexpr FaultScenario kFaultScenarios[] = {
    {"steady", 0, false, false},
    {"1% of messages lost", 10, false, false},
    {"domain 0 without the table", 0, true, false},
    {"a VM in four paused 8 s a minute", 0, false, true},
};

/// Dimensions of a simulated fleet.
struct FleetSize {
  std::uint32_t domains;
  std::uint32_t vms_per_domain;
};

constexpr FleetSize kFleetSizes[] = {{3, 4}, {3, 19}, {7, 57}};

/// Records the time from the commit of each revision until each VM applies it.
class PropagationTimes {
 public:
  explicit PropagationTimes(ConfigSim& simulation)
      : sim(simulation), last_revisions(simulation.size()) {
    simulation.SetStepHook([this](std::size_t vm) { this->OnStep(vm); });
  }

  double Quantile(double quantile) {
    if (this->times.empty()) return 0;
    std::sort(this->times.begin(), this->times.end());
    const auto index = static_cast<std::size_t>(
        quantile * static_cast<double>(this->times.size() - 1));
    return static_cast<double>(this->times[index].count()) / 1000;
  }
  std::size_t count() const { return this->times.size(); }  // NOLINT

 private:
  void OnStep(std::size_t vm) {
    const auto revision = this->sim.node(vm).in_force();
    for (auto next = this->last_revisions[vm] + 1; next <= revision; ++next) {
      const auto committed = this->sim.commit_times()[next - 1];
      // The pause of a VM does not count as propagation delay.
      if (committed < this->sim.RunningSince(vm)) continue;
      this->times.push_back(this->sim.now() - committed);
    }
    this->last_revisions[vm] = std::max(this->last_revisions[vm], revision);
  }

  ConfigSim& sim;
  std::vector<base::Revision> last_revisions;
  std::vector<base::Duration> times;
};

/// Traffic and store calls of the whole fleet.
struct FleetTotals {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  std::uint64_t max_vm_bytes = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
};

FleetTotals CountTotals(const ConfigSim& sim,
                        const std::vector<std::uint64_t>& before) {
  FleetTotals totals;
  for (std::size_t vm = 0; vm < sim.size(); ++vm) {
    const auto& traffic = sim.traffic(vm);
    const auto bytes = traffic.bytes_sent + traffic.bytes_received;
    totals.messages += traffic.messages_sent;
    totals.bytes += bytes;
    const auto vm_bytes = before.empty() ? bytes : bytes - before[vm];
    totals.max_vm_bytes = std::max(totals.max_vm_bytes, vm_bytes);
  }
  totals.reads = sim.store().reads;
  totals.writes = sim.store().writes;
  return totals;
}

std::vector<std::uint64_t> BytesPerVm(const ConfigSim& sim) {
  std::vector<std::uint64_t> bytes;
  for (std::size_t vm = 0; vm < sim.size(); ++vm) {
    const auto& traffic = sim.traffic(vm);
    bytes.push_back(traffic.bytes_sent + traffic.bytes_received);
  }
  return bytes;
}

void ScheduleChanges(ConfigSim& sim, base::Instant start) {
  int number = 0;
  for (auto at = start; at < start + kMeasuredTime; at += kChangePeriod) {
    sim.At(at, [&sim, number] {
      const auto vm = static_cast<std::size_t>(number) * 31 % sim.size();
      auto proposal = MakeChange(sim, number);
      if (const auto* withdrawn =
              std::get_if<policy::KeyWithdrawal>(&proposal.body)) {
        sim.Withdraw(vm, proposal.operation_id, withdrawn->hashes.front());
      } else {
        sim.Submit(vm, proposal);
      }
    });
    ++number;
  }
}

void SchedulePauses(ConfigSim& sim, base::Instant start) {
  for (auto at = start; at < start + kMeasuredTime; at += seconds(60)) {
    sim.At(at, [&sim] {
      for (std::size_t vm = 0; vm < sim.size(); vm += 4) {
        sim.Pause(vm, seconds(8));
      }
    });
  }
}

void RunSimulation(const FleetSize& size, const FaultScenario& fault) {
  ConfigSimOptions options;
  options.domains = size.domains;
  options.vms_per_domain = size.vms_per_domain;
  options.loss = fault.loss_per_thousand;
  options.jitter = milliseconds(1);
  options.message_size = WireSize;
  ConfigSim sim(options);
  const auto start = sim.now() + kWarmUp;
  if (fault.isolates_first_domain) sim.SetStorePartitioned(0, true);
  PropagationTimes times(sim);
  ScheduleChanges(sim, start);
  if (fault.pauses_vms) SchedulePauses(sim, start);
  sim.RunUntil(start);
  const auto before = CountTotals(sim, {});
  const auto vm_bytes_before = BytesPerVm(sim);
  const auto cpu_ticks_before = std::clock();
  sim.RunUntil(start + kMeasuredTime);
  const auto cpu_ticks = std::clock() - cpu_ticks_before;
  const auto after = CountTotals(sim, vm_bytes_before);
  const auto measured_seconds = static_cast<double>(kMeasuredTime.count());
  const auto vms = static_cast<double>(sim.size());
  const auto rate = [&](std::uint64_t later, std::uint64_t earlier) {
    return static_cast<double>(later - earlier) / measured_seconds;
  };
  const auto cpu_micros = static_cast<double>(cpu_ticks) * 1e6 / CLOCKS_PER_SEC;
  fmt::print(
      "{:<33} {:>4} {:>8.2f} {:>8.0f} {:>8.0f} {:>7.1f} {:>7.2f} {:>8.1f} "
      "{:>8.1f} {:>8.1f} {:>8.0f}\n",
      fault.name, sim.size(), rate(after.messages, before.messages) / vms,
      rate(after.bytes, before.bytes) / vms,
      static_cast<double>(after.max_vm_bytes) / measured_seconds,
      rate(after.reads, before.reads), rate(after.writes, before.writes),
      times.Quantile(0.5), times.Quantile(0.99), times.Quantile(1),
      cpu_micros / vms / measured_seconds);
}

policy::ConfigState MakeState(int rules_per_organisation,
                              int keys_per_organisation) {
  policy::ConfigState state;
  state.revision = 1;
  const policy::ChangeOrigin origin{1, "events-office", {}};
  for (int org = 0; org < kOrganisations; ++org) {
    for (int model = 0; model < rules_per_organisation; ++model) {
      const auto rule = MakeRule(org, model, 40);
      state.rules[rule.id] = {rule, origin};
    }
  }
  for (int key = 0; key < kOrganisations * keys_per_organisation; ++key) {
    state.keys[MakeHash(key)] = {MakeGrant(key), origin};
  }
  return state;
}

void MeasureSnapshot() {
  constexpr int kRounds = 20;
  const auto state = MakeState(4, 4);
  const auto begin = std::clock();
  std::size_t rules = 0;
  for (int i = 0; i < kRounds; ++i) {
    rules += policy::MakeAccessSnapshot(state, {}).rules().size();
  }
  const auto ticks = static_cast<double>(std::clock() - begin);
  const auto bytes = peer::WriteJson(peer::EncodeConfigState(state)).size();
  fmt::print(
      "\n{} rules, {} keys: the full state is {} bytes of JSON; an access "
      "snapshot takes {:.1f} ms of processor time\n",
      rules / kRounds, state.keys.size(), bytes,
      ticks * 1e3 / CLOCKS_PER_SEC / kRounds);
}

}  // namespace

int BenchConfig(const std::vector<std::string>& /*args*/) {
  fmt::print(
      "18,000 changes a day for 10 minutes of virtual time\n\n"
      "{:<33} {:>4} {:>8} {:>8} {:>8} {:>7} {:>7} {:>8} {:>8} {:>8} {:>8}\n"
      "{:<33} {:>4} {:>8} {:>8} {:>8} {:>7} {:>7} {:>8} {:>8} {:>8} {:>8}\n",
      "", "VMs", "messages", "bytes", "bytes", "reads", "writes", "in force",
      "in force", "in force", "cpu", "", "", "/VM/s", "/VM/s", "/s most", "/s",
      "/s", "p50 ms", "p99 ms", "max ms", "us/VM/s");
  for (const auto& fault : kFaultScenarios) {
    for (const auto& size : kFleetSizes) RunSimulation(size, fault);
  }
  MeasureSnapshot();
  return 0;
}

}  // namespace gypsumtrack::bench
