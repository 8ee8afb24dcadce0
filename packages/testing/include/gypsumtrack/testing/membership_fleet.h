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

/// Many Membership objects in virtual time over a network that loses and
/// delays, with a platform list that lags.
namespace gypsumtrack::testing {

struct MembershipFleetOptions {
  int domains = 3;
  int daemons_per_domain = 4;
  policy::MembershipOptions membership;
  std::uint64_t seed = 1;
  double loss = 0;
  base::Duration delay = std::chrono::milliseconds(2);
  base::Duration domain_delay = std::chrono::milliseconds(20);
  base::Duration list_period = std::chrono::seconds(1);
  base::Duration list_lag = std::chrono::seconds(10);
};

struct MembershipTraffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

class MembershipFleet {
 public:
  /// Size on the wire of a message, without TCP and IP headers.
  using Measure = std::function<std::size_t(const policy::MembershipMessage&)>;

  explicit MembershipFleet(const MembershipFleetOptions& options,
                           Measure measure = nullptr);

  // Commands.

  void Run(base::Duration time);
  /// Runs until the condition holds or the time is over; the time it took.
  base::Duration RunUntil(const std::function<bool()>& condition,
                          base::Duration limit);
  void Kill(const std::string& name);
  /// A new process of the same name and address, with a later incarnation.
  void Restart(const std::string& name);
  void Pause(const std::string& name, base::Duration time);
  void Leave(const std::string& name);
  /// Messages between the two groups are lost until Heal.
  void Cut(const std::set<std::string>& one_side);
  void Heal();
  void SetPlatformDown(bool down);
  void ResetTraffic();
  /// Repeats to `to` what was once true of `about`.
  void ReplayOldUpdate(const std::string& to,
                       const policy::MemberUpdate& about);

  // Queries.

  base::Instant Now() const;
  std::vector<std::string> Names() const;
  std::vector<std::string> Alive() const;
  base::VmId IdOf(const std::string& name) const;
  policy::MemberUpdate TruthOf(const std::string& name) const;
  policy::PeerState StateSeen(const std::string& by,
                              const std::string& of) const;
  policy::FleetView ViewOf(const std::string& name) const;
  /// Whether every running daemon of the domain sees `of` so.
  bool AllSee(const std::string& domain, const std::string& of,
              policy::PeerState state) const;
  std::string DomainOf(const std::string& name) const;
  MembershipTraffic TrafficOf(const std::string& name) const;

 private:
  struct Daemon {
    base::VmId id;
    std::string address;
    base::Location location;
    std::unique_ptr<policy::Membership> membership;
    bool alive = true;
    base::Instant paused_until = base::Instant::min();
    MembershipTraffic traffic;
  };
  struct Event {
    base::Instant at;
    std::uint64_t number;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(this->at, this->number) >
             std::tie(other.at, other.number);
    }
  };

  void At(base::Instant when, std::function<void()> run);
  void Boot(const std::string& name, base::Duration after);
  void TickLoop(const std::string& name, std::uint64_t incarnation);
  void ListLoop(const std::string& name, std::uint64_t incarnation);
  void Perform(const std::string& from,
               const policy::MembershipActions& actions);
  void SendPing(const std::string& from, const policy::PingAction& ping);
  void SendSync(const std::string& from, const policy::SyncAction& sync);
  /// Runs `run` at `to` if the message arrives and the incarnation still runs.
  void Deliver(const std::string& from, const std::string& to,
               std::function<void(Daemon&)> run);
  void Count(const std::string& from, const policy::MembershipMessage& message);
  bool Runs(const std::string& name, std::uint64_t incarnation) const;
  std::string ByAddress(const std::string& address) const;
  bool Lost(const std::string& from, const std::string& to);
  std::uint64_t Random();
  void RecordList();
  std::vector<base::ListedVm> LaggingList() const;

  MembershipFleetOptions options;
  Measure measure;
  std::uint64_t random_state;
  std::uint64_t next_incarnation = 1000;
  std::uint64_t next_event = 0;
  base::Instant now{};
  std::priority_queue<Event> events;
  std::map<std::string, Daemon> daemons;
  std::set<std::string> cut;
  bool platform_down = false;
  std::vector<std::pair<base::Instant, std::vector<base::ListedVm>>> lists;
};

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_MEMBERSHIP_FLEET_H_
