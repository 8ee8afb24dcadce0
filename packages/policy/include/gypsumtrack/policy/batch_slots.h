#ifndef GYPSUMTRACK_POLICY_BATCH_SLOTS_H_
#define GYPSUMTRACK_POLICY_BATCH_SLOTS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/batch_action.h"
#include "gypsumtrack/policy/fleet_view.h"

/// Determines how many batch items each endpoint may run beside its online
/// requests.
namespace gypsumtrack::policy {

/// Load of an endpoint, from its last report and the daemons' own counts.
struct LoadSample {
  base::EndpointId endpoint;
  /// Requests that the endpoint reported as running and as waiting.
  std::uint32_t reported_running = 0;
  std::uint32_t reported_waiting = 0;
  /// When the report was made, by this VM's clock; `Instant{}` if there is
  /// none.
  base::Instant reported_at{};
  /// Online requests of this daemon at the endpoint now.
  std::uint32_t own_online = 0;
  /// Online requests that the other daemons of the failure domain reported.
  std::uint32_t peer_online = 0;
  /// Whether the other daemons report their online requests.
  bool peers_known = false;
  /// Batch items of this daemon at the endpoint now.
  std::uint32_t own_batch = 0;
};

/// Options of BatchSlots.
struct SlotOptions {
  /// Fraction of an endpoint's slots kept free for new online requests. Batch
  /// items are stopped when fewer slots are free.
  double min_spare_fraction = 0.05;
  /// More batch items start only while at least this fraction stays free.
  double spare_fraction = 0.06;
  /// Additional slots kept free per online request at the recent peak, when the
  /// other daemons don't report their online requests.
  double burst_fraction = 0.5;
  /// Time span over which the peak of online requests is taken.
  base::Duration peak_window = std::chrono::seconds(3);
  /// An endpoint whose last report is older than this runs no batch items.
  base::Duration max_report_age = std::chrono::seconds(5);
  /// How long no batch items run after online requests had to wait.
  base::Duration yield_duration = std::chrono::milliseconds(500);
};

/// Batch slots of the endpoints that this VM owns. Each endpoint's batch slots
/// are owned by one VM of its failure domain, chosen by rendezvous hashing.
/// While VMs' views of the fleet differ, an endpoint may have two owners or
/// none. This reduces performance but not safety. Not thread-safe.
class BatchSlots {
 public:
  /// Owns no endpoint until SetFleet.
  explicit BatchSlots(SlotOptions options);

  // Commands.

  /// Updates the owned endpoints.
  void SetFleet(const FleetView& view);
  /// Records the load of an endpoint. Ignored if the endpoint isn't owned.
  void Observe(base::Instant now, const LoadSample& sample);
  /// Returns the capacity of each owned endpoint from now on.
  std::vector<BatchCapacity> Capacity(base::Instant now);

  // Queries.

  /// Returns whether this VM owns the endpoint's batch slots.
  bool Owns(const base::EndpointId& endpoint) const;
  /// Returns the peer that owns the endpoint's batch slots in this view; null
  /// if this VM owns them, or the endpoint is in another failure domain. Points
  /// into `view`. Thread-safe.
  static const PeerVm* OwnerOf(const FleetView& view, const Endpoint& endpoint);

 private:
  struct OnlinePeak {
    base::Instant at{};
    std::uint32_t online = 0;
  };
  struct BatchCountChange {
    base::Instant at{};
    std::uint32_t count = 0;
  };
  struct EndpointState {
    Endpoint endpoint;
    LoadSample last_sample;
    std::deque<OnlinePeak> online_peaks;
    std::deque<BatchCountChange> batch_counts;
    base::Instant blocked_until{};
    std::uint32_t granted_slots = 0;
    /// Online requests according to the last report.
    std::uint32_t reported_online = 0;
  };

  /// Returns the estimated number of online requests at the endpoint.
  double EstimatedOnline(const EndpointState& state) const;
  bool IsBlocked(const EndpointState& state, base::Instant now) const;
  std::uint32_t BatchCountAt(const EndpointState& state,
                             base::Instant time) const;

  SlotOptions options;
  std::map<base::EndpointId, EndpointState> owned;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_BATCH_SLOTS_H_
