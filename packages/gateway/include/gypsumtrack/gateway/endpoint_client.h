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
#include "gypsumtrack/policy/run_state.h"

/// Calls to endpoints over pooled HTTP/1.1 connections, one request at a time
/// on a connection.
namespace gypsumtrack::gateway {

/// By which an endpoint says that it refused a request before running it.
inline constexpr const char* kEndpointRunHeader = "X-Run-State";
/// By which an endpoint says that it is leaving.
inline constexpr const char* kEndpointLeavingHeader = "X-Leaving";

/// How the endpoints of a deployment speak. The hooks are called from any
/// thread.
struct EndpointProtocol {
  /// Sent with each request; an answer that echoes another id is skipped.
  std::string request_id_header = "X-Request-Id";
  /// Whether the endpoint says that it didn't run the request.
  std::function<bool(const ResponseHead&)> reports_not_run;
  /// Whether the endpoint says that it is leaving.
  std::function<bool(const ResponseHead&)> reports_draining;
  /// Send the endpoint's address as `Host`; else the call's headers hold it.
  bool set_host_to_address = true;
  /// Whether a body may end with its connection. A reset isn't such an end.
  bool accepts_close_delimited_body = false;
};

/// The dialect of the endpoints of our own interface. Thread-safe.
EndpointProtocol DefaultProtocol();

/// Ends a call early. Used on the call's strand.
class CallCancellation {
 public:
  void Cancel();
  bool cancelled() const { return this->is_cancelled; }  // NOLINT
  /// Set by the client while a call is in flight.
  void SetAction(std::function<void()> action);

 private:
  bool is_cancelled = false;
  std::function<void()> action;
};

/// How a call ended.
enum class CallOutcome {
  kComplete,    ///< a whole answer came
  kRefused,     ///< the endpoint refused it before running
  kConnect,     ///< no connection could be made
  kClosed,      ///< the connection ended before the answer did
  kStalled,     ///< the answer stood still past the progress deadline
  kDeadline,    ///< the call's own deadline passed
  kMismatched,  ///< answers to other requests came in its place
  kCancelled,   ///< cancelled, or a hook gave up
  kInvalid,     ///< the answer is malformed, unbounded or too large
};

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

struct EndpointCall {
  /// `ip:port`.
  std::string address;
  std::string method;
  /// Encoded path and query.
  std::string target;
  std::vector<Header> headers;
  std::string body;
  /// Sent as `X-Request-Id`; an answer that echoes another is dropped.
  std::string request_id;
  /// Others go only on a connection proven alive just now, or on a new one.
  bool idempotent = true;
  base::Instant deadline = base::kNever;
  /// Longest time that the answer may stand still.
  base::Duration progress_timeout = std::chrono::seconds(10);
  std::shared_ptr<CallCancellation> cancel;

  using PartHook = std::function<boost::asio::awaitable<base::Status>(
      const ResponseHead& head, std::string_view part)>;
  /// Takes each part of a 2xx body instead of EndpointResult::body. An error
  /// ends the call as kCancelled.
  PartHook on_part;
  /// Called with the head of the answer, before its body.
  std::function<void(const ResponseHead& head)> on_head;
  /// Whether the parts taken make a whole answer; asked at the body's end.
  std::function<bool()> is_complete;
};

struct EndpointResult {
  CallOutcome outcome = CallOutcome::kConnect;
  policy::RunState run = policy::RunState::kNotRun;
  /// Whether the endpoint said that it is leaving.
  bool draining = false;
  /// Whether the call went on a pooled connection.
  bool reused_connection = false;
  ResponseHead head;
  std::string body;
};

struct EndpointClientOptions {
  base::Duration connect_timeout = std::chrono::seconds(1);
  /// An idle connection older than this is closed.
  base::Duration max_idle = std::chrono::seconds(15);
  /// For how long an answer proves that its connection is alive.
  base::Duration proven_alive = std::chrono::milliseconds(500);
  /// The kernel gives up a connection whose bytes stay unacknowledged.
  base::Duration unacknowledged_timeout = std::chrono::milliseconds(1500);
  std::uint32_t max_idle_per_endpoint = 64;
  std::uint32_t max_calls_per_connection = 1000;
  std::uint64_t max_body_bytes = 64ULL * 1024 * 1024;
  EndpointProtocol protocol = DefaultProtocol();
};

/// Connections to all endpoints.
class EndpointClient {
 public:
  EndpointClient(boost::asio::any_io_executor executor, base::Clock clock,
                 const EndpointClientOptions& options);
  ~EndpointClient();

  /// Runs on the awaiting coroutine's executor, which must be a strand.
  /// Precondition: the client outlives the call. Thread-safe.
  boost::asio::awaitable<EndpointResult> Call(EndpointCall call);
  /// Closes the endpoint's idle connections. Thread-safe.
  void DropIdle(const std::string& address);
  /// Closes all idle connections. Thread-safe.
  void CloseIdle();

  /// Idle connections to the endpoint. Thread-safe.
  std::size_t idle_count(const std::string& address) const;  // NOLINT

 private:
  class Pool;
  std::unique_ptr<Pool> pool;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_ENDPOINT_CLIENT_H_
