#ifndef GYPSUMTRACK_TESTING_MEMBERSHIP_FLEET_H_
#define GYPSUMTRACK_TESTING_MEMBERSHIP_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/membership.h"

/// Simulates many Membership objects in virtual time, with a network that loses
/// and delays messages and a platform list that lags behind the fleet.
namespace gypsumtrack::testing {

/// Size, delays and loss of a simulated fleet.
struct MembershipFleetOptions {
  int domains = 3;
  int daemons_per_domain = 4;
  policy::MembershipOptions membership;
  std::uint64_t seed = 1;
  double loss_probability = 0;
  base::Duration intra_domain_delay = std::chrono::milliseconds(2);
  base::Duration inter_domain_delay = std::chrono::milliseconds(20);
  base::Duration platform_list_period = std::chrono::seconds(1);
  base::Duration platform_list_lag = std::chrono::seconds(10);
};

/// Messages and bytes sent by one daemon.
struct MembershipTraffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

/// A discrete-event simulation of the daemons of a fleet. Not thread-safe.
class MembershipFleet {
 public:
  /// Returns the encoded size of a message in bytes, without TCP and IP
  /// headers.
  using MessageSize =
      std::function<std::size_t(const policy::MembershipMessage&)>;

  /// Starts all daemons, each within the first second of virtual time.
  explicit MembershipFleet(const MembershipFleetOptions& options,
                           MessageSize message_size = nullptr);

  // Commands.

  /// Runs all events of the given span and advances the clock by it.
  void Run(base::Duration time);
  /// Runs until the condition holds or `limit` has passed; returns the elapsed
  /// virtual time.
  base::Duration RunUntil(const std::function<bool()>& condition,
                          base::Duration limit);
  /// Stops the process without notice.
  void Kill(const std::string& name);
  /// Starts a new process with the same name and address and a later
  /// incarnation.
  void Restart(const std::string& name);
  /// Suspends the process; messages to it are delivered when it resumes.
  void Pause(const std::string& name, base::Duration time);
  /// Lets the daemon announce to its peers that it is shutting down.
  void AnnounceShutdown(const std::string& name);
  /// Drops messages between `one_side` and the other daemons until
  /// EndPartition. The daemons of `one_side` also lose access to the platform
  /// list.
  void Partition(const std::set<std::string>& one_side);
  /// Ends the partition.
  void EndPartition();
  /// Makes the platform list fail for all daemons, or ends the outage.
  void SetPlatformDown(bool down);
  /// Resets the traffic counters of all daemons.
  void ResetTraffic();
  /// Delivers an outdated update about a daemon to `to`.
  void ReplayOldUpdate(const std::string& to,
                       const policy::MemberUpdate& about);

  // Queries.

  /// The current virtual time.
  base::Instant Now() const;
  /// Names of all daemons, in order.
  std::vector<std::string> Names() const;
  /// Names of the daemons that have not been killed, in order.
  std::vector<std::string> Alive() const;
  /// Name and current incarnation of a daemon.
  base::VmId IdOf(const std::string& name) const;
  /// An update that describes the daemon as it is now.
  policy::MemberUpdate CurrentUpdateOf(const std::string& name) const;
  /// The state that `by` holds `of` to be in.
  policy::PeerState StateObserved(const std::string& by,
                                  const std::string& of) const;
  /// The fleet as the daemon sees it.
  policy::FleetView ViewOf(const std::string& name) const;
  /// Whether all other running daemons of the domain, or of the fleet if it is
  /// empty, hold `of` to be in that state.
  bool AllObserve(const std::string& domain, const std::string& of,
                  policy::PeerState state) const;
  /// Name of the failure domain of a daemon.
  std::string DomainOf(const std::string& name) const;
  /// What the daemon has sent since the last ResetTraffic.
  MembershipTraffic TrafficOf(const std::string& name) const;

 private:
  /// A simulated daemon and its network state.
  struct Daemon {
    base::VmId id;
    std::string address;
    base::Location location;
    std::unique_ptr<policy::Membership> membership;
    bool alive = true;
    base::Instant paused_until = base::Instant::min();
    MembershipTraffic traffic;
  };
  /// An event in the queue; ties in time run in order of insertion.
  struct Event {
    base::Instant at;
    std::uint64_t sequence;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(this->at, this->sequence) >
             std::tie(other.at, other.sequence);
    }
  };

  /// Schedules `run` for the time `when`.
  void At(base::Instant when, std::function<void()> run);
  /// Starts a process with a new incarnation; its first tick is due in `after`.
  void StartDaemon(const std::string& name, base::Duration after);
  /// Ticks the daemon and schedules its next tick while it runs.
  void TickLoop(const std::string& name, std::uint64_t incarnation);
  /// Gives the platform list to the daemon once per period while it runs.
  void ListLoop(const std::string& name, std::uint64_t incarnation);
  /// Carries out the actions that a Membership returned.
  void PerformActions(const std::string& from,
                      const policy::MembershipActions& actions);
  /// Sends a ping and reports its acknowledgement, or failure at the deadline.
  void SendPing(const std::string& from, const policy::PingAction& ping);
  /// Sends a sync request and delivers its reply.
  void SendSync(const std::string& from, const policy::SyncAction& sync);
  /// Delivers a message by calling `run` with the receiver, unless the message
  /// is lost or the receiver has stopped or restarted.
  void Deliver(const std::string& from, const std::string& to,
               std::function<void(Daemon&)> run);
  /// Counts a message in the traffic of its sender.
  void Count(const std::string& from, const policy::MembershipMessage& message);
  /// Whether that incarnation of the daemon is alive.
  bool IsRunning(const std::string& name, std::uint64_t incarnation) const;
  /// Name of the daemon with the address; empty if there is none.
  std::string FindByAddress(const std::string& address) const;
  /// Whether a partition or random loss drops a message.
  bool DrawLoss(const std::string& from, const std::string& to);
  /// Draws the next random number.
  std::uint64_t Random();
  /// Records the list of alive daemons as of now.
  void RecordPlatformList();
  /// The latest recorded list that is at least `platform_list_lag` old.
  std::vector<base::ListedVm> DelayedPlatformList() const;

  MembershipFleetOptions options;
  MessageSize message_size;
  std::uint64_t random_state;
  std::uint64_t next_incarnation = 1000;
  std::uint64_t next_event = 0;
  base::Instant now{};
  std::priority_queue<Event> events;
  std::map<std::string, Daemon> daemons;
  std::set<std::string> partitioned;
  bool platform_down = false;
  std::vector<std::pair<base::Instant, std::vector<base::ListedVm>>>
      platform_lists;
};

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_MEMBERSHIP_FLEET_H_
