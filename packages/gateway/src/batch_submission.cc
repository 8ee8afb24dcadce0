#include "batch_submission.h"

#include <algorithm>
#include <utility>

#include "gypsumtrack/gateway/rfc3339.h"
#include "query_parameters.h"

namespace gypsumtrack::gateway {
namespace {

constexpr std::string_view kDefaultItemPath = "/v1/completions";
constexpr auto kDefaultRetention = std::chrono::hours(24 * 7);
constexpr auto kMaxRetention = std::chrono::hours(24 * 90);

base::Error Invalid(std::string text) {
  return {base::Errc::kInvalid, std::move(text)};
}

}  // namespace

base::Outcome<policy::BatchJob> ParseSubmission(
    const RequestHead& head, const base::Organisation& organisation,
    const policy::AccessSnapshot& access, base::WallTime now) {
  const auto query = ParseQuery(head.query);
  policy::BatchJob job;
  job.organisation = organisation;
  const auto* key = head.Find("Idempotency-Key");
  job.id.text = key != nullptr ? *key : GetParameter(query, "id");
  if (!policy::IsJobId(job.id.text)) {
    return Invalid("id or Idempotency-Key: expected 1 to 128 of A-Za-z0-9._-");
  }
  job.service.text = GetParameter(query, "service");
  job.model.text = GetParameter(query, "model");
  if (job.service.empty() && job.model.empty()) {
    return Invalid("service or model: expected one of them");
  }
  job.path = GetParameter(query, "path");
  if (job.path.empty()) job.path = kDefaultItemPath;
  const auto due = ParseRfc3339(GetParameter(query, "due"));
  if (!due) return Invalid("due: expected a time such as 2026-12-01T08:00:00Z");
  job.due_at = *due;
  job.accepted_at = now;
  job.keep_until = std::max(job.due_at, job.accepted_at) + kDefaultRetention;
  if (const auto text = GetParameter(query, "keep_until"); !text.empty()) {
    const auto keep = ParseRfc3339(text);
    if (!keep || *keep <= job.due_at ||
        *keep > job.accepted_at + kMaxRetention) {
      return Invalid("keep_until: expected a time after due, within 90 days");
    }
    job.keep_until = *keep;
  }
  policy::AccessRequest request;
  request.service = job.service;
  request.model = job.model;
  request.method = "POST";
  request.path = job.path;
  const auto* rule = access.FindRule(organisation, request);
  if (rule == nullptr || !rule->bulk) {
    return base::Error(base::Errc::kForbidden,
                       "no rule allows this work in bulk");
  }
  if (job.service.empty()) job.service = rule->id.service;
  job.idempotent = rule->idempotent;
  job.share = rule->share;
  return job;
}

}  // namespace gypsumtrack::gateway
