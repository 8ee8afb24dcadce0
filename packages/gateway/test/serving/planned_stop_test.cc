#include "gypsumtrack/gateway/serving/planned_stop.h"

#include <catch2/catch.hpp>
#include <optional>
#include <utility>

namespace gypsumtrack::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::Instant kStart(seconds(100));

// Guards against a load of requests that reach a VM late in its grace period:
// passed on, and cut with no answer at its end.
TEST_CASE("a stopping daemon takes what it can answer in time") {
  PlannedStop stop;
  SECTION("before the stop, everything") {
    CHECK_FALSE(stop.ComesTooLate(kStart, seconds(100)));
    CHECK(stop.answers_until() == base::kNever);
  }
  SECTION("then what usually ends in time") {
    stop.Begin(kStart + seconds(7), seconds(2));
    CHECK_FALSE(stop.ComesTooLate(kStart, seconds(100)));
    CHECK_FALSE(stop.ComesTooLate(kStart + seconds(5), seconds(100)));
    CHECK(stop.ComesTooLate(kStart + milliseconds(5001), seconds(100)));
    CHECK(stop.ComesTooLate(kStart + seconds(8), milliseconds(0)));
    SECTION("or ends in any case, since its caller waits no longer") {
      CHECK_FALSE(stop.ComesTooLate(kStart + seconds(6), milliseconds(500)));
    }
  }
}

TEST_CASE("what still runs at the end is ended") {
  PlannedStop stop;
  int first_ended = 0;
  int second_ended = 0;
  std::optional<PlannedStop::Registration> first =
      stop.Register([&] { ++first_ended; });
  const auto second = stop.Register([&] { ++second_ended; });
  SECTION("each request once") {
    stop.EndRequests();
    stop.EndRequests();
    CHECK(first_ended == 1);
    CHECK(second_ended == 1);
  }
  SECTION("but not one that was answered before") {
    first.reset();
    stop.EndRequests();
    CHECK(first_ended == 0);
    CHECK(second_ended == 1);
  }
}

// Guards against requests that are destroyed with the event loop, after the
// state that they were registered with.
TEST_CASE("a registration outlives the stop") {
  std::optional<PlannedStop> stop(std::in_place);
  auto registration = stop->Register([] {});
  stop.reset();
  registration.reset();
  CHECK_FALSE(registration);
}

}  // namespace
}  // namespace gypsumtrack::gateway
