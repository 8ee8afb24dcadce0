#ifndef GYPSUMTRACK_TESTING_BATCH_WORLD_H_
#define GYPSUMTRACK_TESTING_BATCH_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "gypsumtrack/base/time.h"
#include "gypsumtrack/platform/memory_platform.h"
#include "gypsumtrack/policy/batch_node.h"

/// Simulates batch nodes on several VMs, their endpoints and a faulty platform
/// in virtual time.
namespace gypsumtrack::testing {

/// Size, seed and fault rates of a BatchSimulation.
struct BatchSimulationOptions {
  std::uint32_t vms = 3;
  std::uint32_t endpoints = 3;
  std::uint32_t slots = 4;
  std::uint64_t seed = 1;
  /// Probabilities that the request or the response of a store call is lost.
  double lost_requests = 0;
  double lost_responses = 0;
  policy::BatchOptions batch;
  base::Duration max_item_duration = std::chrono::milliseconds(400);
};

/// A job submitted by a test, with its input lines.
struct SubmittedJob {
  policy::BatchJob job;
  std::vector<std::string> lines;
};

/// An attempt to run an item on an endpoint.
struct ItemAttempt {
  base::Instant at{};
  std::size_t vm = 0;
  std::string uid;
  std::uint32_t chunk = 0;
  std::uint32_t item = 0;
  policy::ItemOutcome outcome = policy::ItemOutcome::kEndpointFailed;
  /// Whether the VM could reach the table directly or through a peer.
  bool connected = true;
};

/// An item whose line contains this text takes its endpoint down.
inline constexpr std::string_view kPoisonMarker = "poison";
/// An item whose line contains this text is rejected by every endpoint.
inline constexpr std::string_view kRejectedMarker = "bad";

/// Event-driven simulation of batch processing. Not thread-safe; the same seed
/// gives the same run.
class BatchSimulation {
 public:
  /// Starts all VMs.
  explicit BatchSimulation(BatchSimulationOptions options);

  // Commands.

  /// Accepts a job of `lines`, split into chunks of `chunk_items`.
  SubmittedJob Submit(const std::string& organisation, const std::string& id,
                      std::vector<std::string> lines, std::uint32_t chunk_items,
                      bool idempotent = true);
  /// Runs all events of the next `duration`.
  void RunFor(base::Duration duration);
  /// Runs until all jobs have ended or `timeout` has passed. Returns whether
  /// all jobs have ended.
  bool RunUntilEnded(base::Duration timeout);
  /// Ends the VM's process; a new incarnation starts after `delay`.
  void CrashVm(std::size_t vm, base::Duration delay);
  /// Suspends the VM for `duration` while its clock continues.
  void PauseVm(std::size_t vm, base::Duration duration);
  /// Disconnects the VM from the table, and from its peers if `from_peers`, or
  /// reconnects it to both.
  void SetPartition(std::size_t vm, bool enabled, bool from_peers);
  /// Fails the items running on the endpoint and refuses new ones for
  /// `duration`.
  void FailEndpoint(std::size_t endpoint, base::Duration duration);
  /// Sets whether the endpoint accepts items but fails each of them.
  void SetEndpointFailing(std::size_t endpoint, bool failing);
  /// Sets the number of slots of each endpoint.
  void SetSlots(std::uint32_t slots);
  /// Makes the VM start no more items and return its unfinished chunks.
  void DrainVm(std::size_t vm);
  /// Cancels the job through the VM. The returned flag becomes true when the
  /// cancellation is acknowledged.
  std::shared_ptr<bool> Cancel(std::size_t vm, const SubmittedJob& job);
  /// Schedules `run` after the given delay.
  void At(base::Duration after, std::function<void()> run);

  // Queries.

  /// Returns the current simulated time.
  base::Instant now() const { return this->time; }  // NOLINT
  /// Returns all attempts in the order of their start.
  const std::vector<ItemAttempt>& attempts() const {  // NOLINT
    return this->recorded_attempts;
  }
  /// Returns the state of a job by its row in the table.
  policy::JobState JobStateOf(const SubmittedJob& job) const;
  /// Returns the result rows of a job by chunk.
  std::map<std::uint32_t, policy::ResultRow> ResultRows(
      const SubmittedJob& job) const;
  /// Returns the recorded results of a job by item number in the job. Chunks
  /// whose result object is missing are omitted.
  std::map<std::uint64_t, policy::ItemResult> Results(
      const SubmittedJob& job) const;
  /// Returns the batch node of a live VM.
  const policy::BatchNode& node(std::size_t vm) const;  // NOLINT
  /// Returns whether the VM reaches the table directly or through a live peer.
  bool IsConnected(std::size_t vm) const;
  /// Returns whether the VM's process runs.
  bool IsAlive(std::size_t vm) const { return this->vm_states[vm].alive; }
  /// Returns whether the VM reaches the table directly.
  bool ReachesTable(std::size_t vm) const;
  /// Returns the number of rows written to the table.
  std::uint64_t row_writes() const { return this->writes; }  // NOLINT
  /// Returns the current simulated wall time.
  base::WallTime WallNow() const;
  /// Returns the table and the object store.
  const platform::MemoryPlatform& store() const {  // NOLINT
    return this->memory;
  }

 private:
  /// A VM's current incarnation and faults.
  struct VmState {
    std::unique_ptr<policy::BatchNode> node;
    std::uint64_t incarnation = 0;
    bool alive = false;
    bool without_table = false;
    bool without_peers = false;
    base::Instant paused_until{};
  };
  /// An item that an endpoint is running.
  struct ActiveRun {
    std::size_t vm = 0;
    std::uint64_t incarnation = 0;
    policy::StartItem item;
    std::size_t attempt = 0;
    base::Instant started{};
    base::Instant ends{};
  };
  /// An endpoint's faults and running items.
  struct EndpointState {
    base::Instant down_until{};
    bool failing = false;
    std::map<std::uint64_t, ActiveRun> active_runs;
  };

  /// Starts a new incarnation of the VM.
  void StartVm(std::size_t vm);
  /// Ticks the node periodically until that incarnation ends.
  void TickVm(std::size_t vm, std::uint64_t incarnation);
  /// Runs an event on the VM once it isn't paused. Drops the event if that
  /// incarnation has ended.
  void Deliver(std::size_t vm, std::uint64_t incarnation,
               std::function<void(policy::BatchNode&)> event);
  /// Executes the actions that the node has requested.
  void ExecuteActions(std::size_t vm);
  /// Sets the node's capacity from the endpoints that the VM owns.
  void UpdateCapacity(std::size_t vm);
  /// Runs a store call with random delays and losses.
  template <typename Operation, typename Handler>
  void CallStore(std::size_t vm, Operation operation, Handler reply);
  /// Executes one action of a node; one overload per kind of action.
  void Execute(std::size_t vm, const policy::CommitCall& call);
  void Execute(std::size_t vm, const policy::ScanCall& call);
  void Execute(std::size_t vm, const policy::PutCall& call);
  void Execute(std::size_t vm, const policy::GetCall& call);
  void Execute(std::size_t vm, const policy::RemoveCall& call);
  void Execute(std::size_t vm, const policy::StartItem& item);
  void Execute(std::size_t vm, const policy::StopItem& stop);
  void Execute(std::size_t vm, const policy::QueryPeers& query);
  void Execute(std::size_t vm, const policy::NotifyPeers& notification);
  /// Ends a run with the given outcome, unless it has ended already.
  void EndRun(std::size_t endpoint, std::uint64_t run_id,
              policy::ItemOutcome outcome);
  /// Reports the result of a run to the VM that started it.
  void DeliverResult(std::size_t vm, std::uint64_t incarnation,
                     policy::RunId run, policy::RunResult result);
  /// Draws a duration between `min` and `max`, both included.
  base::Duration RandomDuration(base::Duration min, base::Duration max);
  /// Returns true with the given probability.
  bool RandomEvent(double probability);

  BatchSimulationOptions options;
  std::mt19937_64 random;
  base::Instant time{std::chrono::seconds(1000)};
  base::WallTime wall_epoch{std::chrono::hours(24 * 365 * 56)};
  std::multimap<base::Instant, std::function<void()>> events;
  platform::MemoryPlatform memory;
  std::vector<VmState> vm_states;
  std::vector<EndpointState> endpoints;
  std::uint64_t last_run_id = 0;
  std::uint64_t last_operation = 0;
  std::uint64_t writes = 0;
  std::vector<ItemAttempt> recorded_attempts;
  std::vector<SubmittedJob> submitted;
};

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_BATCH_WORLD_H_
