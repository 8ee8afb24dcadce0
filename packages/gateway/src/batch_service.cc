#include "gypsumtrack/gateway/batch_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <utility>

#include "batch_admin.h"
#include "batch_progress.h"
#include "batch_reply.h"
#include "batch_submission.h"
#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/base/log.h"
#include "gypsumtrack/gateway/batch_runner.h"
#include "gypsumtrack/gateway/batch_upload.h"
#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/gateway/store_await.h"
#include "query_parameters.h"

namespace gypsumtrack::gateway {
namespace {

using boost::asio::awaitable;

constexpr base::Logger kLog{"batch"};
constexpr std::string_view kBatchesPath = "/v1/batches";
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr base::Duration kStoreRequestTimeout = std::chrono::seconds(5);
/// Time reserved before the caller's deadline for sending the response.
constexpr base::Duration kResponseReserve = std::chrono::seconds(1);
constexpr std::uint32_t kMaxPageRows = 500;
/// Random bytes in the uid of a job.
constexpr std::size_t kUidBytes = 12;

/// Job id and subpath of `/v1/batches/{id}/{subpath}`.
struct JobPath {
  std::string id;
  std::string subpath;
};

JobPath SplitPath(std::string_view path) {
  path.remove_prefix(std::min(path.size(), kBatchesPath.size()));
  if (!path.empty() && path.front() == '/') path.remove_prefix(1);
  const auto slash = path.find('/');
  if (slash == std::string_view::npos) return {std::string(path), ""};
  return {std::string(path.substr(0, slash)),
          std::string(path.substr(slash + 1))};
}

}  // namespace

class BatchService::State {
 public:
  State(const Runtime& daemon, BatchHooks daemon_hooks,
        policy::BatchOptions options)
      : runtime(&daemon),
        hooks(daemon_hooks),
        runner(daemon, std::move(daemon_hooks), options) {}

  /// Lists jobs, or sends one job or its results.
  awaitable<void> HandleGet(Exchange& exchange);
  /// Submits or cancels a job.
  awaitable<void> HandlePost(Exchange& exchange);
  awaitable<void> Submit(Exchange& exchange);

  const Runtime* runtime;
  BatchHooks hooks;
  BatchRunner runner;

 private:
  base::Outcome<base::Organisation> Authenticate(const RequestHead& head) const;
  awaitable<void> Refuse(Exchange& exchange, const base::Error& error,
                         policy::RunState run = policy::RunState::kNotRun);
  awaitable<base::Outcome<policy::BatchJob>> FindJob(
      const base::Organisation& organisation, const std::string& id,
      base::Instant deadline);
  awaitable<base::Outcome<std::string>> ReceiveBody(Exchange& exchange,
                                                    BatchUpload* upload);
  awaitable<void> SubmitNewJob(Exchange& exchange, policy::BatchJob job);
  awaitable<void> Resubmit(Exchange& exchange, const policy::BatchJob& known,
                           const policy::BatchJob& submitted);
  awaitable<void> SendKnownJob(Exchange& exchange,
                               const policy::BatchJob& known,
                               const policy::BatchJob& submitted);
  awaitable<void> List(Exchange& exchange, base::Organisation organisation);
  awaitable<void> Show(Exchange& exchange, policy::BatchJob job);
  awaitable<void> SendResults(Exchange& exchange, policy::BatchJob job);
  awaitable<base::Status> WriteChunkResults(Exchange& exchange,
                                            const policy::ResultRow& row,
                                            std::uint64_t from,
                                            std::uint64_t to);
  awaitable<void> Cancel(Exchange& exchange, policy::BatchJob job);
  base::Instant StoreDeadline() const {
    return this->runtime->clock.now() + kStoreRequestTimeout;
  }
};

/// Returns the organisation of the API key in the request. Errors:
/// kUnauthorized.
base::Outcome<base::Organisation> BatchService::State::Authenticate(
    const RequestHead& head) const {
  const auto* header = head.Find("Authorization");
  const auto snapshot = this->hooks.access();
  if (header != nullptr && header->starts_with(kBearerPrefix) && snapshot) {
    const auto hash = base::HmacSha256Hex(this->runtime->settings.fleet_secret,
                                          header->substr(kBearerPrefix.size()));
    if (auto found = snapshot->FindOrganisation(hash)) return *found;
  }
  return base::Error(base::Errc::kUnauthorized, "no valid key");
}

awaitable<void> BatchService::State::Refuse(Exchange& exchange,
                                            const base::Error& error,
                                            policy::RunState run) {
  (void)co_await exchange.Send(ErrorHead(HttpStatusOf(error), run),
                               ErrorBody(error));
}

/// Reads the row of a job. Errors: kNotFound and those of the store.
awaitable<base::Outcome<policy::BatchJob>> BatchService::State::FindJob(
    const base::Organisation& organisation, const std::string& id,
    base::Instant deadline) {
  const auto key = policy::JobRowKey(organisation, base::JobId(id));
  base::TableScan scan;
  scan.prefix = key;
  scan.limit = 1;
  const auto page =
      co_await ScanTable(this->runtime->platform, std::move(scan), deadline);
  if (!page.ok()) co_return page.error();
  if (page->rows.empty() || page->rows.front().key != key) {
    co_return base::Error(base::Errc::kNotFound, "no such job");
  }
  co_return policy::DecodeJob(page->rows.front().value);
}

/// Reads the body and returns its digest. If `upload` isn't null, stores the
/// chunks through it.
awaitable<base::Outcome<std::string>> BatchService::State::ReceiveBody(
    Exchange& exchange, BatchUpload* upload) {
  ChunkSplitter splitter;
  std::uint64_t bytes = 0;
  bool more = true;
  while (more) {
    const auto part = co_await exchange.ReadPart();
    if (!part.ok()) co_return part.error();
    more = !part->empty();
    bytes += part->size();
    if (bytes > this->runtime->settings.max_batch_bytes) {
      co_return base::Error(base::Errc::kInvalid, "the body is too large");
    }
    auto chunks = more ? splitter.Append(*part) : splitter.Finish();
    if (!chunks.ok()) co_return chunks.error();
    if (upload == nullptr) continue;
    for (auto& chunk : *chunks) {
      const auto added = co_await upload->AddChunk(std::move(chunk));
      if (!added.ok()) {
        co_return base::Error(base::Errc::kUnavailable, added.error().message);
      }
    }
  }
  if (splitter.digest().empty())
    co_return base::Error(base::Errc::kInvalid, "the body has no items");
  co_return splitter.digest();
}

awaitable<void> BatchService::State::Submit(Exchange& exchange) {
  const auto organisation = this->Authenticate(exchange.request());
  if (!organisation.ok()) {
    co_return co_await this->Refuse(exchange, organisation.error());
  }
  auto job =
      ParseSubmission(exchange.request(), *organisation, *this->hooks.access(),
                      this->runtime->clock.wall());
  if (!job.ok()) co_return co_await this->Refuse(exchange, job.error());
  const auto known = co_await this->FindJob(*organisation, job->id.text,
                                            this->StoreDeadline());
  if (known.ok()) {
    co_return co_await this->Resubmit(exchange, *known, *job);
  }
  if (!known.error().Is(base::Errc::kNotFound)) {
    co_return co_await this->Refuse(exchange, known.error());
  }
  co_await this->SubmitNewJob(exchange, std::move(*job));
}

/// Handles a submission whose id is already in use. The body is read only to
/// compare its digest.
awaitable<void> BatchService::State::Resubmit(
    Exchange& exchange, const policy::BatchJob& known,
    const policy::BatchJob& submitted) {
  const auto digest = co_await this->ReceiveBody(exchange, nullptr);
  if (!digest.ok()) co_return co_await this->Refuse(exchange, digest.error());
  auto resubmitted = submitted;
  resubmitted.digest = *digest;
  co_await this->SendKnownJob(exchange, known, resubmitted);
}

/// Responds with the existing job if it is the same as the submitted one, so
/// that a submission can be repeated safely. Otherwise sends a conflict.
awaitable<void> BatchService::State::SendKnownJob(
    Exchange& exchange, const policy::BatchJob& known,
    const policy::BatchJob& submitted) {
  const bool same_job =
      known.digest == submitted.digest && known.service == submitted.service &&
      known.model == submitted.model && known.path == submitted.path;
  if (!same_job) {
    co_return co_await this->Refuse(
        exchange, base::Error(base::Errc::kConflict,
                              "another job was accepted under this id"));
  }
  (void)co_await exchange.Send(
      JsonHead(200), boost::json::serialize(JobSummary(known)) + "\n");
}

awaitable<void> BatchService::State::SubmitNewJob(Exchange& exchange,
                                                  policy::BatchJob job) {
  const auto deadline = exchange.deadline() - kResponseReserve;
  BatchUpload upload(*this->runtime, base::RandomHex(kUidBytes), deadline);
  const auto digest = co_await this->ReceiveBody(exchange, &upload);
  if (!digest.ok()) {
    co_await upload.Abandon();
    co_return co_await this->Refuse(exchange, digest.error());
  }
  job.digest = *digest;
  const auto accepted = co_await upload.Accept(job);
  if (accepted.ok()) {
    kLog.Info("Accepted job {} of organisation {}: {} items in {} chunks.",
              job.id.text, job.organisation.text, job.items, job.chunks);
    this->runner.OnAccepted(job);
    (void)co_await exchange.Send(
        JsonHead(201), boost::json::serialize(JobSummary(job)) + "\n");
    co_return;
  }
  if (accepted.error().Is(base::Errc::kUnknown)) {
    co_return co_await this->Refuse(exchange, accepted.error(),
                                    policy::RunState::kUnknown);
  }
  co_await upload.Abandon();
  if (!accepted.error().Is(base::Errc::kConflict)) {
    co_return co_await this->Refuse(exchange, accepted.error());
  }
  // A job with this id was accepted in the meantime, perhaps by another VM.
  const auto known = co_await this->FindJob(job.organisation, job.id.text,
                                            this->StoreDeadline());
  if (known.ok()) co_return co_await this->SendKnownJob(exchange, *known, job);
  co_await this->Refuse(
      exchange, base::Error(base::Errc::kUnavailable, "not accepted in time"));
}

awaitable<void> BatchService::State::HandleGet(Exchange& exchange) {
  const auto organisation = this->Authenticate(exchange.request());
  if (!organisation.ok()) {
    co_return co_await this->Refuse(exchange, organisation.error());
  }
  const auto path = SplitPath(exchange.request().path);
  if (path.id.empty()) co_return co_await this->List(exchange, *organisation);
  auto job =
      co_await this->FindJob(*organisation, path.id, this->StoreDeadline());
  if (!job.ok()) co_return co_await this->Refuse(exchange, job.error());
  if (path.subpath.empty()) {
    co_await this->Show(exchange, std::move(*job));
  } else if (path.subpath == "results") {
    co_await this->SendResults(exchange, std::move(*job));
  } else {
    co_await this->Refuse(
        exchange, base::Error(base::Errc::kNotFound, "no such resource"));
  }
}

awaitable<void> BatchService::State::List(Exchange& exchange,
                                          base::Organisation organisation) {
  boost::json::array jobs;
  base::TableScan scan;
  scan.prefix = policy::JobPrefix(organisation);
  scan.limit = kMaxPageRows;
  scan.after = GetParameter(ParseQuery(exchange.request().query), "after");
  if (!scan.after.empty()) scan.after = scan.prefix + scan.after;
  const auto page =
      co_await ScanTable(this->runtime->platform, scan, this->StoreDeadline());
  if (!page.ok()) co_return co_await this->Refuse(exchange, page.error());
  for (const auto& row : page->rows) {
    const auto job = policy::DecodeJob(row.value);
    if (job.ok()) jobs.push_back(JobSummary(*job));
  }
  boost::json::object out;
  out["jobs"] = std::move(jobs);
  out["more"] = page->more;
  (void)co_await exchange.Send(JsonHead(200),
                               boost::json::serialize(out) + "\n");
}

awaitable<void> BatchService::State::Show(Exchange& exchange,
                                          policy::BatchJob job) {
  const auto progress =
      co_await CollectProgress(*this->runtime, std::move(job));
  if (!progress.ok())
    co_return co_await this->Refuse(exchange, progress.error());
  const auto details = JobDetails(*progress, this->runtime->clock.wall());
  (void)co_await exchange.Send(JsonHead(200),
                               boost::json::serialize(details) + "\n");
}

/// Writes the results of one chunk, limited to the items with indices from
/// `from` up to, but not including, `to`.
awaitable<base::Status> BatchService::State::WriteChunkResults(
    Exchange& exchange, const policy::ResultRow& row, std::uint64_t from,
    std::uint64_t to) {
  const auto bytes = co_await GetObject(this->runtime->platform, row.object,
                                        this->StoreDeadline());
  if (!bytes.ok()) co_return bytes.error();
  const auto results = policy::DecodeResults(*bytes);
  if (!results.ok()) co_return results.error();
  std::string lines;
  for (const auto& [index, result] : *results) {
    const auto item = row.first_item + index;
    if (item >= from && item < to) lines += ResultLine(item, result);
  }
  if (lines.empty()) co_return base::Done{};
  co_return co_await exchange.WritePart(std::move(lines));
}

/// Streams the results of the items with indices from `from` up to, but not
/// including, `to`, in order. Items without a result are left out.
awaitable<void> BatchService::State::SendResults(Exchange& exchange,
                                                 policy::BatchJob job) {
  const auto query = ParseQuery(exchange.request().query);
  const auto from = GetNumber(query, "from", 0);
  const auto to = std::min(GetNumber(query, "to", job.items), job.items);
  base::TableScan scan;
  scan.prefix = policy::ResultPrefix(job.uid);
  scan.limit = kMaxPageRows;
  auto page =
      co_await ScanTable(this->runtime->platform, scan, this->StoreDeadline());
  if (!page.ok()) co_return co_await this->Refuse(exchange, page.error());
  auto head = JsonHead(200);
  head.headers.front().value = "application/jsonl";
  const auto stream_begun = co_await exchange.BeginStream(std::move(head));
  if (!stream_begun.ok()) co_return;
  while (true) {
    for (const auto& row : page->rows) {
      const auto result = policy::DecodeResult(row.value);
      if (!result.ok()) co_return exchange.Abort();
      const auto count = result->completed + result->failed + result->unknown;
      if (result->first_item + count <= from) continue;
      if (result->first_item >= to) break;
      const auto written =
          co_await this->WriteChunkResults(exchange, *result, from, to);
      if (!written.ok()) co_return exchange.Abort();
    }
    if (!page->more) break;
    scan.after = page->rows.back().key;
    page = co_await ScanTable(this->runtime->platform, scan,
                              this->StoreDeadline());
    if (!page.ok()) co_return exchange.Abort();
  }
  (void)co_await exchange.EndStream();
}

awaitable<void> BatchService::State::HandlePost(Exchange& exchange) {
  const auto path = SplitPath(exchange.request().path);
  if (path.id.empty()) co_return co_await this->Submit(exchange);
  const auto organisation = this->Authenticate(exchange.request());
  if (!organisation.ok()) {
    co_return co_await this->Refuse(exchange, organisation.error());
  }
  auto job =
      co_await this->FindJob(*organisation, path.id, this->StoreDeadline());
  if (!job.ok()) co_return co_await this->Refuse(exchange, job.error());
  if (path.subpath != "cancel") {
    co_return co_await this->Refuse(
        exchange, base::Error(base::Errc::kNotFound, "no such resource"));
  }
  co_await this->Cancel(exchange, std::move(*job));
}

/// Cancels the job if it hasn't finished, and sends its state. A job that
/// finishes meanwhile isn't an error.
awaitable<void> BatchService::State::Cancel(Exchange& exchange,
                                            policy::BatchJob job) {
  if (job.state != policy::JobState::kFinished) {
    auto cancel = [this, job](auto handler) {
      this->runner.Cancel(job, std::move(handler));
    };
    const auto status = co_await AwaitHandler<base::Status>(std::move(cancel));
    if (!status.ok() && !status.error().Is(base::Errc::kConflict)) {
      co_return co_await this->Refuse(exchange, status.error(),
                                      policy::RunState::kUnknown);
    }
    auto current = co_await this->FindJob(job.organisation, job.id.text,
                                          this->StoreDeadline());
    if (current.ok()) job = std::move(*current);
  }
  (void)co_await exchange.Send(JsonHead(200),
                               boost::json::serialize(JobSummary(job)) + "\n");
}

BatchService::BatchService(const Runtime& runtime, BatchHooks hooks,
                           policy::BatchOptions options)
    : state(std::make_shared<State>(runtime, std::move(hooks), options)) {}

BatchService::~BatchService() = default;

void BatchService::Register(Router& router) {
  const std::string prefix(kBatchesPath);
  router.Add("GET", prefix, [state = this->state](Exchange& exchange) {
    return state->HandleGet(exchange);
  });
  router.Add("POST", prefix, [state = this->state](Exchange& exchange) {
    return state->HandlePost(exchange);
  });
}

void BatchService::RegisterAdmin(Router& router) {
  AddBatchAdminRoutes(
      router, *this->state->runtime,
      [state = this->state](const policy::BatchJob& job, auto handler) {
        state->runner.Cancel(job, std::move(handler));
      });
}

void BatchService::Start() { this->state->runner.Start(); }

void BatchService::Stop(std::function<void()> done) {
  this->state->runner.Stop(std::move(done));
}

}  // namespace gypsumtrack::gateway
