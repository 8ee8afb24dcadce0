#include "gypsumtrack/policy/serving/gossip_plan.h"

#include <catch2/catch.hpp>
#include <set>

namespace gypsumtrack::policy {
namespace {

std::string NameOf(int domain, int number) {
  return "vm-" + std::to_string(domain) + "-" + std::to_string(number);
}

base::Place PlaceOf(int domain) {
  return {base::FailureDomain("domain-" + std::to_string(domain)),
          base::Region(domain % 2 == 0 ? "delta" : "upper")};
}

/// Six failure domains of ten daemons each, without the first one.
std::vector<GossipPeer> MakePeers() {
  std::vector<GossipPeer> peers;
  for (int domain = 0; domain < 6; ++domain) {
    for (int number = 0; number < 10; ++number) {
      if (domain == 0 && number == 0) continue;
      peers.push_back({{NameOf(domain, number), 1}, PlaceOf(domain)});
    }
  }
  return peers;
}

TEST_CASE("a message crosses to each failure domain once") {
  GossipPlan plan({NameOf(0, 0), 1}, PlaceOf(0), {});
  plan.SetPeers(MakePeers());
  SECTION("all neighbours are told") { CHECK(plan.DomainPeers().size() == 9); }
  SECTION("and one daemon of each other domain, each second tick") {
    CHECK(plan.RemotePeers(2).size() == 5);
    CHECK(plan.RemotePeers(3).empty());
  }
  SECTION("in turn") {
    std::set<std::string> told;
    for (std::uint32_t tick = 0; tick < 20; ++tick) {
      for (auto& name : plan.RemotePeers(tick)) told.insert(std::move(name));
    }
    CHECK(told.size() == 50);
  }
  SECTION("what comes from another domain is passed on, and only that") {
    CHECK(plan.ShouldForward({NameOf(3, 4), 1}));
    CHECK_FALSE(plan.ShouldForward({NameOf(0, 4), 1}));
    CHECK_FALSE(plan.ShouldForward({"stranger", 1}));
  }
  SECTION("a daemon alone tells nobody") {
    plan.SetPeers({});
    CHECK(plan.DomainPeers().empty());
    CHECK(plan.RemotePeers(0).empty());
  }
}

TEST_CASE("daemons don't all tell the same one") {
  std::set<std::string> told;
  for (int number = 0; number < 10; ++number) {
    GossipPlan plan({NameOf(0, number), 1}, PlaceOf(0), {});
    plan.SetPeers(MakePeers());
    for (auto& name : plan.RemotePeers(0)) told.insert(std::move(name));
  }
  CHECK(told.size() > 15);
}

}  // namespace
}  // namespace gypsumtrack::policy
