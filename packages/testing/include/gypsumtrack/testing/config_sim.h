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

/// Simulates many configuration nodes in one process, in virtual time, with an
/// unreliable network and store.
namespace gypsumtrack::testing {

/// Size, delays and fault rates of a simulation.
struct ConfigSimOptions {
  std::uint32_t domains = 3;
  std::uint32_t vms_per_domain = 4;
  std::uint64_t seed = 1;
  /// One-way delays within a failure domain and between domains. Calls to the
  /// store take the delay between domains.
  base::Duration intra_domain_delay = std::chrono::microseconds(500);
  base::Duration inter_domain_delay = std::chrono::milliseconds(20);
  /// Exclusive upper bound of the random time added to each delay, which lets
  /// messages arrive out of order.
  base::Duration jitter = std::chrono::milliseconds(10);
  /// Messages lost and messages delivered twice, per thousand.
  std::uint32_t loss = 0;
  std::uint32_t duplicates = 0;
  /// Commits that take effect but whose response is lost, per thousand.
  std::uint32_t lost_commit_responses = 0;
  /// Delay until the VMs' views of the fleet reflect a change.
  base::Duration membership_lag = std::chrono::milliseconds(2000);
  policy::ConfigOptions node;
  /// Whether the store rejects a commit whose expected head has moved.
  bool compare_and_set = true;
  /// Selects messages that the network drops; none if not set.
  std::function<bool(const policy::ConfigMessage&)> drop_message;
  /// Returns the encoded size of a message in bytes; bytes are not counted if
  /// not set.
  std::function<std::size_t(const policy::ConfigMessage&)> message_size;
};

/// Messages and bytes sent and received by one VM.
struct SimTraffic {
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

/// Contents of the simulated store and the number of calls to it.
struct SimStore {
  std::vector<policy::Change> log;
  std::optional<policy::ConfigState> snapshot;
  base::Revision dropped_to = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
};

/// A discrete-event simulation of a fleet of configuration nodes. Not
/// thread-safe.
class ConfigSim {
 public:
  /// Code that runs at a point in virtual time.
  using Event = std::function<void()>;

  /// Starts all VMs at the start of virtual time.
  explicit ConfigSim(ConfigSimOptions options);

  // Commands.

  /// Runs all events up to `time` and advances the clock to it.
  void RunUntil(base::Instant time);
  /// Schedules an event; a time in the past means now.
  void At(base::Instant time, Event event);
  /// Replaces the VM's node by an empty one with the next incarnation.
  void Restart(std::size_t vm);
  /// Suspends the VM's process; messages to it are delivered when it resumes.
  void Pause(std::size_t vm, base::Duration length);
  /// Starts or ends a network partition between two domains.
  void SetDomainsPartitioned(std::uint32_t a, std::uint32_t b,
                             bool partitioned);
  /// Starts or ends a partition between a domain and the store.
  void SetStorePartitioned(std::uint32_t domain, bool partitioned);
  /// Starts or ends an outage of the store.
  void SetStoreDown(bool down);
  /// Submits a proposal to the VM.
  void Submit(std::size_t vm, const policy::Proposal& proposal);
  /// Withdraws the key with that hash through the VM.
  void Withdraw(std::size_t vm, const std::string& round,
                const std::string& hash);
  /// Starts a status query at the VM; the response is kept under `round`.
  void QueryFleetStatus(std::size_t vm, const std::string& round);
  /// Sets a function to call after each event at a VM.
  void SetStepHook(std::function<void(std::size_t vm)> hook);

  // Queries.

  /// The current virtual time.
  base::Instant now() const { return this->time; }  // NOLINT
  /// The number of VMs.
  std::size_t size() const { return this->vms.size(); }
  /// The index of the failure domain of the VM.
  std::uint32_t DomainOf(std::size_t vm) const;
  /// The node that runs on the VM.
  const policy::ConfigNode& node(std::size_t vm) const;  // NOLINT
  /// Whether the VM accepts requests with the key of that hash.
  bool Accepts(std::size_t vm, const std::string& hash) const;
  /// Whether the VM is paused now.
  bool IsPaused(std::size_t vm) const;
  /// Whether messages pass between the two domains.
  bool IsLinked(std::uint32_t a, std::uint32_t b) const;
  /// Whether calls from the domain reach the store.
  bool ReachesStore(std::uint32_t domain) const;
  /// When a network partition or store outage last began or ended.
  base::Instant last_link_change() const {  // NOLINT
    return this->link_changed_at;
  }
  /// When the VM was last started or resumed.
  base::Instant RunningSince(std::size_t vm) const;
  /// The contents of the store.
  const SimStore& store() const { return this->stored; }  // NOLINT
  /// When each revision was committed, from revision 1.
  const std::vector<base::Instant>& commit_times() const {  // NOLINT
    return this->committed_at;
  }
  /// The traffic of the VM since the start, restarts included.
  const SimTraffic& traffic(std::size_t vm) const;  // NOLINT
  /// Responses to proposals by operation id.
  const std::map<std::string, policy::AppendResponse>&
  append_responses()  // NOLINT
      const {
    return this->appends;
  }
  /// Responses to withdrawals by round.
  const std::map<std::string, policy::WithdrawResponse>& withdraw_responses()
      const {  // NOLINT
    return this->withdrawals;
  }
  /// Responses to status queries by round.
  const std::map<std::string, policy::StatusResponse>&
  status_responses()  // NOLINT
      const {
    return this->statuses;
  }

 private:
  /// A simulated VM.
  struct Vm {
    base::VmId id;
    std::uint32_t domain = 0;
    std::unique_ptr<policy::ConfigNode> node;
    base::Instant paused_until{};
    base::Instant running_since{};
    /// Incremented for each scheduled wake-up, which cancels earlier ones.
    std::uint64_t wake_generation = 0;
    SimTraffic traffic;
  };
  /// An event in the queue; ties in time run in order of insertion.
  struct QueuedEvent {
    base::Instant at;
    std::uint64_t sequence;
    Event event;

    bool operator>(const QueuedEvent& other) const {
      return std::tie(this->at, this->sequence) >
             std::tie(other.at, other.sequence);
    }
  };

  /// Runs `command` on the VM once it is not paused, unless it has restarted.
  void Deliver(std::size_t vm, std::uint64_t incarnation,
               std::function<policy::ConfigActions()> command);
  /// Carries out the actions that a node returned.
  void PerformActions(std::size_t vm, policy::ConfigActions actions);
  /// Sends a message over the simulated network.
  void Send(std::size_t from, const policy::SendMessage& send);
  /// Sends a request to the store and schedules its reply.
  void PerformStoreCall(std::size_t vm, const policy::CallStore& call);
  /// Executes a request at the store.
  policy::StoreReply Execute(const policy::StoreRequest& request);
  /// Appends a change to the log; repeating a commit succeeds.
  policy::StoreReply Commit(const policy::Change& change);
  /// Schedules the next timer of the VM's node.
  void ScheduleWake(std::size_t vm);
  /// Schedules an update of the fleet view of all VMs.
  void ScheduleViewUpdates();
  /// The fleet as the VM sees it: peers behind a partition are suspect.
  policy::FleetView ViewOf(std::size_t vm) const;
  /// Draws the one-way delay of a message.
  base::Duration Delay(bool same_domain);
  /// Draws true with the given probability; draws nothing if it is 0.
  bool BernoulliDraw(std::uint32_t per_thousand);

  ConfigSimOptions options;
  std::mt19937_64 random;
  base::Instant time{};
  base::Instant link_changed_at{};
  std::uint64_t sequence = 0;
  std::priority_queue<QueuedEvent, std::vector<QueuedEvent>, std::greater<>>
      queue;
  std::vector<Vm> vms;
  std::map<std::string, std::size_t> index_by_name;
  std::set<std::pair<std::uint32_t, std::uint32_t>> partitions;
  std::set<std::uint32_t> store_partitions;
  bool store_down = false;
  SimStore stored;
  std::vector<base::Instant> committed_at;
  std::function<void(std::size_t)> step_hook;
  std::map<std::string, policy::AppendResponse> appends;
  std::map<std::string, policy::WithdrawResponse> withdrawals;
  std::map<std::string, policy::StatusResponse> statuses;
};

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_CONFIG_SIM_H_
