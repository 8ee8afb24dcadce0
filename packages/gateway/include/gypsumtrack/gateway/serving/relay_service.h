#ifndef GYPSUMTRACK_GATEWAY_SERVING_RELAY_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_SERVING_RELAY_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/gateway/serving/serving_context.h"

/// Callers' requests: who may, where to, and the answer back, event by event.
namespace gypsumtrack::gateway {

/// An answer of the daemon's own.
struct Refusal {
  unsigned status = 503;
  /// Stable, for programs.
  std::string code;
  /// When the caller should come back; none if that wouldn't help.
  base::Duration retry_after{0};
};

boost::asio::awaitable<void> SendRefusal(ServingContext& context,
                                         Exchange& exchange,
                                         std::string request_id,
                                         Refusal refusal);

/// Who asks for what, as far as the rules in force tell.
struct AccessDecision {
  /// Null if refused.
  const policy::RouteRule* route = nullptr;
  /// Null on routes that need no key.
  const policy::OrganisationRule* organisation = nullptr;
  /// Keeps the two alive.
  std::shared_ptr<const policy::ServingRules> rules;
  Refusal refusal;
};

/// Decides by host, path and key.
AccessDecision DecideAccess(const ServingContext& context,
                            const RequestHead& request,
                            const CallerFacts& facts);
/// Whether the holder of the key may call at all, for calls without a route.
AccessDecision DecideKeyAccess(const ServingContext& context,
                               const CallerFacts& facts);

/// Serves one request that isn't about batch jobs. Precondition: `access` holds
/// a route.
boost::asio::awaitable<void> RelayRequest(ServingContext& context,
                                          Exchange& exchange, CallerFacts facts,
                                          AccessDecision access);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SERVING_RELAY_SERVICE_H_
