#ifndef GYPSUMTRACK_GATEWAY_SRC_BATCH_ADMIN_H_
#define GYPSUMTRACK_GATEWAY_SRC_BATCH_ADMIN_H_

#include <functional>

#include "gypsumtrack/gateway/admin_service.h"
#include "gypsumtrack/policy/batch_state.h"

/// What operators may ask of batch jobs, of any organisation.
namespace gypsumtrack::gateway {

/// Stops a job; the handler runs once.
using CancelJob = std::function<void(policy::BatchJob, base::StatusHandler)>;

/// Adds GET /admin/batches, GET /admin/batches/ORG/ID and POST
/// /admin/batches/ORG/ID/cancel. `runtime` outlives the router.
void AddBatchRoutes(Router& router, const Runtime& runtime, CancelJob cancel);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_BATCH_ADMIN_H_
