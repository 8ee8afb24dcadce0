#include "gypsumtrack/gateway/fleet_routes.h"

#include <string>
#include <utility>

#include "gypsumtrack/gateway/admin_service.h"

namespace gypsumtrack::gateway {
namespace {

Json::Value EncodeLocation(const base::Location& location) {
  Json::Value json;
  json["failure_domain"] = location.domain.text;
  json["region"] = location.region.text;
  return json;
}

Json::Value EncodeVms(const policy::FleetView& view) {
  Json::Value rows(Json::arrayValue);
  auto self = EncodeLocation(view.location);
  self["vm"] = view.self.name;
  self["state"] = "self";
  rows.append(self);
  for (const auto& peer : view.peers) {
    auto row = EncodeLocation(peer.location);
    row["vm"] = peer.id.name;
    row["state"] = std::string(policy::kPeerStateNames.Name(peer.state));
    row["address"] = peer.address;
    rows.append(row);
  }
  return rows;
}

Json::Value EncodeEndpoints(const policy::FleetView& view) {
  Json::Value rows(Json::arrayValue);
  for (const auto& endpoint : view.endpoints) {
    auto row = EncodeLocation(endpoint.location);
    row["endpoint"] = endpoint.id.text;
    row["service"] = endpoint.service.text;
    row["address"] = endpoint.address;
    row["slots"] = endpoint.slots;
    row["leaving"] = endpoint.draining;
    row["checks_fencing"] = endpoint.checks_fencing;
    row["models"] = Json::Value(Json::arrayValue);
    for (const auto& model : endpoint.models) row["models"].append(model.text);
    rows.append(row);
  }
  return rows;
}

void AddViewRoute(Router& router, const Runtime& runtime, const char* path,
                  const FleetQuery& view,
                  Json::Value (*encode)(const policy::FleetView&)) {
  AddAdminRoute(
      router, runtime, "GET", path,
      [view, encode](AdminRequest) -> boost::asio::awaitable<AdminReply> {
        AdminReply reply;
        reply.body = encode(*view());
        co_return reply;
      });
}

}  // namespace

void AddFleetRoutes(Router& router, const Runtime& runtime,
                    const FleetQuery& view) {
  AddViewRoute(router, runtime, "/admin/vms", view, EncodeVms);
  AddViewRoute(router, runtime, "/admin/endpoints", view, EncodeEndpoints);
}

}  // namespace gypsumtrack::gateway
