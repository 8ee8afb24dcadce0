#ifndef GYPSUMTRACK_PEER_PEER_H_
#define GYPSUMTRACK_PEER_PEER_H_

#include <json/value.h>

#include <functional>
#include <string>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/time.h"

/// Calls and notices between daemons, as the components of a daemon use them. A
/// call is a JSON-RPC request with a reply; a notice is a JSON-RPC
/// notification, which has none.
namespace gypsumtrack::peer {

/// Receives the result of a call, or its error.
using ReplyHandler = std::function<void(base::Outcome<Json::Value>)>;

/// Serves a call from the VM `from`. Must call the reply handler once; it may
/// do so later and from any thread.
using CallHandler = std::function<void(
    const base::VmId& from, const Json::Value& params, ReplyHandler)>;
/// Handles a notice from the VM `from`.
using NoticeHandler =
    std::function<void(const base::VmId& from, const Json::Value& params)>;

/// The functions of a transport that components use, so that tests can replace
/// them. `call` and `notify` are thread-safe; handlers are registered from one
/// thread.
struct PeerLink {
  /// Calls a method of the daemon at `address` (`ip:port`). Errors:
  /// kUnavailable if the call wasn't sent, kUnknown if it was sent but the
  /// reply didn't arrive by the deadline or the connection was lost, kInvalid
  /// if it is too large, or the error of the callee.
  std::function<void(const std::string& address, const std::string& method,
                     Json::Value params, base::Instant deadline, ReplyHandler)>
      call;
  /// Sends a notice, which may be lost without an error.
  std::function<void(const std::string& address, const std::string& method,
                     Json::Value params)>
      notify;
  /// Registers the handler of a call's method. Precondition: called before the
  /// transport starts, at most once for each method.
  std::function<void(const std::string& method, CallHandler)> on_call;
  /// Registers the handler of a notice's method. Precondition: as for
  /// `on_call`.
  std::function<void(const std::string& method, NoticeHandler)> on_notice;
};

}  // namespace gypsumtrack::peer

#endif  // GYPSUMTRACK_PEER_PEER_H_
