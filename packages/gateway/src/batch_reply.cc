#include "batch_reply.h"

#include <algorithm>
#include <utility>

#include "gypsumtrack/gateway/rfc3339.h"

namespace gypsumtrack::gateway {
namespace {

/// The end is estimated only once this fraction of the items has ended.
constexpr double kMinFractionForEstimate = 0.01;

}  // namespace

boost::json::object JobSummary(const policy::BatchJob& job) {
  boost::json::object out;
  out["id"] = job.id.text;
  out["state"] = policy::kJobStateNames.Name(job.state);
  if (!job.service.empty()) out["service"] = job.service.text;
  if (!job.model.empty()) out["model"] = job.model.text;
  out["path"] = job.path;
  out["items"] = job.items;
  out["accepted"] = FormatRfc3339(job.accepted_at);
  out["due"] = FormatRfc3339(job.due_at);
  out["keep_until"] = FormatRfc3339(job.keep_until);
  return out;
}

boost::json::object JobDetails(const JobProgress& progress,
                               base::WallTime now) {
  const auto& job = progress.job;
  const auto ended = progress.completed + progress.failed + progress.unknown;
  const auto items = std::max<std::uint64_t>(job.items, 1);
  const double fraction_ended =
      static_cast<double>(ended) / static_cast<double>(items);
  boost::json::object counts;
  counts["completed"] = progress.completed;
  counts["failed"] = progress.failed;
  counts["unknown"] = progress.unknown;
  const bool is_open = job.state == policy::JobState::kOpen;
  counts[job.state == policy::JobState::kCancelled ? "cancelled" : "waiting"] =
      job.items - ended;
  auto out = JobSummary(job);
  out["counts"] = std::move(counts);
  out["percent"] = 100.0 * fraction_ended;
  if (!is_open) return out;
  const auto elapsed = now - job.accepted_at;
  bool due_in_danger = now > job.due_at;
  if (fraction_ended >= kMinFractionForEstimate) {
    const auto expected_duration =
        std::chrono::milliseconds(static_cast<std::int64_t>(
            static_cast<double>(elapsed.count()) / fraction_ended));
    const auto expected_end = job.accepted_at + expected_duration;
    out["expected_end"] = FormatRfc3339(expected_end);
    due_in_danger = due_in_danger || expected_end > job.due_at;
  }
  out["due_in_danger"] = due_in_danger;
  return out;
}

std::string ResultLine(std::uint64_t item, const policy::ItemResult& result) {
  boost::json::object line;
  line["item"] = item;
  line["state"] = policy::kItemStateNames.Name(result.state);
  if (result.state == policy::ItemState::kCompleted) {
    boost::json::error_code error;
    auto body = boost::json::parse(result.body, error);
    if (error) {
      line["text"] = result.body;
    } else {
      line["response"] = std::move(body);
    }
  } else {
    line["reason"] = result.reason;
  }
  return boost::json::serialize(line) + "\n";
}

ResponseHead JsonHead(unsigned status) {
  return {status, {{"Content-Type", "application/json"}}};
}

ResponseHead ErrorHead(unsigned status, policy::RunState run) {
  auto head = JsonHead(status);
  head.headers.push_back(
      {"Gypsumtrack-Run", std::string(policy::kRunStateNames.Name(run))});
  return head;
}

std::string ErrorBody(const base::Error& error) {
  boost::json::object out;
  out["error"] = error.message;
  return boost::json::serialize(out) + "\n";
}

unsigned HttpStatusOf(const base::Error& error) {
  if (error.Is(base::Errc::kInvalid)) return 400;
  if (error.Is(base::Errc::kUnauthorized)) return 401;
  if (error.Is(base::Errc::kForbidden)) return 403;
  if (error.Is(base::Errc::kNotFound)) return 404;
  if (error.Is(base::Errc::kConflict)) return 409;
  return 503;
}

}  // namespace gypsumtrack::gateway
