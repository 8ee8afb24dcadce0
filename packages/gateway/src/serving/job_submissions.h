#ifndef GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_SUBMISSIONS_H_
#define GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_SUBMISSIONS_H_

#include <boost/asio/awaitable.hpp>

#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/gateway/serving/relay_service.h"
#include "gypsumtrack/gateway/serving/serving_context.h"
#include "job_ownership.h"
#include "job_store.h"

/// Accepts batch jobs that callers submit.
namespace gypsumtrack::gateway {

/// Serves submissions. Not thread-safe; used on the context's thread.
class JobSubmissions {
 public:
  /// Precondition: all arguments outlive the submissions.
  JobSubmissions(ServingContext& context, const JobStore& store,
                 JobOwnership& ownership);

  /// Reads the submission, accepts its job and runs it here. Precondition:
  /// `access` holds a batch route, and `exchange` outlives the call.
  boost::asio::awaitable<void> Handle(Exchange& exchange,
                                      RequestMetadata metadata,
                                      AccessDecision access);

 private:
  void LogAcceptance(const JobKey& key, const JobAcceptance& acceptance,
                     base::Instant started_at);
  boost::asio::awaitable<void> Respond(Exchange& exchange,
                                       const RequestMetadata& metadata,
                                       const JobAcceptance& acceptance);

  ServingContext& context;
  const JobStore& store;
  JobOwnership& ownership;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_SUBMISSIONS_H_
