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
constexpr std::size_t kFaultCount = 10;
const std::vector<std::string> kDomains = {"a1", "a2", "b1"};

const std::map<LimitKey, Limit> kLimits = {
    {LimitKey("large:00000001"),
     {{20 * kMicroRequestsPerRequest, 40 * kMicroRequestsPerRequest}}},
    {LimitKey("small:00000002"),
     {{4 * kMicroRequestsPerRequest, 8 * kMicroRequestsPerRequest}}},
    {LimitKey("tiny:00000003"),
     {{kMicroRequestsPerRequest, 2 * kMicroRequestsPerRequest}}},
};

/// Intervals are about a fifth of those in production, so that a short run
/// covers many of them.
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

struct RunResult {
  bool within_limit = true;
  bool tokens_conserved = true;
  std::size_t admitted = 0;
};

/// Runs random traffic under random faults and checks the limits.
class RandomRun {
 public:
  RandomRun(std::uint64_t seed, const policy::LimitSettings& settings,
            bool rule_changes)
      : random(seed), fleet(Options(seed, settings, this->random)) {
    this->fleet.on_outcome = [this](const VirtualOutcome& outcome) {
      if (outcome.decision != policy::LimitDecision::kAdmitted) return;
      this->admitted[outcome.key].push_back(outcome.decided);
    };
    this->max_limits = kLimits;
    this->fleet.SetRules(1, kLimits);
    this->AddTraffic();
    for (std::size_t i = 0; i < kFaultCount; ++i) this->AddFault(rule_changes);
    for (auto at = milliseconds(50); at < kRunLength; at += milliseconds(50)) {
      this->fleet.At(at, [this] { this->CheckConservation(); });
    }
  }

  RunResult Finish() {
    this->fleet.RunUntil(kRunLength);
    for (const auto& [key, times] : this->admitted) {
      this->outcome.admitted += times.size();
      if (!WithinLimit(times, this->max_limits.at(key).quota)) {
        this->outcome.within_limit = false;
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
    options.max_clock_drift_per_thousand = 10;
    options.view_lag = milliseconds(400);
    options.lost_per_thousand = static_cast<std::uint32_t>(random() % 100);
    options.duplicated_per_thousand =
        static_cast<std::uint32_t>(random() % 100);
    options.jitter = milliseconds(random() % 60 + 1);
    options.lost_responses_per_thousand =
        static_cast<std::uint32_t>(random() % 300);
    return options;
  }

  VirtualTime RandomTime() {
    return milliseconds(this->random() % 17'000 + 500);
  }

  void AddTraffic() {
    for (const auto& [key, limit] : kLimits) {
      const auto requests =
          2 * limit.quota.rate * kRunLength.count() / kMicroRequestsPerRequest;
      for (std::int64_t i = 0; i < requests; ++i) this->AddRequests(key, 1);
      for (int i = 0; i < 6; ++i) {
        this->AddRequests(key, limit.quota.capacity / kMicroRequestsPerRequest);
      }
    }
  }

  void AddRequests(const LimitKey& key, std::int64_t count) {
    const auto at = this->RandomTime();
    // Two thirds of the traffic prefer one domain, which changes every 6 s.
    const auto preferred_domain = at / seconds(6) % 3;
    auto vm = this->random() % this->fleet.size();
    if (this->random() % 3 != 0) {
      vm = preferred_domain == 0 ? vm % 3
                                 : 3 + 2 * (preferred_domain - 1) + vm % 2;
    }
    this->fleet.At(at, [this, vm, key, count] {
      if (!this->fleet.Alive(vm)) return;
      for (std::int64_t i = 0; i < count; ++i) this->fleet.Request(vm, key);
    });
  }

  void AddFault(bool rule_changes) {
    const auto at = this->RandomTime();
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
          this->fleet.IsolateDomain(domain, from_table);
        });
        this->fleet.At(until, [this] { this->fleet.ReconnectDomains(); });
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
      auto& max_quota = this->max_limits[key].quota;
      max_quota.rate = std::max(max_quota.rate, limit.quota.rate);
      max_quota.capacity = std::max(max_quota.capacity, limit.quota.capacity);
    }
    this->fleet.SetRules(++this->revision, limits);
  }

  /// Checks that the spendable tokens never exceed the burst, nor the sum of
  /// the shares the limit.
  void CheckConservation() {
    for (const auto& [key, limit] : this->max_limits) {
      std::int64_t tokens = 0;
      for (std::size_t vm = 0; vm < this->fleet.size(); ++vm) {
        tokens += this->SpendableOn(vm, key);
      }
      if (tokens > limit.quota.capacity) this->outcome.tokens_conserved = false;
      base::TableScan scan;
      scan.prefix = policy::ShareRowKey(key);
      for (const auto& row : this->fleet.table().Scan(scan).rows) {
        const auto shares =
            policy::SumOfShares(*policy::ParseShareRow(row.value));
        const auto& max_quota = limit.quota;
        if (shares.rate > max_quota.rate ||
            shares.capacity > max_quota.capacity) {
          this->outcome.tokens_conserved = false;
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
  std::map<LimitKey, Limit> max_limits;
  std::map<LimitKey, std::vector<VirtualTime>> admitted;
  RunResult outcome;
};

TEST_CASE("No organisation exceeds its rate and burst across all VMs") {
  rc::prop(
      "under message loss, crashes, pauses, partitions, outages and rule "
      "changes",
      [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const bool rule_changes = *rc::gen::arbitrary<bool>();
        const auto outcome =
            RandomRun(seed, FastSettings(), rule_changes).Finish();
        RC_ASSERT(outcome.admitted > 0U);
        RC_ASSERT(outcome.within_limit);
        RC_ASSERT(outcome.tokens_conserved);
      });
}

/// A fleet with one limit of 40 requests per second and a burst of 40, for a
/// scripted sequence of requests and faults.
class Scenario {
 public:
  Scenario(std::vector<VirtualDomain> domains, policy::LimitSettings settings)
      : fleet(Options(std::move(domains), settings)) {
    this->fleet.on_outcome = [this](const VirtualOutcome& outcome) {
      if (outcome.decision != policy::LimitDecision::kAdmitted) return;
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

  void SendRequests(VirtualTime from, VirtualTime until, std::size_t vm,
                    VirtualTime interval) {
    for (auto at = from; at < until; at += interval) this->RequestAt(at, vm, 1);
  }

  std::size_t FindHome(std::size_t from = 0) const {
    for (auto vm = from; vm < this->fleet.size(); ++vm) {
      const auto* node = this->fleet.Node(vm);
      if (node == nullptr) continue;
      const auto report = node->Report(this->key, this->fleet.LocalTime(vm));
      if (report && report->is_home) return vm;
    }
    return this->fleet.size();
  }

  bool StaysWithinLimitUntil(VirtualTime end) {
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

/// A VM that holds borrowed tokens is paused. The others use the whole burst
/// before it resumes.
bool PausedBorrowerStaysWithinLimit(const policy::LimitSettings& settings) {
  Scenario scenario({{"a1", "a", 3}}, settings);
  const auto home = scenario.FindHome();
  const auto paused = (home + 1) % 3;
  scenario.SendRequests(seconds(8), seconds(10), paused, milliseconds(30));
  scenario.fleet.At(
      seconds(10), [&] { scenario.fleet.Pause(paused, milliseconds(12'010)); });
  scenario.RequestAt(seconds(12), home, 40);
  scenario.RequestAt(milliseconds(12'011), paused, 40);
  return scenario.StaysWithinLimitUntil(seconds(14));
}

/// A home VM crashes while another VM holds a long loan from it.
bool TakeoverStaysWithinLimit(policy::LimitSettings settings) {
  settings.serve_ttl = seconds(6);
  settings.home_ttl = seconds(7);
  settings.pool_ttl = seconds(8);
  Scenario scenario({{"a1", "a", 4}}, settings);
  const auto home = scenario.FindHome();
  const auto holder = (home + 1) % 4;
  const auto other = (home + 2) % 4;
  scenario.SendRequests(seconds(8), seconds(10), holder, milliseconds(30));
  scenario.fleet.At(seconds(10), [&] {
    scenario.fleet.Crash(home);
    scenario.fleet.Pause(holder, milliseconds(13'801));
  });
  scenario.SendRequests(milliseconds(10'050), milliseconds(11'500), other,
                        milliseconds(300));
  scenario.RequestAt(milliseconds(13'800), other, 40);
  scenario.RequestAt(milliseconds(13'801), holder, 40);
  return scenario.StaysWithinLimitUntil(seconds(16));
}

/// A home VM is paused, fenced and replaced, and then resumes.
bool PausedHomeStaysWithinLimit(const policy::LimitSettings& settings) {
  Scenario scenario({{"a1", "a", 3}}, settings);
  const auto home = scenario.FindHome();
  const auto other = (home + 1) % 3;
  scenario.fleet.At(seconds(9),
                    [&] { scenario.fleet.Pause(home, milliseconds(18'000)); });
  scenario.SendRequests(milliseconds(9'100), seconds(15), other,
                        milliseconds(200));
  scenario.RequestAt(milliseconds(17'990), other, 40);
  scenario.RequestAt(milliseconds(18'000), home, 40);
  return scenario.StaysWithinLimitUntil(seconds(20));
}

/// A share moves, but the donor never receives the response of the commit.
bool ShareMoveStaysWithinLimit(policy::LimitSettings settings) {
  settings.row_refresh_interval = milliseconds(300);
  Scenario scenario({{"a1", "a", 2}, {"b1", "a", 2}}, settings);
  const auto donor = scenario.FindHome();
  const auto receiver = scenario.FindHome(2);
  scenario.fleet.SetLostResponses(1000);
  scenario.SendRequests(seconds(8), seconds(14), receiver, milliseconds(28));
  scenario.RequestAt(milliseconds(16'000), receiver, 40);
  scenario.RequestAt(milliseconds(16'001), donor, 40);
  return scenario.StaysWithinLimitUntil(seconds(18));
}

/// Returns how many of a small organisation's first requests, two per failure
/// domain, are admitted.
std::size_t FirstRequestsAdmitted(const policy::LimitSettings& settings) {
  VirtualFleetOptions options;
  options.domains = {{"a1", "a", 2}, {"a2", "a", 2}, {"b1", "b", 2}};
  options.store_region = "a";
  options.settings = settings;
  // Equals the time that a daemon waits for the first tokens of a limit.
  options.requested_timeout = seconds(1);
  VirtualFleet fleet(options);
  std::size_t admitted = 0;
  fleet.on_outcome = [&](const VirtualOutcome& outcome) {
    if (outcome.decision == policy::LimitDecision::kAdmitted) ++admitted;
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

TEST_CASE("An idle organisation starts with exactly its burst") {
  CHECK(FirstRequestsAdmitted(FastSettings()) == 3);
  SECTION("fewer requests are admitted if each share starts empty") {
    auto without_safeguard = FastSettings();
    without_safeguard.fill_unused_share = false;
    CHECK(FirstRequestsAdmitted(without_safeguard) < 3);
  }
}

TEST_CASE("Each safeguard prevents exceeding the limit") {
  const auto settings = FastSettings();
  SECTION("loans expire at the borrower") {
    CHECK(PausedBorrowerStaysWithinLimit(settings));
    auto without_safeguard = settings;
    without_safeguard.enforce_expiry = false;
    CHECK_FALSE(PausedBorrowerStaysWithinLimit(without_safeguard));
  }
  SECTION("a new home waits after a takeover") {
    CHECK(TakeoverStaysWithinLimit(settings));
    auto without_safeguard = settings;
    without_safeguard.wait_after_takeover = false;
    CHECK_FALSE(TakeoverStaysWithinLimit(without_safeguard));
  }
  SECTION("a lease needs confirmation by voters or the table") {
    CHECK(PausedHomeStaysWithinLimit(settings));
    auto without_safeguard = settings;
    without_safeguard.require_lease_votes = false;
    CHECK_FALSE(PausedHomeStaysWithinLimit(without_safeguard));
  }
  SECTION("a donor reduces its share before the write") {
    CHECK(ShareMoveStaysWithinLimit(settings));
    auto without_safeguard = settings;
    without_safeguard.reduce_share_before_write = false;
    CHECK_FALSE(ShareMoveStaysWithinLimit(without_safeguard));
  }
}

}  // namespace
}  // namespace gypsumtrack::testing
