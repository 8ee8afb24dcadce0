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
///
/// g++ 12 copies a closure byte by byte when it is written inside a co_await
/// expression: one that owns what it captures must be a named variable, or be
/// passed by a function that isn't a coroutine.
template <typename Value, typename Start>
boost::asio::awaitable<Value> AwaitHandler(Start start) {
  namespace asio = boost::asio;
  auto initiate = [start = std::move(start)](auto completion) mutable {
    auto shared = std::make_shared<decltype(completion)>(std::move(completion));
    std::function<void(Value)> handler = [shared](Value value) {
      const auto executor = asio::get_associated_executor(*shared);
      asio::post(executor, [shared, value = std::move(value)]() mutable {
        std::move (*shared)(std::move(value));
      });
    };
    start(std::move(handler));
  };
  return asio::async_initiate<const asio::use_awaitable_t<>&, void(Value)>(
      std::move(initiate), asio::use_awaitable);
}

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_AWAIT_H_
