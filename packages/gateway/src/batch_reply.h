#ifndef GYPSUMTRACK_GATEWAY_BATCH_REPLY_H_
#define GYPSUMTRACK_GATEWAY_BATCH_REPLY_H_

#include <boost/json.hpp>
#include <string>

#include "gypsumtrack/base/error.h"
#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/policy/batch_chunk.h"
#include "gypsumtrack/policy/batch_state.h"
#include "gypsumtrack/policy/run_state.h"

/// HTTP responses about batch jobs. All functions are thread-safe.
namespace gypsumtrack::gateway {

/// A job and the numbers of its items that have ended, by their final state.
struct JobProgress {
  policy::BatchJob job;
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;
  std::uint64_t unknown = 0;
};

/// Returns the description of a job as in lists and after a submission.
boost::json::object JobSummary(const policy::BatchJob& job);
/// Returns the summary with counts and percent done. For an open job it adds
/// whether the job is likely to miss its due time and, once enough items have
/// ended, the expected end, extrapolated from the progress so far.
boost::json::object JobDetails(const JobProgress& progress, base::WallTime now);
/// Returns one line of a results response, including the newline. `item` is the
/// item's index in the job. The body of a completed item is included as JSON,
/// or as a string if it isn't valid JSON.
std::string ResultLine(std::uint64_t item, const policy::ItemResult& result);

/// Returns the head of a response with a JSON body.
ResponseHead JsonHead(unsigned status);
/// Returns the head of an error response. Its `Gypsumtrack-Run` header says
/// whether the request may have taken effect.
ResponseHead ErrorHead(unsigned status, policy::RunState run);
/// Returns the body of an error response.
std::string ErrorBody(const base::Error& error);
/// Returns the HTTP status for an error; 503 unless the error has a status of
/// its own.
unsigned HttpStatusOf(const base::Error& error);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_BATCH_REPLY_H_
