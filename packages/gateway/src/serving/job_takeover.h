#ifndef GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_TAKEOVER_H_
#define GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_TAKEOVER_H_

#include <boost/asio/awaitable.hpp>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/gateway/serving/serving_context.h"
#include "job_ownership.h"
#include "job_store.h"

/// Takes over batch jobs whose owner is lost or has left.
namespace gypsumtrack::gateway {

/// Takes jobs over until stopped. Not thread-safe; used on the context's
/// thread.
class JobTakeover {
 public:
  /// Precondition: all arguments outlive the takeover.
  JobTakeover(ServingContext& context, const JobStore& store,
              JobOwnership& ownership);

  /// Looks for jobs without a live owner and takes them over, until stopped.
  /// Precondition: the takeover outlives the call.
  boost::asio::awaitable<void> Run();
  /// Takes over no more jobs; one whose takeover is under way is still run.
  void Stop();

 private:
  boost::asio::awaitable<void> Adopt(policy::OwnerRow orphan);
  /// Loads a job that was taken over and runs its remaining items. On failure
  /// the owner row still names this daemon, and JobOwners::OrphansToAdopt
  /// returns the job again after a grace period.
  boost::asio::awaitable<base::Status> LoadAndOwn(policy::OwnerRow orphan,
                                                  std::uint64_t owner_version);

  ServingContext& context;
  const JobStore& store;
  JobOwnership& ownership;
  bool stopped = false;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_TAKEOVER_H_
