#include "gypsumtrack/base/memory_budget.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <memory>
#include <numeric>
#include <utility>
#include <vector>

namespace gypsumtrack::base {
namespace {

TEST_CASE("several holders share a budget") {
  const auto budget = std::make_shared<MemoryBudget>(100);
  MemoryCharge first(budget);
  first.Add(60);
  CHECK_FALSE(budget->is_exceeded());
  {
    MemoryCharge second(budget);
    second.Add(40);
    CHECK_FALSE(budget->is_exceeded());
    second.Add(1);
    CHECK(budget->is_exceeded());
    SECTION("and one gives back a part") {
      first.Remove(1);
      CHECK(first.bytes() == 59);
      CHECK_FALSE(budget->is_exceeded());
    }
  }
  SECTION("and one is gone") {
    CHECK(budget->held_bytes() == first.bytes());
    CHECK_FALSE(budget->is_exceeded());
  }
}

// Guards against bytes that are given back twice, or never.
TEST_CASE("a charge is moved") {
  const auto budget = std::make_shared<MemoryBudget>();
  {
    std::vector<MemoryCharge> charges;
    for (std::uint64_t bytes = 1; bytes <= 20; ++bytes) {
      charges.emplace_back(budget);
      charges.back().Add(bytes);
    }
    CHECK(budget->held_bytes() == 210);
    SECTION("onto another one, which gives back what it held") {
      charges[0] = std::move(charges[19]);
      CHECK(budget->held_bytes() == 209);
      CHECK(charges[0].bytes() == 20);
    }
  }
  CHECK(budget->held_bytes() == 0);
}

TEST_CASE("a budget holds what its charges do") {
  rc::prop("after any order of charges and releases", [] {
    const auto budget = std::make_shared<MemoryBudget>();
    std::vector<MemoryCharge> charges;
    for (int i = 0; i < 4; ++i) charges.emplace_back(budget);
    for (int step = 0; step < 100; ++step) {
      auto& charge = charges[*rc::gen::inRange<std::size_t>(0, 4)];
      if (*rc::gen::arbitrary<bool>()) {
        charge.Add(*rc::gen::inRange<std::uint64_t>(0, 1000));
      } else {
        charge.Remove(*rc::gen::inRange<std::uint64_t>(0, charge.bytes() + 1));
      }
      const auto sum = std::accumulate(
          charges.begin(), charges.end(), std::uint64_t{0},
          [](auto total, const auto& each) { return total + each.bytes(); });
      RC_ASSERT(budget->held_bytes() == sum);
    }
    charges.clear();
    RC_ASSERT(budget->held_bytes() == 0U);
  });
}

}  // namespace
}  // namespace gypsumtrack::base
