#include "gypsumtrack/gateway/online_service.h"

#include <catch2/catch.hpp>

#include "online_fixture.h"
#include "test_caller.h"

namespace gypsumtrack::gateway {
namespace {

const std::string kAuth = std::string("Authorization: Bearer ") + kKey + "\r\n";

bool Holds(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("an organisation's caller asks a model and a plain service") {
  OnlineFixture fixture;
  TestCaller caller(fixture.address());
  SECTION("a completion comes whole") {
    const auto answer = caller.Call("POST", "/v1/completions", kAuth,
                                    R"({"model":"loans","prompt":"clock 7"})");
    CHECK(answer.status == 200);
    CHECK(answer.run == "ran");
    CHECK(Holds(answer.body, testing::AnswerText("clock 7", 16)));
  }
  SECTION("a stream comes token by token to its end mark") {
    const auto answer =
        caller.Call("POST", "/v1/completions", kAuth,
                    R"({"model":"loans","prompt":"p","stream":true})");
    CHECK(answer.complete);
    CHECK(Holds(answer.body, testing::AnswerToken("p", 15)));
    CHECK(Holds(answer.body, "data: [DONE]"));
  }
  SECTION("a confirmation runs once") {
    const auto answer =
        caller.Call("POST", "/s/clockdesk/confirm", kAuth, "loan 12");
    CHECK(answer.status == 200);
    CHECK(fixture.MaxExecutions() == 1);
  }
  SECTION("the models of the key are listed") {
    const auto answer = caller.Call("GET", "/v1/models", kAuth, "");
    CHECK(Holds(answer.body, "\"loans\""));
  }
  SECTION("an open route needs no key; others do") {
    CHECK(caller.Call("GET", "/s/clockdesk/status", "", "").status == 200);
    const auto refused = caller.Call("POST", "/s/clockdesk/confirm", "", "x");
    CHECK(refused.status == 401);
    CHECK(refused.run == "not-run");
  }
  SECTION("a key withdrawn while its request waits is not served") {
    fixture.on_admit = [&] {
      fixture.SetWithdrawn({base::HmacSha256Hex(kSecret, kKey)});
    };
    const auto answer =
        caller.Call("POST", "/s/clockdesk/confirm", kAuth, "loan 12");
    CHECK(answer.status == 401);
    CHECK(answer.run == "not-run");
    CHECK(fixture.MaxExecutions() == 0);
  }
  SECTION("a withdrawn key stops working on an open connection") {
    REQUIRE(caller.Call("GET", "/v1/models", kAuth, "").status == 200);
    fixture.SetWithdrawn({base::HmacSha256Hex(kSecret, kKey)});
    CHECK(caller.Call("GET", "/v1/models", kAuth, "").status == 401);
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
