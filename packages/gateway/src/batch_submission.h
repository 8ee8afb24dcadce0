#ifndef GYPSUMTRACK_GATEWAY_SRC_BATCH_SUBMISSION_H_
#define GYPSUMTRACK_GATEWAY_SRC_BATCH_SUBMISSION_H_

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/policy/access.h"
#include "gypsumtrack/policy/batch_state.h"

/// Submissions of batch jobs by callers.
namespace gypsumtrack::gateway {

/// Creates a job from the parameters of a submission that is received at `now`.
/// Its uid, digest and counts are set later, from the body. Errors: kInvalid,
/// and kForbidden if no access rule allows the job. Thread-safe.
base::Outcome<policy::BatchJob> ParseSubmission(
    const RequestHead& head, const base::Organisation& organisation,
    const policy::AccessSnapshot& access, base::WallTime now);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_BATCH_SUBMISSION_H_
