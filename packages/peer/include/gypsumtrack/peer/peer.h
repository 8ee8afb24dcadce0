#ifndef GYPSUMTRACK_PEER_PEER_H_
#define GYPSUMTRACK_PEER_PEER_H_

#include <json/value.h>

#include <functional>
#include <string>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/time.h"

/// Calls and notices between daemons, as the parts of a daemon see them.
namespace gypsumtrack::peer {

using ReplyHandler = std::function<void(base::Outcome<Json::Value>)>;

/// Answers a call; the reply handler may be called later, from any thread.
using CallHandler = std::function<void(
    const base::VmId& from, const Json::Value& params, ReplyHandler)>;
using NoticeHandler =
    std::function<void(const base::VmId& from, const Json::Value& params)>;

/// What a part needs of the transport. All hooks are thread-safe.
struct PeerLink {
  /// Asks the daemon at `address` (`ip:port`). Errors: kUnavailable (not sent),
  /// kUnknown (sent, no answer by the deadline), or the callee's.
  std::function<void(const std::string& address, const std::string& method,
                     Json::Value params, base::Instant deadline, ReplyHandler)>
      call;
  /// Sends without an answer; may be lost.
  std::function<void(const std::string& address, const std::string& method,
                     Json::Value params)>
      notify;
  /// Precondition: called before the transport starts, once a method.
  std::function<void(const std::string& method, CallHandler)> on_call;
  /// Precondition: called before the transport starts, once a method.
  std::function<void(const std::string& method, NoticeHandler)> on_notice;
};

}  // namespace gypsumtrack::peer

#endif  // GYPSUMTRACK_PEER_PEER_H_
