#ifndef GYPSUMTRACK_GATEWAY_ERROR_REPLY_H_
#define GYPSUMTRACK_GATEWAY_ERROR_REPLY_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <utility>

#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/policy/run_state.h"

/// Error responses to callers: a JSON body with a stable code, and a header
/// that states whether the request ran.
namespace gypsumtrack::gateway {

/// Response header that states whether the request ran.
inline constexpr const char* kRunStateHeader = "Gypsumtrack-Run";

/// An error response before it is serialized.
struct ErrorReply {
  unsigned status = 500;
  /// Machine-readable and stable: callers may match it.
  std::string code;
  /// A sentence for people; may change.
  std::string message;
  policy::RunState run = policy::RunState::kNotRun;
  /// Value of `Retry-After`; 0 omits the header, as retrying won't help.
  std::uint32_t retry_after_seconds = 0;

  /// Has constructors so that it isn't an aggregate: GCC 12 frees the strings
  /// of an aggregate twice when it is created inside a co_await expression.
  ErrorReply() = default;
  ErrorReply(unsigned http_status, std::string stable_code,
             std::string message_text,
             policy::RunState run_state = policy::RunState::kNotRun,
             std::uint32_t retry_after = 0)
      : status(http_status),
        code(std::move(stable_code)),
        message(std::move(message_text)),
        run(run_state),
        retry_after_seconds(retry_after) {}
};

/// A serialized error response.
struct RenderedReply {
  ResponseHead head;
  std::string body;
};

/// Serializes an error response. Thread-safe.
RenderedReply RenderError(const ErrorReply& reply);

/// Sends an error response; a failed write is ignored. Precondition:
/// !exchange.response_started().
boost::asio::awaitable<void> SendError(Exchange& exchange, ErrorReply reply);

/// Returns the value of `Retry-After` for a retry at `at`: the seconds from
/// `now`, rounded up, between 1 and 3600. Thread-safe.
std::uint32_t RetryAfterSeconds(base::Instant now, base::Instant at);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_ERROR_REPLY_H_
