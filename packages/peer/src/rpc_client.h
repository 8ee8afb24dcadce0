#ifndef GYPSUMTRACK_PEER_SRC_RPC_CLIENT_H_
#define GYPSUMTRACK_PEER_SRC_RPC_CLIENT_H_

#include <json/value.h>

#include <string>
#include <vector>

/// The caller's side of JSON-RPC 2.0: encodes calls and decodes replies. The
/// source is compiled as C++14 because the library's client headers have
/// dynamic exception specifications, so this header must be valid C++14 too.
namespace gypsumtrack {
namespace peer {

/// A notice to be encoded.
struct RpcNotice {
  std::string method;
  Json::Value params;
};

/// A decoded reply: a result if `ok`, else an error.
struct RpcReply {
  bool ok = false;
  Json::Value result;
  /// Code and message of the error of a failed call.
  int code = 0;
  std::string message;
};

/// Error code of a reply that couldn't be parsed, as JSON-RPC defines it.
constexpr int kRpcMalformed = -32700;

/// Encodes a call. Precondition: `params` is an object, an array or null.
/// Thread-safe, as are all functions here.
std::string EncodeCall(const std::string& method, const Json::Value& params);

/// Encodes notices as one JSON-RPC batch. Precondition: `notices` isn't empty.
std::string EncodeNotices(const std::vector<RpcNotice>& notices);

/// Decodes a reply. A malformed one yields an error with kRpcMalformed.
RpcReply DecodeReply(const std::string& text);

}  // namespace peer
}  // namespace gypsumtrack

#endif  // GYPSUMTRACK_PEER_SRC_RPC_CLIENT_H_
