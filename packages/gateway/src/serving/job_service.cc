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
#include "job_janitor.h"
#include "job_runner.h"
#include "job_store.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

/// An answer to a submission that comes later helps its caller less than a
/// new attempt at another daemon.
constexpr base::Duration kAcceptTimeout = std::chrono::milliseconds(3500);
constexpr base::Duration kReadTimeout = std::chrono::milliseconds(1500);
constexpr base::Duration kEndTimeout = std::chrono::milliseconds(2500);
/// A reader that waits at a daemon which doesn't run the job has the store
/// asked this often.
constexpr base::Duration kReadAgain = std::chrono::milliseconds(700);
/// How often jobs without a living owner are looked for.
constexpr base::Duration kAdoptPeriod = std::chrono::milliseconds(250);
/// Short, so that the end of a job reaches its owner in time even if the
/// connection to the store has died in silence.
constexpr base::Duration kOwnersHold = std::chrono::milliseconds(1000);
constexpr base::Duration kOwnersPause = std::chrono::milliseconds(400);
constexpr base::Duration kComeBackSoon = std::chrono::milliseconds(300);
constexpr base::Duration kComeBackWithRoom = std::chrono::milliseconds(1000);
/// Beyond this age of its belief a daemon takes a failed call for a sign that
/// the store turns it away, and sends the caller to another daemon.
constexpr base::Duration kOutOfContact = std::chrono::milliseconds(1700);
constexpr base::Duration kHandOverPause = std::chrono::milliseconds(30);
/// One daemon looks for jobs to remove this often.
constexpr base::Duration kJanitorPeriod = std::chrono::seconds(60);
/// Results stay for some times as long as they are promised: callers read late.
constexpr int kKeepTimes = 3;
constexpr std::size_t kMaxItems = 200;
constexpr std::size_t kMaxKnownJobs = 4096;

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
    this->runner->on_listed = [this](const JobKey& key) { this->Wake(key); };
    this->runner->may_start = [this] {
      return policy::MayStartItems(this->context.settings.cancel_bound,
                                   this->owners_confirmed_at,
                                   this->context.clock.now());
    };
    this->runner->on_gone = [this](const JobKey& key) {
      this->owners.OnReleased(key);
    };
    this->runner->Start();
    TableFollowerOptions options;
    options.table = layout::kOwnerTable;
    options.all_partitions = true;
    options.long_poll_timeout = kOwnersHold;
    options.min_call_delay = kOwnersPause;
    TableFollowerHooks hooks;
    hooks.on_snapshot = [this](const std::vector<base::VersionedRow>& rows,
                               std::uint64_t as_of) {
      this->TakeAllOwners(rows, as_of);
    };
    hooks.on_changes = [this](const std::vector<base::VersionedRow>& rows) {
      for (const auto& row : rows) this->TakeOwner(row);
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
        [self = this->shared_from_this()] { return self->AdoptLoop(); },
        asio::detached);
    asio::co_spawn(
        this->context.executor,
        [self = this->shared_from_this()] { return self->JanitorLoop(); },
        asio::detached);
  }

  asio::awaitable<void> Leave(base::Instant deadline) {
    this->leaving = true;
    this->runner->StopStarting();
    // What has come of items goes with the jobs, so that nothing is gained by
    // waiting for their ends.
    this->runner->BreakOffAll();
    while (!this->runner->Jobs().empty() &&
           this->context.clock.now() < deadline) {
      for (const auto& job : this->runner->Jobs()) {
        if (job->running.empty() && !job->committing) {
          co_await this->HandJobOver(job);
        }
      }
      co_await Pause(kHandOverPause);
    }
    this->follower->Stop();
    this->runner->Stop();
  }

  std::uint32_t WaitingItems() const { return this->runner->WaitingItems(); }

  asio::awaitable<void> Submit(Exchange& exchange, CallerFacts facts,
                               AccessDecision access) {
    const auto began = this->context.clock.now();
    this->context.metrics.requests.Add();
    auto body = co_await exchange.ReadBody(access.rules->max_body_bytes);
    if (!body.ok()) {
      co_await this->Refuse(exchange, facts, status::kPayloadTooLarge,
                            "body_refused", {});
      co_return;
    }
    auto items = this->context.wire.read_submission(*body);
    const bool readable = items.ok() && !items->empty() &&
                          items->size() <= kMaxItems &&
                          !facts.request_id.empty();
    if (!readable) {
      co_await this->Refuse(exchange, facts, status::kBadRequest, "not_a_job",
                            {});
      co_return;
    }
    const JobKey key{OrganisationOf(access), base::JobId(facts.request_id)};
    const auto acceptance = co_await AcceptJob(
        this->store, key, access.route->name, *items, *body,
        access.route->max_waiting_tokens, began + kAcceptTimeout,
        [this] { return this->context.StoreViewAge() > kOutOfContact; });
    if (acceptance.owner_version != 0) {
      this->TakeAccepted(key, acceptance, std::move(*items), *access.route);
    }
    this->LogAcceptance(key, acceptance, began);
    co_await this->AnswerSubmission(exchange, facts, acceptance);
  }

  asio::awaitable<void> Answer(Exchange& exchange, CallerFacts facts,
                               BatchCall call) {
    const auto access = DecideKeyAccess(this->context, facts);
    const bool allowed = access.rules && (access.organisation != nullptr ||
                                          access.rules->organisations.empty());
    if (!allowed) {
      co_await SendRefusal(this->context, exchange, facts.request_id,
                           access.refusal);
      co_return;
    }
    const JobKey key{OrganisationOf(access), call.job};
    switch (call.kind) {
      case BatchCallKind::kResults:
        co_await this->AnswerResults(exchange, facts, key, call);
        break;
      case BatchCallKind::kItemBody:
        co_await this->AnswerItemBody(exchange, facts, key, call);
        break;
      case BatchCallKind::kEnd:
        co_await this->AnswerEnd(exchange, facts, key);
        break;
      case BatchCallKind::kNone:
        break;
    }
  }

 private:
  static base::Organisation OrganisationOf(const AccessDecision& access) {
    return access.organisation == nullptr ? base::Organisation()
                                          : access.organisation->name;
  }

  asio::awaitable<void> Refuse(Exchange& exchange, const CallerFacts& facts,
                               unsigned status, std::string code,
                               base::Duration come_back) {
    Refusal refusal{status, std::move(code), come_back};
    return SendRefusal(this->context, exchange, facts.request_id,
                       std::move(refusal));
  }

  // Acceptance.

  void TakeAccepted(const JobKey& key, const Acceptance& acceptance,
                    std::vector<SubmittedItem> items,
                    const policy::RouteRule& route) {
    const FoundJob found{acceptance.row, acceptance.row.accepted_at};
    this->Own(key, found, std::move(items), {}, acceptance.owner_version,
              &route);
  }

  void Own(const JobKey& key, const FoundJob& found,
           std::vector<SubmittedItem> items, const LoadedJob& loaded,
           std::uint64_t owner_version, const policy::RouteRule* route) {
    policy::JobRunOptions options;
    if (route != nullptr) options.max_failures = route->max_runs;
    auto job_items = ToJobItems(items);
    auto job = std::make_shared<OwnedJob>(
        OwnedJob{key, found.row, std::move(items),
                 policy::JobRun(std::move(job_items), loaded.listed, options),
                 owner_version});
    job->run.RestorePartialItems(loaded.partials);
    if (route != nullptr) {
      const std::chrono::milliseconds age(found.store_time -
                                          found.row.accepted_at);
      const auto accepted = this->context.clock.now() - age;
      job->due = accepted + route->due_after;
      job->given_up_at = accepted + route->give_up_after;
    }
    this->known[key] = found.row;
    this->owners.OnAcquired(key, owner_version, this->context.clock.now());
    this->runner->Add(job);
  }

  void LogAcceptance(const JobKey& key, const Acceptance& acceptance,
                     base::Instant began) {
    const auto took = this->context.clock.now() - began;
    this->context.metrics.job_acceptance.Record(
        std::chrono::duration<double>(took).count());
    const bool accepted = acceptance.end == AcceptEnd::kAccepted;
    (accepted ? this->context.metrics.jobs_accepted
              : this->context.metrics.jobs_refused)
        .Add();
    base::LogEvent(accepted ? "job_accepted" : "job_not_accepted",
                   {{"request", key.job.text},
                    {"organisation", key.organisation.text},
                    {"items", acceptance.row.items},
                    {"end", static_cast<int>(acceptance.end)},
                    {"reason", acceptance.reason},
                    {"owner_version", acceptance.owner_version},
                    {"took_ms", took.count() / 1000}});
  }

  asio::awaitable<void> AnswerSubmission(Exchange& exchange, CallerFacts facts,
                                         const Acceptance& acceptance) {
    switch (acceptance.end) {
      case AcceptEnd::kAccepted:
        co_await this->SendJson(exchange, facts, status::kAccepted, "{}");
        break;
      case AcceptEnd::kOverLimit:
        co_await this->Refuse(exchange, facts, status::kTooManyRequests,
                              "too_much_waiting", kComeBackWithRoom);
        break;
      case AcceptEnd::kRefused:
        co_await this->Refuse(exchange, facts, status::kUnavailable,
                              "store_unavailable", kComeBackSoon);
        break;
      case AcceptEnd::kInDoubt:
        co_await this->Refuse(exchange, facts, status::kBadGateway, "in_doubt",
                              kComeBackSoon);
        break;
    }
  }

  // Calls about jobs.

  asio::awaitable<base::Outcome<layout::JobRow>> Lookup(JobKey key) {
    const auto found = this->known.find(key);
    if (found != this->known.end()) co_return found->second;
    const auto read = co_await FindJob(
        this->store, key, this->context.clock.now() + kReadTimeout);
    if (!read.ok()) co_return read.error();
    if (this->known.size() >= kMaxKnownJobs) this->known.clear();
    this->known[key] = read->row;
    co_return read->row;
  }

  asio::awaitable<void> RefuseRead(Exchange& exchange, const CallerFacts& facts,
                                   const base::Error& error) {
    const bool absent = error.Is(base::Errc::kNotFound);
    return this->Refuse(exchange, facts,
                        absent ? status::kNotFound : status::kUnavailable,
                        absent ? "no_such_job" : "store_unavailable",
                        absent ? base::Duration{} : kComeBackSoon);
  }

  asio::awaitable<void> AnswerResults(Exchange& exchange, CallerFacts facts,
                                      JobKey key, BatchCall call) {
    const auto until = this->context.clock.now() + call.patience;
    const auto row = co_await this->Lookup(key);
    if (!row.ok()) {
      co_await this->RefuseRead(exchange, facts, row.error());
      co_return;
    }
    ResultPage page;
    page.total = row->items;
    page.next = call.from;
    while (call.from < page.total) {
      auto results =
          co_await ReadResults(this->store, key, call.from,
                               this->context.clock.now() + kReadTimeout);
      if (!results.ok()) {
        co_await this->RefuseRead(exchange, facts, results.error());
        co_return;
      }
      page.next = call.from + results->size();
      page.results = std::move(*results);
      const auto left = until - this->context.clock.now();
      const bool waits = page.results.empty() &&
                         left > base::Duration::zero() && !this->leaving;
      if (!waits) break;
      co_await this->WaitForResults(key, left);
    }
    co_await this->SendJson(exchange, facts, status::kOk,
                            this->context.wire.write_results(page));
  }

  /// Until results of the job are listed here, or it is worth asking the store.
  asio::awaitable<void> WaitForResults(JobKey key, base::Duration left) {
    const bool runs_here = this->runner->Find(key) != nullptr;
    auto timer = std::make_shared<asio::steady_timer>(this->context.executor);
    timer->expires_after(runs_here ? left : std::min(left, kReadAgain));
    const auto at = this->waiting.emplace(key, timer);
    co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
    this->waiting.erase(at);
  }

  void Wake(const JobKey& key) {
    const auto [begin, end] = this->waiting.equal_range(key);
    for (auto at = begin; at != end; ++at) at->second->cancel();
  }

  asio::awaitable<void> AnswerItemBody(Exchange& exchange, CallerFacts facts,
                                       JobKey key, BatchCall call) {
    const auto row = co_await this->Lookup(key);
    if (!row.ok()) {
      co_await this->RefuseRead(exchange, facts, row.error());
      co_return;
    }
    const auto submission = co_await ReadSubmission(
        this->store, key, *row, this->context.clock.now() + kReadTimeout);
    if (!submission.ok()) {
      co_await this->RefuseRead(exchange, facts, submission.error());
      co_return;
    }
    const auto items = this->context.wire.read_submission(*submission);
    const SubmittedItem* wanted = nullptr;
    if (items.ok()) {
      const auto at =
          std::find_if(items->begin(), items->end(),
                       [&](const auto& item) { return item.id == call.item; });
      if (at != items->end()) wanted = &*at;
    }
    if (wanted == nullptr) {
      co_await this->Refuse(exchange, facts, status::kNotFound, "no_such_item",
                            {});
      co_return;
    }
    ResponseHead head;
    head.headers.push_back({"Content-Type", "application/octet-stream"});
    std::string body = wanted->body;
    std::ignore = co_await exchange.Send(std::move(head), std::move(body));
  }

  asio::awaitable<void> AnswerEnd(Exchange& exchange, CallerFacts facts,
                                  JobKey key) {
    const auto ended = co_await EndJob(this->store, key,
                                       this->context.clock.now() + kEndTimeout);
    if (!ended.ok()) {
      co_await this->RefuseRead(exchange, facts, ended.error());
      co_return;
    }
    base::LogEvent("job_ended", {{"request", facts.request_id},
                                 {"job", key.job.text},
                                 {"organisation", key.organisation.text}});
    this->owners.OnJobEnded(key);
    this->runner->Drop(key, "ended");
    co_await this->SendJson(exchange, facts, status::kOk, "{}");
  }

  asio::awaitable<void> SendJson(Exchange& exchange, const CallerFacts& facts,
                                 unsigned status, std::string body) {
    ResponseHead head;
    head.status = status;
    head.headers.push_back({"Content-Type", "application/json"});
    if (!facts.request_id.empty()) {
      head.headers.push_back(
          {this->context.wire.request_id_header, facts.request_id});
    }
    std::ignore = co_await exchange.Send(std::move(head), std::move(body));
  }

  // Ownership.

  static JobKey KeyOf(const base::VersionedRow& row) {
    return {base::Organisation(row.at.partition), base::JobId(row.at.key)};
  }

  /// None, with a line in the log, if the row can't be read.
  static std::optional<policy::OwnerRow> ReadOwnerRow(
      const base::VersionedRow& row) {
    auto owner = layout::ReadOwner(row.value);
    if (owner.ok()) {
      return policy::OwnerRow{KeyOf(row), std::move(*owner), row.version};
    }
    base::LogEvent("owner_unreadable",
                   {{"job", row.at.key}, {"row_version", row.version}});
    return std::nullopt;
  }

  void TakeAllOwners(const std::vector<base::VersionedRow>& rows,
                     std::uint64_t as_of) {
    std::vector<policy::OwnerRow> owner_rows;
    for (const auto& row : rows) {
      if (auto owner = ReadOwnerRow(row)) owner_rows.push_back(*owner);
    }
    this->DropLost(this->owners.ApplySnapshot(owner_rows, as_of,
                                              this->context.clock.now()));
  }

  void TakeOwner(const base::VersionedRow& row) {
    if (row.removed) {
      this->DropLost(this->owners.ApplyRemoval(KeyOf(row)));
    } else if (const auto owner = ReadOwnerRow(row)) {
      this->DropLost(this->owners.ApplyRow(*owner, this->context.clock.now()));
    }
  }

  void DropLost(const std::vector<policy::LostJob>& lost) {
    for (const auto& each : lost) {
      this->runner->Drop(each.key,
                         policy::kJobLossReasonNames.Name(each.reason));
    }
  }

  asio::awaitable<void> AdoptLoop() {
    while (!this->leaving) {
      const auto wanted = this->FindOrphans();
      for (const auto& orphan : wanted) {
        if (this->leaving) co_return;
        co_await this->Adopt(orphan);
      }
      co_await Pause(kAdoptPeriod);
    }
  }

  asio::awaitable<void> JanitorLoop() {
    while (!this->leaving) {
      co_await Pause(kJanitorPeriod);
      if (this->leaving || !this->IsJanitor()) continue;
      const auto pass = co_await RemoveOldJobs(
          this->store, kKeepTimes * this->context.settings.result_retention);
      base::LogEvent("jobs_cleaned", {{"jobs", pass.jobs},
                                      {"removed", pass.removed},
                                      {"failures", pass.failures}});
    }
  }

  /// One of the daemons that hold their leases; for a moment it may be two,
  /// which does no harm.
  bool IsJanitor() const {
    const auto holders = this->fleet.LeaseHolders();
    const auto first = std::min_element(
        holders.begin(), holders.end(),
        [](const auto& a, const auto& b) { return a.name < b.name; });
    return first != holders.end() && first->name == this->context.self.name;
  }

  std::vector<policy::OwnerRow> FindOrphans() const {
    if (!this->fleet.HoldsLease()) return {};
    policy::LeaseView leases;
    leases.is_lost = [this](const base::VmId& vm) {
      return this->fleet.HasLostLease(vm);
    };
    leases.holders = this->fleet.LeaseHolders();
    return this->owners.OrphansToAdopt(leases, this->context.clock.now());
  }

  asio::awaitable<void> Adopt(policy::OwnerRow orphan) {
    const auto& key = orphan.key;
    const auto version = co_await TakeOver(this->store, key, orphan.version);
    if (!version) co_return;
    this->context.metrics.jobs_taken_over.Add();
    const auto loaded = co_await this->Load(key, *version);
    base::LogEvent(
        "job_taken_over",
        {{"job", key.job.text},
         {"from", orphan.owner.name},
         {"from_incarnation", orphan.owner.incarnation},
         {"owner_version", *version},
         {"outcome", loaded.ok() ? "running" : loaded.error().message}});
  }

  /// Reads the job and what is listed of it, and runs the rest. If that fails
  /// the row names this daemon, and it is tried again after a while.
  asio::awaitable<base::Status> Load(JobKey key, std::uint64_t owner_version) {
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
    this->Own(key, *found, std::move(*items), *loaded, owner_version, route);
    co_return base::Done{};
  }

  asio::awaitable<void> HandJobOver(OwnedJobPtr job) {
    const bool told = co_await HandOver(this->store, *job);
    base::LogEvent("job_handed_over", {{"job", job->key.job.text},
                                       {"told", told ? 1 : 0},
                                       {"waiting", job->run.waiting_count()}});
    this->runner->Drop(job->key, "leaving");
  }

  ServingContext& context;
  const FleetService& fleet;
  JobStore store;
  policy::JobOwners owners;
  base::Instant owners_confirmed_at{};
  std::shared_ptr<JobRunner> runner;
  std::shared_ptr<TableFollower> follower;
  /// Jobs that exist; their rows never change.
  std::map<JobKey, layout::JobRow> known;
  std::multimap<JobKey, std::shared_ptr<asio::steady_timer>> waiting;
  bool leaving = false;
};

JobService::JobService(ServingContext& context, const FleetService& fleet)
    : state(std::make_shared<State>(context, fleet)) {}

JobService::~JobService() = default;

void JobService::Start() { this->state->Start(); }

asio::awaitable<void> JobService::Leave(base::Instant deadline) {
  return this->state->Leave(deadline);
}

asio::awaitable<void> JobService::Submit(Exchange& exchange, CallerFacts facts,
                                         AccessDecision access) {
  return this->state->Submit(exchange, std::move(facts), std::move(access));
}

asio::awaitable<void> JobService::Answer(Exchange& exchange, CallerFacts facts,
                                         BatchCall call) {
  return this->state->Answer(exchange, std::move(facts), std::move(call));
}

std::uint32_t JobService::WaitingItems() const {
  return this->state->WaitingItems();
}

}  // namespace gypsumtrack::gateway
