#include "tunnel_probe.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <string>
#include <utility>

#include "response_head.h"
#include "socket_address.h"
#include "watchdog.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);

/// Sends the request and reads the reply on a connected socket.
asio::awaitable<TunnelStatus> ExchangeHandshake(tcp::socket& socket,
                                                std::string request) {
  const auto [write_error, sent] =
      co_await asio::async_write(socket, asio::buffer(request), kAwaitTuple);
  if (write_error) co_return TunnelStatus::kPeerUnreachable;
  boost::beast::flat_buffer buffer;
  http::response_parser<http::empty_body> parser;
  const auto [read_error, size] =
      co_await http::async_read_header(socket, buffer, parser, kAwaitTuple);
  if (read_error) co_return TunnelStatus::kPeerUnreachable;
  co_return ParseTunnelReply(CopyHead(parser.get()));
}

}  // namespace

asio::awaitable<TunnelStatus> ProbeTunnel(TunnelHop hop, TunnelTarget target,
                                          base::Clock clock,
                                          base::Duration timeout) {
  const auto address = ParseSocketAddress(hop.address);
  auto request =
      FormatTunnelRequest({std::move(target), hop.token}, hop.address);
  if (!address.ok() || !request.ok()) co_return TunnelStatus::kPeerUnreachable;
  const auto strand = co_await asio::this_coro::executor;
  const auto socket = std::make_shared<tcp::socket>(strand);
  const auto deadline = clock.now() + timeout;
  const auto watchdog =
      std::make_shared<Watchdog>(strand, std::move(clock), [socket] {
        boost::system::error_code ignored;
        socket->close(ignored);
      });
  watchdog->Set(deadline);
  auto status = TunnelStatus::kPeerUnreachable;
  const auto [error] = co_await socket->async_connect(*address, kAwaitTuple);
  if (!error) status = co_await ExchangeHandshake(*socket, std::move(*request));
  watchdog->Stop();
  co_return status;
}

}  // namespace gypsumtrack::gateway
