#include "send_to_endpoint.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <string_view>
#include <utility>

#include "gypsumtrack/base/event_log.h"

namespace gypsumtrack::gateway {
namespace {

/// Maximum length of the parts in a log event.
constexpr std::size_t kMaxLoggedPartsBytes = 120;

/// Returns what an attempt showed about its endpoint.
policy::AttemptResult ToAttemptResult(const EndpointResult& result,
                                      const ResponseMetadata& response) {
  // The peer knows that it leaves or has been replaced, or doesn't know it yet.
  if (result.tunnel_status == TunnelStatus::kUnknownEndpoint)
    return policy::AttemptResult::kBusy;
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
      return policy::AttemptResult::kBadResponse;
    case CallOutcome::kInvalid:
      // A request that can't be sent says nothing about the endpoint.
      return result.run == policy::RunState::kNotRun
                 ? policy::AttemptResult::kUnknown
                 : policy::AttemptResult::kBadResponse;
    case CallOutcome::kDeadline:
    case CallOutcome::kCancelled:
      break;
  }
  return policy::AttemptResult::kUnknown;
}

/// Records the limit that a response to a request sent at `sent_at` names.
void RecordRateLimit(ServingContext& context,
                     const policy::EndpointEntry& endpoint,
                     const ResponseMetadata& response, base::Instant sent_at) {
  // Only a response of the endpoint itself to a run shows that it has no limit.
  const bool shows_limit =
      response.rate_limit || (response.has_seal && !response.not_run);
  if (!shows_limit) return;
  const auto now = context.clock.now();
  const policy::RateLimitReport report{response.rate_limit,
                                       response.rate_limit ? now : sent_at};
  const bool changed = context.endpoints.OnRateLimit(
      endpoint.id, endpoint.incarnation, report, true, now);
  if (!changed) return;
  base::LogEvent("endpoint_limit",
                 {{"endpoint", endpoint.id.text},
                  {"incarnation", endpoint.incarnation},
                  {"limited", response.rate_limit ? 1 : 0},
                  {"per_second", response.rate_limit.value_or(0)},
                  {"source", "response"}});
}

/// Records what the head of a response to a request sent at `sent_at` reports
/// about its endpoint.
void RecordReports(ServingContext& context,
                   const policy::EndpointEntry& endpoint,
                   const ResponseMetadata& response, base::Instant sent_at) {
  const auto now = context.clock.now();
  RecordRateLimit(context, endpoint, response, sent_at);
  if (response.report) {
    context.endpoints.OnReport(endpoint.id, *response.report, now);
  }
  if (!response.leaving) return;
  const bool is_new =
      context.endpoints.OnLeaving(endpoint.id, endpoint.incarnation, now);
  if (!is_new) return;
  base::LogEvent("endpoint_leaving", {{"endpoint", endpoint.id.text},
                                      {"incarnation", endpoint.incarnation},
                                      {"source", "response"}});
}

/// Reports a tunnel that couldn't be opened or whose call made no progress.
void ReportTunnel(const ServingContext& context, const TunnelHop& hop,
                  const policy::EndpointEntry& endpoint,
                  const EndpointResult& result) {
  const bool is_silent = result.outcome == CallOutcome::kStalled;
  const auto status = result.tunnel_status.value_or(TunnelStatus::kOpen);
  if (status == TunnelStatus::kOpen && !is_silent) return;
  context.path_hooks.on_tunnel_failed(hop, endpoint.id, status);
}

/// Whether a failure says nothing about the endpoint: the peer's tunnel failed,
/// or this daemon lost its links to all endpoints while the call was under way.
bool IsPathFailure(const ServingContext& context, bool is_tunnel,
                   const EndpointResult& result) {
  if (is_tunnel) return FailedAtPeer(result);
  const bool has_failed = result.outcome == CallOutcome::kConnect ||
                          result.outcome == CallOutcome::kStalled ||
                          result.outcome == CallOutcome::kClosed;
  return has_failed && context.FindPath().kind != PathKind::kDirect;
}

/// Makes a direct call report what it shows about the path to endpoints.
/// Returns false if nobody asks for it.
bool ReportDirectPath(const ServingContext& context,
                      const policy::EndpointEntry& endpoint,
                      EndpointCall& call) {
  const auto& hooks = context.path_hooks;
  if (!hooks.on_call_started) return false;
  hooks.on_call_started();
  call.on_connect = [&hooks, id = endpoint.id](bool connected,
                                               base::Instant started_at) {
    hooks.on_connect(id, connected, started_at);
  };
  call.on_head = [&hooks,
                  on_head = std::move(call.on_head)](const ResponseHead& head) {
    hooks.on_bytes();
    on_head(head);
  };
  if (!call.on_part) return true;
  call.on_part = [&hooks, on_part = std::move(call.on_part)](
                     const ResponseHead& head, std::string_view part) {
    hooks.on_bytes();
    return on_part(head, part);
  };
  return true;
}

}  // namespace

bool FailedAtPeer(const EndpointResult& result) {
  if (!result.tunnel_status) return false;
  switch (*result.tunnel_status) {
    case TunnelStatus::kPeerCut:
    case TunnelStatus::kPeerLeaving:
    case TunnelStatus::kPeerBusy:
    case TunnelStatus::kDenied:
    case TunnelStatus::kPeerUnreachable:
      return true;
    case TunnelStatus::kUnknownEndpoint:
    case TunnelStatus::kOpen:
    case TunnelStatus::kEndpointRefused:
    case TunnelStatus::kEndpointUnreachable:
      break;
  }
  return false;
}

std::string FormatParts(const std::vector<base::PromptPart>& parts) {
  return FormatSuspects(policy::ToSuspects(parts));
}

std::string FormatSuspects(const std::vector<policy::CrashSuspect>& suspects) {
  std::string text;
  for (const auto& suspect : suspects) {
    if (!text.empty()) text += ',';
    text += suspect.id;
    if (text.size() > kMaxLoggedPartsBytes) break;
  }
  return text.substr(0, kMaxLoggedPartsBytes);
}

std::optional<policy::QuarantinedSuspect> FindQuarantined(
    const ServingContext& context,
    const std::vector<policy::CrashSuspect>& suspects) {
  if (!context.crash_hooks.find_quarantined) return std::nullopt;
  return context.crash_hooks.find_quarantined(suspects);
}

void ReportFirstEvent(const ServingContext& context,
                      const std::vector<policy::CrashSuspect>& suspects) {
  if (!context.crash_hooks.on_progress) return;
  context.crash_hooks.on_progress(
      policy::SelectKind(suspects, policy::SuspectKind::kPromptPart));
}

void ReportRunEnd(const ServingContext& context,
                  const std::vector<policy::CrashSuspect>& suspects,
                  const std::string& request,
                  const policy::EndpointEntry& endpoint,
                  const EndpointResult& result, std::uint64_t events) {
  const auto& hooks = context.crash_hooks;
  const bool is_answered =
      result.outcome == CallOutcome::kComplete && result.head.status / 100 == 2;
  if (is_answered && hooks.on_progress) hooks.on_progress(suspects);
  const bool is_lost = result.outcome == CallOutcome::kClosed &&
                       result.run != policy::RunState::kNotRun;
  if (!is_lost || !hooks.on_lost) return;
  // An event clears the parts of a prompt, but not the request itself.
  hooks.on_lost(
      events == 0 ? suspects
                  : policy::SelectKind(suspects, policy::SuspectKind::kRequest),
      request, endpoint);
}

boost::asio::awaitable<EndpointResult> SendToEndpoint(
    ServingContext& context, policy::EndpointEntry endpoint,
    policy::WorkKind kind, EndpointCall call, bool is_counted,
    policy::RegionLimit allowed_regions) {
  context.metrics.attempts.Add();
  const auto sent_at = context.clock.now();
  if (!is_counted)
    context.endpoints.OnAttemptStarted(endpoint.id, kind, sent_at);
  // The head of a stream arrives long before its end, so what it reports is
  // recorded at once.
  call.on_head = [&context, &endpoint, sent_at](const ResponseHead& head) {
    RecordReports(context, endpoint, context.wire.read_response(head), sent_at);
  };
  const auto is_early_end = call.is_early_end;
  const auto path = context.FindPath(allowed_regions);
  const bool is_tunnel = path.kind == PathKind::kTunnel;
  if (path.kind == PathKind::kNone) {
    context.endpoints.OnAttemptEnded(endpoint.id, kind,
                                     policy::AttemptResult::kUnknown, sent_at);
    EndpointResult not_sent;
    not_sent.outcome = CallOutcome::kConnect;
    not_sent.run = policy::RunState::kNotRun;
    not_sent.tunnel_status = TunnelStatus::kPeerUnreachable;
    co_return not_sent;
  }
  if (is_tunnel) {
    context.metrics.tunnelled.Add();
    call.tunnel = path.hop;
    call.tunnel_target = {endpoint.id, endpoint.incarnation};
  }
  const bool reports_path =
      !is_tunnel && ReportDirectPath(context, endpoint, call);
  auto result = co_await context.client.Call(std::move(call));
  if (reports_path)
    context.path_hooks.on_call_ended(result.outcome == CallOutcome::kClosed);
  const bool ended_early = is_early_end && *is_early_end;
  if (is_tunnel && !ended_early)
    ReportTunnel(context, path.hop, endpoint, result);
  const auto now = context.clock.now();
  const bool responded = result.outcome == CallOutcome::kComplete ||
                         result.outcome == CallOutcome::kRefused;
  ResponseMetadata response;
  if (responded) response = context.wire.read_response(result.head);
  context.endpoints.OnAttemptEnded(
      endpoint.id, kind,
      ended_early || IsPathFailure(context, is_tunnel, result)
          ? policy::AttemptResult::kUnknown
          : ToAttemptResult(result, response),
      now);
  co_return result;
}

bool ContinuesStream(const ResponseHead& head, unsigned begun_status) {
  constexpr std::string_view kEventStream = "text/event-stream";
  if (head.status != begun_status) return false;
  return std::all_of(
      head.headers.begin(), head.headers.end(), [&](const Header& header) {
        const std::string_view value = header.value;
        return !boost::beast::iequals(header.name, "Content-Type") ||
               boost::beast::iequals(value.substr(0, kEventStream.size()),
                                     kEventStream);
      });
}

}  // namespace gypsumtrack::gateway
