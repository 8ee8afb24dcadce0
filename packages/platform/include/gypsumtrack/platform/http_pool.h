#ifndef GYPSUMTRACK_PLATFORM_HTTP_POOL_H_
#define GYPSUMTRACK_PLATFORM_HTTP_POOL_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/time.h"

/// Pool of keep-alive connections to one HTTP server.
namespace gypsumtrack::platform {

/// A request to the server.
struct HttpCall {
  std::string method;
  std::string target;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  /// When the call fails unless the response is complete, or
  /// `transfer_deadline` allows it more time.
  base::Instant deadline;
  /// When an attempt on a reused connection is given up, so that time remains
  /// for an attempt on a new one. Default: half of the time until the deadline.
  std::optional<base::Instant> reused_connection_deadline;
  /// If set, a response whose first bytes arrived in time may take until then,
  /// as long as its transfer doesn't stall. Requesting a large response again
  /// would add to the load of a link that is already saturated.
  std::optional<base::Instant> transfer_deadline;
};

/// The status and body of a complete response.
struct HttpReply {
  unsigned status = 0;
  std::string body;
};

/// Receives the response or the error of a call.
using HttpReplyHandler = std::function<void(base::Outcome<HttpReply>)>;

/// Sends calls over a limited number of connections and queues calls while all
/// of them are in use. Idle connections are reused.
class HttpPool : public std::enable_shared_from_this<HttpPool> {
 public:
  /// `address` is `ip:port`; an invalid one fails all calls with kUnavailable.
  HttpPool(const boost::asio::any_io_executor& executor, std::string address,
           base::Clock clock);
  /// Calls in progress still complete.
  ~HttpPool();
  HttpPool(const HttpPool&) = delete;
  HttpPool& operator=(const HttpPool&) = delete;

  /// Sends a call, which must be idempotent: it is sent a second time if the
  /// attempt on a reused connection fails. The handler runs on the executor,
  /// once, by the deadline or `transfer_deadline`. Thread-safe. Errors:
  /// kTimeout and kUnavailable (not sent), kUnknown (sent, but no complete
  /// response, or none but a refusal of the second attempt with 429 or 5xx).
  void Send(HttpCall call, HttpReplyHandler handler);

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::platform

#endif  // GYPSUMTRACK_PLATFORM_HTTP_POOL_H_
