#ifndef REVIEW_LIB_2_ENTRY_H_
#define REVIEW_LIB_2_ENTRY_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"

namespace review {

/// The platform's entry: asks each machine once a second whether it is ready
/// and takes it out of rotation after two misses. Thread-safe.
class Entry {
 public:
  Entry(const Fleet& served_fleet, Record& play_record);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  /// The machine that takes the connection of a client. If fewer than half are
  /// in rotation, all of them are used.
  std::size_t MachineFor(std::size_t client) const;

 private:
  void Ask(std::size_t machine);

  const Fleet& fleet;
  Record& record;
  std::vector<std::atomic<int>> misses;
  std::atomic<bool> stopped = false;
  std::vector<std::thread> threads;
};

/// One request of an ordinary client, and what became of it.
struct Attempt {
  std::size_t machine = 0;
  long sent_ms = 0;
  /// How long its whole answer took; none if it didn't come in time.
  std::optional<long> took_ms;
  /// 0 if the connection failed or nothing came.
  unsigned status = 0;
};

/// Ordinary clients: each request is on a connection of its own, and its client
/// waits longer than its route's timeoutMs. Thread-safe.
class Callers {
 public:
  Callers(const Entry& platform_entry, const Fleet& served_fleet,
          Record& play_record);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  /// Sends no further requests and waits for the answers.
  void Stop();
  /// All requests so far, in the order of their ends.
  std::vector<Attempt> Attempts() const;

  /// The route's timeoutMs.
  static constexpr long kTimeoutMs = 5000;

 private:
  void Run();
  void Send(std::size_t number);

  const Entry& entry;
  const Fleet& fleet;
  Record& record;
  mutable std::mutex mutex;
  std::vector<Attempt> attempts;
  std::atomic<bool> stopped = false;
  std::atomic<int> open = 0;
  std::thread thread;
};

}  // namespace review

#endif  // REVIEW_LIB_2_ENTRY_H_
