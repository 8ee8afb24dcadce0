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

const std::string kAuthorizationHeader =
    std::string("Authorization: Bearer ") + kKey + "\r\n";

/// Returns the body of a streaming request for `tokens` tokens.
std::string StreamRequestBody(std::uint64_t tokens) {
  return R"({"model":"loans","prompt":"p","stream":true,"max_tokens":)" +
         std::to_string(tokens) + "}";
}

/// Waits until the endpoints have generated at least one token in total.
void AwaitFirstToken(const OnlineFixture& fixture) {
  std::uint64_t tokens = 0;
  while (tokens == 0) {
    for (const auto& endpoint : fixture.endpoints) {
      tokens += endpoint->facts().tokens;
    }
    std::this_thread::yield();
  }
}

/// Waits until the endpoints have received at least `count` requests in total.
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

TEST_CASE("the server rejects invalid and abusive requests") {
  FixtureOptions options;
  options.slow_body_grace = std::chrono::milliseconds(50);
  OnlineFixture fixture(options);
  TestCaller caller(fixture.address());
  SECTION("a malformed request line gets 400") {
    caller.SendRaw("GET nonsense\r\n\r\n");
    CHECK(caller.Read().status == 400);
  }
  SECTION("a path with an encoded dot segment gets 400") {
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
    const auto response =
        caller.Call("POST", "/s/clockdesk/confirm", kAuthorizationHeader,
                    std::string(100, 'x'));
    CHECK(response.status == 413);
    CHECK(response.run == "not-run");
  }
  SECTION("a body that is sent too slowly isn't run") {
    caller.SendRaw("POST /s/clockdesk/confirm HTTP/1.1\r\nHost: g\r\n" +
                   kAuthorizationHeader + "Content-Length: 100\r\n\r\nx");
    CHECK(caller.Read().status != 200);
    CHECK(fixture.MaxExecutions() == 0);
  }
  SECTION("a request with Content-Length and Transfer-Encoding gets 400") {
    caller.SendRaw("POST /s/clockdesk/confirm HTTP/1.1\r\nHost: g\r\n" +
                   kAuthorizationHeader +
                   "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "0\r\n\r\n");
    CHECK(caller.Read().status == 400);
    CHECK(fixture.MaxExecutions() == 0);
  }
  SECTION("pipelined requests are answered in order") {
    const std::string first_request =
        "GET /s/clockdesk/status?n=1 HTTP/1.1\r\nHost: g\r\n\r\n";
    const std::string second_request =
        "GET /s/clockdesk/status?n=2 HTTP/1.1\r\nHost: g\r\n\r\n";
    caller.SendRaw(first_request + second_request);
    CHECK(caller.Read().body.find("n=1") != std::string::npos);
    CHECK(caller.Read().body.find("n=2") != std::string::npos);
  }
  TestCaller next_caller(fixture.address());
  CHECK(next_caller.Call("GET", "/s/clockdesk/status", "", "").status == 200);
}

TEST_CASE("a caller sends Expect: 100-continue") {
  OnlineFixture fixture;
  TestCaller caller(fixture.address());
  const std::string head =
      " HTTP/1.1\r\nHost: g\r\nExpect: 100-continue\r\nContent-Length: 2\r\n";
  SECTION("a valid key gets 100 Continue") {
    caller.SendRaw("POST /s/clockdesk/confirm" + head + kAuthorizationHeader +
                   "\r\n");
    CHECK(caller.Read().status == 100);
    caller.SendRaw("12");
    CHECK(caller.Read().status == 200);
  }
  SECTION("a missing key gets 401 without 100 Continue") {
    caller.SendRaw("POST /s/clockdesk/confirm" + head + "\r\n");
    CHECK(caller.Read().status == 401);
  }
}

TEST_CASE("the endpoint's stream is cancelled when the caller disconnects") {
  FixtureOptions options;
  options.endpoints = 1;
  options.decode_step = std::chrono::milliseconds(1);
  OnlineFixture fixture(options);
  TestCaller caller(fixture.address());
  caller.Send("POST", "/v1/completions", kAuthorizationHeader,
              StreamRequestBody(1000000));
  AwaitFirstToken(fixture);
  caller.Close();
  // Waits until the endpoint reports that its stream was cancelled.
  while (fixture.endpoints[0]->facts().cancelled == 0) {
    std::this_thread::yield();
  }
  CHECK(fixture.endpoints[0]->facts().tokens < 1000000);
}

TEST_CASE("draining lets open streams finish and stopping cuts them") {
  FixtureOptions options;
  options.decode_step = std::chrono::milliseconds(2);
  OnlineFixture fixture(options);
  constexpr std::size_t kStreamCount = 8;
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (std::size_t i = 0; i < kStreamCount; ++i) {
    callers.push_back(std::make_unique<TestCaller>(fixture.address()));
    callers.back()->Send("POST", "/v1/completions", kAuthorizationHeader,
                         StreamRequestBody(100));
  }
  AwaitRequests(fixture, kStreamCount);
  auto count_complete = [&] {
    std::size_t complete = 0;
    for (auto& caller : callers) {
      if (caller->Read().complete) complete++;
    }
    return complete;
  };
  std::promise<void> drained;
  SECTION("draining lets open streams finish") {
    fixture.server->Drain([&] { drained.set_value(); });
    CHECK(count_complete() == kStreamCount);
    drained.get_future().wait();
  }
  SECTION("stopping cuts open streams") {
    fixture.server->Stop();
    CHECK(count_complete() < kStreamCount);
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
