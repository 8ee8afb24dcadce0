#ifndef GYPSUMTRACK_GATEWAY_BATCH_RUNNER_H_
#define GYPSUMTRACK_GATEWAY_BATCH_RUNNER_H_

#include <functional>
#include <memory>

#include "gypsumtrack/gateway/batch_hooks.h"
#include "gypsumtrack/gateway/runtime.h"
#include "gypsumtrack/policy/batch_node.h"

/// Performs the I/O of batch processing on this daemon.
namespace gypsumtrack::gateway {

/// Drives a policy::BatchNode on the control strand: passes events to it and
/// performs the actions that it requests. The methods are thread-safe.
class BatchRunner {
 public:
  /// Registers the peer methods. Preconditions: `runtime` outlives the runner
  /// and all its pending work, and the peer transport hasn't started.
  BatchRunner(const Runtime& runtime, BatchHooks hooks,
              policy::BatchOptions options = {});
  ~BatchRunner();

  /// Starts to lease and run chunks. Call at most once.
  void Start();
  /// Starts no more items and returns all held chunks to the other VMs, then
  /// calls `done` once, on the control strand. Precondition: Start was called.
  void Stop(std::function<void()> done);
  /// Adds a job that this VM accepted. See policy::BatchNode::OnAccepted.
  void OnAccepted(policy::BatchJob job);
  /// Cancels a job. `done` runs once, on the control strand, when no item of
  /// the job runs or can start on any VM. Otherwise it receives the error of
  /// policy::BatchNode::Cancel.
  void Cancel(policy::BatchJob job, std::function<void(base::Status)> done);

 private:
  class State;
  std::shared_ptr<State> state;
  boost::asio::any_io_executor control;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_BATCH_RUNNER_H_
