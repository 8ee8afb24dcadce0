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

/// The operators' HTTP API. Requests and replies are JSON; requests are
/// authorised by a bearer token.
namespace gypsumtrack::gateway {

/// An authorised request of an operator.
struct AdminRequest {
  std::string method;
  std::string path;
  /// The rest of the path after the route's prefix, without a leading slash.
  std::string tail;
  /// Decoded query parameters.
  std::map<std::string, std::string> query;
  /// The decoded body; null if the request has none.
  Json::Value body;
};

/// The reply to an operator.
struct AdminReply {
  /// HTTP status code.
  unsigned status = 200;
  Json::Value body;
};

/// Handles the requests of a route. Runs on the connection's executor and may
/// be called concurrently.
using AdminHandler =
    std::function<boost::asio::awaitable<AdminReply>(AdminRequest)>;

/// Returns the reply for an error: its HTTP status and the body
/// `{"error": {"code", "message"}}`. Thread-safe.
AdminReply MakeAdminError(const base::Error& error);

/// Adds a route to the operators' API. Requests without the admin token get
/// status 401, as do all requests if no token is configured. Not thread-safe;
/// must be called before the server starts. Precondition: `runtime` outlives
/// the router.
void AddAdminRoute(Router& router, const Runtime& runtime, std::string method,
                   std::string path_prefix, AdminHandler handler);

/// Adds the routes for rules, keys and status under /admin. Not thread-safe;
/// must be called before the server starts. Precondition: `runtime` and
/// `config` outlive the router.
void AddConfigRoutes(Router& router, const Runtime& runtime,
                     ConfigService& config);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_ADMIN_SERVICE_H_
