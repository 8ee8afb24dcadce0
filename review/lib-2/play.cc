#include "play.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>

#include "names.h"

namespace review {
namespace {

constexpr milliseconds kStartTime(15'000);
/// "Traffic starts 10 s after the machines do"; the daemons know each other by
/// then.
constexpr milliseconds kTimeBeforeTraffic(3000);
constexpr milliseconds kSubmitTimeout(5500);
constexpr int kCannotRun = 2;
/// A play that takes longer couldn't run.
constexpr std::chrono::seconds kMaxPlayTime(112);

}  // namespace

Play::Play(const Options& options, const std::string& directory,
           const std::string& record_file)
    : play_record(new Record(record_file)), platform_store(new Store()) {
  this->store().Put("op", "config", ReadFile("review/lib-2/config.json"));
  constexpr const char* kDomains[] = {"tartu-a", "tartu-b", "tallinn-a"};
  for (std::size_t i = 0; i < options.workers; ++i) {
    auto worker = options.worker;
    worker.id = fmt::format("i-{:08x}", 0x7f3a9100 + i);
    worker.domain = kDomains[i % 3];
    this->workers.push_back(new Worker(worker, this->store(), this->record()));
  }
  Fleet::Options fleet_options;
  fleet_options.machines = options.machines;
  fleet_options.directory = directory;
  this->daemons =
      std::make_unique<Fleet>(fleet_options, this->store(), this->record());
  if (!this->daemons->WaitReady(kStartTime))
    throw std::runtime_error("the daemons aren't ready in time");
  this->platform_entry =
      std::make_unique<Entry>(*this->daemons, this->record());
  std::this_thread::sleep_for(kTimeBeforeTraffic);
}

unsigned Play::Submit(std::size_t machine, const std::string& job,
                      const std::string& key, const std::string& body) {
  const auto reply =
      Call(this->fleet().FrontAddress(machine), "POST", "/sheet/" + job,
           {{"Host", "sheet.example"},
            {Name("header.request_id"), job},
            {Name("header.key"), key},
            {"Content-Type", "application/json"}},
           body, kSubmitTimeout);
  this->record().Line(fmt::format("batch job {} of {} bytes at edge-{}: {}",
                                  job, body.size(), machine + 1, reply.status));
  return reply.status;
}

bool JudgeEnds(Play& play) {
  // "on a tenth of the machines in use (two at least) processes end by
  // themselves three times in the day".
  constexpr int kEnds = 3;
  const auto machines = play.fleet().size();
  const auto allowed = std::max<std::size_t>(2, (machines + 9) / 10);
  std::size_t count = 0;
  std::string peaks;
  for (std::size_t i = 0; i < machines; ++i) {
    if (play.fleet().Ends(i) >= kEnds) ++count;
    peaks += fmt::format(" edge-{}: {} ends, peak {} MB;", i + 1,
                         play.fleet().Ends(i), play.fleet().PeakMb(i));
  }
  const bool is_broken = count >= allowed;
  play.record().Line(fmt::format("RESULT {}:{} {} of {} machines with {} ends",
                                 is_broken ? "broken" : "held", peaks, count,
                                 machines, kEnds));
  return !is_broken;
}

int RunPlay(int argc, char** argv,
            const std::function<bool(const std::string& directory,
                                     const std::string& record_file,
                                     bool trouble)>& play) {
  if (argc != 3) {
    fmt::print(stderr, "usage: {} FOLDER RECORD\n", argv[0]);
    return kCannotRun;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  std::thread([name = std::string(argv[0])] {
    std::this_thread::sleep_for(kMaxPlayTime);
    fmt::print(stderr, "{}: takes too long\n", name);
    std::_Exit(kCannotRun);
  }).detach();
  try {
    const bool holds = play(argv[1], argv[2], has_trouble);
    // Connections of the stand-ins may still be open.
    std::fflush(nullptr);
    std::_Exit(holds ? 0 : 1);
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}: {}\n", argv[0], error.what());
    std::fflush(nullptr);
    std::_Exit(kCannotRun);
  }
}

}  // namespace review
