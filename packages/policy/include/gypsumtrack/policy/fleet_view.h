#ifndef GYPSUMTRACK_POLICY_FLEET_VIEW_H_
#define GYPSUMTRACK_POLICY_FLEET_VIEW_H_

#include <string>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/vm_list.h"

/// The VMs and endpoints as one daemon sees them: an immutable snapshot.
namespace gypsumtrack::policy {

enum class PeerState {
  kLive,          ///< heard within the heartbeat deadline
  kSuspect,       ///< silent past the deadline, or listed and not yet heard
  kShuttingDown,  ///< said so itself, or by the platform's list
  kLost,          ///< silent for long, replaced, or gone from the list
};

inline constexpr auto kPeerStateNames = base::MakeEnumTable<PeerState>({
    {PeerState::kLive, "live"},
    {PeerState::kSuspect, "suspect"},
    {PeerState::kShuttingDown, "leaving"},
    {PeerState::kLost, "lost"},
});

/// Another daemon.
struct PeerVm {
  base::VmId id;
  std::string address;
  base::Place location;
  PeerState state = PeerState::kSuspect;

  bool operator==(const PeerVm&) const = default;
};

/// An endpoint that may be given work.
struct Endpoint {
  base::EndpointId id;
  std::string address;
  base::Place location;
  base::Service service;
  std::vector<base::Model> models;
  /// Requests that it runs at once.
  std::uint32_t slots = 0;
  bool draining = false;
  bool checks_fencing = false;

  bool operator==(const Endpoint&) const = default;
};

struct FleetView {
  base::VmId self;
  base::Place location;
  /// Without the daemon itself.
  std::vector<PeerVm> peers;
  std::vector<Endpoint> endpoints;
  /// Whether this VM's last call to the platform was answered.
  bool platform_reachable = false;
  /// Whether the platform's list has named this VM. Before, that list may be
  /// older than the fleet, and name no endpoint either.
  bool listed = false;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_FLEET_VIEW_H_
