#include "gypsumtrack/gateway/membership_service.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>
#include <vector>

#include "gypsumtrack/gateway/rcu_cell.h"

namespace gypsumtrack::gateway {
namespace {

constexpr auto kListPeriod = std::chrono::seconds(1);
constexpr auto kListTimeout = std::chrono::seconds(2);

std::shared_ptr<policy::FleetView> FirstView(const Runtime& runtime) {
  auto view = std::make_shared<policy::FleetView>();
  view->self = runtime.self;
  view->place = runtime.settings.place;
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

}  // namespace

struct MembershipService::State
    : std::enable_shared_from_this<MembershipService::State> {
  explicit State(Runtime& shared)
      : runtime(shared), timer(shared.control), view(FirstView(shared)) {}

  Runtime& runtime;
  boost::asio::steady_timer timer;
  RcuCell<policy::FleetView> view;
  bool stopped = false;

  void Poll() {
    const auto deadline = this->runtime.clock.now() + kListTimeout;
    this->runtime.platform.vms(
        deadline, [self = this->shared_from_this()](auto listed) {
          boost::asio::post(
              self->runtime.control,
              [self, listed = std::move(listed)] { self->Listed(listed); });
        });
  }

  void Listed(const base::Outcome<std::vector<base::ListedVm>>& listed) {
    if (this->stopped) return;
    auto next = std::make_shared<policy::FleetView>(*this->view.Get());
    next->platform_reachable = listed.ok();
    if (listed.ok()) this->Replace(*next, *listed);
    this->view.Set(std::move(next));
    this->timer.expires_after(kListPeriod);
    this->timer.async_wait([self = this->shared_from_this()](auto error) {
      if (!error && !self->stopped) self->Poll();
    });
  }

  void Replace(policy::FleetView& next,
               const std::vector<base::ListedVm>& listed) const {
    next.peers.clear();
    next.endpoints.clear();
    for (const auto& vm : listed) {
      if (vm.role == base::VmRole::kEndpoint) {
        next.endpoints.push_back(MakeEndpoint(vm));
      } else if (vm.name != this->runtime.self.name) {
        const bool leaving = vm.state == base::VmState::kLeaving;
        next.peers.push_back({.id = {vm.name, 0},
                              .address = vm.address,
                              .place = vm.place,
                              .state = leaving ? policy::PeerState::kLeaving
                                               : policy::PeerState::kSuspect});
      }
    }
  }
};

MembershipService::MembershipService(Runtime& runtime)
    : state(std::make_shared<State>(runtime)) {}

MembershipService::~MembershipService() { this->Stop(); }

void MembershipService::Start() {
  boost::asio::post(this->state->runtime.control,
                    [state = this->state] { state->Poll(); });
}

void MembershipService::Stop() {
  boost::asio::post(this->state->runtime.control, [state = this->state] {
    state->stopped = true;
    state->timer.cancel();
  });
}

void MembershipService::Leave() {}

std::shared_ptr<const policy::FleetView> MembershipService::View() const {
  return this->state->view.Get();
}

}  // namespace gypsumtrack::gateway
