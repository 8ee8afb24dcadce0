#include "gypsumtrack/gateway/serving/job_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/gateway/serving/row_store_await.h"
#include "job_garbage_collector.h"
#include "job_ownership.h"
#include "job_requests.h"
#include "job_row_cache.h"
#include "job_runner.h"
#include "job_store.h"
#include "job_submissions.h"
#include "job_takeover.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

constexpr base::Duration kHandOverPollPeriod = std::chrono::milliseconds(30);
/// Period of the garbage collection, which one daemon runs.
constexpr base::Duration kGarbageCollectionPeriod = std::chrono::seconds(60);
/// Results are kept this many times as long as promised, since some callers
/// read them late.
constexpr int kRetentionFactor = 3;

}  // namespace

class JobService::State : public std::enable_shared_from_this<State> {
 public:
  State(ServingContext& serving, const FleetService& fleet_service)
      : context(serving),
        fleet(fleet_service),
        store{serving.store, serving.clock, serving.self,
              serving.settings.max_row_bytes},
        runner(std::make_shared<JobRunner>(serving, this->store)),
        ownership(serving, fleet_service, *this->runner, this->rows),
        takeover(serving, this->store, this->ownership),
        submissions(serving, this->store, this->ownership),
        requests(serving, this->store, *this->runner, this->ownership,
                 this->rows) {}

  void Start() {
    this->runner->Start();
    this->ownership.Start();
    asio::co_spawn(
        this->context.executor,
        [self = this->shared_from_this()] { return self->takeover.Run(); },
        asio::detached);
    asio::co_spawn(
        this->context.executor,
        [self = this->shared_from_this()] {
          return self->GarbageCollectionLoop();
        },
        asio::detached);
  }

  asio::awaitable<void> ShutDown(base::Instant deadline) {
    this->shutting_down = true;
    this->takeover.Stop();
    this->requests.StopWaiting();
    this->runner->StopStartingItems();
    // The partial output is handed over with the jobs, so waiting for running
    // items to complete gains nothing.
    this->runner->AbortRunningItems();
    while (!this->runner->Jobs().empty() &&
           this->context.clock.now() < deadline) {
      for (const auto& job : this->runner->Jobs()) {
        if (job->running.empty() && !job->committing) {
          co_await this->HandOverJob(job);
        }
      }
      co_await Pause(kHandOverPollPeriod);
    }
    this->ownership.Stop();
    this->runner->Stop();
  }

  asio::awaitable<void> HandleSubmission(Exchange& exchange,
                                         RequestMetadata metadata,
                                         AccessDecision access) {
    return this->submissions.Handle(exchange, std::move(metadata),
                                    std::move(access));
  }

  asio::awaitable<void> HandleJobRequest(Exchange& exchange,
                                         RequestMetadata metadata,
                                         JobRequest request) {
    return this->requests.Handle(exchange, std::move(metadata),
                                 std::move(request));
  }

  std::uint32_t CountWaitingItems() const {
    return this->runner->CountWaitingItems();
  }

 private:
  asio::awaitable<void> GarbageCollectionLoop() {
    while (!this->shutting_down) {
      co_await Pause(kGarbageCollectionPeriod);
      // Concurrent passes of two daemons are safe.
      if (this->shutting_down || !this->fleet.IsCollector()) continue;
      const auto pass = co_await RemoveExpiredJobs(
          this->store,
          kRetentionFactor * this->context.settings.result_retention);
      base::LogEvent("jobs_cleaned", {{"jobs", pass.jobs},
                                      {"removed", pass.removed},
                                      {"failures", pass.failures}});
    }
  }

  asio::awaitable<void> HandOverJob(OwnedJobPtr job) {
    const bool is_handed_over = co_await HandOver(this->store, *job);
    base::LogEvent("job_handed_over", {{"job", job->key.job.text},
                                       {"told", is_handed_over ? 1 : 0},
                                       {"waiting", job->run.waiting_count()}});
    this->runner->Drop(job->key, "leaving");
  }

  ServingContext& context;
  const FleetService& fleet;
  JobStore store;
  JobRowCache rows;
  std::shared_ptr<JobRunner> runner;
  JobOwnership ownership;
  JobTakeover takeover;
  JobSubmissions submissions;
  JobRequests requests;
  bool shutting_down = false;
};

JobService::JobService(ServingContext& context, const FleetService& fleet)
    : state(std::make_shared<State>(context, fleet)) {}

JobService::~JobService() = default;

void JobService::Start() { this->state->Start(); }

asio::awaitable<void> JobService::ShutDown(base::Instant deadline) {
  return this->state->ShutDown(deadline);
}

asio::awaitable<void> JobService::HandleSubmission(Exchange& exchange,
                                                   RequestMetadata metadata,
                                                   AccessDecision access) {
  return this->state->HandleSubmission(exchange, std::move(metadata),
                                       std::move(access));
}

asio::awaitable<void> JobService::HandleJobRequest(Exchange& exchange,
                                                   RequestMetadata metadata,
                                                   JobRequest request) {
  return this->state->HandleJobRequest(exchange, std::move(metadata),
                                       std::move(request));
}

std::uint32_t JobService::CountWaitingItems() const {
  return this->state->CountWaitingItems();
}

}  // namespace gypsumtrack::gateway
