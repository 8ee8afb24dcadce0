#ifndef GYPSUMTRACK_GATEWAY_SRC_BATCH_ADMIN_H_
#define GYPSUMTRACK_GATEWAY_SRC_BATCH_ADMIN_H_

#include <functional>

#include "gypsumtrack/gateway/admin_service.h"
#include "gypsumtrack/policy/batch_state.h"

/// Operators' HTTP routes for the batch jobs of all organisations.
namespace gypsumtrack::gateway {

/// Cancels a job; the handler runs once with the result.
using CancelJobHook =
    std::function<void(policy::BatchJob, base::StatusHandler)>;

/// Adds GET /admin/batches, GET /admin/batches/ORG/ID and POST
/// /admin/batches/ORG/ID/cancel. Preconditions: `runtime` outlives the router,
/// and the server hasn't started.
void AddBatchAdminRoutes(Router& router, const Runtime& runtime,
                         CancelJobHook cancel);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_BATCH_ADMIN_H_
