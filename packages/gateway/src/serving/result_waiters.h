#ifndef GYPSUMTRACK_GATEWAY_SRC_SERVING_RESULT_WAITERS_H_
#define GYPSUMTRACK_GATEWAY_SRC_SERVING_RESULT_WAITERS_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>

#include "owned_job.h"

/// Callers that wait for results of batch jobs.
namespace gypsumtrack::gateway {

/// The waiting callers of each job. Not thread-safe; used on the thread of the
/// executor.
class ResultWaiters {
 public:
  explicit ResultWaiters(const boost::asio::any_io_executor& executor);

  /// Waits until results of the job are announced or `max_wait` has passed.
  /// Precondition: the waiters outlive the call.
  boost::asio::awaitable<void> Wait(JobKey key, base::Duration max_wait);
  /// Wakes the callers that wait for results of the job.
  void Notify(const JobKey& key);

 private:
  boost::asio::any_io_executor executor;
  /// Cancelled to wake the caller.
  std::multimap<JobKey, std::shared_ptr<boost::asio::steady_timer>> timers;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_SERVING_RESULT_WAITERS_H_
