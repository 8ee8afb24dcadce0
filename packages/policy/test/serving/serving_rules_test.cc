#include "gypsumtrack/policy/serving/serving_rules.h"

#include <catch2/catch.hpp>
#include <map>

namespace gypsumtrack::policy {
namespace {

RouteRule MakeRoute(std::string name, std::string host, std::string prefix) {
  RouteRule route;
  route.name = std::move(name);
  route.host = std::move(host);
  route.prefix = std::move(prefix);
  route.services = {{base::Service("clocks"), 1}};
  return route;
}

TEST_CASE("routes, key holders and services are found") {
  ServingRules rules;
  rules.routes = {MakeRoute("all", "cairo.example", "/"),
                  MakeRoute("loans", "cairo.example", "/loans/"),
                  MakeRoute("old", "cairo.example", "/loans/old/"),
                  MakeRoute("other", "alex.example", "/loans/")};
  rules.organisations = {{base::Organisation("club"), 5, 5, std::nullopt},
                         {base::Organisation("events"), 0, 0, 1}};
  rules.key_holders = {{"k1", 0}, {"k2", 1}, {"k3", 1}};

  SECTION("the longest matching prefix of the host wins") {
    CHECK(FindRoute(rules, "cairo.example", "/loans/7")->name == "loans");
    CHECK(FindRoute(rules, "cairo.example", "/loans/old/7")->name == "old");
    CHECK(FindRoute(rules, "cairo.example", "/else")->name == "all");
    CHECK(FindRoute(rules, "alex.example", "/loans/7")->name == "other");
  }
  SECTION("nothing is found for an unknown host or path") {
    CHECK(FindRoute(rules, "giza.example", "/loans/7") == nullptr);
    CHECK(FindRoute(rules, "alex.example", "/loans") == nullptr);
  }
  SECTION("each key has one holder") {
    CHECK(FindKeyHolder(rules, "k1")->name.text == "club");
    CHECK(FindKeyHolder(rules, "k3")->name.text == "events");
    CHECK(FindKeyHolder(rules, "k4") == nullptr);
    CHECK(FindKeyHolder(rules, "") == nullptr);
  }
  SECTION("routes and organisations are found by name") {
    CHECK(FindRouteByName(rules, "old")->prefix == "/loans/old/");
    CHECK(FindRouteByName(rules, "new") == nullptr);
    CHECK(FindOrganisation(rules, "club")->rate == 5);
    CHECK(FindOrganisation(rules, "nobody") == nullptr);
  }
  SECTION("requests are split among services by weight") {
    auto route = MakeRoute("split", "h", "/");
    route.services = {{base::Service("a"), 90},
                      {base::Service("b"), 10},
                      {base::Service("c"), 0}};
    std::map<std::string, int> picked;
    for (std::uint64_t random = 0; random < 1000; ++random) {
      ++picked[PickService(route, random).text];
    }
    CHECK(picked == std::map<std::string, int>{{"a", 900}, {"b", 100}});
    SECTION("the route leads to those that can be picked") {
      CHECK(LeadsTo(route, base::Service("a")));
      CHECK(LeadsTo(route, base::Service("b")));
      CHECK_FALSE(LeadsTo(route, base::Service("c")));
      CHECK_FALSE(LeadsTo(route, base::Service("d")));
    }
    SECTION("without weights it leads to the first") {
      for (auto& each : route.services) each.weight = 0;
      CHECK(PickService(route, 7).text == "a");
      CHECK(LeadsTo(route, base::Service("a")));
      CHECK_FALSE(LeadsTo(route, base::Service("b")));
    }
  }
}

TEST_CASE("only idempotent requests and resumable streams may run again") {
  auto route = MakeRoute("r", "h", "/");
  SECTION("idempotent requests") {
    route.kind = RequestKind::kIdempotent;
    CHECK(MayRunAgain(route));
  }
  SECTION("resumable streams, but no others") {
    route.kind = RequestKind::kStream;
    CHECK_FALSE(MayRunAgain(route));
    route.resumable = true;
    CHECK(MayRunAgain(route));
  }
  SECTION("other requests never") {
    route.kind = RequestKind::kNonIdempotent;
    route.resumable = true;
    CHECK_FALSE(MayRunAgain(route));
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
