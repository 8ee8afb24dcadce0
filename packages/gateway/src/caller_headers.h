#ifndef GYPSUMTRACK_GATEWAY_SRC_CALLER_HEADERS_H_
#define GYPSUMTRACK_GATEWAY_SRC_CALLER_HEADERS_H_

#include <string>
#include <string_view>
#include <vector>

#include "gypsumtrack/gateway/http_server.h"

/// Selects the headers and query parameters that are forwarded between callers
/// and endpoints.
namespace gypsumtrack::gateway {

/// Returns the key in `Authorization: Bearer` or `X-Api-Key`; empty if there is
/// none. Thread-safe.
std::string FindCallerKey(const RequestHead& request);

/// Returns the request headers to forward to an endpoint: without keys, cookies
/// and hop-by-hop headers. Thread-safe.
std::vector<Header> EndpointRequestHeaders(const RequestHead& request);

/// Returns the headers of an endpoint's response to forward to the caller.
/// Thread-safe.
std::vector<Header> CallerResponseHeaders(const std::vector<Header>& headers);

/// Returns the query without parameters that are named like a credential or
/// contain `key`. Thread-safe.
std::string StripKeyParameters(std::string_view query, std::string_view key);

/// Percent-encodes a decoded path for a request line. Thread-safe.
std::string EncodePath(std::string_view path);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_CALLER_HEADERS_H_
