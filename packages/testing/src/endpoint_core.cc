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
  this->recorded.models = this->options.models;
}

std::uint64_t EndpointCore::OpenConnection() {
  const std::lock_guard lock(this->mutex);
  return ++this->recorded.connections;
}

void EndpointCore::SilenceOpenConnections() {
  const std::lock_guard lock(this->mutex);
  this->last_silenced_connection = this->recorded.connections;
}

bool EndpointCore::IsSilenced(std::uint64_t connection) const {
  const std::lock_guard lock(this->mutex);
  return connection <= this->last_silenced_connection;
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

void EndpointCore::RecordRequest(const std::string& bytes) {
  const std::lock_guard lock(this->mutex);
  this->recorded.requests++;
  if (this->recorded.transcript.size() < kMaxTranscriptBytes) {
    this->recorded.transcript += bytes;
  }
}

void EndpointCore::CountExecution(const std::string& request_id) {
  const std::lock_guard lock(this->mutex);
  this->recorded.executions[request_id]++;
}

void EndpointCore::Count(std::uint64_t EndpointFacts::*counter,
                         std::uint64_t increment) {
  const std::lock_guard lock(this->mutex);
  this->recorded.*counter += increment;
}

std::size_t EndpointCore::CachePrompt(const std::string& prompt) {
  const std::lock_guard lock(this->mutex);
  const auto cached = this->cache.Use(prompt);
  this->recorded.cached_bytes += cached;
  return prompt.size() - cached;
}

std::uint32_t EndpointCore::ChangeLoad(int running, int waiting) {
  const std::lock_guard lock(this->mutex);
  this->current_load.at = this->clock.now();
  this->current_load.running += static_cast<std::uint32_t>(running);
  this->current_load.waiting += static_cast<std::uint32_t>(waiting);
  this->load_history.push_back(this->current_load);
  return this->current_load.running;
}

LoadSample EndpointCore::DelayedLoad() {
  const std::lock_guard lock(this->mutex);
  const auto as_of = this->clock.now() - this->options.report_lag;
  while (this->load_history.size() > 1 && this->load_history[1].at <= as_of) {
    this->load_history.pop_front();
  }
  LoadSample report;
  if (!this->load_history.empty() && this->load_history.front().at <= as_of) {
    report = this->load_history.front();
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
  if (action == "load") this->recorded.models.insert(model);
  if (action == "unload") this->recorded.models.erase(model);
  return 0;
}

EndpointFacts EndpointCore::facts() const {
  const std::lock_guard lock(this->mutex);
  return this->recorded;
}

bool EndpointCore::HasFreeSlot() const {
  const std::lock_guard lock(this->mutex);
  return this->current_load.running < this->options.slots;
}

}  // namespace gypsumtrack::testing::detail
