#include "../src/frame.h"

#include <catch2/catch.hpp>

namespace gypsumtrack::peer {
namespace {

std::string WithoutLength(const std::string& signed_frame) {
  return signed_frame.substr(kLengthBytes);
}

TEST_CASE("a frame is verified once, in order, with its key") {
  FrameAuthenticator signer("key");
  FrameAuthenticator verifier("key");
  const auto first = WithoutLength(signer.Sign({FrameType::kCall, 7, "one"}));
  const auto second = WithoutLength(signer.Sign({FrameType::kReply, 8, "two"}));
  SECTION("frames in order are accepted") {
    const auto one = verifier.Verify(first);
    REQUIRE(one);
    CHECK(one->type == FrameType::kCall);
    CHECK(one->call_id == 7);
    CHECK(one->body == "one");
    CHECK(verifier.Verify(second)->body == "two");
  }
  SECTION("a replayed frame is refused") {
    REQUIRE(verifier.Verify(first));
    CHECK_FALSE(verifier.Verify(first));
  }
  SECTION("a frame after a dropped one is refused") {
    CHECK_FALSE(verifier.Verify(second));
  }
  SECTION("a frame with a bit of any byte flipped is refused") {
    for (std::size_t i = 0; i < first.size(); ++i) {
      auto changed = first;
      changed[i] = static_cast<char>(changed[i] ^ 1);
      FrameAuthenticator fresh("key");
      CHECK_FALSE(fresh.Verify(changed));
    }
  }
  SECTION("a frame signed with another key is refused") {
    FrameAuthenticator other("other");
    CHECK_FALSE(other.Verify(first));
  }
  SECTION("a truncated frame is refused") {
    CHECK_FALSE(verifier.Verify(first.substr(0, 10)));
  }
}

TEST_CASE("each connection and direction has its own key") {
  const Hello caller{1, {"vm-1", 1}, "aa", ""};
  const Hello callee{1, {"vm-2", 2}, "bb", ""};
  const Hello later{1, {"vm-2", 2}, "cc", ""};
  const auto key = DirectionKey("s", Direction::kToCallee, caller, callee);
  CHECK(key != DirectionKey("s", Direction::kToCaller, caller, callee));
  CHECK(key != DirectionKey("s", Direction::kToCallee, caller, later));
  CHECK(key != DirectionKey("t", Direction::kToCallee, caller, callee));
  const Hello other{1, {"vm-1", 9}, "aa", ""};
  CHECK(key != DirectionKey("s", Direction::kToCallee, other, callee));
}

TEST_CASE("a hello is decoded as it was encoded, malformed ones are refused") {
  const Hello hello{3, {"vm", ~0ULL}, "nonce", "proof"};
  const auto decoded = DecodeHello(EncodeHello(hello));
  REQUIRE(decoded);
  CHECK(decoded->version == 3);
  CHECK(decoded->vm == hello.vm);
  CHECK(decoded->proof == "proof");
  CHECK_FALSE(DecodeHello("{"));
  CHECK_FALSE(DecodeHello("[1]"));
  CHECK_FALSE(DecodeHello(R"({"version":-1})"));
  CHECK_FALSE(DecodeHello(std::string(900, '[')));
}

}  // namespace
}  // namespace gypsumtrack::peer
