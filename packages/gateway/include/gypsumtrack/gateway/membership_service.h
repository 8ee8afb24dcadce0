#ifndef GYPSUMTRACK_GATEWAY_MEMBERSHIP_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_MEMBERSHIP_SERVICE_H_

#include <memory>

#include "gypsumtrack/gateway/runtime.h"
#include "gypsumtrack/policy/fleet_view.h"

/// Discovers the VMs and endpoints of the fleet and detects failed daemons.
namespace gypsumtrack::gateway {

/// Runs a `policy::Membership` on `Runtime::control`: polls the platform's VM
/// list and exchanges pings and sync requests with peers.
class MembershipService {
 public:
  /// Preconditions: `runtime` outlives the service and all work queued on its
  /// control strand; the peer transport hasn't started; each start of a VM has
  /// a higher incarnation than the one before.
  explicit MembershipService(Runtime& runtime);
  /// Calls `Stop`.
  ~MembershipService();
  MembershipService(const MembershipService&) = delete;
  MembershipService& operator=(const MembershipService&) = delete;

  // Commands. Thread-safe; they run later on the control strand.

  /// Starts polling the platform's list. Pings start once the first poll has
  /// succeeded or failed. Must be called at most once.
  void Start();
  /// Stops all work. Later commands have no effect.
  void Stop();

  /// Announces to the peers that this VM is shutting down and takes no new
  /// work. Precondition: started.
  void AnnounceShutdown();

  /// Marks an endpoint as draining, as reported by the endpoint itself or by an
  /// operator.
  void MarkEndpointDraining(const base::EndpointId& id);

  // Queries. Thread-safe.

  /// Returns the current view of the fleet; never null. It has no peers or
  /// endpoints until the first list or message has been received.
  std::shared_ptr<const policy::FleetView> View() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_MEMBERSHIP_SERVICE_H_
