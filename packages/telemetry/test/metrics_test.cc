#include "gypsumtrack/telemetry/metrics.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <thread>

namespace gypsumtrack::telemetry {
namespace {

TEST_CASE("a registry formats the recorded metrics") {
  Registry registry;
  auto& counter = registry.GetCounter("requests_total", "code=\"ok\"", "Done.");
  SECTION("counters incremented by several threads") {
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
      threads.emplace_back([&] {
        for (int n = 0; n < 1000; ++n) counter.Add();
      });
    }
    for (auto& thread : threads) thread.join();
    CHECK(registry.FormatPrometheus() ==
          "# HELP requests_total Done.\n# TYPE requests_total counter\n"
          "requests_total{code=\"ok\"} 4000\n");
    SECTION("with one counter for the same name and labels") {
      CHECK(&registry.GetCounter("requests_total", "code=\"ok\"", "Done.") ==
            &counter);
    }
  }
  SECTION("latencies in cumulative buckets, with an unbounded last one") {
    auto& latency = registry.GetHistogram("first_token_seconds", "", "Wait.");
    latency.Record(0.1);
    latency.Record(10000);
    const auto text = registry.FormatPrometheus();
    CHECK(text.find("first_token_seconds_bucket{le=\"+Inf\"} 2\n") !=
          std::string::npos);
    CHECK(text.find("first_token_seconds_count 2\n") != std::string::npos);
    std::uint64_t within = 0;
    for (const auto& bucket : latency.Buckets()) {
      if (bucket.upper_bound < 1) within += bucket.count;
    }
    CHECK(within == 1);
  }
}

TEST_CASE("a quantile of durations is read from the buckets") {
  LatencyHistogram durations;
  SECTION("there is none without durations") {
    CHECK_FALSE(durations.QuantileSeconds(0.99));
  }
  SECTION("it isn't exceeded by that fraction, to the bucket's precision") {
    for (int i = 0; i < 99; ++i) durations.Record(0.1);
    durations.Record(3);
    CHECK(*durations.QuantileSeconds(0.99) >= 0.1);
    CHECK(*durations.QuantileSeconds(0.99) < 0.2);
    CHECK(*durations.QuantileSeconds(1) >= 3);
    CHECK(*durations.QuantileSeconds(1) < 6);
  }
  SECTION("beyond all buckets it is the last finite bound") {
    durations.Record(1e9);
    CHECK(std::isfinite(*durations.QuantileSeconds(0.5)));
  }
}

}  // namespace
}  // namespace gypsumtrack::telemetry
