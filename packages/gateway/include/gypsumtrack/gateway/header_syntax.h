#ifndef GYPSUMTRACK_GATEWAY_HEADER_SYNTAX_H_
#define GYPSUMTRACK_GATEWAY_HEADER_SYNTAX_H_

#include <string_view>

#include "gypsumtrack/gateway/http_server.h"

/// Which texts may stand in the head of a request. Thread-safe.
namespace gypsumtrack::gateway {

/// Whether the name is a token and the value has no control characters but
/// tabs, and both have a length that can be sent.
bool IsSendable(const Header& header);

/// Whether the text may stand in a request line: without spaces and control
/// characters.
bool IsSendableTarget(std::string_view target);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_HEADER_SYNTAX_H_
