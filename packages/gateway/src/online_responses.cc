#include "online_responses.h"

#include <boost/beast/core/string.hpp>
#include <tuple>
#include <utility>

#include "caller_headers.h"
#include "gypsumtrack/gateway/error_reply.h"

namespace gypsumtrack::gateway {

namespace asio = boost::asio;

ResponseHead MakeResponseHead(std::string content_type) {
  ResponseHead head;
  head.headers.push_back({"Content-Type", std::move(content_type)});
  head.headers.push_back(
      {kRunStateHeader,
       std::string(policy::kRunStateNames.Name(policy::RunState::kRan))});
  return head;
}

ResponseHead MakeStreamHead() {
  auto head = MakeResponseHead("text/event-stream");
  head.headers.push_back({"Cache-Control", "no-cache"});
  return head;
}

std::string FormatEvent(std::string_view data) {
  return "data: " + std::string(data) + "\n\n";
}

StoredResponse ToStoredResponse(const EndpointResult& result) {
  StoredResponse response;
  response.status = result.head.status;
  response.body = result.body;
  for (const auto& header : result.head.headers) {
    if (boost::beast::iequals(header.name, "Content-Type")) {
      response.content_type = header.value;
    }
  }
  return response;
}

asio::awaitable<void> SendStoredOutcome(Exchange& exchange, Intent intent) {
  ErrorReply reply;
  switch (intent.state) {
    case IntentState::kNew:
    case IntentState::kCompleted: {
      ResponseHead head = MakeResponseHead(intent.response.content_type);
      head.status = intent.response.status;
      std::ignore = co_await exchange.Send(std::move(head),
                                           std::move(intent.response.body));
      co_return;
    }
    case IntentState::kOutcomeUnknown:
      reply = {409, "outcome_unknown",
               "A request with this idempotency key may have run.",
               policy::RunState::kUnknown, 1};
      break;
    case IntentState::kKeyReused:
      reply = {422, "idempotency_key_reused",
               "The idempotency key belongs to another request."};
      break;
    case IntentState::kStoreUnavailable:
      reply = {503, "store_unavailable",
               "The outcome can't be kept now, so the request isn't run.",
               policy::RunState::kNotRun, 1};
      break;
  }
  co_await SendError(exchange, std::move(reply));
}

asio::awaitable<void> SendEndpointResponse(Exchange& exchange,
                                           DispatchResult result) {
  auto headers = CallerResponseHeaders(result.last.head.headers);
  headers.push_back(
      {kRunStateHeader, std::string(policy::kRunStateNames.Name(result.run))});
  ResponseHead head{result.last.head.status, std::move(headers)};
  std::ignore =
      co_await exchange.Send(std::move(head), std::move(result.last.body));
}

}  // namespace gypsumtrack::gateway
