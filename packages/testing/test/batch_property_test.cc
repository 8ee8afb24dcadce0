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
/// Seeds tried to show a property broken without its mechanism.
constexpr std::uint64_t kSeeds = 60;

enum class FaultKind {
  kLoseVm,
  kPauseVm,
  kCutFromTable,
  kCutFromAll,
  kFailEndpoint,
};

struct Fault {
  FaultKind kind = FaultKind::kLoseVm;
  std::uint32_t at_ms = 0;
  std::uint32_t target = 0;
  std::uint32_t seconds = 0;
};

void showValue(const Fault& fault, std::ostream& out) {
  out << fmt::format("fault {} at {} ms on {} for {} s",
                     static_cast<int>(fault.kind), fault.at_ms, fault.target,
                     fault.seconds);
}

rc::Gen<Fault> AnyFault() {
  return rc::gen::build<Fault>(
      rc::gen::set(
          &Fault::kind,
          rc::gen::element(FaultKind::kLoseVm, FaultKind::kPauseVm,
                           FaultKind::kCutFromTable, FaultKind::kCutFromAll,
                           FaultKind::kFailEndpoint)),
      rc::gen::set(&Fault::at_ms, rc::gen::inRange(0U, 20'000U)),
      rc::gen::set(&Fault::target, rc::gen::inRange(0U, kVms)),
      rc::gen::set(&Fault::seconds, rc::gen::inRange(1U, 120U)));
}

/// The faults of a seed, for runs outside RapidCheck.
std::vector<Fault> FaultsOf(std::uint64_t seed, FaultKind kind) {
  std::mt19937_64 random(seed);
  std::vector<Fault> faults;
  for (int i = 0; i < 4; ++i) {
    faults.push_back({kind, static_cast<std::uint32_t>(random() % 5'000),
                      static_cast<std::uint32_t>(random() % kVms),
                      static_cast<std::uint32_t>(60 + random() % 60)});
  }
  return faults;
}

void Strike(BatchWorld& world, const Fault& fault) {
  const auto length = seconds(fault.seconds);
  const auto target = fault.target;
  switch (fault.kind) {
    case FaultKind::kLoseVm:
      world.LoseVm(target, length / 10);
      return;
    case FaultKind::kPauseVm:
      world.PauseVm(target, length);
      return;
    case FaultKind::kCutFromTable:
    case FaultKind::kCutFromAll:
      world.CutVm(target, true, fault.kind == FaultKind::kCutFromAll);
      world.At(length, [&world, target] { world.CutVm(target, false, false); });
      return;
    case FaultKind::kFailEndpoint:
      world.FailEndpoint(target, length / 10);
      return;
  }
}

void Schedule(BatchWorld& world, const std::vector<Fault>& faults) {
  for (const auto& fault : faults) {
    world.At(milliseconds(fault.at_ms),
             [&world, fault] { Strike(world, fault); });
  }
}

std::vector<std::string> Lines(std::size_t count) {
  std::vector<std::string> lines;
  for (std::size_t i = 0; i < count; ++i) {
    lines.push_back(fmt::format("{{\"n\":{}}}", i));
  }
  return lines;
}

BatchWorldOptions Options(std::uint64_t seed, double lost) {
  BatchWorldOptions options;
  options.vms = kVms;
  options.endpoints = kEndpoints;
  options.seed = seed;
  options.lost_requests = lost / 2;
  options.lost_answers = lost / 2;
  options.longest_item = seconds(2);
  return options;
}

/// Looks at a job's result rows again and again; each must stay as it was
/// first seen, with its object.
class ResultWatch {
 public:
  ResultWatch(BatchWorld& watched, const SubmittedJob& watched_job)
      : world(&watched), job(watched_job) {
    this->Look();
  }

  void Look() {
    for (const auto& [chunk, row] : this->world->ResultRows(this->job)) {
      const auto [seen, first] = this->rows.try_emplace(chunk, row);
      if (!first && seen->second != row) this->unchanged = false;
      if (!this->world->store().GetObject(row.object).ok()) {
        this->readable = false;
      }
    }
    for (const auto& [chunk, row] : this->rows) {
      if (this->world->ResultRows(this->job).count(chunk) == 0) {
        this->readable = false;
      }
    }
    this->world->At(milliseconds(500), [this] { this->Look(); });
  }

  bool Held() const { return this->unchanged && this->readable; }

 private:
  BatchWorld* world;
  SubmittedJob job;
  std::map<std::uint32_t, policy::ResultRow> rows;
  bool unchanged = true;
  bool readable = true;
};

bool EachCompleted(const BatchWorld& world, const SubmittedJob& job) {
  const auto results = world.Results(job);
  if (results.size() != job.lines.size()) return false;
  for (const auto& [item, result] : results) {
    if (result.state != policy::ItemState::kCompleted) return false;
    if (result.body != "done:" + job.lines[item]) return false;
  }
  return true;
}

bool ExactlyOnce(const BatchWorldOptions& options,
                 const std::vector<Fault>& faults) {
  BatchWorld world(options);
  const auto large =
      world.Submit("cairo-federation", "draw", Lines(50), kChunkItems);
  const auto small = world.Submit("tartu-clocks", "lot", Lines(5), kChunkItems);
  ResultWatch watch_large(world, large);
  ResultWatch watch_small(world, small);
  Schedule(world, faults);
  if (!world.RunUntilEnded(minutes(60))) return false;
  // Paused holders wake and lost answers come in.
  world.RunFor(minutes(4));
  return watch_large.Held() && watch_small.Held() &&
         EachCompleted(world, large) && EachCompleted(world, small);
}

/// The most often that any item may have run.
std::size_t MostRuns(const BatchWorld& world) {
  std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, std::size_t>
      runs;
  std::size_t most = 0;
  for (const auto& send : world.sends()) {
    if (send.outcome == policy::ItemOutcome::kNotRun) continue;
    most = std::max(most, ++runs[{send.uid, send.chunk, send.item}]);
  }
  return most;
}

struct NonIdempotentRun {
  bool ended = false;
  bool complete = false;
  std::size_t most_runs = 0;
};

NonIdempotentRun RunNonIdempotent(const BatchWorldOptions& options,
                                  const std::vector<Fault>& faults) {
  BatchWorld world(options);
  const auto job = world.Submit("cairo-federation", "returns", Lines(40),
                                kChunkItems, /*idempotent=*/false);
  ResultWatch watch(world, job);
  Schedule(world, faults);
  NonIdempotentRun out;
  out.ended = world.RunUntilEnded(minutes(60));
  world.RunFor(minutes(4));
  out.complete = world.Results(job).size() == job.lines.size() && watch.Held();
  out.most_runs = MostRuns(world);
  return out;
}

struct CancelRun {
  bool acknowledged = false;
  std::size_t later_starts = 0;
  bool results_kept = false;
};

CancelRun RunCancel(const BatchWorldOptions& options,
                    const std::vector<Fault>& faults, std::uint32_t at_ms) {
  BatchWorld world(options);
  const auto job =
      world.Submit("cairo-federation", "draw", Lines(200), kChunkItems);
  Schedule(world, faults);
  world.RunFor(milliseconds(at_ms));
  CancelRun out;
  std::size_t vm = 0;
  std::shared_ptr<bool> acknowledged;
  // A caller whose VM is gone or cut asks the next one again.
  for (int tries = 0; tries < 400 && !out.acknowledged; ++tries) {
    vm = static_cast<std::size_t>(tries / 40) % kVms;
    if (!world.Alive(vm)) {
      world.RunFor(seconds(1));
      continue;
    }
    if (tries % 40 == 0 || !acknowledged) acknowledged = world.Cancel(vm, job);
    world.RunFor(milliseconds(250));
    out.acknowledged = *acknowledged;
    if (world.StateOf(job) == policy::JobState::kFinished) break;
  }
  if (!out.acknowledged) return out;
  const auto rows = world.ResultRows(job);
  const auto before = world.sends().size();
  world.RunFor(minutes(6));
  for (auto i = before; i < world.sends().size(); ++i) {
    if (world.sends()[i].connected) ++out.later_starts;
  }
  out.results_kept = world.ResultRows(job) == rows;
  return out;
}

/// Whether the poison and bad items alone failed.
bool OnlyGuiltyFailed(const BatchWorld& world, const SubmittedJob& job) {
  const auto results = world.Results(job);
  if (results.size() != job.lines.size()) return false;
  for (const auto& [item, result] : results) {
    const auto& line = job.lines[item];
    const bool guilty = line.find(kPoison) != std::string::npos ||
                        line.find(kBad) != std::string::npos;
    const bool failed = result.state == policy::ItemState::kFailed;
    if (failed != guilty) return false;
    if (failed && result.reason.empty()) return false;
  }
  return true;
}

bool PoisonRun(const BatchWorldOptions& options,
               const std::vector<Fault>& faults, std::uint32_t poison,
               std::optional<std::size_t> broken) {
  BatchWorld world(options);
  auto lines = Lines(40);
  lines[poison] = fmt::format("{{\"n\":{},\"poison\":1}}", poison);
  lines[(poison + 7) % 40] = R"({"bad":1})";
  const auto job = world.Submit("cairo-federation", "draw", lines, kChunkItems);
  if (broken) world.BreakEndpoint(*broken, true);
  Schedule(world, faults);
  return world.RunUntilEnded(minutes(60)) && OnlyGuiltyFailed(world, job);
}

}  // namespace

TEST_CASE("Every accepted item ends in exactly one result") {
  rc::prop("whatever VMs, pauses, cuts and lost answers do", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto lost = *rc::gen::element(0.0, 0.05, 0.2);
    const auto faults = *rc::gen::container<std::vector<Fault>>(AnyFault());
    RC_ASSERT(ExactlyOnce(Options(seed, lost), faults));
  });
  SECTION("without the fencing of result commits, some run breaks it") {
    bool held = true;
    for (std::uint64_t seed = 0; seed < kSeeds && held; ++seed) {
      auto options = Options(seed, 0);
      options.batch.safeguards.fencing = false;
      held = ExactlyOnce(options, FaultsOf(seed, FaultKind::kPauseVm));
    }
    CHECK_FALSE(held);
  }
}

TEST_CASE("A non-idempotent item is sent at most once") {
  rc::prop("whatever VMs, pauses, cuts and lost answers do", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto lost = *rc::gen::element(0.0, 0.05, 0.2);
    const auto faults = *rc::gen::container<std::vector<Fault>>(AnyFault());
    const auto run = RunNonIdempotent(Options(seed, lost), faults);
    RC_ASSERT(run.ended);
    RC_ASSERT(run.complete);
    RC_ASSERT(run.most_runs <= 1U);
  });
  SECTION("without intents, some run sends one twice") {
    std::size_t most_runs = 0;
    for (std::uint64_t seed = 0; seed < kSeeds && most_runs <= 1; ++seed) {
      auto options = Options(seed, 0);
      options.batch.safeguards.intents = false;
      const auto faults = FaultsOf(seed, FaultKind::kLoseVm);
      most_runs = RunNonIdempotent(options, faults).most_runs;
    }
    CHECK(most_runs > 1);
  }
}

TEST_CASE("After a cancel is acknowledged nothing starts and nothing commits") {
  rc::prop("whatever VMs, pauses, cuts and lost answers do", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto lost = *rc::gen::element(0.0, 0.05, 0.2);
    const auto at_ms = *rc::gen::inRange(0U, 15'000U);
    const auto faults = *rc::gen::container<std::vector<Fault>>(AnyFault());
    const auto run = RunCancel(Options(seed, lost), faults, at_ms);
    if (!run.acknowledged) RC_DISCARD("the job had finished");
    RC_ASSERT(run.later_starts == 0U);
    RC_ASSERT(run.results_kept);
  });
  SECTION("without the gate before each start, some run starts an item") {
    std::size_t later_starts = 0;
    for (std::uint64_t seed = 0; seed < kSeeds && later_starts == 0; ++seed) {
      auto options = Options(seed, 0);
      options.batch.safeguards.lease_check = false;
      const auto faults = FaultsOf(seed, FaultKind::kPauseVm);
      later_starts = RunCancel(options, faults, 4'000).later_starts;
    }
    CHECK(later_starts > 0);
  }
}

TEST_CASE("A poison item ends as failed and blocks nothing") {
  rc::prop("and no endpoint's fault is booked as an item's", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto poison = *rc::gen::inRange(0U, 40U);
    const auto broken = *rc::gen::inRange<std::size_t>(0, kEndpoints + 1);
    auto faults = *rc::gen::container<std::vector<Fault>>(2, AnyFault());
    for (auto& fault : faults) fault.kind = FaultKind::kFailEndpoint;
    const auto which =
        broken < kEndpoints ? std::optional(broken) : std::nullopt;
    RC_ASSERT(PoisonRun(Options(seed, 0), faults, poison, which));
  });
  SECTION("without proof that an endpoint works, an innocent item is blamed") {
    bool held = true;
    for (std::uint64_t seed = 0; seed < kSeeds && held; ++seed) {
      auto options = Options(seed, 0);
      options.batch.safeguards.require_healthy_endpoint = false;
      held = PoisonRun(options, {}, 3, 1);
    }
    CHECK_FALSE(held);
  }
}

}  // namespace gypsumtrack::testing
