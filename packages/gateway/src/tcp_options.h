#ifndef GYPSUMTRACK_GATEWAY_SRC_TCP_OPTIONS_H_
#define GYPSUMTRACK_GATEWAY_SRC_TCP_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>

#include "gypsumtrack/base/time.h"

/// Options of TCP connections. Errors of the kernel are ignored.
namespace gypsumtrack::gateway {

/// Makes the kernel detect connections that were dropped by the network or a
/// middlebox: with keep-alive probes each second and `user_timeout` as
/// TCP_USER_TIMEOUT. Also sends small writes at once.
void SetTcpTimeouts(boost::asio::ip::tcp::socket& socket,
                    base::Duration user_timeout);

/// As SetTcpTimeouts, but the kernel closes only idle connections, about
/// `timeout` after the remote side was lost, in whole seconds. It keeps one
/// whose remote side takes long to read.
void SetTcpKeepAlive(boost::asio::ip::tcp::socket& socket,
                     base::Duration timeout);

/// What the kernel knows about the remote side of a connection.
struct TcpState {
  /// The remote side closed or reset the connection, though what it sent before
  /// may not have been read.
  bool remote_closed = false;
  /// The remote side reset the connection, or the connection failed. Once a
  /// write has reported that, a read shows a plain close.
  bool reset = false;
  /// Data was sent again, or several probes were sent, without an answer since.
  /// A remote side without room for the data answers nevertheless.
  bool unanswered = false;
  /// Bytes that the remote side hasn't acknowledged.
  std::size_t unacknowledged_bytes = 0;
};

/// Reads the state of an open socket.
TcpState ReadTcpState(boost::asio::ip::tcp::socket& socket);

/// Makes the next close of the socket a reset, which drops unsent bytes; also
/// one by its destructor or by the end of the process.
void ResetOnClose(boost::asio::ip::tcp::socket& socket);

/// Undoes ResetOnClose.
void FinishOnClose(boost::asio::ip::tcp::socket& socket);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_TCP_OPTIONS_H_
