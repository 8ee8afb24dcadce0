#ifndef GYPSUMTRACK_TESTING_SHARED_FLEET_H_
#define GYPSUMTRACK_TESTING_SHARED_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/platform/memory_platform.h"
#include "gypsumtrack/policy/batch_node.h"
#include "gypsumtrack/policy/batch_slots.h"
#include "gypsumtrack/testing/step_engine.h"

/// Simulates online and batch work on a shared fleet of modelled engines in
/// virtual time.
namespace gypsumtrack::testing {

/// How batch work shares the endpoints with online requests.
enum class FleetMode {
  kOnlineOnly,    ///< no batch work
  kYield,         ///< batch in the slots granted by BatchSlots
  kSameAsOnline,  ///< batch without yielding, up to all slots
  kFixedSplit,    ///< a third of the endpoints for batch alone
};

/// Names of the modes.
inline constexpr auto kFleetModeNames = base::MakeEnumTable<FleetMode>({
    {FleetMode::kOnlineOnly, "online only"},
    {FleetMode::kYield, "yield"},
    {FleetMode::kSameAsOnline, "ordinary requests"},
    {FleetMode::kFixedSplit, "fixed split"},
});

/// Size, load, delays and seed of a SharedFleet.
struct SharedFleetOptions {
  FleetMode mode = FleetMode::kYield;
  std::uint64_t seed = 1;
  std::uint32_t domains = 3;
  std::uint32_t vms_per_domain = 4;
  std::uint32_t endpoints_per_domain = 6;
  base::Duration run_duration = std::chrono::seconds(240);
  StepEngineOptions engine;
  /// Online requests per second and endpoint outside bursts.
  double online_rate = 3.0;
  double burst_factor = 3.0;
  base::Duration burst_interval = std::chrono::seconds(20);
  base::Duration burst_duration = std::chrono::seconds(2);
  std::uint32_t online_tokens = 64;
  std::uint32_t batch_tokens = 64;
  base::Duration online_prefill = std::chrono::microseconds(8'000);
  /// Shorter than online prefill: the items of a job share a prefix, which the
  /// engine caches.
  base::Duration batch_prefill = std::chrono::microseconds(2'000);
  base::Duration report_interval = std::chrono::milliseconds(250);
  base::Duration report_delay = std::chrono::milliseconds(250);
  /// Whether VMs report their online load on an endpoint to the owner of its
  /// slots.
  bool load_notices = true;
  policy::SlotOptions slots;
};

/// Event-driven simulation of online and batch load. Not thread-safe; the same
/// seed gives the same run.
class SharedFleet {
 public:
  /// Creates the engines and VMs and, unless in kOnlineOnly, submits the jobs.
  explicit SharedFleet(SharedFleetOptions options);

  /// Runs the simulation for the configured duration.
  void Run();

  // Queries.

  /// Returns the time to the first token of each online request after warm-up,
  /// in milliseconds and ascending order.
  std::vector<double> FirstTokenTimesMs() const;
  /// Returns the number of tokens streamed for batch items.
  std::uint64_t batch_tokens() const {  // NOLINT
    return this->streamed_batch_tokens;
  }
  /// Estimated batch tokens that the slots left idle by online requests could
  /// stream. Measured only in mode kOnlineOnly.
  double idle_slot_tokens() const {  // NOLINT
    return this->idle_slot_token_sum;
  }
  /// Returns the lowest ratio of completed items to the items due by share,
  /// over all organisations.
  double LowestRelativeShare() const;
  /// Returns the number of completed batch items.
  std::uint64_t items() const;  // NOLINT
  /// Returns the number of batch items completed after their job was due.
  std::uint64_t late_items() const { return this->late_item_count; }  // NOLINT
  /// Returns the number of rows written to the table.
  std::uint64_t row_writes() const { return this->write_count; }  // NOLINT
  /// Returns the number of batch runs stopped before their last token.
  std::uint64_t stopped() const { return this->stopped_count; }  // NOLINT

 private:
  /// A VM with its batch node and slots.
  struct Vm {
    base::VmId id;
    std::uint32_t domain = 0;
    std::unique_ptr<policy::BatchNode> node;
    std::unique_ptr<policy::BatchSlots> slots;
    /// Online requests of this VM by endpoint.
    std::vector<std::uint32_t> online;
    /// The counts last reported to the endpoint's owner.
    std::vector<std::uint32_t> notified_online;
    std::map<policy::RunId, std::uint64_t> requests;
  };
  /// An engine's load as last reported.
  struct Report {
    base::Instant at{};
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
  };
  /// An organisation with its share and its completed items.
  struct Organisation {
    std::string name;
    std::uint32_t share = 1;
    std::uint64_t items = 0;
  };

  /// Creates the endpoints and the VMs with their views of the fleet.
  void CreateVms();
  /// Submits the jobs of all organisations.
  void SubmitJobs();
  /// Submits one job, split into chunks.
  void Submit(const Organisation& organisation, const std::string& id,
              std::uint32_t items, base::Duration due_in);
  /// Schedules the next online request after an exponential interval.
  void ScheduleArrival();
  /// Sends an online request from the VM.
  void SendOnline(std::size_t vm);
  /// Reports the VM's online load to the endpoint's owner.
  void SendLoadNotice(std::size_t vm, std::size_t endpoint);
  /// Chooses the endpoint of an online request.
  std::size_t ChooseEndpoint(const Vm& vm);
  /// Reports the load of all engines periodically.
  void ReportLoad();
  /// Ticks the VM's node periodically.
  void TickVm(std::size_t vm);
  /// Sets the node's batch capacity according to the mode.
  void UpdateCapacity(Vm& vm);
  /// Executes the actions that the node has requested.
  void ExecuteActions(std::size_t vm);
  /// Executes one action of a node; one overload per kind of action.
  void Execute(std::size_t vm, const policy::CommitCall& call);
  void Execute(std::size_t vm, const policy::ScanCall& call);
  void Execute(std::size_t vm, const policy::PutCall& call);
  void Execute(std::size_t vm, const policy::GetCall& call);
  void Execute(std::size_t vm, const policy::RemoveCall& call);
  void Execute(std::size_t vm, const policy::StartItem& item);
  void Execute(std::size_t vm, const policy::StopItem& stop);
  void Execute(std::size_t vm, const policy::QueryPeers& query);
  void Execute(std::size_t, const policy::NotifyPeers&) {}
  /// Adds up the estimated batch tokens of idle slots periodically.
  void SampleIdle();
  /// Returns whether the endpoint takes batch items only.
  bool IsBatchOnly(std::size_t endpoint) const;
  /// Schedules `run` after the given delay.
  void At(base::Duration after, std::function<void()> run);
  /// Returns the current simulated wall time.
  base::WallTime WallNow() const;

  SharedFleetOptions options;
  std::mt19937_64 random;
  base::Instant time{std::chrono::seconds(1000)};
  std::multimap<base::Instant, std::function<void()>> events;
  platform::MemoryPlatform memory;
  std::vector<Vm> vms;
  std::vector<std::unique_ptr<StepEngine>> engines;
  std::vector<Report> reports;
  policy::FleetView view;
  std::vector<Organisation> organisations;
  std::map<std::string, std::size_t> organisation_by_job;
  std::map<std::string, base::WallTime> due_by_job;
  std::uint64_t last_request = 0;
  std::uint64_t last_operation = 0;
  std::vector<double> first_token_times_ms;
  std::uint64_t streamed_batch_tokens = 0;
  double idle_slot_token_sum = 0;
  std::uint64_t late_item_count = 0;
  std::uint64_t write_count = 0;
  std::uint64_t stopped_count = 0;
};

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_SHARED_FLEET_H_
