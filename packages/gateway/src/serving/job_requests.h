#ifndef GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_REQUESTS_H_
#define GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_REQUESTS_H_

#include <boost/asio/awaitable.hpp>

#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/gateway/serving/serving_context.h"
#include "job_ownership.h"
#include "job_row_cache.h"
#include "job_runner.h"
#include "job_store.h"
#include "result_waiters.h"

/// Requests about batch jobs that were accepted.
namespace gypsumtrack::gateway {

/// Serves requests about jobs, wherever they run. Not thread-safe; used on the
/// context's thread.
class JobRequests {
 public:
  /// Sets the runner's hook for committed results. Precondition: all arguments
  /// outlive the requests.
  JobRequests(ServingContext& context, const JobStore& store, JobRunner& runner,
              JobOwnership& ownership, JobRowCache& rows);

  /// Serves a request about a job. Precondition: the kind of `request` isn't
  /// kNone, otherwise no response is sent, and `exchange` outlives the call.
  boost::asio::awaitable<void> Handle(Exchange& exchange,
                                      RequestMetadata metadata,
                                      JobRequest request);
  /// Lets no more callers wait for results; those that wait already do so on.
  void StopWaiting();

 private:
  boost::asio::awaitable<void> HandleResults(Exchange& exchange,
                                             const RequestMetadata& metadata,
                                             JobKey key,
                                             const JobRequest& request);
  boost::asio::awaitable<void> HandleItemBody(Exchange& exchange,
                                              const RequestMetadata& metadata,
                                              JobKey key,
                                              const JobRequest& request);
  boost::asio::awaitable<void> HandleEnd(Exchange& exchange,
                                         const RequestMetadata& metadata,
                                         JobKey key);
  /// The job's row, from the cache or the store.
  boost::asio::awaitable<base::Outcome<layout::JobRow>> FindRow(JobKey key);
  /// Waits until this daemon commits results of the job, or until the store
  /// should be polled or `remaining_time` has passed.
  boost::asio::awaitable<void> WaitForResults(const JobKey& key,
                                              base::Duration remaining_time);

  ServingContext& context;
  const JobStore& store;
  JobRunner& runner;
  JobOwnership& ownership;
  JobRowCache& rows;
  ResultWaiters waiters;
  bool stopped_waiting = false;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_REQUESTS_H_
