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

/// Returns the part that is in quarantine, if any. Must run on the context's
/// thread, as must the functions below.
std::optional<policy::QuarantinedPart> FindQuarantinedPart(
    const ServingContext& context, const std::vector<base::PromptPart>& parts);
/// Reports that a run of a prompt with these parts got an event.
void ReportProgress(const ServingContext& context,
                    const std::vector<base::PromptPart>& parts);
/// Reports how a run of a prompt ended that got that many events.
void ReportRunEnd(const ServingContext& context,
                  const std::vector<base::PromptPart>& parts,
                  const std::string& request_id,
                  const policy::EndpointEntry& endpoint,
                  const EndpointResult& result, std::uint64_t events);

/// Makes one attempt to send a request: runs the call and records its start,
/// the load that the response reports and its result in the endpoint registry.
/// Must run on the context's thread. Precondition: `call.address` is the
/// endpoint's, `call.on_head` is empty, and `context` outlives the call.
boost::asio::awaitable<EndpointResult> SendToEndpoint(
    ServingContext& context, policy::EndpointEntry endpoint,
    policy::WorkKind kind, EndpointCall call);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_SERVING_SEND_TO_ENDPOINT_H_
