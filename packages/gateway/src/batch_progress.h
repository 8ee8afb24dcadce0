#ifndef GYPSUMTRACK_GATEWAY_SRC_BATCH_PROGRESS_H_
#define GYPSUMTRACK_GATEWAY_SRC_BATCH_PROGRESS_H_

#include <boost/asio/awaitable.hpp>

#include "batch_reply.h"
#include "gypsumtrack/gateway/runtime.h"

/// How far a job is, from its result rows.
namespace gypsumtrack::gateway {

/// Reads all result rows of the job. Errors: those of the table.
boost::asio::awaitable<base::Outcome<JobProgress>> CollectProgress(
    const Runtime& runtime, policy::BatchJob job);

/// Longest wait for one answer of the platform.
inline constexpr base::Duration kStoreWait = std::chrono::seconds(5);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_BATCH_PROGRESS_H_
