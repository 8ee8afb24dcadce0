#include "job_requests.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/gateway/http_status.h"
#include "gypsumtrack/gateway/serving/relay_service.h"
#include "job_exchange.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

constexpr base::Duration kReadTimeout = std::chrono::milliseconds(1500);
/// Longest usual time of the store to read a job.
constexpr base::Duration kUsualReadTime = std::chrono::milliseconds(500);
constexpr base::Duration kEndTimeout = std::chrono::milliseconds(2500);
/// Period of polling the store for a caller that waits for results at a daemon
/// that doesn't run the job.
constexpr base::Duration kResultPollPeriod = std::chrono::milliseconds(700);

/// Returns null if there is no such item.
const SubmittedItem* FindItem(const std::vector<SubmittedItem>& items,
                              const std::string& id) {
  const auto found =
      std::find_if(items.begin(), items.end(),
                   [&](const auto& item) { return item.id == id; });
  return found == items.end() ? nullptr : &*found;
}

}  // namespace

JobRequests::JobRequests(ServingContext& context, const JobStore& store,
                         JobRunner& runner, JobOwnership& ownership,
                         JobRowCache& rows)
    : context(context),
      store(store),
      runner(runner),
      ownership(ownership),
      rows(rows),
      waiters(context.executor) {
  this->runner.on_results_listed = [this](const JobKey& key) {
    this->waiters.Notify(key);
  };
}

asio::awaitable<void> JobRequests::Handle(Exchange& exchange,
                                          RequestMetadata metadata,
                                          JobRequest request) {
  const auto access = DecideKeyAccess(this->context, metadata);
  const bool allowed = access.rules && (access.organisation != nullptr ||
                                        access.rules->organisations.empty());
  if (!allowed) {
    co_await Refuse(this->context, exchange, metadata, access.refusal);
    co_return;
  }
  if (!layout::IsValidJobId(request.job)) {
    Refusal refusal{status::kNotFound, "no_such_job", {}};
    co_await Refuse(this->context, exchange, metadata, std::move(refusal));
    co_return;
  }
  const auto now = this->context.clock.now();
  if (this->context.planned_stop.ComesTooLate(now, kUsualReadTime)) {
    Refusal refusal{status::kUnavailable, "stopping", kRetryAfterFailure};
    co_await Refuse(this->context, exchange, metadata, std::move(refusal));
    co_return;
  }
  const auto key = MakeJobKey(access, request.job);
  switch (request.kind) {
    case JobRequestKind::kResults:
      co_await this->HandleResults(exchange, metadata, key, request);
      break;
    case JobRequestKind::kItemBody:
      co_await this->HandleItemBody(exchange, metadata, key, request);
      break;
    case JobRequestKind::kEnd:
      co_await this->HandleEnd(exchange, metadata, key);
      break;
    case JobRequestKind::kNone:
      break;
  }
}

void JobRequests::StopWaiting() { this->stopped_waiting = true; }

asio::awaitable<void> JobRequests::HandleResults(
    Exchange& exchange, const RequestMetadata& metadata, JobKey key,
    const JobRequest& request) {
  const auto wait_until = this->context.clock.now() + request.max_wait;
  const auto row = co_await this->FindRow(key);
  if (!row.ok()) {
    co_await RefuseAfterError(this->context, exchange, metadata, row.error());
    co_return;
  }
  ResultPage page;
  page.total = row->items;
  page.next = request.from;
  while (request.from < page.total) {
    auto results =
        co_await ReadResults(this->store, key, request.from,
                             this->context.clock.now() + kReadTimeout);
    if (!results.ok()) {
      co_await RefuseAfterError(this->context, exchange, metadata,
                                results.error());
      co_return;
    }
    page.next = request.from + results->size();
    page.results = std::move(*results);
    const auto remaining_time = wait_until - this->context.clock.now();
    const bool must_wait = page.results.empty() &&
                           remaining_time > base::Duration::zero() &&
                           !this->stopped_waiting;
    if (!must_wait) break;
    co_await this->WaitForResults(key, remaining_time);
  }
  co_await SendJson(this->context, exchange, metadata, status::kOk,
                    this->context.wire.write_results(page));
}

asio::awaitable<void> JobRequests::HandleItemBody(
    Exchange& exchange, const RequestMetadata& metadata, JobKey key,
    const JobRequest& request) {
  const auto row = co_await this->FindRow(key);
  if (!row.ok()) {
    co_await RefuseAfterError(this->context, exchange, metadata, row.error());
    co_return;
  }
  const auto submission = co_await ReadSubmission(
      this->store, key, *row, this->context.clock.now() + kReadTimeout);
  if (!submission.ok()) {
    co_await RefuseAfterError(this->context, exchange, metadata,
                              submission.error());
    co_return;
  }
  const auto items = this->context.wire.read_submission(*submission);
  const auto* item = items.ok() ? FindItem(*items, request.item) : nullptr;
  if (item == nullptr) {
    Refusal refusal{status::kNotFound, "no_such_item", {}};
    co_await Refuse(this->context, exchange, metadata, std::move(refusal));
    co_return;
  }
  ResponseHead head;
  head.headers.push_back({"Content-Type", "application/octet-stream"});
  std::string body = item->body;
  std::ignore = co_await exchange.Send(std::move(head), std::move(body));
}

asio::awaitable<void> JobRequests::HandleEnd(Exchange& exchange,
                                             const RequestMetadata& metadata,
                                             JobKey key) {
  const auto ended = co_await EndJob(this->store, key,
                                     this->context.clock.now() + kEndTimeout);
  if (!ended.ok()) {
    co_await RefuseAfterError(this->context, exchange, metadata, ended.error());
    co_return;
  }
  base::LogEvent("job_ended", {{"request", metadata.request_id},
                               {"job", key.job.text},
                               {"organisation", key.organisation.text},
                               {"version", *ended}});
  this->ownership.OnJobEnded(key, *ended);
  co_await SendJson(this->context, exchange, metadata, status::kOk, "{}");
}

asio::awaitable<base::Outcome<layout::JobRow>> JobRequests::FindRow(
    JobKey key) {
  if (const auto* cached = this->rows.Find(key)) co_return *cached;
  const auto found = co_await FindJob(this->store, key,
                                      this->context.clock.now() + kReadTimeout);
  if (!found.ok()) co_return found.error();
  this->rows.Insert(key, found->row);
  co_return found->row;
}

asio::awaitable<void> JobRequests::WaitForResults(
    const JobKey& key, base::Duration remaining_time) {
  const bool runs_here = this->runner.Find(key) != nullptr;
  return this->waiters.Wait(
      key,
      runs_here ? remaining_time : std::min(remaining_time, kResultPollPeriod));
}

}  // namespace gypsumtrack::gateway
