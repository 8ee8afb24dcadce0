#include "gypsumtrack/policy/rule_merge.h"

#include <catch2/catch.hpp>

namespace gypsumtrack::policy {
namespace {

Rule MakeRule(const char* organisation, double rate, const char* comment) {
  Rule rule;
  rule.id.organisation = base::Organisation(organisation);
  rule.id.service = base::Service("clockdesk");
  rule.rate_per_second = rate;
  rule.burst = 8;
  rule.comment = comment;
  return rule;
}

/// Merges the file into the log as the next revision.
void Accept(ConfigLog& log, base::Revision base, const RuleSet& file,
            const char* author) {
  auto edits = MergeRules(log, base, file);
  REQUIRE(edits.ok());
  const auto revision = log.head() + 1;
  REQUIRE(
      log.Apply({revision, base, "op", author, {}, RulesDelta{*edits}}).ok());
}

TEST_CASE("two offices edit the same rules") {
  const auto cairo = MakeRule("cairo", 4, "events office");
  const auto aswan = MakeRule("aswan", 2, "club desk");
  ConfigLog log;
  Accept(log, 0, {cairo, aswan}, "amira");
  const auto faster = MakeRule("cairo", 9, "national cup");
  Accept(log, 1, {faster, aswan}, "amira");

  SECTION("edits of different rules both stand") {
    const auto slower = MakeRule("aswan", 1, "quiet month");
    const auto merged = MergeRules(log, 1, {cairo, slower});
    REQUIRE(merged.ok());
    REQUIRE(merged->size() == 1);
    CHECK(merged->front().after == slower);
    CHECK(merged->front().replaces == 1);
  }
  SECTION("the same edit again changes nothing") {
    const auto merged = MergeRules(log, 1, {faster, aswan});
    REQUIRE(merged.ok());
    CHECK(merged->empty());
  }
  SECTION("a conflicting edit names the other change") {
    const auto merged =
        MergeRules(log, 1, {MakeRule("cairo", 5, "spring cup"), aswan});
    REQUIRE_FALSE(merged.ok());
    CHECK(merged.error().Is(base::Errc::kConflict));
    CHECK(merged.error().message ==
          "allow org=cairo service=clockdesk: changed in revision 2 by amira "
          "(\"national cup\")");
  }
  SECTION("an edit of a removed rule names the removal") {
    Accept(log, 2, {aswan}, "tarek");
    const auto merged =
        MergeRules(log, 2, {MakeRule("cairo", 5, "spring cup"), aswan});
    REQUIRE_FALSE(merged.ok());
    CHECK(merged.error().message ==
          "allow org=cairo service=clockdesk: removed in revision 3 by tarek "
          "(\"national cup\")");
  }
  SECTION("a file against the empty log removes nothing") {
    const auto merged = MergeRules(log, 0, {MakeRule("luxor", 1, "new club")});
    REQUIRE(merged.ok());
    CHECK(merged->size() == 1);
  }
  SECTION("a base that isn't reached is refused") {
    CHECK(MergeRules(log, 9, {}).error().Is(base::Errc::kNotFound));
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
