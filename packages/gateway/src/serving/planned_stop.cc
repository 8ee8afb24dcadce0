#include "gypsumtrack/gateway/serving/planned_stop.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace gypsumtrack::gateway {

void PlannedStop::Begin(base::Instant answers_until, base::Duration time) {
  assert(this->until == base::kNever);
  this->until = answers_until;
  this->usual_time = time;
}

PlannedStop::Registration PlannedStop::Register(std::function<void()> end) {
  const auto request =
      this->requests->insert(this->requests->end(), std::move(end));
  return {nullptr, [registered = this->requests, request](void*) {
            registered->erase(request);
          }};
}

void PlannedStop::EndRequests() {
  for (auto& request : *this->requests) {
    const auto end = std::exchange(request, nullptr);
    if (end) end();
  }
}

bool PlannedStop::ComesTooLate(base::Instant now,
                               base::Duration max_time) const {
  if (this->until == base::kNever) return false;
  return now + std::min(this->usual_time, max_time) > this->until;
}

}  // namespace gypsumtrack::gateway
