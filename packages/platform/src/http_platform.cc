#include "gypsumtrack/platform/http_platform.h"

#include <boost/url/encode.hpp>
#include <boost/url/rfc/pchars.hpp>
#include <memory>
#include <utility>

#include "gypsumtrack/platform/codec.h"
#include "gypsumtrack/platform/http_pool.h"

namespace gypsumtrack::platform {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kLastSuccess = 299;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServiceUnavailable = 503;

/// Returns the error for a reply that isn't a success. After 5xx other than 503
/// it is unknown whether a change took effect.
base::Error StatusError(const HttpReply& reply) {
  const auto text = "platform: " + reply.body;
  switch (reply.status) {
    case kNotFound:
      return {base::Errc::kNotFound, text};
    case kConflict:
      return {base::Errc::kConflict, text};
    case kTooManyRequests:
      return {base::Errc::kThrottled, text};
    case kServiceUnavailable:
      return {base::Errc::kUnavailable, text};
    default:
      return {reply.status < 500 ? base::Errc::kInvalid : base::Errc::kUnknown,
              text};
  }
}

/// Returns the body of a successful reply.
base::Outcome<std::string> SuccessBody(base::Outcome<HttpReply> reply) {
  if (!reply.ok()) return reply.error();
  if (reply->status < kOk || reply->status > kLastSuccess) {
    return StatusError(*reply);
  }
  return std::move(reply->body);
}

/// Returns the result of a call that changes data.
base::Status ToStatus(base::Outcome<HttpReply> reply) {
  const auto body = SuccessBody(std::move(reply));
  if (!body.ok()) return body.error();
  return base::Done{};
}

/// Returns the result of a read. A read changes nothing, so it makes no
/// difference whether the request or the response was lost: both are reported
/// as kUnavailable.
base::Outcome<std::string> ToReadBody(base::Outcome<HttpReply> reply) {
  auto body = SuccessBody(std::move(reply));
  if (!body.ok() && body.error().Is(base::Errc::kUnknown)) {
    return base::Error(base::Errc::kUnavailable, body.error().message);
  }
  return body;
}

/// Returns the parsed result of a read.
template <typename T>
base::Outcome<T> ParseReadBody(base::Outcome<HttpReply> reply,
                               base::Outcome<T> (*parse)(std::string_view)) {
  const auto body = ToReadBody(std::move(reply));
  if (!body.ok()) return body.error();
  return parse(*body);
}

std::string ObjectTarget(const std::string& name) {
  return "/objects/" + boost::urls::encode(name, boost::urls::pchars);
}

/// The platform stand-in learns the failure domain of the client from a header.
HttpCall MakeCall(std::string method, std::string target, std::string body,
                  const std::string& domain, base::Instant deadline) {
  HttpCall call;
  call.method = std::move(method);
  call.target = std::move(target);
  call.body = std::move(body);
  if (!domain.empty()) call.headers.emplace_back("Gypsumtrack-Domain", domain);
  call.deadline = deadline;
  return call;
}

using PoolPointer = std::shared_ptr<HttpPool>;

base::Table MakeTable(const PoolPointer& pool, const std::string& domain) {
  base::Table table;
  table.commit = [pool, domain](const base::TableCommit& commit,
                                base::Instant deadline,
                                base::CommitHandler handler) {
    pool->Send(MakeCall("POST", "/table/commit", FormatCommit(commit), domain,
                        deadline),
               [handler = std::move(handler)](base::Outcome<HttpReply> reply) {
                 handler(ToStatus(std::move(reply)));
               });
  };
  table.scan = [pool, domain](const base::TableScan& scan,
                              base::Instant deadline,
                              base::ScanHandler handler) {
    pool->Send(
        MakeCall("POST", "/table/scan", FormatScan(scan), domain, deadline),
        [handler = std::move(handler)](base::Outcome<HttpReply> reply) {
          handler(ParseReadBody(std::move(reply), &ParseScanReply));
        });
  };
  return table;
}

base::ObjectStore MakeObjects(const PoolPointer& pool,
                              const std::string& domain) {
  base::ObjectStore objects;
  objects.put = [pool, domain](const std::string& name, std::string bytes,
                               base::Instant deadline,
                               base::StatusHandler handler) {
    pool->Send(
        MakeCall("PUT", ObjectTarget(name), std::move(bytes), domain, deadline),
        [handler = std::move(handler)](base::Outcome<HttpReply> reply) {
          handler(ToStatus(std::move(reply)));
        });
  };
  objects.get = [pool, domain](const std::string& name, base::Instant deadline,
                               base::ObjectHandler handler) {
    pool->Send(MakeCall("GET", ObjectTarget(name), "", domain, deadline),
               [handler = std::move(handler)](base::Outcome<HttpReply> reply) {
                 handler(ToReadBody(std::move(reply)));
               });
  };
  objects.remove = [pool, domain](const std::string& name,
                                  base::Instant deadline,
                                  base::StatusHandler handler) {
    pool->Send(MakeCall("DELETE", ObjectTarget(name), "", domain, deadline),
               [handler = std::move(handler)](base::Outcome<HttpReply> reply) {
                 handler(ToStatus(std::move(reply)));
               });
  };
  return objects;
}

}  // namespace

Platform MakeHttpPlatform(const boost::asio::any_io_executor& executor,
                          std::string address, base::Clock clock,
                          const base::FailureDomain& domain) {
  const auto pool = std::make_shared<HttpPool>(executor, std::move(address),
                                               std::move(clock));
  Platform platform;
  platform.table = MakeTable(pool, domain.text);
  platform.objects = MakeObjects(pool, domain.text);
  platform.vms = [pool, name = domain.text](base::Instant deadline,
                                            base::VmListHandler handler) {
    pool->Send(MakeCall("GET", "/vms", "", name, deadline),
               [handler = std::move(handler)](base::Outcome<HttpReply> reply) {
                 handler(ParseReadBody(std::move(reply), &ParseVms));
               });
  };
  return platform;
}

}  // namespace gypsumtrack::platform
