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

/// A platform, an endpoint and daemons in one process, over their own sockets.
namespace gypsumtrack::gateway {

inline constexpr const char* kAdminToken = "operators-0123456789";

inline std::string Bearer(const std::string& key) {
  return "Authorization: Bearer " + key + "\r\n";
}

class DaemonFixture {
 public:
  /// One daemon for each name of a failure domain. The platform lists them
  /// before they start, as it does with VMs that it has created.
  explicit DaemonFixture(const std::vector<std::string>& domains)
      : DaemonFixture(domains, domains) {}

  /// The platform's list names the VMs of `listed` alone.
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
    for (std::size_t i = 0; i < this->daemons.size(); ++i) this->Stop(i);
    this->endpoint.Stop();
    this->pool.stop();
    this->pool.join();
  }

  /// A graceful shutdown.
  void Stop(std::size_t vm) {
    this->daemons[vm]->Shutdown();
    if (this->runners[vm].joinable()) this->runners[vm].join();
  }

  std::string CallerAddress(std::size_t vm) const {
    return this->daemons[vm]->CallerAddress();
  }

  CallerResponse Operate(const std::string& target, const std::string& body) {
    TestCaller caller(this->daemons[0]->AdminAddress());
    return caller.Call("POST", target, Bearer(kAdminToken), body);
  }

  void ApplyRules(const std::string& rules) {
    const boost::json::object body{{"rules", rules}, {"author", "office"}};
    REQUIRE(
        this->Operate("/admin/rules", boost::json::serialize(body)).status ==
        200);
  }

  std::string GrantKey(const std::string& organisation) {
    const boost::json::object body{{"organisation", organisation},
                                   {"label", "desk"},
                                   {"author", "office"}};
    const auto answer =
        this->Operate("/admin/keys", boost::json::serialize(body));
    REQUIRE(answer.status == 200);
    const auto granted = boost::json::parse(answer.body);
    return std::string(granted.at("key").as_string());
  }

  CallerResponse Withdraw(const std::string& key) {
    const boost::json::object body{{"key", key}, {"author", "office"}};
    return this->Operate("/admin/keys/withdraw", boost::json::serialize(body));
  }

  CallerResponse Call(std::size_t vm, const std::string& method,
                      const std::string& target, const std::string& key,
                      const std::string& body) {
    TestCaller caller(this->CallerAddress(vm));
    return caller.Call(method, target, Bearer(key), body);
  }

  /// What the platform lists: the VMs of `domains`, and the endpoint.
  void ListVms(const std::vector<std::string>& domains) {
    std::vector<base::ListedVm> listed;
    for (std::size_t i = 0; i < domains.size(); ++i) {
      listed.push_back({.name = "vm-" + std::to_string(i + 1),
                        .address = PeerAddress(i),
                        .place = PlaceOf(domains[i])});
    }
    listed.push_back({.name = "worker-1",
                      .role = base::VmRole::kEndpoint,
                      .address = this->endpoint.address(),
                      .place = PlaceOf("delta-cairo"),
                      .service = base::Service("clockdesk"),
                      .models = {base::Model("loans")},
                      .slots = 8});
    this->platform.SetVms(listed);
  }

  /// Asks again until the answer holds `text`; empty if it never does.
  std::string AwaitText(std::size_t vm, const std::string& target,
                        const std::string& key, const std::string& text) {
    constexpr int kTries = 400;
    for (int i = 0; i < kTries; ++i) {
      const auto answer = this->Call(vm, "GET", target, key, "");
      const bool found = answer.body.find(text) != std::string::npos;
      if (answer.status == 200 && found) return answer.body;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return {};
  }

  /// Waits until all daemons are ready, as a balancer does, and take the key.
  void AwaitKey(const std::string& key) {
    for (std::size_t vm = 0; vm < this->daemons.size(); ++vm) {
      REQUIRE_FALSE(this->AwaitText(vm, "/readyz", key, "ready").empty());
    }
    for (std::size_t vm = 0; vm < this->daemons.size(); ++vm) {
      REQUIRE_FALSE(this->AwaitText(vm, "/v1/models", key, "list").empty());
    }
  }

  boost::asio::thread_pool pool{2};
  testing::PlatformServer platform;
  testing::EndpointServer endpoint;
  std::vector<std::unique_ptr<Daemon>> daemons;

 private:
  static base::Place PlaceOf(const std::string& domain) {
    return {base::FailureDomain(domain), base::Region("delta")};
  }

  void StartDaemon(std::size_t number, const std::string& domain) {
    Settings settings;
    settings.vm_name = "vm-" + std::to_string(number + 1);
    settings.place = PlaceOf(domain);
    settings.listen = "127.0.0.1:0";
    settings.admin_listen = "127.0.0.1:0";
    settings.peer_listen = PeerAddress(number);
    settings.platform_address = this->platform.Address();
    settings.fleet_secret = "0123456789abcdef";
    settings.admin_token = kAdminToken;
    settings.threads = 2;
    this->daemons.push_back(std::make_unique<Daemon>(settings));
    auto* daemon = this->daemons.back().get();
    REQUIRE(daemon->Start().ok());
    this->runners.emplace_back([daemon] { daemon->Run(); });
  }

  /// Peers must know it before the daemon runs; each daemon of each test
  /// process has an address of its own, so that the port is free.
  static std::string PeerAddress(std::size_t number) {
    const auto process = static_cast<std::size_t>(getpid());
    return "127." + std::to_string(64 + process % 128) + "." +
           std::to_string(process / 128 % 250) + "." +
           std::to_string(number + 1) + ":18082";
  }

  std::vector<std::thread> runners;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_TEST_DAEMON_FIXTURE_H_
