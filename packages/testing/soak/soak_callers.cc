#include "soak_callers.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <iterator>
#include <memory>
#include <utility>

#include "gypsumtrack/gateway/http_status.h"
#include "gypsumtrack/gateway/serving/row_store_await.h"

namespace gypsumtrack::testing {
namespace {

namespace code = gateway::status;

namespace asio = boost::asio;
namespace json = boost::json;
using gateway::Pause;
using std::chrono::milliseconds;

constexpr base::Duration kCallTimeout = milliseconds(4000);
constexpr base::Duration kConnectTimeout = milliseconds(1000);
constexpr base::Duration kDisconnectAfter = milliseconds(40);
constexpr const char* kDeadlineMs = "3000";
constexpr std::size_t kSubmissionAttempts = 6;
constexpr JobShape kShortJob{.items = 3};
/// Its items take 3.6 s, longer than the bound on items after the end of a job,
/// and more than the endpoints have room for wait.
constexpr JobShape kLongJob{.items = 12, .event_pause_millis = 600};
/// Long enough for another daemon to take over the job of a daemon that was
/// killed.
constexpr std::size_t kMaxMillisBeforeEnd = 6000;
/// The same for the half of the jobs that end soon after their acceptance.
constexpr std::size_t kMaxMillisBeforeEarlyEnd = 600;

std::string ExpectedStream() {
  std::string stream;
  for (std::uint64_t i = 1; i <= EngineStandin::kEvents; ++i) {
    stream += fmt::format("id: {}\ndata: word{}\n\n", i, i);
  }
  return stream;
}

std::string ExpectedOutput() {
  std::string output;
  for (std::uint64_t i = 1; i <= EngineStandin::kEvents; ++i) {
    if (i > 1) output += "\n";
    output += fmt::format("word{}", i);
  }
  return output;
}

std::vector<CallHeader> MakeHeaders(const std::string& id,
                                    const std::string& key) {
  return {{"X-Gypsumtrack-Request-Id", id},
          {"X-Api-Key", key},
          {"X-Gypsumtrack-Deadline-Ms", kDeadlineMs}};
}

json::object MakeItem(const std::string& id, const std::string& target,
                      const JobShape& shape) {
  const auto pause = std::to_string(shape.event_pause_millis);
  return {{"id", id},
          {"path", target},
          {"headers", json::object{{"X-Event-Pause-Ms", pause}}},
          {"body", "q83v"},
          {"tokens", 10}};
}

void CheckStream(InvariantChecker& checker, const std::string& id,
                 const CallResponse& response) {
  if (response.status != code::kOk) return;
  if (!ExpectedStream().starts_with(response.body)) {
    checker.AddViolation(
        fmt::format("{}: wrong events: {}", id, response.body));
  }
  if (response.complete && response.body != ExpectedStream()) {
    checker.AddViolation(id + ": response is complete without its last event");
  }
  if (response.headers["X-Gypsumtrack-Response-Seal"].empty()) {
    checker.AddViolation(id +
                         ": success without a response seal of the endpoint");
  }
  if (response.headers["X-Gypsumtrack-Request-Id"] != id) {
    checker.AddViolation(id + ": response carries the id of another request");
  }
}

/// Sends requests for streams, reusing its connection where possible.
class StreamCaller {
 public:
  explicit StreamCaller(CallerContext& caller_context)
      : context(caller_context) {}

  asio::awaitable<void> Run() {
    while (!this->context.stopped) {
      const bool open = co_await this->Open();
      if (open) co_await this->SendRequest();
      co_await Pause(milliseconds(10 + this->context.RandomBelow(50)));
    }
  }

 private:
  asio::awaitable<bool> Open() {
    if (this->connection) co_return true;
    const auto& daemon = this->context.RandomDaemon();
    this->daemon = daemon.name;
    this->connection = std::make_unique<CallConnection>(this->context.executor,
                                                        daemon.address);
    const auto started_at = this->context.clock.now();
    const bool open = co_await this->connection->Connect(kConnectTimeout);
    if (!open) {
      this->connection.reset();
      this->RecordTry(started_at, 0);
    }
    co_return open;
  }

  /// Records a try that ends now.
  void RecordTry(base::Instant sent_at, unsigned status) {
    this->context.checker.RecordTry(
        {this->daemon, sent_at, this->context.clock.now(), status});
  }

  asio::awaitable<void> SendRequest() {
    const auto key =
        this->context
            .keys[this->context.RandomBelow(this->context.keys.size())];
    const auto id = this->context.NextId("stream");
    RequestRecord record;
    record.organisation = key.organisation;
    record.key = key.key;
    record.resumable = this->context.RandomBelow(3) > 0;
    record.target = (record.resumable ? "/loans/" : "/returns/") + id;
    const auto sent_at = this->context.clock.now();
    record.sent_at = sent_at;
    CallRequest request{"POST", record.target, MakeHeaders(id, key.key),
                        "prompt"};
    record.caller_left = this->context.RandomBelow(20) == 0;
    const bool disconnects = record.caller_left;
    this->context.checker.RecordRequest(id, std::move(record));
    if (disconnects) {
      co_await this->connection->CallAndDisconnect(std::move(request),
                                                   kDisconnectAfter);
      this->connection.reset();
      co_return;
    }
    const auto response =
        co_await this->connection->Call(std::move(request), kCallTimeout);
    const bool incomplete = response.status == code::kOk && !response.complete;
    const auto status = incomplete ? 0 : response.status;
    this->context.checker.RecordResponse(id, status);
    this->RecordTry(sent_at, status);
    CheckStream(this->context.checker, id, response);
    if (!response.keep_alive || this->context.RandomBelow(10) == 0) {
      this->connection.reset();
    }
  }

  CallerContext& context;
  /// The name of the daemon that was chosen last.
  std::string daemon;
  std::unique_ptr<CallConnection> connection;
};

}  // namespace

asio::awaitable<void> RunStreamCaller(CallerContext& context) {
  StreamCaller caller(context);
  co_await caller.Run();
}

JobCaller::JobCaller(CallerContext& caller_context) : context(caller_context) {}

asio::awaitable<void> JobCaller::Run() {
  while (!this->context.stopped) {
    if (this->jobs.empty() || this->context.RandomBelow(4) == 0) {
      co_await this->Submit(kShortJob);
    } else {
      const auto chosen = this->context.RandomBelow(this->jobs.size());
      co_await this->Read(
          *std::next(this->jobs.begin(), static_cast<std::ptrdiff_t>(chosen)));
    }
    co_await Pause(milliseconds(50 + this->context.RandomBelow(150)));
  }
}

asio::awaitable<void> JobCaller::RunAndEndJobs() {
  while (!this->context.stopped) {
    auto* job = co_await this->Submit(kLongJob);
    const bool ends_early = this->context.RandomBelow(2) == 0;
    const milliseconds delay(this->context.RandomBelow(
        ends_early ? kMaxMillisBeforeEarlyEnd : kMaxMillisBeforeEnd));
    const auto end_at = this->context.clock.now() + delay;
    if (job == nullptr) continue;
    while (!this->context.stopped && this->context.clock.now() < end_at) {
      co_await this->Read(*job);
      co_await Pause(milliseconds(20 + this->context.RandomBelow(150)));
    }
    do {
      co_await this->End(*job);
      co_await Pause(milliseconds(20 + this->context.RandomBelow(150)));
    } while (!this->context.stopped && !job->ended);
    if (!job->ended || this->context.RandomBelow(2) == 0) continue;
    // Neither a repeat of the submission nor of the end may change anything.
    co_await this->SendSubmission(*job);
    co_await this->End(*job);
  }
}

asio::awaitable<void> JobCaller::ReadAllResults(base::Instant until) {
  for (auto& job : this->jobs) {
    const auto is_settled = [&job] {
      return job.end_requested ? job.ended : job.complete();
    };
    while (!is_settled() && this->context.clock.now() < until) {
      if (job.end_requested) {
        co_await this->End(job);
      } else {
        co_await this->Read(job);
      }
      co_await Pause(milliseconds(100));
    }
    if (is_settled()) continue;
    if (job.end_requested) {
      this->context.checker.AddViolation(
          fmt::format("the end of job {} is never acknowledged", job.id));
    } else {
      this->context.checker.AddViolation(
          fmt::format("job {} has only {} of {} results at the end", job.id,
                      job.seen_results.size(), job.items.size()));
    }
  }
}

asio::awaitable<AcceptedJob*> JobCaller::Submit(JobShape shape) {
  AcceptedJob job;
  job.id = this->context.NextId("job");
  // The first key is never withdrawn, so a job is not refused for its key.
  job.key = this->context.keys.front();
  json::array items;
  for (std::size_t i = 0; i < shape.items; ++i) {
    const auto item = this->context.NextId("item");
    const auto target = "/sheets/" + item;
    job.items.push_back(item);
    items.push_back(MakeItem(item, target, shape));
    this->context.checker.RecordItem(item,
                                     {job.key.organisation, target, job.id});
  }
  job.submission = json::serialize(json::object{{"requests", items}});
  for (std::size_t i = 0; i < kSubmissionAttempts; ++i) {
    const auto status = co_await this->SendSubmission(job);
    if (status == code::kAccepted) {
      this->jobs.push_back(std::move(job));
      co_return &this->jobs.back();
    }
    co_await Pause(milliseconds(300));
  }
  co_return nullptr;
}

asio::awaitable<unsigned> JobCaller::SendSubmission(const AcceptedJob& job) {
  CallRequest request{"POST", "/sheets/", MakeHeaders(job.id, job.key.key),
                      job.submission};
  const auto response = co_await CallOnce(this->context.RandomDaemon().address,
                                          std::move(request), kCallTimeout);
  this->context.checker.RecordSubmission(job.id, response.status);
  co_return response.status;
}

asio::awaitable<void> JobCaller::End(AcceptedJob& job) {
  job.end_requested = true;
  CallRequest request{"DELETE",
                      fmt::format("/gypsumtrack/lots/{}", job.id),
                      MakeHeaders(this->context.NextId("end"), job.key.key),
                      {}};
  const auto response = co_await CallOnce(this->context.RandomDaemon().address,
                                          std::move(request), kCallTimeout);
  this->CheckExists(job, response.status);
  if (response.status != code::kOk) co_return;
  job.ended = true;
  this->context.checker.RecordEnd(job.id, this->context.clock.now());
}

void JobCaller::CheckExists(const AcceptedJob& job, unsigned status) {
  if (status != code::kNotFound && status != code::kGone) return;
  this->context.checker.AddViolation(
      fmt::format("accepted job {} is missing", job.id));
}

asio::awaitable<void> JobCaller::Read(AcceptedJob& job) {
  // Sometimes reads from an earlier position, to check that results which were
  // read before have not changed.
  const auto after =
      this->context.RandomBelow(3) == 0
          ? this->context.RandomBelow(job.seen_results.size() + 1)
          : job.seen_results.size();
  CallRequest request{
      "GET",
      fmt::format("/gypsumtrack/lots/{}?after={}", job.id, after),
      MakeHeaders(this->context.NextId("read"), job.key.key),
      {}};
  const auto response = co_await CallOnce(this->context.RandomDaemon().address,
                                          std::move(request), kCallTimeout);
  this->CheckExists(job, response.status);
  if (response.status != code::kOk || !response.complete) co_return;
  this->CheckResults(job, after, response.body);
}

void JobCaller::CheckResults(AcceptedJob& job, std::size_t after,
                             const std::string& body) {
  const auto parsed = json::parse(body).as_object();
  if (parsed.at("total").to_number<std::size_t>() != job.items.size()) {
    this->context.checker.AddViolation(
        fmt::format("job {}: wrong total", job.id));
  }
  auto position = after;
  for (const auto& element : parsed.at("results").as_array()) {
    const auto text = json::serialize(element);
    const auto& result = element.as_object();
    const auto item = json::value_to<std::string>(result.at("id"));
    const bool done = result.at("state") == "done";
    const auto known = std::find(job.items.begin(), job.items.end(), item);
    if (known == job.items.end()) {
      this->context.checker.AddViolation(
          "result of an item that is not in the job: " + text);
    }
    if (done && result.at("output") != json::string(ExpectedOutput())) {
      this->context.checker.AddViolation("wrong output: " + text);
    }
    if (position < job.seen_results.size() &&
        job.seen_results[position] != text) {
      this->context.checker.AddViolation(
          fmt::format("job {} position {}: result changed from {} to {}",
                      job.id, position, job.seen_results[position], text));
    }
    if (position == job.seen_results.size()) job.seen_results.push_back(text);
    ++position;
  }
}

}  // namespace gypsumtrack::testing
