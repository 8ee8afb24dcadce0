#include "gypsumtrack/policy/serving/endpoint_reachability.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace gypsumtrack::policy {
namespace {

using std::chrono::milliseconds;

const base::Instant kStart(std::chrono::seconds(100));
constexpr ReachabilityOptions kOptions;
constexpr base::Duration kTick = milliseconds(50);
constexpr int kTicksPerSecond = 20;

ProbeTarget Target(const std::string& id, const std::string& domain,
                   const std::string& service = "s1") {
  return {base::EndpointId(id), base::FailureDomain(domain),
          base::Service(service)};
}

std::vector<ProbeTarget> ThreeDomains() {
  std::vector<ProbeTarget> targets;
  for (const char* domain : {"cairo", "alex", "aswan"}) {
    for (int i = 0; i < 6; ++i)
      targets.push_back(Target(domain + std::to_string(i), domain));
  }
  return targets;
}

std::set<std::string> DomainsOf(const std::vector<ProbeTarget>& probes) {
  std::set<std::string> domains;
  for (const auto& probe : probes) domains.insert(probe.domain.text);
  return domains;
}

/// Plays a daemon that asks for probes at each tick. A probe ends as the paths
/// are when it is asked for, refused ones at once, hanging ones at their
/// timeout.
class PathSim {
 public:
  PathSim() : reachability(kOptions) {
    this->reachability.SetTargets(ThreeDomains());
  }

  /// What happens to a connection to an endpoint.
  enum class Path { kOpen, kRefused, kHangs };

  void RunFor(base::Duration duration) {
    const auto end = this->now + duration;
    while (this->now < end) {
      this->now += kTick;
      this->EndHangingProbes();
      if (this->streams_arrive) this->reachability.OnBytes(this->now);
      this->Probe();
    }
  }

  EndpointReachability reachability;
  base::Instant now = kStart;
  /// The path to each failure domain.
  std::map<std::string, Path> paths;
  /// Whether requests are under way whose events arrive.
  bool streams_arrive = false;
  std::size_t probes = 0;

 private:
  struct HangingProbe {
    base::EndpointId endpoint;
    base::Instant started_at;
  };

  void Probe() {
    for (const auto& target :
         this->reachability.TakeProbes(this->random++ * 7919, this->now)) {
      ++this->probes;
      const auto path = this->paths[target.domain.text];
      if (path == Path::kHangs) {
        this->hanging.push_back({target.endpoint, this->now});
        continue;
      }
      this->reachability.OnConnect(target.endpoint, path == Path::kOpen,
                                   this->now, this->now);
      if (path == Path::kRefused) this->Probe();
    }
  }

  void EndHangingProbes() {
    while (!this->hanging.empty() &&
           this->hanging.front().started_at + kOptions.connect_timeout <=
               this->now) {
      const auto probe = this->hanging.front();
      this->hanging.erase(this->hanging.begin());
      this->reachability.OnConnect(probe.endpoint, false, probe.started_at,
                                   this->now);
    }
  }

  std::vector<HangingProbe> hanging;
  std::uint64_t random = 1;
};

TEST_CASE("a daemon loses its paths to all endpoints") {
  PathSim sim;
  sim.RunFor(milliseconds(3000));
  CHECK_FALSE(sim.reachability.is_cut());
  auto path = PathSim::Path::kHangs;
  SECTION("connections hang") { path = PathSim::Path::kHangs; }
  SECTION("connections are refused") { path = PathSim::Path::kRefused; }
  for (const char* domain : {"cairo", "alex", "aswan"})
    sim.paths[domain] = path;

  SECTION("without a request it knows after two seconds") {
    sim.RunFor(milliseconds(2000));
    CHECK(sim.reachability.is_cut());
  }
  SECTION("with a request under way it knows within a second") {
    sim.reachability.OnBytes(sim.now);
    sim.reachability.OnCallStarted(sim.now);
    sim.RunFor(milliseconds(900));
    CHECK(sim.reachability.is_cut());
  }
  SECTION("with a connection that was lost it knows within half a second") {
    sim.reachability.OnBytes(sim.now);
    sim.reachability.OnConnectionLost(sim.now);
    sim.RunFor(milliseconds(500));
    CHECK(sim.reachability.is_cut());
  }
  SECTION("while old connections live on, a failed new one shows it") {
    sim.streams_arrive = true;
    sim.reachability.OnCallStarted(sim.now);
    sim.reachability.OnConnect(base::EndpointId("cairo1"), false, sim.now,
                               sim.now);
    sim.RunFor(milliseconds(500));
    CHECK(sim.reachability.is_cut());
  }
  SECTION("it is back within a second of the cut's end, by few probes") {
    sim.RunFor(milliseconds(10'000));
    CHECK(sim.reachability.is_cut());
    CHECK(sim.probes <= 50);
    for (auto& [domain, each] : sim.paths) each = PathSim::Path::kOpen;
    sim.RunFor(milliseconds(700));
    CHECK_FALSE(sim.reachability.is_cut());
  }
}

// Guards against a recovery that waits as long as a probe of a quiet daemon
// does, so that a daemon which took some endpoints for all is away for a
// second.
TEST_CASE("a cut that is noticed by requests is over soon") {
  PathSim sim;
  sim.RunFor(milliseconds(3000));
  for (const char* domain : {"cairo", "alex", "aswan"})
    sim.paths[domain] = PathSim::Path::kRefused;
  sim.reachability.OnConnectionLost(sim.now);
  sim.RunFor(kTick);
  REQUIRE(sim.reachability.is_cut());
  for (auto& [domain, each] : sim.paths) each = PathSim::Path::kOpen;
  sim.RunFor(kOptions.recovery_interval + kTick);
  CHECK_FALSE(sim.reachability.is_cut());
}

TEST_CASE("some endpoints fail and the daemon isn't cut") {
  PathSim sim;
  sim.RunFor(milliseconds(1000));
  SECTION("one endpoint refuses connections") {
    for (int i = 0; i < 5 * kTicksPerSecond; ++i) {
      sim.reachability.OnConnect(base::EndpointId("cairo1"), false, sim.now,
                                 sim.now);
      sim.RunFor(kTick);
      CHECK_FALSE(sim.reachability.is_cut());
    }
  }
  SECTION("two failure domains can't be reached, its own can") {
    sim.paths["alex"] = PathSim::Path::kHangs;
    sim.paths["aswan"] = PathSim::Path::kHangs;
    for (int i = 0; i < 10 * kTicksPerSecond; ++i) {
      sim.RunFor(kTick);
      CHECK_FALSE(sim.reachability.is_cut());
    }
  }
  SECTION("all endpoints of one service of two fail") {
    auto targets = ThreeDomains();
    for (const char* domain : {"cairo", "alex", "aswan"})
      targets.push_back(Target(domain + std::string("-x"), domain, "s2"));
    sim.reachability.SetTargets(targets);
    for (const char* domain : {"cairo", "alex", "aswan"}) {
      sim.reachability.OnConnect(base::EndpointId(domain + std::string("-x")),
                                 false, sim.now, sim.now);
    }
    CHECK_FALSE(sim.reachability.is_cut());
  }
  SECTION("this process stood still while connections were opened") {
    for (const auto& target : ThreeDomains()) {
      sim.reachability.OnConnect(target.endpoint, false, sim.now,
                                 sim.now + std::chrono::seconds(5));
    }
    CHECK_FALSE(sim.reachability.is_cut());
  }
  SECTION("connections failed at different times") {
    for (const char* id : {"cairo1", "alex1", "aswan1"}) {
      sim.reachability.OnConnect(base::EndpointId(id), false, sim.now, sim.now);
      sim.RunFor(milliseconds(1500));
    }
    CHECK_FALSE(sim.reachability.is_cut());
  }
}

// Guards against a connection that opened just before a cut, and whose end was
// noticed just after it, as a sign that the path is there.
TEST_CASE("attempts to connect end in another order than they began") {
  EndpointReachability reachability({});
  reachability.SetTargets({Target("a", "cairo"), Target("b", "cairo")});
  const auto later = kStart + milliseconds(10);
  reachability.OnConnect(base::EndpointId("a"), true, later, later);
  reachability.OnConnect(base::EndpointId("b"), true, kStart,
                         later + milliseconds(10));
  CHECK(reachability.last_connected() == later);
}

TEST_CASE("probes cost little") {
  PathSim sim;
  SECTION("a daemon with requests sends none") {
    sim.streams_arrive = true;
    sim.reachability.OnCallStarted(sim.now);
    sim.RunFor(milliseconds(10'000));
    CHECK(sim.probes == 0);
  }
  SECTION("an idle daemon sends one a second") {
    sim.RunFor(milliseconds(10'000));
    CHECK(sim.probes <= 11);
  }
  SECTION("a round reaches each failure domain") {
    sim.reachability.OnConnectionLost(sim.now);
    const auto probes = sim.reachability.TakeProbes(5, sim.now);
    CHECK(DomainsOf(probes).size() == 3);
    CHECK(probes.size() == 3);
  }
  SECTION("many lost connections ask for one round") {
    for (int i = 0; i < 100; ++i) sim.reachability.OnConnectionLost(sim.now);
    CHECK(sim.reachability.TakeProbes(5, sim.now).size() == 3);
    CHECK(sim.reachability.TakeProbes(6, sim.now).empty());
  }
}

TEST_CASE("a daemon knows few endpoints") {
  EndpointReachability reachability({});
  SECTION("none: it isn't cut and probes nothing") {
    reachability.OnConnect(base::EndpointId("gone"), false, kStart, kStart);
    CHECK_FALSE(reachability.is_cut());
    CHECK(reachability.TakeProbes(1, kStart).empty());
  }
  SECTION("two: both must fail") {
    reachability.SetTargets({Target("a", "cairo"), Target("b", "cairo")});
    reachability.OnConnect(base::EndpointId("a"), false, kStart, kStart);
    CHECK_FALSE(reachability.is_cut());
    reachability.OnConnect(base::EndpointId("b"), false, kStart, kStart);
    CHECK(reachability.is_cut());
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
