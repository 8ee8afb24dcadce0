#include "endpoint_send.h"

#include <utility>

namespace gypsumtrack::gateway {
namespace {

policy::AttemptResult AttemptResultOf(const EndpointResult& result,
                                      const ResponseMetadata& answer) {
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
  const bool answered =
      result.end == CallEnd::kWhole || result.end == CallEnd::kRefused;
  ResponseMetadata answer;
  if (answered) answer = context.wire.read_response(result.head);
  context.book.OnAttemptEnded(endpoint.id, kind,
                              AttemptResultOf(result, answer), now);
  co_return result;
}

}  // namespace gypsumtrack::gateway
