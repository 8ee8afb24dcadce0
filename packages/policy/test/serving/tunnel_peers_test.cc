#include "gypsumtrack/policy/serving/tunnel_peers.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

namespace gypsumtrack::policy {
namespace {

using std::chrono::milliseconds;

const base::Instant kStart(std::chrono::seconds(100));

base::Location At(const std::string& domain, const std::string& region) {
  return {base::FailureDomain(domain), base::Region(region)};
}

const base::Location kCairo = At("cairo", "delta");

/// Two peers in each of three failure domains, of which two are in the region
/// of kCairo.
TunnelPeers SixPeers() {
  TunnelPeers peers({});
  peers.SetPeers({{"cairo-1", kCairo, 1},
                  {"cairo-2", kCairo, 1},
                  {"alex-1", At("alex", "delta"), 1},
                  {"alex-2", At("alex", "delta"), 1},
                  {"aswan-1", At("aswan", "upper"), 1},
                  {"aswan-2", At("aswan", "upper"), 1}});
  return peers;
}

void OfferAll(TunnelPeers& peers, base::Instant now) {
  for (const char* name :
       {"cairo-1", "cairo-2", "alex-1", "alex-2", "aswan-1", "aswan-2"}) {
    peers.OnOffer(name, true, 0, now);
  }
}

std::string ChosenDomain(TunnelPeers& peers, base::Instant now) {
  const auto chosen = peers.Choose(kCairo, 1, now);
  return chosen ? chosen->location.domain.text : "none";
}

TEST_CASE("a daemon that is cut from endpoints chooses a peer") {
  auto peers = SixPeers();
  SECTION("none before one offers") {
    CHECK_FALSE(peers.Choose(kCairo, 1, kStart));
  }
  OfferAll(peers, kStart);
  SECTION("of its own failure domain first") {
    CHECK(ChosenDomain(peers, kStart) == "cairo");
  }
  SECTION("of its region if all of its failure domain are cut as well") {
    peers.OnOffer("cairo-1", false, 0, kStart);
    peers.OnOffer("cairo-2", false, 0, kStart);
    CHECK(ChosenDomain(peers, kStart) == "alex");
    SECTION("and of another region if the whole region is") {
      peers.OnOffer("alex-1", false, 0, kStart);
      peers.OnOffer("alex-2", false, 0, kStart);
      CHECK(ChosenDomain(peers, kStart) == "aswan");
    }
  }
  SECTION("not one that failed, until its backoff has ended") {
    peers.OnFailed("cairo-1", kStart);
    for (std::uint64_t random = 0; random < 20; ++random) {
      CHECK(peers.Choose(kCairo, random, kStart)->name == "cairo-2");
    }
    OfferAll(peers, kStart + milliseconds(1000));
    CHECK(peers.CountUsable(kStart + milliseconds(1000)) == 6);
  }
  SECTION("and learns when one ceases to offer") {
    CHECK_FALSE(peers.OnOffer("cairo-1", true, 3, kStart));
    CHECK(peers.OnOffer("cairo-1", false, 3, kStart));
    CHECK_FALSE(peers.OnOffer("cairo-1", false, 3, kStart));
    CHECK_FALSE(peers.OnOffer("stranger", false, 3, kStart));
  }
  // Guards against refusals because a few endpoints hang: whatever peer is
  // asked can't connect to them, so that none would be left.
  SECTION("another one than one that is in doubt, if there is any") {
    peers.OnDoubted("cairo-1", kStart);
    for (std::uint64_t random = 0; random < 20; ++random)
      CHECK(peers.Choose(kCairo, random, kStart)->name == "cairo-2");
    peers.OnDoubted("cairo-2", kStart);
    CHECK(ChosenDomain(peers, kStart) == "alex");
    for (const char* name : {"alex-1", "alex-2", "aswan-1", "aswan-2"})
      peers.OnDoubted(name, kStart);
    CHECK(peers.CountUsable(kStart) == 6);
    CHECK(ChosenDomain(peers, kStart) == "cairo");
  }
  SECTION("not one that was silent for long or is gone") {
    CHECK(peers.CountUsable(kStart + milliseconds(1600)) == 0);
    peers.SetPeers({});
    CHECK(peers.CountUsable(kStart) == 0);
  }
  SECTION("and keeps it for a while, as long as it offers") {
    const auto first = peers.Choose(kCairo, 0, kStart);
    peers.OnOffer(first->name, true, 50, kStart);
    for (std::uint64_t random = 0; random < 20; ++random)
      CHECK(peers.Choose(kCairo, random, kStart)->name == first->name);
    peers.OnOffer(first->name, false, 50, kStart);
    CHECK(peers.Choose(kCairo, 0, kStart)->name != first->name);
  }
  SECTION("the less busy of two") {
    peers.OnOffer("cairo-1", true, 30, kStart);
    // The random number draws both.
    CHECK(peers.Choose(kCairo, 2, kStart)->name == "cairo-2");
  }
}

// The load when all daemons of a failure domain are cut at the same moment:
// their callers' requests must not all go through one peer.
TEST_CASE("many daemons that are cut at once choose different peers") {
  constexpr int kCutDaemons = 26;
  constexpr int kPeers = 26;
  std::vector<TunnelPeer> offered;
  for (int i = 0; i < kPeers; ++i)
    offered.push_back({"p" + std::to_string(i), At("alex", "delta"), 1});
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    std::map<std::string, int> daemons_by_peer;
    for (int i = 0; i < kCutDaemons; ++i) {
      TunnelPeers peers({});
      peers.SetPeers(offered);
      for (const auto& peer : offered)
        peers.OnOffer(peer.name, true, random() % 4, kStart);
      ++daemons_by_peer[peers.Choose(kCairo, random(), kStart)->name];
    }
    const auto most = std::max_element(
        daemons_by_peer.begin(), daemons_by_peer.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    CHECK(most->second <= 6);
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
