#ifndef GYPSUMTRACK_GATEWAY_FLEET_ROUTES_H_
#define GYPSUMTRACK_GATEWAY_FLEET_ROUTES_H_

#include "gypsumtrack/gateway/config_service.h"
#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/gateway/runtime.h"

/// Routes of the operators' API that list VMs and endpoints.
namespace gypsumtrack::gateway {

/// Adds GET /admin/vms and GET /admin/endpoints, which return the VMs and
/// endpoints of `view`. Not thread-safe; must be called before the server
/// starts. Precondition: `runtime` outlives the router.
void AddFleetRoutes(Router& router, const Runtime& runtime,
                    const FleetQuery& view);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_FLEET_ROUTES_H_
