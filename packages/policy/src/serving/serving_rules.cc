#include "gypsumtrack/policy/serving/serving_rules.h"

#include <algorithm>
#include <cassert>

namespace gypsumtrack::policy {

bool MayRunAgain(const RouteRule& route) {
  return route.kind == RequestKind::kIdempotent ||
         (route.kind == RequestKind::kStream && route.resumable);
}

const RouteRule* FindRoute(const ServingRules& rules, std::string_view host,
                           std::string_view path) {
  const RouteRule* best = nullptr;
  for (const auto& route : rules.routes) {
    if (route.host != host || !path.starts_with(route.prefix)) continue;
    if (best == nullptr || route.prefix.size() > best->prefix.size()) {
      best = &route;
    }
  }
  return best;
}

const RouteRule* FindRouteByName(const ServingRules& rules,
                                 std::string_view name) {
  const auto found =
      std::find_if(rules.routes.begin(), rules.routes.end(),
                   [&](const auto& route) { return route.name == name; });
  return found == rules.routes.end() ? nullptr : &*found;
}

const OrganisationRule* FindKeyHolder(const ServingRules& rules,
                                      std::string_view key) {
  const auto found = rules.key_holders.find(key);
  if (found == rules.key_holders.end()) return nullptr;
  return &rules.organisations[found->second];
}

const OrganisationRule* FindOrganisation(const ServingRules& rules,
                                         std::string_view name) {
  const auto found = std::find_if(
      rules.organisations.begin(), rules.organisations.end(),
      [&](const auto& organisation) { return organisation.name.text == name; });
  return found == rules.organisations.end() ? nullptr : &*found;
}

const base::Service& PickService(const RouteRule& route, std::uint64_t random) {
  assert(!route.services.empty());
  std::uint64_t total = 0;
  for (const auto& each : route.services) total += each.weight;
  if (total == 0) return route.services.front().service;
  std::uint64_t offset = random % total;
  for (const auto& each : route.services) {
    if (offset < each.weight) return each.service;
    offset -= each.weight;
  }
  return route.services.back().service;
}

RegionLimit AllowedRegions(const RouteRule& route,
                           const OrganisationRule* organisation) {
  if (organisation == nullptr) return route.allowed_regions;
  return Intersect(route.allowed_regions, organisation->allowed_regions);
}

bool LeadsTo(const RouteRule& route, const base::Service& service) {
  assert(!route.services.empty());
  const bool has_weight =
      std::any_of(route.services.begin(), route.services.end(),
                  [](const auto& each) { return each.weight > 0; });
  if (!has_weight) return route.services.front().service == service;
  return std::any_of(route.services.begin(), route.services.end(),
                     [&](const auto& each) {
                       return each.weight > 0 && each.service == service;
                     });
}

}  // namespace gypsumtrack::policy
