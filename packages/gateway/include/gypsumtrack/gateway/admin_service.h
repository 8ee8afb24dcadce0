#ifndef GYPSUMTRACK_GATEWAY_ADMIN_SERVICE_H_
#define GYPSUMTRACK_GATEWAY_ADMIN_SERVICE_H_

#include <json/value.h>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <string>

#include "gypsumtrack/base/error.h"
#include "gypsumtrack/gateway/config_service.h"
#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/gateway/runtime.h"

/// The operators' HTTP API: JSON in, JSON out, behind a bearer token.
namespace gypsumtrack::gateway {

/// An operator's request, already authorised.
struct AdminRequest {
  std::string method;
  std::string path;
  /// What follows the route's path prefix, without its leading slash.
  std::string tail;
  /// Decoded query parameters.
  std::map<std::string, std::string> query;
  /// The body; null if there is none.
  Json::Value body;
};

struct AdminReply {
  unsigned status = 200;
  Json::Value body;
};

using AdminHandler =
    std::function<boost::asio::awaitable<AdminReply>(AdminRequest)>;

/// The reply that an error gives: `{"error": {"code", "message"}}`.
/// Thread-safe.
AdminReply MakeAdminError(const base::Error& error);

/// A route of the operators' API. Other parts register their own this way.
/// Not thread-safe; before the server starts. `runtime` outlives the router.
void AddAdminRoute(Router& router, const Runtime& runtime, std::string method,
                   std::string path_prefix, AdminHandler handler);

/// Registers rules, keys and status under /admin. As AddAdminRoute; `config`
/// outlives the router.
void AddConfigRoutes(Router& router, const Runtime& runtime,
                     ConfigService& config);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_ADMIN_SERVICE_H_
