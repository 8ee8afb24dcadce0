#ifndef GYPSUMTRACK_GATEWAY_DAEMON_H_
#define GYPSUMTRACK_GATEWAY_DAEMON_H_

#include <memory>
#include <string>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/gateway/settings.h"

/// A daemon: its threads and services, and the order in which they start and
/// stop.
namespace gypsumtrack::gateway {

/// Serves callers, operators and other daemons. Several daemons may run in one
/// process.
class Daemon {
 public:
  /// Creates the services; nothing runs before Start.
  explicit Daemon(Settings settings);
  /// Stops the threads. Not graceful if Run hasn't returned.
  ~Daemon();

  /// Binds the listeners and starts threads and services. Errors: kUnavailable,
  /// kInvalid. Precondition: called once.
  base::Status Start();

  /// Waits until a shutdown is complete. Preconditions: Start succeeded; called
  /// once.
  void Run();

  /// Begins a graceful shutdown: the daemon reports that it isn't ready,
  /// accepts no connections, finishes open exchanges within the drain timeout
  /// and returns its leases. Thread-safe; further calls do nothing.
  void Shutdown();

  /// Returns the bound `ip:port` of the listener for callers. Precondition:
  /// Start succeeded. Thread-safe.
  std::string CallerAddress() const;
  /// Returns the bound `ip:port` of the listener for operators. Precondition:
  /// Start succeeded. Thread-safe.
  std::string AdminAddress() const;

  /// Returns whether a load balancer should send callers here. Thread-safe.
  bool Ready() const;

 private:
  class State;
  std::unique_ptr<State> state;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_DAEMON_H_
