#include "gypsumtrack/testing/config_sim.h"

#include <fmt/format.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>

namespace gypsumtrack::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kInForceBound = seconds(5);
constexpr base::Duration kWithdrawnBound = seconds(3);
constexpr base::Duration kCheckPeriod = milliseconds(100);
constexpr int kKeys = 6;
constexpr int kRuleCount = 4;

enum class FaultKind { kRestart, kPause, kDomainCut, kTableCut, kTableDown };

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

rc::Gen<Fault> AnyFault(
    int last_kind = static_cast<int>(FaultKind::kTableDown)) {
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind, rc::gen::cast<FaultKind>(
                                     rc::gen::inRange(0, last_kind + 1))),
      rc::gen::set(&Fault::at_ms, rc::gen::inRange(4'000, 30'000)),
      rc::gen::set(&Fault::length_ms, rc::gen::inRange(100, 9'000)),
      rc::gen::set(&Fault::target, rc::gen::inRange(0, 1'000)));
}

base::Instant StartOf(const ConfigSim& sim) { return sim.now(); }

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
    case FaultKind::kDomainCut:
      sim.At(begin,
             [&sim, domain, next] { sim.CutDomains(domain, next, true); });
      sim.At(begin + length,
             [&sim, domain, next] { sim.CutDomains(domain, next, false); });
      break;
    case FaultKind::kTableCut:
      sim.At(begin, [&sim, domain] { sim.CutFromTable(domain, true); });
      sim.At(begin + length,
             [&sim, domain] { sim.CutFromTable(domain, false); });
      break;
    case FaultKind::kTableDown:
      sim.At(begin, [&sim] { sim.SetTableDown(true); });
      sim.At(begin + length, [&sim] { sim.SetTableDown(false); });
      break;
  }
}

ConfigSimOptions Faulty(std::uint64_t seed) {
  ConfigSimOptions options;
  options.seed = seed;
  options.loss = 30;
  options.duplicates = 20;
  options.lost_answers = 100;
  // Often enough that starting VMs read snapshots and dropped rows are missed.
  options.node.snapshot_interval = 10;
  options.node.retained_rows = 5;
  return options;
}

policy::Proposal Grant(int key) {
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

/// Adds one rule more each time, from VMs in turn.
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
  if (sim.ReachesTable(domain)) return true;
  for (std::size_t vm = 0; vm < sim.size(); ++vm) {
    const auto other = sim.DomainOf(vm);
    if (sim.ReachesTable(other) && sim.IsLinked(domain, other)) return true;
  }
  return false;
}

/// The VMs whose revision is too old; none while things are as they must be.
std::string FindLate(const ConfigSim& sim) {
  const auto since = sim.now() - kInForceBound;
  const auto& committed = sim.commit_times();
  const auto due = std::upper_bound(committed.begin(), committed.end(), since) -
                   committed.begin();
  for (std::size_t vm = 0; vm < sim.size(); ++vm) {
    if (sim.IsPaused(vm) || sim.UpSince(vm) > since) continue;
    if (sim.last_link_change() > since) continue;
    if (!IsReachable(sim, sim.DomainOf(vm))) continue;
    if (sim.node(vm).in_force() >= static_cast<base::Revision>(due)) continue;
    return fmt::format("vm {} has {} and should have {}", vm,
                       sim.node(vm).in_force(), due);
  }
  return {};
}

/// Runs to the end; returns the first thing that FindLate finds.
std::string RunAndFindLate(ConfigSim& sim, base::Instant end) {
  while (sim.now() < end) {
    sim.RunUntil(sim.now() + kCheckPeriod);
    auto late = FindLate(sim);
    if (!late.empty()) return late;
  }
  return {};
}

std::string RunInForce(const ConfigSimOptions& options,
                       const std::vector<Fault>& faults) {
  ConfigSim sim(options);
  const auto start = StartOf(sim);
  ScheduleChanges(sim, start, 40);
  for (const auto& fault : faults) Schedule(sim, start, fault);
  return RunAndFindLate(sim, start + seconds(45));
}

TEST_CASE("an accepted revision is in force on each reachable VM within 5 s") {
  rc::prop("over loss, cuts, outages, restarts and pauses",
           [](std::uint16_t seed) {
             const auto faults = *rc::gen::container<std::vector<Fault>>(
                 *rc::gen::inRange(0, 10), AnyFault());
             const auto late = RunInForce(Faulty(seed), faults);
             if (!late.empty()) RC_FAIL(late);
           });
  SECTION("and isn't without pushes and without a look of one's own") {
    auto options = Faulty(1);
    options.node.read.max_confirmation_age = std::chrono::hours(1);
    options.swallow = [](const policy::ConfigMessage& message) {
      return std::holds_alternative<policy::PushChanges>(message) ||
             std::holds_alternative<policy::AnnounceHead>(message);
    };
    CHECK_FALSE(RunInForce(options, {}).empty());
  }
}

/// The VMs whose revision fell, restarts included. `serves_at_once` switches
/// off that a starting VM waits for the head.
std::string RunAndFindFall(const ConfigSimOptions& options,
                           const std::vector<Fault>& faults,
                           bool serves_at_once) {
  ConfigSim sim(options);
  const auto start = StartOf(sim);
  std::vector<base::Revision> highest(sim.size());
  std::string fall;
  sim.OnStep([&](std::size_t vm) {
    const auto& node = sim.node(vm);
    if (!node.ready() && !serves_at_once) return;
    const auto revision = node.log().head();
    if (revision < highest[vm] && fall.empty()) {
      fall = fmt::format("vm {} fell from {} to {}", vm, highest[vm], revision);
    }
    highest[vm] = std::max(highest[vm], revision);
  });
  ScheduleChanges(sim, start, 40);
  for (const auto& fault : faults) Schedule(sim, start, fault);
  sim.RunUntil(start + seconds(45));
  return fall;
}

TEST_CASE("the revision of a VM never falls") {
  rc::prop("over loss, cuts, outages, restarts and pauses",
           [](std::uint16_t seed) {
             const auto faults = *rc::gen::container<std::vector<Fault>>(
                 *rc::gen::inRange(0, 16), AnyFault());
             const auto fall = RunAndFindFall(Faulty(seed), faults, false);
             if (!fall.empty()) RC_FAIL(fall);
           });
  SECTION("and does if a starting VM serves before it has the head") {
    const std::vector<Fault> restart = {{FaultKind::kRestart, 20'000, 100, 3}};
    CHECK(RunAndFindFall(Faulty(1), restart, false).empty());
    CHECK_FALSE(RunAndFindFall(Faulty(1), restart, true).empty());
  }
}

/// One withdrawal and what is known of it.
struct Withdrawn {
  std::string hash;
  std::size_t taken_by = 0;
  base::Instant at{};
};

/// Checks withdrawals after each event and each period.
class WithdrawalWatch {
 public:
  explicit WithdrawalWatch(ConfigSim& watched) : sim(watched) {
    watched.OnStep([this](std::size_t vm) { this->CheckNeverAgain(vm); });
  }

  void Add(Withdrawn item) { this->items.push_back(std::move(item)); }
  const std::string& fault() const { return this->found; }  // NOLINT

  void CheckBound() {
    const auto since = this->sim.now() - kWithdrawnBound;
    for (const auto& item : this->items) {
      // The VM that took it must have lived to pass it on.
      const auto taker = item.taken_by;
      if (item.at > since || this->sim.UpSince(taker) > item.at) continue;
      if (this->sim.last_link_change() > item.at) continue;
      for (std::size_t vm = 0; vm < this->sim.size(); ++vm) {
        const bool linked = this->sim.IsLinked(this->sim.DomainOf(taker),
                                               this->sim.DomainOf(vm));
        if (!linked || this->sim.IsPaused(vm)) continue;
        if (this->sim.UpSince(vm) > item.at) continue;
        if (!this->sim.Accepts(vm, item.hash)) continue;
        this->Report(
            fmt::format("vm {} accepts {} after the bound", vm, item.hash));
      }
    }
  }

 private:
  void CheckNeverAgain(std::size_t vm) {
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
    if (this->found.empty()) this->found = std::move(text);
  }

  ConfigSim& sim;
  std::vector<Withdrawn> items;
  std::set<std::pair<std::size_t, std::string>> refused;
  std::string found;
};

std::string RunWithdrawals(const ConfigSimOptions& options,
                           const std::vector<Fault>& faults) {
  ConfigSim sim(options);
  const auto start = StartOf(sim);
  WithdrawalWatch watch(sim);
  for (int key = 0; key < kKeys; ++key) sim.Submit(0, Grant(key));
  for (int key = 0; key < kKeys; ++key) {
    sim.At(start + milliseconds(6'000 + 3'100 * key), [&sim, &watch, key] {
      const auto vm = static_cast<std::size_t>(key * 7) % sim.size();
      const auto hash = fmt::format("hash-{}", key);
      // An operator reaches only a VM that runs and knows the key.
      if (sim.IsPaused(vm) || !sim.Accepts(vm, hash)) return;
      sim.Withdraw(vm, fmt::format("round-{}", key), hash);
      watch.Add({hash, vm, sim.now()});
    });
  }
  for (const auto& fault : faults) Schedule(sim, start, fault);
  while (sim.now() < start + seconds(40)) {
    sim.RunUntil(sim.now() + kCheckPeriod);
    watch.CheckBound();
  }
  return watch.fault();
}

bool IsWithdrawal(const policy::ConfigMessage& message) {
  return std::holds_alternative<policy::WithdrawKeys>(message) ||
         std::holds_alternative<policy::PendingWithdrawals>(message);
}

TEST_CASE("a withdrawn key is refused within 3 s and never accepted again") {
  rc::prop("over loss, cuts, outages, restarts and pauses",
           [](std::uint16_t seed) {
             const auto faults = *rc::gen::container<std::vector<Fault>>(
                 *rc::gen::inRange(0, 10), AnyFault());
             const auto fault = RunWithdrawals(Faulty(seed), faults);
             if (!fault.empty()) RC_FAIL(fault);
           });
  const std::vector<Fault> outage = {{FaultKind::kTableDown, 5'000, 25'000, 0}};
  SECTION("also while the table is down") {
    CHECK(RunWithdrawals(Faulty(1), outage).empty());
  }
  SECTION("and isn't if withdrawals aren't spread from VM to VM") {
    auto options = Faulty(1);
    options.swallow = IsWithdrawal;
    CHECK_FALSE(RunWithdrawals(options, outage).empty());
  }
  SECTION("and is accepted again if a starting VM doesn't ask its peers") {
    auto options = Faulty(1);
    auto faults = outage;
    faults.push_back({FaultKind::kRestart, 12'000, 100, 4});
    CHECK(RunWithdrawals(options, faults).empty());
    options.swallow = [](const policy::ConfigMessage& message) {
      return std::holds_alternative<policy::PendingWithdrawals>(message);
    };
    CHECK_FALSE(RunWithdrawals(options, faults).empty());
  }
}

/// Two operators who each edit the file that they saw some time ago.
class Operators {
 public:
  Operators(ConfigSim& target, std::uint64_t seed)
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
    const auto same = std::find_if(
        rules.begin(), rules.end(),
        [&](const policy::Rule& other) { return other.id == rule.id; });
    if (same == rules.end()) {
      rules.push_back(rule);
    } else if (this->random() % 4 == 0) {
      rules.erase(same);
    } else {
      *same = rule;
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

/// Whether the edit is in the final state, or a later change names it.
bool Stands(const ConfigSim& sim, const policy::RuleEdit& edit,
            base::Revision revision) {
  const auto& rules = sim.node(0).log().state().rules;
  const auto entry = rules.find(edit.id());
  const bool is_final =
      edit.after ? entry != rules.end() && entry->second.rule == *edit.after &&
                       entry->second.origin.revision == revision
                 : entry == rules.end();
  if (is_final) return true;
  const auto& log = sim.table().log;
  return std::any_of(log.begin(), log.end(), [&](const auto& later) {
    return later.revision > revision && Replaces(later, edit, revision);
  });
}

std::string FindLost(const ConfigSim& sim) {
  const auto& log = sim.table().log;
  for (const auto& [operation, answer] : sim.append_answers()) {
    if (!answer.result.ok() || answer.result->edits.empty()) continue;
    const auto revision = answer.result->revision;
    const auto written = std::count_if(log.begin(), log.end(),
                                       [name = operation](const auto& change) {
                                         return change.operation_id == name;
                                       });
    if (written != 1)
      return fmt::format("{} stands {} times", operation, written);
    for (const auto& edit : answer.result->edits) {
      if (Stands(sim, edit, revision)) continue;
      return fmt::format("{} at {} is lost", operation, revision);
    }
  }
  return {};
}

std::string RunRace(const ConfigSimOptions& options,
                    const std::vector<Fault>& faults) {
  ConfigSim sim(options);
  const auto start = StartOf(sim);
  Operators operators(sim, options.seed);
  for (int i = 0; i < 60; ++i) {
    // In pairs at the same moment.
    sim.At(start + milliseconds(2'000 + 900 * (i / 2)),
           [&operators, i] { operators.Edit(i); });
  }
  for (const auto& fault : faults) Schedule(sim, start, fault);
  sim.RunUntil(start + seconds(60));
  return FindLost(sim);
}

TEST_CASE("of two operators who race, none loses an accepted change") {
  rc::prop("over lost answers, cuts, outages, restarts and pauses",
           [](std::uint16_t seed) {
             const auto faults = *rc::gen::container<std::vector<Fault>>(
                 *rc::gen::inRange(0, 8), AnyFault());
             const auto lost = RunRace(Faulty(seed), faults);
             if (!lost.empty()) RC_FAIL(lost);
           });
  SECTION("and one does if the table doesn't check the head") {
    auto options = Faulty(1);
    CHECK(RunRace(options, {}).empty());
    options.compare_and_set = false;
    CHECK_FALSE(RunRace(options, {}).empty());
  }
}

TEST_CASE("a starting VM reads the snapshot and the rows after it") {
  ConfigSim sim(Faulty(1));
  ScheduleChanges(sim, StartOf(sim), 40);
  sim.RunUntil(sim.now() + seconds(40));
  CHECK(sim.table().log.size() == 40);
  REQUIRE(sim.table().snapshot);
  CHECK(sim.table().snapshot->revision >= 30);
  CHECK(sim.table().dropped_to >= 25);
  sim.Restart(5);
  sim.RunUntil(sim.now() + seconds(5));
  CHECK(sim.node(5).in_force() == 40);
  CHECK(sim.node(5).log().state() == sim.node(0).log().state());
}

TEST_CASE("a domain knows that it is cut off") {
  ConfigSim sim({});
  sim.RunUntil(sim.now() + seconds(5));
  const auto cut = [&](bool on) {
    sim.CutDomains(0, 1, on);
    sim.CutDomains(1, 2, on);
    sim.CutFromTable(1, on);
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
  cut(true);
  CHECK(isolated(1) == 4);
  CHECK(isolated(0) == 0);
  SECTION("but not while it hears another domain") {
    sim.CutDomains(1, 2, false);
    sim.RunUntil(sim.now() + seconds(8));
    CHECK(isolated(1) == 0);
  }
  SECTION("and that the cut has healed") {
    cut(false);
    CHECK(isolated(1) == 0);
  }
}

TEST_CASE("an operator learns where a change and a withdrawal are in force") {
  ConfigSim sim({});
  const auto start = StartOf(sim);
  sim.Submit(0, Grant(0));
  ScheduleChanges(sim, start, 3);
  sim.RunUntil(start + seconds(4));
  const auto head = sim.table().log.size();
  sim.QueryFleetStatus(1, "all");
  sim.RunUntil(sim.now() + seconds(1));
  REQUIRE(sim.status_answers().count("all") == 1);
  for (const auto& domain : sim.status_answers().at("all").domains) {
    CHECK(domain.reachable);
    CHECK(domain.vms == 4);
    CHECK(domain.counts == policy::RevisionCounts{{head, 4}});
  }
  SECTION("a domain that is cut off is named as such") {
    sim.CutDomains(0, 1, true);
    sim.CutDomains(1, 2, true);
    sim.Withdraw(0, "round", "hash-0");
    sim.QueryFleetStatus(0, "cut");
    sim.RunUntil(sim.now() + seconds(3));
    REQUIRE(sim.withdraw_answers().count("round") == 1);
    const auto& answer = sim.withdraw_answers().at("round");
    CHECK(answer.durable);
    REQUIRE(answer.domains.size() == 3);
    CHECK(answer.domains[0].in_force == 4);
    CHECK_FALSE(answer.domains[1].reachable);
    CHECK(answer.domains[2].in_force == 4);
    CHECK_FALSE(sim.status_answers().at("cut").domains[1].reachable);
  }
}

}  // namespace
}  // namespace gypsumtrack::testing
