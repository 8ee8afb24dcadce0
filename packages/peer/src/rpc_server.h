#ifndef GYPSUMTRACK_PEER_SRC_RPC_SERVER_H_
#define GYPSUMTRACK_PEER_SRC_RPC_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/peer/peer.h"

/// The callee's half of JSON-RPC 2.0: dispatch of texts to handlers.
namespace gypsumtrack::peer {

struct RpcHandlers {
  std::map<std::string, CallHandler> calls;
  std::map<std::string, NoticeHandler> notices;
};

/// Serves the texts of one sender. Not thread-safe.
class RpcServer {
 public:
  using SendHandler = std::function<void(std::string)>;

  /// Precondition: `handlers` outlives the server and doesn't change.
  RpcServer(const RpcHandlers& handlers, base::VmId from);
  ~RpcServer();
  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

  /// Starts a call; `send` is called once with the reply's text, perhaps later
  /// and from any thread. False if the text was malformed or names no method.
  bool HandleCall(const std::string& text, SendHandler send);

  /// Runs a batch of notices. False if any was malformed or names no method.
  bool HandleNotices(const std::string& text);

 private:
  class Dispatcher;
  std::unique_ptr<Dispatcher> dispatcher;
};

/// The reply's text. Thread-safe.
std::string EncodeReply(base::Outcome<Json::Value> outcome);

}  // namespace gypsumtrack::peer

#endif  // GYPSUMTRACK_PEER_SRC_RPC_SERVER_H_
