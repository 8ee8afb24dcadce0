#include "gypsumtrack/gateway/http_server.h"

#include <catch2/catch.hpp>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "online_fixture.h"
#include "test_caller.h"

namespace gypsumtrack::gateway {
namespace {

const std::string kAuth = std::string("Authorization: Bearer ") + kKey + "\r\n";

std::string LongStream(std::uint64_t tokens) {
  return R"({"model":"loans","prompt":"p","stream":true,"max_tokens":)" +
         std::to_string(tokens) + "}";
}

/// Returns once the endpoints together have made a token.
void AwaitFirstToken(const OnlineFixture& fixture) {
  std::uint64_t tokens = 0;
  while (tokens == 0) {
    for (const auto& endpoint : fixture.endpoints) {
      tokens += endpoint->facts().tokens;
    }
    std::this_thread::yield();
  }
}

/// Returns once the endpoints together have received so many requests.
void AwaitRequests(const OnlineFixture& fixture, std::uint64_t count) {
  std::uint64_t requests = 0;
  while (requests < count) {
    requests = 0;
    for (const auto& endpoint : fixture.endpoints) {
      requests += endpoint->facts().requests;
    }
    std::this_thread::yield();
  }
}

TEST_CASE("callers send what they shouldn't") {
  FixtureOptions options;
  options.slow_body_grace = std::chrono::milliseconds(50);
  OnlineFixture fixture(options);
  TestCaller caller(fixture.address());
  SECTION("malformed input gets 400") {
    caller.SendRaw("GET nonsense\r\n\r\n");
    CHECK(caller.Read().status == 400);
  }
  SECTION("a path out of the tree gets 400") {
    caller.SendRaw("GET /s/clockdesk/%2e%2e/x HTTP/1.1\r\nHost: g\r\n\r\n");
    CHECK(caller.Read().status == 400);
  }
  SECTION("a header that is too large gets 431") {
    caller.SendRaw("GET / HTTP/1.1\r\nHost: g\r\nX-Long: " +
                   std::string(20000, 'x') + "\r\n\r\n");
    CHECK(caller.Read().status == 431);
  }
  SECTION("a body that is too large gets 413 and isn't run") {
    fixture.runtime.settings.max_body_bytes = 10;
    const auto answer = caller.Call("POST", "/s/clockdesk/confirm", kAuth,
                                    std::string(100, 'x'));
    CHECK(answer.status == 413);
    CHECK(answer.run == "not-run");
  }
  SECTION("a slow sender is dropped") {
    caller.SendRaw("POST /s/clockdesk/confirm HTTP/1.1\r\nHost: g\r\n" + kAuth +
                   "Content-Length: 100\r\n\r\nx");
    CHECK(caller.Read().status != 200);
    CHECK(fixture.MaxExecutions() == 0);
  }
  SECTION("two lengths, one smuggled request: refused") {
    caller.SendRaw("POST /s/clockdesk/confirm HTTP/1.1\r\nHost: g\r\n" + kAuth +
                   "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "0\r\n\r\n");
    CHECK(caller.Read().status == 400);
    CHECK(fixture.MaxExecutions() == 0);
  }
  SECTION("pipelined requests are answered in order") {
    const std::string one =
        "GET /s/clockdesk/status?n=1 HTTP/1.1\r\nHost: g\r\n\r\n";
    const std::string two =
        "GET /s/clockdesk/status?n=2 HTTP/1.1\r\nHost: g\r\n\r\n";
    caller.SendRaw(one + two);
    CHECK(caller.Read().body.find("n=1") != std::string::npos);
    CHECK(caller.Read().body.find("n=2") != std::string::npos);
  }
  TestCaller next(fixture.address());
  CHECK(next.Call("GET", "/s/clockdesk/status", "", "").status == 200);
}

TEST_CASE("a caller waits to be asked for its body") {
  OnlineFixture fixture;
  TestCaller caller(fixture.address());
  const std::string head =
      " HTTP/1.1\r\nHost: g\r\nExpect: 100-continue\r\nContent-Length: 2\r\n";
  SECTION("with a valid key it is asked") {
    caller.SendRaw("POST /s/clockdesk/confirm" + head + kAuth + "\r\n");
    CHECK(caller.Read().status == 100);
    caller.SendRaw("12");
    CHECK(caller.Read().status == 200);
  }
  SECTION("without one it is refused first") {
    caller.SendRaw("POST /s/clockdesk/confirm" + head + "\r\n");
    CHECK(caller.Read().status == 401);
  }
}

TEST_CASE("a caller goes away in mid-stream") {
  FixtureOptions options;
  options.endpoints = 1;
  options.decode_step = std::chrono::milliseconds(1);
  OnlineFixture fixture(options);
  TestCaller caller(fixture.address());
  caller.Send("POST", "/v1/completions", kAuth, LongStream(1000000));
  AwaitFirstToken(fixture);
  caller.Close();
  // Ends only if the engine sees its stream cancelled.
  while (fixture.endpoints[0]->facts().cancelled == 0) {
    std::this_thread::yield();
  }
  CHECK(fixture.endpoints[0]->facts().tokens < 1000000);
}

TEST_CASE("a daemon drains") {
  FixtureOptions options;
  options.decode_step = std::chrono::milliseconds(2);
  OnlineFixture fixture(options);
  constexpr std::size_t kStreams = 8;
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (std::size_t i = 0; i < kStreams; ++i) {
    callers.push_back(std::make_unique<TestCaller>(fixture.address()));
    callers.back()->Send("POST", "/v1/completions", kAuth, LongStream(100));
  }
  AwaitRequests(fixture, kStreams);
  auto count_whole = [&] {
    std::size_t whole = 0;
    for (auto& caller : callers) {
      if (caller->Read().complete) whole++;
    }
    return whole;
  };
  std::promise<void> drained;
  SECTION("open streams end whole") {
    fixture.server->Drain([&] { drained.set_value(); });
    CHECK(count_whole() == kStreams);
    drained.get_future().wait();
  }
  SECTION("stopped at once instead, they are cut") {
    fixture.server->Stop();
    CHECK(count_whole() < kStreams);
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
