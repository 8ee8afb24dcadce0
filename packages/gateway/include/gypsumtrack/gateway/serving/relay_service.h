#ifndef GYPSUMTRACK_GATEWAY_SERVING_RELAY_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_SERVING_RELAY_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/gateway/serving/serving_context.h"

/// Online requests of callers: checks access, sends each request to an endpoint
/// and relays the response, streams event by event.
namespace gypsumtrack::gateway {

/// An error response that the daemon itself sends.
struct Refusal {
  /// HTTP status.
  unsigned status = 503;
  /// Stable error code, meant for programs.
  std::string code;
  /// Time after which the caller should retry; 0 if a retry wouldn't help.
  base::Duration retry_after{0};
};

/// Logs the refusal and sends it to the caller as JSON. Must run on the
/// context's thread.
boost::asio::awaitable<void> SendRefusal(ServingContext& context,
                                         Exchange& exchange,
                                         std::string request_id,
                                         Refusal refusal);

/// Refuses a request, which hasn't run, for lack of memory. Must run on the
/// context's thread.
boost::asio::awaitable<void> SendNoMemory(ServingContext& context,
                                          Exchange& exchange,
                                          std::string request_id);

/// Refuses a request whose body can't be read, for the error of
/// Exchange::ReadBody; ends the exchange if the caller has disconnected. Must
/// run on the context's thread.
boost::asio::awaitable<void> RefuseUnreadBody(ServingContext& context,
                                              Exchange& exchange,
                                              std::string request_id,
                                              const base::Error& error);

/// Whether a request is allowed, and the rules that apply to it.
struct AccessDecision {
  /// Null if the request is refused, and for decisions by key alone.
  const policy::RouteRule* route = nullptr;
  /// Null if the request is refused, or needs no key.
  const policy::OrganisationRule* organisation = nullptr;
  /// Owns `route` and `organisation`.
  std::shared_ptr<const policy::ServingRules> rules;
  /// Its code is empty if the request is allowed.
  Refusal refusal;
};

/// Decides by host, path and key. Must be called on the context's thread.
AccessDecision DecideAccess(const ServingContext& context,
                            const RequestHead& request,
                            const RequestMetadata& metadata);
/// Decides by key alone, for requests that don't belong to a route. Must be
/// called on the context's thread.
AccessDecision DecideKeyAccess(const ServingContext& context,
                               const RequestMetadata& metadata);

/// Serves an online request. Must run on the context's thread. Precondition:
/// `access` contains a route, and `context` and `exchange` outlive the call.
boost::asio::awaitable<void> RelayRequest(ServingContext& context,
                                          Exchange& exchange,
                                          RequestMetadata metadata,
                                          AccessDecision access);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_RELAY_SERVICE_H_
