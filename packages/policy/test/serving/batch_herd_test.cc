#include <catch2/catch.hpp>
#include <deque>
#include <random>

#include "gypsumtrack/policy/serving/batch_pace.h"
#include "gypsumtrack/policy/serving/batch_starts.h"
#include "gypsumtrack/policy/serving/endpoint_registry.h"

namespace gypsumtrack::policy {
namespace {

using std::chrono::milliseconds;

constexpr int kDomains = 6;
constexpr int kEndpointsInDomain = 10;
constexpr std::uint32_t kSlots = 8;
constexpr auto kTick = milliseconds(50);
const base::Instant kStart(std::chrono::seconds(100));

base::Place PlaceOf(int domain) {
  return {base::FailureDomain("domain-" + std::to_string(domain)),
          base::Region(domain % 2 == 0 ? "delta" : "upper")};
}

/// Daemons with items that wait at the same moment, as after an outage. They
/// hear of each other's loads late. A little online work is everywhere.
class Herd {
 public:
  explicit Herd(std::size_t daemons) : daemons(daemons), random(7) {
    std::vector<EndpointEntry> entries;
    for (int i = 0; i < kDomains * kEndpointsInDomain; ++i) {
      EndpointEntry entry;
      entry.id = base::EndpointId("e" + std::to_string(i));
      entry.incarnation = 1;
      entry.location = PlaceOf(i % kDomains);
      entry.service = base::Service("clocks");
      entry.slots = kSlots;
      entries.push_back(entry);
    }
    for (auto& daemon : this->daemons) {
      daemon.book.ReplaceEntries(entries, {}, kStart);
    }
    for (const auto& entry : entries) this->online[entry.id] = {1, 0};
  }

  /// Each daemon has so many items; all run to their ends.
  void Run(std::size_t items_each, base::Duration item_time) {
    for (auto& daemon : this->daemons) daemon.waiting = items_each;
    this->Tell();
    constexpr int kTicksToHear = 4;
    for (int tick = 0; tick < 2000 && !this->Done(); ++tick) {
      this->now += kTick;
      if (tick % kTicksToHear == 0) this->Tell();
      for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        this->Finish(this->daemons[i], item_time);
        this->Yield(this->daemons[i]);
        this->Begin(this->daemons[i], static_cast<int>(i) % kDomains);
      }
      for (const auto& [id, load] : this->Loads()) {
        this->peak = std::max(this->peak, load.total());
      }
    }
    this->took = this->now - kStart;
  }

  std::size_t cut = 0;
  base::Duration took{0};
  std::size_t finished = 0;
  std::uint32_t peak = 0;

 private:
  struct Running {
    base::EndpointId endpoint;
    base::Instant began;
  };
  struct Member {
    EndpointRegistry book{{}};
    BatchStarts starts{{}};
    std::size_t waiting = 0;
    std::deque<Running> running;
  };

  bool Done() const {
    return std::all_of(this->daemons.begin(), this->daemons.end(),
                       [](const auto& each) {
                         return each.waiting == 0 && each.running.empty();
                       });
  }

  EndpointLoads Loads() const {
    auto loads = this->online;
    for (const auto& daemon : this->daemons) {
      for (const auto& [id, load] : daemon.book.OwnLoads()) loads[id] += load;
    }
    return loads;
  }

  void Tell() {
    for (std::size_t from = 0; from < this->daemons.size(); ++from) {
      const auto loads = this->daemons[from].book.OwnLoads();
      for (std::size_t to = 0; to < this->daemons.size(); ++to) {
        if (from == to) continue;
        const auto name = "vm-" + std::to_string(from);
        this->daemons[to].book.SetPeerLoads(name, loads, this->now);
        const auto waiting = this->daemons[from].waiting;
        this->daemons[to].starts.SetPeerWaiting(
            name, static_cast<std::uint32_t>(waiting), this->now);
      }
    }
    for (auto& daemon : this->daemons) {
      daemon.book.SetPeerLoads("online", this->online, this->now);
    }
  }

  void Finish(Member& daemon, base::Duration item_time) {
    std::erase_if(daemon.running, [&](const Running& item) {
      if (this->now - item.began < item_time) return false;
      daemon.book.OnAttemptEnded(item.endpoint, WorkKind::kBatch,
                                 AttemptResult::kSuccess, this->now);
      ++this->finished;
      return true;
    });
  }

  void Yield(Member& daemon) {
    std::map<base::EndpointId, std::uint32_t> wanted;
    for (const auto& item : daemon.running) {
      if (wanted.contains(item.endpoint)) continue;
      wanted[item.endpoint] =
          daemon.book.BatchToYield(item.endpoint, this->random(), this->now);
    }
    std::erase_if(daemon.running, [&](const Running& item) {
      if (wanted[item.endpoint] == 0) return false;
      --wanted[item.endpoint];
      daemon.book.OnAttemptEnded(item.endpoint, WorkKind::kBatch,
                                 AttemptResult::kUnknown, this->now);
      ++this->cut;
      ++daemon.waiting;
      return true;
    });
  }

  void Begin(Member& daemon, int domain) {
    const base::Service service("clocks");
    const auto leave = PlacesToLeave(Urgency::kRelaxed);
    const auto free = daemon.book.CountFreeSlots(service, leave, this->now);
    const auto waiting = static_cast<std::uint32_t>(daemon.waiting);
    const auto allowed = daemon.starts.Take(Urgency::kRelaxed, free, waiting,
                                            this->random(), this->now);
    for (std::uint32_t i = 0; i < allowed; ++i) {
      EndpointQuery query;
      query.service = service;
      query.origin = PlaceOf(domain);
      query.random_value = this->random();
      const auto choice = daemon.book.ChooseBatch(query, leave, this->now);
      if (choice.status != ChoiceStatus::kChosen) return;
      daemon.book.OnAttemptStarted(choice.endpoint.id, WorkKind::kBatch);
      daemon.running.push_back({choice.endpoint.id, this->now});
      --daemon.waiting;
    }
  }

  std::vector<Member> daemons;
  std::mt19937 random;
  EndpointLoads online;
  base::Instant now = kStart;
};

TEST_CASE("items that many daemons have at the same moment spread out") {
  SECTION("with room for all of them") {
    Herd herd(60);
    herd.Run(4, milliseconds(600));
    CHECK(herd.finished == 240);
    CHECK(herd.took < milliseconds(2000));
    CHECK(herd.peak <= 2 * kSlots);
    CHECK(herd.cut < herd.finished / 10);
  }
  SECTION("with room for a third of them at a time") {
    Herd herd(60);
    herd.Run(15, milliseconds(600));
    CHECK(herd.finished == 900);
    // Three rounds of 360 places take 1,800.
    CHECK(herd.took < milliseconds(3600));
    CHECK(herd.peak <= 2 * kSlots);
    CHECK(herd.cut < herd.finished / 4);
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
