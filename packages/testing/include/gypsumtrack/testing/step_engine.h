#ifndef GYPSUMTRACK_TESTING_STEP_ENGINE_H_
#define GYPSUMTRACK_TESTING_STEP_ENGINE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <vector>

#include "gypsumtrack/base/time.h"

/// A model engine that batches continuously and knows no priorities.
namespace gypsumtrack::testing {

struct StepEngineOptions {
  std::uint32_t slots = 32;
  /// A decoding step, and what each running request adds to it.
  base::Duration step = std::chrono::microseconds(20'000);
  base::Duration step_per_request = std::chrono::microseconds(100);
  /// Prompts that one step reads.
  std::uint32_t prefills_per_step = 4;
};

/// A request at the engine.
struct EngineRequest {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
  /// Time to read what the prefix cache doesn't hold of the prompt.
  base::Duration prefill = std::chrono::microseconds(8'000);
  std::function<void(base::Instant)> first_token;
  /// With the number of tokens streamed; fewer than asked for when stopped.
  std::function<void(base::Instant, std::uint32_t)> end;
};

/// Driven by the caller's event queue. Not thread-safe.
class StepEngine {
 public:
  using Schedule = std::function<void(base::Duration, std::function<void()>)>;
  using Now = std::function<base::Instant()>;

  StepEngine(StepEngineOptions options, Now now, Schedule schedule);

  // Commands.

  void Submit(EngineRequest request);
  /// Takes effect at the end of the step.
  void Stop(std::uint64_t id);
  /// Changes how many requests run at once.
  void SetSlots(std::uint32_t slots) { this->options.slots = slots; }

  // Queries.

  std::uint32_t running() const;  // NOLINT
  std::uint32_t waiting() const;  // NOLINT

 private:
  struct Running {
    EngineRequest request;
    std::uint32_t streamed = 0;
    bool prefilled = false;
    bool reading = false;
    bool stopped = false;
  };

  void BeginStep();
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
