#ifndef GYPSUMTRACK_GATEWAY_SRC_SERVING_OWNED_JOB_H_
#define GYPSUMTRACK_GATEWAY_SRC_SERVING_OWNED_JOB_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gypsumtrack/gateway/endpoint_client.h"
#include "gypsumtrack/gateway/serving/store_layout.h"
#include "gypsumtrack/gateway/serving/wire.h"
#include "gypsumtrack/policy/serving/job_owners.h"
#include "gypsumtrack/policy/serving/job_run.h"

/// A job that this daemon runs.
namespace gypsumtrack::gateway {

using policy::JobKey;

/// An item at an endpoint.
struct RunningItem {
  base::EndpointId endpoint;
  std::shared_ptr<CallCancellation> cancel;
  base::Instant began{};
};

struct OwnedJob {
  JobKey key;
  layout::JobRow row;
  std::vector<SubmittedItem> items;
  policy::JobRun run;
  /// Of the owner's row: commits expect it.
  std::uint64_t owner_version = 0;
  base::Instant due = base::kNever;
  base::Instant given_up_at = base::kNever;
  std::map<std::size_t, RunningItem> running;
  bool committing = false;
  /// Another daemon has it, or it was ended: nothing more is run or listed.
  bool dropped = false;
};

using OwnedJobPtr = std::shared_ptr<OwnedJob>;

/// The items as the policy sees them.
std::vector<policy::JobItem> ToJobItems(
    const std::vector<SubmittedItem>& items);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_SERVING_OWNED_JOB_H_
