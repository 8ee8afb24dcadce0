#ifndef GYPSUMTRACK_GATEWAY_SRC_TCP_OPTIONS_H_
#define GYPSUMTRACK_GATEWAY_SRC_TCP_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

#include "gypsumtrack/base/time.h"

/// Options of TCP connections. Errors of the kernel are ignored.
namespace gypsumtrack::gateway {

/// Makes the kernel detect connections that were dropped by the network or a
/// middlebox: with keep-alive probes each second and `user_timeout` as
/// TCP_USER_TIMEOUT. Also sends small writes at once.
void SetTcpTimeouts(boost::asio::ip::tcp::socket& socket,
                    base::Duration user_timeout);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_TCP_OPTIONS_H_
