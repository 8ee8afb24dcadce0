#include "job_exchange.h"

#include <tuple>
#include <utility>

#include "gypsumtrack/gateway/http_status.h"

namespace gypsumtrack::gateway {

namespace asio = boost::asio;

JobKey MakeJobKey(const AccessDecision& access, base::JobId job) {
  const bool has_key = access.organisation != nullptr;
  return {has_key ? access.organisation->name : base::Organisation(),
          std::move(job)};
}

asio::awaitable<void> SendJson(const ServingContext& context,
                               Exchange& exchange,
                               const RequestMetadata& metadata, unsigned status,
                               std::string body) {
  ResponseHead head;
  head.status = status;
  head.headers.push_back({"Content-Type", "application/json"});
  if (!metadata.request_id.empty()) {
    head.headers.push_back(
        {context.wire.request_id_header, metadata.request_id});
  }
  std::ignore = co_await exchange.Send(std::move(head), std::move(body));
}

asio::awaitable<void> Refuse(ServingContext& context, Exchange& exchange,
                             const RequestMetadata& metadata, Refusal refusal) {
  return SendRefusal(context, exchange, metadata.request_id,
                     std::move(refusal));
}

asio::awaitable<void> RefuseAfterError(ServingContext& context,
                                       Exchange& exchange,
                                       const RequestMetadata& metadata,
                                       const base::Error& error) {
  const bool not_found = error.Is(base::Errc::kNotFound);
  Refusal refusal{status::kUnavailable, "store_unavailable",
                  kRetryAfterFailure};
  if (not_found) refusal = {status::kNotFound, "no_such_job", {}};
  return Refuse(context, exchange, metadata, std::move(refusal));
}

}  // namespace gypsumtrack::gateway
