#ifndef GYPSUMTRACK_POLICY_BATCH_STORE_CALLS_H_
#define GYPSUMTRACK_POLICY_BATCH_STORE_CALLS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/table.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/batch_action.h"

/// Calls to the store, repeated until they are settled.
namespace gypsumtrack::policy {

/// Whether a failed call is sent again.
enum class CallMode {
  kUntilSettled,  ///< retried until the store reports a definite result
  kOnce,          ///< any reply settles it
};

/// Keeps the callback of each call and retries calls under the same operation
/// id until their result is known. While the store is unavailable, each Tick
/// retries at most one call, to probe it. Not thread-safe.
class StoreCalls {
 public:
  /// Callbacks that receive the time and the result of a call.
  using StatusReply = std::function<void(base::Instant, const base::Status&)>;
  using ScanReply =
      std::function<void(base::Instant, base::Outcome<base::ScanReply>)>;
  using ObjectReply =
      std::function<void(base::Instant, base::Outcome<std::string>)>;

  /// `vm` makes operation ids unique and spreads the retries of VMs.
  explicit StoreCalls(const base::VmId& vm);

  // Commands. Each `reply` may be null, and otherwise runs once, from OnStatus,
  // OnScan or OnObject.

  /// Commits to the table.
  void Commit(base::Instant now, base::TableCommit commit, CallMode mode,
              StatusReply reply);
  /// Scans the table.
  void Scan(base::Instant now, base::TableScan scan, CallMode mode,
            ScanReply reply);
  /// Stores an object. Retried until settled, as are Get and Remove.
  void Put(base::Instant now, std::string name, std::string bytes,
           StatusReply reply);
  /// Reads an object.
  void Get(base::Instant now, std::string name, ObjectReply reply);
  /// Removes an object.
  void Remove(base::Instant now, std::string name, StatusReply reply);
  /// Queries peers once for which open jobs have ended. The reply runs from
  /// OnStatus.
  void SendPeerQuery(base::Instant now, std::vector<std::string> open_keys,
                     StatusReply reply);

  /// Handles the reply to a commit, put, remove or peer query. Replies to
  /// unknown calls are ignored, here and below.
  void OnStatus(base::Instant now, CallId id, const base::Status& status);
  /// Handles the reply to a scan.
  void OnScan(base::Instant now, CallId id,
              base::Outcome<base::ScanReply> reply);
  /// Handles the reply to a get.
  void OnObject(base::Instant now, CallId id, base::Outcome<std::string> reply);
  /// Retries the calls that are due.
  void Tick(base::Instant now);

  /// Returns a new operation id for a commit.
  std::string NextOperationId();
  /// Returns the calls to send, and removes them from the queue.
  std::vector<BatchAction> TakeActions();

  // Queries.

  /// Returns whether the store's last reply was a retryable error, such as that
  /// it can't be reached.
  bool down() const { return this->unavailable_since.has_value(); }  // NOLINT
  /// Returns the number of calls that aren't settled.
  std::size_t pending_calls() const { return this->calls.size(); }  // NOLINT

 private:
  struct Call {
    BatchAction action;
    CallMode mode = CallMode::kUntilSettled;
    std::uint32_t attempts = 0;
    /// kNever while a reply is awaited.
    base::Instant retry_at = base::kNever;
    StatusReply on_status;
    ScanReply on_scan;
    ObjectReply on_object;
  };

  void Send(base::Instant now, Call call);
  /// Removes and returns the call if it is settled; otherwise schedules its
  /// next attempt. `error` is null on success.
  std::optional<Call> Settle(base::Instant now, CallId id,
                             const std::error_code* error);

  std::string operation_prefix;
  std::uint64_t last_operation = 0;
  CallId last_id = 0;
  std::optional<base::Instant> unavailable_since;
  std::map<CallId, Call> calls;
  std::vector<BatchAction> actions;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_BATCH_STORE_CALLS_H_
