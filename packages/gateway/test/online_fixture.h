#ifndef GYPSUMTRACK_GATEWAY_TEST_ONLINE_FIXTURE_H_
#define GYPSUMTRACK_GATEWAY_TEST_ONLINE_FIXTURE_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/gateway/online_service.h"
#include "gypsumtrack/gateway/rcu_cell.h"
#include "gypsumtrack/platform/memory_platform.h"
#include "gypsumtrack/testing/endpoint_server.h"

/// Fixture of an online service with test endpoints in one process.
namespace gypsumtrack::gateway {

inline constexpr const char* kSecret = "fleet-secret";
inline constexpr const char* kKey = "caller-key-7f3a";
inline constexpr const char* kModelName = "loans";
inline constexpr const char* kServiceName = "clockdesk";

struct FixtureOptions {
  std::size_t endpoints = 2;
  std::string rules =
      "allow org=cairo service=clockdesk model=loans rate=1000/s burst=1000  "
      "# office: tests\n"
      "allow org=cairo service=clockdesk rate=1000/s burst=1000  "
      "# office: tests\n"
      "allow org=cairo service=clockdesk rate=1000/s burst=1000 "
      "route=POST:/confirm idempotent=no  # office: tests\n"
      "open service=clockdesk route=GET:/status  # office: tests\n";
  base::Duration progress_timeout = std::chrono::seconds(10);
  base::Duration slow_body_grace = std::chrono::seconds(5);
  base::Duration decode_step{};
};

class OnlineFixture {
 public:
  explicit OnlineFixture(const FixtureOptions& options = {})
      : pool(4), access(std::make_shared<policy::AccessSnapshot>()) {
    this->runtime.settings.fleet_secret = kSecret;
    this->runtime.settings.progress_timeout = options.progress_timeout;
    this->runtime.clock = base::SystemClock();
    this->runtime.pool = this->pool.get_executor();
    this->runtime.control = boost::asio::make_strand(this->pool);
    this->rules = *policy::ParseRules(options.rules);
    this->SetWithdrawnKeys({});
    this->ConnectTable();
    this->StartEndpoints(options);
    this->StartServer(options);
  }

  ~OnlineFixture() {
    this->server->Stop();
    for (auto& endpoint : this->endpoints) endpoint->Stop();
    this->pool.stop();
    this->pool.join();
  }

  /// Sets the hashes of withdrawn keys.
  void SetWithdrawnKeys(std::set<std::string> withdrawn) {
    const policy::KeyGrant grant{base::HmacSha256Hex(kSecret, kKey),
                                 base::Organisation("cairo"), "office"};
    this->access.Set(std::make_shared<policy::AccessSnapshot>(
        1, this->rules, std::vector{grant}, std::move(withdrawn)));
  }

  /// Called when a request is admitted, before it is sent. May be empty.
  std::function<void()> on_admit;
  /// The platform's table. While `table_available` is false, its calls fail
  /// without effect.
  platform::MemoryPlatform table;
  std::atomic<bool> table_available{true};

  std::string address() const { return this->server->address(); }  // NOLINT

  /// Returns the highest number of executions of any request, summed over the
  /// endpoints.
  std::uint32_t MaxExecutions() const {
    std::map<std::string, std::uint32_t> counts;
    std::uint32_t max_count = 0;
    for (const auto& endpoint : this->endpoints) {
      for (const auto& [id, count] : endpoint->facts().executions) {
        counts[id] += count;
        max_count = std::max(max_count, counts[id]);
      }
    }
    return max_count;
  }

  boost::asio::thread_pool pool;
  Runtime runtime;
  std::vector<std::unique_ptr<testing::EndpointServer>> endpoints;
  std::unique_ptr<HttpServer> server;
  std::shared_ptr<policy::FleetView> view;

 private:
  void ConnectTable() {
    const base::Error unavailable(base::Errc::kUnavailable,
                                  "table unavailable");
    this->runtime.platform.table.commit =
        [this, unavailable](const base::TableCommit& commit, base::Instant,
                            const base::CommitHandler& handler) {
          const std::lock_guard lock(this->table_mutex);
          handler(this->table_available ? this->table.Commit(commit)
                                        : base::Status(unavailable));
        };
    this->runtime.platform.table.scan =
        [this, unavailable](const base::TableScan& scan, base::Instant,
                            const base::ScanHandler& handler) {
          const std::lock_guard lock(this->table_mutex);
          if (!this->table_available) return handler(unavailable);
          handler(this->table.Scan(scan));
        };
  }

  void StartEndpoints(const FixtureOptions& options) {
    this->view = std::make_shared<policy::FleetView>();
    for (std::size_t i = 0; i < options.endpoints; ++i) {
      testing::EndpointServerOptions endpoint;
      endpoint.timing.prefill_per_kilobyte = {};
      endpoint.timing.decode_step = options.decode_step;
      this->endpoints.push_back(std::make_unique<testing::EndpointServer>(
          this->pool.get_executor(), endpoint));
      if (!this->endpoints.back()->Start().ok()) std::abort();
      policy::Endpoint listed;
      listed.id = base::EndpointId("engine-" + std::to_string(i));
      listed.address = this->endpoints.back()->address();
      listed.service = base::Service(kServiceName);
      listed.models = {base::Model(kModelName)};
      listed.slots = endpoint.slots;
      this->view->endpoints.push_back(listed);
    }
  }

  void StartServer(const FixtureOptions& options) {
    OnlineHooks hooks;
    hooks.access = [this] { return this->access.Get(); };
    hooks.fleet = [this] { return this->view; };
    hooks.admit = [this](const policy::Rule&,
                         base::Instant) -> boost::asio::awaitable<Admission> {
      if (this->on_admit) this->on_admit();
      co_return Admission{};
    };
    this->service =
        std::make_unique<OnlineService>(this->runtime, std::move(hooks));
    Router router;
    this->service->Register(router);
    HttpServerOptions http;
    http.address = "127.0.0.1:0";
    http.slow_body_grace = options.slow_body_grace;
    http.drain_grace = std::chrono::milliseconds(50);
    this->server = std::make_unique<HttpServer>(
        this->pool.get_executor(), this->runtime.clock, http, router);
    if (!this->server->Start().ok()) std::abort();
  }

  std::mutex table_mutex;
  policy::RuleSet rules;
  RcuCell<policy::AccessSnapshot> access;
  std::unique_ptr<OnlineService> service;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_TEST_ONLINE_FIXTURE_H_
