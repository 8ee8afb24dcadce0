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

/// A model engine and plain service over HTTP, with faults on command.
///
/// Routes: POST /v1/completions and /v1/chat/completions (always streamed;
/// `resume` goes on from a prefix), GET /load, POST /orders, GET and POST under
/// /control for facts and faults. Any other path is a plain service that counts
/// its executions by request id.
namespace gypsumtrack::testing {

enum class Fault {
  kNone,
  kDie,        ///< closes the connection in mid-answer
  kShortBody,  ///< ends the answer early
  kStall,      ///< stops in mid-answer and keeps the connection
  kRefuse,     ///< 503 before running
  kLeave,      ///< as kRefuse, saying that it is leaving
  kCross,      ///< answers another request
  kLate,       ///< begins its answer `delay` later
};

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

struct FaultPlan {
  Fault kind = Fault::kNone;
  /// Requests it befalls.
  std::uint32_t count = 1;
  std::uint32_t after_tokens = 0;
  base::Duration delay{};
};

struct EndpointServerOptions {
  /// `ip:port`; port 0 takes a free one.
  std::string address = "127.0.0.1:0";
  std::uint32_t slots = 8;
  std::uint64_t default_tokens = 16;
  EngineTiming timing;
  std::size_t prefix_cache_blocks = 4096;
  base::Duration report_lag = std::chrono::seconds(1);
  /// Refuses an order with an old fencing number.
  bool checks_fencing = true;
  std::set<std::string> models;
};

/// What happened at an endpoint, for verdicts.
struct EndpointFacts {
  std::uint64_t connections = 0;
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  /// Streams whose caller went away.
  std::uint64_t cancelled = 0;
  std::uint64_t tokens = 0;
  std::uint64_t cached_bytes = 0;
  /// How often each request id was run, from its beginning.
  std::map<std::string, std::uint32_t> executions;
  /// Every header and body received, up to a limit.
  std::string transcript;
  std::set<std::string> models;
};

class EndpointServer {
 public:
  EndpointServer(const boost::asio::any_io_executor& executor,
                 EndpointServerOptions options);
  ~EndpointServer();

  // Commands, thread-safe.

  /// Errors: kUnavailable.
  base::Status Start();
  void Stop();
  void SetFault(FaultPlan plan);
  /// Connections that are open now are read from but never answered again.
  void SilenceOpenConnections();

  // Queries, thread-safe.

  /// The bound `ip:port`. Precondition: Start succeeded.
  std::string address() const;  // NOLINT
  EndpointFacts facts() const;  // NOLINT

 private:
  class State;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_ENDPOINT_SERVER_H_
