#ifndef GYPSUMTRACK_GATEWAY_BATCH_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_BATCH_SERVICE_H_

#include <functional>
#include <memory>

#include "gypsumtrack/gateway/batch_hooks.h"
#include "gypsumtrack/gateway/runtime.h"
#include "gypsumtrack/policy/batch_node.h"

/// Batch jobs for callers: submit, list, show, results, cancel.
namespace gypsumtrack::gateway {

class Router;

/// The batch part of a daemon, its runner included.
class BatchService {
 public:
  /// `runtime` outlives it. Must be made before the peer transport starts.
  BatchService(const Runtime& runtime, BatchHooks hooks,
               policy::BatchOptions options = {});
  ~BatchService();

  /// Adds the routes under /v1/batches. Before the server starts.
  void Register(Router& router);
  /// Adds the operators' routes under /admin/batches. Before the server starts.
  void RegisterAdmin(Router& router);
  /// Begins to run items. Thread-safe, as is Stop.
  void Start();
  /// Hands back what is held, then calls `done` once.
  void Stop(std::function<void()> done);

 private:
  class State;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_BATCH_SERVICE_H_
