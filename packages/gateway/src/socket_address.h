#ifndef GYPSUMTRACK_GATEWAY_SRC_SOCKET_ADDRESS_H_
#define GYPSUMTRACK_GATEWAY_SRC_SOCKET_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "gypsumtrack/base/outcome.h"

/// Conversion between TCP endpoints and text.
namespace gypsumtrack::gateway {

/// Parses `ip:port` or `[ipv6]:port`. Errors: kInvalid. Thread-safe.
base::Outcome<boost::asio::ip::tcp::endpoint> ParseSocketAddress(
    const std::string& text);

/// Formats as `ip:port` or `[ipv6]:port`. Thread-safe.
std::string FormatSocketAddress(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_SOCKET_ADDRESS_H_
