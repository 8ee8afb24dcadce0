#ifndef GYPSUMTRACK_POLICY_BATCH_ACTION_H_
#define GYPSUMTRACK_POLICY_BATCH_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/table.h"

/// Actions that BatchNode requests from its daemon, and their results.
namespace gypsumtrack::policy {

/// Identifies a call to the store or to peers. The reply repeats it.
using CallId = std::uint64_t;
/// Identifies one run of an item at an endpoint. Unique within a BatchNode.
using RunId = std::uint64_t;

/// Commits to the table. The reply is BatchNode::OnStatus.
struct CommitCall {
  CallId id = 0;
  base::TableCommit commit;
};

/// Scans the table. The reply is BatchNode::OnScan.
struct ScanCall {
  CallId id = 0;
  base::TableScan scan;
};

/// Stores an object. The reply is BatchNode::OnStatus.
struct PutCall {
  CallId id = 0;
  std::string name;
  std::string bytes;
};

/// Reads an object. The reply is BatchNode::OnObject.
struct GetCall {
  CallId id = 0;
  std::string name;
};

/// Removes an object. The reply is BatchNode::OnStatus.
struct RemoveCall {
  CallId id = 0;
  std::string name;
};

/// Sends an item to an endpoint. The reply is BatchNode::OnItemEnd.
struct StartItem {
  RunId run = 0;
  std::string job_uid;
  /// Number of the chunk in the job.
  std::uint32_t chunk = 0;
  /// Position of the item in the chunk.
  std::uint32_t item = 0;
  base::Organisation organisation;
  base::Service service;
  base::Model model;
  /// Request path at the endpoint.
  std::string path;
  bool idempotent = true;
  base::EndpointId endpoint;
  /// Request body.
  std::string body;
  /// Output that earlier runs had streamed when they were stopped; empty if the
  /// item starts from the beginning.
  std::string streamed;
};

/// Stops a running item. BatchNode::OnItemEnd still follows, with kStopped
/// unless the item had already ended otherwise.
struct StopItem {
  RunId run = 0;
};

/// Queries peers for which of these jobs have ended. The reply is
/// BatchNode::OnPeerResponse.
struct QueryPeers {
  CallId id = 0;
  /// Keys of the jobs in the index of open jobs.
  std::vector<std::string> open_keys;
};

/// Notifies all reachable peers that a job was cancelled. There is no reply.
struct NotifyPeers {
  std::string job_uid;
};

/// Anything that BatchNode may request.
using BatchAction =
    std::variant<CommitCall, ScanCall, PutCall, GetCall, RemoveCall, StartItem,
                 StopItem, QueryPeers, NotifyPeers>;

/// How a run of an item ended.
enum class ItemOutcome {
  kCompleted,       ///< the endpoint sent a complete response
  kRejected,        ///< the endpoint responded that it can't do the item
  kEndpointFailed,  ///< no complete response; the item may have run
  kNotRun,          ///< nothing was sent, or it was refused before running
  kStopped,         ///< ended by StopItem
};

/// Names of item outcomes.
inline constexpr auto kItemOutcomeNames = base::MakeEnumTable<ItemOutcome>({
    {ItemOutcome::kCompleted, "completed"},
    {ItemOutcome::kRejected, "rejected"},
    {ItemOutcome::kEndpointFailed, "endpoint_failed"},
    {ItemOutcome::kNotRun, "not_run"},
    {ItemOutcome::kStopped, "stopped"},
});

/// Result of one run of an item.
struct RunResult {
  ItemOutcome outcome = ItemOutcome::kNotRun;
  /// Response body if completed; the output streamed so far if stopped.
  std::string body;
  /// Human-readable cause if not completed.
  std::string reason;
};

/// Batch capacity of an endpoint.
struct BatchCapacity {
  base::EndpointId endpoint;
  base::Service service;
  std::vector<base::Model> models;
  /// Maximum number of batch items that run at once.
  std::uint32_t slots = 0;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_BATCH_ACTION_H_
