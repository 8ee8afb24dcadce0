#ifndef GYPSUMTRACK_TESTING_RAW_ENDPOINT_H_
#define GYPSUMTRACK_TESTING_RAW_ENDPOINT_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/time.h"

/// An endpoint that sends bytes as told, for responses that no sound server
/// sends.
namespace gypsumtrack::testing {

/// What a RawEndpoint does with the connection after a response.
enum class RawEnd {
  kClose,     ///< closes it (FIN)
  kFinish,    ///< ends its side (FIN), and keeps what it hasn't read
  kReset,     ///< resets it (RST)
  kKeepOpen,  ///< reads the next request
};

/// One response, as bytes.
struct RawResponse {
  /// Head and body.
  std::string bytes;
  RawEnd end = RawEnd::kClose;
  /// Sent again and again after `bytes`, until the caller closes the connection
  /// or RawEndpoint::kMaxEndlessBytes were sent; then the endpoint falls
  /// silent. Nothing if empty.
  std::string endless;
  /// Pause before each piece of `endless`.
  base::Duration endless_pause{0};
  /// Pause between `bytes` and `end`.
  base::Duration end_pause{0};
};

/// A request that a RawEndpoint received.
struct RawRequest {
  /// Number of the connection, from 1.
  std::uint64_t connection = 0;
  std::string target;
  /// Value of Last-Event-Id; empty if there is none.
  std::string last_event_id;
};

/// A server on its own TCP port that answers each request with the next of the
/// given responses. All methods are thread-safe after Start.
class RawEndpoint {
 public:
  /// Runs its I/O on `executor`.
  explicit RawEndpoint(const boost::asio::any_io_executor& executor);
  /// Stops listening. Open connections end with the executor.
  ~RawEndpoint();

  /// Starts to listen on a free port of the loopback interface.
  base::Status Start();
  /// Sets the responses to the next requests. The last one is repeated.
  void SetResponses(std::vector<RawResponse> responses);
  /// Sets the function that makes the responses to the next requests, for those
  /// that depend on the connection. It is called on the executor, for one
  /// request at a time.
  void SetResponder(std::function<RawResponse(const RawRequest&)> responder);

  /// Sets the pause before it reads from a new connection; none by default.
  void SetReadPause(base::Duration pause);

  /// Makes it answer each request once it has the head, without reading the
  /// body. Such a connection serves one request.
  void AnswerBeforeBody();

  /// The bound `ip:port`. Precondition: Start succeeded.
  std::string address() const;  // NOLINT
  /// The requests received, in order.
  std::vector<RawRequest> requests() const;  // NOLINT
  /// Bytes sent of all endless parts.
  std::uint64_t endless_bytes() const;  // NOLINT

  /// Limits the memory that a caller without a limit of its own takes.
  static constexpr std::uint64_t kMaxEndlessBytes = 64ULL * 1024 * 1024;

 private:
  class State;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_RAW_ENDPOINT_H_
