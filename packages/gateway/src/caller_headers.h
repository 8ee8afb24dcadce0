#ifndef GYPSUMTRACK_GATEWAY_SRC_CALLER_HEADERS_H_
#define GYPSUMTRACK_GATEWAY_SRC_CALLER_HEADERS_H_

#include <string>
#include <string_view>
#include <vector>

#include "gypsumtrack/gateway/http_server.h"

/// What of a caller's request reaches an endpoint, and the other way.
namespace gypsumtrack::gateway {

/// The key that came with the request, empty if none did. Thread-safe.
std::string FindCallerKey(const RequestHead& request);

/// The headers that an endpoint may see: no key, cookie or hop-by-hop header.
/// Thread-safe.
std::vector<Header> EndpointRequestHeaders(const RequestHead& request);

/// The headers of an endpoint's answer that a caller may see. Thread-safe.
std::vector<Header> CallerResponseHeaders(const std::vector<Header>& headers);

/// The query without key parameters. Thread-safe.
std::string StripKeyParameters(std::string_view query);

/// Percent-encodes a decoded path for a request line. Thread-safe.
std::string EncodePath(std::string_view path);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_CALLER_HEADERS_H_
