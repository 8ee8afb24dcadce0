#ifndef GYPSUMTRACK_TESTING_ENDPOINT_SERVER_H_
#define GYPSUMTRACK_TESTING_ENDPOINT_SERVER_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/testing/engine_model.h"

/// An HTTP server that simulates a model engine and a plain service, with fault
/// injection.
///
/// Routes: POST /v1/completions and /v1/chat/completions (always streamed;
/// `resume` continues after a number of tokens), GET /load, POST /orders, and
/// GET and POST under /control to read counters and inject faults. Any other
/// path is a plain service that counts its executions by request id.
namespace gypsumtrack::testing {

/// A fault injected into a request.
enum class Fault {
  kNone,
  kDie,        ///< closes the connection in the middle of the response
  kShortBody,  ///< ends the response early
  kStall,      ///< stops in the middle of the response and keeps the connection
  kRefuse,     ///< responds 503 without running the request
  kLeave,      ///< as kRefuse, and reports that it is draining
  kCross,      ///< sends the response of another request
  kLate,       ///< delays the request by `delay` before running it
};

/// Names of the faults in the body of POST /control/fault.
inline constexpr auto kFaultNames = base::MakeEnumTable<Fault>({
    {Fault::kNone, "none"},
    {Fault::kDie, "die"},
    {Fault::kShortBody, "short_body"},
    {Fault::kStall, "stall"},
    {Fault::kRefuse, "refuse"},
    {Fault::kLeave, "leave"},
    {Fault::kCross, "cross"},
    {Fault::kLate, "late"},
});

/// A fault and the requests it applies to.
struct FaultPlan {
  Fault kind = Fault::kNone;
  /// Number of next requests that the fault applies to.
  std::uint32_t count = 1;
  /// Tokens streamed before kDie, kShortBody or kStall takes effect.
  std::uint32_t after_tokens = 0;
  /// Delay of kLate.
  base::Duration delay{};
};

/// Options of EndpointServer.
struct EndpointServerOptions {
  /// `ip:port`; port 0 selects a free port.
  std::string address = "127.0.0.1:0";
  /// Requests that run concurrently.
  std::uint32_t slots = 8;
  /// Tokens of a response whose request has no `max_tokens`.
  std::uint64_t default_tokens = 16;
  EngineTiming timing;
  std::size_t prefix_cache_blocks = 4096;
  /// Age of the load reports served at /load.
  base::Duration report_lag = std::chrono::seconds(1);
  /// Rejects an order with a fencing number below the highest received.
  bool checks_fencing = true;
  /// Models that are loaded at the start.
  std::set<std::string> models;
};

/// Counters and records of an endpoint, for assertions of tests.
struct EndpointFacts {
  std::uint64_t connections = 0;
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  /// Requests whose caller disconnected while waiting or streaming.
  std::uint64_t cancelled = 0;
  std::uint64_t tokens = 0;
  std::uint64_t cached_bytes = 0;
  /// Executions per request id; resumed requests are not counted.
  std::map<std::string, std::uint32_t> executions;
  /// Headers and bodies of the received requests, up to a limit.
  std::string transcript;
  std::set<std::string> models;
};

/// A simulated endpoint on its own TCP port.
class EndpointServer {
 public:
  /// Connections run on strands of `executor`.
  EndpointServer(const boost::asio::any_io_executor& executor,
                 EndpointServerOptions options);
  /// Stops the server.
  ~EndpointServer();

  // Commands, thread-safe.

  /// Starts listening. Errors: kInvalid for a malformed address, kUnavailable
  /// if it cannot be bound.
  base::Status Start();
  /// Closes the listening socket and all connections, asynchronously.
  void Stop();
  /// Replaces the fault to inject.
  void SetFault(FaultPlan plan);
  /// Currently open connections are still read from but get no more responses.
  void SilenceOpenConnections();

  // Queries, thread-safe.

  /// The bound `ip:port`. Precondition: Start succeeded.
  std::string address() const;  // NOLINT
  /// A copy of the counters and records.
  EndpointFacts facts() const;  // NOLINT

 private:
  class State;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_ENDPOINT_SERVER_H_
