#include "gypsumtrack/gateway/serving/job_service.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/gateway/http_status.h"
#include "gypsumtrack/gateway/serving/row_store_await.h"
#include "gypsumtrack/gateway/serving/table_follower.h"
#include "job_garbage_collector.h"
#include "job_runner.h"
#include "job_store.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

/// Maximum time to accept a submission. After it, a retry at another daemon
/// helps the caller more than a late response.
constexpr base::Duration kAcceptTimeout = std::chrono::milliseconds(3500);
constexpr base::Duration kReadTimeout = std::chrono::milliseconds(1500);
constexpr base::Duration kEndTimeout = std::chrono::milliseconds(2500);
/// Period of polling the store for a caller that waits for results at a daemon
/// that doesn't run the job.
constexpr base::Duration kResultPollPeriod = std::chrono::milliseconds(700);
/// Period of looking for jobs without a live owner.
constexpr base::Duration kAdoptionPeriod = std::chrono::milliseconds(250);
/// How long the store holds a read of the owner table's changes. Short, so that
/// the owner of a job learns of its end within the cancel bound even if the
/// connection to the store was lost without an error.
constexpr base::Duration kOwnerFeedHold = std::chrono::milliseconds(500);
constexpr base::Duration kOwnerFeedMinPause = std::chrono::milliseconds(700);
constexpr base::Duration kRetryAfterFailure = std::chrono::milliseconds(300);
constexpr base::Duration kRetryAfterOverLimit = std::chrono::milliseconds(1000);
/// If the cached rules are older than this, a failed call is taken as a sign
/// that the store rejects this daemon, and the submission is refused so that
/// the caller retries at another daemon.
constexpr base::Duration kStoreUnreachableAge = std::chrono::milliseconds(1700);
constexpr base::Duration kHandOverPollPeriod = std::chrono::milliseconds(30);
/// Period of the garbage collection, which one daemon runs.
constexpr base::Duration kGarbageCollectionPeriod = std::chrono::seconds(60);
/// Results are kept this many times as long as promised, since some callers
/// read them late.
constexpr int kRetentionFactor = 3;
constexpr std::size_t kMaxItemsPerJob = 200;
constexpr std::size_t kMaxCachedJobRows = 4096;

}  // namespace

class JobService::State : public std::enable_shared_from_this<State> {
 public:
  State(ServingContext& serving, const FleetService& fleet_service)
      : context(serving),
        fleet(fleet_service),
        store{serving.store, serving.clock, serving.self,
              serving.settings.max_row_bytes},
        owners(serving.self),
        runner(std::make_shared<JobRunner>(serving, this->store)) {}

  void Start() {
    this->runner->on_results_listed = [this](const JobKey& key) {
      this->NotifyWaiters(key);
    };
    this->runner->owners_confirmed_at = [this] {
      return this->owners_confirmed_at;
    };
    this->runner->on_removed = [this](const JobKey& key) {
      this->owners.OnReleased(key);
    };
    this->runner->Start();
    TableFollowerOptions options;
    options.table = layout::kOwnerTable;
    options.all_partitions = true;
    options.long_poll_timeout = kOwnerFeedHold;
    options.min_call_delay = kOwnerFeedMinPause;
    TableFollowerHooks hooks;
    hooks.on_snapshot = [this](const std::vector<base::VersionedRow>& rows,
                               std::uint64_t as_of) {
      this->ApplyOwnerSnapshot(rows, as_of);
    };
    hooks.on_changes = [this](const std::vector<base::VersionedRow>& rows,
                              std::uint64_t as_of) {
      for (const auto& row : rows) this->ApplyOwnerChange(row);
      this->owners.OnChangesApplied(as_of);
    };
    hooks.on_confirmed = [this](base::Instant sent_at) {
      this->owners_confirmed_at = sent_at;
    };
    this->follower = std::make_shared<TableFollower>(
        this->context.executor, this->context.clock, this->context.store,
        options, std::move(hooks));
    this->follower->Start();
    asio::co_spawn(
        this->context.executor,
        [self = this->shared_from_this()] { return self->AdoptionLoop(); },
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
    this->follower->Stop();
    this->runner->Stop();
  }

  std::uint32_t CountWaitingItems() const {
    return this->runner->CountWaitingItems();
  }

  asio::awaitable<void> HandleSubmission(Exchange& exchange,
                                         RequestMetadata metadata,
                                         AccessDecision access) {
    const auto started_at = this->context.clock.now();
    this->context.metrics.requests.Add();
    auto body = co_await exchange.ReadBody(access.rules->max_body_bytes);
    if (!body.ok()) {
      co_await this->Refuse(exchange, metadata, status::kPayloadTooLarge,
                            "body_refused", {});
      co_return;
    }
    auto items = this->context.wire.read_submission(*body);
    const bool readable = items.ok() && !items->empty() &&
                          items->size() <= kMaxItemsPerJob &&
                          !metadata.request_id.empty();
    if (!readable) {
      co_await this->Refuse(exchange, metadata, status::kBadRequest,
                            "not_a_job", {});
      co_return;
    }
    const JobKey key{OrganisationOf(access), base::JobId(metadata.request_id)};
    const auto acceptance = co_await AcceptJob(
        this->store, key, access.route->name, *items, *body,
        access.route->max_waiting_tokens, started_at + kAcceptTimeout,
        [this] { return this->context.StoreViewAge() > kStoreUnreachableAge; });
    if (acceptance.owner_version != 0) {
      this->OwnAcceptedJob(key, acceptance, std::move(*items), *access.route);
    }
    this->LogAcceptance(key, acceptance, started_at);
    co_await this->RespondToSubmission(exchange, metadata, acceptance);
  }

  asio::awaitable<void> HandleJobRequest(Exchange& exchange,
                                         RequestMetadata metadata,
                                         JobRequest request) {
    const auto access = DecideKeyAccess(this->context, metadata);
    const bool allowed = access.rules && (access.organisation != nullptr ||
                                          access.rules->organisations.empty());
    if (!allowed) {
      co_await SendRefusal(this->context, exchange, metadata.request_id,
                           access.refusal);
      co_return;
    }
    const JobKey key{OrganisationOf(access), request.job};
    switch (request.kind) {
      case JobRequestKind::kResults:
        co_await this->HandleResults(exchange, metadata, key, request);
        break;
      case JobRequestKind::kItemBody:
        co_await this->HandleItemBody(exchange, metadata, key, request);
        break;
      case JobRequestKind::kEnd:
        co_await this->HandleEnd(exchange, metadata, key);
        break;
      case JobRequestKind::kNone:
        break;
    }
  }

 private:
  static base::Organisation OrganisationOf(const AccessDecision& access) {
    return access.organisation == nullptr ? base::Organisation()
                                          : access.organisation->name;
  }

  asio::awaitable<void> Refuse(Exchange& exchange,
                               const RequestMetadata& metadata, unsigned status,
                               std::string code, base::Duration retry_after) {
    Refusal refusal{status, std::move(code), retry_after};
    return SendRefusal(this->context, exchange, metadata.request_id,
                       std::move(refusal));
  }

  // Acceptance.

  void OwnAcceptedJob(const JobKey& key, const JobAcceptance& acceptance,
                      std::vector<SubmittedItem> items,
                      const policy::RouteRule& route) {
    const FoundJob found{acceptance.row, acceptance.row.accepted_at};
    this->Own(key, found, std::move(items), {}, acceptance.owner_version,
              &route);
  }

  /// Runs a job of which this daemon has become the owner. Returns false if the
  /// job has ended or has been taken over since.
  bool Own(const JobKey& key, const FoundJob& found,
           std::vector<SubmittedItem> items, const LoadedJob& loaded,
           std::uint64_t owner_version, const policy::RouteRule* route) {
    const auto lost =
        this->owners.OnAcquired(key, owner_version, this->context.clock.now());
    if (lost) {
      base::LogEvent("job_not_run",
                     {{"job", key.job.text},
                      {"reason", policy::kJobLossReasonNames.Name(*lost)},
                      {"owner_version", owner_version}});
      return false;
    }
    policy::JobRunOptions options;
    if (route != nullptr) options.max_failures = route->max_runs;
    auto job_items = ToJobItems(items);
    auto job = std::make_shared<OwnedJob>(OwnedJob{
        key, found.row, std::move(items),
        policy::JobRun(std::move(job_items), loaded.listed_ids, options),
        owner_version});
    job->run.RestorePartialItems(loaded.partials, this->context.clock.now());
    if (route != nullptr) {
      const std::chrono::milliseconds age(found.store_time -
                                          found.row.accepted_at);
      const auto accepted = this->context.clock.now() - age;
      job->due = accepted + route->due_after;
      job->give_up_at = accepted + route->give_up_after;
    }
    this->cached_rows[key] = found.row;
    this->runner->Add(job);
    return true;
  }

  void LogAcceptance(const JobKey& key, const JobAcceptance& acceptance,
                     base::Instant started_at) {
    const auto duration = this->context.clock.now() - started_at;
    this->context.metrics.job_acceptance.Record(
        std::chrono::duration<double>(duration).count());
    const bool accepted = acceptance.outcome == AcceptOutcome::kAccepted;
    (accepted ? this->context.metrics.jobs_accepted
              : this->context.metrics.jobs_refused)
        .Add();
    base::LogEvent(accepted ? "job_accepted" : "job_not_accepted",
                   {{"request", key.job.text},
                    {"organisation", key.organisation.text},
                    {"items", acceptance.row.items},
                    {"end", static_cast<int>(acceptance.outcome)},
                    {"reason", acceptance.reason},
                    {"owner_version", acceptance.owner_version},
                    {"took_ms", duration.count() / 1000}});
  }

  asio::awaitable<void> RespondToSubmission(Exchange& exchange,
                                            RequestMetadata metadata,
                                            const JobAcceptance& acceptance) {
    switch (acceptance.outcome) {
      case AcceptOutcome::kAccepted:
        co_await this->SendJson(exchange, metadata, status::kAccepted, "{}");
        break;
      case AcceptOutcome::kOverLimit:
        co_await this->Refuse(exchange, metadata, status::kTooManyRequests,
                              "too_much_waiting", kRetryAfterOverLimit);
        break;
      case AcceptOutcome::kNotAccepted:
        co_await this->Refuse(exchange, metadata, status::kUnavailable,
                              "store_unavailable", kRetryAfterFailure);
        break;
      case AcceptOutcome::kUnknown:
        co_await this->Refuse(exchange, metadata, status::kBadGateway,
                              "in_doubt", kRetryAfterFailure);
        break;
    }
  }

  // Requests about jobs.

  /// The job's row, from the cache or the store.
  asio::awaitable<base::Outcome<layout::JobRow>> FindJobRow(JobKey key) {
    const auto found = this->cached_rows.find(key);
    if (found != this->cached_rows.end()) co_return found->second;
    const auto read = co_await FindJob(
        this->store, key, this->context.clock.now() + kReadTimeout);
    if (!read.ok()) co_return read.error();
    if (this->cached_rows.size() >= kMaxCachedJobRows)
      this->cached_rows.clear();
    this->cached_rows[key] = read->row;
    co_return read->row;
  }

  asio::awaitable<void> RefuseRead(Exchange& exchange,
                                   const RequestMetadata& metadata,
                                   const base::Error& error) {
    const bool not_found = error.Is(base::Errc::kNotFound);
    return this->Refuse(exchange, metadata,
                        not_found ? status::kNotFound : status::kUnavailable,
                        not_found ? "no_such_job" : "store_unavailable",
                        not_found ? base::Duration{} : kRetryAfterFailure);
  }

  asio::awaitable<void> HandleResults(Exchange& exchange,
                                      RequestMetadata metadata, JobKey key,
                                      JobRequest request) {
    const auto wait_until = this->context.clock.now() + request.max_wait;
    const auto row = co_await this->FindJobRow(key);
    if (!row.ok()) {
      co_await this->RefuseRead(exchange, metadata, row.error());
      co_return;
    }
    ResultPage page;
    page.total = row->items;
    page.next = request.from;
    while (request.from < page.total) {
      auto results =
          co_await ReadResults(this->store, key, request.from,
                               this->context.clock.now() + kReadTimeout);
      if (!results.ok()) {
        co_await this->RefuseRead(exchange, metadata, results.error());
        co_return;
      }
      page.next = request.from + results->size();
      page.results = std::move(*results);
      const auto remaining_time = wait_until - this->context.clock.now();
      const bool must_wait = page.results.empty() &&
                             remaining_time > base::Duration::zero() &&
                             !this->shutting_down;
      if (!must_wait) break;
      co_await this->WaitForResults(key, remaining_time);
    }
    co_await this->SendJson(exchange, metadata, status::kOk,
                            this->context.wire.write_results(page));
  }

  /// Waits until this daemon commits results of the job, or until the store
  /// should be polled or `remaining_time` has passed.
  asio::awaitable<void> WaitForResults(JobKey key,
                                       base::Duration remaining_time) {
    const bool runs_here = this->runner->Find(key) != nullptr;
    auto timer = std::make_shared<asio::steady_timer>(this->context.executor);
    timer->expires_after(runs_here
                             ? remaining_time
                             : std::min(remaining_time, kResultPollPeriod));
    const auto waiter = this->waiters.emplace(key, timer);
    co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
    this->waiters.erase(waiter);
  }

  void NotifyWaiters(const JobKey& key) {
    const auto [begin, end] = this->waiters.equal_range(key);
    for (auto waiter = begin; waiter != end; ++waiter) waiter->second->cancel();
  }

  asio::awaitable<void> HandleItemBody(Exchange& exchange,
                                       RequestMetadata metadata, JobKey key,
                                       JobRequest request) {
    const auto row = co_await this->FindJobRow(key);
    if (!row.ok()) {
      co_await this->RefuseRead(exchange, metadata, row.error());
      co_return;
    }
    const auto submission = co_await ReadSubmission(
        this->store, key, *row, this->context.clock.now() + kReadTimeout);
    if (!submission.ok()) {
      co_await this->RefuseRead(exchange, metadata, submission.error());
      co_return;
    }
    const auto items = this->context.wire.read_submission(*submission);
    const SubmittedItem* found_item = nullptr;
    if (items.ok()) {
      const auto found = std::find_if(
          items->begin(), items->end(),
          [&](const auto& item) { return item.id == request.item; });
      if (found != items->end()) found_item = &*found;
    }
    if (found_item == nullptr) {
      co_await this->Refuse(exchange, metadata, status::kNotFound,
                            "no_such_item", {});
      co_return;
    }
    ResponseHead head;
    head.headers.push_back({"Content-Type", "application/octet-stream"});
    std::string body = found_item->body;
    std::ignore = co_await exchange.Send(std::move(head), std::move(body));
  }

  asio::awaitable<void> HandleEnd(Exchange& exchange, RequestMetadata metadata,
                                  JobKey key) {
    const auto ended = co_await EndJob(this->store, key,
                                       this->context.clock.now() + kEndTimeout);
    if (!ended.ok()) {
      co_await this->RefuseRead(exchange, metadata, ended.error());
      co_return;
    }
    base::LogEvent("job_ended", {{"request", metadata.request_id},
                                 {"job", key.job.text},
                                 {"organisation", key.organisation.text},
                                 {"version", *ended}});
    this->owners.OnJobEnded(key, *ended);
    this->runner->Drop(key, "ended");
    co_await this->SendJson(exchange, metadata, status::kOk, "{}");
  }

  asio::awaitable<void> SendJson(Exchange& exchange,
                                 const RequestMetadata& metadata,
                                 unsigned status, std::string body) {
    ResponseHead head;
    head.status = status;
    head.headers.push_back({"Content-Type", "application/json"});
    if (!metadata.request_id.empty()) {
      head.headers.push_back(
          {this->context.wire.request_id_header, metadata.request_id});
    }
    std::ignore = co_await exchange.Send(std::move(head), std::move(body));
  }

  // Ownership.

  static JobKey KeyOf(const base::VersionedRow& row) {
    return {base::Organisation(row.at.partition), base::JobId(row.at.key)};
  }

  /// Returns none and logs an event if the row is malformed.
  static std::optional<policy::OwnerRow> ParseOwnerRow(
      const base::VersionedRow& row) {
    auto owner = layout::ParseOwner(row.value);
    if (owner.ok()) {
      return policy::OwnerRow{KeyOf(row), std::move(*owner), row.version};
    }
    base::LogEvent("owner_unreadable",
                   {{"job", row.at.key}, {"row_version", row.version}});
    return std::nullopt;
  }

  void ApplyOwnerSnapshot(const std::vector<base::VersionedRow>& rows,
                          std::uint64_t as_of) {
    std::vector<policy::OwnerRow> owner_rows;
    for (const auto& row : rows) {
      if (auto owner = ParseOwnerRow(row)) owner_rows.push_back(*owner);
    }
    this->DropLostJobs(this->owners.ApplySnapshot(owner_rows, as_of,
                                                  this->context.clock.now()));
  }

  void ApplyOwnerChange(const base::VersionedRow& row) {
    if (row.removed) {
      this->DropLostJobs(this->owners.ApplyRemoval(KeyOf(row)));
    } else if (const auto owner = ParseOwnerRow(row)) {
      this->DropLostJobs(
          this->owners.ApplyRow(*owner, this->context.clock.now()));
    }
  }

  void DropLostJobs(const std::vector<policy::LostJob>& lost_jobs) {
    for (const auto& lost : lost_jobs) {
      this->runner->Drop(lost.key,
                         policy::kJobLossReasonNames.Name(lost.reason));
    }
  }

  asio::awaitable<void> AdoptionLoop() {
    while (!this->shutting_down) {
      const auto orphans = this->FindOrphans();
      for (const auto& orphan : orphans) {
        if (this->shutting_down) co_return;
        co_await this->Adopt(orphan);
      }
      co_await Pause(kAdoptionPeriod);
    }
  }

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

  /// Jobs without a live owner that this daemon should take over.
  std::vector<policy::OwnerRow> FindOrphans() const {
    if (!this->fleet.HoldsLease()) return {};
    policy::LeaseView leases;
    leases.is_lost = [this](const base::VmId& vm) {
      return this->fleet.HasLostLease(vm);
    };
    leases.adopters = [this](const base::VmId& vm) {
      return this->fleet.Adopters(vm);
    };
    return this->owners.OrphansToAdopt(leases, this->context.clock.now());
  }

  asio::awaitable<void> Adopt(policy::OwnerRow orphan) {
    const auto& key = orphan.key;
    const auto version = co_await TakeOver(this->store, key, orphan.version);
    if (!version) co_return;
    this->context.metrics.jobs_taken_over.Add();
    const auto loaded = co_await this->LoadAndOwn(key, *version);
    base::LogEvent(
        "job_taken_over",
        {{"job", key.job.text},
         {"from", orphan.owner.name},
         {"from_incarnation", orphan.owner.incarnation},
         {"owner_version", *version},
         {"outcome", loaded.ok() ? "running" : loaded.error().message}});
  }

  /// Loads a job that was taken over and runs its remaining items. On failure
  /// the owner row still names this daemon, and JobOwners::OrphansToAdopt
  /// returns the job again after a grace period.
  asio::awaitable<base::Status> LoadAndOwn(JobKey key,
                                           std::uint64_t owner_version) {
    const auto deadline = this->context.clock.now() + 2 * kReadTimeout;
    const auto found = co_await FindJob(this->store, key, deadline);
    if (!found.ok()) co_return found.error();
    const auto loaded =
        co_await LoadJob(this->store, key, found->row, deadline);
    if (!loaded.ok()) co_return loaded.error();
    auto items = this->context.wire.read_submission(loaded->submission);
    if (!items.ok()) co_return items.error();
    const auto rules = this->context.store_view.Current()->rules;
    const auto* route =
        rules ? policy::FindRouteByName(*rules, found->row.route) : nullptr;
    const bool runs = this->Own(key, *found, std::move(*items), *loaded,
                                owner_version, route);
    if (!runs) co_return base::Error(base::Errc::kNotFound, "lost meanwhile");
    co_return base::Done{};
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
  policy::JobOwners owners;
  /// When the last successful read of the owner table was sent.
  base::Instant owners_confirmed_at{};
  std::shared_ptr<JobRunner> runner;
  std::shared_ptr<TableFollower> follower;
  /// Rows of accepted jobs. Rows never change, but the cache may still hold
  /// some that the garbage collection has removed.
  std::map<JobKey, layout::JobRow> cached_rows;
  /// Timers of the callers that wait for results; cancelled to wake them.
  std::multimap<JobKey, std::shared_ptr<asio::steady_timer>> waiters;
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
