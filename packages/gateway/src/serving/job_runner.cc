#include "job_runner.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "gypsumtrack/base/event_log.h"
#include "gypsumtrack/gateway/http_status.h"
#include "gypsumtrack/gateway/serving/row_store_await.h"
#include "gypsumtrack/policy/serving/event_splitter.h"
#include "send_to_endpoint.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;

constexpr base::Duration kTickPeriod = std::chrono::milliseconds(50);
/// The same while there are no jobs; the first one is started at once.
constexpr base::Duration kIdleTickPeriod = std::chrono::milliseconds(500);
/// Maximum time between two parts of an item's stream.
constexpr base::Duration kItemIdleTimeout = std::chrono::milliseconds(2500);
/// Maximum time of an item's run at one endpoint; the item is then resumed in
/// another run.
constexpr base::Duration kMaxItemRunTime = std::chrono::seconds(60);
/// Period of saving partial output in the store. If the daemon is lost, its
/// items lose at most the output of one period.
constexpr base::Duration kSavePeriod = std::chrono::milliseconds(2000);
constexpr base::Duration kCommitRetryDelay = std::chrono::milliseconds(150);
/// Each result needs a put and an expectation; this number of them stays well
/// below the store's limits on transactions.
constexpr std::size_t kMaxResultsPerCommit = 16;
/// Bounds the copies of outputs that a commit makes. An output of the largest
/// size fits.
constexpr std::size_t kMaxResultBytesPerCommit = std::size_t{1} * 1024 * 1024;
/// Bounds the time that one tick takes.
constexpr std::size_t kMaxStartsPerTick = 16;

/// Whether the response may bring output of an item that has events already or
/// none.
bool BringsOutput(const ResponseHead& head, bool has_events) {
  return head.status == status::kOk &&
         (!has_events || ContinuesStream(head, status::kOk));
}

policy::ItemRunOutcome ClassifyRunOutcome(const ServingContext& context,
                                          const EndpointResult& result,
                                          bool has_events) {
  if (result.run == policy::RunState::kNotRun)
    return policy::ItemRunOutcome::kNotRun;
  if (result.outcome != CallOutcome::kComplete)
    return policy::ItemRunOutcome::kInterrupted;
  const auto status_code = result.head.status;
  const bool has_seal = context.wire.read_response(result.head).has_seal;
  if (!has_seal) return policy::ItemRunOutcome::kNotRun;
  if (BringsOutput(result.head, has_events))
    return policy::ItemRunOutcome::kComplete;
  if (status_code == status::kUnprocessable)
    return policy::ItemRunOutcome::kImpossible;
  if (status_code == status::kServerError)
    return policy::ItemRunOutcome::kFailed;
  return policy::ItemRunOutcome::kNotRun;
}

}  // namespace

JobRunner::JobRunner(ServingContext& serving, JobStore job_store)
    : context(serving), store(std::move(job_store)) {}

void JobRunner::Start() {
  asio::co_spawn(
      this->context.executor,
      [self = this->shared_from_this()] { return self->TickLoop(); },
      asio::detached);
  asio::co_spawn(
      this->context.executor,
      [self = this->shared_from_this()] { return self->SaveLoop(); },
      asio::detached);
}

void JobRunner::Add(const OwnedJobPtr& job) {
  const auto key = job->key;
  const bool was_idle = this->jobs.empty();
  this->jobs[key] = job;
  if (was_idle) {
    asio::post(this->context.executor,
               [self = this->shared_from_this()] { self->Tick(); });
  }
  // If a previous owner committed all results, only FinishJob remains.
  if (job->run.all_listed()) this->ScheduleCommit(job);
}

void JobRunner::Drop(const JobKey& key, std::string_view reason) {
  const auto found = this->jobs.find(key);
  if (found == this->jobs.end()) return;
  const auto job = found->second;
  this->jobs.erase(found);
  job->dropped = true;
  if (this->on_removed) this->on_removed(key);
  base::LogEvent("job_dropped", {{"job", key.job.text},
                                 {"reason", reason},
                                 {"owner_version", job->owner_version},
                                 {"running", job->running.size()}});
  const auto running = job->running;
  for (const auto& [index, item] : running) item.cancel->Cancel();
}

void JobRunner::OnNotOwner(const OwnedJob& job) {
  // If the job was dropped meanwhile, its key may refer to a later run of it.
  if (!job.dropped) this->Drop(job.key, "owned_elsewhere_or_ended");
}

void JobRunner::StopStartingItems() { this->starting_items = false; }

void JobRunner::AbortRunningItems() {
  for (const auto& [key, job] : this->jobs) {
    const auto running = job->running;
    for (const auto& [index, item] : running) item.cancel->Cancel();
  }
}

void JobRunner::Stop() { this->stopped = true; }

OwnedJobPtr JobRunner::Find(const JobKey& key) const {
  const auto found = this->jobs.find(key);
  return found == this->jobs.end() ? nullptr : found->second;
}

std::vector<OwnedJobPtr> JobRunner::Jobs() const {
  std::vector<OwnedJobPtr> all;
  for (const auto& [key, job] : this->jobs) all.push_back(job);
  return all;
}

std::uint32_t JobRunner::CountWaitingItems() const {
  std::uint32_t items = 0;
  for (const auto& [key, job] : this->jobs) {
    items += static_cast<std::uint32_t>(job->run.waiting_count());
  }
  return items;
}

asio::awaitable<void> JobRunner::TickLoop() {
  while (!this->stopped) {
    this->Tick();
    co_await Pause(this->jobs.empty() ? kIdleTickPeriod : kTickPeriod);
  }
}

void JobRunner::Tick() {
  if (this->stopped || this->jobs.empty()) return;
  this->YieldToOnline();
  if (this->starting_items && this->MayStartItems()) this->StartItems();
}

bool JobRunner::MayStartItems() const {
  // Items are owed on while no endpoint can be reached.
  if (this->context.FindPath().kind == PathKind::kNone) return false;
  return policy::MayStartItems(this->context.settings.cancel_bound,
                               this->owners_confirmed_at(),
                               this->context.clock.now());
}

asio::awaitable<void> JobRunner::SaveLoop() {
  while (!this->stopped) {
    co_await Pause(kSavePeriod);
    co_await this->SavePartialOutput();
  }
}

asio::awaitable<void> JobRunner::SavePartialOutput() {
  for (const auto& job : this->Jobs()) {
    if (job->running.empty() || job->dropped || this->stopped) continue;
    const auto outcome = co_await SavePartials(this->store, *job);
    if (outcome == CommitOutcome::kNotOwner) this->OnNotOwner(*job);
  }
}

policy::Urgency JobRunner::UrgencyOf(const OwnedJob& job,
                                     std::uint64_t events) const {
  return policy::ClassifyUrgency(job.due,
                                 this->durations.EstimateRemaining(events),
                                 this->context.clock.now());
}

void JobRunner::YieldToOnline() {
  struct RunningItems {
    std::vector<policy::YieldCandidate> candidates;
    std::vector<std::shared_ptr<CallCancellation>> cancels;
  };
  std::map<base::EndpointId, RunningItems> items_by_endpoint;
  for (const auto& [key, job] : this->jobs) {
    for (const auto& [index, item] : job->running) {
      if (item.cancel->cancelled()) continue;
      auto& at_endpoint = items_by_endpoint[item.endpoint];
      const auto urgency = this->UrgencyOf(*job, job->run.event_count(index));
      at_endpoint.candidates.push_back(
          {urgency, job->due, at_endpoint.cancels.size()});
      at_endpoint.cancels.push_back(item.cancel);
    }
  }
  const auto now = this->context.clock.now();
  for (const auto& [endpoint, at_endpoint] : items_by_endpoint) {
    const auto yield_count = this->context.endpoints.BatchToYield(
        endpoint, this->context.NextRandom(), now);
    if (yield_count == 0) continue;
    const auto chosen =
        policy::SelectItemsToYield(at_endpoint.candidates, yield_count);
    if (chosen.empty()) continue;  // All items are urgent.
    base::LogEvent(
        "items_yield",
        {{"endpoint", endpoint.text},
         {"wanted", yield_count},
         {"count", chosen.size()},
         {"load", this->context.endpoints.Load(endpoint, now).total()}});
    this->context.metrics.items_yielded.Add(chosen.size());
    for (const auto index : chosen) at_endpoint.cancels[index]->Cancel();
  }
}

void JobRunner::StartItems() {
  // Read first: the rules are as of then, or newer.
  const auto confirmed_at = this->context.store_view.confirmed_at();
  const auto rules = this->context.store_view.Current()->rules;
  if (!rules) return;
  const bool are_current =
      policy::MayRejectUnknown(this->context.settings.freshness, confirmed_at,
                               this->context.clock.now());
  // Late jobs come last and take only the slots that the others leave.
  struct Ranked {
    policy::Urgency urgency;
    OwnedJobPtr job;
  };
  std::vector<Ranked> ranked;
  for (const auto& job : this->Jobs()) {
    const auto events = job->run.max_waiting_events();
    ranked.push_back({this->UrgencyOf(*job, events), job});
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
    const bool a_late = a.urgency == policy::Urgency::kLate;
    const bool b_late = b.urgency == policy::Urgency::kLate;
    if (a_late != b_late) return b_late;
    return a.job->due < b.job->due;
  });
  this->remaining_starts.clear();
  this->blocked_origins.clear();
  std::size_t started = 0;
  for (const auto& [urgency, job] : ranked) {
    const auto* route = policy::FindRouteByName(*rules, job->row.route);
    const bool route_removed =
        route == nullptr && are_current && confirmed_at > job->acquired_at;
    this->GiveUpExpiredItems(job, route_removed);
    if (route == nullptr) continue;
    job->allowed_endpoints = policy::AllowedRegions(
        *route, policy::FindOrganisation(*rules, job->key.organisation.text));
    while (started < kMaxStartsPerTick &&
           this->StartItem(job, *route, urgency)) {
      ++started;
    }
  }
}

std::uint32_t& JobRunner::RemainingStarts(const base::Service& service,
                                          policy::Urgency urgency) {
  const auto [entry, is_new] =
      this->remaining_starts.try_emplace({service, urgency}, 0U);
  if (is_new) {
    const auto now = this->context.clock.now();
    const auto free = this->context.endpoints.CountFreeSlots(
        service, policy::SlotsToKeepFree(urgency), now);
    entry->second = this->context.batch_starts.AcquireStarts(
        urgency, free, this->CountWaitingItems(), this->context.NextRandom(),
        now);
  }
  return entry->second;
}

void JobRunner::GiveUpExpiredItems(const OwnedJobPtr& job, bool route_removed) {
  const auto now = this->context.clock.now();
  if (!route_removed && now < job->give_up_at) return;
  if (job->run.waiting_count() == 0) return;
  base::LogEvent("items_given_up",
                 {{"job", job->key.job.text},
                  {"reason", route_removed ? "route_removed" : "too_late"},
                  {"count", job->run.waiting_count()}});
  job->run.GiveUpWaitingItems();
  this->ScheduleCommit(job);
}

bool JobRunner::StartItem(const OwnedJobPtr& job,
                          const policy::RouteRule& route,
                          policy::Urgency urgency) {
  if (job->run.waiting_count() == 0) return false;
  return this->ContinueOutput(job, route, urgency) ||
         this->BeginOutput(job, route, urgency);
}

bool JobRunner::ContinueOutput(const OwnedJobPtr& job,
                               const policy::RouteRule& route,
                               policy::Urgency urgency) {
  for (const auto& origin :
       job->run.WaitingOrigins(this->context.clock.now())) {
    const auto choice = this->ChooseForOrigin(*job, origin, route, urgency);
    if (choice && this->StartItemAt(job, *choice, route, urgency, {}))
      return true;
  }
  return false;
}

std::optional<policy::EndpointChoice> JobRunner::ChooseForOrigin(
    const OwnedJob& job, const policy::OutputOrigin& origin,
    const policy::RouteRule& route, policy::Urgency urgency) {
  if (!policy::LeadsTo(route, origin.service)) return std::nullopt;
  const auto key = std::make_tuple(origin, urgency, job.allowed_endpoints);
  if (this->blocked_origins.contains(key)) return std::nullopt;
  auto tried = this->TryOrigin(job, origin, route, urgency);
  if (const auto* block = std::get_if<OriginBlock>(&tried)) {
    this->blocked_origins[key] = *block;
    return std::nullopt;
  }
  return std::get<policy::EndpointChoice>(std::move(tried));
}

std::variant<policy::EndpointChoice, JobRunner::OriginBlock>
JobRunner::TryOrigin(const OwnedJob& job, const policy::OutputOrigin& origin,
                     const policy::RouteRule& route, policy::Urgency urgency) {
  auto query = this->context.MakeQuery(route);
  query.allowed_regions = job.allowed_endpoints;
  query.service = origin.service;
  query.version = origin.version;
  auto choice = this->context.endpoints.ChooseBatch(
      query, policy::SlotsToKeepFree(urgency), this->context.clock.now());
  switch (choice.status) {
    case policy::ChoiceStatus::kNoEndpoint:
      return OriginBlock::kNoEndpoint;
    case policy::ChoiceStatus::kNoCapacity:
      return OriginBlock::kFull;
    case policy::ChoiceStatus::kChosen:
      break;
  }
  if (this->RemainingStarts(origin.service, urgency) == 0)
    return OriginBlock::kNoStartsLeft;
  return choice;
}

bool JobRunner::BeginOutput(const OwnedJobPtr& job,
                            const policy::RouteRule& route,
                            policy::Urgency urgency) {
  auto query = this->context.MakeQuery(route);
  query.allowed_regions = job->allowed_endpoints;
  if (this->RemainingStarts(query.service, urgency) == 0) return false;
  const auto choice = this->context.endpoints.ChooseBatch(
      query, policy::SlotsToKeepFree(urgency), this->context.clock.now());
  if (choice.status != policy::ChoiceStatus::kChosen) return false;
  policy::ItemStartFilter filter;
  filter.may_restart = [&](std::size_t index, const auto& origin) {
    return this->MayRestart(*job, index, origin, route, urgency);
  };
  return this->StartItemAt(job, choice, route, urgency, std::move(filter));
}

bool JobRunner::MayRestart(const OwnedJob& job, std::size_t index,
                           const policy::OutputOrigin& origin,
                           const policy::RouteRule& route,
                           policy::Urgency urgency) const {
  if (!policy::LeadsTo(route, origin.service)) return true;
  const auto found = this->blocked_origins.find(
      std::make_tuple(origin, urgency, job.allowed_endpoints));
  if (found == this->blocked_origins.end()) return false;
  if (found->second == OriginBlock::kNoEndpoint) return true;
  if (found->second == OriginBlock::kNoStartsLeft) return false;
  policy::OutputWait wait;
  wait.due = job.due;
  wait.remaining =
      this->durations.EstimateRemaining(job.run.event_count(index));
  wait.whole_run = this->durations.EstimateRemaining(0);
  wait.kept_until = job.run.output_kept_until(index);
  return policy::ShouldRestart(wait, this->context.clock.now());
}

bool JobRunner::StartItemAt(const OwnedJobPtr& job,
                            const policy::EndpointChoice& choice,
                            const policy::RouteRule& route,
                            policy::Urgency urgency,
                            policy::ItemStartFilter filter) {
  const auto now = this->context.clock.now();
  // While the memory for outputs is used up, only items that have output start:
  // their runs end and give the memory back.
  const bool may_begin = !this->context.output_memory->is_exceeded();
  filter.may_start = [&](std::size_t index) {
    if (!may_begin && job->run.event_count(index) == 0) return false;
    const auto& parts = job->items[index].shared_parts;
    return !FindQuarantined(this->context, policy::ToSuspects(parts));
  };
  const auto start = job->run.StartNextItem(
      {choice.endpoint.service, choice.endpoint.version}, now, filter);
  if (!start) return false;
  --this->RemainingStarts(choice.endpoint.service, urgency);
  const auto& item = job->items[start->index];
  const auto owners_age = now - this->owners_confirmed_at();
  base::LogEvent("item_sent", {{"job", job->key.job.text},
                               {"item", job->run.item(start->index).id},
                               {"parts", FormatParts(item.shared_parts)},
                               {"endpoint", choice.endpoint.id.text},
                               {"version", choice.endpoint.version},
                               {"load", choice.known_load},
                               {"urgency", policy::kUrgencyNames.Name(urgency)},
                               {"events", job->run.event_count(start->index)},
                               {"discarded", start->discarded_events},
                               {"owner_version", job->owner_version},
                               {"belief_age_ms", owners_age.count() / 1000}});
  job->running[start->index] = {choice.endpoint.id,
                                std::make_shared<CallCancellation>(), now};
  // co_spawn runs RunItem inline up to its first suspension, so that the
  // registry counts the item before the next choice of this tick.
  auto run = [self = this->shared_from_this(), job, start = *start,
              endpoint = choice.endpoint, host = route.host] {
    return self->RunItem(job, start, endpoint, host);
  };
  asio::co_spawn(this->context.executor, std::move(run), asio::detached);
  return true;
}

asio::awaitable<void> JobRunner::RunItem(OwnedJobPtr job,
                                         policy::ItemRunStart start,
                                         policy::EndpointEntry endpoint,
                                         std::string host) {
  const auto& item = job->items[start.index];
  // An item is never a request that crashes endpoints by itself.
  const auto suspects = policy::ToSuspects(item.shared_parts);
  policy::EventSplitter splitter;
  policy::EventArrivalLimit arrival_limit;
  auto part_content = policy::PartContent::kNone;
  EndpointCall call;
  call.address = endpoint.address;
  call.method = "POST";
  call.target = item.target;
  ForwardingMetadata forwarding;
  forwarding.endpoint = endpoint.id;
  forwarding.organisation = job->key.organisation;
  forwarding.after_event = start.after_event;
  call.headers = this->context.wire.item_headers(item, host, forwarding);
  call.body = item.body;
  call.request_id = item.id;
  call.deadline = this->context.clock.now() + kMaxItemRunTime;
  call.progress_timeout = kItemIdleTimeout;
  call.cancel = job->running[start.index].cancel;
  const auto events_before = job->run.event_count(start.index);
  call.on_part = [this, job, start, events_before, &suspects, &splitter,
                  &arrival_limit, &part_content](
                     const ResponseHead& head,
                     std::string_view part) -> asio::awaitable<base::Status> {
    base::Status status = base::Done{};
    if (!this->context.wire.read_response(head).has_seal) {
      status = base::Error(base::Errc::kInvalid,
                           "the response lacks the endpoint's seal");
      co_return status;
    }
    const bool has_events = job->run.event_count(start.index) > 0;
    if (!BringsOutput(head, has_events)) {
      status = base::Error(base::Errc::kInvalid,
                           "the response doesn't continue the output");
      co_return status;
    }
    const auto events = splitter.Feed(part);
    const auto count_before = job->run.event_count(start.index);
    for (const auto& event : events) {
      if (job->run.OnEvent(start.index, event)) continue;
      status = base::Error(
          base::Errc::kInvalid,
          "an event is out of order or exceeds a limit of the output");
      break;
    }
    const bool has_first = count_before == events_before &&
                           job->run.event_count(start.index) > events_before;
    if (has_first) ReportFirstEvent(this->context, suspects);
    part_content = policy::ClassifyPart(splitter, events);
    const bool in_time = arrival_limit.OnPart(
        part_content, this->context.clock.now(), kItemIdleTimeout);
    const bool is_sound =
        in_time && !splitter.event_too_long() && !splitter.event_malformed();
    if (status.ok() && !is_sound) {
      status = base::Error(
          base::Errc::kInvalid,
          "an event of the stream is malformed, too long or too slow");
    }
    co_return status;
  };
  call.made_progress = [&part_content] {
    return part_content != policy::PartContent::kNone;
  };
  call.is_complete = [job, start, &splitter](const ResponseHead& head) {
    // One without a length or chunks that ends before any event was broken off,
    // unless it resumes an output, which may have had all events.
    const bool has_events = job->run.event_count(start.index) > 0;
    return splitter.at_event_end() && (has_events || !IsCloseDelimited(head));
  };
  const auto cancel = call.cancel;
  const auto started_at = this->context.clock.now();
  const auto result =
      co_await SendToEndpoint(this->context, endpoint, policy::WorkKind::kBatch,
                              std::move(call), false, job->allowed_endpoints);
  const auto events = job->run.event_count(start.index);
  ReportRunEnd(this->context, suspects, item.id, endpoint, result,
               events - events_before);
  const auto outcome =
      cancel->cancelled()
          ? policy::ItemRunOutcome::kInterrupted
          : ClassifyRunOutcome(this->context, result, events > 0);
  const auto exceeded = job->run.exceeded_limit(start.index);
  if (exceeded) this->context.metrics.outputs_discarded.Add();
  base::LogEvent(
      "item_ended",
      {{"job", job->key.job.text},
       {"item", item.id},
       {"endpoint", endpoint.id.text},
       {"call", kCallOutcomeNames.Name(result.outcome)},
       {"status", result.head.status},
       {"events", events - events_before},
       {"end", policy::kItemRunOutcomeNames.Name(outcome)},
       {"exceeded", exceeded ? policy::kOutputLimitNames.Name(*exceeded) : ""},
       {"outputs_held", this->context.output_memory->held_bytes()}});
  job->running.erase(start.index);
  if (events > events_before && !exceeded) {
    this->durations.OnRunEnd(events - events_before,
                             this->context.clock.now() - started_at);
  }
  if (outcome == policy::ItemRunOutcome::kComplete)
    this->durations.OnItemComplete(events);
  job->run.OnRunEnd(start.index, outcome, this->context.clock.now());
  this->ScheduleCommit(job);
}

void JobRunner::ScheduleCommit(const OwnedJobPtr& job) {
  if (job->committing || job->dropped) return;
  if (job->run.UnlistedResults(1).empty() && !job->run.all_listed()) return;
  job->committing = true;
  auto commit = [self = this->shared_from_this(), job] {
    return self->Commit(job);
  };
  asio::co_spawn(this->context.executor, std::move(commit), asio::detached);
}

asio::awaitable<void> JobRunner::Commit(OwnedJobPtr job) {
  bool more = true;
  while (more && !job->dropped && !this->stopped) {
    more = co_await this->CommitOnce(job);
  }
  job->committing = false;
}

asio::awaitable<bool> JobRunner::CommitOnce(OwnedJobPtr job) {
  auto results =
      job->run.UnlistedResults(kMaxResultsPerCommit, kMaxResultBytesPerCommit);
  if (results.empty() && !job->run.all_listed()) co_return false;
  ResultsCommit commit;
  if (results.empty()) {
    commit.outcome = co_await FinishJob(this->store, *job);
    if (commit.outcome == CommitOutcome::kCommitted) {
      base::LogEvent("job_finished", {{"job", job->key.job.text}});
      this->jobs.erase(job->key);
      if (this->on_removed) this->on_removed(job->key);
      co_return false;
    }
  } else {
    commit = co_await CommitResults(this->store, *job, std::move(results));
  }
  switch (commit.outcome) {
    case CommitOutcome::kCommitted:
      job->run.OnResultsListed(commit.count);
      this->context.metrics.items_listed.Add(commit.count);
      base::LogEvent("results_listed", {{"job", job->key.job.text},
                                        {"count", commit.count},
                                        {"next", job->run.next_position()}});
      if (this->on_results_listed) this->on_results_listed(job->key);
      break;
    case CommitOutcome::kNotOwner:
      this->OnNotOwner(*job);
      co_return false;
    case CommitOutcome::kRetry:
      co_await Pause(kCommitRetryDelay);
      break;
  }
  co_return true;
}

}  // namespace gypsumtrack::gateway
