#include "gypsumtrack/policy/serving/endpoint_liveness.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>

namespace gypsumtrack::policy {
namespace {

using std::chrono::milliseconds;

const base::Instant kStart(std::chrono::seconds(100));
constexpr EndpointLivenessOptions kOptions;
constexpr base::Duration kPeriod = kOptions.heartbeat_period;
/// The store removes a row that wasn't renewed for this long.
constexpr base::Duration kRowLifetime = 3 * kPeriod;
/// Time from the begin of a read to its end.
constexpr base::Duration kReadTime = milliseconds(10);
const EndpointIncarnation kEndpoint{base::EndpointId("e-1"), 7};

/// A daemon that reads the rows of the store each time that they change.
class RowsSim {
 public:
  RowsSim() : liveness(kOptions) { this->WriteAt(kStart, 7); }

  /// The endpoint's row is written, and a read that was sent just then shows
  /// it.
  void WriteAt(base::Instant at, std::optional<std::uint64_t> incarnation) {
    auto read = this->ReadAt(at);
    read.written.push_back({kEndpoint.id, incarnation, read.as_of});
    this->Apply(read);
  }

  void RemoveAt(base::Instant at) {
    auto read = this->ReadAt(at);
    read.removed.push_back(kEndpoint.id);
    this->Apply(read);
  }

  /// A read that was sent then shows no change of the endpoint's row.
  void ReadNothingAt(base::Instant at) { this->Apply(this->ReadAt(at)); }

  EndpointRowsRead ReadAt(base::Instant at) {
    EndpointRowsRead read;
    read.sent_at = at;
    read.as_of = ++this->version;
    read.store_recovered_at = this->store_recovered_at;
    return read;
  }

  void Apply(const EndpointRowsRead& read) {
    this->now = read.sent_at + kReadTime;
    this->liveness.OnRead(read, this->now);
  }

  /// The verdict on the endpoint, if there is one now.
  std::optional<Liveness> Verdict() {
    const auto verdicts = this->liveness.TakeVerdicts(this->now);
    if (verdicts.empty()) return std::nullopt;
    CHECK(verdicts.size() == 1);
    CHECK(verdicts[0].endpoint == kEndpoint);
    CHECK_FALSE(this->liveness.IsWatched(kEndpoint));
    return verdicts[0].liveness;
  }

  EndpointLiveness liveness;
  base::Instant now = kStart;
  base::Instant store_recovered_at{};

 private:
  std::uint64_t version = 0;
};

TEST_CASE("a connection to an endpoint is lost") {
  RowsSim sim;
  const auto lost_at = kStart + milliseconds(500);
  sim.liveness.Watch(kEndpoint, lost_at);
  CHECK_FALSE(sim.Verdict());
  SECTION("the endpoint has ended if its row expires") {
    sim.RemoveAt(kStart + kRowLifetime);
    CHECK(sim.Verdict() == Liveness::kEnded);
    SECTION("which shows once") { CHECK_FALSE(sim.Verdict()); }
  }
  SECTION("also if a renewal from before is read afterwards") {
    sim.WriteAt(lost_at - milliseconds(1), 7);
    CHECK_FALSE(sim.Verdict());
    sim.RemoveAt(lost_at + kRowLifetime);
    CHECK(sim.Verdict() == Liveness::kEnded);
  }
  SECTION("it has ended if it starts again under its id") {
    sim.WriteAt(lost_at + milliseconds(300), 8);
    CHECK(sim.Verdict() == Liveness::kEnded);
  }
  SECTION("it is alive if it renews its row") {
    sim.ReadNothingAt(lost_at);
    sim.WriteAt(lost_at + milliseconds(700), 7);
    CHECK(sim.Verdict() == Liveness::kAlive);
  }
  SECTION("a read that was sent later may hold a renewal from before") {
    sim.WriteAt(lost_at + milliseconds(1), 7);
    CHECK_FALSE(sim.Verdict());
    sim.WriteAt(lost_at + kPeriod, 7);
    CHECK(sim.Verdict() == Liveness::kAlive);
  }
  SECTION("it can't be told if it leaves without notice") {
    SECTION("right after the loss") { sim.RemoveAt(lost_at + kPeriod); }
    SECTION("after a renewal that may be from before") {
      sim.WriteAt(lost_at + milliseconds(1), 7);
      sim.RemoveAt(lost_at + kPeriod + milliseconds(500));
    }
    CHECK(sim.Verdict() == Liveness::kUnknown);
  }
  SECTION("the row of another writer shows nothing") {
    sim.ReadNothingAt(lost_at);
    sim.WriteAt(lost_at + milliseconds(300), std::nullopt);
    CHECK_FALSE(sim.Verdict());
    sim.RemoveAt(lost_at + kRowLifetime);
    CHECK(sim.Verdict() == Liveness::kEnded);
  }
  SECTION("a whole table that lacks it shows that its row was removed") {
    auto read = sim.ReadAt(lost_at + kRowLifetime);
    read.is_snapshot = true;
    read.written.push_back({base::EndpointId("e-2"), 1, 1});
    sim.Apply(read);
    CHECK(sim.Verdict() == Liveness::kEnded);
  }
  SECTION("while nothing is read it can't be told, until the watch ends") {
    sim.now = lost_at + kOptions.max_watch_time - milliseconds(1);
    CHECK_FALSE(sim.Verdict());
    sim.now = lost_at + kOptions.max_watch_time;
    CHECK(sim.Verdict() == Liveness::kUnknown);
  }
  SECTION("another one is lost later, after which it must be renewed again") {
    sim.ReadNothingAt(lost_at);
    sim.liveness.Watch(kEndpoint, lost_at + kPeriod);
    sim.WriteAt(lost_at + kPeriod - milliseconds(1), 7);
    CHECK_FALSE(sim.Verdict());
    SECTION("which it is") {
      sim.ReadNothingAt(lost_at + kPeriod);
      sim.WriteAt(lost_at + 2 * kPeriod, 7);
      CHECK(sim.Verdict() == Liveness::kAlive);
    }
    SECTION("which it isn't") {
      sim.RemoveAt(lost_at + kPeriod + kRowLifetime);
      CHECK(sim.Verdict() == Liveness::kEnded);
    }
  }
}

TEST_CASE("the store is down after a connection to an endpoint was lost") {
  RowsSim sim;
  const auto lost_at = kStart + milliseconds(500);
  sim.liveness.Watch(kEndpoint, lost_at);
  const auto recovered_at = lost_at + std::chrono::seconds(6);
  sim.store_recovered_at = recovered_at;
  sim.RemoveAt(recovered_at);
  CHECK_FALSE(sim.Verdict());
  SECTION("the endpoint is alive if its row is back") {
    sim.WriteAt(recovered_at + milliseconds(1500), 7);
    CHECK(sim.Verdict() == Liveness::kAlive);
  }
  SECTION("it has ended if its row stays away") {
    sim.ReadNothingAt(recovered_at + kOptions.missing_row_grace_period);
    CHECK(sim.Verdict() == Liveness::kEnded);
  }
  SECTION("it has ended if another one is back under its id") {
    sim.WriteAt(recovered_at + milliseconds(500), 8);
    CHECK(sim.Verdict() == Liveness::kEnded);
  }
}

TEST_CASE("the row of an endpoint had changed before the connection was lost") {
  RowsSim sim;
  SECTION("it was removed: the endpoint may have left") {
    sim.RemoveAt(kStart + kRowLifetime);
    sim.liveness.Watch(kEndpoint, sim.now + milliseconds(1));
    CHECK(sim.Verdict() == Liveness::kUnknown);
  }
  SECTION("the endpoint had started again") {
    sim.WriteAt(kStart + milliseconds(300), 8);
    sim.liveness.Watch(kEndpoint, sim.now + milliseconds(1));
    CHECK(sim.Verdict() == Liveness::kEnded);
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
