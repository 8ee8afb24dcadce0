#ifndef GYPSUMTRACK_GYPSUMCTL_SRC_CLIENT_H_
#define GYPSUMTRACK_GYPSUMCTL_SRC_CLIENT_H_

#include <json/value.h>

#include <string>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/time.h"

/// Requests to the admin API of a daemon.
namespace gypsumtrack::ctl {

/// How to reach and authenticate to the admin API of a daemon.
struct Client {
  /// In the form `IP:PORT`.
  std::string address;
  /// The admin token of the fleet.
  std::string token;
  /// For each request, from connecting to the complete response.
  base::Duration timeout = std::chrono::seconds(30);
};

/// Sends a GET request and returns the JSON of the response. Blocks;
/// thread-safe. Errors: kInvalid for a malformed address or an error response,
/// kUnavailable if the connection fails, kUnknown if there is no complete
/// response.
base::Outcome<Json::Value> Get(const Client& client, const std::string& target);
/// Like Get, for a POST request with a JSON body.
base::Outcome<Json::Value> Post(const Client& client, const std::string& target,
                                const Json::Value& body);

}  // namespace gypsumtrack::ctl

#endif  // GYPSUMTRACK_GYPSUMCTL_SRC_CLIENT_H_
