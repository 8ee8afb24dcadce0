#include "play.h"

#include <fmt/format.h>

#include <array>
#include <atomic>

/// Three workers of five answer an item of a batch job, now and then, with
/// bytes that are no answer and don't end until the caller closes. The
/// processes must stay within the memory of their machines.
namespace {

constexpr std::size_t kWorkers = 5;
/// The share of `garble` in the site file is 0.6.
constexpr std::size_t kFaultyWorkers = 3;
constexpr std::size_t kItems = 10;
/// The pace of the site's batch jobs.
constexpr std::chrono::milliseconds kJobPeriod(1000);
constexpr int kJobs = 92;
/// The length of `garble` in the site file, again and again.
constexpr std::size_t kTroubleSeconds = 5;
constexpr std::size_t kPeriodSeconds = 10;
/// Its x is 0.03 of the answers.
constexpr std::uint64_t kRunsBetweenFaults = 34;
/// A tenth of the link of a machine.
constexpr std::size_t kPieceBytes = 64 * 1024;
constexpr std::chrono::milliseconds kPiecePause(5);
constexpr std::chrono::seconds kLastItems(5);

/// The state of a faulty worker.
struct Trouble {
  /// Whether it has yet to answer without end in these seconds.
  std::atomic<bool> is_due = false;
  /// The first run that may be answered so.
  std::atomic<std::uint64_t> next_run = kRunsBetweenFaults;
};

std::string JobBody(std::uint64_t number) {
  std::string items;
  for (std::size_t i = 0; i < kItems; ++i) {
    if (!items.empty()) items += ',';
    items +=
        fmt::format(R"({{"id":"{:016x}","path":"/sheet/1/{}","headers":{{}},)"
                    R"("body":"q83vEjRWeJA=","tokens":520}})",
                    number * kItems + i, i);
  }
  return R"({"requests":[)" + items + "]}";
}

/// The event without an id that the worker repeats.
std::string Piece() {
  std::string piece;
  while (piece.size() < kPieceBytes)
    piece += "data: " + std::string(1000, 'w') + "\n\n";
  return piece;
}

bool AnswerWithoutEnd(review::Play& play, review::Socket& socket,
                      const review::Headers& headers) {
  const auto piece = review::Chunk(Piece());
  std::size_t sent = 0;
  bool open = socket.Send(review::ChunkedHead(200, headers));
  while (open) {
    std::this_thread::sleep_for(kPiecePause);
    open = !socket.HasEnded() && socket.Send(piece);
    if (open) sent += piece.size();
  }
  play.record().Line(
      fmt::format("an answer without end got closed after {} KB", sent / 1024));
  return true;
}

bool PlayCase(const std::string& directory, const std::string& record_file,
              bool trouble) {
  review::Play::Options options;
  options.workers = kWorkers;
  review::Play play(options, directory, record_file);
  std::array<Trouble, kFaultyWorkers> troubles;
  for (std::size_t i = 0; i < kFaultyWorkers; ++i) {
    play.worker(i).SetFault([&play, &own = troubles[i], i](
                                const review::Request& request,
                                review::Socket& socket, std::uint64_t run,
                                const review::Headers& headers) {
      const bool is_item = request.path.starts_with("/sheet/");
      if (!is_item || run < own.next_run || !own.is_due.exchange(false))
        return false;
      own.next_run = run + kRunsBetweenFaults;
      play.record().Line(
          fmt::format("run {} of worker {} has no end", run, i + 1));
      return AnswerWithoutEnd(play, socket, headers);
    });
  }
  review::Callers callers(play.entry(), play.fleet(), play.record());
  std::vector<std::thread> clients;
  for (int job = 0; job < kJobs; ++job) {
    clients.emplace_back([&play, job] {
      const auto number = static_cast<std::uint64_t>(job) + 1;
      const auto id = fmt::format("{:016x}", 0xb0b0000000000000 + number);
      for (std::size_t attempt = 0; attempt < 3; ++attempt) {
        const auto machine = play.entry().MachineFor(number + attempt);
        const auto status =
            play.Submit(machine, id, "key-of-the-bench", JobBody(number));
        if (status == 202) return;
      }
    });
    std::this_thread::sleep_for(kJobPeriod);
    // One after the other, so that they meet items of different daemons.
    const auto second = static_cast<std::size_t>(job + 1) % kPeriodSeconds;
    if (trouble && second < kFaultyWorkers) troubles[second].is_due = true;
    if (second == kTroubleSeconds)
      for (auto& each : troubles) each.is_due = false;
  }
  for (auto& client : clients) client.join();
  std::this_thread::sleep_for(kLastItems);
  callers.Stop();
  return review::JudgeEnds(play);
}

}  // namespace

int main(int argc, char** argv) {
  return review::RunPlay(argc, argv, PlayCase);
}
