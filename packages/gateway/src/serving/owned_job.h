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

/// State of a batch job at the daemon that owns and runs it.
namespace gypsumtrack::gateway {

using policy::JobKey;

/// An item that runs at an endpoint.
struct RunningItem {
  base::EndpointId endpoint;
  /// Cancels the request to the endpoint.
  std::shared_ptr<CallCancellation> cancel;
  base::Instant started_at{};
};

/// A job that this daemon owns. Not thread-safe; used on the context's thread.
struct OwnedJob {
  JobKey key;
  layout::JobRow row;
  std::vector<SubmittedItem> items;
  /// Its indexes refer to `items`.
  policy::JobRun run;
  /// Version of the owner row. Transactions fail if the row has another one.
  std::uint64_t owner_version = 0;
  /// The regions whose daemons may own the job.
  policy::RegionLimit allowed_regions;
  /// Where its items may run by the rules in force; set before items start.
  policy::RegionLimit allowed_endpoints;
  /// Time by which the job should be complete.
  base::Instant due = base::kNever;
  /// Time from which no more items are started.
  base::Instant give_up_at = base::kNever;
  /// When this daemon accepted it or took it over. Rules that were confirmed by
  /// then may be older than its route.
  base::Instant acquired_at{};
  /// Running items by their index.
  std::map<std::size_t, RunningItem> running;
  /// Whether a coroutine is committing results.
  bool committing = false;
  /// The job isn't run here any more, e.g. since another daemon owns it or it
  /// was ended: no more items are started and no more results committed.
  bool dropped = false;
};

using OwnedJobPtr = std::shared_ptr<OwnedJob>;

/// Converts the items to those of policy::JobRun.
std::vector<policy::JobItem> ToJobItems(
    const std::vector<SubmittedItem>& items);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_SERVING_OWNED_JOB_H_
