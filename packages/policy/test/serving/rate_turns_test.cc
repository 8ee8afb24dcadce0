#include "gypsumtrack/policy/serving/rate_turns.h"

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
constexpr base::Duration kStep = milliseconds(20);
/// Within any such window an endpoint may get 1.5 times what its limit allows,
/// and 5 requests more.
constexpr base::Duration kWindow = seconds(4);

double MaxInWindow(double limit) { return 1.5 * 4 * limit + 5; }

/// A fleet whose daemons all want to send to one limited endpoint all the time.
class GreedyFleet {
 public:
  GreedyFleet(std::size_t daemon_count, double limit, std::uint32_t seed)
      : random(seed) {
    for (std::size_t i = 0; i < daemon_count; ++i) {
      const FleetPosition position{i, daemon_count, kWallOffset};
      this->daemons.push_back({position, {limit, kSalt, position, kStart}});
    }
  }

  void RunFor(base::Duration duration) {
    for (const auto until = this->now + duration; this->now < until;
         this->now += kStep) {
      for (auto& daemon : this->daemons) this->Send(daemon);
      while (this->in_window.front() <= this->now - kWindow)
        this->in_window.pop_front();
      this->most_in_window =
          std::max(this->most_in_window, this->in_window.size());
    }
  }

  /// Each daemon's clock is off by up to `most`.
  void SkewClocks(base::Duration most) {
    std::uniform_int_distribution<base::Duration::rep> skew(-most.count(),
                                                            most.count());
    for (auto& daemon : this->daemons)
      daemon.position.wall_offset += base::Duration(skew(this->random));
  }

  /// The last daemon leaves; the others learn of it one after the other.
  void RemoveLast(base::Duration learned_after) {
    this->daemons.pop_back();
    std::shuffle(this->daemons.begin(), this->daemons.end(), this->random);
    const auto pause = learned_after / this->daemons.size();
    for (auto& daemon : this->daemons) {
      --daemon.position.daemon_count;
      this->RunFor(pause);
    }
  }

  std::size_t sent = 0;
  std::size_t most_in_window = 0;

 private:
  static constexpr std::uint64_t kSalt = 12345;

  struct Daemon {
    FleetPosition position;
    RateTurns turns;
  };

  void Send(Daemon& daemon) {
    if (!daemon.turns.HasTurn(daemon.position, this->now)) return;
    daemon.turns.TakeTurn(daemon.position, this->now);
    ++this->sent;
    this->in_window.push_back(this->now);
  }

  std::mt19937 random;
  std::vector<Daemon> daemons;
  std::deque<base::Instant> in_window{kStart};
  base::Instant now = kStart;
};

// The load: an endpoint that turned slow names a limit below what each daemon
// alone would send it, and all daemons of a fleet go on sending.
TEST_CASE("a fleet with more requests than a limit allows sends that many") {
  for (const std::size_t daemons : {1, 11, 77, 295}) {
    for (const double limit : {0.5, 1.6, 3.2, 40.0}) {
      INFO(daemons << " daemons, " << limit << " a second");
      GreedyFleet fleet(daemons, limit, 1);
      SECTION("no more and no fewer") {
        fleet.RunFor(seconds(60));
        // The slot in which the limit becomes known is left out.
        CHECK(static_cast<double>(fleet.sent) >= 60 * limit - 1);
        CHECK(static_cast<double>(fleet.sent) <= 60 * limit);
        CHECK(static_cast<double>(fleet.most_in_window) <= MaxInWindow(limit));
      }
      SECTION("also while the clocks differ") {
        fleet.SkewClocks(seconds(2));
        fleet.RunFor(seconds(60));
        CHECK(static_cast<double>(fleet.most_in_window) <= MaxInWindow(limit));
      }
      SECTION("also while daemons leave, which the others learn in turn") {
        for (int i = 0; i < 5 && daemons > 10; ++i) {
          fleet.RunFor(seconds(3));
          fleet.RemoveLast(seconds(2));
        }
        CHECK(static_cast<double>(fleet.most_in_window) <= MaxInWindow(limit));
      }
    }
  }
}

// Guards against slot numbers that don't fit: an endpoint may name any limit.
TEST_CASE("a limit beyond all demand limits nothing") {
  const FleetPosition position{3, 4, kWallOffset};
  for (const double limit : {1e6, 1e10, 1e23, 1e300}) {
    INFO(limit);
    RateTurns turns(limit, 1, position, kStart);
    for (int i = 1; i <= 1000; ++i) {
      const auto now = kStart + milliseconds(i);
      REQUIRE(turns.HasTurn(position, now));
      turns.TakeTurn(position, now);
    }
  }
}

TEST_CASE("a daemon's turns don't add up") {
  const FleetPosition position{0, 4, kWallOffset};
  RateTurns turns(2, 0, position, kStart);
  const auto count_at = [&](base::Instant now) {
    int count = 0;
    for (; turns.HasTurn(position, now); ++count) turns.TakeTurn(position, now);
    return count;
  };
  SECTION("one that isn't used soon is lost") {
    CHECK(count_at(kStart + seconds(100)) <= 1);
  }
  SECTION("no slot that began before the limit was known counts") {
    CHECK(count_at(kStart) == 0);
  }
  SECTION("an endpoint that accepts nothing gets a request now and then") {
    RateTurns none(0, 0, position, kStart);
    int sent = 0;
    for (auto now = kStart; now < kStart + seconds(160); now += kStep) {
      if (!none.HasTurn(position, now)) continue;
      none.TakeTurn(position, now);
      ++sent;
    }
    CHECK(sent == 10);
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
