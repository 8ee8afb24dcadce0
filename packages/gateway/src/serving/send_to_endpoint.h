#ifndef GYPSUMTRACK_GATEWAY_SRC_SERVING_SEND_TO_ENDPOINT_H_
#define GYPSUMTRACK_GATEWAY_SRC_SERVING_SEND_TO_ENDPOINT_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gypsumtrack/gateway/serving/serving_context.h"

/// Sends requests to endpoints and keeps the endpoint registry up to date.
namespace gypsumtrack::gateway {

/// Formats the parts of a prompt for log events, cut to a bounded length.
/// Thread-safe.
std::string FormatParts(const std::vector<base::PromptPart>& parts);

/// The same for what a crash may be blamed on.
std::string FormatSuspects(const std::vector<policy::CrashSuspect>& suspects);

/// Returns the suspect that is in quarantine, if any. Must run on the context's
/// thread, as must the functions below.
std::optional<policy::QuarantinedSuspect> FindQuarantined(
    const ServingContext& context,
    const std::vector<policy::CrashSuspect>& suspects);
/// Reports that a run with these suspects got its first event.
void ReportFirstEvent(const ServingContext& context,
                      const std::vector<policy::CrashSuspect>& suspects);
/// Reports how a run with these suspects ended that got that many events. Runs
/// of the same request or item have the same `request`.
void ReportRunEnd(const ServingContext& context,
                  const std::vector<policy::CrashSuspect>& suspects,
                  const std::string& request,
                  const policy::EndpointEntry& endpoint,
                  const EndpointResult& result, std::uint64_t events);

/// Whether the call failed because the peer opens no tunnels, or not for this
/// daemon, so that the endpoint received nothing and may be tried again through
/// another peer. Thread-safe.
bool FailedAtPeer(const EndpointResult& result);

/// Makes one attempt to send a request: runs the call and records its start,
/// the load that the response reports and its result in the endpoint registry.
/// Must run on the context's thread. Precondition: `call.address` is the
/// endpoint's, `call.on_head` is empty, and `context` outlives the call. If
/// `is_counted`, the registry has recorded the start already. A request that
/// may not leave `allowed_regions` isn't sent if the only path leads elsewhere.
boost::asio::awaitable<EndpointResult> SendToEndpoint(
    ServingContext& context, policy::EndpointEntry endpoint,
    policy::WorkKind kind, EndpointCall call, bool is_counted = false,
    policy::RegionLimit allowed_regions = {});

/// Whether a response may go on with a stream of events that began with that
/// status. If it names a media type, that is the one of events: an error
/// without text would otherwise pass for the end of the stream. Thread-safe.
bool ContinuesStream(const ResponseHead& head, unsigned begun_status);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_SERVING_SEND_TO_ENDPOINT_H_
