#ifndef GYPSUMTRACK_GATEWAY_SRC_SERVING_STREAM_ORIGIN_TRACKER_H_
#define GYPSUMTRACK_GATEWAY_SRC_SERVING_STREAM_ORIGIN_TRACKER_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "gypsumtrack/gateway/serving/serving_context.h"

/// Keeps the stream of one request at the software version that began it.
namespace gypsumtrack::gateway {

/// Knows who began the stream of a request, and records it for other daemons
/// before the first event is relayed. Requests of routes without resumable
/// streams begin anew in each attempt, so any version may run them. Not
/// thread-safe; used on the context's thread. docs/design/stream-versions.md.
class StreamOriginTracker {
 public:
  /// Precondition: the arguments outlive the tracker.
  StreamOriginTracker(ServingContext& context, const policy::RouteRule& route,
                      const RequestMetadata& request);

  /// Finds out who began the stream that the caller takes up, if it does.
  /// Returns false if that can't be told. Call once, before all else.
  boost::asio::awaitable<bool> FindOrigin();
  /// Makes a query for endpoints that may serve the next attempt.
  policy::EndpointQuery MakeQuery(bool is_first_attempt) const;
  /// Starts to record who begins the stream, unless all daemons can tell.
  /// Attempts of a request have rising numbers.
  void OnAttemptStarted(const policy::EndpointEntry& endpoint,
                        std::uint32_t attempt, base::Instant deadline);
  /// Waits until it is recorded who begins the stream. Returns false if that
  /// takes too long and the default version can begin the stream instead.
  boost::asio::awaitable<bool> WaitForRecord(base::Instant deadline) const;
  /// Records that the first event of the attempt in progress is relayed.
  void OnFirstEvent();

  /// Whether the next attempt has to continue a stream.
  bool must_continue() const { return this->origin.has_value(); }  // NOLINT

 private:
  /// Whether a stream of this route may be continued at another endpoint.
  bool IsResumable() const;
  /// Returns the service that begins the stream of a request: always the same,
  /// so that any daemon can tell it without a record.
  const base::Service& FirstService(const std::string& request_id) const;
  policy::EndpointQuery MakeContinuationQuery() const;
  /// Returns the default version if records can't be written now and endpoints
  /// of it accept requests.
  std::optional<std::string> VersionWithoutRecords(
      const base::Service& service) const;
  bool HasEndpoints(const base::Service& service,
                    const std::string& version) const;
  /// Whether endpoints of the default version could begin the stream that the
  /// current attempt would begin at another one.
  bool HasAlternative() const;
  /// Ends the record of an earlier attempt. It stays in place if the store may
  /// have it, because a newer one is needed then.
  void AbandonRecord();

  ServingContext& context;
  const policy::RouteRule& route;
  const RequestMetadata& request;
  /// Who began the stream, once its first event was relayed, here or for an
  /// earlier request that this one continues.
  std::optional<policy::OutputOrigin> origin;
  /// Where the current attempt was sent.
  policy::OutputOrigin attempt_origin;
  /// The newest record of who begins the stream; null if none is needed.
  std::shared_ptr<StreamRecord> record;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_SERVING_STREAM_ORIGIN_TRACKER_H_
