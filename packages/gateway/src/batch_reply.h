#ifndef GYPSUMTRACK_GATEWAY_BATCH_REPLY_H_
#define GYPSUMTRACK_GATEWAY_BATCH_REPLY_H_

#include <boost/json.hpp>
#include <string>

#include "gypsumtrack/base/error.h"
#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/policy/batch_chunk.h"
#include "gypsumtrack/policy/batch_state.h"
#include "gypsumtrack/policy/run_state.h"

/// The JSON that callers see of batch jobs.
namespace gypsumtrack::gateway {

/// A job and how far it is.
struct JobProgress {
  policy::BatchJob job;
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;
  std::uint64_t unknown = 0;
};

boost::json::object JobSummary(const policy::BatchJob& job);
boost::json::object JobDetails(const JobProgress& progress, base::WallTime now);
/// One line of a results response.
std::string ResultLine(std::uint64_t item, const policy::ItemResult& result);

ResponseHead JsonHead(unsigned status);
/// The head of a refusal that tells whether anything was accepted.
ResponseHead RefusalHead(unsigned status, policy::RunState run);
std::string RefusalBody(const base::Error& error);
unsigned StatusOf(const base::Error& error);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_BATCH_REPLY_H_
