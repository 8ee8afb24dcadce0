#include "limits_report.h"

#include <string>

namespace gypsumtrack::gateway {
namespace {

Json::Value EncodeQuota(const policy::Quota& quota) {
  constexpr double kMicroRequests = policy::kMicroRequestsPerRequest;
  Json::Value json;
  json["rate"] = static_cast<double>(quota.rate) / kMicroRequests;
  json["burst"] = static_cast<double>(quota.capacity) / kMicroRequests;
  return json;
}

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Json::Value EncodeShares(const policy::ShareRow& row) {
  Json::Value shares(Json::arrayValue);
  for (const auto& share : row.domains) {
    auto json = EncodeQuota(share.share);
    json["domain"] = share.domain.text;
    json["home"] = share.home.vm.name;
    json["revision"] = static_cast<Json::UInt64>(share.revision);
    // A domain that hasn't yet applied a lowered limit keeps its old share; the
    // shares of the other domains are smaller until it does.
    json["cut_pending"] = share.applied_limit != row.limit;
    shares.append(json);
  }
  return shares;
}

}  // namespace

Json::Value EncodeLimitReport(const policy::LimitReport& report) {
  Json::Value json;
  json["limit"] = report.key.text;
  json["allowed"] = EncodeQuota(report.limit);
  json["slice_tokens"] = report.slice_tokens;
  json["is_home"] = report.is_home;
  if (report.row) {
    json["shares"] = EncodeShares(*report.row);
    json["shares_age_seconds"] = Seconds(report.row_age);
  }
  if (!report.is_home) return json;
  json["lends"] = report.usable;
  json["tokens_left"] = static_cast<double>(report.tokens_left) /
                        policy::kMicroRequestsPerRequest;
  json["borrowed"] = EncodeQuota(report.borrowed);
  for (const auto& holder : report.holders) {
    auto held = EncodeQuota(holder.held);
    held["vm"] = holder.vm.name;
    held["role"] = std::string(policy::kLoanRoleNames.Name(holder.role));
    held["age_seconds"] = Seconds(holder.age);
    json["holders"].append(held);
  }
  return json;
}

}  // namespace gypsumtrack::gateway
