#ifndef GYPSUMTRACK_GATEWAY_SRC_ONLINE_ACCESS_H_
#define GYPSUMTRACK_GATEWAY_SRC_ONLINE_ACCESS_H_

#include <string>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/gateway/online_service.h"
#include "gypsumtrack/policy/access.h"

/// Access of callers to services and models.
namespace gypsumtrack::gateway {

/// Access that a request was granted: organisation and rule.
struct Grant {
  std::string key_hash;
  base::Organisation organisation;
  policy::Rule rule;
  /// Granted by an open rule, without a key.
  bool open = false;
};

/// Service or model, method and path that a request needs access to.
struct AccessTarget {
  base::Service service;
  base::Model model;
  std::string method;
  std::string path;
};

/// Looks up what callers may call, in the keys and rules in force. Thread-safe.
class OnlineAccess {
 public:
  /// `fleet_secret` is the key of the hashes under which callers' keys are
  /// listed.
  OnlineAccess(AccessHook access, std::string fleet_secret);

  /// Returns the rule that lets the request's caller call the target. Errors:
  /// kUnavailable (no configuration yet), kUnauthorized (no valid key),
  /// kForbidden (no rule).
  base::Outcome<Grant> Find(const RequestHead& request,
                            const AccessTarget& target) const;
  /// Returns whether the grant's key is still valid, since keys can be
  /// withdrawn while a request waits.
  bool IsStillGranted(const Grant& grant) const;
  /// Returns the hash of the request's key, empty without a key.
  std::string KeyHash(const RequestHead& request) const;

 private:
  AccessHook access;
  std::string fleet_secret;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_ONLINE_ACCESS_H_
