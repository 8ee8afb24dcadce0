#include "gypsumtrack/policy/router.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace gypsumtrack::policy {
namespace {

using base::EndpointId;
using base::Instant;

const base::Location kOwnDomain{base::FailureDomain("cairo"),
                                base::Region("delta")};
const base::Location kOwnRegion{base::FailureDomain("alex"),
                                base::Region("delta")};
const base::Location kOtherRegion{base::FailureDomain("aswan"),
                                  base::Region("upper")};
const base::Service kService("clockdesk");

EndpointId IdOf(std::size_t index) {
  return EndpointId("e" + std::to_string(index));
}

FleetView MakeView(std::size_t count,
                   const base::Location& location = kOwnDomain) {
  FleetView view;
  view.location = kOwnDomain;
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

/// Number of endpoints chosen at least once over many requests.
std::size_t CountChosen(const EndpointRouter& router, const FleetView& view) {
  std::set<std::string> chosen;
  for (std::uint64_t seed = 0; seed < 400; ++seed) {
    const auto* endpoint = router.Choose(view, Request(seed), Instant());
    if (endpoint != nullptr) chosen.insert(endpoint->id.text);
  }
  return chosen.size();
}

TEST_CASE("an endpoint is draining") {
  EndpointRouter router({});
  auto view = MakeView(3);
  rc::prop("it gets no requests once any source reports it", [&] {
    auto listed = view;
    EndpointRouter fresh({});
    const auto draining = *rc::gen::inRange<std::size_t>(0, 3);
    if (*rc::gen::arbitrary<bool>()) {
      listed.endpoints[draining].draining = true;
    } else {
      fresh.OnDraining(IdOf(draining));
    }
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto key = std::to_string(seed % 5);
    const auto* chosen = fresh.Choose(listed, Request(seed, key), Instant());
    RC_ASSERT(chosen != nullptr);
    RC_ASSERT(chosen->id != IdOf(draining));
  });
  SECTION("a lagging list doesn't override its own report") {
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
  auto fail_endpoints = [&](EndpointRouter& router, std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      for (std::uint32_t n = 0; n < options.failures_to_eject; ++n) {
        router.OnAttemptStarted(IdOf(i), Instant());
        router.OnAttemptEnded(IdOf(i), HealthSignal::kFailure, {}, Instant());
      }
    }
  };
  SECTION("a minority is ejected for a limited time") {
    EndpointRouter router(options);
    fail_endpoints(router, 2);
    CHECK(CountChosen(router, view) == 4);
    CHECK_FALSE(router.IsEjected(IdOf(0), Instant(options.ejection_duration)));
  }
  SECTION("a majority is never ejected") {
    EndpointRouter router(options);
    fail_endpoints(router, 4);
    CHECK(CountChosen(router, view) == 6);
  }
  SECTION("without that rule a fault of this VM leaves two of six") {
    options.limit_ejections = false;
    EndpointRouter router(options);
    fail_endpoints(router, 4);
    CHECK(CountChosen(router, view) == 2);
  }
}

TEST_CASE("endpoints of the own domain are busy") {
  EndpointRouter router({});
  auto view = MakeView(2);
  view.endpoints[1].location = kOtherRegion;
  router.OnReport({IdOf(1), Instant(), 0});
  SECTION("an idle endpoint of the own domain is chosen") {
    CHECK(router.Choose(view, Request(1), Instant())->location == kOwnDomain);
  }
  SECTION("a wait shorter than the round trip doesn't change the choice") {
    router.OnReport({IdOf(0), Instant(), 1});
    CHECK(router.Choose(view, Request(1), Instant())->location == kOwnDomain);
  }
  SECTION("a wait longer than the round trip moves it to another region") {
    router.OnReport({IdOf(0), Instant(), 40});
    CHECK(router.Choose(view, Request(1), Instant())->location == kOtherRegion);
  }
  SECTION("another domain of the own region is preferred to another region") {
    view.endpoints.push_back(view.endpoints[1]);
    view.endpoints[2].id = IdOf(2);
    view.endpoints[2].location = kOwnRegion;
    router.OnReport({IdOf(2), Instant(), 0});
    router.OnReport({IdOf(0), Instant(), 40});
    CHECK(router.Choose(view, Request(1), Instant())->location == kOwnRegion);
  }
}

TEST_CASE("a load report ages") {
  EndpointRouter router({});
  const Instant attempts_at(std::chrono::seconds(10));
  for (int i = 0; i < 5; ++i) router.OnAttemptStarted(IdOf(0), attempts_at);
  SECTION("own requests sent after the report are added") {
    router.OnReport({IdOf(0), attempts_at - std::chrono::seconds(1), 3});
    CHECK(router.Load(IdOf(0), attempts_at) == 8);
  }
  SECTION("own requests included in the report aren't counted twice") {
    router.OnReport({IdOf(0), attempts_at, 8});
    CHECK(router.Load(IdOf(0), attempts_at) == 8);
  }
  SECTION("the reported load decays to the mean") {
    router.OnReport({IdOf(0), attempts_at, 25});
    router.OnReport({IdOf(1), attempts_at, 0});
    CHECK(router.Load(IdOf(0), attempts_at) == 25);
    CHECK(router.Load(IdOf(0), attempts_at + std::chrono::seconds(60)) == 15);
  }
  SECTION("a report older than the last one is ignored") {
    router.OnReport({IdOf(0), attempts_at, 8});
    router.OnReport({IdOf(0), attempts_at - std::chrono::seconds(1), 100});
    CHECK(router.Load(IdOf(0), attempts_at) == 8);
  }
}

TEST_CASE("prompts share a prefix") {
  const auto view = MakeView(18);
  rc::prop("all VMs choose the same idle endpoint", [&] {
    const auto key =
        *rc::gen::container<std::string>(8, rc::gen::character<char>());
    const EndpointRouter one({});
    const EndpointRouter two({});
    RC_ASSERT(one.Choose(view, Request(1, key), Instant()) ==
              two.Choose(view, Request(2, key), Instant()));
  });
  SECTION("requests with one prefix spread before its endpoint is full") {
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
  // One endpoint is reported idle, the others moderately busy.
  const auto view = MakeView(18);
  auto count_choosing_idle = [&](std::uint32_t candidates) {
    RouterOptions options;
    options.candidates_per_tier = candidates;
    std::uint32_t count = 0;
    for (std::uint64_t vm = 0; vm < 12; ++vm) {
      EndpointRouter router(options);
      for (std::size_t i = 0; i < 18; ++i) {
        router.OnReport({IdOf(i), Instant(), i == 0 ? 0U : 3U});
      }
      const auto* chosen =
          router.Choose(view, Request(vm * 7919 + 1), Instant());
      if (chosen->id == IdOf(0)) count++;
    }
    return count;
  };
  SECTION("with few candidates, few VMs choose the idle endpoint") {
    CHECK(count_choosing_idle(RouterOptions().candidates_per_tier) <= 6);
  }
  SECTION("with all endpoints as candidates, all VMs choose it") {
    CHECK(count_choosing_idle(18) == 12);
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
