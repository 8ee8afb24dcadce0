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

/// The transactions of batch jobs. A call whose answer was lost may still be
/// carried out later; each is conditioned so that it then does no harm, and is
/// sent again until the store says what became of it.
namespace gypsumtrack::gateway {

struct JobStore {
  const base::RowStore& store;
  base::Clock clock;
  base::VmId self;
  std::size_t max_row_bytes = std::size_t{64} * 1024;
};

enum class AcceptEnd {
  kAccepted,   ///< by this call or an earlier one
  kOverLimit,  ///< the organisation has too much waiting; nothing was accepted
  kRefused,    ///< the store couldn't be asked; nothing was accepted
  kInDoubt,    ///< it may have been accepted, or may be later
};

struct Acceptance {
  AcceptEnd end = AcceptEnd::kInDoubt;
  /// Set if this call accepted it.
  std::uint64_t owner_version = 0;
  layout::JobRow row;
  /// Why it wasn't accepted, for the log.
  std::string reason;
};

/// Accepts a job for this daemon to run, once. It gives up before the deadline
/// when a call fails while `out_of_contact` says that other calls fail as well.
boost::asio::awaitable<Acceptance> AcceptJob(
    const JobStore& store, JobKey key, std::string route,
    const std::vector<SubmittedItem>& items, std::string submission,
    std::uint64_t max_waiting_tokens, base::Instant deadline,
    std::function<bool()> out_of_contact);

enum class CommitEnd {
  kListed,   ///< see `count`
  kLost,     ///< the job has another owner, or has ended
  kTryAgain  ///< the store couldn't be asked, or its answer was lost
};

struct Commitment {
  CommitEnd end = CommitEnd::kTryAgain;
  std::size_t count = 0;
};

/// Lists the next results of a job. Safe to repeat with the same results.
boost::asio::awaitable<Commitment> CommitResults(
    const JobStore& store, const OwnedJob& job,
    std::vector<policy::JobItemResult> results);

/// Removes the owner's row of a job all of whose results are listed.
boost::asio::awaitable<CommitEnd> FinishJob(const JobStore& store,
                                            const OwnedJob& job);

/// Takes over a job whose owner's row has the version; the new version if that
/// worked.
boost::asio::awaitable<std::optional<std::uint64_t>> TakeOver(
    const JobStore& store, JobKey key, std::uint64_t owner_version);

/// Leaves a job to whoever takes it, with what has come of its items. Whether
/// that worked.
boost::asio::awaitable<bool> HandOver(const JobStore& store,
                                      const OwnedJob& job);

/// Keeps what has come of the job's items, for the case that this daemon is
/// lost. Whether that worked.
boost::asio::awaitable<bool> SavePartials(const JobStore& store,
                                          const OwnedJob& job);

/// All that a new owner needs.
struct LoadedJob {
  std::string submission;
  std::vector<std::string> listed;
  std::vector<policy::PartialItem> partials;
};

/// Errors as of a read.
boost::asio::awaitable<base::Outcome<LoadedJob>> LoadJob(
    const JobStore& store, JobKey key, layout::JobRow row,
    base::Instant deadline);

/// A job as submitted. Errors as of a read.
boost::asio::awaitable<base::Outcome<std::string>> ReadSubmission(
    const JobStore& store, JobKey key, layout::JobRow row,
    base::Instant deadline);

/// Ends a job: nothing more of it is run or listed. Errors: kNotFound.
boost::asio::awaitable<base::Status> EndJob(const JobStore& store, JobKey key,
                                            base::Instant deadline);

struct FoundJob {
  layout::JobRow row;
  /// The store's time when it was read.
  base::StoreMillis store_time = 0;
};

/// Errors: kNotFound, and those of a read.
boost::asio::awaitable<base::Outcome<FoundJob>> FindJob(const JobStore& store,
                                                        JobKey key,
                                                        base::Instant deadline);

/// Results from the position on, with their outputs. Errors as of a read.
boost::asio::awaitable<base::Outcome<std::vector<policy::JobItemResult>>>
ReadResults(const JobStore& store, JobKey key, std::size_t from,
            base::Instant deadline);

/// Ids of all items listed, in order. Errors as of a read.
boost::asio::awaitable<base::Outcome<std::vector<std::string>>> ReadListedItems(
    const JobStore& store, JobKey key, base::Instant deadline);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_SERVING_JOB_STORE_H_
