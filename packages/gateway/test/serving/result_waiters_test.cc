#include "../../src/serving/result_waiters.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <exception>

namespace gypsumtrack::gateway {
namespace {

const JobKey kKey{base::Organisation("club"), base::JobId("j1")};
const JobKey kOtherKey{base::Organisation("club"), base::JobId("j2")};

/// Callers that wait for results on the calling thread.
class WaitersFixture {
 public:
  void StartWaiting(const JobKey& key, base::Duration max_wait) {
    boost::asio::co_spawn(
        this->context, this->waiters.Wait(key, max_wait),
        [this](const std::exception_ptr&) { ++this->woken_count; });
    this->Poll();
  }

  /// Runs what can run at once.
  void Poll() {
    this->context.restart();
    this->context.poll();
  }

  boost::asio::io_context context;
  ResultWaiters waiters{this->context.get_executor()};
  int woken_count = 0;
};

TEST_CASE("callers wait for results of a job") {
  WaitersFixture fixture;
  SECTION("all that wait for the job are woken by its results") {
    fixture.StartWaiting(kKey, std::chrono::hours(1));
    fixture.StartWaiting(kKey, std::chrono::hours(1));
    CHECK(fixture.woken_count == 0);
    fixture.waiters.Notify(kKey);
    fixture.Poll();
    CHECK(fixture.woken_count == 2);
  }
  SECTION("none is woken by results of another job") {
    fixture.StartWaiting(kKey, std::chrono::hours(1));
    fixture.waiters.Notify(kOtherKey);
    fixture.Poll();
    CHECK(fixture.woken_count == 0);
  }
  SECTION("without results the wait ends after its time") {
    fixture.StartWaiting(kKey, base::Duration::zero());
    fixture.context.restart();
    fixture.context.run();
    CHECK(fixture.woken_count == 1);
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
