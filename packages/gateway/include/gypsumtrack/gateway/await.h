#ifndef GYPSUMTRACK_GATEWAY_AWAIT_H_
#define GYPSUMTRACK_GATEWAY_AWAIT_H_

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <memory>
#include <utility>

/// Waiting for a handler from inside a coroutine.
namespace gypsumtrack::gateway {

/// Runs `start` with a handler and waits until it is called, once, from any
/// thread. The coroutine goes on where it ran before.
///
///     auto reply = co_await AwaitHandler<base::Status>([&](auto handler) {
///       table.commit(commit, deadline, std::move(handler));
///     });
template <typename Value>
boost::asio::awaitable<Value> AwaitHandler(
    std::function<void(std::function<void(Value)>)> start) {
  namespace asio = boost::asio;
  auto initiate = [](auto completion, auto begin) {
    auto shared = std::make_shared<decltype(completion)>(std::move(completion));
    begin([shared](Value value) {
      const auto executor = asio::get_associated_executor(*shared);
      asio::post(executor, [shared, value = std::move(value)]() mutable {
        std::move (*shared)(std::move(value));
      });
    });
  };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>&,
                                          void(Value)>(
      initiate, asio::use_awaitable, std::move(start));
}

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_AWAIT_H_
