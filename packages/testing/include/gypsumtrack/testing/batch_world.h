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

/// Batch nodes of several VMs, endpoints and a platform with faults, in virtual
/// time.
namespace gypsumtrack::testing {

struct BatchWorldOptions {
  std::uint32_t vms = 3;
  std::uint32_t endpoints = 3;
  std::uint32_t slots = 4;
  std::uint64_t seed = 1;
  /// Part of the store calls whose request, or whose answer, is lost.
  double lost_requests = 0;
  double lost_answers = 0;
  policy::BatchOptions batch;
  base::Duration longest_item = std::chrono::milliseconds(400);
};

/// A job as the test submitted it.
struct SubmittedJob {
  policy::BatchJob job;
  std::vector<std::string> lines;
};

/// An item that left for an endpoint.
struct ItemSend {
  base::Instant at{};
  std::size_t vm = 0;
  std::string uid;
  std::uint32_t chunk = 0;
  std::uint32_t item = 0;
  policy::ItemOutcome outcome = policy::ItemOutcome::kEndpointFailed;
  /// Whether the VM reached the table, or a peer that did.
  bool connected = true;
};

/// Lines with this text take their endpoint down.
inline constexpr std::string_view kPoison = "poison";
/// Lines with this text are rejected by each endpoint.
inline constexpr std::string_view kBad = "bad";

/// Not thread-safe; deterministic under the seed.
class BatchWorld {
 public:
  explicit BatchWorld(BatchWorldOptions options);

  // Commands.

  /// Accepts a job of `lines`, cut into chunks of `chunk_items`.
  SubmittedJob Submit(const std::string& organisation, const std::string& id,
                      std::vector<std::string> lines, std::uint32_t chunk_items,
                      bool idempotent = true);
  void RunFor(base::Duration duration);
  /// Runs until all jobs ended or `longest` has passed; whether they ended.
  bool RunUntilEnded(base::Duration longest);
  /// The VM's process is gone; another starts in its place after `delay`.
  void LoseVm(std::size_t vm, base::Duration delay);
  /// The VM runs nothing for `duration`; its clock goes on.
  void PauseVm(std::size_t vm, base::Duration duration);
  /// Cuts the VM off from the table, and from peers if `peers`, or heals it.
  void CutVm(std::size_t vm, bool cut, bool peers);
  /// The endpoint fails what it runs and takes nothing for `duration`.
  void FailEndpoint(std::size_t endpoint, base::Duration duration);
  /// The endpoint takes requests and fails each of them.
  void BreakEndpoint(std::size_t endpoint, bool broken);
  void SetSlots(std::uint32_t slots);
  void DrainVm(std::size_t vm);
  /// Returns a flag that becomes true when the cancel is acknowledged.
  std::shared_ptr<bool> Cancel(std::size_t vm, const SubmittedJob& job);
  void At(base::Duration after, std::function<void()> run);

  // Queries.

  base::Instant now() const { return this->time; }                   // NOLINT
  const std::vector<ItemSend>& sends() const { return this->sent; }  // NOLINT
  policy::JobState StateOf(const SubmittedJob& job) const;
  /// The result rows of a job, by chunk.
  std::map<std::uint32_t, policy::ResultRow> ResultRows(
      const SubmittedJob& job) const;
  /// The recorded results of a job by item number in the job; a chunk whose
  /// object is missing counts as having none.
  std::map<std::uint64_t, policy::ItemResult> Results(
      const SubmittedJob& job) const;
  const policy::BatchNode& node(std::size_t vm) const;  // NOLINT
  bool Connected(std::size_t vm) const;
  bool Alive(std::size_t vm) const { return this->machines[vm].alive; }
  bool ReachesTable(std::size_t vm) const;
  std::uint64_t row_writes() const { return this->writes; }  // NOLINT
  base::WallTime WallNow() const;
  const platform::MemoryPlatform& store() const {
    return this->memory;
  }  // NOLINT

 private:
  struct Machine {
    std::unique_ptr<policy::BatchNode> node;
    std::uint64_t incarnation = 0;
    bool alive = false;
    bool cut = false;
    bool cut_from_peers = false;
    base::Instant paused_until{};
  };
  struct Flight {
    std::size_t vm = 0;
    std::uint64_t incarnation = 0;
    policy::StartItem item;
    std::size_t send = 0;
    base::Instant started{};
    base::Instant ends{};
  };
  struct EndpointFake {
    base::Instant down_until{};
    bool broken = false;
    std::map<std::uint64_t, Flight> flights;
  };

  void Start(std::size_t vm);
  void TickVm(std::size_t vm, std::uint64_t incarnation);
  /// Runs an event on the VM when it isn't paused, unless it is gone by then.
  void Deliver(std::size_t vm, std::uint64_t incarnation,
               std::function<void(policy::BatchNode&)> event);
  void Perform(std::size_t vm);
  void Offer(std::size_t vm);
  template <typename Effect, typename Handler>
  void CallStore(std::size_t vm, Effect effect, Handler reply);
  void Do(std::size_t vm, const policy::CommitCall& call);
  void Do(std::size_t vm, const policy::ScanCall& call);
  void Do(std::size_t vm, const policy::PutCall& call);
  void Do(std::size_t vm, const policy::GetCall& call);
  void Do(std::size_t vm, const policy::RemoveCall& call);
  void Do(std::size_t vm, const policy::StartItem& item);
  void Do(std::size_t vm, const policy::StopItem& stop);
  void Do(std::size_t vm, const policy::QueryPeers& ask);
  void Do(std::size_t vm, const policy::NotifyPeers& tell);
  void EndFlight(std::size_t endpoint, std::uint64_t flight,
                 policy::ItemOutcome outcome);
  void Answer(std::size_t vm, std::uint64_t incarnation, policy::RunId run,
              policy::RunResult result);
  base::Duration Between(base::Duration least, base::Duration most);
  bool Chance(double part);

  BatchWorldOptions options;
  std::mt19937_64 random;
  base::Instant time{std::chrono::seconds(1000)};
  base::WallTime wall{std::chrono::hours(24 * 365 * 56)};
  std::multimap<base::Instant, std::function<void()>> events;
  platform::MemoryPlatform memory;
  std::vector<Machine> machines;
  std::vector<EndpointFake> endpoints;
  std::uint64_t last_flight = 0;
  std::uint64_t last_operation = 0;
  std::uint64_t writes = 0;
  std::vector<ItemSend> sent;
  std::vector<SubmittedJob> submitted;
};

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_BATCH_WORLD_H_
