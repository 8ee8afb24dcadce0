#include "gypsumtrack/policy/serving/crash_quarantine.h"

#include <catch2/catch.hpp>
#include <memory>
#include <random>

namespace gypsumtrack::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

using Suspects = std::vector<CrashSuspect>;

const base::Instant kStart(seconds(10));
const base::WallTime kWall(minutes(1'000'000));

CrashSuspect Part(const std::string& id) {
  return {SuspectKind::kPromptPart, id};
}

CrashSuspect Request(const std::string& fingerprint) {
  return {SuspectKind::kRequest, fingerprint};
}

const CrashSuspect kCommon = Part("c0");
const CrashSuspect kBad = Part("bad");

CrashedRun Run(const std::string& endpoint, const std::string& request) {
  return {base::EndpointId(endpoint), 1, request};
}

/// The store's reports, as all daemons read them.
class ReportTable {
 public:
  void Write(CrashQuarantine& daemon, base::Instant now = kStart) {
    for (auto& report : daemon.TakeChangedReports(now)) {
      this->rows[report.key] = {report, ++this->version};
      for (auto* reader : this->readers)
        reader->ApplyReport(report, this->version);
    }
  }

  void Remove(CrashQuarantine& daemon, bool collects_all, base::Instant now,
              base::WallTime wall) {
    for (const auto& [key, row_version] :
         daemon.TakeReportsToRemove(collects_all, now, wall)) {
      const auto found = this->rows.find(key);
      if (found == this->rows.end() || found->second.second != row_version)
        continue;
      this->rows.erase(found);
      for (auto* reader : this->readers) reader->ApplyRemoval(key);
    }
  }

  std::vector<CrashQuarantine*> readers;
  std::map<CrashReportKey, std::pair<CrashReport, std::uint64_t>> rows;
  std::uint64_t version = 0;
};

TEST_CASE("a part that crashes several endpoints is put in quarantine") {
  CrashQuarantine first("vm-1", {});
  CrashQuarantine second("vm-2", {});
  ReportTable table;
  table.readers = {&first, &second};
  const auto crash = [&](CrashQuarantine& daemon, const std::string& endpoint,
                         const std::string& request) {
    daemon.OnCrash({kCommon, kBad}, Run(endpoint, request), kWall, kStart);
    table.Write(daemon);
  };
  crash(first, "e-1", "r-1");
  crash(first, "e-2", "r-1");
  SECTION("not by one request alone, which may only have been near crashes") {
    crash(first, "e-3", "r-1");
    CHECK_FALSE(first.Find({kBad}, kWall));
  }
  SECTION("not by one request and those that ran beside it") {
    crash(second, "e-3", "r-1");
    crash(second, "e-3", "r-2");
    crash(first, "e-1", "r-3");
    CHECK_FALSE(first.Find({kBad}, kWall));
    SECTION("but by a crash without that request") {
      crash(second, "e-4", "r-2");
      CHECK(first.Find({kBad}, kWall));
    }
  }
  SECTION("not by two crashes") {
    crash(second, "e-2", "r-2");
    CHECK_FALSE(second.Find({kBad}, kWall));
  }
  SECTION("once other daemons have seen the rest") {
    crash(second, "e-3", "r-2");
    CHECK(first.Find({kBad}, kWall)->suspect == kBad);
    CHECK(second.Find({kCommon, kBad}, kWall));
    SECTION("until some time after the last crash") {
      CHECK(first.Find({kBad}, kWall)->until == kWall + minutes(10));
      CHECK(first.Find({kBad}, kWall + minutes(9)));
      CHECK_FALSE(first.Find({kBad}, kWall + minutes(10)));
    }
    SECTION("and its other parts are cleared by a request that is answered") {
      second.OnProgress({kCommon}, kStart, 0);
      table.Remove(second, false, kStart, kWall);
      CHECK_FALSE(first.Find({kCommon}, kWall));
      CHECK_FALSE(second.Find({kCommon}, kWall));
      CHECK(first.Find({kCommon, kBad}, kWall)->suspect == kBad);
    }
    SECTION("until a crash turns out to be a lost connection") {
      CHECK(first.OnAlive({base::EndpointId("e-1"), 1}) == 2);
      table.Write(first);
      CHECK_FALSE(first.Find({kBad}, kWall));
      CHECK_FALSE(second.Find({kBad}, kWall));
      CHECK(table.rows.size() == 4);
      SECTION("as do all that its daemon has reported") {
        first.OnAlive({base::EndpointId("e-2"), 1});
        CHECK(first.has_pending_reports());
        table.Write(first);
        table.Remove(first, false, kStart, kWall);
        CHECK(table.rows.size() == 2);
        CHECK_FALSE(first.has_pending_reports());
      }
      SECTION("and another one is reported") {
        crash(first, "e-4", "r-3");
        CHECK(second.Find({kBad}, kWall));
      }
    }
    SECTION("not by an earlier start of an endpoint, which lives no more") {
      CHECK(first.OnAlive({base::EndpointId("e-1"), 2}) == 0);
      CHECK(first.Find({kBad}, kWall));
    }
    SECTION("also at a daemon that starts later") {
      CrashQuarantine third("vm-3", {});
      for (const auto& [key, row] : table.rows)
        third.ApplyReport(row.first, row.second);
      CHECK(third.Find({kBad}, kWall));
    }
    SECTION("also if a daemon reads all reports again") {
      first.ForgetReports();
      for (const auto& [key, row] : table.rows)
        first.ApplyReport(row.first, row.second);
      CHECK(first.Find({kBad}, kWall));
    }
  }
  SECTION("at the daemon that saw them even without the store") {
    first.OnCrash({kBad}, Run("e-3", "r-2"), kWall, kStart);
    CHECK(first.Find({kBad}, kWall));
    CHECK_FALSE(second.Find({kBad}, kWall));
  }
}

TEST_CASE("a request that crashes several endpoints is put in quarantine") {
  const Suspects parts{kCommon, Request("f1")};
  CrashQuarantine daemon("vm-1", {});
  const auto crash = [&](const std::string& endpoint) {
    daemon.OnCrash({Request("f1")}, Run(endpoint, "r-1"), kWall, kStart);
  };
  crash("e-1");
  crash("e-2");
  CHECK_FALSE(daemon.Find(parts, kWall));
  SECTION("not by another crash of the same endpoint") {
    crash("e-2");
    CHECK_FALSE(daemon.Find(parts, kWall));
  }
  SECTION("by the third endpoint, though its parts are sound") {
    crash("e-3");
    CHECK(daemon.Find(parts, kWall)->suspect == Request("f1"));
    CHECK_FALSE(daemon.Find({kCommon, Request("f2")}, kWall));
    SECTION("and other requests with its parts clear only these") {
      daemon.OnProgress({kCommon}, kStart, 0);
      CHECK(daemon.Find(parts, kWall));
    }
  }
  SECTION("not if it was answered meanwhile") {
    daemon.OnProgress({kCommon, Request("f1")}, kStart, 0);
    crash("e-3");
    CHECK_FALSE(daemon.Find(parts, kWall));
  }
}

// Guards against a report in the store on each sound request that any crash of
// an endpoint ends.
TEST_CASE("sound requests that a crash ends are seldom reported") {
  CrashQuarantine daemon("vm-1", {});
  const auto crash = [&](const std::string& endpoint) {
    daemon.OnCrash({Request("f1")}, Run(endpoint, "f1"), kWall, kStart);
  };
  const auto later = kStart + seconds(1);
  crash("e-1");
  CHECK(daemon.TakeChangedReports(later - milliseconds(1)).empty());
  SECTION("not if they are answered soon") {
    daemon.OnProgress({Request("f1")}, kStart, 0);
    CHECK(daemon.TakeChangedReports(later).empty());
    CHECK_FALSE(daemon.has_pending_reports());
  }
  SECTION("but if they are not") {
    CHECK(daemon.TakeChangedReports(later).size() == 1);
  }
  SECTION("at once if another endpoint crashes under them") {
    crash("e-2");
    CHECK(daemon.TakeChangedReports(kStart).size() == 1);
  }
}

TEST_CASE("reports that no longer matter leave the store") {
  CrashQuarantine first("vm-1", {});
  CrashQuarantine second("vm-2", {});
  ReportTable table;
  table.readers = {&first, &second};
  first.OnCrash({kBad}, Run("e-1", "r-1"), kWall, kStart);
  table.Write(first);
  REQUIRE(table.rows.size() == 1);
  SECTION("when the part has made progress elsewhere") {
    second.OnProgress({kBad}, kStart, 0);
    table.Remove(second, false, kStart, kWall);
    CHECK(table.rows.empty());
    SECTION("and what they said isn't reported again") {
      table.Write(first);
      CHECK(table.rows.empty());
      CHECK_FALSE(first.has_pending_reports());
      CHECK_FALSE(second.has_pending_reports());
    }
  }
  SECTION("but not at once at every daemon, by the random number") {
    second.OnProgress({kBad}, kStart, 300'000);
    table.Remove(second, false, kStart + milliseconds(299), kWall);
    CHECK(table.rows.size() == 1);
    table.Remove(second, false, kStart + milliseconds(300), kWall);
    CHECK(table.rows.empty());
  }
  SECTION("when they have expired, removed by their daemon") {
    table.Remove(second, false, kStart, kWall + minutes(11));
    CHECK(table.rows.size() == 1);
    table.Remove(first, false, kStart, kWall + minutes(11));
    CHECK(table.rows.empty());
  }
  SECTION("when they have expired, removed by the collector") {
    table.Remove(second, true, kStart, kWall + minutes(11));
    CHECK(table.rows.empty());
  }
  SECTION("not while a write of one has failed") {
    first.OnCrash({kBad}, Run("e-2", "r-2"), kWall, kStart);
    const auto reports = first.TakeChangedReports(kStart);
    CHECK_FALSE(first.has_pending_reports());
    first.OnWriteFailed(reports);
    CHECK(first.has_pending_reports());
  }
}

TEST_CASE("a part that just made progress isn't reported") {
  CrashQuarantine daemon("vm-1", {});
  daemon.OnProgress({kCommon}, kStart, 0);
  daemon.OnCrash({kCommon}, Run("e-1", "r-1"), kWall, kStart + seconds(1));
  CHECK(daemon.TakeChangedReports(kStart).empty());
  daemon.OnCrash({kCommon}, Run("e-1", "r-1"), kWall, kStart + seconds(3));
  CHECK(daemon.TakeChangedReports(kStart).size() == 1);
}

/// The requests that crash endpoints.
enum class BadRequests {
  kWithPart,  ///< all that have the part kBad, no two alike
  kRepeated,  ///< one that comes again; sound requests share all its parts
};

/// Endpoints that crash when they begin to write an answer to a bad request,
/// before daemons that choose among them at random. Time advances in steps.
class CrashingFleet {
 public:
  static constexpr int kDaemons = 12;
  static constexpr int kEndpoints = 18;
  static constexpr base::Duration kStep = milliseconds(10);
  static constexpr base::Duration kFirstEvent = milliseconds(60);
  static constexpr base::Duration kCrashAfter = milliseconds(100);
  static constexpr base::Duration kAnswer = milliseconds(600);
  static constexpr base::Duration kRestart = seconds(3);
  /// From the write of a report until all daemons have read it.
  static constexpr base::Duration kReportDelay = milliseconds(60);
  static constexpr int kAttempts = 2;

  CrashingFleet(BadRequests bad_requests, unsigned seed)
      : bad_requests(bad_requests), random(seed) {
    for (int i = 0; i < kDaemons; ++i) {
      this->daemons.push_back(std::make_unique<CrashQuarantine>(
          "vm-" + std::to_string(i), CrashQuarantineOptions{}));
      this->table.readers.push_back(this->daemons.back().get());
    }
    this->endpoints.resize(kEndpoints);
  }

  /// Plays sound requests at 80 a second, of which some have a part that few
  /// have, and bad ones at `bad_rate`.
  void Play(base::Duration duration, double bad_rate) {
    const auto until = this->now + duration;
    while (this->now < until) {
      this->now += kStep;
      this->EndRuns();
      this->ExchangeReports();
      if (this->Chance(80)) this->Send(this->SoundParts(), false);
      if (this->Chance(bad_rate)) this->Send(this->BadParts(), true);
    }
  }

  int crashes = 0;
  /// Bad requests that reached an endpoint after the last call of Play began.
  int bad_sent = 0;
  int sound_sent = 0;
  int sound_refused = 0;

 private:
  struct Active {
    /// The parts of the prompt, and the request.
    Suspects suspects;
    bool is_bad = false;
    std::size_t daemon = 0;
    int attempt = 0;
    base::Instant started{};
    bool has_event = false;
  };
  struct Endpoint {
    std::uint64_t incarnation = 1;
    base::Instant back_at{};
    std::vector<Active> runs;
  };

  bool Chance(double rate_per_second) {
    const double step_seconds = std::chrono::duration<double>(kStep).count();
    return std::uniform_real_distribution<>(0, 1)(this->random) <
           rate_per_second * step_seconds;
  }

  Suspects SoundParts() {
    Suspects parts{Part("c" + std::to_string(this->random() % 3))};
    if (this->random() % 4 == 0) {
      parts.push_back(Part("rare" + std::to_string(this->random() % 40)));
    }
    return parts;
  }

  Suspects BadParts() const {
    if (this->bad_requests == BadRequests::kWithPart) return {kCommon, kBad};
    return {kCommon, Part("rare7")};
  }

  base::WallTime Wall() const {
    return kWall + std::chrono::duration_cast<milliseconds>(
                       this->now.time_since_epoch());
  }

  void Send(Suspects suspects, bool is_bad) {
    const auto id = "r-" + std::to_string(++this->request_count);
    const bool comes_again =
        is_bad && this->bad_requests == BadRequests::kRepeated;
    suspects.push_back(Request(comes_again ? "bad" : id));
    if (!is_bad) ++this->sound_sent;
    this->Attempt({std::move(suspects), is_bad, this->random() % kDaemons});
  }

  void Attempt(Active run) {
    if (this->daemons[run.daemon]->Find(run.suspects, this->Wall())) {
      if (!run.is_bad) ++this->sound_refused;
      return;
    }
    std::vector<std::size_t> live;
    for (std::size_t i = 0; i < this->endpoints.size(); ++i) {
      if (this->endpoints[i].back_at <= this->now) live.push_back(i);
    }
    if (live.empty()) return;
    if (run.is_bad) ++this->bad_sent;
    ++run.attempt;
    run.started = this->now;
    run.has_event = false;
    this->endpoints[live[this->random() % live.size()]].runs.push_back(
        std::move(run));
  }

  void EndRuns() {
    std::vector<Active> retries;
    for (std::size_t i = 0; i < this->endpoints.size(); ++i) {
      auto& endpoint = this->endpoints[i];
      bool crashes_now = false;
      std::erase_if(endpoint.runs, [&](Active& run) {
        const auto age = this->now - run.started;
        crashes_now = crashes_now || (run.is_bad && age >= kCrashAfter);
        if (run.is_bad) return false;
        if (!run.has_event && age >= kFirstEvent) {
          run.has_event = true;
          this->Progress(run,
                         SelectKind(run.suspects, SuspectKind::kPromptPart));
        }
        if (age < kAnswer) return false;
        this->Progress(run, run.suspects);
        return true;
      });
      if (crashes_now) this->Crash(i, retries);
    }
    for (auto& run : retries) this->Attempt(std::move(run));
  }

  void Progress(const Active& run, const Suspects& suspects) {
    this->daemons[run.daemon]->OnProgress(suspects, this->now, this->random());
  }

  void Crash(std::size_t index, std::vector<Active>& retries) {
    auto& endpoint = this->endpoints[index];
    ++this->crashes;
    const CrashedRun crash{base::EndpointId("e-" + std::to_string(index)),
                           endpoint.incarnation, ""};
    for (auto& run : std::exchange(endpoint.runs, {})) {
      auto crashed_run = crash;
      crashed_run.request = run.suspects.back().id;
      const auto suspects =
          run.has_event ? SelectKind(run.suspects, SuspectKind::kRequest)
                        : run.suspects;
      this->daemons[run.daemon]->OnCrash(suspects, crashed_run, this->Wall(),
                                         this->now);
      if (run.attempt < kAttempts) retries.push_back(std::move(run));
    }
    ++endpoint.incarnation;
    endpoint.back_at = this->now + kRestart;
  }

  void ExchangeReports() {
    if (this->now < this->exchange_at) return;
    this->exchange_at = this->now + kReportDelay;
    for (const auto& daemon : this->daemons) {
      this->table.Write(*daemon, this->now);
      this->table.Remove(*daemon, false, this->now, this->Wall());
    }
  }

  const BadRequests bad_requests;
  std::mt19937 random;
  base::Instant now = kStart;
  base::Instant exchange_at{};
  ReportTable table;
  std::vector<std::unique_ptr<CrashQuarantine>> daemons;
  std::vector<Endpoint> endpoints;
  int request_count = 0;
};

// Load pattern: a few requests a second, no two alike and at any daemon, have a
// part that crashes the endpoint, which runs sound requests beside.
// Or it is one request that comes again.
TEST_CASE("what crashes endpoints costs few of them") {
  const auto bad_requests =
      GENERATE(BadRequests::kWithPart, BadRequests::kRepeated);
  for (unsigned seed = 1; seed <= 20; ++seed) {
    CrashingFleet fleet(bad_requests, seed);
    fleet.Play(seconds(5), 0);
    REQUIRE(fleet.crashes == 0);
    fleet.Play(seconds(10), 6);
    INFO("seed " << seed << ", " << fleet.crashes << " crashes");
    CHECK(fleet.crashes >= 3);
    CHECK(fleet.crashes < CrashingFleet::kEndpoints);
    const auto sound_before = fleet.sound_sent;
    fleet.bad_sent = 0;
    fleet.sound_refused = 0;
    fleet.Play(seconds(60), 6);
    CHECK(fleet.bad_sent == 0);
    CHECK(fleet.sound_sent > sound_before);
    CHECK(fleet.sound_refused == 0);
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
