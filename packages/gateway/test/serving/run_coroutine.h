#ifndef GYPSUMTRACK_GATEWAY_TEST_SERVING_RUN_COROUTINE_H_
#define GYPSUMTRACK_GATEWAY_TEST_SERVING_RUN_COROUTINE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <utility>

/// Runs coroutines synchronously in tests.
namespace gypsumtrack::gateway {

/// Awaits the coroutine and stores its result.
template <typename T>
boost::asio::awaitable<void> StoreResult(boost::asio::awaitable<T> coroutine,
                                         std::optional<T>& result) {
  result.emplace(co_await std::move(coroutine));
}

/// Runs the coroutine to completion on the calling thread and returns its
/// result.
template <typename T>
T RunCoroutine(boost::asio::awaitable<T> coroutine) {
  boost::asio::io_context context;
  std::optional<T> result;
  boost::asio::co_spawn(context, StoreResult(std::move(coroutine), result),
                        boost::asio::detached);
  context.run();
  return std::move(*result);
}

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_TEST_SERVING_RUN_COROUTINE_H_
