#ifndef GYPSUMTRACK_GATEWAY_ENDPOINT_CLIENT_H_
#define GYPSUMTRACK_GATEWAY_ENDPOINT_CLIENT_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/error.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/gateway/tunnel.h"
#include "gypsumtrack/policy/run_state.h"

/// HTTP/1.1 client for endpoints. Connections are pooled, and each carries one
/// request at a time.
namespace gypsumtrack::gateway {

/// Response header that states whether the endpoint ran the request.
inline constexpr const char* kEndpointRunStateHeader = "X-Run-State";
/// Response header that an endpoint sets to "1" while it is draining.
inline constexpr const char* kEndpointDrainingHeader = "X-Leaving";

/// Differences between the HTTP interfaces of endpoints. The functions may be
/// called from any thread.
struct EndpointProtocol {
  /// Header that carries the request id. A response that echoes another id is
  /// discarded.
  std::string request_id_header = "X-Request-Id";
  /// Whether an error response states that the endpoint didn't run the request.
  std::function<bool(const ResponseHead&)> reports_not_run;
  /// Whether the response states that the endpoint is draining.
  std::function<bool(const ResponseHead&)> reports_draining;
  /// Whether to send the endpoint's address as `Host`. If false, the headers of
  /// the call contain `Host`.
  bool set_host_to_address = true;
  /// Whether a response body may be delimited by the close of the connection. A
  /// reset doesn't end such a body.
  bool accepts_close_delimited_body = false;
};

/// Returns the protocol of endpoints that implement the project's own
/// interface. Thread-safe.
EndpointProtocol DefaultProtocol();

/// Whether the body of a 2xx response with that head ends with its connection.
/// Precondition: the request wasn't HEAD. Thread-safe.
bool IsCloseDelimited(const ResponseHead& head);

/// Cancels a call in flight. Must be used on the strand of the call.
class CallCancellation {
 public:
  /// Marks the call as cancelled and calls the handler, if one is set.
  void Cancel();
  /// Whether Cancel was called.
  bool cancelled() const { return this->is_cancelled; }  // NOLINT
  /// Sets the function that Cancel calls; null clears it. The client sets it
  /// while a call is in flight.
  void SetHandler(std::function<void()> handler);

 private:
  bool is_cancelled = false;
  std::function<void()> handler;
};

/// How a call ended.
enum class CallOutcome {
  kComplete,    ///< the whole response was received
  kRefused,     ///< the endpoint refused the request without running it
  kConnect,     ///< no connection could be opened
  kClosed,      ///< the connection ended before the response did
  kStalled,     ///< no progress within the progress timeout
  kDeadline,    ///< the deadline of the call passed
  kMismatched,  ///< responses to other requests arrived instead
  kCancelled,   ///< cancelled, or `on_part` returned an error
  kInvalid,     ///< the response is too large, or its end can't be detected,
                ///< or the head of the request can't be sent
};

/// Names of call outcomes in logs. They stay when enumerators are renamed.
inline constexpr auto kCallOutcomeNames = base::MakeEnumTable<CallOutcome>({
    {CallOutcome::kComplete, "whole"},
    {CallOutcome::kRefused, "refused"},
    {CallOutcome::kConnect, "connect"},
    {CallOutcome::kClosed, "closed"},
    {CallOutcome::kStalled, "stalled"},
    {CallOutcome::kDeadline, "deadline"},
    {CallOutcome::kMismatched, "mismatched"},
    {CallOutcome::kCancelled, "cancelled"},
    {CallOutcome::kInvalid, "invalid"},
});

/// A request to one endpoint.
struct EndpointCall {
  /// `ip:port`.
  std::string address;
  std::string method;
  /// Percent-encoded path and query.
  std::string target;
  std::vector<Header> headers;
  std::string body;
  /// Sent in EndpointProtocol::request_id_header. A response that echoes
  /// another id is discarded.
  std::string request_id;
  /// A request that isn't idempotent is sent only on a new connection, or on
  /// one that received a response within
  /// EndpointClientOptions::liveness_window.
  bool idempotent = true;
  /// The call ends then, whatever arrives later. What had arrived by then is
  /// still read and passed on.
  base::Instant deadline = base::kNever;
  /// Maximum time without progress while sending the request or receiving the
  /// response.
  base::Duration progress_timeout = std::chrono::seconds(10);
  /// Asked when the call is connected and has made no progress for
  /// `progress_timeout`: whether to end it as kStalled. While it returns false,
  /// the call waits on and asks again shortly. Null ends the call. Called on
  /// the strand of the call.
  std::function<bool()> may_abandon;
  /// If shorter than `progress_timeout`: the time without a head of the
  /// response after which `may_abandon` is asked first.
  std::optional<base::Duration> late_head_timeout;
  /// Set by the caller if it ends the call early: that says nothing against the
  /// endpoint. May be null.
  std::shared_ptr<bool> is_early_end;
  /// Cancels the call; may be null.
  std::shared_ptr<CallCancellation> cancel;
  /// Opens the connection through this peer, not directly. Only connections
  /// that were opened through the same peer are reused.
  std::optional<TunnelHop> tunnel;
  /// The endpoint at `address`, as the peer of `tunnel` knows it.
  TunnelTarget tunnel_target;
  /// Called when an attempt to open a direct connection has ended, with whether
  /// it opened and when it began. Not called for attempts that were cancelled;
  /// one that the deadline ended counts as failed. Called on the strand of the
  /// call.
  std::function<void(bool connected, base::Instant started_at)> on_connect;

  /// Handles one part of a response body.
  using PartHook = std::function<boost::asio::awaitable<base::Status>(
      const ResponseHead& head, std::string_view part)>;
  /// Receives each part of a 2xx body instead of EndpointResult::body. An error
  /// ends the call: kInvalid as kMismatched, others as kCancelled.
  PartHook on_part;
  /// Asked after each part that `on_part` has accepted: whether it is progress,
  /// so that `progress_timeout` begins anew. If empty, each part is.
  std::function<bool()> made_progress;
  /// Called with the head of the response, before its body is read.
  std::function<void(const ResponseHead& head)> on_head;
  /// Whether the parts passed to `on_part` form a complete response. Called at
  /// the end of the body.
  std::function<bool(const ResponseHead& head)> is_complete;
};

/// The outcome of a call and the response, as far as it was received.
struct EndpointResult {
  CallOutcome outcome = CallOutcome::kConnect;
  /// Whether the endpoint ran the request, as far as the gateway can tell.
  policy::RunState run = policy::RunState::kNotRun;
  /// Whether the endpoint reported that it is draining.
  bool draining = false;
  /// Whether the request was sent on a pooled connection.
  bool reused_connection = false;
  /// How the attempt to open a tunnel ended; none for direct and for reused
  /// connections, and if it was cancelled.
  std::optional<TunnelStatus> tunnel_status;
  ResponseHead head;
  std::string body;
};

/// Timeouts and limits of an EndpointClient.
struct EndpointClientOptions {
  base::Duration connect_timeout = std::chrono::seconds(1);
  /// Maximum time from the connection to a peer to its reply that the tunnel is
  /// open. The peer connects to the endpoint meanwhile.
  base::Duration tunnel_timeout = std::chrono::seconds(1);
  /// An idle connection isn't reused this long after its last response. It is
  /// closed when another connection to the endpoint becomes idle.
  base::Duration max_idle = std::chrono::seconds(15);
  /// How long after a response its connection is assumed to be alive, so that
  /// it may carry a request that isn't idempotent.
  base::Duration liveness_window = std::chrono::milliseconds(500);
  /// TCP_USER_TIMEOUT: the kernel closes a connection whose sent data stays
  /// unacknowledged or unread for this long, or whose keep-alive probes do.
  /// Sound endpoints fall silent for a second or two, so it must be longer; a
  /// call has timeouts of its own.
  base::Duration tcp_user_timeout = std::chrono::seconds(6);
  std::uint32_t max_idle_per_endpoint = 64;
  std::uint32_t max_calls_per_connection = 1000;
  std::uint64_t max_body_bytes = 64ULL * 1024 * 1024;
  /// Maximum size of the bodies that all calls together hold. Beyond it, calls
  /// whose body is larger than `small_body_bytes` end as kInvalid.
  std::uint64_t max_held_bytes = 256ULL * 1024 * 1024;
  std::uint64_t small_body_bytes = 256ULL * 1024;
  EndpointProtocol protocol = DefaultProtocol();
};

/// Sends requests to endpoints and pools the connections.
class EndpointClient {
 public:
  /// Runs the I/O of connections on `executor`.
  EndpointClient(boost::asio::any_io_executor executor, base::Clock clock,
                 const EndpointClientOptions& options);
  /// Closes all idle connections. Precondition: no call is in flight.
  ~EndpointClient();

  /// Sends the request and receives the response. Failures are reported in
  /// EndpointResult::outcome. Runs on the executor of the awaiting coroutine,
  /// which must be a strand. Precondition: the client outlives the call.
  /// Thread-safe.
  boost::asio::awaitable<EndpointResult> Call(EndpointCall call);
  /// Closes the idle connections to the endpoint, direct and through peers.
  /// Thread-safe.
  void DropIdle(const std::string& address);
  /// Closes the idle connections to all endpoints through the peer of that
  /// name. Thread-safe.
  void DropIdleTunnels(const std::string& peer);
  /// Closes all idle connections. Thread-safe.
  void CloseIdle();

  /// Size of the bodies that the calls in flight hold. Thread-safe.
  std::uint64_t held_bytes() const;  // NOLINT
  /// Number of idle direct connections to the endpoint. Thread-safe.
  std::size_t idle_count(const std::string& address) const;  // NOLINT
  /// Number of idle connections to the endpoint through the peer. Thread-safe.
  std::size_t idle_count(const std::string& address,  // NOLINT
                         const TunnelHop& hop) const;

 private:
  class Pool;
  std::unique_ptr<Pool> pool;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_ENDPOINT_CLIENT_H_
