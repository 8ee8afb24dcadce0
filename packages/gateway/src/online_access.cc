#include "online_access.h"

#include <utility>

#include "caller_headers.h"
#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::gateway {

OnlineAccess::OnlineAccess(AccessHook access, std::string fleet_secret)
    : access(std::move(access)), fleet_secret(std::move(fleet_secret)) {}

base::Outcome<Grant> OnlineAccess::Find(const RequestHead& request,
                                        const AccessTarget& target) const {
  const auto access = this->access();
  if (!access) {
    return base::Error(base::Errc::kUnavailable,
                       "This VM has no configuration yet.");
  }
  const policy::AccessRequest access_request{target.service, target.model,
                                             target.method, target.path};
  Grant grant;
  if (const auto* rule = access->FindOpenRule(access_request)) {
    grant.open = true;
    grant.rule = *rule;
    return grant;
  }
  grant.key_hash = this->KeyHash(request);
  const auto organisation = access->FindOrganisation(grant.key_hash);
  if (!organisation) {
    return base::Error(base::Errc::kUnauthorized,
                       "The request carries no valid key.");
  }
  const auto* rule = access->FindRule(*organisation, access_request);
  if (rule == nullptr) {
    return base::Error(base::Errc::kForbidden,
                       "No rule lets the organisation call this.");
  }
  grant.organisation = *organisation;
  grant.rule = *rule;
  return grant;
}

bool OnlineAccess::IsStillGranted(const Grant& grant) const {
  if (grant.open) return true;
  const auto access = this->access();
  return access &&
         access->FindOrganisation(grant.key_hash) == grant.organisation;
}

std::string OnlineAccess::KeyHash(const RequestHead& request) const {
  const auto key = FindCallerKey(request);
  if (key.empty()) return {};
  return base::HmacSha256Hex(this->fleet_secret, key);
}

}  // namespace gypsumtrack::gateway
