#ifndef GYPSUMTRACK_POLICY_FLEET_VIEW_H_
#define GYPSUMTRACK_POLICY_FLEET_VIEW_H_

#include <string>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/vm_list.h"

/// An immutable snapshot of the VMs and endpoints that one daemon knows.
namespace gypsumtrack::policy {

/// State of another VM's daemon, as this daemon sees it.
enum class PeerState {
  kLive,     ///< responsive
  kSuspect,  ///< unresponsive, or listed but not yet confirmed by a message
  kShuttingDown,  ///< announced by the daemon itself or by the platform's list
  kLost,  ///< unresponsive beyond the suspicion timeout, replaced, or unknown
};

/// Names of the states in the status API and in metrics.
inline constexpr auto kPeerStateNames = base::MakeEnumTable<PeerState>({
    {PeerState::kLive, "live"},
    {PeerState::kSuspect, "suspect"},
    {PeerState::kShuttingDown, "leaving"},
    {PeerState::kLost, "lost"},
});

/// The daemon of another VM.
struct PeerVm {
  base::VmId id;
  /// `ip:port` of the peer listener.
  std::string address;
  base::Location location;
  PeerState state = PeerState::kSuspect;

  bool operator==(const PeerVm&) const = default;
};

/// An endpoint of the platform's list. A draining one gets no new requests.
struct Endpoint {
  base::EndpointId id;
  /// `ip:port` at which the endpoint serves requests.
  std::string address;
  base::Location location;
  base::Service service;
  std::vector<base::Model> models;
  /// Number of requests that the endpoint runs concurrently.
  std::uint32_t slots = 0;
  bool draining = false;
  /// Whether the endpoint refuses orders with an outdated fencing number.
  bool checks_fencing = false;

  bool operator==(const Endpoint&) const = default;
};

/// The fleet as one daemon sees it.
struct FleetView {
  base::VmId self;
  base::Location location;
  /// All known VMs except this one.
  std::vector<PeerVm> peers;
  std::vector<Endpoint> endpoints;
  /// Whether this VM's last request to the platform succeeded.
  bool platform_reachable = false;
  /// Whether the platform's list has ever contained this VM. Until then, the
  /// list may predate the fleet and contain no endpoints.
  bool listed = false;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_FLEET_VIEW_H_
