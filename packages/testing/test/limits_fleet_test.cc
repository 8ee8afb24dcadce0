#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "gypsumtrack/testing/virtual_fleet.h"

namespace gypsumtrack::testing {
namespace {

using policy::kMicroRequestsPerRequest;
using policy::Limit;
using policy::LimitKey;
using policy::Quota;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kRunLength = seconds(18);
constexpr std::size_t kFaults = 10;
const std::vector<std::string> kDomains = {"a1", "a2", "b1"};

const std::map<LimitKey, Limit> kLimits = {
    {LimitKey("large:00000001"),
     {{20 * kMicroRequestsPerRequest, 40 * kMicroRequestsPerRequest}}},
    {LimitKey("small:00000002"),
     {{4 * kMicroRequestsPerRequest, 8 * kMicroRequestsPerRequest}}},
    {LimitKey("tiny:00000003"),
     {{kMicroRequestsPerRequest, 2 * kMicroRequestsPerRequest}}},
};

/// Five times as fast as in service, so that a short run sees much.
policy::LimitSettings FastSettings() {
  policy::LimitSettings settings;
  settings.serve_ttl = milliseconds(400);
  settings.home_ttl = milliseconds(800);
  settings.pool_ttl = milliseconds(1400);
  settings.pool_renewal_interval = milliseconds(250);
  settings.lease_vote_period = milliseconds(600);
  settings.lease_vote_interval = milliseconds(180);
  settings.share_move_interval = milliseconds(1000);
  settings.row_refresh_interval = seconds(5);
  settings.writes_per_second = 20;
  settings.writes_burst = 50;
  return settings;
}

struct Outcome {
  bool within = true;
  bool conserved = true;
  std::size_t admitted = 0;
};

/// One run of random traffic under random faults.
class Run {
 public:
  Run(std::uint64_t seed, const policy::LimitSettings& settings,
      bool rule_changes)
      : random(seed), fleet(Options(seed, settings, this->random)) {
    this->fleet.on_outcome = [this](const VirtualOutcome& outcome) {
      if (outcome.verdict != policy::LimitDecision::kAdmitted) return;
      this->admitted[outcome.key].push_back(outcome.decided);
    };
    this->highest = kLimits;
    this->fleet.SetRules(1, kLimits);
    this->PlanTraffic();
    for (std::size_t i = 0; i < kFaults; ++i) this->PlanFault(rule_changes);
    for (auto at = milliseconds(50); at < kRunLength; at += milliseconds(50)) {
      this->fleet.At(at, [this] { this->CheckConservation(); });
    }
  }

  Outcome Finish() {
    this->fleet.RunUntil(kRunLength);
    for (const auto& [key, times] : this->admitted) {
      this->outcome.admitted += times.size();
      if (!WithinLimit(times, this->highest.at(key).quota)) {
        this->outcome.within = false;
      }
    }
    return this->outcome;
  }

 private:
  static VirtualFleetOptions Options(std::uint64_t seed,
                                     const policy::LimitSettings& settings,
                                     std::mt19937_64& random) {
    VirtualFleetOptions options;
    options.domains = {{"a1", "a", 3}, {"a2", "a", 2}, {"b1", "b", 2}};
    options.store_region = "a";
    options.seed = seed;
    options.settings = settings;
    options.clock_drift = 10;
    options.view_lag = milliseconds(400);
    options.lost = static_cast<std::uint32_t>(random() % 100);
    options.doubled = static_cast<std::uint32_t>(random() % 100);
    options.jitter = milliseconds(random() % 60 + 1);
    options.answers_lost = static_cast<std::uint32_t>(random() % 300);
    return options;
  }

  VirtualTime Sometime() { return milliseconds(this->random() % 17'000 + 500); }

  void PlanTraffic() {
    for (const auto& [key, limit] : kLimits) {
      const auto requests =
          2 * limit.quota.rate * kRunLength.count() / kMicroRequestsPerRequest;
      for (std::int64_t i = 0; i < requests; ++i) this->PlanRequest(key, 1);
      for (int i = 0; i < 6; ++i) {
        this->PlanRequest(key, limit.quota.capacity / kMicroRequestsPerRequest);
      }
    }
  }

  void PlanRequest(const LimitKey& key, std::int64_t count) {
    const auto at = this->Sometime();
    // The traffic moves to another domain every six seconds.
    const auto favourite = at / seconds(6) % 3;
    auto vm = this->random() % this->fleet.size();
    if (this->random() % 3 != 0) {
      vm = favourite == 0 ? vm % 3 : 3 + 2 * (favourite - 1) + vm % 2;
    }
    this->fleet.At(at, [this, vm, key, count] {
      if (!this->fleet.Alive(vm)) return;
      for (std::int64_t i = 0; i < count; ++i) this->fleet.Request(vm, key);
    });
  }

  void PlanFault(bool rule_changes) {
    const auto at = this->Sometime();
    const auto vm = this->random() % this->fleet.size();
    const auto until = at + milliseconds(this->random() % 6000);
    const auto& domain = kDomains[this->random() % kDomains.size()];
    const bool from_table = this->random() % 2 == 0;
    switch (this->random() % (rule_changes ? 5 : 4)) {
      case 0:
        this->fleet.At(at, [this, vm] { this->fleet.Crash(vm); });
        this->fleet.At(until, [this, vm] { this->fleet.Restart(vm); });
        break;
      case 1:
        this->fleet.At(at, [this, vm, until] { this->fleet.Pause(vm, until); });
        break;
      case 2:
        this->fleet.At(at, [this, domain, from_table] {
          this->fleet.CutDomain(domain, from_table);
        });
        this->fleet.At(until, [this] { this->fleet.HealDomains(); });
        break;
      case 3:
        this->fleet.At(at, [this] { this->fleet.SetStoreDown(true); });
        this->fleet.At(until, [this] { this->fleet.SetStoreDown(false); });
        break;
      default:
        this->fleet.At(at, [this] { this->ChangeRules(); });
    }
  }

  void ChangeRules() {
    auto limits = kLimits;
    for (auto& [key, limit] : limits) {
      const auto percent = static_cast<std::int64_t>(this->random() % 200 + 10);
      limit.quota.rate = limit.quota.rate * percent / 100;
      const auto burst =
          limit.quota.capacity / kMicroRequestsPerRequest * percent / 100;
      limit.quota.capacity =
          std::max<std::int64_t>(burst, 1) * kMicroRequestsPerRequest;
      auto& most = this->highest[key].quota;
      most.rate = std::max(most.rate, limit.quota.rate);
      most.capacity = std::max(most.capacity, limit.quota.capacity);
    }
    this->fleet.SetRules(++this->revision, limits);
  }

  /// Spendable tokens never exceed the burst, nor shares the limit.
  void CheckConservation() {
    for (const auto& [key, limit] : this->highest) {
      std::int64_t tokens = 0;
      for (std::size_t vm = 0; vm < this->fleet.size(); ++vm) {
        tokens += this->SpendableOn(vm, key);
      }
      if (tokens > limit.quota.capacity) this->outcome.conserved = false;
      base::TableScan scan;
      scan.prefix = policy::ShareRowKey(key);
      for (const auto& row : this->fleet.table().Scan(scan).rows) {
        const auto shares =
            policy::SumOfShares(*policy::ParseShareRow(row.value));
        const auto& most = limit.quota;
        if (shares.rate > most.rate || shares.capacity > most.capacity) {
          this->outcome.conserved = false;
        }
      }
    }
  }

  std::int64_t SpendableOn(std::size_t vm, const LimitKey& key) const {
    const auto* node = this->fleet.Node(vm);
    if (node == nullptr) return 0;
    const auto now = this->fleet.LocalTime(vm);
    const auto report = node->Report(key, now);
    if (!report) return 0;
    return report->slice_tokens * kMicroRequestsPerRequest +
           (report->usable ? report->tokens_left : 0);
  }

  std::mt19937_64 random;
  VirtualFleet fleet;
  base::Revision revision = 1;
  std::map<LimitKey, Limit> highest;
  std::map<LimitKey, std::vector<VirtualTime>> admitted;
  Outcome outcome;
};

TEST_CASE("no organisation exceeds its rate and burst across all VMs") {
  rc::prop("through loss, crashes, pauses, cuts, outages, new rules", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const bool rule_changes = *rc::gen::arbitrary<bool>();
    const auto outcome = Run(seed, FastSettings(), rule_changes).Finish();
    RC_ASSERT(outcome.admitted > 0U);
    RC_ASSERT(outcome.within);
    RC_ASSERT(outcome.conserved);
  });
}

/// A fleet with one limit of 40 requests a second and a burst of 40, and a
/// story of its own.
class Story {
 public:
  Story(std::vector<VirtualDomain> domains, policy::LimitSettings settings)
      : fleet(Options(std::move(domains), settings)) {
    this->fleet.on_outcome = [this](const VirtualOutcome& outcome) {
      if (outcome.verdict != policy::LimitDecision::kAdmitted) return;
      this->admitted.push_back(outcome.decided);
    };
    this->fleet.SetRules(1, {{this->key, {this->quota}}});
    this->fleet.RunUntil(seconds(8));
  }

  void RequestAt(VirtualTime at, std::size_t vm, int count) {
    this->fleet.At(at, [this, vm, count] {
      for (int i = 0; i < count; ++i) this->fleet.Request(vm, this->key);
    });
  }

  void Stream(VirtualTime from, VirtualTime until, std::size_t vm,
              VirtualTime gap) {
    for (auto at = from; at < until; at += gap) this->RequestAt(at, vm, 1);
  }

  std::size_t Home(std::size_t from = 0) const {
    for (auto vm = from; vm < this->fleet.size(); ++vm) {
      const auto* node = this->fleet.Node(vm);
      if (node == nullptr) continue;
      const auto report = node->Report(this->key, this->fleet.LocalTime(vm));
      if (report && report->is_home) return vm;
    }
    return this->fleet.size();
  }

  bool WithinLimitUntil(VirtualTime end) {
    this->fleet.RunUntil(end);
    return WithinLimit(this->admitted, this->quota);
  }

  const LimitKey key = LimitKey("story:00000001");
  const Quota quota{40 * kMicroRequestsPerRequest,
                    40 * kMicroRequestsPerRequest};
  VirtualFleet fleet;
  std::vector<VirtualTime> admitted;

 private:
  static VirtualFleetOptions Options(std::vector<VirtualDomain> domains,
                                     const policy::LimitSettings& settings) {
    VirtualFleetOptions options;
    options.domains = std::move(domains);
    options.store_region = "a";
    options.settings = settings;
    options.view_lag = milliseconds(400);
    return options;
  }
};

/// A VM with a stock of tokens pauses; the others use the burst; it wakes.
bool PausedStockIsWithin(const policy::LimitSettings& settings) {
  Story story({{"a1", "a", 3}}, settings);
  const auto home = story.Home();
  const auto paused = (home + 1) % 3;
  story.Stream(seconds(8), seconds(10), paused, milliseconds(30));
  story.fleet.At(seconds(10),
                 [&] { story.fleet.Pause(paused, milliseconds(12'010)); });
  story.RequestAt(seconds(12), home, 40);
  story.RequestAt(milliseconds(12'011), paused, 40);
  return story.WithinLimitUntil(seconds(14));
}

/// A home is lost while another VM holds a long loan from it.
bool TakeoverIsWithin(policy::LimitSettings settings) {
  settings.serve_ttl = seconds(6);
  settings.home_ttl = seconds(7);
  settings.pool_ttl = seconds(8);
  Story story({{"a1", "a", 4}}, settings);
  const auto home = story.Home();
  const auto holder = (home + 1) % 4;
  const auto other = (home + 2) % 4;
  story.Stream(seconds(8), seconds(10), holder, milliseconds(30));
  story.fleet.At(seconds(10), [&] {
    story.fleet.Crash(home);
    story.fleet.Pause(holder, milliseconds(13'801));
  });
  story.Stream(milliseconds(10'050), milliseconds(11'500), other,
               milliseconds(300));
  story.RequestAt(milliseconds(13'800), other, 40);
  story.RequestAt(milliseconds(13'801), holder, 40);
  return story.WithinLimitUntil(seconds(16));
}

/// A home pauses, is fenced and replaced, and wakes.
bool PausedHomeIsWithin(const policy::LimitSettings& settings) {
  Story story({{"a1", "a", 3}}, settings);
  const auto home = story.Home();
  const auto other = (home + 1) % 3;
  story.fleet.At(seconds(9),
                 [&] { story.fleet.Pause(home, milliseconds(18'000)); });
  story.Stream(milliseconds(9'100), seconds(15), other, milliseconds(200));
  story.RequestAt(milliseconds(17'990), other, 40);
  story.RequestAt(milliseconds(18'000), home, 40);
  return story.WithinLimitUntil(seconds(20));
}

/// A share moves, and the donor never hears that it did.
bool MoveIsWithin(policy::LimitSettings settings) {
  settings.row_refresh_interval = milliseconds(300);
  Story story({{"a1", "a", 2}, {"b1", "a", 2}}, settings);
  const auto donor = story.Home();
  const auto receiver = story.Home(2);
  story.fleet.SetAnswersLost(1000);
  story.Stream(seconds(8), seconds(14), receiver, milliseconds(28));
  story.RequestAt(milliseconds(16'000), receiver, 40);
  story.RequestAt(milliseconds(16'001), donor, 40);
  return story.WithinLimitUntil(seconds(18));
}

/// How many of a small organisation's first requests, one a domain, pass.
std::size_t FirstRequestsAdmitted(const policy::LimitSettings& settings) {
  VirtualFleetOptions options;
  options.domains = {{"a1", "a", 2}, {"a2", "a", 2}, {"b1", "b", 2}};
  options.store_region = "a";
  options.settings = settings;
  // As long as a daemon waits for the first tokens of a limit.
  options.patience = seconds(1);
  VirtualFleet fleet(options);
  std::size_t admitted = 0;
  fleet.on_outcome = [&](const VirtualOutcome& outcome) {
    if (outcome.verdict == policy::LimitDecision::kAdmitted) ++admitted;
  };
  const LimitKey key("quiet:00000001");
  fleet.SetRules(
      1,
      {{key, {{kMicroRequestsPerRequest / 10, 3 * kMicroRequestsPerRequest}}}});
  for (const std::size_t vm : {0U, 2U, 4U}) {
    fleet.At(seconds(6), [&fleet, vm, key] { fleet.Request(vm, key); });
    fleet.At(seconds(7), [&fleet, vm, key] { fleet.Request(vm, key); });
  }
  fleet.RunUntil(seconds(9));
  return admitted;
}

TEST_CASE("a quiet organisation has its burst from the start, and no more") {
  CHECK(FirstRequestsAdmitted(FastSettings()) == 3);
  SECTION("which fails if each share starts empty") {
    auto without = FastSettings();
    without.fill_unused_share = false;
    CHECK(FirstRequestsAdmitted(without) < 3);
  }
}

TEST_CASE("each mechanism is needed") {
  const auto settings = FastSettings();
  SECTION("loans that lapse at the borrower") {
    CHECK(PausedStockIsWithin(settings));
    auto without = settings;
    without.enforce_expiry = false;
    CHECK_FALSE(PausedStockIsWithin(without));
  }
  SECTION("a wait after a home is taken over") {
    CHECK(TakeoverIsWithin(settings));
    auto without = settings;
    without.wait_after_takeover = false;
    CHECK_FALSE(TakeoverIsWithin(without));
  }
  SECTION("a lease that voters or the table vouch for") {
    CHECK(PausedHomeIsWithin(settings));
    auto without = settings;
    without.require_lease_votes = false;
    CHECK_FALSE(PausedHomeIsWithin(without));
  }
  SECTION("a donor that shrinks first") {
    CHECK(MoveIsWithin(settings));
    auto without = settings;
    without.reduce_share_before_write = false;
    CHECK_FALSE(MoveIsWithin(without));
  }
}

}  // namespace
}  // namespace gypsumtrack::testing
