#ifndef GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_RUNNER_H_
#define GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_RUNNER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "gypsumtrack/gateway/serving/serving_context.h"
#include "gypsumtrack/policy/serving/batch_urgency.h"
#include "job_store.h"
#include "owned_job.h"

/// Runs the items of the jobs that this daemon owns in the room that online
/// requests leave, and lists their results.
namespace gypsumtrack::gateway {

/// All runs on the context's thread.
class JobRunner : public std::enable_shared_from_this<JobRunner> {
 public:
  /// Precondition: `context` outlives it.
  JobRunner(ServingContext& context, JobStore store);

  // Commands.

  void Start();
  void Add(const OwnedJobPtr& job);
  /// Nothing more of the job is run or listed here.
  void Drop(const JobKey& key, std::string_view reason);
  /// Starts no more items.
  void StopStarting();
  /// Breaks off all running items.
  void BreakOffAll();
  void Stop();

  // Queries.

  OwnedJobPtr Find(const JobKey& key) const;
  std::vector<OwnedJobPtr> Jobs() const;
  /// Of all jobs.
  std::uint32_t CountWaitingItems() const;

  /// Whether items may be sent now; null for always.
  std::function<bool()> may_start;
  /// Called after results of a job were listed.
  std::function<void(const JobKey&)> on_listed;
  /// Called once a job isn't run here any more.
  std::function<void(const JobKey&)> on_gone;

 private:
  boost::asio::awaitable<void> TickLoop();
  boost::asio::awaitable<void> SaveLoop();
  policy::Urgency UrgencyOf(const OwnedJob& job, std::uint64_t events) const;
  void YieldToOnline();
  void StartItems();
  /// Items that may still begin in this tick.
  std::uint32_t& StartsLeft(const base::Service& service,
                            policy::Urgency urgency);
  bool StartItem(const OwnedJobPtr& job, const policy::RouteRule& route,
                 policy::Urgency urgency);
  boost::asio::awaitable<void> RunItem(OwnedJobPtr job,
                                       policy::ItemRunStart start,
                                       policy::EndpointEntry endpoint,
                                       std::string host);
  void GiveUpWhatIsOver(const OwnedJobPtr& job, const policy::RouteRule* route);
  void ScheduleCommit(const OwnedJobPtr& job);
  boost::asio::awaitable<void> Commit(OwnedJobPtr job);
  boost::asio::awaitable<bool> CommitOnce(OwnedJobPtr job);

  ServingContext& context;
  JobStore store;
  std::map<JobKey, OwnedJobPtr> jobs;
  policy::ItemDurationEstimator durations;
  std::map<std::pair<base::Service, policy::Urgency>, std::uint32_t>
      starts_left;
  bool starting = true;
  bool stopped = false;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_RUNNER_H_
