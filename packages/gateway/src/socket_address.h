#ifndef GYPSUMTRACK_GATEWAY_SRC_SOCKET_ADDRESS_H_
#define GYPSUMTRACK_GATEWAY_SRC_SOCKET_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "gypsumtrack/base/outcome.h"

namespace gypsumtrack::gateway {

/// Reads `ip:port` or `[ip6]:port`. Errors: kInvalid. Thread-safe.
base::Outcome<boost::asio::ip::tcp::endpoint> ParseSocketAddress(
    const std::string& text);

/// Thread-safe.
std::string FormatSocketAddress(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_SOCKET_ADDRESS_H_
