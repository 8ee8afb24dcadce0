#include "../src/generation.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

namespace gypsumtrack::gateway {
namespace {

constexpr std::uint64_t kMaxBudgetBytes = std::uint64_t{1024} * 1024;
constexpr int kMaxEvents = 10'000;

Generation MakeGeneration(const std::string& fields,
                          std::shared_ptr<base::MemoryBudget> memory) {
  auto request =
      ParseGenerationRequest(GenerationKind::kCompletion,
                             R"({"model":"m","prompt":"p")" + fields + "}");
  REQUIRE(request.ok());
  return {std::move(*request), "r-1", std::move(memory)};
}

std::string TextEvent(std::size_t bytes) {
  return R"(data: {"id":"r-1","choices":[{"text":")" + std::string(bytes, 'w') +
         "\"}]}\n\n";
}

/// Feeds events of that size until one is refused; returns how many weren't.
int FeedUntilRefused(Generation& generation, std::size_t bytes) {
  int accepted = 0;
  while (accepted < kMaxEvents && generation.Feed(TextEvent(bytes)).ok())
    ++accepted;
  return accepted;
}

// Guards against a daemon of the project's own interface that runs out of
// memory because an endpoint writes without end.
TEST_CASE("an endpoint generates text without end") {
  const auto memory = std::make_shared<base::MemoryBudget>(kMaxBudgetBytes);
  SECTION("beyond the tokens of the request") {
    auto generation = MakeGeneration(R"(,"max_tokens":10)", memory);
    CHECK(FeedUntilRefused(generation, 1) == 26);
    SECTION("and the next attempt begins anew") {
      generation.BeginAttempt();
      CHECK(memory->held_bytes() == 0);
      CHECK(generation.AttemptBody().find("resume") == std::string::npos);
      CHECK(FeedUntilRefused(generation, 1) == 26);
    }
  }
  SECTION("beyond any text's size, without tokens in the request") {
    const auto large =
        std::make_shared<base::MemoryBudget>(base::MemoryBudget::kNoLimit);
    auto generation = MakeGeneration("", large);
    constexpr std::size_t kEventBytes = 50'000;
    const auto accepted = FeedUntilRefused(generation, kEventBytes);
    CHECK(accepted == kGenerationLimits.max_bytes / kEventBytes);
  }
  SECTION("that a caller receives as a stream, which can't begin anew") {
    auto generation =
        MakeGeneration(R"(,"max_tokens":10,"stream":true)", memory);
    CHECK(FeedUntilRefused(generation, 1) == 26);
    generation.BeginAttempt();
    CHECK(FeedUntilRefused(generation, 1) == 0);
  }
  SECTION("beside others, which together hold the memory for all") {
    auto first = MakeGeneration("", memory);
    auto second = MakeGeneration("", memory);
    CHECK(FeedUntilRefused(first, 10'000) < 110);
    CHECK(FeedUntilRefused(second, 10'000) == 6);
    CHECK(memory->held_bytes() < kMaxBudgetBytes + 100'000);
  }
  CHECK(memory->held_bytes() <= kMaxBudgetBytes + 100'000);
}

}  // namespace
}  // namespace gypsumtrack::gateway
