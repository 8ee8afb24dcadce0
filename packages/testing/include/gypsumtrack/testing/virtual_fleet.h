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

/// Limit nodes of many daemons in one process and in virtual time, before a
/// lossy network and a table that fails on command. The same seed gives the
/// same run.
namespace gypsumtrack::testing {

/// Time since the start of a run, by a clock that no VM has.
using VirtualTime = base::Duration;

struct VirtualDomain {
  std::string name;
  std::string region;
  std::size_t vms = 1;
};

struct VirtualFleetOptions {
  std::vector<VirtualDomain> domains;
  /// One way.
  base::Duration within_domain = std::chrono::microseconds(300);
  base::Duration between_domains = std::chrono::microseconds(1500);
  base::Duration between_regions = std::chrono::milliseconds(20);
  std::string store_region;
  policy::LimitSettings settings;
  std::uint64_t seed = 1;
  /// Parts of a thousand of the messages.
  std::uint32_t lost = 0;
  std::uint32_t doubled = 0;
  /// Each message and table call may take so much longer.
  base::Duration jitter{};
  /// Parts of a thousand of the commits whose answer is lost after they took
  /// effect.
  std::uint32_t answers_lost = 0;
  /// Clocks run fast or slow by up to so many parts of a thousand.
  std::int32_t clock_drift = 0;
  /// How long a daemon needs to see that another is lost or back.
  base::Duration view_lag = std::chrono::milliseconds(1500);
  /// How long a request may wait for tokens.
  base::Duration patience = std::chrono::milliseconds(60);
};

/// A request that was decided.
struct VirtualOutcome {
  policy::LimitKey key;
  std::size_t vm = 0;
  VirtualTime asked{};
  VirtualTime decided{};
  policy::LimitDecision verdict = policy::LimitDecision::kAdmitted;
};

struct VirtualCounters {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
};

/// Not thread-safe.
class VirtualFleet {
 public:
  using Action = std::function<void()>;

  explicit VirtualFleet(VirtualFleetOptions options);

  /// Called with each request that is decided.
  std::function<void(const VirtualOutcome&)> on_outcome;
  /// Size of a message on the wire.
  std::function<std::size_t(const policy::LimitMessage&)> size_of;

  // Commands.

  /// Precondition: `at` isn't past.
  void At(VirtualTime at, Action action);
  void RunUntil(VirtualTime end);
  void SetRules(base::Revision revision,
                std::map<policy::LimitKey, policy::Limit> limits);
  void Request(std::size_t vm, const policy::LimitKey& key);
  void Crash(std::size_t vm);
  /// Another incarnation at the same address.
  void Restart(std::size_t vm);
  void Pause(std::size_t vm, VirtualTime until);
  /// Cuts a domain off from all others and, if asked, from the table.
  void CutDomain(const std::string& domain, bool from_table);
  void HealDomains();
  void SetStoreDown(bool down) { this->store_down = down; }
  void SetAnswersLost(std::uint32_t per_thousand) {
    this->options.answers_lost = per_thousand;
  }

  // Queries.

  VirtualTime now() const { return this->time; }  // NOLINT
  std::size_t size() const { return this->vms.size(); }
  bool Alive(std::size_t vm) const { return this->vms[vm].node != nullptr; }
  const std::string& DomainOf(std::size_t vm) const;
  const policy::LimitNode* Node(std::size_t vm) const;
  base::Instant LocalTime(std::size_t vm) const;
  const VirtualCounters& counters() const { return this->counts; }  // NOLINT
  const platform::MemoryPlatform& table() const {                   // NOLINT
    return this->store;
  }

 private:
  struct Vm {
    policy::LimitPeer self;
    base::Location location;
    std::unique_ptr<policy::LimitNode> node;
    std::int64_t drift = 0;
    base::Duration clock_offset{};
    VirtualTime paused_until{};
    VirtualTime ready_at{};
    VirtualTime ticks_at{};
    VirtualTime changed_at{};
    bool was_alive = true;
  };
  struct Event {
    VirtualTime at;
    std::uint64_t order;
    Action action;
    bool operator>(const Event& other) const {
      return std::pair(this->at, this->order) >
             std::pair(other.at, other.order);
    }
  };
  struct Asked {
    policy::LimitKey key;
    VirtualTime at;
  };

  void Start(std::size_t vm);
  void StartTicks(std::size_t vm, std::uint64_t incarnation);
  void RefreshViews();
  policy::FleetView ViewOf(std::size_t vm) const;
  bool SeesAlive(const Vm& other) const;
  /// Runs on a VM unless it has crashed since; later if it is paused.
  void OnVm(std::size_t vm, std::uint64_t incarnation, Action action);
  void Carry(std::size_t vm, const policy::LimitActions& actions);
  void SendMessage(std::size_t from, const policy::OutgoingLimitMessage& send);
  void CarryCommit(std::size_t vm, const policy::LimitCommit& commit);
  void CarryScan(std::size_t vm, const policy::LimitScan& scan);
  void Decide(std::size_t vm, std::uint64_t request,
              policy::LimitDecision verdict);
  void Refresh(std::size_t vm);
  base::Duration Delay(const base::Location& a, const base::Location& b);
  base::Duration StoreDelay(const Vm& vm);
  bool CanReach(const Vm& a, const Vm& b) const;
  bool CanReachStore(const Vm& vm) const;
  bool Chance(std::uint32_t per_thousand);

  VirtualFleetOptions options;
  std::mt19937_64 random;
  VirtualTime time{};
  std::uint64_t order = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::vector<Vm> vms;
  std::map<std::string, std::size_t> by_address;
  platform::MemoryPlatform store;
  bool store_down = false;
  std::set<std::string> cut;
  std::set<std::string> cut_from_table;
  VirtualTime changing_until{};
  std::uint64_t incarnations = 0;
  base::Revision revision = 0;
  std::map<policy::LimitKey, policy::Limit> limits;
  std::uint64_t last_request = 0;
  std::map<std::uint64_t, Asked> asked;
  VirtualCounters counts;
};

/// Whether admissions in rising order stay within rate x window + burst over
/// every window: a full bucket must cover them.
bool WithinLimit(const std::vector<VirtualTime>& admitted,
                 const policy::Quota& limit);

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_VIRTUAL_FLEET_H_
