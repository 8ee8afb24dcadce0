#include "entry.h"

#include <fmt/format.h>

#include <algorithm>

#include "names.h"

namespace review {
namespace {

constexpr milliseconds kAskPeriod(1000);
constexpr int kMissesToLeave = 2;
constexpr milliseconds kCallPeriod(50);
/// Beyond the route's timeoutMs and half a second.
constexpr milliseconds kPatience(7000);

}  // namespace

Entry::Entry(const Fleet& served_fleet, Record& play_record)
    : fleet(served_fleet), record(play_record), misses(served_fleet.size()) {
  for (std::size_t i = 0; i < this->fleet.size(); ++i)
    this->threads.emplace_back([this, i] { this->Ask(i); });
}

Entry::~Entry() {
  this->stopped = true;
  for (auto& thread : this->threads) thread.join();
}

void Entry::Ask(std::size_t machine) {
  const auto address = this->fleet.ReadyAddress(machine);
  while (!this->stopped) {
    const auto next = Clock::now() + kAskPeriod;
    const auto reply = Call(address, "GET", Name("path.ready"),
                            {{"Host", address}}, "", kAskPeriod);
    const auto before = this->misses[machine].load();
    const auto now = reply.status == 200 ? 0 : before + 1;
    this->misses[machine] = now;
    if (before < kMissesToLeave && now >= kMissesToLeave)
      this->record.Line(fmt::format("edge-{} leaves rotation", machine + 1));
    if (before >= kMissesToLeave && now == 0)
      this->record.Line(fmt::format("edge-{} is in rotation", machine + 1));
    while (!this->stopped && Clock::now() < next)
      std::this_thread::sleep_for(milliseconds(20));
  }
}

std::size_t Entry::MachineFor(std::size_t client) const {
  std::vector<std::size_t> used;
  for (std::size_t i = 0; i < this->misses.size(); ++i)
    if (this->misses[i] < kMissesToLeave) used.push_back(i);
  if (used.size() * 2 < this->misses.size())
    return client % this->misses.size();
  return used[client % used.size()];
}

Callers::Callers(const Entry& platform_entry, const Fleet& served_fleet,
                 Record& play_record)
    : entry(platform_entry), fleet(served_fleet), record(play_record) {
  this->thread = std::thread([this] { this->Run(); });
}

Callers::~Callers() { this->Stop(); }

void Callers::Stop() {
  this->stopped = true;
  if (this->thread.joinable()) this->thread.join();
  while (this->open > 0) std::this_thread::sleep_for(milliseconds(10));
}

std::vector<Attempt> Callers::Attempts() const {
  const std::lock_guard lock(this->mutex);
  return this->attempts;
}

void Callers::Run() {
  for (std::size_t number = 1; !this->stopped; ++number) {
    ++this->open;
    std::thread([this, number] {
      this->Send(number);
      --this->open;
    }).detach();
    std::this_thread::sleep_for(kCallPeriod);
  }
}

void Callers::Send(std::size_t number) {
  Attempt attempt;
  attempt.machine = this->entry.MachineFor(number);
  attempt.sent_ms = this->record.Millis();
  const auto id = fmt::format("{:016x}", 0xca11000000000000 + number);
  const auto reply = Call(this->fleet.FrontAddress(attempt.machine), "POST",
                          fmt::format("/price/{}", number),
                          {{"Host", "counter.example"},
                           {Name("header.request_id"), id},
                           {Name("header.key"), "key-of-the-counter"},
                           {Name("header.deadline"), "5000"},
                           {Name("header.model"), "m"},
                           {Name("header.tokens"), "250,20"}},
                          "what does it cost", kPatience);
  const auto took = this->record.Millis() - attempt.sent_ms;
  attempt.status = reply.status;
  const bool has_ended = reply.complete || took < kPatience.count();
  if (has_ended) attempt.took_ms = took;
  this->record.Line(
      fmt::format("caller {} at edge-{}: sent {}, status {}, {} after {} ms",
                  id, attempt.machine + 1, attempt.sent_ms, attempt.status,
                  reply.complete ? "complete"
                  : has_ended    ? "connection ended"
                                 : "no answer",
                  took));
  const std::lock_guard lock(this->mutex);
  this->attempts.push_back(attempt);
}

}  // namespace review
