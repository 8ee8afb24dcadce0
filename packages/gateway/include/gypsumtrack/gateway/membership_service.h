#ifndef GYPSUMTRACK_GATEWAY_MEMBERSHIP_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_MEMBERSHIP_SERVICE_H_

#include <memory>

#include "gypsumtrack/gateway/runtime.h"
#include "gypsumtrack/policy/fleet_view.h"

/// Keeps the daemon's picture of the fleet from the platform's list and peers.
namespace gypsumtrack::gateway {

class MembershipService {
 public:
  /// Precondition: `runtime` outlives the service and its control strand's
  /// work; the peer transport hasn't started; incarnations of VMs of one name
  /// rise from start to start.
  explicit MembershipService(Runtime& runtime);
  ~MembershipService();
  MembershipService(const MembershipService&) = delete;
  MembershipService& operator=(const MembershipService&) = delete;

  // Commands. Thread-safe.

  void Start();
  void Stop();

  /// Tells the peers that this VM takes no new work. Precondition: started.
  void AnnounceShutdown();

  /// An endpoint or an operator says that the endpoint takes no new work.
  void MarkEndpointDraining(const base::EndpointId& id);

  // Queries. Thread-safe.

  /// Never null; empty of peers and endpoints until first heard of.
  std::shared_ptr<const policy::FleetView> View() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_MEMBERSHIP_SERVICE_H_
