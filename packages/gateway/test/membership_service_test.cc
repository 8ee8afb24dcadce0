#include "gypsumtrack/gateway/membership_service.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "gypsumtrack/peer/peer_transport.h"
#include "gypsumtrack/platform/http_platform.h"
#include "gypsumtrack/testing/platform_server.h"

namespace gypsumtrack::gateway {
namespace {

using policy::PeerState;

/// Peer transport and membership service of a VM. All VMs share one thread.
struct Vm {
  Runtime runtime;
  std::unique_ptr<peer::PeerTransport> transport;
  std::unique_ptr<MembershipService> service;

  /// The state of the VM called `name` in this VM's view; kLost if unknown.
  PeerState PeerStateOf(const std::string& name) const {
    const auto view = this->service->View();
    for (const auto& peer : view->peers) {
      if (peer.id.name == name) return peer.state;
    }
    return PeerState::kLost;
  }
};

/// Daemons that find each other through a test server of the platform.
struct Fleet {
  boost::asio::io_context context;
  testing::PlatformServer platform{context.get_executor()};
  std::vector<std::unique_ptr<Vm>> vms;

  explicit Fleet(int size) {
    REQUIRE(this->platform.Start("127.0.0.1:0").ok());
    for (int i = 0; i < size; ++i) this->AddVm("vm-" + std::to_string(i));
    this->UpdatePlatformList();
    for (auto& vm : this->vms) vm->service->Start();
  }

  void AddVm(const std::string& name) {
    auto vm = std::make_unique<Vm>();
    auto& runtime = vm->runtime;
    runtime.self = {name, 1};
    runtime.clock = base::SystemClock();
    runtime.control = boost::asio::make_strand(this->context);
    runtime.pool = this->context.get_executor();
    runtime.settings.location.domain.text = "tartu-a";
    // A placeholder: the port is known only once the transport listens. Peers
    // take the address from the platform's list.
    runtime.settings.peer_listen = name;
    runtime.platform = platform::MakeHttpPlatform(
        runtime.pool, this->platform.Address(), runtime.clock);
    peer::TransportOptions options;
    options.self = runtime.self;
    options.listen = "127.0.0.1:0";
    options.fleet_secret = "secret";
    options.clock = runtime.clock;
    options.executor = runtime.pool;
    vm->transport = std::make_unique<peer::PeerTransport>(options);
    runtime.peers = vm->transport->Link();
    vm->service = std::make_unique<MembershipService>(runtime);
    REQUIRE(vm->transport->Start().ok());
    this->vms.push_back(std::move(vm));
  }

  /// Sets the platform's list to all VMs and one endpoint.
  void UpdatePlatformList() {
    std::vector<base::ListedVm> listed;
    for (const auto& vm : this->vms) {
      listed.push_back({.name = vm->runtime.self.name,
                        .address = vm->transport->Address(),
                        .location = vm->runtime.settings.location});
    }
    listed.push_back({.name = "worker-1",
                      .role = base::VmRole::kEndpoint,
                      .address = "127.0.0.1:1",
                      .slots = 4});
    this->platform.SetVms(std::move(listed));
  }

  template <typename Condition>
  void RunUntil(const Condition& condition) {
    while (!condition()) this->context.run_one();
  }

  /// Whether all other VMs report this state for the VM called `name`.
  bool AllReport(const std::string& name, PeerState state) const {
    return std::all_of(this->vms.begin(), this->vms.end(), [&](const auto& vm) {
      return vm->runtime.self.name == name || vm->PeerStateOf(name) == state;
    });
  }
};

TEST_CASE("daemons discover each other through the platform's list") {
  Fleet fleet(3);
  fleet.RunUntil([&] {
    return fleet.AllReport("vm-0", PeerState::kLive) &&
           fleet.AllReport("vm-1", PeerState::kLive) &&
           fleet.AllReport("vm-2", PeerState::kLive);
  });
  const auto view = fleet.vms.front()->service->View();
  CHECK(view->platform_reachable);
  CHECK(view->peers.front().id.incarnation == 1);
  REQUIRE(view->endpoints.size() == 1);
  CHECK(view->endpoints.front().slots == 4);
  SECTION(
      "a shutdown is announced to peers while the platform is unreachable") {
    fleet.platform.SetFaults({.down = true});
    fleet.vms[1]->service->AnnounceShutdown();
    fleet.RunUntil(
        [&] { return fleet.AllReport("vm-1", PeerState::kShuttingDown); });
    fleet.RunUntil([&] {
      return !fleet.vms.front()->service->View()->platform_reachable;
    });
    CHECK(fleet.vms.front()->service->View()->endpoints.size() == 1);
  }
  SECTION("a draining endpoint reported to one daemon is known to all") {
    fleet.vms[2]->service->MarkEndpointDraining(base::EndpointId("worker-1"));
    fleet.RunUntil([&] {
      return std::all_of(
          fleet.vms.begin(), fleet.vms.end(), [](const auto& vm) {
            return vm->service->View()->endpoints.front().draining;
          });
    });
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
