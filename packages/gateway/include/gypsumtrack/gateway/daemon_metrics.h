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

/// Metrics of a daemon's /metrics route; docs/metrics.md lists them.
namespace gypsumtrack::gateway {

/// Counters and gauges of a daemon.
class DaemonMetrics {
 public:
  /// Registers the request counters and the latency histogram.
  DaemonMetrics();

  // Commands.

  /// Counts a request's outcome. Thread-safe, lock-free.
  void Record(const RequestOutcome& outcome);
  /// Adds gauges of the configuration, which are read at each Format.
  /// Preconditions: no Format yet; `config` outlives this object.
  void AddConfig(const ConfigService& config);
  /// Adds gauges of peers and endpoints. Precondition: no Format yet.
  void AddFleet(
      const std::function<std::shared_ptr<const policy::FleetView>()>& view);
  /// Adds gauges of the peer transport. Preconditions: no Format yet;
  /// `transport` outlives this object.
  void AddTransport(const peer::PeerTransport& transport);

  // Queries.

  /// Returns all metrics in the Prometheus text format. Thread-safe.
  std::string Format() const { return this->registry.FormatPrometheus(); }

 private:
  telemetry::Registry registry;
  std::array<telemetry::Counter*, telemetry::kServiceEventCount>
      request_counters{};
  telemetry::LatencyHistogram* first_byte_seconds = nullptr;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_DAEMON_METRICS_H_
