#ifndef GYPSUMTRACK_TESTING_CONFIG_SIM_H_
#define GYPSUMTRACK_TESTING_CONFIG_SIM_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/config_message.h"
#include "gypsumtrack/policy/config_node.h"

/// Many configuration nodes in one process, in virtual time, over a network and
/// a table with faults.
namespace gypsumtrack::testing {

struct ConfigSimOptions {
  std::uint32_t domains = 3;
  std::uint32_t vms_per_domain = 4;
  std::uint64_t seed = 1;
  /// One way, in a domain and between domains; the table is as far as another
  /// domain.
  base::Duration near_delay = std::chrono::microseconds(500);
  base::Duration far_delay = std::chrono::milliseconds(20);
  /// Added to each delay, from nothing to this: messages overtake each other.
  base::Duration jitter = std::chrono::milliseconds(10);
  /// Parts in a thousand.
  std::uint32_t loss = 0;
  std::uint32_t duplicates = 0;
  /// Commits that take effect and whose answer is lost, in a thousand.
  std::uint32_t lost_answers = 0;
  /// How long the VMs' views of the fleet lag behind it.
  base::Duration membership_lag = std::chrono::milliseconds(2000);
  policy::ConfigOptions node;
  /// Whether the table checks the conditions of a commit.
  bool compare_and_set = true;
  /// Messages that the network swallows; none if not set.
  std::function<bool(const policy::ConfigMessage&)> swallow;
  /// Bytes of a message on the wire; counts nothing if not set.
  std::function<std::size_t(const policy::ConfigMessage&)> size_of;
};

struct SimTraffic {
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

struct SimTable {
  std::vector<policy::Change> log;
  std::optional<policy::ConfigState> snapshot;
  base::Revision dropped_to = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
};

/// Not thread-safe.
class ConfigSim {
 public:
  using Event = std::function<void()>;

  explicit ConfigSim(ConfigSimOptions options);

  // Commands.

  void RunUntil(base::Instant time);
  void At(base::Instant time, Event event);
  void Restart(std::size_t vm);
  /// The VM's process stands still; what arrives waits.
  void Pause(std::size_t vm, base::Duration length);
  void CutDomains(std::uint32_t a, std::uint32_t b, bool cut);
  void CutFromTable(std::uint32_t domain, bool cut);
  void SetTableDown(bool down);
  void Submit(std::size_t vm, const policy::Proposal& proposal);
  void Withdraw(std::size_t vm, const std::string& round,
                const std::string& hash);
  void QueryFleetStatus(std::size_t vm, const std::string& round);
  /// Called after each event at a VM.
  void OnStep(std::function<void(std::size_t vm)> hook);

  // Queries.

  base::Instant now() const { return this->time; }  // NOLINT
  std::size_t size() const { return this->vms.size(); }
  std::uint32_t DomainOf(std::size_t vm) const;
  const policy::ConfigNode& node(std::size_t vm) const;  // NOLINT
  /// Whether the VM would let a request with that key pass.
  bool Accepts(std::size_t vm, const std::string& hash) const;
  bool IsPaused(std::size_t vm) const;
  bool IsLinked(std::uint32_t a, std::uint32_t b) const;
  bool ReachesTable(std::uint32_t domain) const;
  /// When a cut or an outage last began or ended.
  base::Instant last_link_change() const { return this->changed_at; }  // NOLINT
  /// When the VM was last started or resumed.
  base::Instant UpSince(std::size_t vm) const;
  const SimTable& table() const { return this->store; }  // NOLINT
  /// When each revision was committed, from revision 1.
  const std::vector<base::Instant>& commit_times() const {  // NOLINT
    return this->committed_at;
  }
  const SimTraffic& traffic(std::size_t vm) const;  // NOLINT
  const std::map<std::string, policy::AppendResponse>&
  append_answers()  // NOLINT
      const {
    return this->appends;
  }
  const std::map<std::string, policy::WithdrawResponse>& withdraw_answers()
      const {  // NOLINT
    return this->withdrawals;
  }
  const std::map<std::string, policy::StatusResponse>&
  status_answers()  // NOLINT
      const {
    return this->statuses;
  }

 private:
  struct Vm {
    base::VmId id;
    std::uint32_t domain = 0;
    std::unique_ptr<policy::ConfigNode> node;
    base::Instant paused_until{};
    base::Instant up_since{};
    /// Rises with each planned wake-up: older ones do nothing.
    std::uint64_t wake = 0;
    SimTraffic traffic;
  };
  struct Queued {
    base::Instant at;
    std::uint64_t order;
    Event event;

    bool operator>(const Queued& other) const {
      return std::tie(this->at, this->order) > std::tie(other.at, other.order);
    }
  };

  /// Runs `command` at the VM, after its pause, unless it was restarted.
  void Deliver(std::size_t vm, std::uint64_t incarnation,
               std::function<policy::ConfigActions()> command);
  void Perform(std::size_t vm, policy::ConfigActions actions);
  void Send(std::size_t from, const policy::SendMessage& send);
  void Call(std::size_t vm, const policy::CallStore& call);
  policy::StoreReply Execute(const policy::StoreRequest& request);
  policy::StoreReply Commit(const policy::Change& change);
  void PlanWake(std::size_t vm);
  void PlanViews();
  policy::FleetView ViewOf(std::size_t vm) const;
  base::Duration Delay(bool near);
  bool Chance(std::uint32_t per_thousand);

  ConfigSimOptions options;
  std::mt19937_64 random;
  base::Instant time{};
  base::Instant changed_at{};
  std::uint64_t order = 0;
  std::priority_queue<Queued, std::vector<Queued>, std::greater<>> queue;
  std::vector<Vm> vms;
  std::map<std::string, std::size_t> by_name;
  std::set<std::pair<std::uint32_t, std::uint32_t>> cuts;
  std::set<std::uint32_t> table_cuts;
  bool table_down = false;
  SimTable store;
  std::vector<base::Instant> committed_at;
  std::function<void(std::size_t)> step;
  std::map<std::string, policy::AppendResponse> appends;
  std::map<std::string, policy::WithdrawResponse> withdrawals;
  std::map<std::string, policy::StatusResponse> statuses;
};

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_CONFIG_SIM_H_
