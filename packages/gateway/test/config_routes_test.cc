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

/// The configuration service and admin routes of one daemon without peers, on
/// an in-memory table.
class SingleDaemon {
 public:
  SingleDaemon()
      : runtime(this->MakeRuntime()),
        config(this->runtime, [this] { return this->view; }),
        server(this->pool.get_executor(), base::SystemClock(),
               {.address = "127.0.0.1:0"}, this->Routes()) {
    this->config.Start();
    REQUIRE(this->server.Start().ok());
    // Without peers, the service is ready once it has read the table.
    while (!this->config.ready()) this->Call("GET", "/admin/status", "");
  }

  ~SingleDaemon() {
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

  /// Calls a route, requires status 200 and returns the parsed body.
  boost::json::value CallOk(const std::string& method,
                            const std::string& target,
                            const std::string& body) {
    const auto response = this->Call(method, target, body);
    REQUIRE(response.status == 200);
    return boost::json::parse(response.body);
  }

  /// Whether requests with the key are accepted.
  bool Accepts(const std::string& key) {
    const auto hash = base::HmacSha256Hex("fleet secret", key);
    return this->config.Access()->FindOrganisation(hash).has_value();
  }

 private:
  Runtime MakeRuntime() {
    Runtime result;
    result.self = {"vm-1", 1};
    result.settings.admin_token = "token";
    result.settings.fleet_secret = "fleet secret";
    result.clock = base::SystemClock();
    result.control = boost::asio::make_strand(this->pool.get_executor());
    result.pool = this->pool.get_executor();
    result.platform.table.commit = [this](const base::TableCommit& commit,
                                          base::Instant /*deadline*/,
                                          const base::CommitHandler& done) {
      boost::asio::post(this->pool, [this, commit, done] {
        done(this->platform.Commit(commit));
      });
    };
    result.platform.table.scan = [this](const base::TableScan& scan,
                                        base::Instant /*deadline*/,
                                        const base::ScanHandler& done) {
      boost::asio::post(
          this->pool, [this, scan, done] { done(this->platform.Scan(scan)); });
    };
    result.peers.on_notice = [](const std::string&,
                                const peer::NoticeHandler&) {};
    result.peers.notify = [](const std::string&, const std::string&,
                             const Json::Value&) {};
    auto fleet_view = std::make_shared<policy::FleetView>();
    fleet_view->self = result.self;
    fleet_view->location.domain = base::FailureDomain("tartu-a");
    this->view = fleet_view;
    return result;
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

TEST_CASE("admin routes change rules and keys") {
  SingleDaemon daemon;
  const auto applied = daemon.CallOk(
      "POST", "/admin/rules",
      R"({"rules":"allow org=a service=s rate=1/s burst=2 # kaja: intake\n",)"
      R"("author":"kaja"})");
  CHECK(applied.at("revision") == 1);
  CHECK(applied.at("changed") == 1);
  CHECK(applied.at("domains").at(0).at("in_force") == 1);
  const auto granted =
      daemon.CallOk("POST", "/admin/keys",
                    R"({"organisation":"a","label":"desk","author":"kaja"})");
  const std::string key(granted.at("key").as_string());
  CHECK(daemon.Accepts(key));

  SECTION(
      "a conflicting file is refused with the change that it conflicts with") {
    const auto response = daemon.Call(
        "POST", "/admin/rules",
        R"({"rules":"allow org=a service=s rate=9/s burst=2 # mart: lots\n",)"
        R"("author":"mart"})");
    CHECK(response.status == 409);
    CHECK(response.body.find("revision 1 by kaja") != std::string::npos);
  }
  SECTION("a malformed file is refused with the line of the error") {
    const auto response =
        daemon.Call("POST", "/admin/rules",
                    R"({"rules":"\nallow org=a # x\n","author":"mart"})");
    CHECK(response.status == 400);
    CHECK(response.body.find("2:") != std::string::npos);
  }
  SECTION("a key can be withdrawn by its label or by the key itself") {
    const auto by_label = GENERATE(true, false);
    const auto body = by_label
                          ? std::string(R"({"label":"desk","author":"kaja"})")
                          : R"({"key":")" + key + R"(","author":"kaja"})";
    const auto response = daemon.CallOk("POST", "/admin/keys/withdraw", body);
    CHECK(response.at("in_force_everywhere") == true);
    CHECK(response.at("durable") == true);
    CHECK_FALSE(daemon.Accepts(key));
    CHECK(
        daemon.CallOk("GET", "/admin/keys", "").at("keys").as_array().empty());
  }
  SECTION("withdrawal by an unknown label gets 404") {
    CHECK(daemon
              .Call("POST", "/admin/keys/withdraw",
                    R"({"label":"none","author":"kaja"})")
              .status == 404);
  }
  SECTION("history and blame return the changes and their authors") {
    const auto history =
        daemon.CallOk("GET", "/admin/rules/history?limit=1", "");
    CHECK(history.at("changes").as_array().size() == 1);
    CHECK(history.at("changes").at(0).at("kind") == "key-grant");
    const auto blame = daemon.CallOk("GET", "/admin/rules/blame", "");
    CHECK(blame.at("rules").at(0).at("author") == "kaja");
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
