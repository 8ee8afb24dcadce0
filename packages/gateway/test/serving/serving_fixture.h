#ifndef GYPSUMTRACK_GATEWAY_TEST_SERVING_SERVING_FIXTURE_H_
#define GYPSUMTRACK_GATEWAY_TEST_SERVING_SERVING_FIXTURE_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "gypsumtrack/gateway/serving/fleet_service.h"
#include "gypsumtrack/gateway/serving/serving_context.h"

/// One daemon's shared state for tests of its services.
namespace gypsumtrack::gateway {

/// The context and the leases of a daemon that runs in real time on the calling
/// thread.
class ServingFixture {
 public:
  /// Precondition: `row_store` outlives the fixture.
  ServingFixture(const base::RowStore& row_store, const std::string& vm_name,
                 Wire wire, StoreViewSource view_source = {})
      : store_view(this->context.get_executor(), this->clock, row_store,
                   std::move(view_source), [] {}, {}),
        client(this->context.get_executor(), this->clock, {}),
        serving{.settings = {},
                .self = {vm_name, 1},
                .wire = std::move(wire),
                .clock = this->clock,
                .executor = this->context.get_executor(),
                .store = row_store,
                .store_view = this->store_view,
                .client = this->client,
                .registry = this->registry,
                .metrics = ServingMetrics(this->registry),
                .endpoints = policy::EndpointRegistry({}),
                .quota = policy::FleetQuota({}),
                .batch_starts = policy::BatchStartLimiter({}),
                .crash_hooks = {},
                .stream_versions = {},
                .path_hooks = {},
                .random = std::minstd_rand(1)},
        fleet(this->context.get_executor(), this->clock, row_store,
              Settings(vm_name), this->serving.self,
              [](const std::vector<PeerDaemon>&) {}) {}

  /// Runs the daemon until the condition holds.
  void RunUntil(const std::function<bool()>& condition) {
    while (!condition()) {
      this->context.restart();
      this->context.run_for(std::chrono::milliseconds(10));
    }
  }

  /// Runs what can run at once.
  void Poll() {
    this->context.restart();
    this->context.poll();
  }

  base::Clock clock = base::SystemClock();
  boost::asio::io_context context;
  telemetry::Registry registry;
  StoreViewService store_view;
  EndpointClient client;
  ServingContext serving;
  FleetService fleet;

 private:
  static ServingSettings Settings(const std::string& vm_name) {
    ServingSettings settings;
    settings.vm_name = vm_name;
    settings.location = {base::FailureDomain("cairo"), base::Region("delta")};
    settings.gossip_listen = "127.0.0.1:7360";
    return settings;
  }
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_TEST_SERVING_SERVING_FIXTURE_H_
