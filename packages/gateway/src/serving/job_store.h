#ifndef GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_STORE_H_
#define GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gypsumtrack/base/row_store.h"
#include "gypsumtrack/gateway/serving/store_layout.h"
#include "owned_job.h"

/// Transactions of batch jobs. If the response of a call is lost, the store may
/// still apply the call later. Each transaction is therefore harmless if it is
/// applied late: it carries expectations, or only removes rows that are never
/// written again. AcceptJob and EndJob retry theirs until their deadline;
/// JobRunner retries commits until the store reports their outcome or the job
/// isn't run here any more.
/// Precondition of all: the JobStore and arguments passed by reference outlive
/// the call.
namespace gypsumtrack::gateway {

/// The store as used by the functions below.
struct JobStore {
  const base::RowStore& store;
  base::Clock clock;
  /// This daemon's VM, the owner of the jobs that it accepts or takes over.
  base::VmId self;
  /// Maximum size of a row's value in the store.
  std::size_t max_row_bytes = std::size_t{64} * 1024;
};

/// How an attempt to accept a job ended.
enum class AcceptOutcome {
  kAccepted,     ///< accepted, by this call or an earlier one
  kOverLimit,    ///< not accepted: the organisation's backlog is too large
  kNotAccepted,  ///< not accepted, e.g. because the store was unavailable
  kUnknown,      ///< it may have been accepted, or may be later
};

/// Result of AcceptJob.
struct JobAcceptance {
  AcceptOutcome outcome = AcceptOutcome::kUnknown;
  /// Version of the owner row if this call accepted the job; else 0.
  std::uint64_t owner_version = 0;
  /// The job's row as this call writes it.
  layout::JobRow row;
  /// For the log: why an attempt failed.
  std::string reason;
};

/// Accepts a job, at most once, with this daemon as its owner. Retries until
/// the deadline; stops earlier if a read fails while `store_unreachable`
/// returns true. `max_waiting_tokens` limits the organisation's backlog on the
/// route; 0 means no limit.
boost::asio::awaitable<JobAcceptance> AcceptJob(
    const JobStore& store, JobKey key, std::string route,
    const std::vector<SubmittedItem>& items, std::string submission,
    std::uint64_t max_waiting_tokens, base::Instant deadline,
    std::function<bool()> store_unreachable,
    policy::RegionLimit allowed_regions = {});

/// How a commit ended.
enum class CommitOutcome {
  kCommitted,  ///< the store holds the changes
  kNotOwner,   ///< the job has another owner or has ended, or the store
               ///< holds other results at these positions
  kRetry,      ///< the store was unavailable or its response was lost
};

/// Result of CommitResults.
struct ResultsCommit {
  CommitOutcome outcome = CommitOutcome::kRetry;
  /// Number of results that the store holds, from the first one passed on.
  std::size_t count = 0;
};

/// Adds the next results of a job to its result list. Safe to repeat with the
/// same results.
boost::asio::awaitable<ResultsCommit> CommitResults(
    const JobStore& store, const OwnedJob& job,
    std::vector<policy::JobItemResult> results);

/// Removes the owner row, the backlog row and the partial output of a job.
/// Precondition: the results of all items are committed.
boost::asio::awaitable<CommitOutcome> FinishJob(const JobStore& store,
                                                const OwnedJob& job);

/// Makes this daemon the owner of a job if its owner row still has the given
/// version. Returns the new version of the row, or none if that failed or the
/// response was lost.
boost::asio::awaitable<std::optional<std::uint64_t>> TakeOver(
    const JobStore& store, JobKey key, std::uint64_t owner_version,
    policy::RegionLimit allowed_regions = {});

/// Gives up the ownership of a job and saves its partial output, so that any
/// daemon can take it over. Returns whether the store confirmed it.
boost::asio::awaitable<bool> HandOver(const JobStore& store,
                                      const OwnedJob& job);

/// Saves the partial output of the job's items, so that a new owner can resume
/// them if this daemon is lost.
boost::asio::awaitable<CommitOutcome> SavePartials(const JobStore& store,
                                                   const OwnedJob& job);

/// What a new owner needs to run a job.
struct LoadedJob {
  /// The body of the submission.
  std::string submission;
  /// Ids of the items whose results are committed, in order.
  std::vector<std::string> listed_ids;
  /// Partial output that the previous owner saved.
  std::vector<policy::PartialItem> partials;
};

/// Loads a job to run it here. Unreadable partial output is logged and left
/// out. Errors: those of a read, and kInvalid if a row is missing or malformed.
boost::asio::awaitable<base::Outcome<LoadedJob>> LoadJob(
    const JobStore& store, JobKey key, layout::JobRow row,
    base::Instant deadline);

/// Reads the body of a job's submission. Errors: those of a read, and kInvalid
/// if its row is missing.
boost::asio::awaitable<base::Outcome<std::string>> ReadSubmission(
    const JobStore& store, JobKey key, layout::JobRow row,
    base::Instant deadline);

/// Ends a job: once its owner row is removed, its owner can't commit results
/// any more. Retries until the deadline. Returns the store's version in which
/// the row is removed. Errors: kNotFound, kTimeout and those of the last call.
boost::asio::awaitable<base::Outcome<std::uint64_t>> EndJob(
    const JobStore& store, JobKey key, base::Instant deadline);

/// A job's row as read from the store.
struct FoundJob {
  layout::JobRow row;
  /// The store's time of the read.
  base::StoreMillis store_time = 0;
};

/// Reads a job's row. Errors: kNotFound, and those of a read.
boost::asio::awaitable<base::Outcome<FoundJob>> FindJob(const JobStore& store,
                                                        JobKey key,
                                                        base::Instant deadline);

/// Reads a page of results with their outputs, from position `from` on. A
/// result that can't be read is listed as given up. Errors: those of a read.
boost::asio::awaitable<base::Outcome<std::vector<policy::JobItemResult>>>
ReadResults(const JobStore& store, JobKey key, std::size_t from,
            base::Instant deadline);

/// Reads the ids of all items whose results are committed, in order; an empty
/// id where it can't be read. Errors: those of a read.
boost::asio::awaitable<base::Outcome<std::vector<std::string>>> ReadListedItems(
    const JobStore& store, JobKey key, base::Instant deadline);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_STORE_H_
