#include "gypsumtrack/policy/rule.h"

#include <catch2/catch.hpp>

namespace gypsumtrack::policy {
namespace {

TEST_CASE("rule files are parsed and formatted") {
  const std::string line =
      "allow org=cairo service=clockdesk model=loans rate=40/s burst=80 "
      "bulk=yes share=2 route=POST:/confirm idempotent=no  # events office: "
      "cup";
  SECTION("a line sets all fields") {
    const auto rules = ParseRules("# header\n\n" + line + "\n");
    REQUIRE(rules.ok());
    REQUIRE(rules->size() == 1);
    const auto& rule = rules->front();
    CHECK(rule.id.organisation.text == "cairo");
    CHECK(rule.rate_per_second == 40);
    CHECK(rule.burst == 80);
    CHECK(rule.bulk);
    CHECK_FALSE(rule.idempotent);
    CHECK(rule.comment == "events office: cup");
    SECTION("and formatting it reproduces the line") {
      CHECK(FormatRules(*rules) == line + "\n");
    }
  }
  SECTION("an error message has the line and column") {
    const auto message = [](const std::string& text) {
      const auto rules = ParseRules(text);
      return rules.ok() ? "accepted" : rules.error().message;
    };
    CHECK(message("allow org=a service=s rate=4 burst=1 # x") ==
          "1:23: expected a rate with its unit, such as 40/s");
    CHECK(message("allow org=a service=s rate=4/s burst=0 # x") ==
          "1:32: expected a burst of one or more");
    CHECK(message("\nallow org=a service=s rate=4/s burst=1") ==
          "2:39: expected a # comment naming who asked");
    CHECK(message("deny org=a # x") == "1:1: expected allow or open");
    CHECK(message(line + "\n" + line) ==
          "2:1: expected no second rule for the same caller and route as "
          "line 1");
    CHECK(message("allow org=a;b service=s rate=4/s burst=1 # x") ==
          "1:7: expected a name of letters, digits and - _ . : /");
    CHECK(message("allow org=a service=s rate=4/s burst=1 tier=2 # x") ==
          "1:40: expected one of org, service, model, rate, burst, bulk, "
          "share, route, idempotent, isolated");
    CHECK(message("open service=s route=FETCH:/a # x") ==
          "1:16: expected a route whose method is * or one of GET, HEAD, POST, "
          "PUT, PATCH, DELETE, OPTIONS");
    CHECK(message("open service=s route=GET:/a rate=1/s # x") ==
          "1:29: expected no rate on an open rule");
    CHECK(message("allow org=a service=s rate=inf/s burst=1 # x") ==
          "1:23: expected a rate above zero and up to 1000000/s, such as 40/s");
  }
  SECTION("a route for any method is formatted with a wildcard") {
    const std::string open = "open service=clockdesk route=*:/health  # desk\n";
    const auto rules = ParseRules(open);
    REQUIRE(rules.ok());
    CHECK(rules->front().id.route.method.empty());
    CHECK(FormatRules(*rules) == open);
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
