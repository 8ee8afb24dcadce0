#include "gypsumtrack/testing/step_engine.h"

#include <algorithm>
#include <utility>

namespace gypsumtrack::testing {

StepEngine::StepEngine(StepEngineOptions engine_options, Now clock, Schedule at)
    : options(engine_options), now(std::move(clock)), schedule(std::move(at)) {}

void StepEngine::Submit(EngineRequest request) {
  this->queue.push_back(std::move(request));
  if (!this->stepping) this->BeginStep();
}

void StepEngine::Stop(std::uint64_t id) {
  const auto waits = std::find_if(
      this->queue.begin(), this->queue.end(),
      [id](const EngineRequest& request) { return request.id == id; });
  if (waits != this->queue.end()) {
    const auto request = std::move(*waits);
    this->queue.erase(waits);
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
  std::uint32_t reads = 0;
  base::Duration reading{0};
  for (auto& running : this->active) {
    if (running.prefilled || reads == this->options.prefills_per_step) continue;
    running.reading = true;
    reading += running.request.prefill;
    ++reads;
  }
  const auto requests = static_cast<std::int64_t>(this->active.size());
  this->schedule(
      this->options.step + this->options.step_per_request * requests + reading,
      [this] { this->EndStep(); });
}

void StepEngine::EndStep() {
  std::vector<Running> ended;
  for (auto& running : this->active) {
    if (running.reading) {
      running.reading = false;
      running.prefilled = true;
      if (running.request.first_token) running.request.first_token(this->now());
    }
    if (running.prefilled) ++running.streamed;
  }
  std::erase_if(this->active, [&ended](Running& running) {
    if (!running.stopped && running.streamed < running.request.tokens) {
      return false;
    }
    ended.push_back(std::move(running));
    return true;
  });
  // Callers may submit from these handlers: the step isn't over before them.
  for (const auto& running : ended) {
    running.request.end(this->now(), running.streamed);
  }
  this->BeginStep();
}

}  // namespace gypsumtrack::testing
