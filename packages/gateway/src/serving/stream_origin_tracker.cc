#include "stream_origin_tracker.h"

#include <algorithm>
#include <utility>

#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/gateway/serving/row_store_await.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

/// Time for which the first event of a stream waits for the record of its
/// version before the stream is begun at the default version instead.
constexpr base::Duration kRecordWait = std::chrono::milliseconds(400);
constexpr base::Duration kRecordPollInterval = std::chrono::milliseconds(3);

}  // namespace

StreamOriginTracker::StreamOriginTracker(ServingContext& serving,
                                         const policy::RouteRule& route_rule,
                                         const RequestMetadata& metadata)
    : context(serving), route(route_rule), request(metadata) {}

asio::awaitable<bool> StreamOriginTracker::FindOrigin() {
  const auto& find = this->context.stream_versions.find_origin;
  if (!this->IsResumable() || !this->request.after_event || !find)
    co_return true;
  const auto& begun_by = this->request.continued_request;
  auto found = co_await find(begun_by, this->FirstService(begun_by));
  base::LogEvent(
      "continued",
      {{"request", this->request.request_id},
       {"begun_by", begun_by},
       {"after", *this->request.after_event},
       {"version", found.ok() ? found->version : std::string()},
       {"reason", found.ok() ? std::string() : found.error().message}});
  if (found.ok()) this->origin = std::move(*found);
  co_return found.ok();
}

policy::EndpointQuery StreamOriginTracker::MakeQuery(
    bool is_first_attempt) const {
  if (this->origin) return this->MakeContinuationQuery();
  if (!this->IsResumable()) return this->context.MakeQuery(this->route);
  auto query = is_first_attempt ? this->context.MakeQuery(this->FirstService(
                                      this->request.request_id))
                                : this->context.MakeQuery(this->route);
  query.version = this->VersionWithoutRecords(query.service);
  return query;
}

void StreamOriginTracker::OnAttemptStarted(
    const policy::EndpointEntry& endpoint, std::uint32_t attempt,
    base::Instant deadline) {
  this->attempt_origin = {endpoint.service, endpoint.version};
  const auto& hooks = this->context.stream_versions;
  const bool may_begin = this->IsResumable() && !this->origin;
  if (!may_begin || !hooks.record) return;
  const bool is_implied =
      endpoint.service == this->FirstService(this->request.request_id) &&
      hooks.default_version(endpoint.service) == endpoint.version;
  this->AbandonRecord();
  if (is_implied && !this->record) return;
  this->record = hooks.record(this->request.request_id, attempt,
                              this->attempt_origin, deadline);
}

asio::awaitable<bool> StreamOriginTracker::WaitForRecord(
    base::Instant deadline) const {
  const auto& clock = this->context.clock;
  const auto wait_deadline = std::min(clock.now() + kRecordWait, deadline);
  while (this->record && !this->record->is_written) {
    if (clock.now() >= wait_deadline) {
      const bool has_alternative = this->HasAlternative();
      base::LogEvent("stream_record_late",
                     {{"request", this->request.request_id},
                      {"version", this->attempt_origin.version},
                      {"begun", has_alternative ? 0 : 1}});
      co_return !has_alternative;
    }
    co_await Pause(kRecordPollInterval);
  }
  co_return true;
}

void StreamOriginTracker::OnFirstEvent() {
  if (!this->origin) this->origin = this->attempt_origin;
}

bool StreamOriginTracker::IsResumable() const {
  return this->route.kind == policy::RequestKind::kStream &&
         this->route.resumable;
}

const base::Service& StreamOriginTracker::FirstService(
    const std::string& request_id) const {
  return policy::PickService(this->route, base::Hash64(request_id));
}

policy::EndpointQuery StreamOriginTracker::MakeContinuationQuery() const {
  // The rules in force may have moved the route to another service.
  const bool is_routed = policy::LeadsTo(this->route, this->origin->service);
  auto query = is_routed ? this->context.MakeQuery(this->origin->service)
                         : this->context.MakeQuery(this->route);
  query.version = this->origin->version;
  return query;
}

std::optional<std::string> StreamOriginTracker::VersionWithoutRecords(
    const base::Service& service) const {
  const auto& hooks = this->context.stream_versions;
  if (!hooks.can_record || hooks.can_record()) return std::nullopt;
  auto version = hooks.default_version(service);
  if (!version || !this->HasEndpoints(service, *version)) return std::nullopt;
  return version;
}

bool StreamOriginTracker::HasEndpoints(const base::Service& service,
                                       const std::string& version) const {
  const auto counts = this->context.endpoints.CountByVersion(service);
  const auto found = counts.find(version);
  return found != counts.end() && found->second.accepting > 0;
}

bool StreamOriginTracker::HasAlternative() const {
  const auto& service = this->attempt_origin.service;
  const auto version = this->context.stream_versions.default_version(service);
  return version && *version != this->attempt_origin.version &&
         this->HasEndpoints(service, *version);
}

void StreamOriginTracker::AbandonRecord() {
  if (!this->record) return;
  this->record->is_abandoned = true;
  if (!this->record->may_be_written) this->record.reset();
}

}  // namespace gypsumtrack::gateway
