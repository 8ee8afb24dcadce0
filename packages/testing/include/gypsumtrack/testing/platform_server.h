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

/// The platform's stand-in: MemoryPlatform behind the platform's HTTP routes.
namespace gypsumtrack::testing {

/// What the stand-in does wrong; all off by default.
struct PlatformFaults {
  /// Connections are closed without an answer and nothing takes effect.
  bool down = false;
  /// Requests are taken and never answered; nothing takes effect.
  bool silent = false;
  std::uint32_t slow_ms = 0;
  /// So many changes from now on take effect and are not answered.
  std::uint32_t lose_answers = 0;
  /// Changes a second above which the answer is 429; 0 is no limit.
  std::uint32_t writes_per_second = 0;
  /// Failure domains whose daemons are refused, as in a partition.
  std::set<std::string> refused_domains;
};

/// Counts of the requests that took effect.
struct PlatformCounts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
};

/// Routes: POST /table/commit, POST /table/scan, PUT|GET|DELETE /objects/NAME,
/// GET /vms, and for tests PUT /control/vms, PUT /control/faults and
/// GET /control/counts. All methods are thread-safe.
class PlatformServer {
 public:
  /// The clock counts out the limit of changes a second.
  explicit PlatformServer(boost::asio::any_io_executor executor,
                          base::Clock clock = base::SystemClock());
  ~PlatformServer();
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  // Commands.

  /// Listens on `address` (`ip:port`; port 0 takes a free one).
  base::Status Start(const std::string& address);
  void Stop();
  void SetVms(std::vector<base::ListedVm> vms);
  void SetFaults(const PlatformFaults& faults);

  // Queries.

  /// Precondition: Start succeeded. The `ip:port` that it listens on.
  std::string Address() const;
  PlatformCounts Counts() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_PLATFORM_SERVER_H_
