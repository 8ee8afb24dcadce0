#include "gypsumtrack/policy/output_limit.h"

#include <catch2/catch.hpp>
#include <memory>

namespace gypsumtrack::policy {
namespace {

TEST_CASE("an output has limits") {
  const OutputLimits limits{1000, 100, 2};
  const auto memory = std::make_shared<base::MemoryBudget>(2000);
  base::MemoryCharge others(memory);
  const auto exceeded = [&](const OutputSize& size, std::uint64_t tokens) {
    return FindExceededLimit(limits, size, tokens, *memory);
  };
  SECTION("of events, if its request names tokens") {
    CHECK_FALSE(exceeded({0, 7}, 5));
    CHECK(exceeded({0, 8}, 5) == OutputLimit::kEvents);
    CHECK_FALSE(exceeded({0, 8}, 0));
  }
  SECTION("of bytes") {
    CHECK_FALSE(exceeded({1000, 1}, 5));
    CHECK(exceeded({1001, 1}, 5) == OutputLimit::kBytes);
  }
  SECTION("of the memory that all outputs share") {
    others.Add(2000);
    CHECK_FALSE(exceeded({1000, 1}, 5));
    others.Add(1);
    CHECK(exceeded({101, 1}, 5) == OutputLimit::kMemory);
    SECTION("which doesn't hold up small ones") {
      CHECK_FALSE(exceeded({100, 1}, 5));
    }
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
