#include "gypsumtrack/gateway/fleet_routes.h"

#include <string>
#include <utility>

#include "gypsumtrack/gateway/admin_service.h"

namespace gypsumtrack::gateway {
namespace {

using ViewHook = std::function<std::shared_ptr<const policy::FleetView>()>;

Json::Value ShowPlace(const base::Place& place) {
  Json::Value json;
  json["failure_domain"] = place.domain.text;
  json["region"] = place.region.text;
  return json;
}

Json::Value ShowVms(const policy::FleetView& view) {
  Json::Value rows(Json::arrayValue);
  auto self = ShowPlace(view.location);
  self["vm"] = view.self.name;
  self["state"] = "self";
  rows.append(self);
  for (const auto& peer : view.peers) {
    auto row = ShowPlace(peer.location);
    row["vm"] = peer.id.name;
    row["state"] = std::string(policy::kPeerStateNames.Name(peer.state));
    row["address"] = peer.address;
    rows.append(row);
  }
  return rows;
}

Json::Value ShowEndpoints(const policy::FleetView& view) {
  Json::Value rows(Json::arrayValue);
  for (const auto& endpoint : view.endpoints) {
    auto row = ShowPlace(endpoint.location);
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

void AddShow(Router& router, const Runtime& runtime, const char* path,
             const ViewHook& view,
             Json::Value (*show)(const policy::FleetView&)) {
  AddAdminRoute(
      router, runtime, "GET", path,
      [view, show](AdminRequest) -> boost::asio::awaitable<AdminReply> {
        AdminReply reply;
        reply.body = show(*view());
        co_return reply;
      });
}

}  // namespace

void AddFleetRoutes(Router& router, const Runtime& runtime,
                    const ViewHook& view) {
  AddShow(router, runtime, "/admin/vms", view, ShowVms);
  AddShow(router, runtime, "/admin/endpoints", view, ShowEndpoints);
}

}  // namespace gypsumtrack::gateway
