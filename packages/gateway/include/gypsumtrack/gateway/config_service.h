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

/// Keeps a daemon's rules and keys up to date.
namespace gypsumtrack::gateway {

/// The current view of the fleet; thread-safe, never null.
using FleetQuery = std::function<std::shared_ptr<const policy::FleetView>()>;

/// The configuration in force on this VM.
struct ConfigInForce {
  base::Revision revision = 0;
  bool ready = false;
  /// Whether the table answered this VM's last read.
  bool table_reachable = false;
  /// Whether the domain hears neither the platform nor another domain.
  bool isolated = false;
  /// Withdrawals that the table doesn't hold yet.
  std::size_t pending_withdrawals = 0;

  bool operator==(const ConfigInForce&) const = default;
};

/// Runs a policy::ConfigNode on Runtime::control.
class ConfigService {
 public:
  using AppendHandler =
      std::function<void(base::Outcome<policy::AppendResult>)>;
  using WithdrawHandler = std::function<void(policy::WithdrawResponse)>;
  using StatusHandler = std::function<void(policy::StatusResponse)>;
  using LogQuery = std::function<void(const policy::ConfigLog&)>;

  /// Precondition: `runtime` outlives the service; the peer transport hasn't
  /// started.
  ConfigService(const Runtime& runtime, FleetQuery fleet,
                policy::ConfigOptions options = {});
  ~ConfigService();

  // Commands. Thread-safe.

  void Start();
  /// No handler runs after those already queued.
  void Stop();
  /// The handler runs once, on Runtime::control.
  void Submit(policy::Proposal proposal, AppendHandler handler);
  /// As Submit. The proposal's body is a KeyWithdrawal.
  void Withdraw(policy::Proposal proposal, WithdrawHandler handler);
  /// As Submit. Asks every domain for the revisions in force.
  void QueryFleetStatus(StatusHandler handler);
  /// Shows the replica of the log to `query`, on Runtime::control.
  void ReadLog(LogQuery query);

  // Queries. Thread-safe, without a lock.

  /// What requests are checked against; never null. Empty until ready.
  std::shared_ptr<const policy::AccessSnapshot> Access() const;
  bool ready() const;  // NOLINT
  ConfigInForce InForce() const;

 private:
  class State;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_CONFIG_SERVICE_H_
