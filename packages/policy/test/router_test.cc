#include "gypsumtrack/policy/router.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace gypsumtrack::policy {
namespace {

using base::EndpointId;
using base::Instant;

const base::Place kHome{base::FailureDomain("cairo"), base::Region("delta")};
const base::Place kNear{base::FailureDomain("alex"), base::Region("delta")};
const base::Place kFar{base::FailureDomain("aswan"), base::Region("upper")};
const base::Service kService("clockdesk");

EndpointId IdOf(std::size_t index) {
  return EndpointId("e" + std::to_string(index));
}

FleetView MakeView(std::size_t count, const base::Place& location = kHome) {
  FleetView view;
  view.location = kHome;
  for (std::size_t i = 0; i < count; ++i) {
    view.endpoints.push_back(
        {IdOf(i), "127.0.0.1:1", location, kService, {}, 4});
  }
  return view;
}

RouteRequest Request(std::uint64_t seed, std::string key = {}) {
  RouteRequest request;
  request.service = kService;
  request.affinity_key = std::move(key);
  request.seed = seed;
  return request;
}

/// Endpoints chosen at least once over many requests.
std::size_t CountChosen(const EndpointRouter& router, const FleetView& view) {
  std::set<std::string> chosen;
  for (std::uint64_t seed = 0; seed < 400; ++seed) {
    const auto* endpoint = router.Choose(view, Request(seed), Instant());
    if (endpoint != nullptr) chosen.insert(endpoint->id.text);
  }
  return chosen.size();
}

TEST_CASE("an endpoint leaves") {
  EndpointRouter router({});
  auto view = MakeView(3);
  rc::prop("it gets nothing once any source says so", [&] {
    auto listed = view;
    EndpointRouter fresh({});
    const auto gone = *rc::gen::inRange<std::size_t>(0, 3);
    if (*rc::gen::arbitrary<bool>()) {
      listed.endpoints[gone].draining = true;
    } else {
      fresh.OnDraining(IdOf(gone));
    }
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto key = std::to_string(seed % 5);
    const auto* chosen = fresh.Choose(listed, Request(seed, key), Instant());
    RC_ASSERT(chosen != nullptr);
    RC_ASSERT(chosen->id != IdOf(gone));
  });
  SECTION("said by itself, a list that lags doesn't bring it back") {
    router.OnDraining(IdOf(0));
    router.OnView(view);
    CHECK(CountChosen(router, view) == 2);
    auto without = view;
    without.endpoints.erase(without.endpoints.begin());
    router.OnView(without);
    router.OnView(view);
    CHECK(CountChosen(router, view) == 3);
  }
}

TEST_CASE("endpoints fail") {
  RouterOptions options;
  auto view = MakeView(6);
  auto fail = [&](EndpointRouter& router, std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      for (std::uint32_t n = 0; n < options.failures_to_eject; ++n) {
        router.OnAttemptStarted(IdOf(i), Instant());
        router.OnAttemptEnded(IdOf(i), HealthSignal::kFailure, {}, Instant());
      }
    }
  };
  SECTION("a few are ejected for a while") {
    EndpointRouter router(options);
    fail(router, 2);
    CHECK(CountChosen(router, view) == 4);
    CHECK_FALSE(router.IsEjected(IdOf(0), Instant(options.ejection)));
  }
  SECTION("the majority never is") {
    EndpointRouter router(options);
    fail(router, 4);
    CHECK(CountChosen(router, view) == 6);
  }
  SECTION("without that rule a fault of this VM would leave two of six") {
    options.keep_majority = false;
    EndpointRouter router(options);
    fail(router, 4);
    CHECK(CountChosen(router, view) == 2);
  }
}

TEST_CASE("own endpoints are busy") {
  EndpointRouter router({});
  auto view = MakeView(2);
  view.endpoints[1].location = kFar;
  router.OnReport({IdOf(1), Instant(), 0});
  SECTION("idle, the near one is taken") {
    CHECK(router.Choose(view, Request(1), Instant())->location == kHome);
  }
  SECTION("a short wait isn't worth the round trip") {
    router.OnReport({IdOf(0), Instant(), 1});
    CHECK(router.Choose(view, Request(1), Instant())->location == kHome);
  }
  SECTION("a long one is") {
    router.OnReport({IdOf(0), Instant(), 40});
    CHECK(router.Choose(view, Request(1), Instant())->location == kFar);
  }
  SECTION("the other domain of the region goes before the other region") {
    view.endpoints.push_back(view.endpoints[1]);
    view.endpoints[2].id = IdOf(2);
    view.endpoints[2].location = kNear;
    router.OnReport({IdOf(2), Instant(), 0});
    router.OnReport({IdOf(0), Instant(), 40});
    CHECK(router.Choose(view, Request(1), Instant())->location == kNear);
  }
}

TEST_CASE("a report is old") {
  EndpointRouter router({});
  const Instant sent(std::chrono::seconds(10));
  for (int i = 0; i < 5; ++i) router.OnAttemptStarted(IdOf(0), sent);
  SECTION("own requests sent after it are added") {
    router.OnReport({IdOf(0), sent - std::chrono::seconds(1), 3});
    CHECK(router.Load(IdOf(0), sent) == 8);
  }
  SECTION("own requests that it holds aren't counted twice") {
    router.OnReport({IdOf(0), sent, 8});
    CHECK(router.Load(IdOf(0), sent) == 8);
  }
  SECTION("it says less the older it is") {
    router.OnReport({IdOf(0), sent, 25});
    router.OnReport({IdOf(1), sent, 0});
    CHECK(router.Load(IdOf(0), sent) == 25);
    CHECK(router.Load(IdOf(0), sent + std::chrono::seconds(60)) == 15);
  }
  SECTION("an older one changes nothing") {
    router.OnReport({IdOf(0), sent, 8});
    router.OnReport({IdOf(0), sent - std::chrono::seconds(1), 100});
    CHECK(router.Load(IdOf(0), sent) == 8);
  }
}

TEST_CASE("prompts share a prefix") {
  const auto view = MakeView(18);
  rc::prop("all VMs send it to the same idle endpoint", [&] {
    const auto key =
        *rc::gen::container<std::string>(8, rc::gen::character<char>());
    const EndpointRouter one({});
    const EndpointRouter two({});
    RC_ASSERT(one.Choose(view, Request(1, key), Instant()) ==
              two.Choose(view, Request(2, key), Instant()));
  });
  SECTION("a crowd on one prefix spreads before its endpoint is full") {
    EndpointRouter router({});
    for (std::uint64_t i = 0; i < 90; ++i) {
      router.OnAttemptStarted(
          router.Choose(view, Request(i, "hot"), Instant())->id, Instant());
    }
    double most = 0;
    for (const auto& endpoint : view.endpoints) {
      most = std::max(most, router.Load(endpoint.id, Instant()));
    }
    CHECK(most <= 8);
  }
}

TEST_CASE("twelve VMs read the same stale report") {
  // One endpoint looks idle, the others moderately busy.
  const auto view = MakeView(18);
  auto most_sent_to_idle = [&](std::uint32_t choices) {
    RouterOptions options;
    options.choices = choices;
    std::uint32_t sent = 0;
    for (std::uint64_t vm = 0; vm < 12; ++vm) {
      EndpointRouter router(options);
      for (std::size_t i = 0; i < 18; ++i) {
        router.OnReport({IdOf(i), Instant(), i == 0 ? 0U : 3U});
      }
      const auto* chosen =
          router.Choose(view, Request(vm * 7919 + 1), Instant());
      if (chosen->id == IdOf(0)) sent++;
    }
    return sent;
  };
  SECTION("a few choices send few of them to the idle one") {
    CHECK(most_sent_to_idle(RouterOptions().choices) <= 6);
  }
  SECTION("the least reported of all draws all twelve") {
    CHECK(most_sent_to_idle(18) == 12);
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
