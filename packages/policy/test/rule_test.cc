#include "gypsumtrack/policy/rule.h"

#include <catch2/catch.hpp>

namespace gypsumtrack::policy {
namespace {

TEST_CASE("an operator writes a rule file") {
  const std::string line =
      "allow org=cairo service=clockdesk model=loans rate=40/s burst=80 "
      "bulk=yes share=2 route=POST:/confirm idempotent=no  # events office: "
      "cup";
  SECTION("a line says all") {
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
    SECTION("and prints back the same") {
      CHECK(FormatRules(*rules) == line + "\n");
    }
  }
  SECTION("a mistake is named with its line and column") {
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
          "2:1: expected no second rule for the same caller and route");
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
