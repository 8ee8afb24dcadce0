#include "gypsumtrack/gateway/daemon.h"

#include <boost/asio/thread_pool.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "gypsumtrack/testing/endpoint_server.h"
#include "gypsumtrack/testing/platform_server.h"
#include "test_caller.h"

namespace gypsumtrack::gateway {
namespace {

constexpr const char* kRules =
    "allow org=cairo service=clockdesk model=loans rate=100/s burst=100 "
    "bulk=yes  # events office: national cup\n"
    "allow org=cairo service=clockdesk rate=100/s burst=100 "
    "route=POST:/confirm idempotent=no  # events office: national cup\n";
constexpr const char* kToken = "operators-0123456789";

/// A platform, an endpoint and a daemon, each over its own sockets.
class WholePath {
 public:
  WholePath()
      : platform(this->pool.get_executor(), base::SystemClock()),
        endpoint(this->pool.get_executor(), {}) {
    REQUIRE(this->platform.Start("127.0.0.1:0").ok());
    REQUIRE(this->endpoint.Start().ok());
    const base::Place place{base::FailureDomain("delta-cairo"),
                            base::Region("delta")};
    this->platform.SetVms({{.name = "worker-1",
                            .role = base::VmRole::kEndpoint,
                            .address = this->endpoint.address(),
                            .place = place,
                            .service = base::Service("clockdesk"),
                            .models = {base::Model("loans")},
                            .slots = 8}});
    Settings settings;
    settings.vm_name = "vm-1";
    settings.place = place;
    settings.listen = "127.0.0.1:0";
    settings.admin_listen = "127.0.0.1:0";
    settings.peer_listen = "127.0.0.1:0";
    settings.platform_address = this->platform.Address();
    settings.fleet_secret = "0123456789abcdef";
    settings.admin_token = kToken;
    this->daemon = std::make_unique<Daemon>(settings);
    REQUIRE(this->daemon->Start().ok());
    this->runner = std::thread([this] { this->daemon->Run(); });
  }

  ~WholePath() {
    this->daemon->Shutdown();
    this->runner.join();
    this->endpoint.Stop();
    this->pool.stop();
    this->pool.join();
  }

  CallerAnswer Operate(const std::string& target, const std::string& body) {
    TestCaller caller(this->daemon->AdminAddress());
    return caller.Call("POST", target,
                       std::string("Authorization: Bearer ") + kToken + "\r\n",
                       body);
  }

  std::string GrantKey() {
    const auto answer = this->Operate(
        "/admin/keys",
        R"({"organisation":"cairo","label":"desk","author":"office"})");
    REQUIRE(answer.status == 200);
    const auto body = boost::json::parse(answer.body);
    return std::string(body.at("key").as_string());
  }

  CallerAnswer Call(const std::string& method, const std::string& target,
                    const std::string& key, const std::string& body) {
    TestCaller caller(this->daemon->CallerAddress());
    return caller.Call(method, target, "Authorization: Bearer " + key + "\r\n",
                       body);
  }

  /// Asks again until the answer holds `text`; empty if it never does.
  std::string AwaitText(const std::string& target, const std::string& key,
                        const std::string& text) {
    constexpr int kTries = 400;
    for (int i = 0; i < kTries; ++i) {
      const auto answer = this->Call("GET", target, key, "");
      if (answer.body.find(text) != std::string::npos) return answer.body;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return {};
  }

  boost::asio::thread_pool pool{2};
  testing::PlatformServer platform;
  testing::EndpointServer endpoint;
  std::unique_ptr<Daemon> daemon;
  std::thread runner;
};

TEST_CASE("a request and a job go from caller to endpoint and back") {
  WholePath path;
  boost::json::object rules{{"rules", kRules}, {"author", "office"}};
  REQUIRE(path.Operate("/admin/rules", boost::json::serialize(rules)).status ==
          200);
  const auto key = path.GrantKey();
  REQUIRE_FALSE(path.AwaitText("/v1/models", key, "loans").empty());
  SECTION("a completion is answered") {
    const auto answer = path.Call("POST", "/v1/completions", key,
                                  R"({"model":"loans","prompt":"clock 7"})");
    CHECK(answer.status == 200);
    CHECK(answer.body.find(testing::AnswerText("clock 7", 16)) !=
          std::string::npos);
  }
  SECTION("a confirmation runs once, and no endpoint sees the key") {
    CHECK(path.Call("POST", "/s/clockdesk/confirm", key, "loan 12").status ==
          200);
    const auto facts = path.endpoint.facts();
    CHECK(facts.executions.size() == 1);
    CHECK(facts.transcript.find(key) == std::string::npos);
  }
  SECTION("a job of three items ends with three results in order") {
    const std::string items =
        "{\"model\":\"loans\",\"prompt\":\"a\"}\n"
        "{\"model\":\"loans\",\"prompt\":\"b\"}\n"
        "{\"model\":\"loans\",\"prompt\":\"c\"}\n";
    const std::string target =
        "/v1/batches?id=draw-1&model=loans&due=2099-01-01T00:00:00Z";
    CHECK(path.Call("POST", target, key, items).status == 201);
    CHECK(path.Call("POST", target, key, items).status == 200);
    CHECK(path.Call("POST", target, key, items + items).status == 409);
    REQUIRE_FALSE(
        path.AwaitText("/v1/batches/draw-1", key, "finished").empty());
    const auto results =
        path.Call("GET", "/v1/batches/draw-1/results", key, "").body;
    std::size_t at = 0;
    for (const auto* prompt : {"a", "b", "c"}) {
      at = results.find(testing::AnswerText(prompt, 16), at);
      REQUIRE(at != std::string::npos);
    }
    CHECK(path.endpoint.facts().executions.size() == 3);
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
