#include "send_to_endpoint.h"

#include <utility>

namespace gypsumtrack::gateway {
namespace {

/// Returns what an attempt showed about its endpoint.
policy::AttemptResult ToAttemptResult(const EndpointResult& result,
                                      const ResponseMetadata& response) {
  switch (result.outcome) {
    case CallOutcome::kComplete:
      return result.head.status >= 500 ? policy::AttemptResult::kBadResponse
                                       : policy::AttemptResult::kSuccess;
    case CallOutcome::kRefused:
      return response.wrong_endpoint ? policy::AttemptResult::kWrongEndpoint
                                     : policy::AttemptResult::kBusy;
    case CallOutcome::kConnect:
    case CallOutcome::kStalled:
      return policy::AttemptResult::kUnreachable;
    case CallOutcome::kClosed:
    case CallOutcome::kMismatched:
    case CallOutcome::kInvalid:
      return policy::AttemptResult::kBadResponse;
    case CallOutcome::kDeadline:
    case CallOutcome::kCancelled:
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
    const auto response = context.wire.read_response(head);
    if (!response.report) return;
    context.endpoints.OnReport(id, *response.report, context.clock.now());
  };
  auto result = co_await context.client.Call(std::move(call));
  const auto now = context.clock.now();
  const bool responded = result.outcome == CallOutcome::kComplete ||
                         result.outcome == CallOutcome::kRefused;
  ResponseMetadata response;
  if (responded) response = context.wire.read_response(result.head);
  context.endpoints.OnAttemptEnded(endpoint.id, kind,
                                   ToAttemptResult(result, response), now);
  co_return result;
}

}  // namespace gypsumtrack::gateway
