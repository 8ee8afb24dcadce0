#include "gypsumtrack/testing/step_engine.h"

#include <algorithm>
#include <utility>

namespace gypsumtrack::testing {

StepEngine::StepEngine(StepEngineOptions engine_options, Now clock,
                       Schedule scheduler)
    : options(engine_options),
      now(std::move(clock)),
      schedule(std::move(scheduler)) {}

void StepEngine::Submit(EngineRequest request) {
  this->queue.push_back(std::move(request));
  if (!this->stepping) this->BeginStep();
}

void StepEngine::Stop(std::uint64_t id) {
  const auto queued = std::find_if(
      this->queue.begin(), this->queue.end(),
      [id](const EngineRequest& request) { return request.id == id; });
  if (queued != this->queue.end()) {
    const auto request = std::move(*queued);
    this->queue.erase(queued);
    request.end(this->now(), 0);
    return;
  }
  for (auto& running : this->active) {
    if (running.request.id == id) running.stopped = true;
  }
}

std::uint32_t StepEngine::running() const {
  return static_cast<std::uint32_t>(this->active.size());
}

std::uint32_t StepEngine::waiting() const {
  return static_cast<std::uint32_t>(this->queue.size());
}

void StepEngine::BeginStep() {
  while (!this->queue.empty() && this->active.size() < this->options.slots) {
    Running next;
    next.request = std::move(this->queue.front());
    this->active.push_back(std::move(next));
    this->queue.pop_front();
  }
  this->stepping = !this->active.empty();
  if (!this->stepping) return;
  std::uint32_t count = 0;
  base::Duration prefill_time{0};
  for (auto& running : this->active) {
    if (running.prefilled || count == this->options.prefills_per_step) continue;
    running.prefilling = true;
    prefill_time += running.request.prefill;
    ++count;
  }
  const auto requests = static_cast<std::int64_t>(this->active.size());
  this->schedule(this->options.step +
                     this->options.step_per_request * requests + prefill_time,
                 [this] { this->EndStep(); });
}

void StepEngine::EndStep() {
  std::vector<Running> finished;
  for (auto& running : this->active) {
    if (running.prefilling) {
      running.prefilling = false;
      running.prefilled = true;
      if (running.request.first_token) running.request.first_token(this->now());
    }
    if (running.prefilled) ++running.streamed;
  }
  std::erase_if(this->active, [&finished](Running& running) {
    if (!running.stopped && running.streamed < running.request.tokens) {
      return false;
    }
    finished.push_back(std::move(running));
    return true;
  });
  // Handlers may submit requests, so `stepping` stays set until they return.
  for (const auto& running : finished) {
    running.request.end(this->now(), running.streamed);
  }
  this->BeginStep();
}

}  // namespace gypsumtrack::testing
