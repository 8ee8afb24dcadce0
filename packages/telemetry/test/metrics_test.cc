#include "gypsumtrack/telemetry/metrics.h"

#include <catch2/catch.hpp>
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

}  // namespace
}  // namespace gypsumtrack::telemetry
