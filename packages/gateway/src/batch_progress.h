#ifndef GYPSUMTRACK_GATEWAY_SRC_BATCH_PROGRESS_H_
#define GYPSUMTRACK_GATEWAY_SRC_BATCH_PROGRESS_H_

#include <boost/asio/awaitable.hpp>

#include "batch_reply.h"
#include "gypsumtrack/gateway/runtime.h"

/// Progress of a job, counted from its result rows.
namespace gypsumtrack::gateway {

/// Sums up the counts of all result rows of the job. Rows that can't be decoded
/// are skipped. Errors: those of the table. Precondition: `runtime` outlives
/// the call. Thread-safe.
boost::asio::awaitable<base::Outcome<JobProgress>> CollectProgress(
    const Runtime& runtime, policy::BatchJob job);

/// Maximum wait for one reply of the store.
inline constexpr base::Duration kStoreTimeout = std::chrono::seconds(5);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_BATCH_PROGRESS_H_
