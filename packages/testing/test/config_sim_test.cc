#include "gypsumtrack/testing/config_sim.h"

#include <fmt/format.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>

namespace gypsumtrack::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kPropagationBound = seconds(5);
constexpr base::Duration kWithdrawalBound = seconds(3);
constexpr base::Duration kCheckPeriod = milliseconds(100);
constexpr int kKeyCount = 6;
constexpr int kRuleCount = 4;

enum class FaultKind {
  kRestart,
  kPause,
  kDomainPartition,
  kStorePartition,
  kStoreDown
};

struct Fault {
  FaultKind kind = FaultKind::kRestart;
  int at_ms = 0;
  int length_ms = 0;
  int target = 0;
};

void showValue(const Fault& fault, std::ostream& out) {
  out << fmt::format("fault {} of {} at {} ms for {} ms",
                     static_cast<int>(fault.kind), fault.target, fault.at_ms,
                     fault.length_ms);
}

rc::Gen<Fault> GenerateFault(
    int last_kind = static_cast<int>(FaultKind::kStoreDown)) {
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind, rc::gen::cast<FaultKind>(
                                     rc::gen::inRange(0, last_kind + 1))),
      rc::gen::set(&Fault::at_ms, rc::gen::inRange(4'000, 30'000)),
      rc::gen::set(&Fault::length_ms, rc::gen::inRange(100, 9'000)),
      rc::gen::set(&Fault::target, rc::gen::inRange(0, 1'000)));
}

base::Instant StartTime(const ConfigSim& sim) { return sim.now(); }

void Schedule(ConfigSim& sim, base::Instant start, const Fault& fault) {
  const auto begin = start + milliseconds(fault.at_ms);
  const auto length = milliseconds(fault.length_ms);
  const auto vm = static_cast<std::size_t>(fault.target) % sim.size();
  const auto domain = sim.DomainOf(vm);
  const auto next = sim.DomainOf((vm + 1) % sim.size());
  switch (fault.kind) {
    case FaultKind::kRestart:
      sim.At(begin, [&sim, vm, length] {
        sim.Restart(vm);
        sim.Pause(vm, length / 4);
      });
      break;
    case FaultKind::kPause:
      sim.At(begin, [&sim, vm, length] { sim.Pause(vm, length); });
      break;
    case FaultKind::kDomainPartition:
      sim.At(begin, [&sim, domain, next] {
        sim.SetDomainsPartitioned(domain, next, true);
      });
      sim.At(begin + length, [&sim, domain, next] {
        sim.SetDomainsPartitioned(domain, next, false);
      });
      break;
    case FaultKind::kStorePartition:
      sim.At(begin, [&sim, domain] { sim.SetStorePartitioned(domain, true); });
      sim.At(begin + length,
             [&sim, domain] { sim.SetStorePartitioned(domain, false); });
      break;
    case FaultKind::kStoreDown:
      sim.At(begin, [&sim] { sim.SetStoreDown(true); });
      sim.At(begin + length, [&sim] { sim.SetStoreDown(false); });
      break;
  }
}

ConfigSimOptions MakeFaultyOptions(std::uint64_t seed) {
  ConfigSimOptions options;
  options.seed = seed;
  options.loss = 30;
  options.duplicates = 20;
  options.lost_commit_responses = 100;
  // Frequent enough that starting VMs read snapshots and nodes need log rows
  // that were already dropped.
  options.node.snapshot_interval = 10;
  options.node.retained_rows = 5;
  return options;
}

policy::Proposal MakeKeyGrant(int key) {
  policy::Proposal proposal;
  proposal.operation_id = fmt::format("grant-{}", key);
  proposal.author = "operator";
  proposal.body =
      policy::KeyGrant{fmt::format("hash-{}", key), base::Organisation("org"),
                       fmt::format("label-{}", key)};
  return proposal;
}

policy::Rule MakeRule(int index, int rate, const std::string& comment) {
  policy::Rule rule;
  rule.id.organisation = base::Organisation(fmt::format("org-{}", index));
  rule.id.service = base::Service("service");
  rule.rate_per_second = rate;
  rule.burst = 1;
  rule.comment = comment;
  return rule;
}

/// Schedules `count` changes, each of which adds one rule, from VMs in turn.
void ScheduleChanges(ConfigSim& sim, base::Instant start, int count) {
  for (int i = 0; i < count; ++i) {
    sim.At(start + milliseconds(500 + 700 * i), [&sim, i] {
      policy::Proposal proposal;
      proposal.operation_id = fmt::format("rules-{}", i);
      proposal.author = "operator";
      proposal.deadline = sim.now() + seconds(10);
      proposal.body = policy::RulesFile{{MakeRule(i, 1, "why")}};
      sim.Submit(static_cast<std::size_t>(i * 5) % sim.size(), proposal);
    });
  }
}

bool IsReachable(const ConfigSim& sim, std::uint32_t domain) {
  if (sim.ReachesStore(domain)) return true;
  for (std::size_t vm = 0; vm < sim.size(); ++vm) {
    const auto other = sim.DomainOf(vm);
    if (sim.ReachesStore(other) && sim.IsLinked(domain, other)) return true;
  }
  return false;
}

/// Describes a VM whose revision is older than the bound allows; empty if none.
std::string FindStaleVm(const ConfigSim& sim) {
  const auto cutoff = sim.now() - kPropagationBound;
  const auto& committed = sim.commit_times();
  const auto expected_revision =
      std::upper_bound(committed.begin(), committed.end(), cutoff) -
      committed.begin();
  for (std::size_t vm = 0; vm < sim.size(); ++vm) {
    if (sim.IsPaused(vm) || sim.RunningSince(vm) > cutoff) continue;
    if (sim.last_link_change() > cutoff) continue;
    if (!IsReachable(sim, sim.DomainOf(vm))) continue;
    if (sim.node(vm).in_force() >=
        static_cast<base::Revision>(expected_revision))
      continue;
    return fmt::format("vm {} is at revision {}, expected at least {}", vm,
                       sim.node(vm).in_force(), expected_revision);
  }
  return {};
}

/// Runs until `end` or until FindStaleVm reports a VM; returns the report.
std::string RunAndFindStaleVm(ConfigSim& sim, base::Instant end) {
  while (sim.now() < end) {
    sim.RunUntil(sim.now() + kCheckPeriod);
    auto stale_vm = FindStaleVm(sim);
    if (!stale_vm.empty()) return stale_vm;
  }
  return {};
}

std::string RunPropagation(const ConfigSimOptions& options,
                           const std::vector<Fault>& faults) {
  ConfigSim sim(options);
  const auto start = StartTime(sim);
  ScheduleChanges(sim, start, 40);
  for (const auto& fault : faults) Schedule(sim, start, fault);
  return RunAndFindStaleVm(sim, start + seconds(45));
}

TEST_CASE("an accepted revision is in force on each reachable VM within 5 s") {
  rc::prop("with loss, partitions, outages, restarts and pauses",
           [](std::uint16_t seed) {
             const auto faults = *rc::gen::container<std::vector<Fault>>(
                 *rc::gen::inRange(0, 10), GenerateFault());
             const auto stale_vm =
                 RunPropagation(MakeFaultyOptions(seed), faults);
             if (!stale_vm.empty()) RC_FAIL(stale_vm);
           });
  SECTION("fails without pushes and without periodic reads") {
    auto options = MakeFaultyOptions(1);
    options.node.read.max_confirmation_age = std::chrono::hours(1);
    options.drop_message = [](const policy::ConfigMessage& message) {
      return std::holds_alternative<policy::PushChanges>(message) ||
             std::holds_alternative<policy::AnnounceHead>(message);
    };
    CHECK_FALSE(RunPropagation(options, {}).empty());
  }
}

/// Describes the first VM whose revision decreased, also across restarts.
/// `ignore_readiness` also checks VMs that have not yet read the head.
std::string RunAndFindRevisionDecrease(const ConfigSimOptions& options,
                                       const std::vector<Fault>& faults,
                                       bool ignore_readiness) {
  ConfigSim sim(options);
  const auto start = StartTime(sim);
  std::vector<base::Revision> highest(sim.size());
  std::string decrease;
  sim.SetStepHook([&](std::size_t vm) {
    const auto& node = sim.node(vm);
    if (!node.ready() && !ignore_readiness) return;
    const auto revision = node.log().head();
    if (revision < highest[vm] && decrease.empty()) {
      decrease = fmt::format("vm {} went from revision {} back to {}", vm,
                             highest[vm], revision);
    }
    highest[vm] = std::max(highest[vm], revision);
  });
  ScheduleChanges(sim, start, 40);
  for (const auto& fault : faults) Schedule(sim, start, fault);
  sim.RunUntil(start + seconds(45));
  return decrease;
}

TEST_CASE("the revision of a VM never decreases") {
  rc::prop("with loss, partitions, outages, restarts and pauses",
           [](std::uint16_t seed) {
             const auto faults = *rc::gen::container<std::vector<Fault>>(
                 *rc::gen::inRange(0, 16), GenerateFault());
             const auto decrease = RunAndFindRevisionDecrease(
                 MakeFaultyOptions(seed), faults, false);
             if (!decrease.empty()) RC_FAIL(decrease);
           });
  SECTION("fails if a starting VM serves before it has read the head") {
    const std::vector<Fault> restart = {{FaultKind::kRestart, 20'000, 100, 3}};
    CHECK(RunAndFindRevisionDecrease(MakeFaultyOptions(1), restart, false)
              .empty());
    CHECK_FALSE(RunAndFindRevisionDecrease(MakeFaultyOptions(1), restart, true)
                    .empty());
  }
}

/// A withdrawal: the key, the VM that accepted it and when.
struct WithdrawalRecord {
  std::string hash;
  std::size_t accepted_by = 0;
  base::Instant at{};
};

/// Checks after each event that no withdrawn key is accepted again, and on each
/// call of CheckBound that withdrawals took effect in time.
class WithdrawalChecker {
 public:
  explicit WithdrawalChecker(ConfigSim& simulation) : sim(simulation) {
    simulation.SetStepHook(
        [this](std::size_t vm) { this->CheckNotAcceptedAgain(vm); });
  }

  void Add(WithdrawalRecord item) { this->items.push_back(std::move(item)); }
  const std::string& fault() const { return this->first_violation; }  // NOLINT

  void CheckBound() {
    const auto cutoff = this->sim.now() - kWithdrawalBound;
    for (const auto& item : this->items) {
      // The bound applies only if the accepting VM kept running to forward it.
      const auto accepting_vm = item.accepted_by;
      if (item.at > cutoff || this->sim.RunningSince(accepting_vm) > item.at)
        continue;
      if (this->sim.last_link_change() > item.at) continue;
      for (std::size_t vm = 0; vm < this->sim.size(); ++vm) {
        const bool linked = this->sim.IsLinked(this->sim.DomainOf(accepting_vm),
                                               this->sim.DomainOf(vm));
        if (!linked || this->sim.IsPaused(vm)) continue;
        if (this->sim.RunningSince(vm) > item.at) continue;
        if (!this->sim.Accepts(vm, item.hash)) continue;
        this->Report(
            fmt::format("vm {} accepts {} after the bound", vm, item.hash));
      }
    }
  }

 private:
  void CheckNotAcceptedAgain(std::size_t vm) {
    const auto& node = this->sim.node(vm);
    if (!node.ready()) return;
    for (const auto& item : this->items) {
      const auto key = std::pair(vm, item.hash);
      if (!this->sim.Accepts(vm, item.hash)) {
        this->refused.insert(key);
      } else if (this->refused.count(key) != 0) {
        this->Report(fmt::format("vm {} accepts {} again", vm, item.hash));
      }
    }
  }

  void Report(std::string text) {
    if (this->first_violation.empty()) this->first_violation = std::move(text);
  }

  ConfigSim& sim;
  std::vector<WithdrawalRecord> items;
  std::set<std::pair<std::size_t, std::string>> refused;
  std::string first_violation;
};

std::string RunWithdrawals(const ConfigSimOptions& options,
                           const std::vector<Fault>& faults) {
  ConfigSim sim(options);
  const auto start = StartTime(sim);
  WithdrawalChecker checker(sim);
  for (int key = 0; key < kKeyCount; ++key) sim.Submit(0, MakeKeyGrant(key));
  for (int key = 0; key < kKeyCount; ++key) {
    sim.At(start + milliseconds(6'000 + 3'100 * key), [&sim, &checker, key] {
      const auto vm = static_cast<std::size_t>(key * 7) % sim.size();
      const auto hash = fmt::format("hash-{}", key);
      // An operator can only use a running VM that knows the key.
      if (sim.IsPaused(vm) || !sim.Accepts(vm, hash)) return;
      sim.Withdraw(vm, fmt::format("round-{}", key), hash);
      checker.Add({hash, vm, sim.now()});
    });
  }
  for (const auto& fault : faults) Schedule(sim, start, fault);
  while (sim.now() < start + seconds(40)) {
    sim.RunUntil(sim.now() + kCheckPeriod);
    checker.CheckBound();
  }
  return checker.fault();
}

bool IsWithdrawal(const policy::ConfigMessage& message) {
  return std::holds_alternative<policy::WithdrawKeys>(message) ||
         std::holds_alternative<policy::PendingWithdrawals>(message);
}

TEST_CASE("a withdrawn key is refused within 3 s and never accepted again") {
  rc::prop("with loss, partitions, outages, restarts and pauses",
           [](std::uint16_t seed) {
             const auto faults = *rc::gen::container<std::vector<Fault>>(
                 *rc::gen::inRange(0, 10), GenerateFault());
             const auto fault = RunWithdrawals(MakeFaultyOptions(seed), faults);
             if (!fault.empty()) RC_FAIL(fault);
           });
  const std::vector<Fault> outage = {{FaultKind::kStoreDown, 5'000, 25'000, 0}};
  SECTION("holds while the store is down") {
    CHECK(RunWithdrawals(MakeFaultyOptions(1), outage).empty());
  }
  SECTION("fails if VMs do not forward withdrawals") {
    auto options = MakeFaultyOptions(1);
    options.drop_message = IsWithdrawal;
    CHECK_FALSE(RunWithdrawals(options, outage).empty());
  }
  SECTION("fails if a starting VM does not query its peers") {
    auto options = MakeFaultyOptions(1);
    auto faults = outage;
    faults.push_back({FaultKind::kRestart, 12'000, 100, 4});
    CHECK(RunWithdrawals(options, faults).empty());
    options.drop_message = [](const policy::ConfigMessage& message) {
      return std::holds_alternative<policy::PendingWithdrawals>(message);
    };
    CHECK_FALSE(RunWithdrawals(options, faults).empty());
  }
}

/// Two operators who edit possibly outdated revisions of the rules file.
class ConcurrentEditors {
 public:
  ConcurrentEditors(ConfigSim& target, std::uint64_t seed)
      : sim(target), random(seed) {}

  void Edit(int number) {
    const auto vm = this->random() % this->sim.size();
    const auto& node = this->sim.node(vm);
    if (!node.ready()) return;
    const auto lag = this->random() % 4;
    const auto head = node.log().head();
    policy::Proposal proposal;
    proposal.base = head > lag ? head - lag : head;
    auto rules = node.log().RulesAt(proposal.base);
    if (!rules.ok()) return;
    proposal.operation_id = fmt::format("edit-{}", number);
    proposal.author = number % 2 == 0 ? "cairo" : "aswan";
    proposal.deadline = this->sim.now() + seconds(8);
    proposal.body = policy::RulesFile{this->Change(std::move(*rules), number)};
    this->sim.Submit(vm, proposal);
  }

 private:
  policy::RuleSet Change(policy::RuleSet rules, int number) {
    const auto rule = MakeRule(static_cast<int>(this->random() % kRuleCount),
                               number + 1, fmt::format("edit {}", number));
    const auto existing = std::find_if(
        rules.begin(), rules.end(),
        [&](const policy::Rule& other) { return other.id == rule.id; });
    if (existing == rules.end()) {
      rules.push_back(rule);
    } else if (this->random() % 4 == 0) {
      rules.erase(existing);
    } else {
      *existing = rule;
    }
    return rules;
  }

  ConfigSim& sim;
  std::mt19937_64 random;
};

bool Replaces(const policy::Change& later, const policy::RuleEdit& edit,
              base::Revision revision) {
  const auto* delta = std::get_if<policy::RulesDelta>(&later.body);
  if (delta == nullptr) return false;
  return std::any_of(delta->edits.begin(), delta->edits.end(),
                     [&](const policy::RuleEdit& other) {
                       if (other.id() != edit.id()) return false;
                       return edit.after ? other.replaces == revision
                                         : !other.before.has_value();
                     });
}

/// Whether the edit is in the final state or a later change explicitly replaces
/// it.
bool IsEffective(const ConfigSim& sim, const policy::RuleEdit& edit,
                 base::Revision revision) {
  const auto& rules = sim.node(0).log().state().rules;
  const auto entry = rules.find(edit.id());
  const bool is_final =
      edit.after ? entry != rules.end() && entry->second.rule == *edit.after &&
                       entry->second.origin.revision == revision
                 : entry == rules.end();
  if (is_final) return true;
  const auto& log = sim.store().log;
  return std::any_of(log.begin(), log.end(), [&](const auto& later) {
    return later.revision > revision && Replaces(later, edit, revision);
  });
}

std::string FindLostEdit(const ConfigSim& sim) {
  const auto& log = sim.store().log;
  for (const auto& [operation, response] : sim.append_responses()) {
    if (!response.result.ok() || response.result->edits.empty()) continue;
    const auto revision = response.result->revision;
    const auto written = std::count_if(log.begin(), log.end(),
                                       [name = operation](const auto& change) {
                                         return change.operation_id == name;
                                       });
    if (written != 1)
      return fmt::format("{} is in the log {} times", operation, written);
    for (const auto& edit : response.result->edits) {
      if (IsEffective(sim, edit, revision)) continue;
      return fmt::format("{} at revision {} is lost", operation, revision);
    }
  }
  return {};
}

std::string RunConcurrentEdits(const ConfigSimOptions& options,
                               const std::vector<Fault>& faults) {
  ConfigSim sim(options);
  const auto start = StartTime(sim);
  ConcurrentEditors editors(sim, options.seed);
  for (int i = 0; i < 60; ++i) {
    // Two edits at the same instant.
    sim.At(start + milliseconds(2'000 + 900 * (i / 2)),
           [&editors, i] { editors.Edit(i); });
  }
  for (const auto& fault : faults) Schedule(sim, start, fault);
  sim.RunUntil(start + seconds(60));
  return FindLostEdit(sim);
}

TEST_CASE("no accepted change is lost when two operators edit concurrently") {
  rc::prop("with lost responses, partitions, outages, restarts and pauses",
           [](std::uint16_t seed) {
             const auto faults = *rc::gen::container<std::vector<Fault>>(
                 *rc::gen::inRange(0, 8), GenerateFault());
             const auto lost_edit =
                 RunConcurrentEdits(MakeFaultyOptions(seed), faults);
             if (!lost_edit.empty()) RC_FAIL(lost_edit);
           });
  SECTION("fails if the store does not check the head") {
    auto options = MakeFaultyOptions(1);
    CHECK(RunConcurrentEdits(options, {}).empty());
    options.compare_and_set = false;
    CHECK_FALSE(RunConcurrentEdits(options, {}).empty());
  }
}

TEST_CASE("a starting VM reads the snapshot and the rows after it") {
  ConfigSim sim(MakeFaultyOptions(1));
  ScheduleChanges(sim, StartTime(sim), 40);
  sim.RunUntil(sim.now() + seconds(40));
  CHECK(sim.store().log.size() == 40);
  REQUIRE(sim.store().snapshot);
  CHECK(sim.store().snapshot->revision >= 30);
  CHECK(sim.store().dropped_to >= 25);
  sim.Restart(5);
  sim.RunUntil(sim.now() + seconds(5));
  CHECK(sim.node(5).in_force() == 40);
  CHECK(sim.node(5).log().state() == sim.node(0).log().state());
}

TEST_CASE("a domain detects that it is isolated") {
  ConfigSim sim({});
  sim.RunUntil(sim.now() + seconds(5));
  const auto set_isolated = [&](bool partitioned) {
    sim.SetDomainsPartitioned(0, 1, partitioned);
    sim.SetDomainsPartitioned(1, 2, partitioned);
    sim.SetStorePartitioned(1, partitioned);
    sim.RunUntil(sim.now() + seconds(8));
  };
  const auto isolated = [&](std::uint32_t domain) {
    int count = 0;
    for (std::size_t vm = 0; vm < sim.size(); ++vm) {
      if (sim.DomainOf(vm) != domain) continue;
      if (sim.node(vm).IsIsolated(sim.now())) ++count;
    }
    return count;
  };
  CHECK(isolated(1) == 0);
  set_isolated(true);
  CHECK(isolated(1) == 4);
  CHECK(isolated(0) == 0);
  SECTION("not while it receives messages from another domain") {
    sim.SetDomainsPartitioned(1, 2, false);
    sim.RunUntil(sim.now() + seconds(8));
    CHECK(isolated(1) == 0);
  }
  SECTION("and detects that the partition has ended") {
    set_isolated(false);
    CHECK(isolated(1) == 0);
  }
}

TEST_CASE("status reports where a change and a withdrawal are in force") {
  ConfigSim sim({});
  const auto start = StartTime(sim);
  sim.Submit(0, MakeKeyGrant(0));
  ScheduleChanges(sim, start, 3);
  sim.RunUntil(start + seconds(4));
  const auto head = sim.store().log.size();
  sim.QueryFleetStatus(1, "all");
  sim.RunUntil(sim.now() + seconds(1));
  REQUIRE(sim.status_responses().count("all") == 1);
  for (const auto& domain : sim.status_responses().at("all").domains) {
    CHECK(domain.reachable);
    CHECK(domain.vms == 4);
    CHECK(domain.counts == policy::RevisionCounts{{head, 4}});
  }
  SECTION("an isolated domain is reported as unreachable") {
    sim.SetDomainsPartitioned(0, 1, true);
    sim.SetDomainsPartitioned(1, 2, true);
    sim.Withdraw(0, "round", "hash-0");
    sim.QueryFleetStatus(0, "cut");
    sim.RunUntil(sim.now() + seconds(3));
    REQUIRE(sim.withdraw_responses().count("round") == 1);
    const auto& response = sim.withdraw_responses().at("round");
    CHECK(response.durable);
    REQUIRE(response.domains.size() == 3);
    CHECK(response.domains[0].in_force == 4);
    CHECK_FALSE(response.domains[1].reachable);
    CHECK(response.domains[2].in_force == 4);
    CHECK_FALSE(sim.status_responses().at("cut").domains[1].reachable);
  }
}

}  // namespace
}  // namespace gypsumtrack::testing
