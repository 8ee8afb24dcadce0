#include "gypsumtrack/policy/batch_slots.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>

namespace gypsumtrack::policy {
namespace {

constexpr std::uint32_t kSlots = 32;

/// Returns the view of VM number `self` in a failure domain of four VMs.
FleetView MakeView(int self, int endpoints) {
  FleetView view;
  view.self = {fmt::format("vm{}", self), 1};
  view.location.domain.text = "delta-cairo";
  for (int i = 0; i < 4; ++i) {
    if (i == self) continue;
    PeerVm peer;
    peer.id = {fmt::format("vm{}", i), 1};
    peer.location = view.location;
    peer.state = PeerState::kLive;
    view.peers.push_back(peer);
  }
  for (int i = 0; i < endpoints; ++i) {
    Endpoint endpoint;
    endpoint.id.text = fmt::format("e{}", i);
    endpoint.location = view.location;
    endpoint.slots = kSlots;
    view.endpoints.push_back(endpoint);
  }
  return view;
}

/// Returns a sample of endpoint e0 with this many online requests.
LoadSample MakeSample(std::uint32_t own, std::uint32_t peers) {
  LoadSample sample;
  sample.endpoint.text = "e0";
  sample.own_online = own;
  sample.peer_online = peers;
  sample.peers_known = true;
  return sample;
}

}  // namespace

TEST_CASE("Each endpoint's batch slots are owned by one VM") {
  for (int endpoint = 0; endpoint < 12; ++endpoint) {
    int owners = 0;
    for (int vm = 0; vm < 4; ++vm) {
      BatchSlots slots(SlotOptions{});
      slots.SetFleet(MakeView(vm, 12));
      owners += slots.Owns(base::EndpointId(fmt::format("e{}", endpoint)));
    }
    CHECK(owners == 1);
  }
}

TEST_CASE("Batch items get the slots that online requests leave free") {
  auto view = MakeView(0, 1);
  view.peers.clear();
  BatchSlots slots(SlotOptions{});
  slots.SetFleet(view);
  const base::Instant now(std::chrono::seconds(100));
  slots.Observe(now, MakeSample(1, 3));
  const auto initial_slots = slots.Capacity(now).at(0).slots;
  CHECK(initial_slots < kSlots - 4);
  CHECK(initial_slots > kSlots / 2);
  SECTION("fewer as soon as online requests arrive") {
    slots.Observe(now, MakeSample(2, 18));
    CHECK(slots.Capacity(now).at(0).slots <= kSlots - 20);
  }
  SECTION("none when online requests fill the endpoint") {
    slots.Observe(now, MakeSample(10, 22));
    CHECK(slots.Capacity(now).at(0).slots == 0);
  }
  SECTION("none when the endpoint has stopped reporting its load") {
    auto sample = MakeSample(0, 0);
    sample.reported_at = now - std::chrono::seconds(10);
    slots.Observe(now, sample);
    CHECK(slots.Capacity(now).at(0).slots == 0);
  }
}

}  // namespace gypsumtrack::policy
