#ifndef GYPSUMTRACK_GATEWAY_SERVING_JOB_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_SERVING_JOB_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/gateway/serving/fleet_service.h"
#include "gypsumtrack/gateway/serving/relay_service.h"
#include "gypsumtrack/gateway/serving/serving_context.h"

/// Batch jobs. A job is accepted once and run by the daemon that owns it; each
/// result is added once to the job's result list (it is then "listed") and can
/// be read at any daemon. Durable state is kept in the store (store_layout.h).
namespace gypsumtrack::gateway {

/// Accepts batch jobs, runs those that this daemon owns, takes over jobs whose
/// owner is lost and serves requests about jobs. Not thread-safe; used on the
/// context's thread.
class JobService {
 public:
  /// Precondition: `context` and `fleet` outlive the service.
  JobService(ServingContext& context, const FleetService& fleet);
  ~JobService();

  /// Starts the background loops. Call once.
  void Start();
  /// Starts no more items, aborts those that run and hands over all jobs that
  /// this daemon owns, with their partial output. `deadline` is checked between
  /// passes over the jobs; a pass that is under way may end later.
  boost::asio::awaitable<void> ShutDown(base::Instant deadline);

  /// Serves the submission of a job. Precondition: `access` holds a batch
  /// route.
  boost::asio::awaitable<void> HandleSubmission(Exchange& exchange,
                                                RequestMetadata metadata,
                                                AccessDecision access);
  /// Serves a request about an existing job. Precondition: the kind of
  /// `request` isn't kNone; otherwise no response is sent.
  boost::asio::awaitable<void> HandleJobRequest(Exchange& exchange,
                                                RequestMetadata metadata,
                                                JobRequest request);

  /// Number of items of the jobs owned by this daemon that wait for a free
  /// slot.
  std::uint32_t CountWaitingItems() const;

 private:
  class State;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_JOB_SERVICE_H_
