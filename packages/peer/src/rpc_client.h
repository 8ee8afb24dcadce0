#ifndef GYPSUMTRACK_PEER_SRC_RPC_CLIENT_H_
#define GYPSUMTRACK_PEER_SRC_RPC_CLIENT_H_

#include <json/value.h>

#include <string>
#include <vector>

/// The caller's half of JSON-RPC 2.0: text from calls, results from text.
/// Its source is compiled as C++14, since the library's client headers carry
/// exception specifications; this header keeps to C++14 too.
namespace gypsumtrack {
namespace peer {

struct RpcNotice {
  std::string method;
  Json::Value params;
};

struct RpcReply {
  bool ok = false;
  Json::Value result;
  /// Of a failed call: the error's number and sentence.
  int code = 0;
  std::string message;
};

/// The code of a reply that couldn't be read.
constexpr int kRpcMalformed = -32700;

/// Precondition: `params` is an object, an array or null. Thread-safe, as are
/// those below.
std::string EncodeCall(const std::string& method, const Json::Value& params);

/// One JSON-RPC batch. Precondition: `notices` isn't empty.
std::string EncodeNotices(const std::vector<RpcNotice>& notices);

RpcReply DecodeReply(const std::string& text);

}  // namespace peer
}  // namespace gypsumtrack

#endif  // GYPSUMTRACK_PEER_SRC_RPC_CLIENT_H_
