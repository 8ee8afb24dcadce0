#ifndef GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_GARBAGE_COLLECTOR_H_
#define GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_GARBAGE_COLLECTOR_H_

#include <boost/asio/awaitable.hpp>

#include "job_store.h"

/// Garbage collection of batch jobs that have ended: removes their rows and
/// objects from the store.
namespace gypsumtrack::gateway {

/// Counts of one pass of the garbage collection.
struct JobGarbageCollectionPass {
  /// Jobs examined.
  std::size_t jobs = 0;
  /// Jobs removed.
  std::size_t removed = 0;
  /// Failed listings and unreadable rows. The next pass tries them again.
  std::size_t failures = 0;
};

/// Removes all jobs that were accepted at least `keep` ago by the store's clock
/// and have no owner row any more: first their results, submissions and
/// objects, then the job rows, so that a later pass finishes an interrupted
/// one. Any daemon may call it at any time; concurrent passes are safe.
/// Precondition: `store` outlives the call.
boost::asio::awaitable<JobGarbageCollectionPass> RemoveExpiredJobs(
    const JobStore& store, base::Duration keep);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_GARBAGE_COLLECTOR_H_
