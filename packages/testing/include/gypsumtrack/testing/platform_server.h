#ifndef GYPSUMTRACK_TESTING_PLATFORM_SERVER_H_
#define GYPSUMTRACK_TESTING_PLATFORM_SERVER_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/base/vm_list.h"

/// A simulated platform: MemoryPlatform behind the platform's HTTP routes.
namespace gypsumtrack::testing {

/// Injected faults; all off by default.
struct PlatformFaults {
  /// Connections are closed without a response; requests have no effect.
  bool down = false;
  /// Requests are read but get no response and have no effect.
  bool silent = false;
  /// Delay of every request in milliseconds.
  std::uint32_t slow_ms = 0;
  /// Number of next writes that take effect but get no response.
  std::uint32_t lose_answers = 0;
  /// Writes per second above which the status is 429; 0 means no limit.
  std::uint32_t writes_per_second = 0;
  /// Failure domains whose connections are closed, as in a network partition.
  std::set<std::string> refused_domains;
};

/// Counts of the routed requests, including rejected ones. Requests that a
/// fault or the write rate limit stops are not counted.
struct PlatformCounts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
};

/// HTTP server of the simulated platform.
///
/// Routes: POST /table/commit, POST /table/scan, PUT|GET|DELETE /objects/NAME,
/// GET /vms, and for tests PUT /control/vms, PUT /control/faults and
/// GET /control/counts. All methods are thread-safe.
class PlatformServer {
 public:
  /// `clock` measures the windows of the write rate limit.
  explicit PlatformServer(boost::asio::any_io_executor executor,
                          base::Clock clock = base::SystemClock());
  /// Stops the server.
  ~PlatformServer();
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  // Commands.

  /// Listens on `address` (`ip:port`; port 0 selects a free port).
  /// Errors: kInvalid for a malformed address, and those of listening.
  base::Status Start(const std::string& address);
  /// Stops accepting connections; open ones continue.
  void Stop();
  /// Replaces the list of VMs.
  void SetVms(std::vector<base::ListedVm> vms);
  /// Replaces the injected faults.
  void SetFaults(const PlatformFaults& faults);

  // Queries.

  /// The bound `ip:port`. Precondition: Start succeeded.
  std::string Address() const;
  /// The counts so far.
  PlatformCounts Counts() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_PLATFORM_SERVER_H_
