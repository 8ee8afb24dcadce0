#ifndef GYPSUMTRACK_GATEWAY_DAEMON_H_
#define GYPSUMTRACK_GATEWAY_DAEMON_H_

#include <memory>
#include <string>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/gateway/settings.h"

/// One daemon: its threads, its parts and their order of start and stop.
namespace gypsumtrack::gateway {

/// Several may run in one process.
class Daemon {
 public:
  explicit Daemon(Settings settings);
  /// Stops without a graceful shutdown if Run has not ended.
  ~Daemon();

  /// Binds the listeners and starts the threads. Errors: kUnavailable,
  /// kInvalid. Call once.
  base::Status Start();

  /// Waits until a shutdown has ended. Precondition: Start succeeded.
  void Run();

  /// Begins a graceful shutdown: not ready, no new connections, open exchanges
  /// end, leases go back. Thread-safe; later calls change nothing.
  void Shutdown();

  /// Bound `ip:port` of callers' and operators' listeners. Precondition: Start
  /// succeeded. Thread-safe.
  std::string CallerAddress() const;
  std::string AdminAddress() const;

  /// Whether the balancer should send callers here. Thread-safe.
  bool Ready() const;

 private:
  class State;
  std::unique_ptr<State> state;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_DAEMON_H_
