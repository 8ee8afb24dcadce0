#ifndef GYPSUMTRACK_GATEWAY_REPORT_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_REPORT_SERVICE_H_

#include <json/value.h>

#include <functional>
#include <memory>

#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/gateway/runtime.h"
#include "gypsumtrack/policy/fleet_view.h"
#include "gypsumtrack/telemetry/service_level.h"

/// Service levels of this daemon, and the report over all of them.
namespace gypsumtrack::gateway {

/// As in a peer's answer: per series and window, the non-zero counts.
Json::Value EncodeCounts(const telemetry::ServiceCounts& counts);

/// Errors: kInvalid. Thread-safe.
base::Outcome<telemetry::ServiceCounts> DecodeCounts(const Json::Value& json);

class ReportService {
 public:
  using ViewHook = std::function<std::shared_ptr<const policy::FleetView>()>;

  /// Precondition: `runtime` outlives the service, and the peer transport has
  /// not started.
  ReportService(Runtime& runtime, ViewHook view);

  /// Thread-safe; counted soon after on the control strand.
  void Record(telemetry::SeriesId series, telemetry::ServiceEvent event,
              base::Duration latency);

  /// GET /admin/report/burn: query `format=json|text|html` and objectives
  /// `availability`, `latency`, `latency_ms`, `batch_due`.
  boost::asio::awaitable<void> ServeBurn(Exchange& exchange);

 private:
  boost::asio::awaitable<telemetry::ServiceCounts> OwnCounts();

  Runtime& runtime;
  ViewHook view;
  /// Touched on the control strand only.
  std::shared_ptr<telemetry::ServiceLevels> levels;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_REPORT_SERVICE_H_
