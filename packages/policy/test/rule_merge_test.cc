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

/// Merges `file`, edited from revision `base`, into the log as the next
/// revision.
void MergeAndApply(ConfigLog& log, base::Revision base, const RuleSet& file,
                   const char* author) {
  auto edits = MergeRules(log, base, file);
  REQUIRE(edits.ok());
  const auto revision = log.head() + 1;
  REQUIRE(
      log.Apply({revision, base, "op", author, {}, RulesDelta{*edits}}).ok());
}

TEST_CASE("rule files edited from the same revision are merged") {
  const auto cairo = MakeRule("cairo", 4, "events office");
  const auto aswan = MakeRule("aswan", 2, "club desk");
  ConfigLog log;
  MergeAndApply(log, 0, {cairo, aswan}, "amira");
  const auto faster = MakeRule("cairo", 9, "national cup");
  MergeAndApply(log, 1, {faster, aswan}, "amira");

  SECTION("edits of different rules are both applied") {
    const auto slower = MakeRule("aswan", 1, "quiet month");
    const auto merged = MergeRules(log, 1, {cairo, slower});
    REQUIRE(merged.ok());
    REQUIRE(merged->size() == 1);
    CHECK(merged->front().after == slower);
    CHECK(merged->front().replaces == 1);
  }
  SECTION("repeating an edit changes nothing") {
    const auto merged = MergeRules(log, 1, {faster, aswan});
    REQUIRE(merged.ok());
    CHECK(merged->empty());
  }
  SECTION("the error for a conflicting edit describes the other change") {
    const auto merged =
        MergeRules(log, 1, {MakeRule("cairo", 5, "spring cup"), aswan});
    REQUIRE_FALSE(merged.ok());
    CHECK(merged.error().Is(base::Errc::kConflict));
    CHECK(merged.error().message ==
          "allow org=cairo service=clockdesk: changed in revision 2 by amira "
          "(\"national cup\")");
  }
  SECTION("the error for an edit of a removed rule describes the removal") {
    MergeAndApply(log, 2, {aswan}, "tarek");
    const auto merged =
        MergeRules(log, 2, {MakeRule("cairo", 5, "spring cup"), aswan});
    REQUIRE_FALSE(merged.ok());
    CHECK(merged.error().message ==
          "allow org=cairo service=clockdesk: removed in revision 3 by tarek "
          "(\"national cup\")");
  }
  SECTION("a file edited from the empty log removes nothing") {
    const auto merged = MergeRules(log, 0, {MakeRule("luxor", 1, "new club")});
    REQUIRE(merged.ok());
    CHECK(merged->size() == 1);
  }
  SECTION("a base revision above the head is rejected") {
    CHECK(MergeRules(log, 9, {}).error().Is(base::Errc::kNotFound));
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
