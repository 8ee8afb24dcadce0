#ifndef GYPSUMTRACK_GATEWAY_FLEET_ROUTES_H_
#define GYPSUMTRACK_GATEWAY_FLEET_ROUTES_H_

#include <functional>
#include <memory>

#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/gateway/runtime.h"
#include "gypsumtrack/policy/fleet_view.h"

/// What operators may ask about VMs and endpoints.
namespace gypsumtrack::gateway {

/// Adds GET /admin/vms and GET /admin/endpoints. Not thread-safe; before the
/// server starts. Precondition: `runtime` outlives the router.
void AddFleetRoutes(
    Router& router, const Runtime& runtime,
    const std::function<std::shared_ptr<const policy::FleetView>()>& view);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_FLEET_ROUTES_H_
