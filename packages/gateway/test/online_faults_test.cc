#include <algorithm>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <sstream>
#include <string>

#include "gypsumtrack/testing/raw_endpoint.h"
#include "online_fixture.h"
#include "test_caller.h"

namespace gypsumtrack::gateway {
namespace {

using testing::Fault;
using testing::FaultPlan;

const std::string kAuth = std::string("Authorization: Bearer ") + kKey + "\r\n";
const std::string kStreamBody =
    R"({"model":"loans","prompt":"p","stream":true,"max_tokens":12})";
constexpr std::uint64_t kTokens = 12;
constexpr std::uint32_t kAlways = 1000;

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

/// Returns the concatenated text of a stream's events.
std::string StreamText(const std::string& body) {
  std::string text;
  std::istringstream lines(body);
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with("data: {")) continue;
    const auto event = boost::json::parse(line.substr(6)).as_object();
    const auto* choices = event.if_contains("choices");
    if (choices == nullptr) continue;
    text += choices->as_array().at(0).at("text").as_string().c_str();
  }
  return text;
}

void SetFaultOnAll(OnlineFixture& fixture, FaultPlan plan) {
  for (auto& endpoint : fixture.endpoints) endpoint->SetFault(plan);
}

std::uint64_t TotalRequests(const OnlineFixture& fixture) {
  std::uint64_t total = 0;
  for (const auto& endpoint : fixture.endpoints) {
    total += endpoint->facts().requests;
  }
  return total;
}

TEST_CASE("an endpoint fails during a stream") {
  FixtureOptions options;
  options.progress_timeout = std::chrono::milliseconds(300);
  OnlineFixture fixture(options);
  TestCaller caller(fixture.address());
  const auto fault =
      GENERATE(Fault::kDie, Fault::kShortBody, Fault::kStall, Fault::kCross);
  CAPTURE(testing::kFaultNames.Name(fault));
  SECTION("another endpoint completes the stream") {
    SetFaultOnAll(fixture, {fault, 1, 5, {}});
    const auto response =
        caller.Call("POST", "/v1/completions", kAuth, kStreamBody);
    CHECK(response.complete);
    CHECK(StreamText(response.body) == testing::AnswerText("p", kTokens));
    CHECK(Contains(response.body, "[DONE]"));
  }
  SECTION("if all endpoints fail, the response is incomplete") {
    SetFaultOnAll(fixture, {fault, kAlways, 0, {}});
    const auto response =
        caller.Call("POST", "/v1/completions", kAuth, kStreamBody);
    CHECK_FALSE(Contains(response.body, "[DONE]"));
    CHECK((response.status == 502 || !response.complete));
    CHECK_FALSE(Contains(response.body, "another-request"));
  }
}

TEST_CASE("endpoint faults during a non-idempotent request") {
  FixtureOptions options;
  options.progress_timeout = std::chrono::milliseconds(300);
  OnlineFixture fixture(options);
  TestCaller caller(fixture.address());
  SECTION("refused before running, it is retried and runs once") {
    fixture.endpoints[0]->SetFault({Fault::kRefuse, kAlways, 0, {}});
    for (int i = 0; i < 10; ++i) {
      CHECK(caller.Call("POST", "/s/clockdesk/confirm", kAuth, "12").status ==
            200);
    }
    CHECK(fixture.MaxExecutions() == 1);
  }
  SECTION("refused by all endpoints, it is reported as not-run") {
    SetFaultOnAll(fixture, {Fault::kRefuse, kAlways, 0, {}});
    const auto response =
        caller.Call("POST", "/s/clockdesk/confirm", kAuth, "12");
    CHECK(response.status == 503);
    CHECK(response.run == "not-run");
    CHECK_FALSE(response.retry_after.empty());
    CHECK(fixture.MaxExecutions() == 0);
  }
  SECTION("after an unknown outcome it isn't retried") {
    const auto fault =
        GENERATE(Fault::kDie, Fault::kShortBody, Fault::kStall, Fault::kCross);
    SetFaultOnAll(fixture, {fault, kAlways, 0, {}});
    const auto response =
        caller.Call("POST", "/s/clockdesk/confirm", kAuth, "12");
    CHECK(response.status == 502);
    CHECK(response.run == "unknown");
    CHECK(TotalRequests(fixture) == 1);
  }
  SECTION("an idempotent request is retried, so the check above can fail") {
    SetFaultOnAll(fixture, {Fault::kDie, 1, 0, {}});
    CHECK(caller.Call("POST", "/s/clockdesk/look", kAuth, "12").status == 200);
    CHECK(fixture.MaxExecutions() > 1);
  }
}

// Guards against a caller that gets what isn't an answer, or a part of one, as
// the answer.
TEST_CASE("endpoints send bytes that only look like an answer") {
  OnlineFixture fixture;
  testing::RawEndpoint endpoint(fixture.pool.get_executor());
  REQUIRE(endpoint.Start().ok());
  for (auto& listed : fixture.view->endpoints)
    listed.address = endpoint.address();
  testing::RawResponse response;
  std::string upload = "12";
  SECTION("a status that is none, and an answer behind it") {
    const std::string inner =
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
    const std::string status = GENERATE("000", "099", "101", "600", "999");
    response.bytes = "HTTP/1.1 " + status +
                     " \r\nContent-Length: " + std::to_string(inner.size()) +
                     "\r\n\r\n" + inner;
    response.end = testing::RawEnd::kKeepOpen;
  }
  SECTION("a part of a body, while the upload is being written") {
    upload = std::string(std::size_t{7} * 1024 * 1024, 'p');
    endpoint.AnswerBeforeBody();
    response.bytes = "HTTP/1.1 200 OK\r\n\r\npart";
    response.end = GENERATE(testing::RawEnd::kReset, testing::RawEnd::kClose,
                            testing::RawEnd::kFinish);
  }
  endpoint.SetResponses({response});
  TestCaller caller(fixture.address());
  const auto received =
      caller.Call("POST", "/s/clockdesk/confirm", kAuth, upload);
  CHECK(received.status == 502);
  CHECK(received.run == "unknown");
  const auto requests = endpoint.requests();
  CHECK(std::count_if(requests.begin(), requests.end(), [](const auto& each) {
          return each.target == "/confirm";
        }) == 1);
}

TEST_CASE("open connections become unresponsive") {
  FixtureOptions options;
  options.progress_timeout = std::chrono::milliseconds(300);
  OnlineFixture fixture(options);
  TestCaller caller(fixture.address());
  for (int i = 0; i < 4; ++i) {
    REQUIRE(caller.Call("GET", "/s/clockdesk/status", "", "").status == 200);
  }
  for (auto& endpoint : fixture.endpoints) endpoint->SilenceOpenConnections();
  CHECK(caller.Call("GET", "/s/clockdesk/status", "", "").status == 200);
}

TEST_CASE("a caller's key isn't forwarded to endpoints") {
  OnlineFixture fixture;
  const std::string key(kKey);
  const auto key_header = GENERATE_COPY(
      "authorization: bearer " + key, "AUTHORIZATION: Bearer " + key,
      "x-api-key: " + key, "X-API-KEY: " + key,
      "Proxy-Authorization: Basic " + key, "Cookie: session=" + key,
      "X-Auth-Token: " + key, "Connection: X-Mine\r\nX-Mine: " + key,
      "X-Custom: a " + key + " b", "Referer: http://a/?k=" + key);
  const auto query =
      GENERATE_COPY(std::string(), "?key=" + key, "?a=1&API_KEY=" + key,
                    "?%61pi_key=" + key, "?%2561pi_key=" + key, "?other=" + key,
                    "?other=%63aller-key-7f3a", "?token=" + key + ";b=2");
  TestCaller caller(fixture.address());
  caller.SendRaw("POST /s/clockdesk/look" + query + " HTTP/1.1\r\nHost: g\r\n" +
                 kAuth + key_header +
                 "\r\nTrailer: X-Api-Key\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "2\r\nhi\r\n0\r\nX-Api-Key: " +
                 key + "\r\nX-Late: " + key + "\r\n\r\n");
  const auto response = caller.Read();
  REQUIRE(response.status == 200);
  for (const auto& endpoint : fixture.endpoints) {
    CHECK_FALSE(Contains(endpoint->facts().transcript, "caller-key-7f3a"));
    CHECK_FALSE(Contains(endpoint->facts().transcript, "%63aller"));
  }
}

TEST_CASE("an endpoint reports that it is draining") {
  OnlineFixture fixture;
  TestCaller caller(fixture.address());
  fixture.endpoints[0]->SetFault({Fault::kLeave, kAlways, 0, {}});
  for (int i = 0; i < 40; ++i) {
    REQUIRE(caller.Call("GET", "/s/clockdesk/status", "", "").status == 200);
  }
  CHECK(fixture.endpoints[0]->facts().requests <= 1);
  CHECK(fixture.endpoints[0]->facts().executions.empty());
}

TEST_CASE("a non-idempotent request has an idempotency key") {
  OnlineFixture fixture;
  const auto headers = kAuth + "Idempotency-Key: loan-12\r\n";
  auto confirm = [&](const std::string& body) {
    TestCaller caller(fixture.address());
    return caller.Call("POST", "/s/clockdesk/confirm", headers, body);
  };
  SECTION("a repeated request gets the stored response without a run") {
    const auto first = confirm("12");
    const auto second = confirm("12");
    CHECK(first.status == 200);
    CHECK(second.body == first.body);
    CHECK(TotalRequests(fixture) == 1);
  }
  SECTION("a different request with the same key is refused") {
    confirm("12");
    CHECK(confirm("13").status == 422);
    CHECK(TotalRequests(fixture) == 1);
  }
  SECTION("after a lost response a repeated request gets unknown") {
    SetFaultOnAll(fixture, {Fault::kDie, kAlways, 0, {}});
    CHECK(confirm("12").run == "unknown");
    SetFaultOnAll(fixture, {});
    const auto second = confirm("12");
    CHECK(second.status == 409);
    CHECK(second.run == "unknown");
    CHECK(TotalRequests(fixture) == 1);
  }
  SECTION("after not-run a repeated request runs") {
    SetFaultOnAll(fixture, {Fault::kRefuse, kAlways, 0, {}});
    CHECK(confirm("12").run == "not-run");
    SetFaultOnAll(fixture, {});
    CHECK(confirm("12").status == 200);
  }
  SECTION("it isn't run while the store is unavailable") {
    fixture.table_available = false;
    const auto response = confirm("12");
    CHECK(response.status == 503);
    CHECK(response.run == "not-run");
    CHECK(TotalRequests(fixture) == 0);
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
