#include "gypsumtrack/gateway/online_service.h"

#include <catch2/catch.hpp>

#include "online_fixture.h"
#include "test_caller.h"

namespace gypsumtrack::gateway {
namespace {

const std::string kAuth = std::string("Authorization: Bearer ") + kKey + "\r\n";

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("a caller of an organisation uses models and services") {
  OnlineFixture fixture;
  TestCaller caller(fixture.address());
  SECTION("a completion returns the complete text") {
    const auto response =
        caller.Call("POST", "/v1/completions", kAuth,
                    R"({"model":"loans","prompt":"clock 7"})");
    CHECK(response.status == 200);
    CHECK(response.run == "ran");
    CHECK(Contains(response.body, testing::AnswerText("clock 7", 16)));
  }
  SECTION("a stream has an event per token and ends with [DONE]") {
    const auto response =
        caller.Call("POST", "/v1/completions", kAuth,
                    R"({"model":"loans","prompt":"p","stream":true})");
    CHECK(response.complete);
    CHECK(Contains(response.body, testing::AnswerToken("p", 15)));
    CHECK(Contains(response.body, "data: [DONE]"));
  }
  SECTION("a non-idempotent request runs once") {
    const auto response =
        caller.Call("POST", "/s/clockdesk/confirm", kAuth, "loan 12");
    CHECK(response.status == 200);
    CHECK(fixture.MaxExecutions() == 1);
  }
  SECTION("the models that the key may use are listed") {
    const auto response = caller.Call("GET", "/v1/models", kAuth, "");
    CHECK(Contains(response.body, "\"loans\""));
  }
  SECTION("only open routes need no key") {
    CHECK(caller.Call("GET", "/s/clockdesk/status", "", "").status == 200);
    const auto refused = caller.Call("POST", "/s/clockdesk/confirm", "", "x");
    CHECK(refused.status == 401);
    CHECK(refused.run == "not-run");
  }
  SECTION("a request isn't sent if its key is withdrawn while it waits") {
    fixture.on_admit = [&] {
      fixture.SetWithdrawnKeys({base::HmacSha256Hex(kSecret, kKey)});
    };
    const auto response =
        caller.Call("POST", "/s/clockdesk/confirm", kAuth, "loan 12");
    CHECK(response.status == 401);
    CHECK(response.run == "not-run");
    CHECK(fixture.MaxExecutions() == 0);
  }
  SECTION("a withdrawn key is refused on an open connection") {
    REQUIRE(caller.Call("GET", "/v1/models", kAuth, "").status == 200);
    fixture.SetWithdrawnKeys({base::HmacSha256Hex(kSecret, kKey)});
    CHECK(caller.Call("GET", "/v1/models", kAuth, "").status == 401);
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
