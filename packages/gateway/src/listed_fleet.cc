#include "listed_fleet.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace gypsumtrack::gateway {
namespace {

constexpr base::Duration kPollPeriod = std::chrono::seconds(1);
constexpr base::Duration kPollDeadline = std::chrono::seconds(2);

policy::FleetView EmptyView(const Runtime& runtime) {
  policy::FleetView view;
  view.self = runtime.self;
  view.place = runtime.settings.place;
  return view;
}

policy::Endpoint MakeEndpoint(const base::ListedVm& vm) {
  return {.id = base::EndpointId(vm.name),
          .address = vm.address,
          .place = vm.place,
          .service = vm.service,
          .models = vm.models,
          .slots = vm.slots,
          .leaving = vm.state == base::VmState::kLeaving,
          .checks_fencing = vm.checks_fencing};
}

policy::PeerVm MakePeer(const base::ListedVm& vm) {
  const bool leaving = vm.state == base::VmState::kLeaving;
  return {.id = {vm.name, 0},
          .address = vm.address,
          .place = vm.place,
          .state =
              leaving ? policy::PeerState::kLeaving : policy::PeerState::kLive};
}

}  // namespace

ListedFleet::ListedFleet(const Runtime& shared)
    : runtime(shared),
      timer(shared.control),
      view(std::make_shared<policy::FleetView>(EmptyView(shared))) {}

void ListedFleet::Start() {
  boost::asio::post(this->runtime.control, [this] { this->Poll(); });
}

void ListedFleet::Stop() {
  boost::asio::post(this->runtime.control, [this] {
    this->stopped = true;
    this->timer.cancel();
  });
}

std::shared_ptr<const policy::FleetView> ListedFleet::View() const {
  return this->view.Get();
}

void ListedFleet::Poll() {
  if (this->stopped) return;
  this->runtime.platform.vms(
      this->runtime.clock.now() + kPollDeadline, [this](auto listed) {
        boost::asio::post(this->runtime.control,
                          [this, listed = std::move(listed)] {
                            this->Take(listed);
                            this->Wait();
                          });
      });
}

void ListedFleet::Wait() {
  this->timer.expires_after(kPollPeriod);
  this->timer.async_wait([this](const boost::system::error_code& failure) {
    if (!failure) this->Poll();
  });
}

void ListedFleet::Take(
    const base::Outcome<std::vector<base::ListedVm>>& listed) {
  auto next = std::make_shared<policy::FleetView>(*this->view.Get());
  next->platform_reachable = listed.ok();
  if (listed.ok()) {
    next->peers.clear();
    next->endpoints.clear();
    for (const auto& vm : *listed) {
      if (vm.role == base::VmRole::kEndpoint) {
        next->endpoints.push_back(MakeEndpoint(vm));
      } else if (vm.name != this->runtime.self.name) {
        next->peers.push_back(MakePeer(vm));
      }
    }
  }
  this->view.Set(std::move(next));
}

}  // namespace gypsumtrack::gateway
