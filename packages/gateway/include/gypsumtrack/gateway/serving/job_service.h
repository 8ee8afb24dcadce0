#ifndef GYPSUMTRACK_GATEWAY_SERVING_JOB_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_SERVING_JOB_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/gateway/serving/fleet_service.h"
#include "gypsumtrack/gateway/serving/relay_service.h"
#include "gypsumtrack/gateway/serving/serving_context.h"

/// Batch jobs: accepted once, run by the daemon that owns them, listed once,
/// read at any daemon. What must last lies in the store (store_layout.h).
namespace gypsumtrack::gateway {

/// All runs on the context's thread.
class JobService {
 public:
  /// Precondition: `context` and `fleet` outlive it.
  JobService(ServingContext& context, const FleetService& fleet);
  ~JobService();

  void Start();
  /// Starts no more items, hands jobs over as their running items end, and ends
  /// by `deadline` at the latest.
  boost::asio::awaitable<void> ShutDown(base::Instant deadline);

  /// Serves the submission of a job. Precondition: `access` holds a batch
  /// route.
  boost::asio::awaitable<void> HandleSubmission(Exchange& exchange,
                                                RequestMetadata facts,
                                                AccessDecision access);
  /// Serves a call about a job.
  boost::asio::awaitable<void> HandleJobRequest(Exchange& exchange,
                                                RequestMetadata facts,
                                                JobRequest call);

  /// Items of the jobs that this daemon owns which wait for a place.
  std::uint32_t CountWaitingItems() const;

 private:
  class State;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_JOB_SERVICE_H_
