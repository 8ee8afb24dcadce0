#include "gypsumtrack/testing/membership_fleet.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace gypsumtrack::testing {
namespace {

using policy::PeerState;
using std::chrono::minutes;
using std::chrono::seconds;

/// Within these times after the event, in the domain and in the fleet.
constexpr auto kLostBound = seconds(30);
constexpr auto kLostFleetBound = seconds(90);
constexpr auto kLeavingBound = seconds(5);
constexpr auto kRecoverBound = seconds(90);

MembershipFleetOptions Lossy(std::uint64_t seed) {
  MembershipFleetOptions options;
  options.seed = seed;
  options.loss = 0.05;
  return options;
}

bool AllLive(const MembershipFleet& fleet) {
  for (const auto& name : fleet.Alive()) {
    if (!fleet.AllSee("", name, PeerState::kLive)) return false;
  }
  return true;
}

/// Whatever happens to a VM that lives on, all see it live in the end.
bool LiveAgain(const MembershipFleetOptions& options) {
  MembershipFleet fleet(options);
  fleet.Run(seconds(30));
  fleet.Pause("entry-0-01", seconds(40));
  fleet.Run(seconds(40));
  fleet.Cut({"entry-1-00", "entry-1-02"});
  fleet.Run(seconds(60));
  fleet.Heal();
  return fleet.RunUntil([&] { return AllLive(fleet); }, kRecoverBound) <
         kRecoverBound;
}

/// How often a live VM is called lost although its peers can reach it.
int FalseLosses(MembershipFleetOptions options) {
  options.loss = 0.1;
  MembershipFleet fleet(options);
  fleet.Run(seconds(60));
  int losses = 0;
  for (int i = 0; i < 120; ++i) {
    fleet.Run(seconds(1));
    for (const auto& by : fleet.Names()) {
      for (const auto& of : fleet.Names()) {
        const bool lost = fleet.StateSeen(by, of) == PeerState::kLost;
        if (lost && by != of) ++losses;
      }
    }
  }
  return losses;
}

TEST_CASE("a live VM that can be reached is not called lost for ever") {
  rc::prop("after pauses, cuts and loss", [] {
    RC_ASSERT(LiveAgain(Lossy(*rc::gen::arbitrary<std::uint64_t>())));
  });
  SECTION("which fails if a VM doesn't refute") {
    auto options = Lossy(1);
    options.membership.enable_refutation = false;
    CHECK_FALSE(LiveAgain(options));
  }
  SECTION("which fails across a healed cut if the lost aren't probed") {
    auto options = Lossy(1);
    options.membership.probe_lost = false;
    options.domains = 1;
    MembershipFleet fleet(options);
    fleet.Run(seconds(60));
    fleet.Cut({"entry-0-00", "entry-0-01"});
    fleet.Run(seconds(60));
    fleet.Heal();
    fleet.Run(kRecoverBound);
    CHECK_FALSE(AllLive(fleet));
  }
}

TEST_CASE("a lossy network makes suspects rather than losses") {
  CHECK(FalseLosses(Lossy(1)) == 0);
  SECTION("which fails without suspicion") {
    auto options = Lossy(1);
    options.membership.enable_suspicion = false;
    CHECK(FalseLosses(options) > 0);
  }
}

TEST_CASE("a dead VM is lost within the bound") {
  rc::prop("although the list still names it", [] {
    auto options = Lossy(*rc::gen::arbitrary<std::uint64_t>());
    options.list_lag = minutes(5);
    MembershipFleet fleet(options);
    fleet.Run(seconds(30));
    fleet.SetPlatformDown(*rc::gen::arbitrary<bool>());
    const auto names = fleet.Names();
    const auto victim = *rc::gen::elementOf(names);
    const auto domain = fleet.DomainOf(victim);
    fleet.Kill(victim);
    RC_ASSERT(
        fleet.RunUntil(
            [&] { return fleet.AllSee(domain, victim, PeerState::kLost); },
            kLostBound) < kLostBound);
    RC_ASSERT(fleet.RunUntil(
                  [&] { return fleet.AllSee("", victim, PeerState::kLost); },
                  kLostFleetBound) < kLostFleetBound);
  });
  SECTION("which the list alone doesn't do") {
    auto options = Lossy(1);
    options.list_lag = minutes(5);
    options.membership.ping_period = std::chrono::hours(1);
    MembershipFleet fleet(options);
    fleet.Run(seconds(30));
    fleet.Kill("entry-0-00");
    fleet.Run(kLostBound);
    CHECK_FALSE(fleet.AllSee("domain-0", "entry-0-00", PeerState::kLost));
  }
}

/// Whether all see the new process after one of the same name died, while old
/// news of the first goes round.
bool NewIncarnationStands(const MembershipFleetOptions& options) {
  MembershipFleet fleet(options);
  fleet.Run(seconds(30));
  auto old = fleet.TruthOf("entry-0-02");
  fleet.Restart("entry-0-02");
  fleet.Run(seconds(60));
  old.status = policy::MemberStatus::kLost;
  old.generation = 1000;
  for (const auto& name : fleet.Names()) fleet.ReplayOldUpdate(name, old);
  for (const auto& name : fleet.Names()) {
    for (const auto& peer : fleet.ViewOf(name).peers) {
      if (peer.id.name != "entry-0-02") continue;
      if (peer.id != fleet.IdOf("entry-0-02")) return false;
      // A lost ping makes a suspect now and then, but never a loss.
      if (peer.state == PeerState::kLost) return false;
    }
  }
  return true;
}

TEST_CASE("an old incarnation never overrides a new one") {
  rc::prop("whatever is said of it later", [] {
    RC_ASSERT(
        NewIncarnationStands(Lossy(*rc::gen::arbitrary<std::uint64_t>())));
  });
  SECTION("which fails if incarnations aren't compared") {
    auto options = Lossy(1);
    options.membership.compare_incarnations = false;
    CHECK_FALSE(NewIncarnationStands(options));
  }
}

/// How long until the leaving VM's domain knows, by peers alone.
base::Duration LeavingTime(const MembershipFleetOptions& options) {
  MembershipFleet fleet(options);
  fleet.Run(seconds(30));
  fleet.SetPlatformDown(true);
  fleet.Leave("entry-2-01");
  return fleet.RunUntil(
      [&] {
        return fleet.AllSee("domain-2", "entry-2-01", PeerState::kShuttingDown);
      },
      kLeavingBound);
}

TEST_CASE("leaving is known within the bound") {
  rc::prop("in the whole domain, with the platform down", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    RC_ASSERT(LeavingTime(Lossy(seed)) < kLeavingBound);
  });
  SECTION("which fails if it isn't spread") {
    auto options = Lossy(1);
    options.membership.propagate_departures = false;
    CHECK(LeavingTime(options) >= kLeavingBound);
  }
}

TEST_CASE("a domain that is cut off goes on by itself") {
  MembershipFleet fleet(Lossy(7));
  fleet.Run(seconds(60));
  REQUIRE(fleet.RunUntil([&] { return AllLive(fleet); }, kRecoverBound) <
          kRecoverBound);
  std::set<std::string> domain;
  for (const auto& name : fleet.Names()) {
    if (fleet.DomainOf(name) == "domain-1") domain.insert(name);
  }
  fleet.Cut(domain);
  fleet.Run(minutes(5));
  SECTION("its VMs see each other live and the rest as suspects, not lost") {
    const auto sees = [&](const char* by, const char* of, PeerState state) {
      return fleet.RunUntil([&] { return fleet.StateSeen(by, of) == state; },
                            kRecoverBound) < kRecoverBound;
    };
    CHECK(sees("entry-1-00", "entry-1-01", PeerState::kLive));
    CHECK(sees("entry-0-00", "entry-2-01", PeerState::kLive));
    CHECK(fleet.StateSeen("entry-1-00", "entry-0-01") == PeerState::kSuspect);
    CHECK(fleet.StateSeen("entry-0-00", "entry-1-01") == PeerState::kSuspect);
  }
  SECTION("and what happened in the cut is known after it") {
    fleet.Kill("entry-1-03");
    fleet.Restart("entry-0-03");
    fleet.Run(minutes(5));
    fleet.Heal();
    fleet.Run(minutes(3));
    CHECK(fleet.AllSee("", "entry-1-03", PeerState::kLost));
    CHECK(fleet.RunUntil([&] { return AllLive(fleet); }, kRecoverBound) <
          kRecoverBound);
  }
}

}  // namespace
}  // namespace gypsumtrack::testing
