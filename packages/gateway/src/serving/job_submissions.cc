#include "job_submissions.h"

#include <algorithm>
#include <utility>

#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/gateway/http_status.h"
#include "gypsumtrack/policy/client_memory.h"
#include "job_exchange.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

/// Maximum time to accept a submission. After it, a retry at another daemon
/// helps the caller more than a late response.
constexpr base::Duration kAcceptTimeout = std::chrono::milliseconds(3500);
/// Longest usual time of the store to accept a submission.
constexpr base::Duration kUsualAcceptTime = std::chrono::milliseconds(1000);
constexpr base::Duration kRetryAfterOverLimit = std::chrono::milliseconds(1000);
/// If the cached rules are older than this, a failed call is taken as a sign
/// that the store rejects this daemon, and the submission is refused so that
/// the caller retries at another daemon.
constexpr base::Duration kStoreUnreachableAge = std::chrono::milliseconds(1700);
constexpr std::size_t kMaxItemsPerJob = 200;

AcquiredJob MakeAcquiredJob(const JobKey& key, const JobAcceptance& acceptance,
                            std::vector<SubmittedItem> items,
                            const policy::RouteRule& route) {
  AcquiredJob acquired;
  acquired.key = key;
  acquired.found = {acceptance.row, acceptance.row.accepted_at};
  acquired.items = std::move(items);
  acquired.owner_version = acceptance.owner_version;
  acquired.route = &route;
  return acquired;
}

/// Size of the item's own part of the head that is sent to an endpoint.
std::uint64_t HeadBytes(const SubmittedItem& item) {
  // The colon and space after the name, and the end of the line.
  constexpr std::uint64_t kSeparatorBytes = 4;
  auto bytes = static_cast<std::uint64_t>(item.target.size());
  for (const auto& header : item.headers)
    bytes += header.name.size() + header.value.size() + kSeparatorBytes;
  return bytes;
}

}  // namespace

JobSubmissions::JobSubmissions(ServingContext& context, const JobStore& store,
                               JobOwnership& ownership)
    : context(context), store(store), ownership(ownership) {}

asio::awaitable<void> JobSubmissions::Handle(Exchange& exchange,
                                             RequestMetadata metadata,
                                             AccessDecision access) {
  const auto started_at = this->context.clock.now();
  this->context.metrics.requests.Add();
  auto body = co_await exchange.ReadBody(access.rules->max_body_bytes);
  if (!body.ok()) {
    co_await RefuseUnreadBody(this->context, exchange, metadata.request_id,
                              body.error());
    co_return;
  }
  // The items are a copy of what was parsed.
  const auto needed = policy::EstimateParsedBytes(*body) + body->size();
  if (!exchange.TryHold(needed)) {
    co_await SendNoMemory(this->context, exchange, metadata.request_id);
    co_return;
  }
  auto items = this->context.wire.read_submission(*body);
  const bool readable = items.ok() && !items->empty() &&
                        items->size() <= kMaxItemsPerJob &&
                        layout::IsValidJobId(base::JobId(metadata.request_id));
  if (!readable) {
    Refusal refusal{status::kBadRequest, "not_a_job", {}};
    co_await Refuse(this->context, exchange, metadata, std::move(refusal));
    co_return;
  }
  // The head of an item has the same limit as that of a caller's request.
  const auto max_head_bytes = access.rules->max_header_bytes;
  const bool is_head_too_large = std::any_of(
      items->begin(), items->end(),
      [&](const auto& item) { return HeadBytes(item) > max_head_bytes; });
  if (is_head_too_large) {
    Refusal refusal{status::kHeadTooLarge, "item_head_too_large", {}};
    co_await Refuse(this->context, exchange, metadata, std::move(refusal));
    co_return;
  }
  const auto& stop = this->context.planned_stop;
  const auto now = this->context.clock.now();
  if (stop.ComesTooLate(now, kUsualAcceptTime)) {
    Refusal refusal{status::kUnavailable, "stopping", kRetryAfterFailure};
    co_await Refuse(this->context, exchange, metadata, std::move(refusal));
    co_return;
  }
  const auto accept_until =
      std::min(started_at + kAcceptTimeout, stop.answers_until());
  const auto key = MakeJobKey(access, base::JobId(metadata.request_id));
  const auto allowed_regions =
      policy::AllowedRegions(*access.route, access.organisation);
  const auto acceptance = co_await AcceptJob(
      this->store, key, access.route->name, *items, *body,
      access.route->max_waiting_tokens, accept_until,
      [this] { return this->context.StoreViewAge() > kStoreUnreachableAge; },
      allowed_regions);
  if (acceptance.owner_version != 0) {
    auto acquired =
        MakeAcquiredJob(key, acceptance, std::move(*items), *access.route);
    acquired.allowed_regions = allowed_regions;
    this->ownership.Own(std::move(acquired));
  }
  this->LogAcceptance(key, acceptance, started_at);
  co_await this->Respond(exchange, metadata, acceptance);
}

void JobSubmissions::LogAcceptance(const JobKey& key,
                                   const JobAcceptance& acceptance,
                                   base::Instant started_at) {
  const auto duration = this->context.clock.now() - started_at;
  this->context.metrics.job_acceptance.Record(
      std::chrono::duration<double>(duration).count());
  const bool accepted = acceptance.outcome == AcceptOutcome::kAccepted;
  (accepted ? this->context.metrics.jobs_accepted
            : this->context.metrics.jobs_refused)
      .Add();
  base::LogEvent(accepted ? "job_accepted" : "job_not_accepted",
                 {{"request", key.job.text},
                  {"organisation", key.organisation.text},
                  {"items", acceptance.row.items},
                  {"end", static_cast<int>(acceptance.outcome)},
                  {"reason", acceptance.reason},
                  {"owner_version", acceptance.owner_version},
                  {"took_ms", duration.count() / 1000}});
}

asio::awaitable<void> JobSubmissions::Respond(Exchange& exchange,
                                              const RequestMetadata& metadata,
                                              const JobAcceptance& acceptance) {
  Refusal refusal;
  switch (acceptance.outcome) {
    case AcceptOutcome::kAccepted:
      return SendJson(this->context, exchange, metadata, status::kAccepted,
                      "{}");
    case AcceptOutcome::kOverLimit:
      refusal = {status::kTooManyRequests, "too_much_waiting",
                 kRetryAfterOverLimit};
      break;
    case AcceptOutcome::kNotAccepted:
      refusal = {status::kUnavailable, "store_unavailable", kRetryAfterFailure};
      break;
    case AcceptOutcome::kUnknown:
      refusal = {status::kBadGateway, "in_doubt", kRetryAfterFailure};
      break;
  }
  return Refuse(this->context, exchange, metadata, std::move(refusal));
}

}  // namespace gypsumtrack::gateway
