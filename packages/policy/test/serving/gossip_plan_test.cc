#include "gypsumtrack/policy/serving/gossip_plan.h"

#include <catch2/catch.hpp>
#include <set>

namespace gypsumtrack::policy {
namespace {

std::string VmName(int domain, int number) {
  return "vm-" + std::to_string(domain) + "-" + std::to_string(number);
}

base::Location LocationIn(int domain) {
  return {base::FailureDomain("domain-" + std::to_string(domain)),
          base::Region(domain % 2 == 0 ? "delta" : "upper")};
}

/// Returns the peers of the first daemon in a fleet of six failure domains with
/// ten daemons each.
std::vector<GossipPeer> MakePeers() {
  std::vector<GossipPeer> peers;
  for (int domain = 0; domain < 6; ++domain) {
    for (int number = 0; number < 10; ++number) {
      if (domain == 0 && number == 0) continue;
      peers.push_back({{VmName(domain, number), 1}, LocationIn(domain)});
    }
  }
  return peers;
}

TEST_CASE("a message is sent once to each other failure domain") {
  GossipPlan plan({VmName(0, 0), 1}, LocationIn(0), {});
  plan.SetPeers(MakePeers());
  SECTION("all peers in the own domain are recipients") {
    CHECK(plan.DomainPeers().size() == 9);
  }
  SECTION("one peer in each other domain is a recipient every second tick") {
    CHECK(plan.RemotePeers(2).size() == 5);
    CHECK(plan.RemotePeers(3).empty());
  }
  SECTION("the peers of other domains take turns") {
    std::set<std::string> recipients;
    for (std::uint32_t tick = 0; tick < 20; ++tick) {
      for (auto& name : plan.RemotePeers(tick)) {
        recipients.insert(std::move(name));
      }
    }
    CHECK(recipients.size() == 50);
  }
  SECTION("only messages from other domains are forwarded") {
    CHECK(plan.ShouldForward({VmName(3, 4), 1}));
    CHECK_FALSE(plan.ShouldForward({VmName(0, 4), 1}));
    CHECK_FALSE(plan.ShouldForward({"unknown", 1}));
  }
  SECTION("a daemon without peers has no recipients") {
    plan.SetPeers({});
    CHECK(plan.DomainPeers().empty());
    CHECK(plan.RemotePeers(0).empty());
  }
}

TEST_CASE("daemons of a domain choose different peers in other domains") {
  std::set<std::string> recipients;
  for (int number = 0; number < 10; ++number) {
    GossipPlan plan({VmName(0, number), 1}, LocationIn(0), {});
    plan.SetPeers(MakePeers());
    for (auto& name : plan.RemotePeers(0)) recipients.insert(std::move(name));
  }
  CHECK(recipients.size() > 15);
}

}  // namespace
}  // namespace gypsumtrack::policy
