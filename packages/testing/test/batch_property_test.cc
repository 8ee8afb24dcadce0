#include <fmt/format.h>
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <optional>

#include "gypsumtrack/testing/batch_world.h"

namespace gypsumtrack::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint32_t kVms = 3;
constexpr std::uint32_t kEndpoints = 3;
constexpr std::uint32_t kChunkItems = 6;
/// Seeds tried to violate a property with its safeguard disabled.
constexpr std::uint64_t kSeedCount = 60;

enum class FaultKind {
  kCrashVm,
  kPauseVm,
  kIsolateFromTable,
  kIsolateFromAll,
  kFailEndpoint,
};

struct Fault {
  FaultKind kind = FaultKind::kCrashVm;
  std::uint32_t at_ms = 0;
  std::uint32_t target = 0;
  std::uint32_t seconds = 0;
};

void showValue(const Fault& fault, std::ostream& out) {
  out << fmt::format("fault {} at {} ms on {} for {} s",
                     static_cast<int>(fault.kind), fault.at_ms, fault.target,
                     fault.seconds);
}

rc::Gen<Fault> ArbitraryFault() {
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind,
                   rc::gen::element(FaultKind::kCrashVm, FaultKind::kPauseVm,
                                    FaultKind::kIsolateFromTable,
                                    FaultKind::kIsolateFromAll,
                                    FaultKind::kFailEndpoint)),
      rc::gen::set(&Fault::at_ms, rc::gen::inRange(0U, 20'000U)),
      rc::gen::set(&Fault::target, rc::gen::inRange(0U, kVms)),
      rc::gen::set(&Fault::seconds, rc::gen::inRange(1U, 120U)));
}

/// Generates faults from a seed for runs outside RapidCheck.
std::vector<Fault> GenerateFaults(std::uint64_t seed, FaultKind kind) {
  std::mt19937_64 random(seed);
  std::vector<Fault> faults;
  for (int i = 0; i < 4; ++i) {
    faults.push_back({kind, static_cast<std::uint32_t>(random() % 5'000),
                      static_cast<std::uint32_t>(random() % kVms),
                      static_cast<std::uint32_t>(60 + random() % 60)});
  }
  return faults;
}

void InjectFault(BatchSimulation& simulation, const Fault& fault) {
  const auto length = seconds(fault.seconds);
  const auto target = fault.target;
  switch (fault.kind) {
    case FaultKind::kCrashVm:
      simulation.CrashVm(target, length / 10);
      return;
    case FaultKind::kPauseVm:
      simulation.PauseVm(target, length);
      return;
    case FaultKind::kIsolateFromTable:
    case FaultKind::kIsolateFromAll:
      simulation.SetPartition(target, true,
                              fault.kind == FaultKind::kIsolateFromAll);
      simulation.At(length, [&simulation, target] {
        simulation.SetPartition(target, false, false);
      });
      return;
    case FaultKind::kFailEndpoint:
      simulation.FailEndpoint(target, length / 10);
      return;
  }
}

void ScheduleFaults(BatchSimulation& simulation,
                    const std::vector<Fault>& faults) {
  for (const auto& fault : faults) {
    simulation.At(milliseconds(fault.at_ms),
                  [&simulation, fault] { InjectFault(simulation, fault); });
  }
}

std::vector<std::string> MakeLines(std::size_t count) {
  std::vector<std::string> lines;
  for (std::size_t i = 0; i < count; ++i) {
    lines.push_back(fmt::format("{{\"n\":{}}}", i));
  }
  return lines;
}

BatchSimulationOptions Options(std::uint64_t seed, double loss_rate) {
  BatchSimulationOptions options;
  options.vms = kVms;
  options.endpoints = kEndpoints;
  options.seed = seed;
  options.lost_requests = loss_rate / 2;
  options.lost_responses = loss_rate / 2;
  options.max_item_duration = seconds(2);
  return options;
}

/// Polls a job's result rows and checks that each row stays unchanged and its
/// object readable.
class ResultMonitor {
 public:
  ResultMonitor(BatchSimulation& monitored, const SubmittedJob& monitored_job)
      : simulation(&monitored), job(monitored_job) {
    this->Check();
  }

  void Check() {
    for (const auto& [chunk, row] : this->simulation->ResultRows(this->job)) {
      const auto [seen, first] = this->rows.try_emplace(chunk, row);
      if (!first && seen->second != row) this->unchanged = false;
      if (!this->simulation->store().GetObject(row.object).ok()) {
        this->readable = false;
      }
    }
    for (const auto& [chunk, row] : this->rows) {
      if (this->simulation->ResultRows(this->job).count(chunk) == 0) {
        this->readable = false;
      }
    }
    this->simulation->At(milliseconds(500), [this] { this->Check(); });
  }

  bool Unchanged() const { return this->unchanged && this->readable; }

 private:
  BatchSimulation* simulation;
  SubmittedJob job;
  std::map<std::uint32_t, policy::ResultRow> rows;
  bool unchanged = true;
  bool readable = true;
};

bool AllCompleted(const BatchSimulation& simulation, const SubmittedJob& job) {
  const auto results = simulation.Results(job);
  if (results.size() != job.lines.size()) return false;
  for (const auto& [item, result] : results) {
    if (result.state != policy::ItemState::kCompleted) return false;
    if (result.body != "done:" + job.lines[item]) return false;
  }
  return true;
}

bool HasExactlyOneResult(const BatchSimulationOptions& options,
                         const std::vector<Fault>& faults) {
  BatchSimulation simulation(options);
  const auto large =
      simulation.Submit("cairo-federation", "draw", MakeLines(50), kChunkItems);
  const auto small =
      simulation.Submit("tartu-clocks", "lot", MakeLines(5), kChunkItems);
  ResultMonitor large_monitor(simulation, large);
  ResultMonitor small_monitor(simulation, small);
  ScheduleFaults(simulation, faults);
  if (!simulation.RunUntilEnded(minutes(60))) return false;
  // Lets paused lease holders resume and delayed responses arrive.
  simulation.RunFor(minutes(4));
  return large_monitor.Unchanged() && small_monitor.Unchanged() &&
         AllCompleted(simulation, large) && AllCompleted(simulation, small);
}

/// Returns the highest number of attempts of one item that may have run.
std::size_t MaxRuns(const BatchSimulation& simulation) {
  std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, std::size_t>
      runs;
  std::size_t max = 0;
  for (const auto& attempt : simulation.attempts()) {
    if (attempt.outcome == policy::ItemOutcome::kNotRun) continue;
    max = std::max(max, ++runs[{attempt.uid, attempt.chunk, attempt.item}]);
  }
  return max;
}

struct NonIdempotentRun {
  bool ended = false;
  bool complete = false;
  std::size_t max_runs = 0;
};

NonIdempotentRun RunNonIdempotent(const BatchSimulationOptions& options,
                                  const std::vector<Fault>& faults) {
  BatchSimulation simulation(options);
  const auto job =
      simulation.Submit("cairo-federation", "returns", MakeLines(40),
                        kChunkItems, /*idempotent=*/false);
  ResultMonitor monitor(simulation, job);
  ScheduleFaults(simulation, faults);
  NonIdempotentRun out;
  out.ended = simulation.RunUntilEnded(minutes(60));
  simulation.RunFor(minutes(4));
  out.complete =
      simulation.Results(job).size() == job.lines.size() && monitor.Unchanged();
  out.max_runs = MaxRuns(simulation);
  return out;
}

struct CancelRun {
  bool acknowledged = false;
  std::size_t later_starts = 0;
  bool results_kept = false;
};

CancelRun RunCancel(const BatchSimulationOptions& options,
                    const std::vector<Fault>& faults, std::uint32_t at_ms) {
  BatchSimulation simulation(options);
  const auto job = simulation.Submit("cairo-federation", "draw", MakeLines(200),
                                     kChunkItems);
  ScheduleFaults(simulation, faults);
  simulation.RunFor(milliseconds(at_ms));
  CancelRun out;
  std::size_t vm = 0;
  std::shared_ptr<bool> ack;
  // The caller retries on the next VM if its VM has crashed or is disconnected.
  for (int attempt = 0; attempt < 400 && !out.acknowledged; ++attempt) {
    vm = static_cast<std::size_t>(attempt / 40) % kVms;
    if (!simulation.IsAlive(vm)) {
      simulation.RunFor(seconds(1));
      continue;
    }
    if (attempt % 40 == 0 || !ack) ack = simulation.Cancel(vm, job);
    simulation.RunFor(milliseconds(250));
    out.acknowledged = *ack;
    if (simulation.JobStateOf(job) == policy::JobState::kFinished) break;
  }
  if (!out.acknowledged) return out;
  const auto rows = simulation.ResultRows(job);
  const auto before = simulation.attempts().size();
  simulation.RunFor(minutes(6));
  for (auto i = before; i < simulation.attempts().size(); ++i) {
    if (simulation.attempts()[i].connected) ++out.later_starts;
  }
  out.results_kept = simulation.ResultRows(job) == rows;
  return out;
}

/// Returns whether exactly the poison and rejected items failed.
bool OnlyFaultyItemsFailed(const BatchSimulation& simulation,
                           const SubmittedJob& job) {
  const auto results = simulation.Results(job);
  if (results.size() != job.lines.size()) return false;
  for (const auto& [item, result] : results) {
    const auto& line = job.lines[item];
    const bool faulty = line.find(kPoisonMarker) != std::string::npos ||
                        line.find(kRejectedMarker) != std::string::npos;
    const bool failed = result.state == policy::ItemState::kFailed;
    if (failed != faulty) return false;
    if (failed && result.reason.empty()) return false;
  }
  return true;
}

bool OnlyFaultyItemsFailInRun(const BatchSimulationOptions& options,
                              const std::vector<Fault>& faults,
                              std::uint32_t poison,
                              std::optional<std::size_t> failing_endpoint) {
  BatchSimulation simulation(options);
  auto lines = MakeLines(40);
  lines[poison] = fmt::format("{{\"n\":{},\"poison\":1}}", poison);
  lines[(poison + 7) % 40] = R"({"bad":1})";
  const auto job =
      simulation.Submit("cairo-federation", "draw", lines, kChunkItems);
  if (failing_endpoint) simulation.SetEndpointFailing(*failing_endpoint, true);
  ScheduleFaults(simulation, faults);
  return simulation.RunUntilEnded(minutes(60)) &&
         OnlyFaultyItemsFailed(simulation, job);
}

}  // namespace

TEST_CASE("Every accepted item ends in exactly one result") {
  rc::prop("under crashes, pauses, partitions and lost responses", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto loss_rate = *rc::gen::element(0.0, 0.05, 0.2);
    const auto faults =
        *rc::gen::container<std::vector<Fault>>(ArbitraryFault());
    RC_ASSERT(HasExactlyOneResult(Options(seed, loss_rate), faults));
  });
  SECTION("is violated without fencing of result commits") {
    bool property_held = true;
    for (std::uint64_t seed = 0; seed < kSeedCount && property_held; ++seed) {
      auto options = Options(seed, 0);
      options.batch.safeguards.fencing = false;
      property_held = HasExactlyOneResult(
          options, GenerateFaults(seed, FaultKind::kPauseVm));
    }
    CHECK_FALSE(property_held);
  }
}

TEST_CASE("A non-idempotent item is sent at most once") {
  rc::prop("under crashes, pauses, partitions and lost responses", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto loss_rate = *rc::gen::element(0.0, 0.05, 0.2);
    const auto faults =
        *rc::gen::container<std::vector<Fault>>(ArbitraryFault());
    const auto run = RunNonIdempotent(Options(seed, loss_rate), faults);
    RC_ASSERT(run.ended);
    RC_ASSERT(run.complete);
    RC_ASSERT(run.max_runs <= 1U);
  });
  SECTION("is violated without recorded intents") {
    std::size_t max_runs = 0;
    for (std::uint64_t seed = 0; seed < kSeedCount && max_runs <= 1; ++seed) {
      auto options = Options(seed, 0);
      options.batch.safeguards.intents = false;
      const auto faults = GenerateFaults(seed, FaultKind::kCrashVm);
      max_runs = RunNonIdempotent(options, faults).max_runs;
    }
    CHECK(max_runs > 1);
  }
}

TEST_CASE(
    "No item starts and no result commits after an acknowledged cancellation") {
  rc::prop("under crashes, pauses, partitions and lost responses", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto loss_rate = *rc::gen::element(0.0, 0.05, 0.2);
    const auto at_ms = *rc::gen::inRange(0U, 15'000U);
    const auto faults =
        *rc::gen::container<std::vector<Fault>>(ArbitraryFault());
    const auto run = RunCancel(Options(seed, loss_rate), faults, at_ms);
    if (!run.acknowledged) RC_DISCARD("the job had finished");
    RC_ASSERT(run.later_starts == 0U);
    RC_ASSERT(run.results_kept);
  });
  SECTION("is violated without the lease check before each start") {
    std::size_t later_starts = 0;
    for (std::uint64_t seed = 0; seed < kSeedCount && later_starts == 0;
         ++seed) {
      auto options = Options(seed, 0);
      options.batch.safeguards.lease_check = false;
      const auto faults = GenerateFaults(seed, FaultKind::kPauseVm);
      later_starts = RunCancel(options, faults, 4'000).later_starts;
    }
    CHECK(later_starts > 0);
  }
}

TEST_CASE("A poison item fails without blocking other items") {
  rc::prop("and endpoint failures are not attributed to items", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto poison = *rc::gen::inRange(0U, 40U);
    const auto failing_endpoint =
        *rc::gen::inRange<std::size_t>(0, kEndpoints + 1);
    auto faults = *rc::gen::container<std::vector<Fault>>(2, ArbitraryFault());
    for (auto& fault : faults) fault.kind = FaultKind::kFailEndpoint;
    const auto failing = failing_endpoint < kEndpoints
                             ? std::optional(failing_endpoint)
                             : std::nullopt;
    RC_ASSERT(
        OnlyFaultyItemsFailInRun(Options(seed, 0), faults, poison, failing));
  });
  // Guards against a chunk that a VM holds for ever: its only endpoint fails
  // all probes, and an item waits until a probe completes.
  SECTION("although the holder's only endpoint fails every probe") {
    const std::vector<Fault> faults = {
        {FaultKind::kFailEndpoint, 0, 0, 1},
        {FaultKind::kFailEndpoint, 1'407, 1, 20},
    };
    CHECK(OnlyFaultyItemsFailInRun(Options(5'728'425'792, 0), faults, 9, 1));
  }
  SECTION("is violated without requiring a healthy endpoint") {
    bool property_held = true;
    for (std::uint64_t seed = 0; seed < kSeedCount && property_held; ++seed) {
      auto options = Options(seed, 0);
      options.batch.safeguards.require_healthy_endpoint = false;
      property_held = OnlyFaultyItemsFailInRun(options, {}, 3, 1);
    }
    CHECK_FALSE(property_held);
  }
}

}  // namespace gypsumtrack::testing
