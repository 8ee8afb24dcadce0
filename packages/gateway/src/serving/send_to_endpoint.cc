#include "send_to_endpoint.h"

#include <utility>

namespace gypsumtrack::gateway {
namespace {

/// Returns what an attempt showed about its endpoint.
policy::AttemptResult ToAttemptResult(const EndpointResult& result,
                                      const AnswerFacts& response) {
  switch (result.end) {
    case CallEnd::kWhole:
      return result.head.status >= 500 ? policy::AttemptResult::kBadResponse
                                       : policy::AttemptResult::kSuccess;
    case CallEnd::kRefused:
      return response.wrong_endpoint ? policy::AttemptResult::kWrongEndpoint
                                     : policy::AttemptResult::kBusy;
    case CallEnd::kConnect:
    case CallEnd::kStalled:
      return policy::AttemptResult::kUnreachable;
    case CallEnd::kClosed:
    case CallEnd::kMismatched:
    case CallEnd::kInvalid:
      return policy::AttemptResult::kBadResponse;
    case CallEnd::kDeadline:
    case CallEnd::kCancelled:
      break;
  }
  return policy::AttemptResult::kUnknown;
}

}  // namespace

boost::asio::awaitable<EndpointResult> SendToEndpoint(
    ServingContext& context, policy::EndpointEntry endpoint,
    policy::WorkKind kind, EndpointCall call) {
  context.metrics.attempts.Add();
  context.endpoints.OnAttemptStarted(endpoint.id, kind);
  // The head of a stream arrives long before its end, so the load that it
  // reports is recorded at once.
  call.on_head = [&context, id = endpoint.id](const ResponseHead& head) {
    const auto response = context.wire.read_answer(head);
    if (!response.report) return;
    context.endpoints.OnReport(id, *response.report, context.clock.now());
  };
  auto result = co_await context.client.Call(std::move(call));
  const auto now = context.clock.now();
  const bool responded =
      result.end == CallEnd::kWhole || result.end == CallEnd::kRefused;
  AnswerFacts response;
  if (responded) response = context.wire.read_answer(result.head);
  context.endpoints.OnAttemptEnded(endpoint.id, kind,
                                   ToAttemptResult(result, response), now);
  co_return result;
}

}  // namespace gypsumtrack::gateway
