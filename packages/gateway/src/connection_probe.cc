#include "connection_probe.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <utility>

#include "socket_address.h"
#include "watchdog.h"

namespace gypsumtrack::gateway {

namespace asio = boost::asio;

asio::awaitable<ProbeResult> ProbeConnection(std::string address,
                                             base::Clock clock,
                                             base::Duration timeout) {
  const auto parsed = ParseSocketAddress(address);
  if (!parsed.ok()) co_return ProbeResult::kUnreachable;
  const auto strand = co_await asio::this_coro::executor;
  const auto socket = std::make_shared<asio::ip::tcp::socket>(strand);
  const auto deadline = clock.now() + timeout;
  const auto watchdog =
      std::make_shared<Watchdog>(strand, std::move(clock), [socket] {
        boost::system::error_code ignored;
        socket->close(ignored);
      });
  watchdog->Set(deadline);
  const auto [error] = co_await socket->async_connect(
      *parsed, asio::as_tuple(asio::use_awaitable));
  watchdog->Stop();
  if (!error) co_return ProbeResult::kOpened;
  co_return error == asio::error::connection_refused
      ? ProbeResult::kRefused
      : ProbeResult::kUnreachable;
}

}  // namespace gypsumtrack::gateway
