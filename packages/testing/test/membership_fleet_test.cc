#include "gypsumtrack/testing/membership_fleet.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace gypsumtrack::testing {
namespace {

using policy::PeerState;
using std::chrono::minutes;
using std::chrono::seconds;

/// Maximum times from an event until its domain, or the whole fleet, observes
/// it.
constexpr auto kDomainLossBound = seconds(30);
constexpr auto kFleetLossBound = seconds(90);
constexpr auto kShutdownBound = seconds(5);
constexpr auto kRecoveryBound = seconds(90);

MembershipFleetOptions MakeLossyOptions(std::uint64_t seed) {
  MembershipFleetOptions options;
  options.seed = seed;
  options.loss_probability = 0.05;
  return options;
}

bool AllLive(const MembershipFleet& fleet) {
  for (const auto& name : fleet.Alive()) {
    if (!fleet.AllObserve("", name, PeerState::kLive)) return false;
  }
  return true;
}

/// Whether all VMs observe each other live within the bound after a pause and a
/// partition.
bool RecoversToLive(const MembershipFleetOptions& options) {
  MembershipFleet fleet(options);
  fleet.Run(seconds(30));
  fleet.Pause("entry-0-01", seconds(40));
  fleet.Run(seconds(40));
  fleet.Partition({"entry-1-00", "entry-1-02"});
  fleet.Run(seconds(60));
  fleet.EndPartition();
  return fleet.RunUntil([&] { return AllLive(fleet); }, kRecoveryBound) <
         kRecoveryBound;
}

/// Counts how often a live, reachable VM is held to be lost by a peer.
int CountFalseLosses(MembershipFleetOptions options) {
  options.loss_probability = 0.1;
  MembershipFleet fleet(options);
  fleet.Run(seconds(60));
  int losses = 0;
  for (int i = 0; i < 120; ++i) {
    fleet.Run(seconds(1));
    for (const auto& by : fleet.Names()) {
      for (const auto& of : fleet.Names()) {
        const bool lost = fleet.StateObserved(by, of) == PeerState::kLost;
        if (lost && by != of) ++losses;
      }
    }
  }
  return losses;
}

TEST_CASE("a live and reachable VM does not stay lost") {
  rc::prop("after pauses, partitions and message loss", [] {
    RC_ASSERT(
        RecoversToLive(MakeLossyOptions(*rc::gen::arbitrary<std::uint64_t>())));
  });
  // Guards against a suspicion that stays at a VM of another domain after the
  // messages that end it were lost.
  SECTION("although messages that end a suspicion are lost") {
    CHECK(RecoversToLive(MakeLossyOptions(5)));
  }
  SECTION("fails if a VM does not refute its suspicion or loss") {
    auto options = MakeLossyOptions(1);
    options.membership.enable_refutation = false;
    CHECK_FALSE(RecoversToLive(options));
  }
  SECTION("fails after a partition if lost VMs are not probed") {
    auto options = MakeLossyOptions(1);
    options.membership.probe_lost = false;
    options.domains = 1;
    MembershipFleet fleet(options);
    fleet.Run(seconds(60));
    fleet.Partition({"entry-0-00", "entry-0-01"});
    fleet.Run(seconds(60));
    fleet.EndPartition();
    fleet.Run(kRecoveryBound);
    CHECK_FALSE(AllLive(fleet));
  }
}

TEST_CASE("message loss leads to suspicion but not to lost VMs") {
  CHECK(CountFalseLosses(MakeLossyOptions(1)) == 0);
  SECTION("fails without suspicion") {
    auto options = MakeLossyOptions(1);
    options.membership.enable_suspicion = false;
    CHECK(CountFalseLosses(options) > 0);
  }
}

TEST_CASE("a dead VM is detected as lost within the bound") {
  rc::prop("although the platform list still contains it", [] {
    auto options = MakeLossyOptions(*rc::gen::arbitrary<std::uint64_t>());
    options.platform_list_lag = minutes(5);
    MembershipFleet fleet(options);
    fleet.Run(seconds(30));
    fleet.SetPlatformDown(*rc::gen::arbitrary<bool>());
    const auto names = fleet.Names();
    const auto killed = *rc::gen::elementOf(names);
    const auto domain = fleet.DomainOf(killed);
    fleet.Kill(killed);
    RC_ASSERT(
        fleet.RunUntil(
            [&] { return fleet.AllObserve(domain, killed, PeerState::kLost); },
            kDomainLossBound) < kDomainLossBound);
    RC_ASSERT(
        fleet.RunUntil(
            [&] { return fleet.AllObserve("", killed, PeerState::kLost); },
            kFleetLossBound) < kFleetLossBound);
  });
  SECTION("fails with the platform list alone") {
    auto options = MakeLossyOptions(1);
    options.platform_list_lag = minutes(5);
    options.membership.ping_period = std::chrono::hours(1);
    MembershipFleet fleet(options);
    fleet.Run(seconds(30));
    fleet.Kill("entry-0-00");
    fleet.Run(kDomainLossBound);
    CHECK_FALSE(fleet.AllObserve("domain-0", "entry-0-00", PeerState::kLost));
  }
}

/// Whether all VMs observe the new process after a restart although they
/// receive outdated updates about the previous incarnation.
bool KeepsNewIncarnation(const MembershipFleetOptions& options) {
  MembershipFleet fleet(options);
  fleet.Run(seconds(30));
  auto old_update = fleet.CurrentUpdateOf("entry-0-02");
  fleet.Restart("entry-0-02");
  fleet.Run(seconds(60));
  old_update.status = policy::MemberStatus::kLost;
  old_update.generation = 1000;
  for (const auto& name : fleet.Names())
    fleet.ReplayOldUpdate(name, old_update);
  for (const auto& name : fleet.Names()) {
    for (const auto& peer : fleet.ViewOf(name).peers) {
      if (peer.id.name != "entry-0-02") continue;
      if (peer.id != fleet.IdOf("entry-0-02")) return false;
      // A lost ping may make the VM a suspect, but never lost.
      if (peer.state == PeerState::kLost) return false;
    }
  }
  return true;
}

TEST_CASE("an old incarnation never overrides a new one") {
  rc::prop("with later updates about the old incarnation", [] {
    RC_ASSERT(KeepsNewIncarnation(
        MakeLossyOptions(*rc::gen::arbitrary<std::uint64_t>())));
  });
  SECTION("fails if incarnations are not compared") {
    auto options = MakeLossyOptions(1);
    options.membership.compare_incarnations = false;
    CHECK_FALSE(KeepsNewIncarnation(options));
  }
}

/// Returns the time until all VMs of the domain observe a shutdown, without the
/// platform list.
base::Duration MeasureShutdownPropagation(
    const MembershipFleetOptions& options) {
  MembershipFleet fleet(options);
  fleet.Run(seconds(30));
  fleet.SetPlatformDown(true);
  fleet.AnnounceShutdown("entry-2-01");
  return fleet.RunUntil(
      [&] {
        return fleet.AllObserve("domain-2", "entry-2-01",
                                PeerState::kShuttingDown);
      },
      kShutdownBound);
}

TEST_CASE("a shutdown is observed within the bound") {
  rc::prop("in the whole domain, with the platform down", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    RC_ASSERT(MeasureShutdownPropagation(MakeLossyOptions(seed)) <
              kShutdownBound);
  });
  SECTION("fails if shutdowns are not propagated") {
    auto options = MakeLossyOptions(1);
    options.membership.propagate_departures = false;
    CHECK(MeasureShutdownPropagation(options) >= kShutdownBound);
  }
}

TEST_CASE("an isolated domain keeps its own membership") {
  MembershipFleet fleet(MakeLossyOptions(7));
  fleet.Run(seconds(60));
  REQUIRE(fleet.RunUntil([&] { return AllLive(fleet); }, kRecoveryBound) <
          kRecoveryBound);
  std::set<std::string> domain;
  for (const auto& name : fleet.Names()) {
    if (fleet.DomainOf(name) == "domain-1") domain.insert(name);
  }
  fleet.Partition(domain);
  fleet.Run(minutes(5));
  SECTION(
      "its VMs observe each other as live and the others as suspect, not "
      "lost") {
    const auto observes = [&](const char* by, const char* of, PeerState state) {
      return fleet.RunUntil(
                 [&] { return fleet.StateObserved(by, of) == state; },
                 kRecoveryBound) < kRecoveryBound;
    };
    CHECK(observes("entry-1-00", "entry-1-01", PeerState::kLive));
    CHECK(observes("entry-0-00", "entry-2-01", PeerState::kLive));
    CHECK(fleet.StateObserved("entry-1-00", "entry-0-01") ==
          PeerState::kSuspect);
    CHECK(fleet.StateObserved("entry-0-00", "entry-1-01") ==
          PeerState::kSuspect);
  }
  SECTION("changes during the partition are observed after it") {
    fleet.Kill("entry-1-03");
    fleet.Restart("entry-0-03");
    fleet.Run(minutes(5));
    fleet.EndPartition();
    fleet.Run(minutes(3));
    CHECK(fleet.AllObserve("", "entry-1-03", PeerState::kLost));
    CHECK(fleet.RunUntil([&] { return AllLive(fleet); }, kRecoveryBound) <
          kRecoveryBound);
  }
}

}  // namespace
}  // namespace gypsumtrack::testing
