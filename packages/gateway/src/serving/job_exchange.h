#ifndef GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_EXCHANGE_H_
#define GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_EXCHANGE_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/gateway/serving/relay_service.h"
#include "gypsumtrack/gateway/serving/serving_context.h"
#include "owned_job.h"

/// What all callers' requests about batch jobs have in common. The coroutines
/// must run on the context's thread. Precondition of all: arguments passed by
/// reference outlive the call.
namespace gypsumtrack::gateway {

/// Time after which a caller should retry if the store failed.
inline constexpr base::Duration kRetryAfterFailure =
    std::chrono::milliseconds(300);

/// Returns the key of a job of the caller. Its organisation is empty if the
/// caller needs no key. Thread-safe.
JobKey MakeJobKey(const AccessDecision& access, base::JobId job);

/// Sends a JSON response.
boost::asio::awaitable<void> SendJson(const ServingContext& context,
                                      Exchange& exchange,
                                      const RequestMetadata& metadata,
                                      unsigned status, std::string body);
/// Refuses the request.
boost::asio::awaitable<void> Refuse(ServingContext& context, Exchange& exchange,
                                    const RequestMetadata& metadata,
                                    Refusal refusal);
/// Refuses the request because a call of the store failed.
boost::asio::awaitable<void> RefuseAfterError(ServingContext& context,
                                              Exchange& exchange,
                                              const RequestMetadata& metadata,
                                              const base::Error& error);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_EXCHANGE_H_
