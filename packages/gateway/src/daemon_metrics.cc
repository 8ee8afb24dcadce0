#include "gypsumtrack/gateway/daemon_metrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <string>

namespace gypsumtrack::gateway {
namespace {

/// A gauge that reads a counter of the peer transport.
struct TransportGauge {
  const char* name;
  const char* help;
  std::uint64_t peer::TransportCounts::*field;
};

using peer::TransportCounts;

constexpr TransportGauge kTransportGauges[] = {
    {"gypsumtrack_peer_sent_bytes", "Bytes sent to peers since start.",
     &TransportCounts::bytes_sent},
    {"gypsumtrack_peer_received_bytes", "Bytes received since start.",
     &TransportCounts::bytes_received},
    {"gypsumtrack_peer_sent_frames", "Frames sent to peers since start.",
     &TransportCounts::frames_sent},
    {"gypsumtrack_peer_replaced_connections",
     "Peer connections closed because they went silent.",
     &TransportCounts::replaced},
    {"gypsumtrack_peer_unauthenticated",
     "Peer connections closed for a wrong signature.",
     &TransportCounts::unauthenticated},
    {"gypsumtrack_peer_malformed", "Malformed peer messages dropped.",
     &TransportCounts::malformed},
    {"gypsumtrack_peer_overflowed", "Peer messages that found a full queue.",
     &TransportCounts::overflowed},
};

double CountPeers(const policy::FleetView& view, policy::PeerState state) {
  return static_cast<double>(std::count_if(
      view.peers.begin(), view.peers.end(),
      [state](const policy::PeerVm& peer) { return peer.state == state; }));
}

}  // namespace

DaemonMetrics::DaemonMetrics() {
  for (const auto& [event, name] : telemetry::kServiceEventNames.entries) {
    this->request_counters[static_cast<std::size_t>(event)] =
        &this->registry.GetCounter(
            "gypsumtrack_requests_total", fmt::format("end=\"{}\"", name),
            "Requests of organisations by how they ended.");
  }
  this->first_byte_seconds = &this->registry.GetHistogram(
      "gypsumtrack_first_byte_seconds", "",
      "Time from admission to an answer's first byte.");
}

void DaemonMetrics::Record(const RequestOutcome& outcome) {
  this->request_counters[static_cast<std::size_t>(outcome.event)]->Add();
  if (outcome.event != telemetry::ServiceEvent::kServed) return;
  this->first_byte_seconds->Record(
      std::chrono::duration<double>(outcome.first_byte).count());
}

void DaemonMetrics::AddConfig(const ConfigService& config) {
  this->registry.AddGauge(
      "gypsumtrack_revision", "", "Revision of the configuration in force.",
      [&config] { return static_cast<double>(config.InForce().revision); });
  this->registry.AddGauge(
      "gypsumtrack_table_reachable", "",
      "1 if the platform's table answered the last read.",
      [&config] { return config.InForce().table_reachable ? 1.0 : 0.0; });
  this->registry.AddGauge(
      "gypsumtrack_isolated", "",
      "1 if the failure domain hears neither platform nor other domains.",
      [&config] { return config.InForce().isolated ? 1.0 : 0.0; });
  this->registry.AddGauge(
      "gypsumtrack_pending_withdrawals", "",
      "Withdrawn keys that the table doesn't hold yet.", [&config] {
        return static_cast<double>(config.InForce().pending_withdrawals);
      });
}

void DaemonMetrics::AddFleet(
    const std::function<std::shared_ptr<const policy::FleetView>()>& view) {
  for (const auto& [state, name] : policy::kPeerStateNames.entries) {
    this->registry.AddGauge(
        "gypsumtrack_peers", fmt::format("state=\"{}\"", name),
        "Other VMs by state.",
        [view, state = state] { return CountPeers(*view(), state); });
  }
  this->registry.AddGauge(
      "gypsumtrack_endpoints", "", "Endpoints that aren't leaving.", [view] {
        const auto fleet = view();
        return static_cast<double>(
            std::count_if(fleet->endpoints.begin(), fleet->endpoints.end(),
                          [](const policy::Endpoint& endpoint) {
                            return !endpoint.draining;
                          }));
      });
}

void DaemonMetrics::AddTransport(const peer::PeerTransport& transport) {
  for (const auto& gauge : kTransportGauges) {
    this->registry.AddGauge(
        gauge.name, "", gauge.help, [&transport, field = gauge.field] {
          return static_cast<double>(transport.Counts().*field);
        });
  }
}

}  // namespace gypsumtrack::gateway
