#include "gypsumtrack/peer/limits_codec.h"

#include <catch2/catch.hpp>
#include <vector>

namespace gypsumtrack::peer {
namespace {

using policy::LimitKey;
using policy::LimitMessage;

std::vector<LimitMessage> AllKinds() {
  policy::LoanReport report;
  report.key = LimitKey("cairo:0000002a");
  report.role = policy::LoanRole::kHome;
  report.number = 7;
  report.acknowledged_sequence = ~0ULL;
  report.held = {40'000'000, 80'000'000};
  report.returned = 3;
  report.waiting = 5;
  report.prefetch = 6;
  report.whole_share = true;
  report.demand = 9;
  policy::LoanGrant grant;
  grant.key = report.key;
  grant.number = 7;
  grant.sequence = 8;
  grant.added = {1, 2};
  grant.tokens = 2;
  grant.ttl = std::chrono::seconds(2);
  grant.retry_after = std::chrono::milliseconds(5);
  grant.demand = 11;
  const base::VmId vm{"vm-1", 12};
  return {report,
          grant,
          policy::LoanRecall{report.key, policy::LoanRole::kHome},
          policy::HomeHint{report.key, vm, "127.0.0.1:1"},
          policy::ShareRowChanged{report.key},
          policy::LeaseVoteRequest{3},
          policy::LeaseVoteReply{4},
          policy::FenceRequest{vm},
          policy::FenceConsent{vm}};
}

TEST_CASE("a message about limits crosses the wire") {
  for (const auto& message : AllKinds()) {
    const auto json = EncodeLimitMessage(message);
    SECTION("and is the same, kind " + std::to_string(message.index())) {
      const auto decoded = DecodeLimitMessage(json);
      REQUIRE(decoded.ok());
      CHECK(*decoded == message);
    }
    SECTION("but not cut short, kind " + std::to_string(message.index())) {
      auto cut = json;
      Json::Value last;
      cut.removeIndex(cut.size() - 1, &last);
      CHECK_FALSE(DecodeLimitMessage(cut).ok());
    }
    SECTION("or with more than its fields, kind " +
            std::to_string(message.index())) {
      auto more = json;
      more.append(1);
      CHECK_FALSE(DecodeLimitMessage(more).ok());
    }
  }
  SECTION("other JSON is refused") {
    CHECK_FALSE(DecodeLimitMessage(Json::Value("x")).ok());
    CHECK_FALSE(DecodeLimitMessage(Json::Value(Json::arrayValue)).ok());
  }
}

}  // namespace
}  // namespace gypsumtrack::peer
