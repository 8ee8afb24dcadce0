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

/// Calls to the store that outlive its outages.
namespace gypsumtrack::policy {

/// How often a call is sent.
enum class CallMode {
  kUntilSettled,  ///< again after each lost or missing answer
  kOnce,          ///< the first answer is the answer
};

/// Keeps what to do on each reply and sends calls again, under the same
/// operation id, until the store says how they ended. While the store doesn't
/// answer, one call at a time probes it. Not thread-safe.
class StoreCalls {
 public:
  using StatusReply = std::function<void(base::Instant, const base::Status&)>;
  using ScanReply =
      std::function<void(base::Instant, base::Outcome<base::ScanReply>)>;
  using ObjectReply =
      std::function<void(base::Instant, base::Outcome<std::string>)>;

  explicit StoreCalls(const base::VmId& vm);

  // Commands. Each reply runs once, from OnStatus, OnScan or OnObject.

  void Commit(base::Instant now, base::TableCommit commit, CallMode mode,
              StatusReply reply);
  void Scan(base::Instant now, base::TableScan scan, CallMode mode,
            ScanReply reply);
  void Put(base::Instant now, std::string name, std::string bytes,
           StatusReply reply);
  void Get(base::Instant now, std::string name, ObjectReply reply);
  void Remove(base::Instant now, std::string name, StatusReply reply);
  /// Asks peers; the reply runs from OnStatus.
  void Ask(base::Instant now, std::vector<std::string> open_keys,
           StatusReply reply);

  void OnStatus(base::Instant now, CallId id, const base::Status& status);
  void OnScan(base::Instant now, CallId id,
              base::Outcome<base::ScanReply> reply);
  void OnObject(base::Instant now, CallId id, base::Outcome<std::string> reply);
  /// Sends what is due to be sent again.
  void Tick(base::Instant now);

  std::string NextOperationId();
  std::vector<BatchAction> TakeActions();

  // Queries.

  /// Whether the newest answer was that the store can't be reached.
  bool down() const { return this->down_since.has_value(); }  // NOLINT
  std::size_t waiting() const { return this->calls.size(); }  // NOLINT

 private:
  struct Call {
    BatchAction action;
    CallMode mode = CallMode::kUntilSettled;
    std::uint32_t tries = 0;
    /// kNever while the call is on its way.
    base::Instant retry_at = base::kNever;
    StatusReply on_status;
    ScanReply on_scan;
    ObjectReply on_object;
  };

  void Send(base::Instant now, Call call);
  /// Takes the call out if it is settled; otherwise plans its next try.
  std::optional<Call> Settle(base::Instant now, CallId id,
                             const std::error_code* error);

  std::string operation_prefix;
  std::uint64_t last_operation = 0;
  CallId last_id = 0;
  std::optional<base::Instant> down_since;
  std::map<CallId, Call> calls;
  std::vector<BatchAction> actions;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_BATCH_STORE_CALLS_H_
