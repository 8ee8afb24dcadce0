#ifndef GYPSUMTRACK_GATEWAY_STORE_AWAIT_H_
#define GYPSUMTRACK_GATEWAY_STORE_AWAIT_H_

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <string>
#include <utility>

#include "gypsumtrack/base/table.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/platform/platform.h"

/// The platform's hooks as coroutines. Each resumes on the caller's executor.
namespace gypsumtrack::gateway {

/// Waits for the one call of a handler that `start` hands on.
template <typename Value, typename Start>
boost::asio::awaitable<Value> AwaitHandler(Start start) {
  co_return co_await boost::asio::async_initiate<
      const boost::asio::use_awaitable_t<>, void(Value)>(
      [](auto handler, Start begin) {
        using Handler = decltype(handler);
        auto shared = std::make_shared<Handler>(std::move(handler));
        const auto executor = boost::asio::get_associated_executor(*shared);
        begin([shared, executor](Value value) {
          boost::asio::post(executor,
                            [shared, value = std::move(value)]() mutable {
                              std::move (*shared)(std::move(value));
                            });
        });
      },
      boost::asio::use_awaitable, std::move(start));
}

inline boost::asio::awaitable<base::Status> CommitOnce(
    const platform::Platform& platform, base::TableCommit commit,
    base::Instant deadline) {
  co_return co_await AwaitHandler<base::Status>(
      [&platform, commit = std::move(commit), deadline](auto handler) {
        platform.table.commit(commit, deadline, handler);
      });
}

inline boost::asio::awaitable<base::Outcome<base::ScanReply>> ScanTable(
    const platform::Platform& platform, base::TableScan scan,
    base::Instant deadline) {
  co_return co_await AwaitHandler<base::Outcome<base::ScanReply>>(
      [&platform, scan = std::move(scan), deadline](auto handler) {
        platform.table.scan(scan, deadline, handler);
      });
}

inline boost::asio::awaitable<base::Status> PutObject(
    const platform::Platform& platform, std::string name, std::string bytes,
    base::Instant deadline) {
  co_return co_await AwaitHandler<base::Status>(
      [&platform, name = std::move(name), bytes = std::move(bytes),
       deadline](auto handler) {
        platform.objects.put(name, bytes, deadline, handler);
      });
}

inline boost::asio::awaitable<base::Outcome<std::string>> GetObject(
    const platform::Platform& platform, std::string name,
    base::Instant deadline) {
  co_return co_await AwaitHandler<base::Outcome<std::string>>(
      [&platform, name = std::move(name), deadline](auto handler) {
        platform.objects.get(name, deadline, handler);
      });
}

/// Sends the commit again, under its operation id, until it is settled or the
/// deadline has passed. Errors: kConflict, kUnavailable (never sent with a lost
/// answer), kUnknown.
boost::asio::awaitable<base::Status> SettleCommit(
    const platform::Platform& platform, const base::Clock& clock,
    base::TableCommit commit, base::Instant deadline);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_STORE_AWAIT_H_
