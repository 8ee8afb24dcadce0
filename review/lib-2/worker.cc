#include "worker.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

#include "names.h"

namespace review {
namespace {

/// What a worker accepts of a head.
constexpr std::size_t kMaxHeadBytes = 64 * 1024;
/// DEPLOY.md: heartbeatMs.
constexpr milliseconds kHeartbeat(1200);
constexpr milliseconds kSlotPoll(2);
constexpr milliseconds kMaxQueueTime(2000);

/// The output tokens that the request names, as events.
std::uint64_t EventsOf(const Request& request, std::uint64_t most) {
  const auto tokens = request.Header(Name("header.tokens"));
  const auto comma = tokens.find(',');
  if (comma == std::string::npos) return most;
  return std::min<std::uint64_t>(most, std::stoull(tokens.substr(comma + 1)));
}

}  // namespace

Worker::Worker(Options worker_options, Store& platform_store,
               Record& play_record)
    : options(std::move(worker_options)),
      store(platform_store),
      record(play_record) {
  this->server = std::make_unique<Server>(
      [this](const Request& request, Socket& socket) {
        return this->Serve(request, socket);
      },
      kMaxHeadBytes);
  this->beats = std::thread([this] { this->Beat(); });
}

Worker::~Worker() {
  this->stopped = true;
  this->beats.join();
}

std::map<std::string, int> Worker::WholeRuns() {
  const std::lock_guard lock(this->mutex);
  return this->whole_runs;
}

void Worker::Beat() {
  const auto entry = ReadFile("review/lib-2/worker.json");
  const auto born = std::chrono::duration_cast<milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  auto next = Clock::now();
  for (int beat = 1; !this->stopped; ++beat) {
    this->store.Put("servers", this->options.id,
                    Fill(entry, {{"ADDRESS", this->server->address()},
                                 {"DOMAIN", this->options.domain},
                                 {"SLOTS", std::to_string(this->options.slots)},
                                 {"BORN", std::to_string(born)},
                                 {"BEAT", std::to_string(beat)}}));
    next += kHeartbeat;
    while (!this->stopped && Clock::now() < next)
      std::this_thread::sleep_for(milliseconds(20));
  }
}

bool Worker::Serve(const Request& request, Socket& socket) {
  const auto id = request.Header(Name("header.request_id"));
  const auto expected = request.Header(Name("header.expected"));
  Headers headers{{Name("header.request_id"), id},
                  {Name("header.instance"), this->options.id}};
  if (!expected.empty() && expected != this->options.id)
    return Respond(socket, 421, headers, "");
  const auto until = Clock::now() + kMaxQueueTime;
  const bool may_wait = this->queued.fetch_add(1) < this->options.max_queued;
  bool has_slot = false;
  while (may_wait && !has_slot && Clock::now() < until && !socket.HasEnded()) {
    auto taken = this->active.load();
    has_slot = taken < this->options.slots &&
               this->active.compare_exchange_strong(taken, taken + 1);
    if (!has_slot) std::this_thread::sleep_for(kSlotPoll);
  }
  --this->queued;
  if (!has_slot) {
    headers.emplace_back(Name("header.not_run"), "1");
    return Respond(socket, 503, headers, "");
  }
  const bool answered = this->Run(request, socket);
  --this->active;
  return answered;
}

bool Worker::Run(const Request& request, Socket& socket) {
  const auto id = request.Header(Name("header.request_id"));
  const auto run = ++this->run_count;
  const Headers headers{
      {Name("header.request_id"), id},
      {"Content-Type", "text/event-stream"},
      {Name("header.seal"), fmt::format("seal-{}-{}", this->options.id, run)},
      {Name("header.load"),
       fmt::format("{},{},{}", this->active.load(), this->queued.load(),
                   this->options.slots)}};
  if (this->fault && this->fault(request, socket, run, headers)) return false;
  const auto after = request.Header(Name("header.after_event"));
  const auto first = after.empty() ? 1 : std::stoull(after) + 1;
  const auto last = EventsOf(request, this->options.events);
  if (!socket.Send(ChunkedHead(200, headers))) return false;
  for (auto event = first; event <= last; ++event) {
    std::this_thread::sleep_for(this->options.event_pause);
    const bool sent =
        !socket.HasEnded() &&
        socket.Send(Chunk(fmt::format("id: {}\ndata: {:w>{}}\n\n", event, event,
                                      this->options.event_bytes)));
    if (!sent) return false;
  }
  const std::lock_guard lock(this->mutex);
  ++this->whole_runs[id];
  return socket.Send(Chunk(""));
}

}  // namespace review
