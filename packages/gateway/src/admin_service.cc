#include "gypsumtrack/gateway/admin_service.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/base/log.h"
#include "gypsumtrack/peer/config_codec.h"
#include "query_parameters.h"

namespace gypsumtrack::gateway {
namespace {

constexpr base::Logger kLog{"admin"};
constexpr std::string_view kBearerPrefix = "Bearer ";
/// The rules file of the largest fleet has a few megabytes.
constexpr std::uint64_t kMaxBodyBytes = 16ULL * 1024 * 1024;

/// The HTTP status for an error code.
struct HttpStatusMapping {
  base::Errc code;
  unsigned status;
};

constexpr HttpStatusMapping kHttpStatuses[] = {
    {base::Errc::kInvalid, 400},     {base::Errc::kUnauthorized, 401},
    {base::Errc::kForbidden, 403},   {base::Errc::kNotFound, 404},
    {base::Errc::kConflict, 409},    {base::Errc::kOverRate, 429},
    {base::Errc::kThrottled, 429},   {base::Errc::kOverload, 503},
    {base::Errc::kUnavailable, 503}, {base::Errc::kCancelled, 503},
    {base::Errc::kFenced, 503},      {base::Errc::kUnknown, 504},
    {base::Errc::kTimeout, 504},
};

bool IsAuthorised(const RequestHead& head, const std::string& token) {
  // Without a configured token, all requests are refused.
  if (token.empty()) return false;
  const auto* header = head.Find("Authorization");
  if (header == nullptr ||
      header->compare(0, kBearerPrefix.size(), kBearerPrefix) != 0) {
    return false;
  }
  return base::ConstantTimeEqual(header->substr(kBearerPrefix.size()), token);
}

std::string PathAfterPrefix(const std::string& path,
                            const std::string& prefix) {
  auto tail = path.substr(std::min(prefix.size(), path.size()));
  if (!tail.empty() && tail.front() == '/') tail.erase(0, 1);
  return tail;
}

base::Outcome<Json::Value> ParseBody(const std::string& text) {
  if (text.empty()) return Json::Value();
  return peer::ReadJson(text);
}

boost::asio::awaitable<base::Status> SendReply(Exchange& exchange,
                                               const AdminReply& reply) {
  ResponseHead head;
  head.status = reply.status;
  head.headers = {{"Content-Type", "application/json"},
                  {"Cache-Control", "no-store"}};
  return exchange.Send(std::move(head), peer::WriteJson(reply.body) + "\n");
}

boost::asio::awaitable<AdminReply> HandleAuthorised(
    Exchange& exchange, const std::string& prefix,
    const AdminHandler& handler) {
  auto text = co_await exchange.ReadBody(kMaxBodyBytes);
  if (!text.ok()) co_return MakeAdminError(text.error());
  auto body = ParseBody(*text);
  if (!body.ok()) co_return MakeAdminError(body.error());
  const auto& head = exchange.request();
  AdminRequest request{head.method, head.path,
                       PathAfterPrefix(head.path, prefix),
                       ParseQuery(head.query), std::move(*body)};
  co_return co_await handler(std::move(request));
}

}  // namespace

AdminReply MakeAdminError(const base::Error& error) {
  AdminReply reply;
  reply.status = 500;
  for (const auto& entry : kHttpStatuses) {
    if (error.Is(entry.code)) reply.status = entry.status;
  }
  reply.body["error"]["code"] = error.code.message();
  reply.body["error"]["message"] = error.message;
  return reply;
}

void AddAdminRoute(Router& router, const Runtime& runtime, std::string method,
                   std::string path_prefix, AdminHandler handler) {
  auto route_handler = [&runtime, path_prefix, handler = std::move(handler)](
                           Exchange& exchange) -> boost::asio::awaitable<void> {
    AdminReply reply;
    if (IsAuthorised(exchange.request(), runtime.settings.admin_token)) {
      reply = co_await HandleAuthorised(exchange, path_prefix, handler);
    } else {
      reply = MakeAdminError(
          {base::Errc::kUnauthorized, "the admin token is missing or wrong"});
    }
    const auto sent = co_await SendReply(exchange, reply);
    if (!sent.ok()) kLog.Debug("Connection closed before the reply was sent.");
  };
  router.Add(std::move(method), std::move(path_prefix),
             std::move(route_handler));
}

}  // namespace gypsumtrack::gateway
