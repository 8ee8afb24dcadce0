#include "tcp_options.h"

#include <netinet/tcp.h>

#include <chrono>

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

/// Idle time before TCP keep-alive probes, and the interval between them.
constexpr int kTcpKeepAliveSeconds = 1;

using TcpKeepAliveIdle =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using TcpKeepAliveInterval =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using TcpUserTimeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

}  // namespace

void SetTcpTimeouts(asio::ip::tcp::socket& socket,
                    base::Duration user_timeout) {
  const auto timeout_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(user_timeout);
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(TcpKeepAliveIdle(kTcpKeepAliveSeconds), ignored);
  socket.set_option(TcpKeepAliveInterval(kTcpKeepAliveSeconds), ignored);
  socket.set_option(TcpUserTimeout(static_cast<int>(timeout_ms.count())),
                    ignored);
}

}  // namespace gypsumtrack::gateway
