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

/// Keep-alive connections to one HTTP server.
namespace gypsumtrack::platform {

struct HttpCall {
  std::string method;
  std::string target;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  base::Instant deadline;
  /// By when a kept connection must have answered, so that time is left for a
  /// new one; half of the time up to the deadline if not set.
  std::optional<base::Instant> kept_deadline;
  /// An answer whose first bytes came in time may go on arriving until then, as
  /// long as it doesn't stop: asked for again, a large one over a link that is
  /// full would only fill it more.
  std::optional<base::Instant> transfer_deadline;
};

struct HttpReply {
  unsigned status = 0;
  std::string body;
};

using HttpReplyHandler = std::function<void(base::Outcome<HttpReply>)>;

class HttpPool : public std::enable_shared_from_this<HttpPool> {
 public:
  HttpPool(const boost::asio::any_io_executor& executor, std::string address,
           base::Clock clock);
  ~HttpPool();
  HttpPool(const HttpPool&) = delete;
  HttpPool& operator=(const HttpPool&) = delete;

  /// Each call must be safe to repeat: it is sent once more if a kept
  /// connection turns out dead. Thread-safe. The handler runs on the executor,
  /// once, by the deadline or `transfer_deadline`. Errors: kTimeout and
  /// kUnavailable (not sent), kUnknown (sent, no answer).
  void Send(HttpCall call, HttpReplyHandler handler);

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::platform

#endif  // GYPSUMTRACK_PLATFORM_HTTP_POOL_H_
