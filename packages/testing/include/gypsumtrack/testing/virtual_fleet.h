#ifndef GYPSUMTRACK_TESTING_VIRTUAL_FLEET_H_
#define GYPSUMTRACK_TESTING_VIRTUAL_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gypsumtrack/platform/memory_platform.h"
#include "gypsumtrack/policy/limit_node.h"

/// Simulates the limit nodes of many daemons in one process and in virtual
/// time, with a lossy network and a table that fails on command. The same seed
/// gives the same run.
namespace gypsumtrack::testing {

/// Simulated time since the start of a run, independent of the VMs' clocks.
using VirtualTime = base::Duration;

/// A failure domain with its region and number of VMs.
struct VirtualDomain {
  std::string name;
  std::string region;
  std::size_t vms = 1;
};

/// Topology, delays, fault rates and seed of a VirtualFleet.
struct VirtualFleetOptions {
  std::vector<VirtualDomain> domains;
  /// One-way network delays.
  base::Duration within_domain_delay = std::chrono::microseconds(300);
  base::Duration between_domains_delay = std::chrono::microseconds(1500);
  base::Duration between_regions_delay = std::chrono::milliseconds(20);
  std::string store_region;
  policy::LimitSettings settings;
  std::uint64_t seed = 1;
  /// Messages per thousand that are lost or duplicated.
  std::uint32_t lost_per_thousand = 0;
  std::uint32_t duplicated_per_thousand = 0;
  /// Upper bound of the random delay added to each message and table call.
  base::Duration jitter{};
  /// Commits per thousand whose response is lost after they took effect.
  std::uint32_t lost_responses_per_thousand = 0;
  /// Maximum deviation of a clock's rate in either direction, per thousand.
  std::int32_t max_clock_drift_per_thousand = 0;
  /// Time until a daemon detects that another has stopped or recovered.
  base::Duration view_lag = std::chrono::milliseconds(1500);
  /// Maximum time that a request waits for tokens.
  base::Duration requested_timeout = std::chrono::milliseconds(60);
};

/// The decision on a request and the times of both.
struct VirtualOutcome {
  policy::LimitKey key;
  std::size_t vm = 0;
  VirtualTime requested{};
  VirtualTime decided{};
  policy::LimitDecision decision = policy::LimitDecision::kAdmitted;
};

/// Network and table traffic since the start of a run.
struct VirtualCounters {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
};

/// Event-driven simulation of limit nodes. Not thread-safe.
class VirtualFleet {
 public:
  /// A scheduled function.
  using Action = std::function<void()>;

  /// Starts all VMs.
  explicit VirtualFleet(VirtualFleetOptions options);

  /// Called when a request has been decided.
  std::function<void(const VirtualOutcome&)> on_outcome;
  /// Returns the size of a message on the wire, without its envelope. If unset,
  /// bytes aren't counted.
  std::function<std::size_t(const policy::LimitMessage&)> size_of;

  // Commands.

  /// Schedules an action. Precondition: `at` isn't in the past.
  void At(VirtualTime at, Action action);
  /// Runs all events up to and including `end`.
  void RunUntil(VirtualTime end);
  /// Sends new rules to each VM after a random delay.
  void SetRules(base::Revision revision,
                std::map<policy::LimitKey, policy::Limit> limits);
  /// Requests admission of one request on the VM.
  void Request(std::size_t vm, const policy::LimitKey& key);
  /// Ends the VM's process.
  void Crash(std::size_t vm);
  /// Starts a new incarnation at the same address.
  void Restart(std::size_t vm);
  /// Suspends the VM until the given time while its clock continues.
  void Pause(std::size_t vm, VirtualTime until);
  /// Disconnects a domain from all others and, if `from_table`, from the table.
  void IsolateDomain(const std::string& domain, bool from_table);
  /// Reconnects all domains to each other and to the table.
  void ReconnectDomains();
  /// Makes the table unreachable for all VMs, or reachable again.
  void SetStoreDown(bool down) { this->store_down = down; }
  /// Sets how many commits per thousand lose their response.
  void SetLostResponses(std::uint32_t per_thousand) {
    this->options.lost_responses_per_thousand = per_thousand;
  }

  // Queries.

  /// Returns the current simulated time.
  VirtualTime now() const { return this->time; }  // NOLINT
  /// Returns the number of VMs.
  std::size_t size() const { return this->vms.size(); }
  /// Returns whether the VM's process runs.
  bool Alive(std::size_t vm) const { return this->vms[vm].node != nullptr; }
  /// Returns the failure domain of the VM.
  const std::string& DomainOf(std::size_t vm) const;
  /// Returns the limit node of the VM, or null after a crash.
  const policy::LimitNode* Node(std::size_t vm) const;
  /// Returns the time by the VM's own drifting clock.
  base::Instant LocalTime(std::size_t vm) const;
  /// Returns the traffic so far.
  const VirtualCounters& counters() const {  // NOLINT
    return this->counter_values;
  }
  /// Returns the table that all VMs share.
  const platform::MemoryPlatform& table() const {  // NOLINT
    return this->store;
  }

 private:
  /// A VM with its clock, faults and node.
  struct Vm {
    policy::LimitPeer self;
    base::Location location;
    std::unique_ptr<policy::LimitNode> node;
    std::int64_t drift = 0;
    base::Duration clock_offset{};
    VirtualTime paused_until{};
    VirtualTime ready_at{};
    VirtualTime ticks_at{};
    VirtualTime liveness_changed_at{};
    bool alive_before_change = true;
  };
  /// A scheduled action; events at the same time run in order of `sequence`.
  struct Event {
    VirtualTime at;
    std::uint64_t sequence;
    Action action;
    bool operator>(const Event& other) const {
      return std::pair(this->at, this->sequence) >
             std::pair(other.at, other.sequence);
    }
  };
  /// A request without a decision yet.
  struct PendingRequest {
    policy::LimitKey key;
    VirtualTime at;
  };

  /// Starts a new incarnation with a new clock.
  void Start(std::size_t vm);
  /// Ticks the node and schedules the next tick.
  void RunTick(std::size_t vm, std::uint64_t incarnation);
  /// Refreshes the views of all VMs periodically while they may change.
  void RefreshViews();
  /// Returns the fleet as the VM sees it.
  policy::FleetView BuildView(std::size_t vm) const;
  /// Returns whether other VMs see `other` as alive, after the view lag.
  bool AppearsAlive(const Vm& other) const;
  /// Runs an action on the VM once it isn't paused. Drops the action if that
  /// incarnation has ended.
  void RunOnVm(std::size_t vm, std::uint64_t incarnation, Action action);
  /// Executes the actions that the node has requested.
  void ExecuteActions(std::size_t vm, const policy::LimitActions& actions);
  /// Delivers a message to a peer, subject to loss and duplication.
  void SendMessage(std::size_t from, const policy::OutgoingLimitMessage& send);
  /// Commits to the table and delivers the response.
  void ExecuteCommit(std::size_t vm, const policy::LimitCommit& commit);
  /// Scans the table and delivers the response.
  void ExecuteScan(std::size_t vm, const policy::LimitScan& scan);
  /// Passes the decision on a pending request to `on_outcome`.
  void RecordDecision(std::size_t vm, std::uint64_t request,
                      policy::LimitDecision decision);
  /// Passes the current view of the fleet to the VM's node.
  void RefreshView(std::size_t vm);
  /// Returns the one-way delay between two locations, with jitter.
  base::Duration NetworkDelay(const base::Location& a, const base::Location& b);
  /// Returns the one-way delay between the VM and the table.
  base::Duration StoreNetworkDelay(const Vm& vm);
  /// Returns whether two VMs can exchange messages.
  bool CanReach(const Vm& a, const Vm& b) const;
  /// Returns whether the VM can reach the table.
  bool CanReachStore(const Vm& vm) const;
  /// Returns true in `per_thousand` of a thousand cases.
  bool RandomEvent(std::uint32_t per_thousand);

  VirtualFleetOptions options;
  std::mt19937_64 random;
  VirtualTime time{};
  std::uint64_t sequence = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::vector<Vm> vms;
  std::map<std::string, std::size_t> vm_by_address;
  platform::MemoryPlatform store;
  bool store_down = false;
  std::set<std::string> isolated_domains;
  std::set<std::string> domains_without_table;
  VirtualTime views_change_until{};
  std::uint64_t last_incarnation = 0;
  base::Revision revision = 0;
  std::map<policy::LimitKey, policy::Limit> limits;
  std::uint64_t last_request = 0;
  std::map<std::uint64_t, PendingRequest> pending_requests;
  VirtualCounters counter_values;
};

/// Returns whether admissions in ascending order stay within rate x window +
/// burst over every window, checked with a token bucket that starts full.
bool WithinLimit(const std::vector<VirtualTime>& admitted,
                 const policy::Quota& limit);

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_VIRTUAL_FLEET_H_
