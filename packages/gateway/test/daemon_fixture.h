#ifndef GYPSUMTRACK_GATEWAY_TEST_DAEMON_FIXTURE_H_
#define GYPSUMTRACK_GATEWAY_TEST_DAEMON_FIXTURE_H_

#include <unistd.h>

#include <boost/asio/thread_pool.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "gypsumtrack/gateway/daemon.h"
#include "gypsumtrack/testing/endpoint_server.h"
#include "gypsumtrack/testing/platform_server.h"
#include "test_caller.h"

/// Fixture of a platform, an endpoint and daemons in one process, which
/// communicate over sockets.
namespace gypsumtrack::gateway {

inline constexpr const char* kAdminToken = "operators-0123456789";

inline std::string BearerHeader(const std::string& key) {
  return "Authorization: Bearer " + key + "\r\n";
}

class DaemonFixture {
 public:
  /// Starts one daemon for each name of a failure domain. The platform lists
  /// their VMs before they start, as it does with VMs that it has created.
  explicit DaemonFixture(const std::vector<std::string>& domains)
      : DaemonFixture(domains, domains) {}

  /// As above, but the platform lists only the VMs of `listed`.
  DaemonFixture(const std::vector<std::string>& domains,
                const std::vector<std::string>& listed)
      : platform(this->pool.get_executor(), base::SystemClock()),
        endpoint(this->pool.get_executor(), {}) {
    REQUIRE(this->platform.Start("127.0.0.1:0").ok());
    REQUIRE(this->endpoint.Start().ok());
    this->ListVms(listed);
    for (std::size_t i = 0; i < domains.size(); ++i) {
      this->StartDaemon(i, domains[i]);
    }
  }

  ~DaemonFixture() {
    for (std::size_t i = 0; i < this->daemons.size(); ++i) this->ShutDown(i);
    this->endpoint.Stop();
    this->pool.stop();
    this->pool.join();
  }

  /// Shuts a daemon down gracefully and waits until it has.
  void ShutDown(std::size_t vm) {
    this->daemons[vm]->Shutdown();
    if (this->run_threads[vm].joinable()) this->run_threads[vm].join();
  }

  std::string CallerAddress(std::size_t vm) const {
    return this->daemons[vm]->CallerAddress();
  }

  /// Sends a request to the operators' listener of the first daemon.
  CallerResponse PostAdmin(const std::string& target, const std::string& body) {
    TestCaller caller(this->daemons[0]->AdminAddress());
    return caller.Call("POST", target, BearerHeader(kAdminToken), body);
  }

  void ApplyRules(const std::string& rules) {
    const boost::json::object body{{"rules", rules}, {"author", "office"}};
    REQUIRE(
        this->PostAdmin("/admin/rules", boost::json::serialize(body)).status ==
        200);
  }

  std::string GrantKey(const std::string& organisation) {
    const boost::json::object body{{"organisation", organisation},
                                   {"label", "desk"},
                                   {"author", "office"}};
    const auto response =
        this->PostAdmin("/admin/keys", boost::json::serialize(body));
    REQUIRE(response.status == 200);
    const auto granted = boost::json::parse(response.body);
    return std::string(granted.at("key").as_string());
  }

  CallerResponse WithdrawKey(const std::string& key) {
    const boost::json::object body{{"key", key}, {"author", "office"}};
    return this->PostAdmin("/admin/keys/withdraw",
                           boost::json::serialize(body));
  }

  CallerResponse Call(std::size_t vm, const std::string& method,
                      const std::string& target, const std::string& key,
                      const std::string& body) {
    TestCaller caller(this->CallerAddress(vm));
    return caller.Call(method, target, BearerHeader(key), body);
  }

  /// Sets the platform's list to the VMs of `domains` and the endpoint.
  void ListVms(const std::vector<std::string>& domains) {
    std::vector<base::ListedVm> listed;
    for (std::size_t i = 0; i < domains.size(); ++i) {
      listed.push_back({.name = "vm-" + std::to_string(i + 1),
                        .address = PeerAddress(i),
                        .location = MakeLocation(domains[i])});
    }
    listed.push_back({.name = "worker-1",
                      .role = base::VmRole::kEndpoint,
                      .address = this->endpoint.address(),
                      .location = MakeLocation("delta-cairo"),
                      .service = base::Service("clockdesk"),
                      .models = {base::Model("loans")},
                      .slots = 8});
    this->platform.SetVms(listed);
  }

  /// Repeats a GET until the body contains `text` and returns the body; empty
  /// if it never does.
  std::string PollUntilContains(std::size_t vm, const std::string& target,
                                const std::string& key,
                                const std::string& text) {
    constexpr int kMaxPolls = 400;
    for (int i = 0; i < kMaxPolls; ++i) {
      const auto response = this->Call(vm, "GET", target, key, "");
      const bool contains_text = response.body.find(text) != std::string::npos;
      if (response.status == 200 && contains_text) return response.body;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return {};
  }

  /// Waits until all daemons are ready, as a load balancer does, and accept the
  /// key.
  void WaitUntilReady(const std::string& key) {
    for (std::size_t vm = 0; vm < this->daemons.size(); ++vm) {
      REQUIRE_FALSE(
          this->PollUntilContains(vm, "/readyz", key, "ready").empty());
    }
    for (std::size_t vm = 0; vm < this->daemons.size(); ++vm) {
      REQUIRE_FALSE(
          this->PollUntilContains(vm, "/v1/models", key, "list").empty());
    }
  }

  boost::asio::thread_pool pool{2};
  testing::PlatformServer platform;
  testing::EndpointServer endpoint;
  std::vector<std::unique_ptr<Daemon>> daemons;

 private:
  static base::Location MakeLocation(const std::string& domain) {
    return {base::FailureDomain(domain), base::Region("delta")};
  }

  void StartDaemon(std::size_t index, const std::string& domain) {
    Settings settings;
    settings.vm_name = "vm-" + std::to_string(index + 1);
    settings.location = MakeLocation(domain);
    settings.listen = "127.0.0.1:0";
    settings.admin_listen = "127.0.0.1:0";
    settings.peer_listen = PeerAddress(index);
    settings.platform_address = this->platform.Address();
    settings.fleet_secret = "0123456789abcdef";
    settings.admin_token = kAdminToken;
    settings.threads = 2;
    this->daemons.push_back(std::make_unique<Daemon>(settings));
    auto* daemon = this->daemons.back().get();
    REQUIRE(daemon->Start().ok());
    this->run_threads.emplace_back([daemon] { daemon->Run(); });
  }

  /// Returns a daemon's address for peers, which must be known before it
  /// starts. It is unique per test process and daemon, so that the port is
  /// free.
  static std::string PeerAddress(std::size_t index) {
    const auto process_id = static_cast<std::size_t>(getpid());
    return "127." + std::to_string(64 + process_id % 128) + "." +
           std::to_string(process_id / 128 % 250) + "." +
           std::to_string(index + 1) + ":18082";
  }

  std::vector<std::thread> run_threads;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_TEST_DAEMON_FIXTURE_H_
