#ifndef GYPSUMTRACK_GATEWAY_REPORT_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_REPORT_SERVICE_H_

#include <json/value.h>

#include <functional>
#include <memory>

#include "gypsumtrack/gateway/admin_service.h"
#include "gypsumtrack/gateway/runtime.h"
#include "gypsumtrack/policy/fleet_view.h"
#include "gypsumtrack/telemetry/service_level.h"

/// Service levels of this daemon, and the counts of all of them together.
namespace gypsumtrack::gateway {

/// As in a peer's answer: per series and window, the counts.
Json::Value EncodeCounts(const telemetry::ServiceCounts& counts);

/// Errors: kInvalid. Thread-safe.
base::Outcome<telemetry::ServiceCounts> DecodeCounts(const Json::Value& json);

class ReportService {
 public:
  using ViewHook = std::function<std::shared_ptr<const policy::FleetView>()>;

  /// Precondition: `runtime` outlives the service, and the peer transport has
  /// not started.
  ReportService(const Runtime& runtime, ViewHook view);

  /// Thread-safe; counted soon after on the control strand.
  void Record(telemetry::SeriesId series, telemetry::ServiceEvent event,
              base::Duration latency);

  /// Adds GET /admin/report/counts: the fleet's counts, and the VMs that gave
  /// no answer. Precondition: the service outlives the server.
  void Register(Router& router);

 private:
  boost::asio::awaitable<telemetry::ServiceCounts> OwnCounts();
  boost::asio::awaitable<AdminReply> FleetCounts();

  const Runtime& runtime;
  ViewHook view;
  /// Touched on the control strand only.
  std::shared_ptr<telemetry::ServiceLevels> levels;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_REPORT_SERVICE_H_
