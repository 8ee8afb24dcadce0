#ifndef GYPSUMTRACK_GATEWAY_SRC_ONLINE_RESPONSES_H_
#define GYPSUMTRACK_GATEWAY_SRC_ONLINE_RESPONSES_H_

#include <boost/asio/awaitable.hpp>
#include <string>
#include <string_view>

#include "gypsumtrack/gateway/dispatcher.h"
#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/gateway/idempotency_store.h"

/// Responses to callers of online requests, complete or as events. Functions
/// that return values are thread-safe; the others run where the exchange does.
namespace gypsumtrack::gateway {

/// Returns the head of a complete response that the gateway generates.
ResponseHead MakeResponseHead(std::string content_type);

/// Returns the head of a stream of server-sent events.
ResponseHead MakeStreamHead();

/// Returns a server-sent event.
std::string FormatEvent(std::string_view data);

/// Returns what is kept of an endpoint's response for repeated requests.
StoredResponse ToStoredResponse(const EndpointResult& result);

/// Responds to a request whose idempotency key was used before or can't be
/// looked up. Precondition: `exchange` outlives the call.
boost::asio::awaitable<void> SendStoredOutcome(Exchange& exchange,
                                               Intent intent);

/// Sends an endpoint's response to the caller. Preconditions: the dispatch got
/// a response; `exchange` outlives the call.
boost::asio::awaitable<void> SendEndpointResponse(Exchange& exchange,
                                                  DispatchResult result);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_ONLINE_RESPONSES_H_
