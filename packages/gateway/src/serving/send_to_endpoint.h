#ifndef GYPSUMTRACK_GATEWAY_SRC_SERVING_SEND_TO_ENDPOINT_H_
#define GYPSUMTRACK_GATEWAY_SRC_SERVING_SEND_TO_ENDPOINT_H_

#include <boost/asio/awaitable.hpp>

#include "gypsumtrack/gateway/serving/serving_context.h"

/// Sends to endpoints, counted in the endpoint book.
namespace gypsumtrack::gateway {

/// Runs the call and tells the book how it went. Precondition: the call's
/// address is the endpoint's.
boost::asio::awaitable<EndpointResult> SendToEndpoint(
    ServingContext& context, policy::EndpointEntry endpoint,
    policy::WorkKind kind, EndpointCall call);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_SERVING_SEND_TO_ENDPOINT_H_
