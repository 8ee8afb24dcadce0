#ifndef GYPSUMTRACK_PEER_SRC_RPC_SERVER_H_
#define GYPSUMTRACK_PEER_SRC_RPC_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/peer/peer.h"

/// The callee's side of JSON-RPC 2.0: dispatches request texts to handlers.
namespace gypsumtrack::peer {

/// Handlers by method name.
struct RpcHandlers {
  std::map<std::string, CallHandler> calls;
  std::map<std::string, NoticeHandler> notices;
};

/// Processes the request texts of one sender. Not thread-safe.
class RpcServer {
 public:
  /// Sends a reply's text.
  using SendHandler = std::function<void(std::string)>;

  /// Precondition: `handlers` outlives the server and doesn't change.
  RpcServer(const RpcHandlers& handlers, base::VmId from);
  ~RpcServer();
  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

  /// Calls the handler of a call. `send` is called once with the reply's text,
  /// possibly later and from any thread. Returns false if the text is malformed
  /// or names no known method; the reply is an error then.
  bool HandleCall(const std::string& text, SendHandler send);

  /// Calls the handlers of a batch of notices. Returns false if any is
  /// malformed or names no known method.
  bool HandleNotices(const std::string& text);

 private:
  class Dispatcher;
  std::unique_ptr<Dispatcher> dispatcher;
};

/// Encodes a result or error as a reply's text. Thread-safe.
std::string EncodeReply(base::Outcome<Json::Value> outcome);

}  // namespace gypsumtrack::peer

#endif  // GYPSUMTRACK_PEER_SRC_RPC_SERVER_H_
