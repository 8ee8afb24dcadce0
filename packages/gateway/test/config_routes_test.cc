#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/gateway/admin_service.h"
#include "gypsumtrack/platform/memory_platform.h"
#include "test_caller.h"

namespace gypsumtrack::gateway {
namespace {

/// One daemon's rules and keys over a table in memory, and its operators' API.
class LoneDaemon {
 public:
  LoneDaemon()
      : runtime(this->MakeRuntime()),
        config(this->runtime, [this] { return this->view; }),
        server(this->pool.get_executor(), base::SystemClock(),
               {.address = "127.0.0.1:0"}, this->Routes()) {
    this->config.Start();
    REQUIRE(this->server.Start().ok());
    // Served by the table, and without peers: ready after its first reads.
    while (!this->config.ready()) this->Call("GET", "/admin/status", "");
  }

  ~LoneDaemon() {
    this->config.Stop();
    this->server.Stop();
    this->pool.stop();
    this->pool.join();
  }

  CallerResponse Call(const std::string& method, const std::string& target,
                      const std::string& body) {
    TestCaller caller(this->server.address());
    return caller.Call(method, target, "Authorization: Bearer token\r\n", body);
  }

  boost::json::value Ask(const std::string& method, const std::string& target,
                         const std::string& body) {
    const auto answer = this->Call(method, target, body);
    REQUIRE(answer.status == 200);
    return boost::json::parse(answer.body);
  }

  bool Accepts(const std::string& key) {
    const auto hash = base::HmacSha256Hex("fleet secret", key);
    return this->config.Access()->FindOrganisation(hash).has_value();
  }

 private:
  Runtime MakeRuntime() {
    Runtime made;
    made.self = {"vm-1", 1};
    made.settings.admin_token = "token";
    made.settings.fleet_secret = "fleet secret";
    made.clock = base::SystemClock();
    made.control = boost::asio::make_strand(this->pool.get_executor());
    made.pool = this->pool.get_executor();
    made.platform.table.commit = [this](const base::TableCommit& commit,
                                        base::Instant /*deadline*/,
                                        const base::CommitHandler& done) {
      boost::asio::post(this->pool, [this, commit, done] {
        done(this->platform.Commit(commit));
      });
    };
    made.platform.table.scan = [this](const base::TableScan& scan,
                                      base::Instant /*deadline*/,
                                      const base::ScanHandler& done) {
      boost::asio::post(
          this->pool, [this, scan, done] { done(this->platform.Scan(scan)); });
    };
    made.peers.on_notice = [](const std::string&, const peer::NoticeHandler&) {
    };
    made.peers.notify = [](const std::string&, const std::string&,
                           const Json::Value&) {};
    auto alone = std::make_shared<policy::FleetView>();
    alone->self = made.self;
    alone->location.domain = base::FailureDomain("tartu-a");
    this->view = alone;
    return made;
  }

  Router Routes() {
    Router router;
    AddConfigRoutes(router, this->runtime, this->config);
    return router;
  }

  boost::asio::thread_pool pool{1};
  platform::MemoryPlatform platform;
  std::shared_ptr<const policy::FleetView> view;
  Runtime runtime;
  ConfigService config;
  HttpServer server;
};

TEST_CASE("an operator sets rules and keys over HTTP") {
  LoneDaemon daemon;
  const auto applied = daemon.Ask(
      "POST", "/admin/rules",
      R"({"rules":"allow org=a service=s rate=1/s burst=2 # kaja: intake\n",)"
      R"("author":"kaja"})");
  CHECK(applied.at("revision") == 1);
  CHECK(applied.at("changed") == 1);
  CHECK(applied.at("domains").at(0).at("in_force") == 1);
  const auto granted =
      daemon.Ask("POST", "/admin/keys",
                 R"({"organisation":"a","label":"desk","author":"kaja"})");
  const std::string key(granted.at("key").as_string());
  CHECK(daemon.Accepts(key));

  SECTION("a conflicting file is refused, naming the other change") {
    const auto answer = daemon.Call(
        "POST", "/admin/rules",
        R"({"rules":"allow org=a service=s rate=9/s burst=2 # mart: lots\n",)"
        R"("author":"mart"})");
    CHECK(answer.status == 409);
    CHECK(answer.body.find("revision 1 by kaja") != std::string::npos);
  }
  SECTION("a malformed file is refused with its line") {
    const auto answer =
        daemon.Call("POST", "/admin/rules",
                    R"({"rules":"\nallow org=a # x\n","author":"mart"})");
    CHECK(answer.status == 400);
    CHECK(answer.body.find("2:") != std::string::npos);
  }
  SECTION("the key is withdrawn by its label or by itself") {
    const auto named = GENERATE(true, false);
    const auto body = named ? std::string(R"({"label":"desk","author":"kaja"})")
                            : R"({"key":")" + key + R"(","author":"kaja"})";
    const auto answer = daemon.Ask("POST", "/admin/keys/withdraw", body);
    CHECK(answer.at("in_force_everywhere") == true);
    CHECK(answer.at("durable") == true);
    CHECK_FALSE(daemon.Accepts(key));
    CHECK(daemon.Ask("GET", "/admin/keys", "").at("keys").as_array().empty());
  }
  SECTION("a label that no key has is refused") {
    CHECK(daemon
              .Call("POST", "/admin/keys/withdraw",
                    R"({"label":"none","author":"kaja"})")
              .status == 404);
  }
  SECTION("history and blame name who did what") {
    const auto history = daemon.Ask("GET", "/admin/rules/history?limit=1", "");
    CHECK(history.at("changes").as_array().size() == 1);
    CHECK(history.at("changes").at(0).at("kind") == "key-grant");
    const auto blame = daemon.Ask("GET", "/admin/rules/blame", "");
    CHECK(blame.at("rules").at(0).at("author") == "kaja");
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
