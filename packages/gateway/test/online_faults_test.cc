#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <sstream>
#include <string>

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

bool Holds(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

/// The text of a stream's events, one after the other.
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

void FaultAll(OnlineFixture& fixture, FaultPlan plan) {
  for (auto& endpoint : fixture.endpoints) endpoint->SetFault(plan);
}

std::uint64_t TotalRequests(const OnlineFixture& fixture) {
  std::uint64_t total = 0;
  for (const auto& endpoint : fixture.endpoints) {
    total += endpoint->facts().requests;
  }
  return total;
}

TEST_CASE("an endpoint fails in mid-stream") {
  FixtureOptions options;
  options.progress_timeout = std::chrono::milliseconds(300);
  OnlineFixture fixture(options);
  TestCaller caller(fixture.address());
  const auto fault =
      GENERATE(Fault::kDie, Fault::kShortBody, Fault::kStall, Fault::kCross);
  CAPTURE(testing::kFaultNames.Name(fault));
  SECTION("the stream goes on elsewhere and is whole") {
    FaultAll(fixture, {fault, 1, 5, {}});
    const auto answer =
        caller.Call("POST", "/v1/completions", kAuth, kStreamBody);
    CHECK(answer.complete);
    CHECK(StreamText(answer.body) == testing::AnswerText("p", kTokens));
    CHECK(Holds(answer.body, "[DONE]"));
  }
  SECTION("if all keep failing, the answer is no whole one") {
    FaultAll(fixture, {fault, kAlways, 0, {}});
    const auto answer =
        caller.Call("POST", "/v1/completions", kAuth, kStreamBody);
    CHECK_FALSE(Holds(answer.body, "[DONE]"));
    CHECK((answer.status == 502 || !answer.complete));
    CHECK_FALSE(Holds(answer.body, "another-request"));
  }
}

TEST_CASE("a non-idempotent request meets a fault") {
  FixtureOptions options;
  options.progress_timeout = std::chrono::milliseconds(300);
  OnlineFixture fixture(options);
  TestCaller caller(fixture.address());
  SECTION("refused before it ran, it goes elsewhere and runs once") {
    fixture.endpoints[0]->SetFault({Fault::kRefuse, kAlways, 0, {}});
    for (int i = 0; i < 10; ++i) {
      CHECK(caller.Call("POST", "/s/clockdesk/confirm", kAuth, "12").status ==
            200);
    }
    CHECK(fixture.MaxExecutions() == 1);
  }
  SECTION("refused everywhere, not-run is true") {
    FaultAll(fixture, {Fault::kRefuse, kAlways, 0, {}});
    const auto answer =
        caller.Call("POST", "/s/clockdesk/confirm", kAuth, "12");
    CHECK(answer.status == 503);
    CHECK(answer.run == "not-run");
    CHECK_FALSE(answer.retry_after.empty());
    CHECK(fixture.MaxExecutions() == 0);
  }
  SECTION("perhaps run, it isn't sent again") {
    const auto fault =
        GENERATE(Fault::kDie, Fault::kShortBody, Fault::kStall, Fault::kCross);
    FaultAll(fixture, {fault, kAlways, 0, {}});
    const auto answer =
        caller.Call("POST", "/s/clockdesk/confirm", kAuth, "12");
    CHECK(answer.status == 502);
    CHECK(answer.run == "unknown");
    CHECK(TotalRequests(fixture) == 1);
  }
  SECTION("an idempotent one is sent again, so the check above can fail") {
    FaultAll(fixture, {Fault::kDie, 1, 0, {}});
    CHECK(caller.Call("POST", "/s/clockdesk/look", kAuth, "12").status == 200);
    CHECK(fixture.MaxExecutions() > 1);
  }
}

TEST_CASE("connections go silent") {
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

TEST_CASE("a caller's key stays here") {
  OnlineFixture fixture;
  const std::string key(kKey);
  const auto extra = GENERATE_COPY(
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
                 kAuth + extra +
                 "\r\nTrailer: X-Api-Key\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "2\r\nhi\r\n0\r\nX-Api-Key: " +
                 key + "\r\nX-Late: " + key + "\r\n\r\n");
  const auto answer = caller.Read();
  REQUIRE(answer.status == 200);
  for (const auto& endpoint : fixture.endpoints) {
    CHECK_FALSE(Holds(endpoint->facts().transcript, "caller-key-7f3a"));
    CHECK_FALSE(Holds(endpoint->facts().transcript, "%63aller"));
  }
}

TEST_CASE("an endpoint says that it is leaving") {
  OnlineFixture fixture;
  TestCaller caller(fixture.address());
  fixture.endpoints[0]->SetFault({Fault::kLeave, kAlways, 0, {}});
  for (int i = 0; i < 40; ++i) {
    REQUIRE(caller.Call("GET", "/s/clockdesk/status", "", "").status == 200);
  }
  CHECK(fixture.endpoints[0]->facts().requests <= 1);
  CHECK(fixture.endpoints[0]->facts().executions.empty());
}

TEST_CASE("a non-idempotent request carries an idempotency key") {
  OnlineFixture fixture;
  const auto headers = kAuth + "Idempotency-Key: loan-12\r\n";
  auto confirm = [&](const std::string& body) {
    TestCaller caller(fixture.address());
    return caller.Call("POST", "/s/clockdesk/confirm", headers, body);
  };
  SECTION("a resend gets the first outcome without a run") {
    const auto first = confirm("12");
    const auto second = confirm("12");
    CHECK(first.status == 200);
    CHECK(second.body == first.body);
    CHECK(TotalRequests(fixture) == 1);
  }
  SECTION("another request under the key is refused") {
    confirm("12");
    CHECK(confirm("13").status == 422);
    CHECK(TotalRequests(fixture) == 1);
  }
  SECTION("after a lost answer a resend is told unknown") {
    FaultAll(fixture, {Fault::kDie, kAlways, 0, {}});
    CHECK(confirm("12").run == "unknown");
    FaultAll(fixture, {});
    const auto resent = confirm("12");
    CHECK(resent.status == 409);
    CHECK(resent.run == "unknown");
    CHECK(TotalRequests(fixture) == 1);
  }
  SECTION("after a true not-run a resend runs") {
    FaultAll(fixture, {Fault::kRefuse, kAlways, 0, {}});
    CHECK(confirm("12").run == "not-run");
    FaultAll(fixture, {});
    CHECK(confirm("12").status == 200);
  }
  SECTION("with the store down it isn't run") {
    fixture.table_on = false;
    const auto answer = confirm("12");
    CHECK(answer.status == 503);
    CHECK(answer.run == "not-run");
    CHECK(TotalRequests(fixture) == 0);
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
