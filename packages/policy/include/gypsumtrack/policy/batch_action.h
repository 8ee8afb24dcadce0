#ifndef GYPSUMTRACK_POLICY_BATCH_ACTION_H_
#define GYPSUMTRACK_POLICY_BATCH_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/table.h"

/// What a batch decision asks of its daemon, and what the daemon answers.
namespace gypsumtrack::policy {

/// Each call to the store carries an id, which its reply repeats.
using CallId = std::uint64_t;
using RunId = std::uint64_t;

struct CommitCall {
  CallId id = 0;
  base::TableCommit commit;
};

struct ScanCall {
  CallId id = 0;
  base::TableScan scan;
};

struct PutCall {
  CallId id = 0;
  std::string name;
  std::string bytes;
};

struct GetCall {
  CallId id = 0;
  std::string name;
};

struct RemoveCall {
  CallId id = 0;
  std::string name;
};

/// Sends an item to an endpoint.
struct StartItem {
  RunId run = 0;
  std::string job_uid;
  std::uint32_t chunk = 0;
  /// Position in the chunk's lines.
  std::uint32_t item = 0;
  base::Organisation organisation;
  base::Service service;
  base::Model model;
  std::string path;
  bool idempotent = true;
  base::EndpointId endpoint;
  std::string body;
  /// What the endpoint before had streamed when it was stopped.
  std::string streamed;
};

/// Cancels a running item's stream; it still ends, with kStopped or sooner.
struct StopItem {
  RunId run = 0;
};

/// Asks peers which of these jobs have ended, by their rows in the index of
/// open jobs. The answer is `OnPeerResponse`.
struct QueryPeers {
  CallId id = 0;
  std::vector<std::string> open_keys;
};

/// Tells the daemons that can be reached that a job was cancelled.
struct NotifyPeers {
  std::string job_uid;
};

using BatchAction =
    std::variant<CommitCall, ScanCall, PutCall, GetCall, RemoveCall, StartItem,
                 StopItem, QueryPeers, NotifyPeers>;

/// How a sent item ended.
enum class ItemOutcome {
  kCompleted,       ///< the endpoint gave the whole answer
  kRejected,        ///< the endpoint answered that it can't do the item
  kEndpointFailed,  ///< no whole answer; it may have run
  kNotRun,          ///< no byte left, or refused before running
  kStopped,         ///< StopItem took effect
};

inline constexpr auto kItemOutcomeNames = base::MakeEnumTable<ItemOutcome>({
    {ItemOutcome::kCompleted, "completed"},
    {ItemOutcome::kRejected, "rejected"},
    {ItemOutcome::kEndpointFailed, "endpoint_failed"},
    {ItemOutcome::kNotRun, "not_run"},
    {ItemOutcome::kStopped, "stopped"},
});

struct RunResult {
  ItemOutcome outcome = ItemOutcome::kNotRun;
  /// The answer when completed; the part streamed so far when stopped.
  std::string body;
  /// For a person, when not completed.
  std::string reason;
};

/// What the endpoints may be given now.
struct BatchCapacity {
  base::EndpointId endpoint;
  base::Service service;
  std::vector<base::Model> models;
  /// Batch items that may run there at once.
  std::uint32_t slots = 0;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_BATCH_ACTION_H_
