#include "gypsumtrack/base/base64.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace gypsumtrack::base {
namespace {

TEST_CASE("Base64 encodes bytes and decodes them again") {
  CHECK(EncodeBase64("node-1") == "bm9kZS0x");
  CHECK(EncodeBase64("a") == "YQ==");
  CHECK(EncodeBase64("").empty());
  CHECK(DecodeBase64("q83vEjRWeJA=")->size() == 8);
  SECTION("malformed text is rejected") {
    CHECK_FALSE(DecodeBase64("abc"));
    CHECK_FALSE(DecodeBase64("ab!d"));
  }
  rc::prop("decoding inverts encoding for any bytes",
           [](const std::string& bytes) {
             RC_ASSERT(DecodeBase64(EncodeBase64(bytes)) == bytes);
           });
}

}  // namespace
}  // namespace gypsumtrack::base
