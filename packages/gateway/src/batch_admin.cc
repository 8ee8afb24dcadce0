#include "batch_admin.h"

#include <json/reader.h>

#include <sstream>
#include <string>
#include <utility>

#include "batch_progress.h"
#include "gypsumtrack/gateway/store_await.h"

namespace gypsumtrack::gateway {
namespace {

using boost::asio::awaitable;

constexpr const char* kBatchesPath = "/admin/batches";
constexpr const char* kCancelSuffix = "/cancel";
constexpr std::uint32_t kMaxListedJobs = 1000;

/// Converts to the JSON type of the operators' API.
Json::Value ToAdminJson(const boost::json::object& object) {
  Json::Value value;
  std::istringstream text(boost::json::serialize(object));
  text >> value;
  return value;
}

base::Error JobNotFoundError() {
  return {base::Errc::kNotFound, "no such job; expected ORG/ID"};
}

awaitable<AdminReply> ListJobs(const Runtime& runtime) {
  base::TableScan scan;
  scan.prefix = policy::JobPrefix();
  scan.limit = kMaxListedJobs;
  const auto deadline = runtime.clock.now() + kStoreTimeout;
  const auto page = co_await ScanTable(runtime.platform, scan, deadline);
  if (!page.ok()) co_return MakeAdminError(page.error());
  AdminReply reply;
  reply.body = Json::Value(Json::arrayValue);
  for (const auto& row : page->rows) {
    const auto job = policy::DecodeJob(row.value);
    if (!job.ok()) continue;
    auto summary = ToAdminJson(JobSummary(*job));
    summary["organisation"] = job->organisation.text;
    reply.body.append(summary);
  }
  co_return reply;
}

/// Finds a job by `name`, which is ORG/ID. Errors: kNotFound and those of the
/// store.
awaitable<base::Outcome<policy::BatchJob>> FindJob(const Runtime& runtime,
                                                   std::string name) {
  const auto slash = name.find('/');
  if (slash == std::string::npos) co_return JobNotFoundError();
  base::TableScan scan;
  scan.prefix = policy::JobRowKey(base::Organisation(name.substr(0, slash)),
                                  base::JobId(name.substr(slash + 1)));
  scan.limit = 1;
  const auto deadline = runtime.clock.now() + kStoreTimeout;
  const auto page = co_await ScanTable(runtime.platform, scan, deadline);
  if (!page.ok()) co_return page.error();
  if (page->rows.empty() || page->rows.front().key != scan.prefix) {
    co_return JobNotFoundError();
  }
  co_return policy::DecodeJob(page->rows.front().value);
}

awaitable<AdminReply> ShowJob(const Runtime& runtime, std::string name) {
  auto job = co_await FindJob(runtime, std::move(name));
  if (!job.ok()) co_return MakeAdminError(job.error());
  const auto progress = co_await CollectProgress(runtime, std::move(*job));
  if (!progress.ok()) co_return MakeAdminError(progress.error());
  AdminReply reply;
  reply.body = ToAdminJson(JobDetails(*progress, runtime.clock.wall()));
  co_return reply;
}

awaitable<base::Status> AwaitCancel(const CancelJobHook& cancel,
                                    policy::BatchJob job) {
  return AwaitHandler<base::Status>(
      [&cancel, job = std::move(job)](auto handler) mutable {
        cancel(std::move(job), std::move(handler));
      });
}

awaitable<AdminReply> CancelAndShowJob(const Runtime& runtime,
                                       CancelJobHook cancel, std::string name) {
  auto job = co_await FindJob(runtime, name);
  if (!job.ok()) co_return MakeAdminError(job.error());
  const auto status = co_await AwaitCancel(cancel, std::move(*job));
  if (!status.ok()) co_return MakeAdminError(status.error());
  co_return co_await ShowJob(runtime, std::move(name));
}

}  // namespace

void AddBatchAdminRoutes(Router& router, const Runtime& runtime,
                         CancelJobHook cancel) {
  AddAdminRoute(router, runtime, "GET", kBatchesPath,
                [&runtime](AdminRequest request) {
                  if (request.tail.empty()) return ListJobs(runtime);
                  return ShowJob(runtime, std::move(request.tail));
                });
  AddAdminRoute(
      router, runtime, "POST", kBatchesPath,
      [&runtime, cancel = std::move(cancel)](AdminRequest request) {
        auto name = std::move(request.tail);
        if (name.ends_with(kCancelSuffix)) {
          name.resize(name.size() - std::string(kCancelSuffix).size());
        }
        return CancelAndShowJob(runtime, cancel, std::move(name));
      });
}

}  // namespace gypsumtrack::gateway
