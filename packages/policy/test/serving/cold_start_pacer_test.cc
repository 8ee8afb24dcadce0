#include "gypsumtrack/policy/serving/cold_start_pacer.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <vector>

namespace gypsumtrack::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::Instant kStart(seconds(100));
/// Time of day at kStart, in this era.
constexpr base::Duration kWallOffset = std::chrono::hours(24 * 365 * 55);
constexpr base::Duration kStep = milliseconds(5);
constexpr ColdStartRule kRule{7.1, seconds(3)};
/// In any second a cold endpoint may get 1.5 times its rate and 5 requests.
constexpr double kMaxInSecond = 1.5 * 7.1 + 5;

/// Daemons that all want to send to one cold endpoint all the time, as they do
/// when an empty endpoint joins full ones.
class GreedyFleet {
 public:
  explicit GreedyFleet(std::size_t daemon_count) {
    for (std::size_t i = 0; i < daemon_count; ++i) {
      Daemon daemon{{i, daemon_count, kWallOffset}, {kRule, 17, {}, kStart}};
      daemon.pacer =
          ColdStartPacer(kRule, 17, daemon.position, kStart - seconds(2));
      daemon.pacer.SetColdUntil(kStart + seconds(60), kStart);
      this->daemons.push_back(daemon);
    }
  }

  /// Each daemon's clock is off by up to `most`.
  void SkewClocks(base::Duration most) {
    std::uniform_int_distribution<base::Duration::rep> skew(-most.count(),
                                                            most.count());
    for (auto& daemon : this->daemons)
      daemon.position.wall_offset += base::Duration(skew(this->random));
  }

  /// The last daemon comes up anew, without its turns.
  void RestartLast() {
    auto& last = this->daemons.back();
    last.pacer = ColdStartPacer(kRule, 17, last.position, this->now);
    last.pacer.SetColdUntil(kStart + seconds(60), this->now);
  }

  /// Returns the most requests that arrive within a second.
  std::size_t RunFor(base::Duration duration) {
    std::size_t most = 0;
    for (const auto until = this->now + duration; this->now < until;
         this->now += kStep) {
      for (auto& daemon : this->daemons) {
        if (!daemon.pacer.Allows(daemon.position, this->now)) continue;
        daemon.pacer.OnRequestSent(daemon.position, this->now);
        this->sent.push_back(this->now);
        ++this->total;
      }
      while (!this->sent.empty() &&
             this->sent.front() <= this->now - seconds(1))
        this->sent.pop_front();
      most = std::max(most, this->sent.size());
    }
    return most;
  }

  std::size_t total = 0;

 private:
  struct Daemon {
    FleetPosition position;
    ColdStartPacer pacer;
  };
  std::vector<Daemon> daemons;
  base::Instant now = kStart;
  std::deque<base::Instant> sent;
  std::mt19937 random{1};
};

// Guards against a crash of a cold endpoint that all daemons choose at once.
TEST_CASE("a cold endpoint gets no more than it tolerates from all daemons") {
  const auto daemon_count = GENERATE(std::size_t{1}, 11, 74, 300);
  CAPTURE(daemon_count);
  GreedyFleet fleet(daemon_count);
  SECTION("in a calm fleet, at about its rate") {
    CHECK(fleet.RunFor(seconds(10)) <= kMaxInSecond);
    CHECK(fleet.total >= 60);
  }
  SECTION("also with clocks that differ") {
    fleet.SkewClocks(milliseconds(150));
    CHECK(fleet.RunFor(seconds(10)) <= kMaxInSecond);
  }
  SECTION("also with a daemon that comes up in the middle") {
    CHECK(fleet.RunFor(seconds(3)) <= kMaxInSecond);
    fleet.RestartLast();
    CHECK(fleet.RunFor(seconds(3)) <= kMaxInSecond);
  }
}

TEST_CASE("an endpoint that becomes warm is paced for a moment longer") {
  const FleetPosition position{0, 10, kWallOffset};
  ColdStartPacer pacer(kRule, 17, position, kStart);
  pacer.SetColdUntil(kStart + seconds(3), kStart);
  const auto count_from = [&](base::Instant from) {
    int allowed = 0;
    for (auto now = from; now < from + milliseconds(900); now += kStep) {
      if (!pacer.Allows(position, now)) continue;
      pacer.OnRequestSent(position, now);
      ++allowed;
    }
    return allowed;
  };
  SECTION("the herd waits for the end of the cold time, not for its turn") {
    CHECK(count_from(kStart + seconds(3)) <= 3);
    CHECK_FALSE(pacer.IsPacing(kStart + seconds(4)));
    CHECK(count_from(kStart + seconds(4)) == 180);
  }
  SECTION("it can become cold again at any moment") {
    CHECK(pacer.Allows(position, kStart + seconds(10)));
    pacer.SetColdUntil(kStart + seconds(13), kStart + seconds(10));
    CHECK(count_from(kStart + seconds(10)) <= 2);
  }
  SECTION("it may be warm sooner than it said") {
    const auto now = kStart + seconds(1);
    pacer.SetColdUntil(now - milliseconds(200), now);
    CHECK(pacer.IsPacing(now));
    CHECK_FALSE(pacer.IsPacing(now + seconds(1)));
  }
  SECTION("a daemon that doesn't know the others sends nothing") {
    for (auto now = kStart; now < kStart + seconds(3); now += kStep)
      CHECK_FALSE(pacer.Allows({}, now));
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
