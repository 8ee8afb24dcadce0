#include "rpc_client.h"

#include <jsonrpccpp/client.h>

#include <exception>

namespace gypsumtrack {
namespace peer {
namespace {

/// Keeps the text that the library would send and answers with a given one.
class TextConnector : public jsonrpc::IClientConnector {
 public:
  explicit TextConnector(const std::string& reply) : answer(reply) {}

  void SendRPCMessage(const std::string& message,
                      std::string& result) noexcept override {
    this->sent = message;
    result = this->answer;
  }

  const std::string& Sent() const { return this->sent; }

 private:
  std::string answer;
  std::string sent;
};

// The library sends and receives in one blocking step. Encoding gives it an
// empty answer, decoding an empty question.
constexpr const char* kEmptyAnswer =
    R"({"jsonrpc":"2.0","id":1,"result":null})";

}  // namespace

std::string EncodeCall(const std::string& method, const Json::Value& params) {
  TextConnector connector(kEmptyAnswer);
  jsonrpc::Client client(connector);
  client.CallMethod(method, params);
  return connector.Sent();
}

std::string EncodeNotices(const std::vector<RpcNotice>& notices) {
  TextConnector connector("[]");
  jsonrpc::Client client(connector);
  jsonrpc::BatchCall batch;
  for (const auto& notice : notices) {
    batch.addCall(notice.method, notice.params, true);
  }
  client.CallProcedures(batch);
  return connector.Sent();
}

RpcReply DecodeReply(const std::string& text) {
  TextConnector connector(text);
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
