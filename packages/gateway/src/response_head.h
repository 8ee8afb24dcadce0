#ifndef GYPSUMTRACK_GATEWAY_SRC_RESPONSE_HEAD_H_
#define GYPSUMTRACK_GATEWAY_SRC_RESPONSE_HEAD_H_

#include <boost/beast/http/message.hpp>
#include <optional>
#include <string_view>

#include "gypsumtrack/base/time.h"
#include "gypsumtrack/gateway/endpoint_client.h"

/// Heads of responses, as an endpoint or a peer has sent them.
namespace gypsumtrack::gateway {

/// Returns the status and the headers. Thread-safe.
ResponseHead CopyHead(const boost::beast::http::response_header<>& received);

/// Whether there is a header of that name and value, in any case of letters.
/// Thread-safe.
bool HasHeader(const ResponseHead& head, std::string_view name,
               std::string_view value);

/// Whether a response may have the status: one that HTTP has, and not that of a
/// switch to another protocol, which no request asks for. Thread-safe.
bool IsResponseStatus(unsigned status);

/// Whether there is a status line in the reason phrase or in a header: the head
/// of a response that was cut off, continued by the next response. Thread-safe.
bool HasInnerStatusLine(const boost::beast::http::response_header<>& received);

/// Returns the timeout in the `Keep-Alive` header, if any. Thread-safe.
std::optional<base::Duration> KeepAliveTimeout(const ResponseHead& head);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_RESPONSE_HEAD_H_
