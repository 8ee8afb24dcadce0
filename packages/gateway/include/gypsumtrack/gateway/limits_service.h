#ifndef GYPSUMTRACK_GATEWAY_LIMITS_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_LIMITS_SERVICE_H_

#include <functional>
#include <memory>

#include "gypsumtrack/gateway/admin_service.h"
#include "gypsumtrack/gateway/admission.h"
#include "gypsumtrack/gateway/runtime.h"
#include "gypsumtrack/policy/access.h"
#include "gypsumtrack/policy/fleet_view.h"

/// Enforces the rate and burst limits of organisations across the whole fleet.
namespace gypsumtrack::gateway {

/// Queries that `LimitsService` makes of other services of the daemon. Each
/// must be thread-safe.
struct LimitsHooks {
  /// Returns the rules in force.
  std::function<std::shared_ptr<const policy::AccessSnapshot>()> access;
  /// Returns the daemon's view of the fleet; never null.
  std::function<std::shared_ptr<const policy::FleetView>()> fleet;
};

/// Runs a `policy::LimitNode` on `Runtime::control`. A request takes a token
/// from an immutable snapshot of the token slices without a lock; it goes
/// through the control strand only if its slice has no token.
class LimitsService {
 public:
  /// Preconditions: `runtime` outlives the service, and the peer transport
  /// hasn't started.
  LimitsService(const Runtime& runtime, LimitsHooks hooks);
  /// Precondition: the executors have stopped, or the callback of `Stop` has
  /// run.
  ~LimitsService();
  LimitsService(const LimitsService&) = delete;
  LimitsService& operator=(const LimitsService&) = delete;

  /// Starts periodic work on the control strand. Thread-safe. Must be called at
  /// most once.
  void Start();
  /// Releases the lease under which this VM lends tokens, then calls `done`
  /// once on the control strand, within a second and whether or not the release
  /// has reached the table. Thread-safe.
  void Stop(std::function<void()> done);

  /// Whether this VM has a lease, or has waited for one for 5 s since `Start`.
  /// Without a lease, as when the table is unreachable, it may still borrow.
  /// Thread-safe.
  bool ready() const;  // NOLINT

  /// Returns the hook that admits requests. Precondition: the service outlives
  /// the hook. Thread-safe.
  AdmitHook Admit();

  /// Adds GET /admin/limits/ORG. For each limit of the organisation, it returns
  /// the shares, the borrowers and the age of this data as each VM sees them.
  /// Not thread-safe; must be called before the server starts. Precondition:
  /// the service outlives the server.
  void Register(Router& router);

 private:
  class State;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_LIMITS_SERVICE_H_
