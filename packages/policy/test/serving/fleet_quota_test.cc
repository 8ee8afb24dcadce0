#include "gypsumtrack/policy/serving/fleet_quota.h"

#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <random>
#include <set>
#include <utility>

namespace gypsumtrack::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::Organisation kOrganisation("club");
const base::Instant kStart(seconds(100));

/// Simulates daemons that exchange their counts in virtual time.
class FleetSimulation {
 public:
  FleetSimulation(std::size_t size, double rate, double burst,
                  base::Duration gossip_period = milliseconds(100))
      : gossip_period(gossip_period), random(1) {
    this->rules = {{kOrganisation, rate, burst, std::nullopt}};
    this->daemons.resize(size);
    this->incarnations.resize(size);
    this->isolated.resize(size);
    this->peers_known_at.resize(size, base::kNever);
    for (std::size_t i = 0; i < size; ++i) this->Start(i);
    // The daemons exchange messages before the first request.
    this->Run(seconds(1), 0, size);
  }

  /// Sends `per_second` requests for `duration`, each to a random one of the
  /// first `reachable` daemons.
  void Run(base::Duration duration, double per_second, std::size_t reachable) {
    const auto step = milliseconds(10);
    double due = 0;
    for (base::Duration elapsed{0}; elapsed < duration; elapsed += step) {
      this->now += step;
      this->SetKnownPeers();
      due += per_second * 0.01;
      for (; due >= 1; --due) this->SendRequest(this->random() % reachable);
      if (this->now - this->exchanged_at >= this->gossip_period) {
        this->ExchangeCounts();
      }
    }
  }

  /// Starts a daemon anew. It knows nothing of what was admitted before, and
  /// the other VMs after a time.
  void Start(std::size_t daemon, base::Duration peers_known_after = {}) {
    FleetQuotaOptions options;
    options.random_seed = static_cast<std::uint32_t>(daemon + 1);
    options.starts_without_peers = true;
    this->daemons[daemon] = std::make_unique<FleetQuota>(options);
    this->daemons[daemon]->SetRules(this->rules, this->now);
    this->peers_known_at[daemon] = this->now + peers_known_after;
    ++this->incarnations[daemon];
    this->SetKnownPeers();
  }

  /// Stops all daemons, and starts them a second later. Sends `per_second`
  /// requests until they know each other.
  void RestartAll(base::Duration peers_known_after, double per_second) {
    this->now += seconds(1);
    for (std::size_t i = 0; i < this->daemons.size(); ++i)
      this->Start(i, peers_known_after);
    this->Run(peers_known_after, per_second, this->daemons.size());
  }

  /// Stops or resumes all messages from and to a daemon.
  void SetIsolated(std::size_t daemon, bool is_isolated) {
    this->isolated[daemon] = is_isolated;
  }

  /// Drops all messages from one daemon to another from now on.
  void DropMessages(std::size_t from, std::size_t to) {
    this->dropped_links.insert({from, to});
  }

  /// Returns the largest number of requests admitted in any window of 5 s.
  std::size_t MaxAdmittedInWindow() const {
    std::size_t max_admitted = 0;
    std::size_t begin = 0;
    for (std::size_t end = 0; end < this->admitted.size(); ++end) {
      while (this->admitted[end] - this->admitted[begin] >= seconds(5)) ++begin;
      max_admitted = std::max(max_admitted, end - begin + 1);
    }
    return max_admitted;
  }

  std::size_t refused = 0;
  std::size_t requests = 0;
  std::size_t full_messages = 0;
  std::vector<std::unique_ptr<FleetQuota>> daemons;
  base::Instant now = kStart;

 private:
  static std::string Name(std::size_t i) { return "vm-" + std::to_string(i); }

  /// Tells each daemon of the others when it is due.
  void SetKnownPeers() {
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      if (this->now < this->peers_known_at[i]) continue;
      this->peers_known_at[i] = base::kNever;
      std::vector<std::string> others;
      for (std::size_t other = 0; other < this->daemons.size(); ++other) {
        if (other != i) others.push_back(Name(other));
      }
      this->daemons[i]->SetPeers(others, this->now);
    }
  }

  void SendRequest(std::size_t daemon) {
    ++this->requests;
    if (this->daemons[daemon]->TryAdmit(kOrganisation, this->now)) {
      this->admitted.push_back(this->now);
    } else {
      ++this->refused;
    }
  }

  void ExchangeCounts() {
    this->exchanged_at = this->now;
    for (std::size_t from = 0; from < this->daemons.size(); ++from) {
      const bool knows_peers = this->peers_known_at[from] == base::kNever;
      if (!knows_peers) continue;
      const auto message =
          this->daemons[from]->NextCountsMessage(this->now, true);
      for (std::size_t to = 0; to < this->daemons.size(); ++to) {
        if (from == to || this->isolated[from] || this->isolated[to]) continue;
        if (this->dropped_links.contains({from, to})) continue;
        this->daemons[to]->OnPeerCounts({Name(from), this->incarnations[from]},
                                        message, this->now);
        if (message.is_full) ++this->full_messages;
      }
    }
  }

  std::vector<OrganisationRule> rules;
  std::vector<std::uint64_t> incarnations;
  std::vector<base::Instant> peers_known_at;
  std::vector<bool> isolated;
  std::set<std::pair<std::size_t, std::size_t>> dropped_links;
  std::deque<base::Instant> admitted;
  base::Duration gossip_period;
  std::mt19937 random;
  base::Instant exchanged_at = kStart;
};

/// Limit on requests in 5 s, with an excess of a tenth and 20 requests.
std::size_t LimitInWindow(double rate, double burst) {
  return static_cast<std::size_t>((5 * rate + burst) * 1.1 + 20);
}

/// Limit on requests in 5 s for rate 70 and burst 70, with an excess of a tenth
/// and 20 requests.
constexpr std::size_t kMaxAdmitted =
    static_cast<std::size_t>((70 * 5 + 70) * 1.1) + 20;

TEST_CASE("an organisation gets its rate over all daemons together") {
  FleetSimulation fleet(11, 70, 70);
  SECTION("steady demand below the rate is never refused") {
    fleet.Run(seconds(20), 45, 11);
    CHECK(fleet.refused == 0);
  }
  SECTION("demand in steps around the rate is rarely refused") {
    for (int i = 0; i < 5; ++i) {
      fleet.Run(milliseconds(3400), 17, 11);
      fleet.Run(milliseconds(2400), 82, 11);
    }
    CHECK(static_cast<double>(fleet.refused) <
          0.001 * static_cast<double>(fleet.requests));
  }
  SECTION("demand below the rate at two daemons only is rarely refused") {
    fleet.Run(seconds(20), 45, 2);
    CHECK(static_cast<double>(fleet.refused) <
          0.001 * static_cast<double>(fleet.requests));
  }
  SECTION("demand of many times the rate stays within the limit") {
    fleet.Run(seconds(5), 45, 11);
    fleet.Run(seconds(10), 340, 11);
    CHECK(fleet.MaxAdmittedInWindow() <= kMaxAdmitted);
    SECTION("and uses nearly all of it") {
      CHECK(fleet.MaxAdmittedInWindow() >= 420);
    }
  }
}

TEST_CASE("limits hold with the delay of messages between failure domains") {
  FleetSimulation fleet(60, 70, 70, milliseconds(300));
  SECTION("steady demand below the rate is rarely refused") {
    fleet.Run(seconds(200), 45, 60);
    CHECK(static_cast<double>(fleet.refused) <
          0.001 * static_cast<double>(fleet.requests));
  }
  SECTION("demand of many times the rate stays within the limit") {
    const auto per_second = GENERATE(200, 340, 700);
    fleet.Run(seconds(5), 45, 60);
    fleet.Run(seconds(10), per_second, 60);
    CHECK(fleet.MaxAdmittedInWindow() <= kMaxAdmitted);
  }
}

TEST_CASE("limits hold in a fleet of hundreds") {
  FleetSimulation fleet(300, 70, 70, milliseconds(400));
  SECTION("steady demand below the rate is rarely refused") {
    fleet.Run(seconds(60), 45, 300);
    CHECK(static_cast<double>(fleet.refused) <
          0.001 * static_cast<double>(fleet.requests));
  }
  SECTION("demand of many times the rate stays within the limit") {
    fleet.Run(seconds(5), 45, 300);
    fleet.Run(seconds(8), 525, 300);
    CHECK(fleet.MaxAdmittedInWindow() <= kMaxAdmitted);
  }
  SECTION("full messages are rare, and sent at once to who needs them") {
    fleet.Run(seconds(5), 45, 300);
    fleet.full_messages = 0;
    fleet.Run(seconds(12), 45, 300);
    CHECK(fleet.full_messages <= std::size_t{300} * 300 * 3);
    fleet.SetIsolated(0, true);
    fleet.Run(seconds(3), 45, 300);
    fleet.SetIsolated(0, false);
    fleet.Run(seconds(2), 45, 300);
    fleet.refused = 0;
    fleet.Run(seconds(3), 45, 300);
    CHECK(fleet.refused <= 1);
  }
}

TEST_CASE("a small organisation at many times its rate stays in the limit") {
  // With rate 3 and burst 3 the limit is (15 + 3) * 1.1 + 20 in 5 s.
  FleetSimulation fleet(11, 3, 3);
  fleet.Run(seconds(20), 2, 11);
  fleet.Run(seconds(12), 14, 11);
  CHECK(fleet.MaxAdmittedInWindow() <= 39);
  SECTION("and uses most of it") { CHECK(fleet.MaxAdmittedInWindow() >= 28); }
}

TEST_CASE("a network partition doesn't raise the limit") {
  FleetSimulation fleet(11, 70, 70);
  fleet.Run(seconds(5), 45, 11);
  SECTION("of one daemon from the others") {
    fleet.SetIsolated(0, true);
    fleet.Run(seconds(12), 340, 11);
    CHECK(fleet.MaxAdmittedInWindow() <= kMaxAdmitted);
  }
  SECTION("of all daemons from each other") {
    for (std::size_t i = 0; i < 11; ++i) fleet.SetIsolated(i, true);
    fleet.Run(seconds(12), 340, 11);
    CHECK(fleet.MaxAdmittedInWindow() <= kMaxAdmitted);
  }
}

TEST_CASE("messages are deltas, and full at intervals") {
  FleetQuota daemon({});
  FleetQuota peer({});
  const base::VmId vm{"vm-2", 1};
  auto now = kStart;
  const base::Organisation quiet("quiet");
  const std::vector<OrganisationRule> rules{
      {kOrganisation, 70, 70, std::nullopt}, {quiet, 70, 70, std::nullopt}};
  for (auto* each : {&daemon, &peer}) each->SetRules(rules, now);
  daemon.SetPeers({"vm-2"}, now);
  REQUIRE(peer.TryAdmit(quiet, now));
  const auto first = peer.NextCountsMessage(now, true);
  CHECK(first.is_full);
  now += milliseconds(1300);
  CHECK(peer.NextCountsMessage(now, true).is_full);
  now += milliseconds(300);
  CHECK_FALSE(peer.NextCountsMessage(now, true).is_full);
  now += milliseconds(100);
  CHECK(peer.NextCountsMessage(now, true).is_full);
  now += milliseconds(100);
  REQUIRE(peer.TryAdmit(kOrganisation, now));
  const auto changed = peer.NextCountsMessage(now, true);
  CHECK_FALSE(changed.is_full);
  CHECK(changed.counts == AdmittedCounts{{kOrganisation, 1}});
  SECTION("deltas are counted after a full message") {
    daemon.OnPeerCounts(vm, first, now);
    const auto before = daemon.Tokens(kOrganisation);
    daemon.OnPeerCounts(vm, changed, now);
    CHECK(daemon.Tokens(kOrganisation) == Approx(before - 1));
    SECTION("and only once when they are repeated") {
      daemon.OnPeerCounts(vm, changed, now);
      CHECK(daemon.Tokens(kOrganisation) == Approx(before - 1));
    }
  }
  SECTION("without a full message the peer stays unresponsive") {
    daemon.OnPeerCounts(vm, changed, now);
    int admitted = 0;
    while (daemon.TryAdmit(kOrganisation, now)) ++admitted;
    // The peer's share, half of 70 * 1.1 + 20, stays reserved.
    CHECK(admitted <= 48);
  }
  SECTION("counts of a restarted peer start from zero") {
    daemon.OnPeerCounts(vm, first, now);
    const auto before = daemon.Tokens(kOrganisation);
    daemon.OnPeerCounts({"vm-2", 2}, changed, now);
    CHECK(daemon.Tokens(kOrganisation) == Approx(before - 1));
  }
  SECTION("a peer that needs a full message says so for some time") {
    CHECK_FALSE(daemon.NextCountsMessage(now, true).wants_full);
    daemon.OnPeerCounts(vm, changed, now);
    CHECK(daemon.NextCountsMessage(now, true).wants_full);
    CHECK_FALSE(daemon.NextCountsMessage(now + seconds(1), true).wants_full);
  }
  SECTION("a message that doesn't reach all peers is never full") {
    peer.SetPeers({"vm-3"}, now);
    CHECK_FALSE(peer.NextCountsMessage(now, false).is_full);
  }
  SECTION("the first message to a new peer is full") {
    peer.SetPeers({"vm-3"}, now);
    CHECK(peer.NextCountsMessage(now, true).is_full);
  }
}

TEST_CASE("daemons that serve without the store stay counted") {
  FleetSimulation fleet(4, 20, 20);
  fleet.Run(seconds(5), 15, 4);
  // The store lists only the first and the last daemon: they still receive
  // messages from the others, but no longer send any to them.
  fleet.DropMessages(0, 1);
  fleet.DropMessages(0, 2);
  fleet.DropMessages(3, 1);
  fleet.DropMessages(3, 2);
  for (int i = 0; i < 8; ++i) {
    fleet.Run(milliseconds(1100), 200, 4);
    fleet.daemons[0]->SetPeers({"vm-3"}, fleet.now);
    fleet.daemons[3]->SetPeers({"vm-0"}, fleet.now);
  }
  CHECK(fleet.MaxAdmittedInWindow() <=
        static_cast<std::size_t>((20 * 5 + 20) * 1.1) + 20);
}

TEST_CASE("a daemon that resumes after a pause doesn't raise the limit") {
  FleetSimulation fleet(4, 20, 20);
  fleet.Run(seconds(5), 2, 4);
  fleet.SetIsolated(3, true);
  fleet.Run(milliseconds(GENERATE(950, 1400, 2300)), 0, 3);
  fleet.SetIsolated(3, false);
  fleet.Run(seconds(6), 200, 4);
  CHECK(fleet.MaxAdmittedInWindow() <=
        static_cast<std::size_t>((20 * 5 + 20) * 1.1) + 20);
}

TEST_CASE("a short isolation of a daemon doesn't raise the limit") {
  FleetSimulation fleet(4, 20, 20);
  fleet.Run(seconds(5), 2, 4);
  fleet.SetIsolated(3, true);
  fleet.Run(milliseconds(1500), 200, 4);
  fleet.SetIsolated(3, false);
  fleet.Run(seconds(6), 200, 4);
  CHECK(fleet.MaxAdmittedInWindow() <=
        static_cast<std::size_t>((20 * 5 + 20) * 1.1) + 20);
}

/// Sends 200 requests within a second and returns how many are admitted.
int CountAdmittedInSecond(FleetQuota& quota, base::Instant now) {
  int admitted = 0;
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(5);
    if (quota.TryAdmit(kOrganisation, now)) ++admitted;
  }
  return admitted;
}

TEST_CASE("a daemon that serves before it knows its peers") {
  FleetQuota quota({});
  quota.SetRules({{kOrganisation, 20, 20, std::nullopt}}, kStart);
  auto now = kStart + seconds(3);
  for (int i = 0; i < 3; ++i) REQUIRE(quota.TryAdmit(kOrganisation, now));
  quota.SetPeers({"vm-1", "vm-2", "vm-3"}, now);
  // Its share is a quarter of what the limit allows in a second.
  CHECK(CountAdmittedInSecond(quota, now) <= ((20 + 20) * 1.1 + 20) / 4);
}

TEST_CASE("a daemon that reserved a share which peers used", "[.known-red]") {
  FleetQuota quota({});
  quota.SetRules({{kOrganisation, 120, 60, std::nullopt}}, kStart);
  quota.SetPeers({"vm-1", "vm-2"}, kStart);
  auto now = kStart;
  std::uint64_t count = 0;
  // No message comes from the second peer; the first one uses the whole rate.
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(100);
    count += 12;
    quota.OnPeerCounts({"vm-1", 1}, {true, {{kOrganisation, count}}}, now);
  }
  // Then both are responsive and idle: this daemon has at least half the limit.
  quota.OnPeerCounts({"vm-2", 1}, {true, {}}, now);
  CHECK(CountAdmittedInSecond(quota, now) >= 60);
}

// Guards against daemons that each take a restart of all for a fleet of one:
// for a moment they know the limits, but not yet who else admits requests.
TEST_CASE("all daemons restart while an organisation sends too much") {
  const auto rate = GENERATE(as<double>(), 5, 25, 70);
  const auto size = GENERATE(as<std::size_t>(), 4, 14);
  const auto peers_known_after = milliseconds(GENERATE(0, 100, 1000));
  INFO(rate << " a second, " << size << " daemons, peers known after "
            << peers_known_after.count() << " ms");
  FleetSimulation fleet(size, rate, rate);
  fleet.Run(seconds(10), 0, size);
  fleet.Run(seconds(3), 8 * rate, size);
  fleet.RestartAll(peers_known_after, 8 * rate);
  fleet.Run(seconds(4), 8 * rate, size);
  CHECK(fleet.MaxAdmittedInWindow() <= LimitInWindow(rate, rate));
}

TEST_CASE("daemons restart while an organisation sends too much") {
  const auto rate = GENERATE(as<double>(), 5, 25, 70);
  const auto size = GENERATE(as<std::size_t>(), 4, 14);
  const auto restarts = GENERATE(as<std::size_t>(), 1, 3);
  INFO(restarts << " of " << size << " daemons, " << rate << " a second");
  FleetSimulation fleet(size, rate, rate);
  fleet.Run(seconds(10), 8 * rate, size);
  for (std::size_t i = 0; i < restarts; ++i) {
    fleet.Start(i, milliseconds(100));
    fleet.Run(seconds(1), 8 * rate, size);
  }
  fleet.Run(seconds(4), 8 * rate, size);
  CHECK(fleet.MaxAdmittedInWindow() <= LimitInWindow(rate, rate));
}

// Guards against limits that hold at the price of requests within them.
TEST_CASE("daemons restart while an organisation stays within its limit") {
  const auto rate = GENERATE(as<double>(), 2, 25, 70);
  const auto size = GENERATE(as<std::size_t>(), 4, 14);
  const auto peers_known_after = milliseconds(GENERATE(0, 100));
  INFO(rate << " a second, " << size << " daemons, peers known after "
            << peers_known_after.count() << " ms");
  const auto demand = 0.6 * rate;
  FleetSimulation fleet(size, rate, rate);
  fleet.Run(seconds(10), demand, size);
  fleet.refused = 0;
  SECTION("all of them") { fleet.RestartAll(peers_known_after, demand); }
  SECTION("one") { fleet.Start(0, peers_known_after); }
  SECTION("three, one after the other") {
    for (std::size_t i = 0; i < 3; ++i) {
      fleet.Start(i, peers_known_after);
      fleet.Run(seconds(1), demand, size);
    }
  }
  fleet.Run(seconds(3), demand, size);
  CHECK(fleet.refused == 0);
}

// Guards against a daemon that takes all that its peers have ever admitted for
// new, and refuses requests within the limit for seconds.
TEST_CASE("messages of peers come before the limits are known") {
  FleetQuota quota({});
  const CountsMessage message{true, {{kOrganisation, 5'000}}, false};
  // The names of the organisations aren't known yet.
  quota.OnPeerCounts({"vm-1", 1}, {true, {}, false}, kStart);
  quota.SetRules({{kOrganisation, 20, 20, std::nullopt}}, kStart);
  quota.SetPeers({"vm-1"}, kStart);
  const auto now = kStart + milliseconds(100);
  CHECK(quota.NextCountsMessage(now, true).wants_full);
  quota.OnPeerCounts({"vm-1", 1}, message, now);
  CHECK(quota.Tokens(kOrganisation) > 0);
  CHECK(quota.TryAdmit(kOrganisation, now));
  SECTION("and later counts are compared with them") {
    const auto tokens = quota.Tokens(kOrganisation);
    const CountsMessage next{true, {{kOrganisation, 5'003}}, false};
    quota.OnPeerCounts({"vm-1", 1}, next, now);
    CHECK(quota.Tokens(kOrganisation) == tokens - 3);
  }
}

TEST_CASE("a change of the limit takes effect at once") {
  FleetQuota quota({});
  auto now = kStart;
  quota.SetRules({{kOrganisation, 100, 100, std::nullopt}}, now);
  SECTION("a lower limit removes saved tokens") {
    now += seconds(10);
    quota.SetRules({{kOrganisation, 2, 2, std::nullopt}}, now);
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
      admitted += quota.TryAdmit(kOrganisation, now) ? 1 : 0;
    }
    CHECK(admitted <= 2 * 1.1 + 20);
  }
  SECTION("an organisation without a limit isn't counted") {
    quota.SetRules({{kOrganisation, 0, 0, std::nullopt}}, now);
    for (int i = 0; i < 1000; ++i) REQUIRE(quota.TryAdmit(kOrganisation, now));
    CHECK(quota.NextCountsMessage(now, true).counts.empty());
  }
  SECTION("a refused request may be retried at the time returned") {
    while (quota.TryAdmit(kOrganisation, now)) {
    }
    const auto at = quota.NextAdmissionTime(kOrganisation, now);
    CHECK(at > now);
    CHECK(quota.TryAdmit(kOrganisation, at));
  }
}

/// A caller that takes up its stream: waits for a token, up to a time.
struct WaitingCaller {
  base::Instant until;
};

// The load when all other daemons were lost at once: the callers of all come to
// the one that is left, which has its own share of the limit only. Those that
// have a part of their stream already must not lose it to new requests.
TEST_CASE("streams are taken up at the only daemon that is left") {
  constexpr std::size_t kDaemons = 12;
  constexpr int kSteps = 300;
  FleetSimulation fleet(kDaemons, 24, 24);
  for (std::size_t i = 1; i < kDaemons; ++i) fleet.SetIsolated(i, true);
  fleet.Run(seconds(1), 60, 1);
  auto& quota = *fleet.daemons[0];
  std::vector<WaitingCaller> waiting;
  int taken_up = 0;
  int gone_on = 0;
  int admitted_new = 0;
  for (int step = 0; step < kSteps; ++step) {
    fleet.Run(milliseconds(10), 0, 1);
    const auto now = fleet.now;
    if (step % 2 == 0)
      admitted_new += quota.TryAdmit(kOrganisation, now) ? 1 : 0;
    std::erase_if(waiting, [&](const WaitingCaller& caller) {
      const bool admitted = quota.TryAdmit(kOrganisation, now,
                                           AdmissionKind::kWaitingContinuation);
      gone_on += admitted ? 1 : 0;
      if (!admitted && now < caller.until) return false;
      quota.OnContinuationWaitEnded(kOrganisation);
      return true;
    });
    if (step % 60 != 0) continue;
    ++taken_up;
    if (quota.TryAdmit(kOrganisation, now, AdmissionKind::kContinuation)) {
      ++gone_on;
    } else {
      quota.OnContinuationWaits(kOrganisation);
      waiting.push_back({now + milliseconds(1000)});
    }
  }
  CHECK(taken_up == 5);
  // Where nothing is wrong, all new streams begin: half of these must go on.
  CHECK(2 * gone_on >= taken_up);
  // The limit holds: 24 a second and 24 at once over twelve daemons.
  CHECK(gone_on + admitted_new <= 10);
}

// Guards against requests that are refused far below a limit because gossip
// rounds, which need a message of every daemon, last longer than usual.
TEST_CASE("a daemon that is late by moments doesn't make the others refuse") {
  FleetSimulation fleet(75, 301, 301);
  fleet.Run(seconds(3), 125, 75);
  const auto refused_before = fleet.refused;
  const auto requests_before = fleet.requests;
  // A hot organisation that sends nearly three times as much, far within its
  // burst.
  // The daemons that are late serve no callers.
  for (std::size_t silent = 71; silent < 75; ++silent) {
    fleet.SetIsolated(silent, true);
    fleet.Run(milliseconds(700), 340, 71);
    fleet.SetIsolated(silent, false);
  }
  const auto requests = fleet.requests - requests_before;
  CHECK(fleet.refused - refused_before <= requests / 100);
  CHECK(fleet.MaxAdmittedInWindow() <= (301 * 5 + 301) * 1.1 + 20);
  SECTION("beyond the limit it gets what the limit allows, and no more") {
    for (std::size_t silent = 4; silent < 16; ++silent) {
      fleet.SetIsolated(silent, true);
      fleet.Run(milliseconds(700), 1200, 75);
      fleet.SetIsolated(silent, false);
    }
    CHECK(fleet.MaxAdmittedInWindow() <= (301 * 5 + 301) * 1.1 + 20);
  }
}

// The same faults at organisations that send few requests.
TEST_CASE("rounds without late daemons don't exceed small limits") {
  const auto rate = GENERATE(9, 25, 58);
  CAPTURE(rate);
  FleetSimulation fleet(75, rate, rate);
  for (std::size_t silent = 0; silent < 20; ++silent) {
    fleet.SetIsolated(silent, true);
    fleet.Run(milliseconds(700), 4 * rate, 75);
    fleet.SetIsolated(silent, false);
  }
  CHECK(fleet.MaxAdmittedInWindow() <= rate * 6 * 1.1 + 20);
}

}  // namespace
}  // namespace gypsumtrack::policy
