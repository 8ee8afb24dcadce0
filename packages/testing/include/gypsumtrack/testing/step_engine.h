#ifndef GYPSUMTRACK_TESTING_STEP_ENGINE_H_
#define GYPSUMTRACK_TESTING_STEP_ENGINE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <vector>

#include "gypsumtrack/base/time.h"

/// A simulated model engine with continuous batching and no priorities.
namespace gypsumtrack::testing {

/// Options of StepEngine.
struct StepEngineOptions {
  /// Requests that run concurrently.
  std::uint32_t slots = 32;
  /// Duration of a decoding step, and the time each running request adds.
  base::Duration step = std::chrono::microseconds(20'000);
  base::Duration step_per_request = std::chrono::microseconds(100);
  /// Maximum number of prompts processed in one step.
  std::uint32_t prefills_per_step = 4;
};

/// A request to the engine.
struct EngineRequest {
  std::uint64_t id = 0;
  /// Tokens to generate.
  std::uint32_t tokens = 0;
  /// Time to process the part of the prompt that is not in the prefix cache.
  base::Duration prefill = std::chrono::microseconds(8'000);
  /// Called at the first token; may be empty.
  std::function<void(base::Instant)> first_token;
  /// Called at the end with the number of streamed tokens, which is
  /// lower than requested if the request was stopped.
  std::function<void(base::Instant, std::uint32_t)> end;
};

/// A simulated engine driven by the caller's event queue. Not thread-safe.
class StepEngine {
 public:
  /// Runs a function after a delay.
  using Schedule = std::function<void(base::Duration, std::function<void()>)>;
  /// The current simulated time.
  using Now = std::function<base::Instant()>;

  /// Time and events come from `now` and `schedule`.
  StepEngine(StepEngineOptions options, Now now, Schedule schedule);

  // Commands.

  /// Queues a request, and begins a step if none is running.
  void Submit(EngineRequest request);
  /// Stops a queued request at once, a running one at the end of the step.
  void Stop(std::uint64_t id);
  /// Changes the number of requests that run concurrently.
  void SetSlots(std::uint32_t slots) { this->options.slots = slots; }

  // Queries.

  /// Number of running requests.
  std::uint32_t running() const;  // NOLINT
  /// Number of queued requests.
  std::uint32_t waiting() const;  // NOLINT

 private:
  /// A running request and its progress.
  struct Running {
    EngineRequest request;
    std::uint32_t streamed = 0;
    bool prefilled = false;
    bool prefilling = false;
    bool stopped = false;
  };

  /// Admits queued requests and schedules the end of the step.
  void BeginStep();
  /// Streams a token per request, ends finished ones and begins the next step.
  void EndStep();

  StepEngineOptions options;
  Now now;
  Schedule schedule;
  bool stepping = false;
  std::vector<Running> active;
  std::deque<EngineRequest> queue;
};

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_STEP_ENGINE_H_
