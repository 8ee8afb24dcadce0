#include <algorithm>
#include <utility>

#include "endpoint_session.h"

namespace gypsumtrack::testing::detail {
namespace {

constexpr std::size_t kMaxTranscriptBytes = std::size_t{4} * 1024 * 1024;

std::string StringField(const boost::json::object& object, const char* name) {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->as_string())
             : std::string();
}

}  // namespace

EndpointCore::EndpointCore(EndpointServerOptions server_options)
    : options(std::move(server_options)),
      clock(base::SystemClock()),
      cache(this->options.prefix_cache_blocks) {
  this->seen.models = this->options.models;
}

std::uint64_t EndpointCore::OpenConnection() {
  const std::lock_guard lock(this->mutex);
  return ++this->seen.connections;
}

void EndpointCore::SilenceOpen() {
  const std::lock_guard lock(this->mutex);
  this->silenced_up_to = this->seen.connections;
}

bool EndpointCore::IsSilenced(std::uint64_t connection) const {
  const std::lock_guard lock(this->mutex);
  return connection <= this->silenced_up_to;
}

void EndpointCore::SetFault(FaultPlan next) {
  const std::lock_guard lock(this->mutex);
  this->plan = next;
}

FaultPlan EndpointCore::TakeFault() {
  const std::lock_guard lock(this->mutex);
  if (this->plan.count == 0) return {};
  this->plan.count--;
  return this->plan;
}

void EndpointCore::Record(const std::string& bytes) {
  const std::lock_guard lock(this->mutex);
  this->seen.requests++;
  if (this->seen.transcript.size() < kMaxTranscriptBytes) {
    this->seen.transcript += bytes;
  }
}

void EndpointCore::CountExecution(const std::string& request_id) {
  const std::lock_guard lock(this->mutex);
  this->seen.executions[request_id]++;
}

void EndpointCore::Count(std::uint64_t EndpointFacts::*counter,
                         std::uint64_t by) {
  const std::lock_guard lock(this->mutex);
  this->seen.*counter += by;
}

std::size_t EndpointCore::UsePrompt(const std::string& prompt) {
  const std::lock_guard lock(this->mutex);
  const auto cached = this->cache.Use(prompt);
  this->seen.cached_bytes += cached;
  return prompt.size() - cached;
}

std::uint32_t EndpointCore::ChangeLoad(int running, int waiting) {
  const std::lock_guard lock(this->mutex);
  this->current.at = this->clock.now();
  this->current.running += static_cast<std::uint32_t>(running);
  this->current.waiting += static_cast<std::uint32_t>(waiting);
  this->samples.push_back(this->current);
  return this->current.running;
}

LoadSample EndpointCore::LaggingLoad() {
  const std::lock_guard lock(this->mutex);
  const auto as_of = this->clock.now() - this->options.report_lag;
  while (this->samples.size() > 1 && this->samples[1].at <= as_of) {
    this->samples.pop_front();
  }
  LoadSample report;
  if (!this->samples.empty() && this->samples.front().at <= as_of) {
    report = this->samples.front();
  }
  report.at = as_of;
  return report;
}

std::uint64_t EndpointCore::ApplyOrder(const boost::json::object& order) {
  const std::lock_guard lock(this->mutex);
  const auto* number = order.if_contains("fencing");
  const std::uint64_t fencing = number != nullptr && number->is_number()
                                    ? number->to_number<std::uint64_t>()
                                    : 0;
  if (this->options.checks_fencing && fencing < this->highest_fencing) {
    return this->highest_fencing;
  }
  this->highest_fencing = std::max(this->highest_fencing, fencing);
  const auto model = StringField(order, "model");
  const auto action = StringField(order, "action");
  if (action == "load") this->seen.models.insert(model);
  if (action == "unload") this->seen.models.erase(model);
  return 0;
}

EndpointFacts EndpointCore::facts() const {
  const std::lock_guard lock(this->mutex);
  return this->seen;
}

bool EndpointCore::HasRoom() const {
  const std::lock_guard lock(this->mutex);
  return this->current.running < this->options.slots;
}

}  // namespace gypsumtrack::testing::detail
