#ifndef GYPSUMTRACK_GATEWAY_REPORT_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_REPORT_SERVICE_H_

#include <json/value.h>

#include <functional>
#include <memory>

#include "gypsumtrack/gateway/admin_service.h"
#include "gypsumtrack/gateway/runtime.h"
#include "gypsumtrack/policy/fleet_view.h"
#include "gypsumtrack/telemetry/service_level.h"

/// Measures the service levels of this daemon and reports those of the fleet.
namespace gypsumtrack::gateway {

/// Encodes counts per series and time window, as sent to peers and operators.
/// Thread-safe.
Json::Value EncodeCounts(const telemetry::ServiceCounts& counts);

/// Decodes the result of `EncodeCounts`. Errors: kInvalid. Thread-safe.
base::Outcome<telemetry::ServiceCounts> DecodeCounts(const Json::Value& json);

/// Counts the outcomes and latencies of requests per organisation and service.
class ReportService {
 public:
  /// Returns the daemon's view of the fleet; never null. Must be thread-safe.
  using FleetQuery = std::function<std::shared_ptr<const policy::FleetView>()>;

  /// Preconditions: `runtime` outlives the service, the service outlives the
  /// peer transport and all work queued on the control strand, and the peer
  /// transport hasn't started.
  ReportService(const Runtime& runtime, FleetQuery view);

  /// Records the outcome and the latency of a request at the current time. The
  /// counts change later, on the control strand. Thread-safe.
  void Record(telemetry::SeriesId series, telemetry::ServiceEvent event,
              base::Duration latency);

  /// Adds GET /admin/report/counts, which returns the counts of the whole fleet
  /// and the names of unresponsive VMs. Not thread-safe; must be called before
  /// the server starts. Precondition: the service outlives the server.
  void Register(Router& router);

 private:
  boost::asio::awaitable<telemetry::ServiceCounts> LocalCounts();
  boost::asio::awaitable<AdminReply> FleetCounts();

  const Runtime& runtime;
  FleetQuery view;
  /// Accessed only on the control strand.
  std::shared_ptr<telemetry::ServiceLevels> levels;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_REPORT_SERVICE_H_
