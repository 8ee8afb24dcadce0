#ifndef GYPSUMTRACK_GATEWAY_BATCH_RUNNER_H_
#define GYPSUMTRACK_GATEWAY_BATCH_RUNNER_H_

#include <functional>
#include <memory>

#include "gypsumtrack/gateway/batch_hooks.h"
#include "gypsumtrack/gateway/runtime.h"
#include "gypsumtrack/policy/batch_node.h"

/// Carries out what the batch decisions of this daemon ask for.
namespace gypsumtrack::gateway {

class BatchRunner {
 public:
  /// `runtime` outlives it. Registers its peer methods, so it must be made
  /// before the peer transport starts.
  BatchRunner(const Runtime& runtime, BatchHooks hooks,
              policy::BatchOptions options = {});
  ~BatchRunner();

  /// Begins to lease and run chunks. Thread-safe, as are those below.
  void Start();
  /// Hands back what is held, then calls `done` once.
  void Stop(std::function<void()> done);
  /// A job was accepted here.
  void OnAccepted(policy::BatchJob job);
  /// See policy::BatchNode::Cancel; `done` runs on the control strand.
  void Cancel(policy::BatchJob job, std::function<void(base::Status)> done);

 private:
  class State;
  std::shared_ptr<State> state;
  boost::asio::any_io_executor control;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_BATCH_RUNNER_H_
