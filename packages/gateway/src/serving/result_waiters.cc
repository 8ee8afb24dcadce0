#include "result_waiters.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace gypsumtrack::gateway {

namespace asio = boost::asio;

ResultWaiters::ResultWaiters(const asio::any_io_executor& executor)
    : executor(executor) {}

asio::awaitable<void> ResultWaiters::Wait(JobKey key, base::Duration max_wait) {
  auto timer = std::make_shared<asio::steady_timer>(this->executor);
  timer->expires_after(max_wait);
  const auto waiter = this->timers.emplace(key, timer);
  co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
  this->timers.erase(waiter);
}

void ResultWaiters::Notify(const JobKey& key) {
  const auto [begin, end] = this->timers.equal_range(key);
  for (auto waiter = begin; waiter != end; ++waiter) waiter->second->cancel();
}

}  // namespace gypsumtrack::gateway
