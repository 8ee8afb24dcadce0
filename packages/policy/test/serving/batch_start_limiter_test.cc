#include "gypsumtrack/policy/serving/batch_start_limiter.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

#include "gypsumtrack/policy/serving/batch_urgency.h"
#include "gypsumtrack/policy/serving/endpoint_registry.h"

namespace gypsumtrack::policy {
namespace {

using std::chrono::milliseconds;

constexpr int kDomains = 6;
constexpr int kEndpointsPerDomain = 10;
constexpr std::uint32_t kSlotsPerEndpoint = 8;
constexpr auto kTick = milliseconds(50);
const base::Instant kStart(std::chrono::seconds(100));

base::Location LocationOf(int domain) {
  return {base::FailureDomain("domain-" + std::to_string(domain)),
          base::Region(domain % 2 == 0 ? "delta" : "upper")};
}

/// Simulates daemons whose items all wait at the same moment, as after an
/// outage. Daemons receive each other's loads with a delay. Each endpoint also
/// runs one online request.
class Simulation {
 public:
  explicit Simulation(std::size_t daemons) : daemons(daemons), random(7) {
    std::vector<EndpointEntry> entries;
    for (int i = 0; i < kDomains * kEndpointsPerDomain; ++i) {
      EndpointEntry entry;
      entry.id = base::EndpointId("e" + std::to_string(i));
      entry.incarnation = 1;
      entry.location = LocationOf(i % kDomains);
      entry.service = base::Service("clocks");
      entry.slots = kSlotsPerEndpoint;
      entries.push_back(entry);
    }
    for (auto& daemon : this->daemons) {
      daemon.registry.ReplaceEntries(entries, {}, kStart);
    }
    for (const auto& entry : entries) this->online_loads[entry.id] = {1, 0};
  }

  /// Gives each daemon `items_each` items and runs until all have completed.
  void Run(std::size_t items_each, base::Duration item_time) {
    for (auto& daemon : this->daemons) daemon.waiting = items_each;
    this->ExchangeLoads();
    constexpr int kTicksPerExchange = 4;
    for (int tick = 0; tick < 2000 && !this->AllDone(); ++tick) {
      this->now += kTick;
      if (tick % kTicksPerExchange == 0) this->ExchangeLoads();
      for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        this->FinishItems(this->daemons[i], item_time);
        this->YieldItems(this->daemons[i]);
        this->StartItems(this->daemons[i], static_cast<int>(i) % kDomains);
      }
      for (const auto& [id, load] : this->TotalLoads()) {
        this->peak_load = std::max(this->peak_load, load.total());
      }
    }
    this->duration = this->now - kStart;
  }

  /// Runs that were interrupted to yield a slot.
  std::size_t interrupted = 0;
  base::Duration duration{0};
  std::size_t finished = 0;
  /// Largest number of requests at one endpoint, online and batch.
  std::uint32_t peak_load = 0;

 private:
  struct RunningItem {
    base::EndpointId endpoint;
    base::Instant started;
  };
  struct Daemon {
    EndpointRegistry registry{{}};
    BatchStartLimiter limiter{{}};
    std::size_t waiting = 0;
    std::deque<RunningItem> running;
  };

  bool AllDone() const {
    return std::all_of(this->daemons.begin(), this->daemons.end(),
                       [](const auto& each) {
                         return each.waiting == 0 && each.running.empty();
                       });
  }

  EndpointLoads TotalLoads() const {
    auto loads = this->online_loads;
    for (const auto& daemon : this->daemons) {
      for (const auto& [id, load] : daemon.registry.OwnLoads()) {
        loads[id] += load;
      }
    }
    return loads;
  }

  void ExchangeLoads() {
    for (std::size_t from = 0; from < this->daemons.size(); ++from) {
      const auto loads = this->daemons[from].registry.OwnLoads();
      for (std::size_t to = 0; to < this->daemons.size(); ++to) {
        if (from == to) continue;
        const auto name = "vm-" + std::to_string(from);
        this->daemons[to].registry.SetPeerLoads(name, loads, this->now);
        const auto waiting = this->daemons[from].waiting;
        this->daemons[to].limiter.SetPeerWaitingItems(
            name, static_cast<std::uint32_t>(waiting), this->now);
      }
    }
    for (auto& daemon : this->daemons) {
      daemon.registry.SetPeerLoads("online", this->online_loads, this->now);
    }
  }

  void FinishItems(Daemon& daemon, base::Duration item_time) {
    std::erase_if(daemon.running, [&](const RunningItem& item) {
      if (this->now - item.started < item_time) return false;
      daemon.registry.OnAttemptEnded(item.endpoint, WorkKind::kBatch,
                                     AttemptResult::kSuccess, this->now);
      ++this->finished;
      return true;
    });
  }

  void YieldItems(Daemon& daemon) {
    std::map<base::EndpointId, std::uint32_t> to_yield;
    for (const auto& item : daemon.running) {
      if (to_yield.contains(item.endpoint)) continue;
      to_yield[item.endpoint] = daemon.registry.BatchToYield(
          item.endpoint, this->random(), this->now);
    }
    std::erase_if(daemon.running, [&](const RunningItem& item) {
      if (to_yield[item.endpoint] == 0) return false;
      --to_yield[item.endpoint];
      daemon.registry.OnAttemptEnded(item.endpoint, WorkKind::kBatch,
                                     AttemptResult::kUnknown, this->now);
      ++this->interrupted;
      ++daemon.waiting;
      return true;
    });
  }

  void StartItems(Daemon& daemon, int domain) {
    const base::Service service("clocks");
    const auto reserved = SlotsToKeepFree(Urgency::kRelaxed);
    const auto free =
        daemon.registry.CountFreeSlots(service, reserved, this->now);
    const auto waiting = static_cast<std::uint32_t>(daemon.waiting);
    const auto allowed = daemon.limiter.AcquireStarts(
        Urgency::kRelaxed, free, waiting, this->random(), this->now);
    for (std::uint32_t i = 0; i < allowed; ++i) {
      EndpointQuery query;
      query.service = service;
      query.origin = LocationOf(domain);
      query.random_value = this->random();
      const auto choice =
          daemon.registry.ChooseBatch(query, reserved, this->now);
      if (choice.status != ChoiceStatus::kChosen) return;
      daemon.registry.OnAttemptStarted(choice.endpoint.id, WorkKind::kBatch,
                                       this->now);
      daemon.running.push_back({choice.endpoint.id, this->now});
      --daemon.waiting;
    }
  }

  std::vector<Daemon> daemons;
  std::mt19937 random;
  EndpointLoads online_loads;
  base::Instant now = kStart;
};

TEST_CASE("items that wait at many daemons at once spread over endpoints") {
  SECTION("with slots for all of them") {
    Simulation simulation(60);
    simulation.Run(4, milliseconds(600));
    CHECK(simulation.finished == 240);
    CHECK(simulation.duration < milliseconds(2000));
    CHECK(simulation.peak_load <= 2 * kSlotsPerEndpoint);
    CHECK(simulation.interrupted < simulation.finished / 10);
  }
  SECTION("with slots for a third of them at a time") {
    Simulation simulation(60);
    simulation.Run(15, milliseconds(600));
    CHECK(simulation.finished == 900);
    // 900 items in three rounds of 360 free slots take 1,800 ms.
    CHECK(simulation.duration < milliseconds(3600));
    CHECK(simulation.peak_load <= 2 * kSlotsPerEndpoint);
    CHECK(simulation.interrupted < simulation.finished / 4);
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
