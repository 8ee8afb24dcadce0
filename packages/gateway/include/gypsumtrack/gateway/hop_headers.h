#ifndef GYPSUMTRACK_GATEWAY_HOP_HEADERS_H_
#define GYPSUMTRACK_GATEWAY_HOP_HEADERS_H_

#include <string_view>
#include <vector>

#include "gypsumtrack/gateway/http_server.h"

/// Hop-by-hop headers, which apply to a single connection.
namespace gypsumtrack::gateway {

/// Whether the header `name` must not be forwarded: because it is hop-by-hop by
/// definition, frames the body (`Content-Length`, `Transfer-Encoding`), or is
/// listed in a `Connection` header of the message. Thread-safe.
bool IsHopByHop(const std::vector<Header>& message, std::string_view name);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_HOP_HEADERS_H_
