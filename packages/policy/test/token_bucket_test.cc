#include "gypsumtrack/policy/token_bucket.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <thread>
#include <vector>

namespace gypsumtrack::policy {
namespace {

using base::Duration;
using base::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE(
    "a token bucket with a rate of 4 requests a second and a burst of 8") {
  TokenBucket bucket(
      {4 * kMicroRequestsPerRequest, 8 * kMicroRequestsPerRequest}, Instant{});
  CHECK_FALSE(bucket.TryTake(kMicroRequestsPerRequest, Instant{}));
  SECTION("holds one token after 250 ms") {
    CHECK_FALSE(
        bucket.TryTake(kMicroRequestsPerRequest, Instant(Duration(249'999))));
    const auto at = bucket.AvailableAt(kMicroRequestsPerRequest,
                                       Instant(Duration(249'999)));
    CHECK(at >= Instant(milliseconds(250)));
    CHECK(at <= Instant(milliseconds(251)));
    CHECK(bucket.TryTake(kMicroRequestsPerRequest, Instant(milliseconds(250))));
  }
  SECTION("refills up to its burst and no further") {
    CHECK(bucket.Take(20 * kMicroRequestsPerRequest, Instant(seconds(3600))) ==
          8 * kMicroRequestsPerRequest);
  }
  SECTION("loses the tokens above a reduced burst") {
    bucket.SetQuota({0, 3 * kMicroRequestsPerRequest}, Instant(seconds(2)));
    CHECK(bucket.Tokens(Instant(seconds(9))) == 3 * kMicroRequestsPerRequest);
    CHECK(bucket.AvailableAt(4 * kMicroRequestsPerRequest,
                             Instant(seconds(9))) == base::kNever);
  }
}

TEST_CASE("a token bucket refills exactly, however often it is updated") {
  rc::prop("tokens after many updates equal those after one", [] {
    const auto rate = *rc::gen::inRange<std::int64_t>(1, 500'000'000);
    const auto steps = *rc::gen::container<std::vector<std::int64_t>>(
        rc::gen::inRange<std::int64_t>(0, 3'000'000));
    const Quota quota{rate, 1'000'000 * kMicroRequestsPerRequest};
    TokenBucket updated_often(quota, Instant{});
    const TokenBucket updated_once(quota, Instant{});
    Instant now{};
    for (const auto step : steps) {
      now += Duration(step);
      updated_often.Add(0, now);
    }
    RC_ASSERT(updated_often.Tokens(now) == updated_once.Tokens(now));
  });
}

TEST_CASE("a token slice shared by threads") {
  TokenSlice slice;
  const auto expires = Instant(seconds(10));
  CHECK(slice.Add(1000, expires) == 1000);
  SECTION("hands out each token once") {
    std::atomic<std::uint32_t> taken = 0;
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
      threads.emplace_back([&] {
        while (slice.TryTake(Instant(seconds(1)))) ++taken;
      });
    }
    for (auto& thread : threads) thread.join();
    CHECK(taken == 1000);
    CHECK(slice.tokens() == 0);
  }
  SECTION("admits nothing after its expiry") {
    CHECK_FALSE(slice.TryTake(expires));
    CHECK(slice.Take(5000) == 1000);
  }
  SECTION("keeps its expiry when tokens with an earlier one are added") {
    slice.Add(1, Instant(seconds(5)));
    CHECK(slice.expires() == expires);
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
