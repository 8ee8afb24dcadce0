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

/// Online and batch work on one fleet of modelled engines, in virtual time.
namespace gypsumtrack::testing {

enum class FleetMode {
  kOnlineOnly,
  kYield,       ///< batch in the slots that BatchSlots grants
  kOrdinary,    ///< batch sent like online requests, as many as there are slots
  kFixedSplit,  ///< a third of the endpoints for batch alone
};

inline constexpr auto kFleetModeNames = base::MakeEnumTable<FleetMode>({
    {FleetMode::kOnlineOnly, "online only"},
    {FleetMode::kYield, "yield"},
    {FleetMode::kOrdinary, "ordinary requests"},
    {FleetMode::kFixedSplit, "fixed split"},
});

struct SharedFleetOptions {
  FleetMode mode = FleetMode::kYield;
  std::uint64_t seed = 1;
  std::uint32_t domains = 3;
  std::uint32_t vms_per_domain = 4;
  std::uint32_t endpoints_per_domain = 6;
  base::Duration length = std::chrono::seconds(240);
  StepEngineOptions engine;
  /// Online requests a second at each endpoint, outside bursts.
  double online_rate = 3.0;
  double burst_factor = 3.0;
  base::Duration burst_every = std::chrono::seconds(20);
  base::Duration burst_length = std::chrono::seconds(2);
  std::uint32_t online_tokens = 64;
  std::uint32_t batch_tokens = 64;
  base::Duration online_prefill = std::chrono::microseconds(8'000);
  /// Batch items of a job have a common prefix, which the engine caches.
  base::Duration batch_prefill = std::chrono::microseconds(2'000);
  base::Duration report_every = std::chrono::milliseconds(250);
  base::Duration report_lag = std::chrono::milliseconds(250);
  /// Whether VMs tell the owner of an endpoint's slots what they send there.
  bool load_notices = true;
  policy::SlotOptions slots;
};

/// Not thread-safe; deterministic under the seed.
class SharedFleet {
 public:
  explicit SharedFleet(SharedFleetOptions options);

  void Run();

  // Queries.

  /// Milliseconds to the first token of each online request, ascending.
  std::vector<double> FirstTokens() const;
  std::uint64_t batch_tokens() const { return this->useful_tokens; }  // NOLINT
  /// What the slots that online left idle would have yielded in a run without
  /// batch.
  double oracle_tokens() const { return this->idle_tokens; }  // NOLINT
  /// The least of the organisations' parts of the work over their due parts.
  double WorstShare() const;
  std::uint64_t items() const;                               // NOLINT
  std::uint64_t late_items() const { return this->late; }    // NOLINT
  std::uint64_t row_writes() const { return this->writes; }  // NOLINT
  std::uint64_t stopped() const { return this->stops; }      // NOLINT

 private:
  struct Vm {
    base::VmId id;
    std::uint32_t domain = 0;
    std::unique_ptr<policy::BatchNode> node;
    std::unique_ptr<policy::BatchSlots> slots;
    /// Own online requests by endpoint.
    std::vector<std::uint32_t> online;
    /// The same as the endpoint's owner was told.
    std::vector<std::uint32_t> told;
    std::map<policy::RunId, std::uint64_t> requests;
  };
  struct Report {
    base::Instant at{};
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
  };
  struct Organisation {
    std::string name;
    std::uint32_t share = 1;
    std::uint64_t items = 0;
  };

  void MakeVms();
  void SubmitJobs();
  void Submit(const Organisation& organisation, const std::string& id,
              std::uint32_t items, base::Duration due_in);
  void Arrive();
  void SendOnline(std::size_t vm);
  void Tell(std::size_t vm, std::size_t endpoint);
  std::size_t ChooseEndpoint(const Vm& vm);
  void ReportLoad();
  void TickVm(std::size_t vm);
  void Offer(Vm& vm);
  void Perform(std::size_t vm);
  void Do(std::size_t vm, const policy::CommitCall& call);
  void Do(std::size_t vm, const policy::ScanCall& call);
  void Do(std::size_t vm, const policy::PutCall& call);
  void Do(std::size_t vm, const policy::GetCall& call);
  void Do(std::size_t vm, const policy::RemoveCall& call);
  void Do(std::size_t vm, const policy::StartItem& item);
  void Do(std::size_t vm, const policy::StopItem& stop);
  void Do(std::size_t vm, const policy::QueryPeers& ask);
  void Do(std::size_t, const policy::NotifyPeers&) {}
  void SampleIdle();
  bool ForBatchOnly(std::size_t endpoint) const;
  void At(base::Duration after, std::function<void()> run);
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
  std::map<std::string, std::size_t> organisation_of;
  std::map<std::string, base::WallTime> due_of;
  std::uint64_t last_request = 0;
  std::uint64_t last_operation = 0;
  std::vector<double> first_tokens;
  std::uint64_t useful_tokens = 0;
  double idle_tokens = 0;
  std::uint64_t late = 0;
  std::uint64_t writes = 0;
  std::uint64_t stops = 0;
};

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_SHARED_FLEET_H_
