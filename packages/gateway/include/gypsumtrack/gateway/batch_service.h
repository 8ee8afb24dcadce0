#ifndef GYPSUMTRACK_GATEWAY_BATCH_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_BATCH_SERVICE_H_

#include <functional>
#include <memory>

#include "gypsumtrack/gateway/batch_hooks.h"
#include "gypsumtrack/gateway/runtime.h"
#include "gypsumtrack/policy/batch_node.h"

/// HTTP API of batch jobs.
namespace gypsumtrack::gateway {

class Router;

/// Serves the routes with which callers submit, list, inspect and cancel batch
/// jobs and read their results. Also runs the items of jobs, by a BatchRunner.
class BatchService {
 public:
  /// Preconditions: `runtime` outlives the service and all its pending work,
  /// and the peer transport hasn't started.
  BatchService(const Runtime& runtime, BatchHooks hooks,
               policy::BatchOptions options = {});
  ~BatchService();

  /// Adds the callers' routes under /v1/batches. Precondition: the server
  /// hasn't started.
  void Register(Router& router);
  /// Adds the operators' routes under /admin/batches. Precondition: the server
  /// hasn't started.
  void RegisterAdmin(Router& router);
  /// Starts to run items. Call at most once. Thread-safe.
  void Start();
  /// Starts no more items and returns all held chunks to the other VMs, then
  /// calls `done` once. Precondition: Start was called. Thread-safe.
  void Stop(std::function<void()> done);

 private:
  class State;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_BATCH_SERVICE_H_
