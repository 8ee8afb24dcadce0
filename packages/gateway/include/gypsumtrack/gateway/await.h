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

/// Adapts functions that take a completion handler to coroutines.
namespace gypsumtrack::gateway {

/// Calls `start` with a handler and suspends until the handler is called. The
/// coroutine resumes on its own executor. Precondition: the handler is called
/// exactly once; any thread may call it.
///
///     auto status = co_await AwaitHandler<base::Status>([&](auto handler) {
///       table.commit(commit, deadline, std::move(handler));
///     });
///
/// g++ 12 copies a closure bytewise when it is written inside a co_await
/// expression. A closure that owns its captures must therefore be a named
/// variable, or be passed by a function that isn't a coroutine.
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
