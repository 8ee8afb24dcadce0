#include "tcp_options.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

/// Idle time before TCP keep-alive probes, and the interval between them.
constexpr int kTcpKeepAliveSeconds = 1;

/// A lost probe is sent again only much later, and Linux may leave one of two
/// within half a second without an answer.
constexpr int kUnansweredProbes = 2;

using TcpKeepAliveIdle =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using TcpKeepAliveInterval =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using TcpKeepAliveCount =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using TcpUserTimeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

void SetKeepAlive(asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(TcpKeepAliveIdle(kTcpKeepAliveSeconds), ignored);
  socket.set_option(TcpKeepAliveInterval(kTcpKeepAliveSeconds), ignored);
}

/// Not by set_option: Asio's destructors undo that.
void SetLinger(asio::ip::tcp::socket& socket, bool reset) {
  const linger option{reset ? 1 : 0, 0};
  ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &option,
               sizeof(option));
}

}  // namespace

void SetTcpTimeouts(asio::ip::tcp::socket& socket,
                    base::Duration user_timeout) {
  const auto timeout_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(user_timeout);
  boost::system::error_code ignored;
  SetKeepAlive(socket);
  socket.set_option(TcpUserTimeout(static_cast<int>(timeout_ms.count())),
                    ignored);
}

void SetTcpKeepAlive(asio::ip::tcp::socket& socket, base::Duration timeout) {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(timeout).count();
  boost::system::error_code ignored;
  SetKeepAlive(socket);
  socket.set_option(TcpKeepAliveCount(std::max(static_cast<int>(seconds), 1)),
                    ignored);
}

TcpState ReadTcpState(asio::ip::tcp::socket& socket) {
  TcpState state;
  const int handle = socket.native_handle();
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(handle, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
    return state;
  state.remote_closed = info.tcpi_state != TCP_ESTABLISHED &&
                        info.tcpi_state != TCP_FIN_WAIT1 &&
                        info.tcpi_state != TCP_FIN_WAIT2;
  state.reset = info.tcpi_state == TCP_CLOSE;
  const bool sent_again = info.tcpi_retransmits > 0 &&
                          info.tcpi_last_data_sent < info.tcpi_last_ack_recv;
  state.unanswered = sent_again || info.tcpi_probes >= kUnansweredProbes;
  int unacknowledged = 0;
  if (::ioctl(handle, SIOCOUTQ, &unacknowledged) == 0)  // NOLINT
    state.unacknowledged_bytes = static_cast<std::size_t>(unacknowledged);
  return state;
}

void ResetOnClose(asio::ip::tcp::socket& socket) { SetLinger(socket, true); }

void FinishOnClose(asio::ip::tcp::socket& socket) { SetLinger(socket, false); }

}  // namespace gypsumtrack::gateway
