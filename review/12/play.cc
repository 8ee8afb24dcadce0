#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <optional>

#include "../lib-3/site.h"

/// Requests with a part of a prompt that crashes endpoints come at the daemons
/// of a small deployment with two endpoints.
namespace gypsumtrack::review {
namespace {

constexpr int kDaemons = 1;
constexpr int kEndpoints = 2;
constexpr std::size_t kMemoryMb = 300;
constexpr milliseconds kDownTime(5000);
/// Three heartbeat intervals of 1,200 ms.
constexpr milliseconds kEntryExpiry(3600);
constexpr double kCalmS = 10;
constexpr double kEndS = 75;
constexpr double kContactS = 4;
constexpr milliseconds kSoundInterval(100);
constexpr milliseconds kBadInterval(200);
/// The first crashes, in seconds after the calm time.
constexpr std::array<double, 2> kFirstBad = {0, 2.8};
constexpr double kSteadyBadFrom = 4.5;
constexpr milliseconds kTimeout(5000);
constexpr std::size_t kMaxRuns = 3;
constexpr std::size_t kMinSound = 20;
constexpr const char* kBadPart = "bad00bad";

/// An endpoint that is back some seconds after a crash, under another id.
struct Slot {
  std::unique_ptr<testing::EngineStandin> engine;
  std::optional<double> crashed_at;
  bool is_listed = true;
  int starts = 0;
};

struct SoundRequest {
  double sent_at = 0;
  bool served = false;
};

class Play {
 public:
  explicit Play(PlayOptions play_options)
      : options(std::move(play_options)),
        wire(this->options.lib_directory + "/wire.names"),
        record(this->options.case_directory + "/record.txt"),
        store(this->standins.context().get_executor()),
        callers(this->record) {}

  int Run() {
    this->standins.Run([this] { this->is_up = this->store.Start().ok(); });
    if (!this->is_up) return 2;
    this->store.Put("op", "config",
                    ReadFile(this->options.case_directory + "/config.json"));
    for (auto& slot : this->slots) this->StartEndpoint(slot);
    for (int number = 1; number <= kDaemons; ++number) {
      auto config =
          MakeDaemonConfig(this->options, number, this->store.address());
      config.further_settings =
          fmt::format("limits.memoryMb={}\nlimits.maxFds=8200\n", kMemoryMb);
      this->daemons.push_back(std::make_unique<LimitedDaemon>(
          std::move(config), kMemoryMb, this->record));
      this->daemons.back()->Start();
    }
    if (!WaitFor(milliseconds(10000), [this] { return this->AllReady(); }))
      return 2;
    this->begun_at = this->record.Seconds();
    this->begun_base = base::SystemClock().now();
    this->PlayTraffic();
    std::this_thread::sleep_for(kTimeout + milliseconds(500));
    return this->Judge();
  }

 private:
  bool AllReady() {
    for (auto& daemon : this->daemons) {
      const auto answer =
          this->callers.Call(daemon->process().ready_address(),
                             {"GET", this->wire["ready"], {{"Host", "h1"}}, ""},
                             milliseconds(1000));
      if (answer.response.status != 200) return false;
    }
    return true;
  }

  /// The requests come at the daemons in turn.
  std::string Address() {
    const auto next = static_cast<std::size_t>(this->sent) % kDaemons;
    return this->daemons[next]->process().caller_address();
  }

  double Now() const { return this->record.Seconds() - this->begun_at; }

  void StartEndpoint(Slot& slot) {
    const auto index = &slot - this->slots.data();
    const auto id = fmt::format("i-{}.{}", index, ++slot.starts);
    this->standins.Run([&] {
      if (slot.engine) this->ended.push_back(std::move(slot.engine));
      slot.engine = std::make_unique<testing::EngineStandin>(
          this->standins.context().get_executor(), id);
      this->is_up = slot.engine->Start().ok();
    });
    slot.engine->SetCrashingPart(kBadPart);
    slot.engine->SetEventPause(milliseconds(20));
    slot.crashed_at.reset();
    slot.is_listed = true;
    this->store.Put("servers", id, slot.engine->Entry("s1", false));
    this->record.Add("endpoint " + id + " starts");
  }

  void SuperviseEndpoints() {
    for (auto& slot : this->slots) {
      const auto now = this->record.Seconds();
      if (!slot.crashed_at && slot.engine->crashed()) {
        slot.crashed_at = now;
        this->crashes.push_back(now - this->begun_at);
        this->record.Add("endpoint " + slot.engine->id() + " crashed");
      }
      if (!slot.crashed_at) continue;
      const auto down =
          milliseconds(static_cast<int>((now - *slot.crashed_at) * 1000));
      if (slot.is_listed && down >= kEntryExpiry) {
        slot.is_listed = false;
        this->store.Remove("servers", slot.engine->id());
      }
      if (down >= kDownTime) this->StartEndpoint(slot);
    }
  }

  testing::CallRequest MakeRequest(const std::string& id, bool is_bad) const {
    const auto parts = fmt::format("5c1e07a2:100,{}:100,{}:250",
                                   is_bad ? kBadPart : "91bd3f06", id);
    return {"POST",
            "/settle/" + id,
            {{"Host", "h1"},
             {this->wire["request_id"], id},
             {this->wire["key"], "k1"},
             {this->wire["model"], "m"},
             {this->wire["tokens"], "450,26"},
             {this->wire["parts"], parts},
             {this->wire["deadline"], "5000"}},
            (is_bad ? "bad " : "sound ") + id};
  }

  void SendSound() {
    const auto id = fmt::format("50{:06x}", ++this->sent);
    auto& entry = this->sound.emplace_back(
        std::make_unique<SoundRequest>(SoundRequest{this->Now(), false}));
    this->callers.Send(
        this->Address(), this->MakeRequest(id, false), kTimeout,
        [this, id, each = entry.get()](const Answer& answer) {
          each->served = answer.response.status == 200;
          this->record.Add(fmt::format(
              "sound {} sent at {:.3f}: {} complete {}", id, answer.sent_at,
              answer.response.status, answer.response.complete ? 1 : 0));
        });
  }

  void SendBad() {
    const auto id = fmt::format("ba{:06x}", ++this->sent);
    this->callers.Send(
        this->Address(), this->MakeRequest(id, true), kTimeout,
        [this, id](const Answer& answer) {
          this->record.Add(fmt::format("bad {} sent at {:.3f}: {}", id,
                                       answer.sent_at, answer.response.status));
        });
  }

  void PlayTraffic() {
    auto next_sound = steady_clock::now();
    auto next_bad = next_sound;
    std::size_t first_bad_sent = 0;
    while (this->Now() < kEndS) {
      const auto now = steady_clock::now();
      if (now >= next_sound) {
        this->SendSound();
        next_sound += kSoundInterval;
      }
      const auto since = this->Now() - kCalmS;
      if (this->options.trouble && first_bad_sent < kFirstBad.size() &&
          since >= kFirstBad[first_bad_sent]) {
        ++first_bad_sent;
        this->SendBad();
      }
      if (this->options.trouble && since >= kSteadyBadFrom && now >= next_bad) {
        this->SendBad();
        next_bad = now + kBadInterval;
      }
      this->SuperviseEndpoints();
      for (auto& daemon : this->daemons) daemon->Supervise();
      std::this_thread::sleep_for(milliseconds(10));
    }
    for (auto& daemon : this->daemons) this->daemon_ends += daemon->ends();
  }

  std::vector<testing::EngineRun> Runs() const {
    std::vector<testing::EngineRun> runs;
    const auto add = [&](const testing::EngineStandin& engine) {
      for (auto& run : engine.runs()) runs.push_back(std::move(run));
    };
    for (const auto& engine : this->ended) add(*engine);
    for (const auto& slot : this->slots) add(*slot.engine);
    return runs;
  }

  /// Share of the sound requests sent in that time that were begun.
  double ServedShare(double from, double until, std::size_t& count) const {
    std::size_t served = 0;
    count = 0;
    for (const auto& each : this->sound) {
      if (each->sent_at < from || each->sent_at >= until) continue;
      ++count;
      served += each->served ? 1 : 0;
    }
    return count == 0
               ? 0
               : static_cast<double>(served) / static_cast<double>(count);
  }

  int Judge() {
    std::size_t calm_count = 0;
    const auto calm = this->ServedShare(0, kCalmS, calm_count);
    if (this->daemon_ends > 0 || calm < 0.5 || calm_count < kMinSound) {
      this->record.Add("the calm time isn't calm");
      return 2;
    }
    this->record.Add(fmt::format("crashes: {}; served in calm: {:.3f} of {}",
                                 this->crashes.size(), calm, calm_count));
    if (this->crashes.size() < 5) return 0;
    const auto fifth = this->crashes[4];
    std::size_t late_runs = 0;
    const auto zero = this->begun_base;
    for (const auto& run : this->Runs()) {
      if (run.body.rfind("bad", 0) != 0) continue;
      const auto at = std::chrono::duration<double>(run.at - zero).count();
      const bool is_late = at > fifth + kContactS;
      if (is_late) ++late_runs;
      this->record.Add(fmt::format("run of \"{}\" by {} at {:.3f}{}", run.body,
                                   run.engine, at + this->begun_at,
                                   is_late ? ": late" : ""));
    }
    std::size_t late_count = 0;
    const auto late =
        this->ServedShare(fifth + 2 * kContactS, kEndS, late_count);
    const bool breaks_budget = late_runs > kMaxRuns;
    const bool breaks_lost = late_count >= kMinSound && late < calm / 2;
    this->record.Add(fmt::format(
        "fifth crash at {:.3f}; runs of requests with the part later than "
        "{} s after it: {} (3 are allowed); sound requests begun later than "
        "{} s after it: {:.3f} of {}",
        fifth, kContactS, late_runs, 2 * kContactS, late, late_count));
    if (breaks_budget) this->record.Add("BROKEN: BUDGET");
    if (breaks_lost) this->record.Add("BROKEN: LOST");
    return breaks_budget || breaks_lost ? 1 : 0;
  }

  PlayOptions options;
  WireNames wire;
  Record record;
  Loop standins;
  testing::StoreStandin store;
  std::array<Slot, kEndpoints> slots;
  std::vector<std::unique_ptr<testing::EngineStandin>> ended;
  std::vector<std::unique_ptr<LimitedDaemon>> daemons;
  bool is_up = false;
  double begun_at = 0;
  base::Instant begun_base{};
  std::vector<double> crashes;
  std::vector<std::unique_ptr<SoundRequest>> sound;
  int sent = 0;
  int daemon_ends = 0;
  Callers callers;
};

}  // namespace
}  // namespace gypsumtrack::review

int main() {
  try {
    gypsumtrack::review::Play play(gypsumtrack::review::ReadPlayOptions());
    return play.Run();
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}\n", error.what());
    return 2;
  }
}
