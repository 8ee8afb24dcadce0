#include "gypsumtrack/gateway/store_await.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

namespace gypsumtrack::gateway {
namespace {

constexpr base::Duration kRetryDelay = std::chrono::milliseconds(100);

}  // namespace

boost::asio::awaitable<base::Status> CommitWithRetries(
    const platform::Platform& platform, const base::Clock& clock,
    base::TableCommit commit, base::Instant deadline) {
  bool may_be_applied = false;
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  while (true) {
    const auto status = co_await CommitOnce(platform, commit, deadline);
    if (status.ok() || status.error().Is(base::Errc::kConflict)) {
      co_return status;
    }
    if (status.error().Is(base::Errc::kUnknown)) may_be_applied = true;
    if (clock.now() + kRetryDelay >= deadline) break;
    timer.expires_after(kRetryDelay);
    co_await timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }
  co_return base::Error(
      may_be_applied ? base::Errc::kUnknown : base::Errc::kUnavailable,
      "the platform's table doesn't answer");
}

}  // namespace gypsumtrack::gateway
