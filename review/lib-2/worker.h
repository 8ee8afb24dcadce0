#ifndef REVIEW_LIB_2_WORKER_H_
#define REVIEW_LIB_2_WORKER_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "http.h"
#include "store.h"

namespace review {

/// A worker that answers each request with numbered events, as PROTOCOL.md
/// tells under "Workers". Thread-safe.
class Worker {
 public:
  struct Options {
    std::string id;
    std::string domain;
    std::size_t slots = 8;
    std::size_t max_queued = 8;
    /// Events of an answer, unless the request names fewer output tokens.
    std::uint64_t events = 170;
    milliseconds event_pause{3};
    /// Size of an event's data.
    std::size_t event_bytes = 8;
  };
  /// Answers in the worker's place if it returns true. `run` is the number of
  /// the run at this worker.
  using Fault = std::function<bool(const Request&, Socket&, std::uint64_t run,
                                   const Headers& answer_headers)>;

  /// Enters itself in the store, again and again.
  Worker(Options worker_options, Store& platform_store, Record& play_record);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  /// Sets a fault. Precondition: no request has come yet.
  void SetFault(Fault next) { this->fault = std::move(next); }
  /// Number of requests that it ran.
  std::uint64_t runs() const { return this->run_count; }
  /// How often it has run each request to its end.
  std::map<std::string, int> WholeRuns();
  /// Number of requests that it is running.
  std::size_t active_count() const { return this->active; }

 private:
  bool Serve(const Request& request, Socket& socket);
  /// Runs a request that has a slot. Returns whether the answer was sent.
  bool Run(const Request& request, Socket& socket);
  void Beat();

  const Options options;
  Store& store;
  Record& record;
  Fault fault;
  std::atomic<std::size_t> active = 0;
  std::atomic<std::size_t> queued = 0;
  std::atomic<std::uint64_t> run_count = 0;
  std::mutex mutex;
  std::map<std::string, int> whole_runs;
  std::unique_ptr<Server> server;
  std::atomic<bool> stopped = false;
  std::thread beats;
};

}  // namespace review

#endif  // REVIEW_LIB_2_WORKER_H_
