#include "endpoint_send.h"

#include <utility>

namespace gypsumtrack::gateway {
namespace {

policy::AttemptResult AttemptResultOf(const EndpointResult& result,
                                      const ResponseMetadata& answer) {
  switch (result.outcome) {
    case CallOutcome::kComplete:
      return result.head.status >= 500 ? policy::AttemptResult::kBadResponse
                                       : policy::AttemptResult::kSuccess;
    case CallOutcome::kRefused:
      return answer.wrong_endpoint ? policy::AttemptResult::kWrongEndpoint
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
  context.metrics.sends.Add();
  context.book.OnAttemptStarted(endpoint.id, kind);
  // On streams the head comes long before the end: its count is news now.
  call.on_head = [&context, id = endpoint.id](const ResponseHead& head) {
    const auto answer = context.wire.read_response(head);
    if (!answer.report) return;
    context.book.OnReport(id, *answer.report, context.clock.now());
  };
  auto result = co_await context.client.Call(std::move(call));
  const auto now = context.clock.now();
  const bool answered = result.outcome == CallOutcome::kComplete ||
                        result.outcome == CallOutcome::kRefused;
  ResponseMetadata answer;
  if (answered) answer = context.wire.read_response(result.head);
  context.book.OnAttemptEnded(endpoint.id, kind,
                              AttemptResultOf(result, answer), now);
  co_return result;
}

}  // namespace gypsumtrack::gateway
