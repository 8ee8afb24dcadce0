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

const base::Organisation kClub("club");
const base::Instant kStart(seconds(100));

/// Daemons that tell each other their counts in virtual time.
class Fleet {
 public:
  Fleet(std::size_t size, double rate, double burst,
        base::Duration round = milliseconds(100))
      : round(round), random(1) {
    std::vector<std::string> names;
    for (std::size_t i = 0; i < size; ++i) names.push_back(Name(i));
    for (std::size_t i = 0; i < size; ++i) {
      this->daemons.push_back(
          std::make_unique<FleetQuota>(FleetQuotaOptions{}));
      auto others = names;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
      this->daemons[i]->SetRules({{kClub, rate, burst, std::nullopt}}, kStart);
      this->daemons[i]->SetPeers(others, kStart);
    }
    // They hear each other before callers come.
    this->Run(seconds(1), 0, size);
  }

  /// `per_second` requests for `time`, each at a random daemon of the first
  /// `reached` ones.
  void Run(base::Duration time, double per_second, std::size_t reached) {
    const auto step = milliseconds(10);
    double owed = 0;
    for (base::Duration at{0}; at < time; at += step) {
      this->now += step;
      owed += per_second * 0.01;
      for (; owed >= 1; --owed) this->Ask(this->random() % reached);
      if (this->now - this->told_at >= this->round) this->Tell();
    }
  }

  void Cut(std::size_t daemon, bool is_cut) {
    this->cut.resize(this->daemons.size());
    this->cut[daemon] = is_cut;
  }

  /// What `from` tells doesn't reach `to` any more.
  void CutOneWay(std::size_t from, std::size_t to) {
    this->one_way.insert({from, to});
  }

  /// Most admitted in any window of 5 s.
  std::size_t Peak() const {
    std::size_t peak = 0;
    std::size_t begin = 0;
    for (std::size_t end = 0; end < this->admitted.size(); ++end) {
      while (this->admitted[end] - this->admitted[begin] >= seconds(5)) ++begin;
      peak = std::max(peak, end - begin + 1);
    }
    return peak;
  }

  std::size_t refused = 0;
  std::size_t asked = 0;
  std::vector<std::unique_ptr<FleetQuota>> daemons;
  base::Instant now = kStart;

 private:
  static std::string Name(std::size_t i) { return "vm-" + std::to_string(i); }

  void Ask(std::size_t daemon) {
    ++this->asked;
    if (this->daemons[daemon]->TryAdmit(kClub, this->now)) {
      this->admitted.push_back(this->now);
    } else {
      ++this->refused;
    }
  }

  void Tell() {
    this->told_at = this->now;
    this->cut.resize(this->daemons.size());
    for (std::size_t from = 0; from < this->daemons.size(); ++from) {
      const auto message = this->daemons[from]->NextCountsMessage(this->now);
      for (std::size_t to = 0; to < this->daemons.size(); ++to) {
        if (from == to || this->cut[from] || this->cut[to]) continue;
        if (this->one_way.contains({from, to})) continue;
        this->daemons[to]->OnPeerCounts({Name(from), 1}, message, this->now);
      }
    }
  }

  std::vector<bool> cut;
  std::set<std::pair<std::size_t, std::size_t>> one_way;
  std::deque<base::Instant> admitted;
  base::Duration round;
  std::mt19937 random;
  base::Instant told_at = kStart;
};

/// What rate 70 and burst 70 allow in 5 s: a tenth more, and 20 requests.
constexpr std::size_t kAllowed =
    static_cast<std::size_t>((70 * 5 + 70) * 1.1) + 20;

TEST_CASE("an organisation gets its rate over all daemons together") {
  Fleet fleet(11, 70, 70);
  SECTION("steady demand below the rate is never refused") {
    fleet.Run(seconds(20), 45, 11);
    CHECK(fleet.refused == 0);
  }
  SECTION("demand in steps around the rate is hardly refused") {
    for (int i = 0; i < 5; ++i) {
      fleet.Run(milliseconds(3400), 17, 11);
      fleet.Run(milliseconds(2400), 82, 11);
    }
    CHECK(static_cast<double>(fleet.refused) <
          0.001 * static_cast<double>(fleet.asked));
  }
  SECTION("demand that reaches two daemons only isn't refused for that") {
    fleet.Run(seconds(20), 45, 2);
    CHECK(static_cast<double>(fleet.refused) <
          0.001 * static_cast<double>(fleet.asked));
  }
  SECTION("many times its rate gets no more than the limit in any window") {
    fleet.Run(seconds(5), 45, 11);
    fleet.Run(seconds(10), 340, 11);
    CHECK(fleet.Peak() <= kAllowed);
    SECTION("and nearly all of it") { CHECK(fleet.Peak() >= 420); }
  }
}

TEST_CASE("counts that other failure domains pass on come later") {
  Fleet fleet(60, 70, 70, milliseconds(300));
  SECTION("steady demand below the rate is hardly refused") {
    fleet.Run(seconds(200), 45, 60);
    CHECK(static_cast<double>(fleet.refused) <
          0.001 * static_cast<double>(fleet.asked));
  }
  SECTION("many times the rate gets no more than the limit") {
    const auto per_second = GENERATE(200, 340, 700);
    fleet.Run(seconds(5), 45, 60);
    fleet.Run(seconds(10), per_second, 60);
    CHECK(fleet.Peak() <= kAllowed);
  }
}

TEST_CASE("a small organisation many times over its rate") {
  // Rate 3 and burst 3 allow (15 + 3) * 1.1 + 20 in 5 s.
  Fleet fleet(11, 3, 3);
  fleet.Run(seconds(20), 2, 11);
  fleet.Run(seconds(12), 14, 11);
  CHECK(fleet.Peak() <= 39);
  SECTION("gets most of what the limit leaves open") {
    CHECK(fleet.Peak() >= 28);
  }
}

TEST_CASE("a cut between daemons gives an organisation no more") {
  Fleet fleet(11, 70, 70);
  fleet.Run(seconds(5), 45, 11);
  SECTION("one daemon alone") {
    fleet.Cut(0, true);
    fleet.Run(seconds(12), 340, 11);
    CHECK(fleet.Peak() <= kAllowed);
  }
  SECTION("each daemon alone") {
    for (std::size_t i = 0; i < 11; ++i) fleet.Cut(i, true);
    fleet.Run(seconds(12), 340, 11);
    CHECK(fleet.Peak() <= kAllowed);
  }
}

TEST_CASE("messages name what has changed, and all from time to time") {
  FleetQuota daemon({});
  FleetQuota peer({});
  const base::VmId vm{"vm-2", 1};
  auto now = kStart;
  const base::Organisation quiet("quiet");
  const std::vector<OrganisationRule> rules{{kClub, 70, 70, std::nullopt},
                                            {quiet, 70, 70, std::nullopt}};
  for (auto* each : {&daemon, &peer}) each->SetRules(rules, now);
  daemon.SetPeers({"vm-2"}, now);
  REQUIRE(peer.TryAdmit(quiet, now));
  const auto first = peer.NextCountsMessage(now);
  CHECK(first.is_full);
  now += milliseconds(1300);
  CHECK(peer.NextCountsMessage(now).is_full);
  now += milliseconds(300);
  CHECK_FALSE(peer.NextCountsMessage(now).is_full);
  now += milliseconds(100);
  CHECK(peer.NextCountsMessage(now).is_full);
  now += milliseconds(100);
  REQUIRE(peer.TryAdmit(kClub, now));
  const auto changed = peer.NextCountsMessage(now);
  CHECK_FALSE(changed.is_full);
  CHECK(changed.counts == AdmittedCounts{{kClub, 1}});
  SECTION("changes count from a whole message on") {
    daemon.OnPeerCounts(vm, first, now);
    const auto before = daemon.Tokens(kClub);
    daemon.OnPeerCounts(vm, changed, now);
    CHECK(daemon.Tokens(kClub) == Approx(before - 1));
    SECTION("once, however often they are told") {
      daemon.OnPeerCounts(vm, changed, now);
      CHECK(daemon.Tokens(kClub) == Approx(before - 1));
    }
  }
  SECTION("without one the peer stays unheard and its share set aside") {
    daemon.OnPeerCounts(vm, changed, now);
    int admitted = 0;
    while (daemon.TryAdmit(kClub, now)) ++admitted;
    // Half of what the limit allows at once: 70 and a tenth, and 20.
    CHECK(admitted <= 48);
  }
  SECTION("a later start of a peer that was heard counts from nothing") {
    daemon.OnPeerCounts(vm, first, now);
    const auto before = daemon.Tokens(kClub);
    daemon.OnPeerCounts({"vm-2", 2}, changed, now);
    CHECK(daemon.Tokens(kClub) == Approx(before - 1));
  }
  SECTION("a new peer is told all at once") {
    peer.SetPeers({"vm-3"}, now);
    CHECK(peer.NextCountsMessage(now).is_full);
  }
}

TEST_CASE("daemons that lost the store and serve on stay counted") {
  Fleet fleet(4, 20, 20);
  fleet.Run(seconds(5), 15, 4);
  // The store lists only the first and the last: they hear the others still,
  // and don't tell them any more.
  fleet.CutOneWay(0, 1);
  fleet.CutOneWay(0, 2);
  fleet.CutOneWay(3, 1);
  fleet.CutOneWay(3, 2);
  for (int i = 0; i < 8; ++i) {
    fleet.Run(milliseconds(1100), 200, 4);
    fleet.daemons[0]->SetPeers({"vm-3"}, fleet.now);
    fleet.daemons[3]->SetPeers({"vm-0"}, fleet.now);
  }
  CHECK(fleet.Peak() <= static_cast<std::size_t>((20 * 5 + 20) * 1.1) + 20);
}

TEST_CASE("a daemon that stood still and goes on gives no more") {
  Fleet fleet(4, 20, 20);
  fleet.Run(seconds(5), 2, 4);
  fleet.Cut(3, true);
  fleet.Run(milliseconds(GENERATE(950, 1400, 2300)), 0, 3);
  fleet.Cut(3, false);
  fleet.Run(seconds(6), 200, 4);
  CHECK(fleet.Peak() <= static_cast<std::size_t>((20 * 5 + 20) * 1.1) + 20);
}

TEST_CASE("daemons that don't hear each other for a while") {
  Fleet fleet(4, 20, 20);
  fleet.Run(seconds(5), 2, 4);
  fleet.Cut(3, true);
  fleet.Run(milliseconds(1500), 200, 4);
  fleet.Cut(3, false);
  fleet.Run(seconds(6), 200, 4);
  CHECK(fleet.Peak() <= static_cast<std::size_t>((20 * 5 + 20) * 1.1) + 20);
}

/// Requests admitted of 200 in a second.
int AdmittedInASecond(FleetQuota& quota, base::Instant now) {
  int admitted = 0;
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(5);
    if (quota.TryAdmit(kClub, now)) ++admitted;
  }
  return admitted;
}

TEST_CASE("a daemon that was asked before it heard of the others") {
  FleetQuota quota({});
  quota.SetRules({{kClub, 20, 20, std::nullopt}}, kStart);
  auto now = kStart + seconds(3);
  for (int i = 0; i < 3; ++i) REQUIRE(quota.TryAdmit(kClub, now));
  quota.SetPeers({"vm-1", "vm-2", "vm-3"}, now);
  // Its quarter of what the limit allows in a second.
  CHECK(AdmittedInASecond(quota, now) <= ((20 + 20) * 1.1 + 20) / 4);
}

TEST_CASE("a daemon that set a share aside which others used", "[.known-red]") {
  FleetQuota quota({});
  quota.SetRules({{kClub, 120, 60, std::nullopt}}, kStart);
  quota.SetPeers({"vm-1", "vm-2"}, kStart);
  auto now = kStart;
  std::uint64_t count = 0;
  // It never hears the second peer; the first one uses the whole rate.
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(100);
    count += 12;
    quota.OnPeerCounts({"vm-1", 1}, {true, {{kClub, count}}}, now);
  }
  // Then both are heard and use nothing: half of the limit at least is here.
  quota.OnPeerCounts({"vm-2", 1}, {true, {}}, now);
  CHECK(AdmittedInASecond(quota, now) >= 60);
}

TEST_CASE("a change of the limit takes effect at once") {
  FleetQuota quota({});
  auto now = kStart;
  quota.SetRules({{kClub, 100, 100, std::nullopt}}, now);
  SECTION("a lower one takes what was saved up") {
    now += seconds(10);
    quota.SetRules({{kClub, 2, 2, std::nullopt}}, now);
    int admitted = 0;
    for (int i = 0; i < 100; ++i)
      admitted += quota.TryAdmit(kClub, now) ? 1 : 0;
    CHECK(admitted <= 2 * 1.1 + 20);
  }
  SECTION("an organisation without a limit isn't counted") {
    quota.SetRules({{kClub, 0, 0, std::nullopt}}, now);
    for (int i = 0; i < 1000; ++i) REQUIRE(quota.TryAdmit(kClub, now));
    CHECK(quota.NextCountsMessage(now).counts.empty());
  }
  SECTION("a refused one is told when to come back") {
    while (quota.TryAdmit(kClub, now)) {
    }
    const auto at = quota.NextAdmissionTime(kClub, now);
    CHECK(at > now);
    CHECK(quota.TryAdmit(kClub, at));
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
