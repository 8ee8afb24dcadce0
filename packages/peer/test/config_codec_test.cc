#include "gypsumtrack/peer/config_codec.h"

#include <catch2/catch.hpp>

namespace gypsumtrack::peer {
namespace {

policy::Change MakeRulesChange() {
  policy::Rule rule;
  rule.id.organisation = base::Organisation("cairo");
  rule.id.service = base::Service("clockdesk");
  rule.id.route = {"POST", "/confirm"};
  rule.rate_per_second = 0.1;
  rule.burst = 3;
  rule.idempotent = false;
  rule.isolated = policy::IsolatedMode::kRefuse;
  rule.comment = "events office: cup = \"final\"";
  auto slower = rule;
  slower.rate_per_second = 0.05;
  const base::WallTime at{std::chrono::milliseconds(1764806400123)};
  return {
      7,    5,
      "op", "amira",
      at,   policy::RulesDelta{{{rule, slower, 4}, {rule, std::nullopt, 2}}}};
}

TEST_CASE("every configuration message is decoded as it was encoded") {
  const auto change = MakeRulesChange();
  const policy::KeyGrant grant{"hash", base::Organisation("cairo"), "main"};
  policy::ConfigState state;
  state.revision = 9;
  const policy::ChangeOrigin origin{7, "amira", change.changed_at};
  const auto& rule =
      *std::get<policy::RulesDelta>(change.body).edits.front().after;
  state.rules[rule.id] = {rule, origin};
  state.keys["hash"] = {grant, origin};
  state.withdrawn["old"] = 3;
  const std::vector<policy::ConfigMessage> messages = {
      policy::AnnounceHead{7, std::chrono::milliseconds(3), std::nullopt,
                           ~0ULL},
      policy::PushChanges{{change,
                           {8, 7, "op", "b", {}, grant},
                           {9, 8, "op", "c", {}, policy::KeyWithdrawal{{"h"}}}},
                          9},
      policy::FetchChanges{4},
      policy::PushState{state},
      policy::ReportRevisions{7, {{6, 1}, {7, 3}}},
      policy::WithdrawKeys{"round", {"a", "b"}, true},
      policy::WithdrawAck{"round", 3, 4},
      policy::PendingWithdrawals{{"a"}, true},
      policy::QueryStatus{"round"},
      policy::ReportStatus{"round", {{7, 3}}, 4},
  };
  for (const auto& message : messages) {
    const auto text = WriteJson(EncodeConfigMessage(message));
    const auto value = ReadJson(text);
    REQUIRE(value.ok());
    const auto decoded = DecodeConfigMessage(*value);
    REQUIRE(decoded.ok());
    CHECK((*decoded == message));
  }
}

TEST_CASE("malformed configuration messages are refused") {
  for (const auto* text :
       {"null", "[]", "{}", R"({"push":{}})", R"({"push":{"head":1}})",
        R"({"fetch":{"after":-1}})", R"({"fetch":{"after":1},"status":{}})",
        R"({"push":{"head":1,"changes":[{"revision":1}]}})",
        R"({"withdraw":{"round":"r","hashes":[1]}})", R"({"unheard":{}})"}) {
    const auto value = ReadJson(text);
    CHECK_FALSE((value.ok() && DecodeConfigMessage(*value).ok()));
  }
  CHECK_FALSE(ReadJson("{").ok());
  CHECK_FALSE(ReadJson(std::string(100'000, '[')).ok());
}

}  // namespace
}  // namespace gypsumtrack::peer
