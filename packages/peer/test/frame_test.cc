#include "../src/frame.h"

#include <catch2/catch.hpp>

namespace gypsumtrack::peer {
namespace {

std::string Content(const std::string& sealed) {
  return sealed.substr(kLengthBytes);
}

TEST_CASE("a frame opens once, in order, for the holder of the key") {
  FrameCipher sealer("key");
  FrameCipher opener("key");
  const auto first = Content(sealer.Seal({FrameType::kCall, 7, "one"}));
  const auto second = Content(sealer.Seal({FrameType::kReply, 8, "two"}));
  SECTION("in order") {
    const auto one = opener.Open(first);
    REQUIRE(one);
    CHECK(one->type == FrameType::kCall);
    CHECK(one->call == 7);
    CHECK(one->body == "one");
    CHECK(opener.Open(second)->body == "two");
  }
  SECTION("not again") {
    REQUIRE(opener.Open(first));
    CHECK_FALSE(opener.Open(first));
  }
  SECTION("not with one left out") { CHECK_FALSE(opener.Open(second)); }
  SECTION("not with any bit changed") {
    for (std::size_t i = 0; i < first.size(); ++i) {
      auto changed = first;
      changed[i] = static_cast<char>(changed[i] ^ 1);
      FrameCipher fresh("key");
      CHECK_FALSE(fresh.Open(changed));
    }
  }
  SECTION("not under another key") {
    FrameCipher other("other");
    CHECK_FALSE(other.Open(first));
  }
  SECTION("not cut short") { CHECK_FALSE(opener.Open(first.substr(0, 10))); }
}

TEST_CASE("a connection's keys are its own") {
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

TEST_CASE("a hello is read back, and nonsense isn't") {
  const Hello hello{3, {"vm", ~0ULL}, "nonce", "proof"};
  const auto read = DecodeHello(EncodeHello(hello));
  REQUIRE(read);
  CHECK(read->version == 3);
  CHECK(read->vm == hello.vm);
  CHECK(read->proof == "proof");
  CHECK_FALSE(DecodeHello("{"));
  CHECK_FALSE(DecodeHello("[1]"));
  CHECK_FALSE(DecodeHello(R"({"version":-1})"));
  CHECK_FALSE(DecodeHello(std::string(900, '[')));
}

}  // namespace
}  // namespace gypsumtrack::peer
