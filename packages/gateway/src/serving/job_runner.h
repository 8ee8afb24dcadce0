#ifndef GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_RUNNER_H_
#define GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_RUNNER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "gypsumtrack/gateway/serving/serving_context.h"
#include "gypsumtrack/policy/serving/batch_urgency.h"
#include "job_store.h"
#include "owned_job.h"

/// Runs the items of the jobs that this daemon owns in the slots that online
/// requests leave free, and commits their results.
namespace gypsumtrack::gateway {

/// Schedules the items of owned jobs. Not thread-safe; used on the context's
/// thread.
class JobRunner : public std::enable_shared_from_this<JobRunner> {
 public:
  /// Precondition: `context` outlives the runner.
  JobRunner(ServingContext& context, JobStore store);

  // Commands.

  /// Starts the background loops. Call once.
  void Start();
  /// Runs the job from now on.
  void Add(const OwnedJobPtr& job);
  /// Stops running the job and committing its results here. `reason` is logged.
  void Drop(const JobKey& key, std::string_view reason);
  /// Starts no more items.
  void StopStartingItems();
  /// Cancels the requests of all running items.
  void AbortRunningItems();
  /// Ends the background loops and starts no more commits.
  void Stop();
  /// Saves the partial output of all running items in the store, so that a new
  /// owner can resume them, and drops the jobs that this daemon no longer owns.
  /// Called by a background loop.
  boost::asio::awaitable<void> SavePartialOutput();

  // Queries.

  /// The job, or null if it isn't run here.
  OwnedJobPtr Find(const JobKey& key) const;
  /// All jobs that are run here.
  std::vector<OwnedJobPtr> Jobs() const;
  /// Number of waiting items of all jobs.
  std::uint32_t CountWaitingItems() const;

  /// Returns when the rows that state the owners of jobs were last confirmed.
  /// Must be set before Start.
  std::function<base::Instant()> owners_confirmed_at;
  /// Called after results of a job were committed.
  std::function<void(const JobKey&)> on_results_listed;
  /// Called when a job isn't run here any more.
  std::function<void(const JobKey&)> on_removed;

 private:
  /// Why no endpoint continues the outputs of an origin.
  enum class OriginBlock {
    kNoEndpoint,    ///< none of that origin accepts requests
    kFull,          ///< all of them are full or avoided
    kNoStartsLeft,  ///< this daemon's share of the starts is used up
  };

  boost::asio::awaitable<void> TickLoop();
  /// Lets items yield and starts others.
  void Tick();
  boost::asio::awaitable<void> SaveLoop();
  /// Drops a job whose transaction failed because its owner row has changed.
  void OnNotOwner(const OwnedJob& job);
  /// Whether this daemon knows recently enough which jobs it owns.
  bool MayStartItems() const;
  policy::Urgency UrgencyOf(const OwnedJob& job, std::uint64_t events) const;
  /// Cancels batch items at endpoints whose slots online requests need.
  void YieldToOnline();
  void StartItems();
  /// Number of items of this service and urgency that may still start in this
  /// tick.
  std::uint32_t& RemainingStarts(const base::Service& service,
                                 policy::Urgency urgency);
  /// Returns whether an item was started.
  bool StartItem(const OwnedJobPtr& job, const policy::RouteRule& route,
                 policy::Urgency urgency);
  /// Starts an item at an endpoint that can continue its output. Returns
  /// whether one was started.
  bool ContinueOutput(const OwnedJobPtr& job, const policy::RouteRule& route,
                      policy::Urgency urgency);
  /// Starts an item at any endpoint of the route, from the beginning if need
  /// be. Returns whether one was started. Precondition: ContinueOutput started
  /// none.
  bool BeginOutput(const OwnedJobPtr& job, const policy::RouteRule& route,
                   policy::Urgency urgency);
  /// Chooses an endpoint that can continue an output of that origin. None if no
  /// item can be started at one in this tick.
  std::optional<policy::EndpointChoice> ChooseForOrigin(
      const OwnedJob& job, const policy::OutputOrigin& origin,
      const policy::RouteRule& route, policy::Urgency urgency);
  /// The same regardless of `blocked_origins` and of the route.
  std::variant<policy::EndpointChoice, OriginBlock> TryOrigin(
      const OwnedJob& job, const policy::OutputOrigin& origin,
      const policy::RouteRule& route, policy::Urgency urgency);
  /// Whether an item may lose its output, which no endpoint continues now, to
  /// start from the beginning at a free one.
  bool MayRestart(const OwnedJob& job, std::size_t index,
                  const policy::OutputOrigin& origin,
                  const policy::RouteRule& route,
                  policy::Urgency urgency) const;
  /// Starts an item at the chosen endpoint. Returns false if none fits there.
  bool StartItemAt(const OwnedJobPtr& job, const policy::EndpointChoice& choice,
                   const policy::RouteRule& route, policy::Urgency urgency,
                   policy::ItemStartFilter filter);
  boost::asio::awaitable<void> RunItem(OwnedJobPtr job,
                                       policy::ItemRunStart start,
                                       policy::EndpointEntry endpoint,
                                       std::string host);
  /// Gives up the waiting items of a job that is too late or whose route was
  /// removed.
  void GiveUpExpiredItems(const OwnedJobPtr& job, bool route_removed);
  void ScheduleCommit(const OwnedJobPtr& job);
  boost::asio::awaitable<void> Commit(OwnedJobPtr job);
  /// Returns whether there may be more to commit.
  boost::asio::awaitable<bool> CommitOnce(OwnedJobPtr job);

  ServingContext& context;
  JobStore store;
  std::map<JobKey, OwnedJobPtr> jobs;
  policy::ItemDurationEstimator durations;
  std::map<std::pair<base::Service, policy::Urgency>, std::uint32_t>
      remaining_starts;
  /// Origins of which no output can be continued in the rest of this tick.
  /// Bounds the choices of a tick.
  std::map<
      std::tuple<policy::OutputOrigin, policy::Urgency, policy::RegionLimit>,
      OriginBlock>
      blocked_origins;
  bool starting_items = true;
  bool stopped = false;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_RUNNER_H_
