#ifndef GYPSUMTRACK_GYPSUMCTL_SRC_CLIENT_H_
#define GYPSUMTRACK_GYPSUMCTL_SRC_CLIENT_H_

#include <json/value.h>

#include <string>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/time.h"

/// Calls to a daemon's admin API.
namespace gypsumtrack::ctl {

struct Client {
  /// `ip:port`.
  std::string address;
  std::string token;
  base::Duration timeout = std::chrono::seconds(30);
};

/// One call. Errors: kUnavailable if the daemon can't be reached, kUnknown if
/// it didn't answer, and the daemon's own.
base::Outcome<Json::Value> Get(const Client& client, const std::string& target);
base::Outcome<Json::Value> Post(const Client& client, const std::string& target,
                                const Json::Value& body);

}  // namespace gypsumtrack::ctl

#endif  // GYPSUMTRACK_GYPSUMCTL_SRC_CLIENT_H_
