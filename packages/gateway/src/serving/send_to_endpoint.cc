#include "send_to_endpoint.h"

#include <utility>

namespace gypsumtrack::gateway {
namespace {

policy::AttemptResult AttemptResultOf(const EndpointResult& result,
                                      const AnswerFacts& answer) {
  switch (result.end) {
    case CallEnd::kWhole:
      return result.head.status >= 500 ? policy::AttemptResult::kBadResponse
                                       : policy::AttemptResult::kSuccess;
    case CallEnd::kRefused:
      return answer.wrong_endpoint ? policy::AttemptResult::kWrongEndpoint
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
  // On streams the head comes long before the end: its count is news now.
  call.on_head = [&context, id = endpoint.id](const ResponseHead& head) {
    const auto answer = context.wire.read_answer(head);
    if (!answer.report) return;
    context.endpoints.OnReport(id, *answer.report, context.clock.now());
  };
  auto result = co_await context.client.Call(std::move(call));
  const auto now = context.clock.now();
  const bool answered =
      result.end == CallEnd::kWhole || result.end == CallEnd::kRefused;
  AnswerFacts answer;
  if (answered) answer = context.wire.read_answer(result.head);
  context.endpoints.OnAttemptEnded(endpoint.id, kind,
                                   AttemptResultOf(result, answer), now);
  co_return result;
}

}  // namespace gypsumtrack::gateway
