#include "rpc_client.h"

#include <jsonrpccpp/client.h>

#include <exception>

namespace gypsumtrack {
namespace peer {
namespace {

/// Captures the request text that the library sends and returns a preset
/// response.
class InMemoryConnector : public jsonrpc::IClientConnector {
 public:
  explicit InMemoryConnector(const std::string& reply) : response(reply) {}

  void SendRPCMessage(const std::string& message,
                      std::string& result) noexcept override {
    this->sent = message;
    result = this->response;
  }

  const std::string& Sent() const { return this->sent; }

 private:
  std::string response;
  std::string sent;
};

// The library sends a request and reads its response in one blocking step, so
// encoding gives it a preset response, and decoding calls an empty method name.
constexpr const char* kNullResultResponse =
    R"({"jsonrpc":"2.0","id":1,"result":null})";

}  // namespace

std::string EncodeCall(const std::string& method, const Json::Value& params) {
  InMemoryConnector connector(kNullResultResponse);
  jsonrpc::Client client(connector);
  client.CallMethod(method, params);
  return connector.Sent();
}

std::string EncodeNotices(const std::vector<RpcNotice>& notices) {
  InMemoryConnector connector("[]");
  jsonrpc::Client client(connector);
  jsonrpc::BatchCall batch;
  for (const auto& notice : notices) {
    batch.addCall(notice.method, notice.params, true);
  }
  client.CallProcedures(batch);
  return connector.Sent();
}

RpcReply DecodeReply(const std::string& text) {
  InMemoryConnector connector(text);
  jsonrpc::Client client(connector);
  RpcReply reply;
  try {
    reply.result = client.CallMethod("", Json::Value());
    reply.ok = true;
  } catch (const jsonrpc::JsonRpcException& error) {
    reply.code = error.GetCode();
    reply.message = error.GetMessage();
  } catch (const std::exception& error) {
    reply.code = kRpcMalformed;
    reply.message = error.what();
  }
  return reply;
}

}  // namespace peer
}  // namespace gypsumtrack
