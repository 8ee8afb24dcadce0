#include "gypsumtrack/peer/limits_codec.h"

#include <catch2/catch.hpp>
#include <vector>

namespace gypsumtrack::peer {
namespace {

using policy::LimitKey;
using policy::LimitMessage;

std::vector<LimitMessage> MessagesOfAllKinds() {
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

TEST_CASE("every limit message is encoded and decoded") {
  for (const auto& message : MessagesOfAllKinds()) {
    const auto json = EncodeLimitMessage(message);
    SECTION("decoded as it was encoded, kind " +
            std::to_string(message.index())) {
      const auto decoded = DecodeLimitMessage(json);
      REQUIRE(decoded.ok());
      CHECK(*decoded == message);
    }
    SECTION("refused with a field missing, kind " +
            std::to_string(message.index())) {
      auto truncated = json;
      Json::Value last;
      truncated.removeIndex(truncated.size() - 1, &last);
      CHECK_FALSE(DecodeLimitMessage(truncated).ok());
    }
    SECTION("refused with a field too many, kind " +
            std::to_string(message.index())) {
      auto extended = json;
      extended.append(1);
      CHECK_FALSE(DecodeLimitMessage(extended).ok());
    }
  }
  SECTION("other JSON values are refused") {
    CHECK_FALSE(DecodeLimitMessage(Json::Value("x")).ok());
    CHECK_FALSE(DecodeLimitMessage(Json::Value(Json::arrayValue)).ok());
  }
}

}  // namespace
}  // namespace gypsumtrack::peer
