#include "gypsumtrack/policy/serving/endpoint_registry.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>

#include "endpoint_registry_fixture.h"

namespace gypsumtrack::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("an online request goes to the endpoint where it starts soonest") {
  EndpointRegistry registry({});
  registry.ReplaceEntries(
      {MakeEndpoint("here", kOwnDomain), MakeEndpoint("near", kOtherDomain),
       MakeEndpoint("far", kOtherRegion)},
      {}, kStart);
  SECTION("an idle endpoint in the own failure domain is preferred") {
    CHECK(registry.ChooseOnline(MakeQuery(), kStart).endpoint.id == Id("here"));
  }
  SECTION("a free slot in the region is preferred to a queue in the domain") {
    StartAttempts(registry, "here", 8);
    CHECK(registry.ChooseOnline(MakeQuery(), kStart).endpoint.id == Id("near"));
  }
  SECTION("another region is used when the own one is full") {
    StartAttempts(registry, "here", 8);
    StartAttempts(registry, "near", 8);
    CHECK(registry.ChooseOnline(MakeQuery(), kStart).endpoint.id == Id("far"));
  }
  SECTION("no request is sent to an endpoint whose queue is full") {
    for (const auto* id : {"here", "near", "far"}) {
      StartAttempts(registry, id, 10);
    }
    CHECK(registry.ChooseOnline(MakeQuery(), kStart).status ==
          ChoiceStatus::kNoCapacity);
  }
  SECTION("an unknown service has no endpoint") {
    auto query = MakeQuery();
    query.service = base::Service("unknown");
    CHECK(registry.ChooseOnline(query, kStart).status ==
          ChoiceStatus::kNoEndpoint);
  }
  SECTION("a request that tried an endpoint goes to another") {
    auto query = MakeQuery();
    query.tried = {Id("here")};
    CHECK(registry.ChooseOnline(query, kStart).endpoint.id == Id("near"));
  }
}

// A stream or output that one software version began must not go on at another.
TEST_CASE(
    "a request that continues a stream goes to the version of its begin") {
  const auto make_endpoint = [](const std::string& id,
                                const std::string& version, bool draining) {
    auto entry = MakeEndpoint(id, kOwnDomain);
    entry.version = version;
    entry.draining = draining;
    return entry;
  };
  EndpointRegistry registry({});
  registry.ReplaceEntries(
      {make_endpoint("old", "v1", false), make_endpoint("leaving", "v1", true),
       make_endpoint("new", "v2", false)},
      {}, kStart);
  auto query = MakeQuery();
  SECTION("however loaded its endpoints are") {
    query.version = "v1";
    StartAttempts(registry, "old", 9);
    CHECK(registry.ChooseOnline(query, kStart).endpoint.id == Id("old"));
    StartAttempts(registry, "old", 1);
    CHECK(registry.ChooseOnline(query, kStart).status ==
          ChoiceStatus::kNoCapacity);
    CHECK(registry.ChooseBatch(query, 0, kStart).status ==
          ChoiceStatus::kNoCapacity);
  }
  SECTION("or nowhere if that version has gone") {
    query.version = "v0";
    CHECK(registry.ChooseOnline(query, kStart).status ==
          ChoiceStatus::kNoEndpoint);
    CHECK(registry.ChooseBatch(query, 0, kStart).status ==
          ChoiceStatus::kNoEndpoint);
  }
  SECTION("one that begins anew goes to any") {
    StartAttempts(registry, "old", 3);
    CHECK(registry.ChooseOnline(query, kStart).endpoint.id == Id("new"));
  }
  SECTION("the endpoints of each version are counted, with those that drain") {
    const VersionCounts expected{{"v1", {2, 1}}, {"v2", {1, 1}}};
    CHECK(registry.CountByVersion(kService) == expected);
    CHECK(registry.CountByVersion(base::Service("unknown")).empty());
  }
}

TEST_CASE("load of peers counts like load of this daemon") {
  EndpointRegistry registry({});
  registry.ReplaceEntries(
      {MakeEndpoint("a", kOwnDomain), MakeEndpoint("b", kOwnDomain)}, {},
      kStart);
  registry.SetPeerLoads("vm-2", {{Id("a"), {7, 1}}}, kStart);
  SECTION("load of a peer moves requests to another endpoint") {
    CHECK(registry.Load(Id("a"), kStart).total() == 8);
    CHECK(registry.ChooseOnline(MakeQuery(), kStart).endpoint.id == Id("b"));
  }
  SECTION("load of a peer expires without new messages") {
    const auto later = kStart + seconds(2);
    registry.RemoveExpired(later);
    CHECK(registry.Load(Id("a"), later).total() == 0);
  }
  SECTION("the next message of a peer replaces the one before") {
    registry.SetPeerLoads("vm-3", {{Id("a"), {1, 0}}}, kStart);
    registry.SetPeerLoads("vm-2", {{Id("b"), {2, 0}}}, kStart);
    CHECK(registry.Load(Id("a"), kStart).total() == 1);
    CHECK(registry.Load(Id("b"), kStart).total() == 2);
  }
  SECTION("load received before the endpoint is listed counts in full") {
    registry.SetPeerLoads("vm-2", {{Id("c"), {3, 1}}}, kStart);
    registry.ReplaceEntries(
        {MakeEndpoint("a", kOwnDomain), MakeEndpoint("c", kOwnDomain)}, {},
        kStart);
    CHECK(registry.Load(Id("c"), kStart).total() == 4);
    // Also for an endpoint whose entry has no incarnation.
    auto without_incarnation = MakeEndpoint("d", kOwnDomain);
    without_incarnation.incarnation = 0;
    registry.SetPeerLoads("vm-3", {{Id("d"), {2, 0}}}, kStart);
    registry.ReplaceEntries(
        {MakeEndpoint("c", kOwnDomain), without_incarnation}, {}, kStart);
    CHECK(registry.Load(Id("d"), kStart).total() == 2);
    registry.SetPeerLoads("vm-2", {}, kStart);
    CHECK(registry.Load(Id("c"), kStart).total() == 0);
  }
  SECTION("the report of an endpoint includes load that no peer reported") {
    registry.OnReport(Id("b"), {6, 1}, kStart);
    CHECK(registry.Load(Id("b"), kStart).total() == 7);
    registry.OnAttemptStarted(Id("b"), WorkKind::kOnline, kStart);
    CHECK(registry.Load(Id("b"), kStart).total() == 8);
    CHECK(registry.Load(Id("b"), kStart + seconds(1)).total() == 1);
  }
}

/// Sends two concurrent requests at a time, a hundred times, to ten endpoints
/// in the own failure domain. Returns the number of connections that were set
/// up.
std::size_t CountNewConnections(const EndpointRegistryOptions& options) {
  EndpointRegistry registry(options);
  std::vector<EndpointEntry> entries;
  for (int i = 0; i < 10; ++i) {
    entries.push_back(MakeEndpoint("e" + std::to_string(i), kOwnDomain));
  }
  registry.ReplaceEntries(entries, {}, kStart);
  std::set<std::string> idle;
  auto query = MakeQuery();
  query.has_idle_connection = [&](const std::string& address) {
    return idle.contains(address);
  };
  std::size_t connections = 0;
  std::minstd_rand random;
  for (int round = 0; round < 100; ++round) {
    std::vector<EndpointEntry> in_progress;
    for (int i = 0; i < 2; ++i) {
      query.random_value = random();
      in_progress.push_back(registry.ChooseOnline(query, kStart).endpoint);
      registry.OnAttemptStarted(in_progress.back().id, WorkKind::kOnline,
                                kStart);
      if (idle.erase(in_progress.back().address) == 0) ++connections;
    }
    // Endpoints close connections that are idle for a while: only those of this
    // round are left.
    idle.clear();
    for (const auto& endpoint : in_progress) {
      registry.OnAttemptEnded(endpoint.id, WorkKind::kOnline,
                              AttemptResult::kSuccess, kStart);
      idle.insert(endpoint.address);
    }
  }
  return connections;
}

TEST_CASE("few requests to many endpoints reuse connections") {
  CHECK(CountNewConnections({}) <= 4);
  SECTION("choosing by load alone rarely reuses connections") {
    EndpointRegistryOptions options;
    options.new_connection_cost = {};
    CHECK(CountNewConnections(options) > 100);
  }
  SECTION("load of peers outweighs the cost of a new connection") {
    EndpointRegistry registry({});
    registry.ReplaceEntries(
        {MakeEndpoint("a", kOwnDomain), MakeEndpoint("b", kOwnDomain)}, {},
        kStart);
    auto query = MakeQuery();
    query.has_idle_connection = [](const std::string& address) {
      return address == "a:80";
    };
    CHECK(registry.ChooseOnline(query, kStart).endpoint.id == Id("a"));
    registry.SetPeerLoads("vm-2", {{Id("a"), {6, 0}}}, kStart);
    CHECK(registry.ChooseOnline(query, kStart).endpoint.id == Id("b"));
  }
}

/// Fifty daemons send online requests to 25 endpoints and learn of each other's
/// loads with a delay. Returns the fraction of requests that arrive at an
/// endpoint without a free slot although others have one. `choose` returns the
/// endpoint for a request of a daemon.
template <typename Choose>
double FractionSentToFullEndpoints(double per_second, const Choose& choose) {
  constexpr int kDaemons = 50;
  constexpr int kEndpoints = 25;
  constexpr auto kRunTime = milliseconds(750);
  constexpr auto kGossipPeriod = milliseconds(200);
  std::vector<EndpointEntry> entries;
  for (int i = 0; i < kEndpoints; ++i) {
    entries.push_back(MakeEndpoint("e" + std::to_string(i), kOwnDomain));
  }
  std::vector<std::unique_ptr<EndpointRegistry>> daemons;
  for (int i = 0; i < kDaemons; ++i) {
    EndpointRegistryOptions options;
    options.large_fleet_peers = kDaemons / 2;
    daemons.push_back(std::make_unique<EndpointRegistry>(options));
    daemons.back()->ReplaceEntries(entries, {}, kStart);
  }
  struct Running {
    std::size_t daemon = 0;
    base::EndpointId endpoint;
  };
  std::multimap<base::Instant, Running> running;
  std::map<base::EndpointId, std::uint32_t> loads;
  std::mt19937 random(1);
  std::exponential_distribution<double> pause(per_second);
  auto now = kStart;
  auto gossip_at = kStart;
  int sent = 0;
  int to_full = 0;
  while (now < kStart + seconds(20)) {
    now += std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(pause(random)));
    while (!running.empty() && running.begin()->first <= now) {
      const auto& ended = running.begin()->second;
      daemons[ended.daemon]->OnAttemptEnded(ended.endpoint, WorkKind::kOnline,
                                            AttemptResult::kSuccess, now);
      --loads[ended.endpoint];
      running.erase(running.begin());
    }
    if (now >= gossip_at) {
      gossip_at = now + kGossipPeriod;
      for (std::size_t from = 0; from < daemons.size(); ++from) {
        const auto own = daemons[from]->OwnLoads();
        for (std::size_t to = 0; to < daemons.size(); ++to) {
          if (to == from) continue;
          daemons[to]->SetPeerLoads("vm-" + std::to_string(from), own, now);
        }
      }
    }
    const auto daemon = random() % daemons.size();
    auto query = MakeQuery();
    query.random_value = random();
    const auto id = choose(*daemons[daemon], query, now);
    ++sent;
    if (++loads[id] > 8) ++to_full;
    daemons[daemon]->OnAttemptStarted(id, WorkKind::kOnline, now);
    running.emplace(now + kRunTime, Running{daemon, id});
  }
  return static_cast<double>(to_full) / sent;
}

TEST_CASE("many daemons with the same outdated loads don't choose alike") {
  // Online requests occupy three quarters of the slots.
  constexpr double kPerSecond = 200;
  const auto chosen = FractionSentToFullEndpoints(
      kPerSecond, [](const auto& registry, const auto& query, auto now) {
        return registry.ChooseOnline(query, now).endpoint.id;
      });
  // The less loaded of two random endpoints, by the same outdated loads.
  const auto best_of_two = FractionSentToFullEndpoints(
      kPerSecond, [](const auto& registry, const auto& query, auto now) {
        const auto first = Id("e" + std::to_string(query.random_value % 25));
        const auto second =
            Id("e" + std::to_string(query.random_value / 25 % 25));
        return registry.Load(first, now).total() <=
                       registry.Load(second, now).total()
                   ? first
                   : second;
      });
  CHECK(chosen < best_of_two);
}

TEST_CASE("a failing endpoint is avoided and retried after a backoff") {
  EndpointRegistry registry({});
  registry.ReplaceEntries(
      {MakeEndpoint("a", kOwnDomain), MakeEndpoint("b", kOtherDomain)}, {},
      kStart);
  const auto fail = [&](AttemptResult result, base::Instant now) {
    registry.OnAttemptStarted(Id("a"), WorkKind::kOnline, kStart);
    registry.OnAttemptEnded(Id("a"), WorkKind::kOnline, result, now);
  };
  SECTION("an unreachable endpoint is avoided at once") {
    fail(AttemptResult::kUnreachable, kStart);
    CHECK(registry.ChooseOnline(MakeQuery(), kStart).endpoint.id == Id("b"));
    const auto later = kStart + seconds(1);
    CHECK(registry.ChooseOnline(MakeQuery(), later).endpoint.id == Id("a"));
  }
  SECTION("bad responses lead to avoidance the second time in a row") {
    fail(AttemptResult::kBadResponse, kStart);
    CHECK(registry.ChooseOnline(MakeQuery(), kStart).endpoint.id == Id("a"));
    fail(AttemptResult::kBadResponse, kStart);
    CHECK(registry.ChooseOnline(MakeQuery(), kStart).endpoint.id == Id("b"));
  }
  SECTION("after its backoff it receives a single request as a probe") {
    fail(AttemptResult::kUnreachable, kStart);
    fail(AttemptResult::kUnreachable, kStart + seconds(1));
    const auto later = kStart + seconds(4);
    registry.OnAttemptStarted(Id("a"), WorkKind::kOnline, kStart);
    CHECK(registry.ChooseOnline(MakeQuery(), later).endpoint.id == Id("b"));
    registry.OnAttemptEnded(Id("a"), WorkKind::kOnline, AttemptResult::kSuccess,
                            later);
    CHECK(registry.ChooseOnline(MakeQuery(), later).endpoint.id == Id("a"));
  }
  SECTION("endpoints are used when nearly all of them seem to fail") {
    fail(AttemptResult::kUnreachable, kStart);
    registry.OnAttemptStarted(Id("b"), WorkKind::kOnline, kStart);
    registry.OnAttemptEnded(Id("b"), WorkKind::kOnline,
                            AttemptResult::kUnreachable, kStart);
    CHECK(registry.ChooseOnline(MakeQuery(), kStart).status ==
          ChoiceStatus::kChosen);
  }
  SECTION("a later incarnation starts without failures") {
    fail(AttemptResult::kUnreachable, kStart);
    auto restarted = MakeEndpoint("a", kOwnDomain);
    restarted.incarnation = 2;
    registry.ReplaceEntries({restarted, MakeEndpoint("b", kOtherDomain)}, {},
                            kStart);
    CHECK(registry.ChooseOnline(MakeQuery(), kStart).endpoint.id == Id("a"));
  }
}

TEST_CASE("entries that expire in an outage of the platform are kept") {
  EndpointRegistry registry({});
  registry.ReplaceEntries(
      {MakeEndpoint("a", kOwnDomain), MakeEndpoint("b", kOwnDomain)}, {},
      kStart);
  SECTION("without an outage a missing entry is removed at once") {
    registry.ReplaceEntries({MakeEndpoint("b", kOwnDomain)}, {}, kStart);
    CHECK(registry.RemoveExpired(kStart) == std::vector{Id("a")});
  }
  SECTION("right after an outage a missing entry is kept") {
    registry.ReplaceEntries({MakeEndpoint("b", kOwnDomain)}, kStart, kStart);
    CHECK(registry.RemoveExpired(kStart + seconds(1)).empty());
    CHECK(registry.AcceptsRequests(Id("a"), 1));
    SECTION("and removed after the grace period if it stays missing") {
      CHECK(registry.RemoveExpired(kStart + seconds(2)) ==
            std::vector{Id("a")});
    }
    SECTION("and stays if it is listed again") {
      registry.ReplaceEntries(
          {MakeEndpoint("a", kOwnDomain), MakeEndpoint("b", kOwnDomain)},
          kStart, kStart + seconds(1));
      CHECK(registry.RemoveExpired(kStart + seconds(5)).empty());
    }
  }
  SECTION("a draining endpoint accepts no requests") {
    auto draining = MakeEndpoint("a", kOwnDomain);
    draining.draining = true;
    registry.ReplaceEntries({draining, MakeEndpoint("b", kOwnDomain)}, kStart,
                            kStart);
    CHECK_FALSE(registry.AcceptsRequests(Id("a"), 1));
  }
}

TEST_CASE("batch items use idle slots and yield to online requests") {
  EndpointRegistry registry({});
  registry.ReplaceEntries({MakeEndpoint("a", kOwnDomain)}, {}, kStart);
  SECTION("items leave the reserved slots free for online requests") {
    StartAttempts(registry, "a", 5, WorkKind::kBatch);
    CHECK(registry.ChooseBatch(MakeQuery(), 2, kStart).status ==
          ChoiceStatus::kChosen);
    registry.OnAttemptStarted(Id("a"), WorkKind::kBatch, kStart);
    CHECK(registry.ChooseBatch(MakeQuery(), 2, kStart).status ==
          ChoiceStatus::kNoCapacity);
    CHECK(registry.ChooseBatch(MakeQuery(), 0, kStart).status ==
          ChoiceStatus::kChosen);
    CHECK(registry.ChooseOnline(MakeQuery(), kStart).status ==
          ChoiceStatus::kChosen);
  }
  SECTION("an endpoint without online requests keeps its items") {
    StartAttempts(registry, "a", 8, WorkKind::kBatch);
    CHECK(registry.BatchToYield(Id("a"), kRoundUp, kStart) == 0);
  }
  SECTION("at a peak items yield to online requests, one slot in advance") {
    StartAttempts(registry, "a", 5, WorkKind::kBatch);
    StartAttempts(registry, "a", 5, WorkKind::kOnline);
    CHECK(registry.BatchToYield(Id("a"), kRoundUp, kStart) == 3);
  }
  SECTION("below the peak items yield only to queued requests") {
    StartAttempts(registry, "a", 7, WorkKind::kBatch);
    StartAttempts(registry, "a", 2, WorkKind::kOnline);
    CHECK(registry.BatchToYield(Id("a"), kRoundUp, kStart) == 1);
  }
  SECTION("an endpoint whose slots are exactly full keeps its items") {
    StartAttempts(registry, "a", 5, WorkKind::kBatch);
    StartAttempts(registry, "a", 3, WorkKind::kOnline);
    CHECK(registry.BatchToYield(Id("a"), kRoundUp, kStart) == 0);
  }
  SECTION("daemons yield in proportion to their items") {
    StartAttempts(registry, "a", 2, WorkKind::kBatch);
    registry.SetPeerLoads("vm-2", {{Id("a"), {4, 4}}}, kStart);
    // Three of six items must yield, so one of the two of this daemon.
    CHECK(registry.BatchToYield(Id("a"), kRoundUp, kStart) == 1);
  }
}

// A daemon that lost its own links must not avoid all endpoints afterwards.
TEST_CASE("failures that were those of the daemon's path are forgotten") {
  EndpointRegistry registry({});
  std::vector<EndpointEntry> entries(2);
  for (std::size_t i = 0; i < entries.size(); ++i) {
    entries[i].id = base::EndpointId("i-" + std::to_string(i));
    entries[i].address = entries[i].id.text;
    entries[i].service = base::Service("s1");
    entries[i].slots = 8;
  }
  const base::Instant now(std::chrono::seconds(100));
  registry.ReplaceEntries(entries, {}, now);
  registry.OnAttemptStarted(entries[0].id, WorkKind::kOnline, now);
  registry.OnAttemptEnded(entries[0].id, WorkKind::kOnline,
                          AttemptResult::kUnreachable, now);
  EndpointQuery query;
  query.service = base::Service("s1");
  const auto chosen_of_20 = [&] {
    int chosen = 0;
    for (query.random_value = 0; query.random_value < 20; ++query.random_value)
      chosen += registry.ChooseOnline(query, now).endpoint.id == entries[0].id;
    return chosen;
  };
  CHECK(chosen_of_20() == 0);
  registry.ForgetFailures();
  CHECK(chosen_of_20() > 0);
}

// Load: endpoints whose machines are shared, one of which stays slow.
TEST_CASE("an endpoint that reports that it works slowly gets less") {
  EndpointRegistry registry({});
  registry.ReplaceEntries(
      {MakeEndpoint("slow", kOwnDomain), MakeEndpoint("usual", kOwnDomain)}, {},
      kStart);
  for (int i = 0; i < 10; ++i) {
    registry.OnReport(Id("slow"), {0, 0, 3.0}, kStart);
    registry.OnReport(Id("usual"), {0, 0, 1.0}, kStart);
  }
  CHECK(registry.ChooseOnline(MakeQuery(), kStart).endpoint.id == Id("usual"));
  SECTION("it is used while the others are full") {
    StartAttempts(registry, "usual", 9);
    CHECK(registry.ChooseOnline(MakeQuery(), kStart).endpoint.id == Id("slow"));
  }
  SECTION("it isn't worse than others once its reports are old") {
    StartAttempts(registry, "usual", 3);
    const auto now = kStart + std::chrono::seconds(4);
    CHECK(registry.ChooseOnline(MakeQuery(), now).endpoint.id == Id("slow"));
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
