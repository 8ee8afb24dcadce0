#ifndef GYPSUMTRACK_GATEWAY_ERROR_REPLY_H_
#define GYPSUMTRACK_GATEWAY_ERROR_REPLY_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <utility>

#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/policy/run_state.h"

/// Refusals and failures as callers see them: JSON with a stable code, and
/// whether the request ran.
namespace gypsumtrack::gateway {

inline constexpr const char* kRunStateHeader = "Gypsumtrack-Run";

struct ErrorReply {
  unsigned status = 500;
  /// Stable; callers may match on it.
  std::string code;
  /// A sentence for a person.
  std::string message;
  policy::RunState run = policy::RunState::kNotRun;
  /// Seconds after which a resend may succeed; 0 if waiting doesn't help.
  std::uint32_t retry_after_seconds = 0;

  /// Not an aggregate: GCC 12 frees the strings of an aggregate that is written
  /// into a co_await expression a second time.
  ErrorReply() = default;
  ErrorReply(unsigned http_status, std::string stable_code,
             std::string sentence,
             policy::RunState run_state = policy::RunState::kNotRun,
             std::uint32_t retry_after = 0)
      : status(http_status),
        code(std::move(stable_code)),
        message(std::move(sentence)),
        run(run_state),
        retry_after_seconds(retry_after) {}
};

struct RenderedReply {
  ResponseHead head;
  std::string body;
};

/// Thread-safe.
RenderedReply RenderError(const ErrorReply& reply);

/// Precondition: !exchange.response_started().
boost::asio::awaitable<void> SendError(Exchange& exchange, ErrorReply reply);

/// Whole seconds to wait from `now` until `at`, at least 1. Thread-safe.
std::uint32_t RetryAfterSeconds(base::Instant now, base::Instant at);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_ERROR_REPLY_H_
