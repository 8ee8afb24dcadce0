#ifndef GYPSUMTRACK_GATEWAY_SRC_AWAIT_CALLBACK_H_
#define GYPSUMTRACK_GATEWAY_SRC_AWAIT_CALLBACK_H_

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <memory>
#include <utility>

namespace gypsumtrack::gateway {

/// Waits for a callback that comes once, from any thread; goes on where the
/// coroutine ran. T must be default-constructible.
template <typename T>
boost::asio::awaitable<T> AwaitCallback(
    std::function<void(std::function<void(T)>)> start) {
  auto initiate = [start = std::move(start)](auto handler) mutable {
    auto shared = std::make_shared<decltype(handler)>(std::move(handler));
    start([shared](T value) {
      const auto executor = boost::asio::get_associated_executor(*shared);
      boost::asio::post(executor, [shared, value = std::move(value)]() mutable {
        (*shared)(std::move(value));
      });
    });
  };
  return boost::asio::async_initiate<const boost::asio::use_awaitable_t<>&,
                                     void(T)>(std::move(initiate),
                                              boost::asio::use_awaitable);
}

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_AWAIT_CALLBACK_H_
