#include "gypsumtrack/base/hash.h"

#include <catch2/catch.hpp>
#include <vector>

namespace gypsumtrack::base {
namespace {

TEST_CASE("digests match published test vectors") {
  CHECK(Sha256Hex("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(HmacSha256Hex("key", "The quick brown fox jumps over the lazy dog") ==
        "f7bc83f430538424b13298e6aa6fb143ef4d59a14946175997479dbc2d1a3cd8");
}

TEST_CASE("removing a candidate reassigns only its own keys") {
  const std::vector<std::string> all = {"vm-1", "vm-2", "vm-3", "vm-4"};
  const auto owner = [&](const std::string& key, std::size_t count) {
    std::size_t best = 0;
    for (std::size_t i = 1; i < count; ++i) {
      if (RendezvousScore(key, all[i]) > RendezvousScore(key, all[best])) {
        best = i;
      }
    }
    return best;
  };
  for (int i = 0; i < 1000; ++i) {
    const auto key = "organisation-" + std::to_string(i);
    const auto before = owner(key, 4);
    if (before != 3) CHECK(owner(key, 3) == before);
  }
}

TEST_CASE("secrets compare by value and random values differ") {
  CHECK(ConstantTimeEqual("same", "same"));
  CHECK_FALSE(ConstantTimeEqual("same", "some"));
  CHECK_FALSE(ConstantTimeEqual("same", "longer"));
  CHECK(RandomHex(16).size() == 32);
  CHECK(RandomHex(16) != RandomHex(16));
}

}  // namespace
}  // namespace gypsumtrack::base
