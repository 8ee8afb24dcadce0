#include "gypsumtrack/policy/serving/request_fingerprint.h"

#include <catch2/catch.hpp>

namespace gypsumtrack::policy {
namespace {

const base::Organisation kClub("club");
const base::Organisation kNone;

TEST_CASE("a request that comes again has the same fingerprint") {
  const auto first = FingerprintOf(kClub, "POST", "/loans/1", "prompt");
  CHECK(first == FingerprintOf(kClub, "POST", "/loans/1", "prompt"));
  CHECK(first.text.size() == 32);
  SECTION("one of another organisation, method, path or body hasn't") {
    CHECK(first != FingerprintOf(kNone, "POST", "/loans/1", "prompt"));
    CHECK(first != FingerprintOf(kClub, "PUT", "/loans/1", "prompt"));
    CHECK(first != FingerprintOf(kClub, "POST", "/loans/2", "prompt"));
    CHECK(first != FingerprintOf(kClub, "POST", "/loans/1", "prompts"));
  }
  SECTION("nor has one whose parts are divided in another way") {
    CHECK(first != FingerprintOf(kClub, "POST", "/loans/", "1prompt"));
    CHECK(first != FingerprintOf(base::Organisation("clubPOST"), "", "/loans/1",
                                 "prompt"));
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
