#include <catch2/catch.hpp>
#include <optional>
#include <set>
#include <vector>

#include "endpoint_registry_fixture.h"

/// What endpoints report that restricts the requests they get: that they leave,
/// and limits.
namespace gypsumtrack::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("an endpoint that reports that it leaves gets no new requests") {
  EndpointRegistry registry({});
  const std::vector entries{MakeEndpoint("leaving", kOwnDomain),
                            MakeEndpoint("far", kOtherRegion)};
  registry.ReplaceEntries(entries, {}, kStart);
  StartAttempts(registry, "leaving", 1);
  CHECK(registry.OnLeaving(Id("leaving"), 1, kStart));
  const auto now = kStart + seconds(1);
  const auto far_alone = [&] {
    return registry.ChooseOnline(MakeQuery(), now).endpoint.id == Id("far") &&
           registry.ChooseBatch(MakeQuery(), 0, now).endpoint.id == Id("far") &&
           registry.CountFreeSlots(kService, 0, now) == 8 &&
           !registry.AcceptsRequests(Id("leaving"), 1);
  };
  CHECK(far_alone());
  SECTION("a further report is nothing new") {
    CHECK_FALSE(registry.OnLeaving(Id("leaving"), 1, now));
  }
  SECTION("also while its entry in the store still says that it is ready") {
    registry.ReplaceEntries(entries, kStart, now);
    CHECK(far_alone());
  }
  SECTION("also after its entry was removed and listed again") {
    registry.ReplaceEntries({MakeEndpoint("far", kOtherRegion)}, {}, now);
    registry.RemoveExpired(now);
    registry.ReplaceEntries(entries, {}, now);
    CHECK(far_alone());
  }
  SECTION("its requests in progress end as usual") {
    registry.OnAttemptEnded(Id("leaving"), WorkKind::kOnline,
                            AttemptResult::kSuccess, now);
    CHECK(registry.Load(Id("leaving"), now).total() == 0);
    CHECK(far_alone());
  }
  SECTION("the next incarnation is used again") {
    auto restarted = MakeEndpoint("leaving", kOwnDomain);
    restarted.incarnation = 2;
    registry.ReplaceEntries({restarted}, {}, now);
    CHECK(registry.AcceptsRequests(Id("leaving"), 2));
    SECTION("whatever a late response of the one before reports") {
      registry.OnLeaving(Id("leaving"), 1, now);
      CHECK(registry.AcceptsRequests(Id("leaving"), 2));
    }
  }
}

TEST_CASE("an endpoint that names a limit gets this daemon's part of it") {
  constexpr double kPerSecond = 1;
  EndpointRegistry registry({});
  const std::vector<EndpointEntry> entries = {
      MakeEndpoint("limited", kOwnDomain), MakeEndpoint("far", kOtherRegion)};
  registry.ReplaceEntries(entries, {}, kStart);
  registry.SetFleetPosition({.index = 0, .daemon_count = 2}, kStart);
  auto now = kStart;
  const auto chosen = [&] {
    return registry.ChooseOnline(MakeQuery(), now).endpoint.id;
  };
  // The turns come at full seconds: begin between two of them.
  now += milliseconds(500);
  // Requests of this daemon that the limited endpoint gets in that time.
  const auto send_for = [&](base::Duration duration) {
    int sent = 0;
    for (const auto until = now + duration; now < until;
         now += milliseconds(10)) {
      if (chosen() != Id("limited")) continue;
      registry.OnAttemptStarted(Id("limited"), WorkKind::kOnline, now);
      registry.OnAttemptEnded(Id("limited"), WorkKind::kOnline,
                              AttemptResult::kSuccess, now);
      ++sent;
    }
    return sent;
  };
  const auto name_limit = [&](std::optional<double> per_second,
                              base::Instant as_of) {
    return registry.OnRateLimit(Id("limited"), 1, {per_second, as_of}, true,
                                now);
  };
  CHECK(name_limit(kPerSecond, now));
  CHECK_FALSE(name_limit(kPerSecond, now));
  SECTION("the others get the rest") {
    CHECK(chosen() == Id("far"));
    CHECK(send_for(seconds(20)) == 10);
  }
  SECTION("items have no other part of it") {
    int started = 0;
    for (const auto until = now + seconds(20); now < until;
         now += milliseconds(10)) {
      const auto choice = registry.ChooseBatch(MakeQuery(), 0, now);
      const auto free = registry.CountFreeSlots(kService, 0, now);
      const bool is_limited = choice.endpoint.id == Id("limited");
      CHECK(free == (is_limited ? 9 : 8));
      if (!is_limited) continue;
      registry.OnAttemptStarted(Id("limited"), WorkKind::kBatch, now);
      registry.OnAttemptEnded(Id("limited"), WorkKind::kBatch,
                              AttemptResult::kSuccess, now);
      ++started;
    }
    CHECK(started == 10);
  }
  SECTION("a response to an earlier request doesn't end the limit") {
    CHECK_FALSE(name_limit(std::nullopt, now - seconds(1)));
    CHECK(send_for(seconds(20)) == 10);
  }
  SECTION("a response to a later request does") {
    now += seconds(1);
    CHECK(name_limit(std::nullopt, now));
    CHECK(send_for(seconds(1)) == 100);
  }
  SECTION("peers learn of its begin and its end") {
    EndpointRegistry peer({});
    peer.ReplaceEntries(entries, {}, now);
    const auto tell_peer = [&] {
      for (const auto& change : registry.OwnRateLimitChanges(now))
        peer.OnRateLimit(change.endpoint, change.incarnation, change.report,
                         false, now);
    };
    const auto peer_chooses = [&] {
      return peer.ChooseOnline(MakeQuery(), now).endpoint.id;
    };
    CHECK(peer_chooses() == Id("limited"));
    tell_peer();
    CHECK(peer_chooses() == Id("far"));
    CHECK(peer.OwnRateLimitChanges(now).empty());
    now += seconds(10);
    CHECK(registry.OwnRateLimitChanges(now).empty());
    CHECK(name_limit(std::nullopt, now));
    tell_peer();
    CHECK(peer_chooses() == Id("limited"));
  }
  SECTION("it stays in force after its entry was removed and listed again") {
    registry.ReplaceEntries({MakeEndpoint("far", kOtherRegion)}, {}, now);
    registry.RemoveExpired(now);
    registry.ReplaceEntries(entries, {}, now);
    CHECK(send_for(seconds(20)) == 10);
  }
  SECTION("the next incarnation has no limit") {
    auto restarted = MakeEndpoint("limited", kOwnDomain);
    restarted.incarnation = 2;
    registry.ReplaceEntries({restarted}, {}, now);
    CHECK(send_for(seconds(1)) == 100);
    SECTION("whatever a late response of the one before names") {
      CHECK_FALSE(name_limit(kPerSecond, now));
      CHECK(send_for(seconds(1)) == 100);
    }
  }
  SECTION("a step of the time of day costs no more than a turn") {
    CHECK(send_for(seconds(10)) == 5);
    registry.SetFleetPosition(
        {.index = 0, .daemon_count = 2, .wall_offset = -seconds(3600)}, now);
    const auto sent = send_for(seconds(10));
    CHECK(sent >= 4);
    CHECK(sent <= 5);
  }
  SECTION("without other endpoints, requests wait for the next turn") {
    registry.ReplaceEntries({MakeEndpoint("limited", kOwnDomain)}, {}, now);
    registry.RemoveExpired(now);
    CHECK(registry.ChooseOnline(MakeQuery(), now).status ==
          ChoiceStatus::kNoCapacity);
    CHECK(send_for(seconds(20)) == 10);
  }
  SECTION("a daemon that doesn't know the fleet sends none") {
    EndpointRegistry starting({});
    starting.ReplaceEntries({MakeEndpoint("limited", kOwnDomain)}, {}, now);
    starting.OnRateLimit(Id("limited"), 1, {kPerSecond, now}, true, now);
    CHECK(starting.ChooseOnline(MakeQuery(), now + seconds(5)).status ==
          ChoiceStatus::kNoCapacity);
  }
}

// The load: most endpoints of a service name limits, and callers' requests come
// in peaks that the others can't take alone. A turn at a limited endpoint
// serves one request, whether it is short or long; a slot elsewhere serves many
// short requests in the time of one item.
TEST_CASE("items go to limited endpoints and online requests to the others") {
  EndpointRegistry registry({});
  registry.ReplaceEntries({MakeEndpoint("limited", kOwnDomain),
                           MakeEndpoint("unlimited", kOwnDomain)},
                          {}, kStart);
  registry.SetFleetPosition({.index = 0, .daemon_count = 1}, kStart);
  registry.OnRateLimit(Id("limited"), 1, {1, kStart}, true, kStart);
  const auto now = kStart + milliseconds(1500);
  SECTION("while both have room") {
    CHECK(registry.ChooseBatch(MakeQuery(), 0, now).endpoint.id ==
          Id("limited"));
    CHECK(registry.ChooseOnline(MakeQuery(), now).endpoint.id ==
          Id("unlimited"));
  }
  SECTION("an online request takes a turn when the others are busy") {
    StartAttempts(registry, "unlimited", 7);
    CHECK(registry.ChooseOnline(MakeQuery(), now).endpoint.id == Id("limited"));
  }
  SECTION("items of a limited endpoint don't yield to a peak") {
    StartAttempts(registry, "limited", 5, WorkKind::kBatch);
    StartAttempts(registry, "limited", 3, WorkKind::kOnline);
    StartAttempts(registry, "unlimited", 8, WorkKind::kOnline);
    CHECK(registry.BatchToYield(Id("limited"), kRoundUp, now) == 0);
  }
  SECTION("idle slots of a limited endpoint don't hide a peak") {
    StartAttempts(registry, "unlimited", 5, WorkKind::kOnline);
    StartAttempts(registry, "unlimited", 3, WorkKind::kBatch);
    CHECK(registry.OnlineShare(kService, now) > 0.6);
    CHECK(registry.BatchToYield(Id("unlimited"), kRoundUp, now) == 1);
  }
}

// Guards against requests that reach a failure domain which the operators
// evacuate, and against a herd at the rest.
TEST_CASE("an evacuated failure domain gets no new requests") {
  EndpointRegistry registry({});
  registry.ReplaceEntries(
      {MakeEndpoint("near", kOwnDomain), MakeEndpoint("other", kOtherDomain),
       MakeEndpoint("far", kOtherRegion)},
      {}, kStart);
  StartAttempts(registry, "near", 1);
  const auto chosen = [&] {
    return registry.ChooseOnline(MakeQuery(), kStart).endpoint.id;
  };
  REQUIRE(chosen() == Id("near"));
  registry.SetEvacuatedDomains({kOwnDomain.domain});
  CHECK(chosen() == Id("other"));
  CHECK(registry.ChooseBatch(MakeQuery(), 0, kStart).endpoint.id != Id("near"));
  CHECK_FALSE(registry.AcceptsRequests(Id("near"), 1));
  SECTION("what runs there goes on and counts as load") {
    CHECK(registry.Load(Id("near"), kStart).total() == 1);
  }
  SECTION("two evacuations overlap") {
    registry.SetEvacuatedDomains({kOwnDomain.domain, kOtherDomain.domain});
    CHECK(chosen() == Id("far"));
    SECTION("also of all there is: it is refused at once, not held") {
      registry.SetEvacuatedDomains(
          {kOwnDomain.domain, kOtherDomain.domain, kOtherRegion.domain});
      CHECK(registry.ChooseOnline(MakeQuery(), kStart).status ==
            ChoiceStatus::kNoEndpoint);
      CHECK(registry.CountFreeSlots(kService, 0, kStart) == 0);
    }
  }
  SECTION("an unknown domain changes nothing") {
    registry.SetEvacuatedDomains({base::FailureDomain("nowhere")});
    CHECK(chosen() == Id("near"));
  }
  SECTION("it is used again once the evacuation is taken back") {
    registry.SetEvacuatedDomains({});
    CHECK(chosen() == Id("near"));
  }
}

// Guards against a request that is served outside its allowed regions while
// those are full or gone.
TEST_CASE("a request with allowed regions is served nowhere else") {
  EndpointRegistry registry({});
  registry.ReplaceEntries(
      {MakeEndpoint("near", kOwnDomain), MakeEndpoint("far", kOtherRegion)}, {},
      kStart);
  auto query = MakeQuery();
  query.allowed_regions = std::set{kOtherRegion.region};
  CHECK(registry.ChooseOnline(query, kStart).endpoint.id == Id("far"));
  CHECK(registry.ChooseBatch(query, 0, kStart).endpoint.id == Id("far"));
  SECTION("it waits while its regions are full") {
    StartAttempts(registry, "far", 10);
    CHECK(registry.ChooseOnline(query, kStart).status ==
          ChoiceStatus::kNoCapacity);
  }
  SECTION("it is refused at once if they have no endpoint") {
    registry.ReplaceEntries({MakeEndpoint("near", kOwnDomain)}, {}, kStart);
    registry.RemoveExpired(kStart + seconds(3));
    CHECK(registry.ChooseOnline(query, kStart).status ==
          ChoiceStatus::kNoEndpoint);
  }
  SECTION(
      "no region is allowed if route and organisation have none in common") {
    query.allowed_regions =
        Intersect(std::set{kOwnDomain.region}, std::set{kOtherRegion.region});
    CHECK(registry.ChooseOnline(query, kStart).status ==
          ChoiceStatus::kNoEndpoint);
  }
}

// Guards against all daemons sending to an endpoint that has just started.
TEST_CASE("a cold endpoint gets this daemon's part of what it tolerates") {
  EndpointRegistry registry({});
  registry.SetColdStartRules({{kService, {1, seconds(3)}}});
  registry.SetFleetPosition({.index = 0, .daemon_count = 2}, kStart);
  auto cold = MakeEndpoint("cold", kOwnDomain);
  cold.warm_at = kStart + seconds(30);
  auto far = MakeEndpoint("far", kOtherRegion);
  far.warm_at = kStart - seconds(30);
  registry.ReplaceEntries({cold, far}, {}, kStart);
  const auto sent_from = [&](base::Instant from) {
    int sent = 0;
    for (auto now = from; now < from + seconds(10); now += milliseconds(10)) {
      if (registry.ChooseOnline(MakeQuery(), now).endpoint.id != Id("cold"))
        continue;
      registry.OnAttemptStarted(Id("cold"), WorkKind::kOnline, now);
      registry.OnAttemptEnded(Id("cold"), WorkKind::kOnline,
                              AttemptResult::kSuccess, now);
      ++sent;
    }
    return sent;
  };
  CHECK(registry.CountCold(kStart) == 1);
  CHECK(sent_from(kStart) <= 6);
  SECTION("and all that come once it is warm") {
    CHECK(sent_from(kStart + seconds(32)) == 1000);
  }
  SECTION("an entry that doesn't say so is cold when it is new") {
    cold.incarnation = 2;
    cold.warm_at.reset();
    const auto now = kStart + seconds(40);
    registry.ReplaceEntries({cold, far}, {}, now);
    CHECK(registry.CountCold(now) == 1);
    CHECK(registry.CountCold(now + seconds(5)) == 0);
  }
  SECTION("one that was unreachable may have restarted") {
    const auto now = kStart + seconds(40);
    CHECK(registry.CountCold(now) == 0);
    registry.OnAttemptStarted(Id("cold"), WorkKind::kOnline, now);
    registry.OnAttemptEnded(Id("cold"), WorkKind::kOnline,
                            AttemptResult::kUnreachable, now);
    CHECK(registry.CountCold(now + seconds(2)) == 1);
    registry.ReplaceEntries({cold, far}, {}, now);
    CHECK(registry.CountCold(now + seconds(2)) == 1);
  }
  SECTION("a daemon that starts beside warm endpoints uses them at once") {
    EndpointRegistry started({});
    started.SetColdStartRules({{kService, {1, seconds(3)}}});
    cold.warm_at = kStart;
    started.ReplaceEntries({cold}, {}, kStart);
    CHECK(started.ChooseOnline(MakeQuery(), kStart).status ==
          ChoiceStatus::kChosen);
  }
  SECTION("without a rule for its service nothing is paced") {
    registry.SetColdStartRules({});
    CHECK(sent_from(kStart) == 1000);
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
