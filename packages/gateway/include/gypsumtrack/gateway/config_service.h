#ifndef GYPSUMTRACK_GATEWAY_CONFIG_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_CONFIG_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/gateway/runtime.h"
#include "gypsumtrack/policy/access.h"
#include "gypsumtrack/policy/config_log.h"
#include "gypsumtrack/policy/config_message.h"
#include "gypsumtrack/policy/config_node.h"
#include "gypsumtrack/policy/fleet_view.h"

/// Replicates the configuration, that is rules and keys, to each daemon.
namespace gypsumtrack::gateway {

/// Returns the daemon's current view of the fleet; never null. Must be
/// thread-safe.
using FleetQuery = std::function<std::shared_ptr<const policy::FleetView>()>;

/// State of this VM's replica of the configuration.
struct ConfigInForce {
  /// The revision in force; 0 while the replica isn't ready.
  base::Revision revision = 0;
  /// Whether requests may be checked against the replica.
  bool ready = false;
  /// Whether this VM's last read of the table succeeded.
  bool table_reachable = false;
  /// Whether the failure domain has had no contact to the platform or another
  /// domain for `policy::ConfigOptions::isolation_timeout`.
  bool isolated = false;
  /// Number of withdrawn keys whose withdrawal isn't in the log yet.
  std::size_t pending_withdrawals = 0;

  bool operator==(const ConfigInForce&) const = default;
};

/// Runs a `policy::ConfigNode` on `Runtime::control`.
class ConfigService {
 public:
  /// Receives the result of an appended proposal.
  using AppendHandler =
      std::function<void(base::Outcome<policy::AppendResult>)>;
  /// Receives the progress of a withdrawal in all domains.
  using WithdrawHandler = std::function<void(policy::WithdrawResponse)>;
  /// Receives the revisions in force in all domains.
  using StatusHandler = std::function<void(policy::StatusResponse)>;
  /// Reads the log; must not keep the reference.
  using LogQuery = std::function<void(const policy::ConfigLog&)>;

  /// Overrides `options.wall_clock`. Preconditions: `runtime` outlives the
  /// service and all work queued on its control strand; the peer transport
  /// hasn't started.
  ConfigService(const Runtime& runtime, FleetQuery fleet,
                policy::ConfigOptions options = {});
  /// Calls `Stop`.
  ~ConfigService();

  // Commands. Thread-safe; they run later on Runtime::control.

  /// Starts replication. Must be called once.
  void Start();
  /// Stops replication: messages, store replies and timers are ignored from
  /// then on. Handlers not called by then may never be called.
  void Stop();
  /// Proposes a change. Calls `handler` once, on Runtime::control, unless the
  /// service stops before.
  void Submit(policy::Proposal proposal, AppendHandler handler);
  /// Withdraws keys in all domains. Overwrites the proposal's operation id.
  /// `handler` is called as by `Submit`. Precondition: the proposal's body is a
  /// `policy::KeyWithdrawal`, and it has no deadline.
  void Withdraw(policy::Proposal proposal, WithdrawHandler handler);
  /// Queries every domain for the revisions in force. `handler` is called as by
  /// `Submit`.
  void QueryFleetStatus(StatusHandler handler);
  /// Calls `query` with this VM's replica of the log, on Runtime::control.
  void ReadLog(LogQuery query);

  // Queries. Thread-safe; they don't wait for Runtime::control.

  /// Returns the rules and keys that requests are checked against; never null,
  /// and empty until the replica is ready.
  std::shared_ptr<const policy::AccessSnapshot> Access() const;
  /// Whether requests may be checked against `Access`.
  bool ready() const;  // NOLINT
  /// Returns the state of the replica.
  ConfigInForce InForce() const;

 private:
  class State;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_CONFIG_SERVICE_H_
