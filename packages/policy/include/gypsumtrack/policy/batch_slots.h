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

/// How many batch items each endpoint may run beside its online requests.
namespace gypsumtrack::policy {

/// An endpoint's load as this daemon last heard or saw it.
struct LoadSample {
  base::EndpointId endpoint;
  /// Requests that the endpoint reported as running and as waiting.
  std::uint32_t reported_running = 0;
  std::uint32_t reported_waiting = 0;
  /// When the report was made, by this VM's clock; `Instant{}` if never.
  base::Instant reported_at{};
  /// Requests of this daemon at the endpoint now.
  std::uint32_t own_online = 0;
  /// Requests of the other daemons of the domain, if they tell.
  std::uint32_t peer_online = 0;
  bool peers_known = false;
  std::uint32_t own_batch = 0;
};

struct SlotOptions {
  /// Part of an endpoint's slots kept free for the next online requests: batch
  /// is stopped when fewer are free, and takes more when this many still are.
  double min_spare_fraction = 0.05;
  double spare_fraction = 0.06;
  /// Room beside, for each online request that was seen in the window and that
  /// the other daemons didn't tell of.
  double burst_room = 0.5;
  /// How long a peak of online requests is remembered when others don't tell.
  base::Duration window = std::chrono::seconds(3);
  /// A report older than this counts as a busy endpoint.
  base::Duration report_lapse = std::chrono::seconds(5);
  /// How long batch stays away after online requests had to wait.
  base::Duration hold = std::chrono::milliseconds(500);
};

/// Each endpoint's batch slots belong to one VM of its domain. A wrong view of
/// the fleet gives an endpoint two owners or none for a while, which costs
/// speed and never safety. Not thread-safe.
class BatchSlots {
 public:
  explicit BatchSlots(SlotOptions options);

  // Commands.

  void SetFleet(const FleetView& view);
  void Observe(base::Instant now, const LoadSample& sample);
  /// What each owned endpoint may run from now on.
  std::vector<BatchCapacity> Capacity(base::Instant now);

  // Queries.

  bool Owns(const base::EndpointId& endpoint) const;
  /// The peer that owns the endpoint's batch slots in this view; null if it is
  /// this VM, or the endpoint is of another domain.
  static const PeerVm* OwnerOf(const FleetView& view, const Endpoint& endpoint);

 private:
  struct Peak {
    base::Instant at{};
    std::uint32_t online = 0;
  };
  struct BatchCount {
    base::Instant at{};
    std::uint32_t count = 0;
  };
  struct State {
    Endpoint endpoint;
    LoadSample last;
    std::deque<Peak> peaks;
    std::deque<BatchCount> batch_before;
    base::Instant held_until{};
    std::uint32_t granted = 0;
    /// Online requests by the newest report.
    std::uint32_t reported_online = 0;
  };

  /// Online requests that the endpoint must be thought to have.
  double Online(const State& state) const;
  bool Blocked(const State& state, base::Instant now) const;
  std::uint32_t BatchAt(const State& state, base::Instant when) const;

  SlotOptions options;
  std::map<base::EndpointId, State> owned;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_BATCH_SLOTS_H_
