#ifndef GYPSUMTRACK_TESTING_SOAK_INVARIANT_CHECKER_H_
#define GYPSUMTRACK_TESTING_SOAK_INVARIANT_CHECKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "gypsumtrack/base/time.h"
#include "gypsumtrack/testing/site_standin.h"

/// Records what callers sent and received and checks it against the requests
/// that the endpoints ran.
namespace gypsumtrack::testing {

/// A request that a caller sent.
struct RequestRecord {
  std::string organisation;
  std::string key;
  std::string target;
  /// The request may run more than once.
  bool resumable = false;
  base::Instant sent_at{};
  /// The caller disconnected before the response.
  bool caller_left = false;
  /// 0 if no complete response was received.
  unsigned status = 0;
};

/// An item of a job. It may run only if at least one submission of its job got
/// something other than a refusal.
struct ItemRecord {
  std::string organisation;
  std::string target;
  std::string job;
};

/// The rate limit of an organisation: requests per second, and a burst.
struct RateLimit {
  double per_second = 0;
  double burst = 0;
};

/// An API key that the operator withdrew.
struct Withdrawal {
  std::string key;
  base::Instant acknowledged_at{};
  /// When the key was restored; kNever while it is withdrawn.
  base::Instant restored_at = base::kNever;
};

/// A span in which an endpoint named a limit in its responses.
struct LimitedSpan {
  /// The instance id of the engine.
  std::string engine;
  /// Requests a second from all daemons together.
  double per_second = 0;
  base::Instant from{};
  base::Instant until{};
};

/// A caller's first try of a stream at a daemon. Callers that left aren't
/// recorded.
struct StreamTry {
  std::string daemon;
  base::Instant sent_at{};
  base::Instant ended_at{};
  /// 0 if the daemon wasn't reached or no complete response was received.
  unsigned status = 0;
};

/// A span in which daemons were cut from all endpoints, but not from callers,
/// the store and each other.
struct EndpointCut {
  std::vector<std::string> daemons;
  base::Instant from{};
  base::Instant until{};
};

/// What the soak does to a daemon that excuses it from bounds on time.
enum class Disruption {
  kProcess,  ///< stopped, killed, started or paused
  kStore,    ///< cut off from the store, or its connections to it reset
};

/// A span in which a daemon was disrupted.
struct DisruptionRecord {
  std::string daemon;
  Disruption kind = Disruption::kProcess;
  base::Instant from{};
  /// kNever while it lasts.
  base::Instant until = base::kNever;
};

/// Returns the name of the daemon that sent a request or item to an endpoint,
/// if known.
using SenderLookup =
    std::function<std::optional<std::string>(const EngineRun&)>;

/// Requests of one organisation.
struct ServedCounts {
  std::size_t sent = 0;
  std::size_t served = 0;
  /// Refused with status 429.
  std::size_t over_limit = 0;
};

/// Collects requests, responses and violations, and checks the invariants of
/// the service at the end. Thread-safe.
class InvariantChecker {
 public:
  // Commands.

  /// Call before the request is sent; `id` is its request id.
  void RecordRequest(const std::string& id, RequestRecord record);
  /// Sets the status of a recorded request; 0 if there was no response.
  void RecordResponse(const std::string& id, unsigned status);
  /// Call before the job of the item is submitted.
  void RecordItem(const std::string& id, ItemRecord item);
  /// Adds the status of one submission of the job; 0 if there was no response.
  void RecordSubmission(const std::string& job, unsigned status);
  /// Call when the end of the job is acknowledged; later calls have no effect.
  void RecordEnd(const std::string& job, base::Instant acknowledged_at);
  /// Marks the begin of a disruption; has no effect while one of this kind
  /// lasts.
  void RecordDisruption(const std::string& daemon, Disruption kind,
                        base::Instant now);
  /// Marks the end of the disruption of this kind, if one lasts.
  void RecordDisruptionEnd(const std::string& daemon, Disruption kind,
                           base::Instant now);
  /// Adds the withdrawal of a key.
  void RecordWithdrawal(Withdrawal withdrawal);
  /// Marks the open withdrawal of `key` as ended at `now`.
  void RecordRestoration(const std::string& key, base::Instant now);
  /// Adds a span in which an endpoint named a limit.
  void RecordLimitedSpan(LimitedSpan span);
  /// Adds a try when it has ended.
  void RecordTry(StreamTry stream_try);
  /// Adds a cut when it has ended.
  void RecordCut(EndpointCut cut);
  /// Adds a violation that was observed outside of Check().
  void AddViolation(std::string violation);

  // Queries.

  /// Returns all violations, those added by AddViolation() first. Calls
  /// `find_sender` only for items that came too late and for runs beyond the
  /// limit of an endpoint.
  std::vector<std::string> Check(const std::vector<EngineRun>& runs,
                                 const std::map<std::string, RateLimit>& limits,
                                 const SenderLookup& find_sender) const;
  /// Returns by organisation the requests sent at or after `from` whose callers
  /// waited for the response.
  std::map<std::string, ServedCounts> ServedSince(base::Instant from) const;
  /// The number of recorded requests.
  std::size_t request_count() const;  // NOLINT
  /// The number of jobs whose end was acknowledged.
  std::size_t ended_job_count() const;  // NOLINT

 private:
  // The following need `mutex` to be held and append to `violations`.

  /// Checks that a run belongs to a recorded request or item.
  void CheckRun(const EngineRun& run, const SenderLookup& find_sender,
                std::vector<std::string>& violations) const;
  /// Checks a run against its request and the withdrawals of its key.
  void CheckRequestRun(const EngineRun& run, const RequestRecord& record,
                       std::vector<std::string>& violations) const;
  /// Checks a run against its item and job.
  void CheckItemRun(const EngineRun& run, const ItemRecord& item,
                    const SenderLookup& find_sender,
                    std::vector<std::string>& violations) const;
  /// Checks that the run came before the bound after the end of its job, or
  /// from a daemon that was disrupted.
  void CheckJobEnd(const EngineRun& run, const ItemRecord& item,
                   const SenderLookup& find_sender,
                   std::vector<std::string>& violations) const;
  /// Whether the daemon was disrupted at `at` or shortly before.
  bool WasDisrupted(const std::string& daemon, base::Instant at) const;
  /// Checks the number of runs per window at an endpoint that named a limit,
  /// without those from daemons that were disrupted.
  void CheckLimitedSpan(const LimitedSpan& span,
                        const std::vector<EngineRun>& runs,
                        const SenderLookup& find_sender,
                        std::vector<std::string>& violations) const;
  /// Checks that daemons that were cut from all endpoints served callers at
  /// least two thirds as often as the others did. A cut isn't a disruption.
  void CheckCut(const EndpointCut& cut,
                std::vector<std::string>& violations) const;
  /// Whether the daemon was disrupted before or during the try.
  bool WasDisrupted(const StreamTry& stream_try) const;
  /// Checks the number of requests per window against the limits.
  void CheckRates(const std::vector<EngineRun>& runs,
                  const std::map<std::string, RateLimit>& limits,
                  std::vector<std::string>& violations) const;

  mutable std::mutex mutex;
  std::map<std::string, RequestRecord> requests;
  std::map<std::string, ItemRecord> items;
  /// Whether all submissions of a job so far were refused.
  std::map<std::string, bool> refused_jobs;
  /// When the end of a job was first acknowledged.
  std::map<std::string, base::Instant> job_ends;
  std::vector<DisruptionRecord> disruptions;
  std::vector<Withdrawal> withdrawals;
  std::vector<LimitedSpan> limited_spans;
  std::vector<StreamTry> tries;
  std::vector<EndpointCut> cuts;
  std::vector<std::string> caller_violations;
};

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_SOAK_INVARIANT_CHECKER_H_
