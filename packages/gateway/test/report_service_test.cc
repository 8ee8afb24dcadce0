#include "gypsumtrack/gateway/report_service.h"

#include <catch2/catch.hpp>

namespace gypsumtrack::gateway {
namespace {

TEST_CASE("counts survive encoding and decoding") {
  telemetry::ServiceCounts counts;
  auto& series =
      counts[{base::Organisation("cairo"), base::Service("clockdesk")}];
  series[0].events[3] = 7;
  series[3].latency[5] = 1ULL << 40;
  const auto decoded = DecodeCounts(EncodeCounts(counts));
  REQUIRE(decoded.ok());
  CHECK(*decoded == counts);
  SECTION("malformed counts are rejected") {
    auto json = EncodeCounts(counts);
    json[0]["windows"][1]["events"].append(1);
    CHECK_FALSE(DecodeCounts(json).ok());
    CHECK_FALSE(DecodeCounts(Json::Value("text")).ok());
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
