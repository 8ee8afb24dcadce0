#ifndef GYPSUMTRACK_GATEWAY_DAEMON_METRICS_H_
#define GYPSUMTRACK_GATEWAY_DAEMON_METRICS_H_

#include <array>
#include <functional>
#include <memory>

#include "gypsumtrack/gateway/config_service.h"
#include "gypsumtrack/gateway/online_service.h"
#include "gypsumtrack/peer/peer_transport.h"
#include "gypsumtrack/policy/fleet_view.h"
#include "gypsumtrack/telemetry/metrics.h"

/// What a daemon's /metrics tells; docs/metrics.md lists the names.
namespace gypsumtrack::gateway {

class DaemonMetrics {
 public:
  DaemonMetrics();

  // Commands.

  /// Thread-safe, lock-free.
  void Record(const RequestOutcome& outcome);
  /// Before the metrics are printed for the first time; what is passed must
  /// outlive this object. The gauges are read when the metrics are printed.
  void AddConfig(const ConfigService& config);
  void AddFleet(
      const std::function<std::shared_ptr<const policy::FleetView>()>& view);
  void AddTransport(const peer::PeerTransport& transport);

  // Queries.

  /// In the Prometheus text format. Thread-safe.
  std::string Format() const { return this->registry.FormatPrometheus(); }

 private:
  telemetry::Registry registry;
  std::array<telemetry::Counter*, telemetry::kServiceEventCount> events{};
  telemetry::LatencyHistogram* first_byte = nullptr;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_DAEMON_METRICS_H_
