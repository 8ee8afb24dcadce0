#include "gypsumtrack/gateway/error_reply.h"

#include <algorithm>
#include <boost/json.hpp>
#include <tuple>
#include <utility>

namespace gypsumtrack::gateway {

RenderedReply RenderError(const ErrorReply& reply) {
  RenderedReply rendered;
  rendered.head.status = reply.status;
  rendered.head.headers.push_back({"Content-Type", "application/json"});
  rendered.head.headers.push_back(
      {kRunStateHeader, std::string(policy::kRunStateNames.Name(reply.run))});
  if (reply.retry_after_seconds > 0) {
    rendered.head.headers.push_back(
        {"Retry-After", std::to_string(reply.retry_after_seconds)});
  }
  const boost::json::object error{{"code", reply.code},
                                  {"message", reply.message}};
  rendered.body = boost::json::serialize(boost::json::object{{"error", error}});
  rendered.body += '\n';
  return rendered;
}

boost::asio::awaitable<void> SendError(Exchange& exchange, ErrorReply reply) {
  auto rendered = RenderError(reply);
  std::ignore = co_await exchange.Send(std::move(rendered.head),
                                       std::move(rendered.body));
}

std::uint32_t RetryAfterSeconds(base::Instant now, base::Instant at) {
  if (at <= now) return 1;
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(at - now);
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(seconds.count(), 1, 3600));
}

}  // namespace gypsumtrack::gateway
