#include "rpc_server.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <exception>
#include <utility>

namespace gypsumtrack::peer {
namespace {

jsonrpc::Procedure MakeMethod(const std::string& name) {
  jsonrpc::Procedure procedure;
  procedure.SetProcedureName(name);
  procedure.SetProcedureType(jsonrpc::RPC_METHOD);
  procedure.SetReturnType(jsonrpc::JSON_OBJECT);
  return procedure;
}

jsonrpc::Procedure MakeNotification(const std::string& name) {
  jsonrpc::Procedure procedure;
  procedure.SetProcedureName(name);
  procedure.SetProcedureType(jsonrpc::RPC_NOTIFICATION);
  return procedure;
}

/// Connects the library's protocol handler to request and response texts in
/// memory instead of a socket.
class InMemoryServer : public jsonrpc::AbstractServerConnector,
                       public jsonrpc::IProcedureInvokationHandler {
 public:
  InMemoryServer()
      : protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {
    this->SetHandler(this->protocol.get());
  }

  bool StartListening() override { return true; }
  bool StopListening() override { return true; }

 protected:
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
};

/// Encodes an outcome as the response to a fixed request. The library builds
/// responses only while it processes a request, but handlers may reply later.
class ReplyEncoder final : public InMemoryServer {
 public:
  explicit ReplyEncoder(base::Outcome<Json::Value> value)
      : outcome(std::move(value)) {
    this->protocol->AddProcedure(MakeMethod("reply"));
  }

  std::string Encode() {
    this->OnRequest(R"({"jsonrpc":"2.0","id":1,"method":"reply"})");
    return std::move(this->text);
  }

  void HandleMethodCall(jsonrpc::Procedure&, const Json::Value&,
                        Json::Value& output) override {
    if (!this->outcome.ok()) {
      const auto& error = this->outcome.error();
      throw jsonrpc::JsonRpcException(error.code.value(), error.message);
    }
    output = std::move(*this->outcome);
  }
  void HandleNotificationCall(jsonrpc::Procedure&,
                              const Json::Value&) override {}

  bool SendResponse(const std::string& response, void*) override {
    this->text = response;
    return true;
  }

 private:
  base::Outcome<Json::Value> outcome;
  std::string text;
};

}  // namespace

class RpcServer::Dispatcher final : public InMemoryServer {
 public:
  Dispatcher(const RpcHandlers& all, base::VmId sender)
      : handlers(all), from(std::move(sender)) {
    for (const auto& [name, handler] : this->handlers.calls) {
      this->protocol->AddProcedure(MakeMethod(name));
    }
    for (const auto& [name, handler] : this->handlers.notices) {
      this->protocol->AddProcedure(MakeNotification(name));
    }
  }

  bool Call(const std::string& text, SendHandler reply) {
    this->handler_called = false;
    this->send = std::move(reply);
    const bool processed = this->ProcessRequest(text);
    if (!processed && !this->handler_called) {
      this->send(EncodeReply(base::Error(base::Errc::kInvalid, "unreadable")));
    }
    this->send = nullptr;
    return this->handler_called;
  }

  bool Notices(const std::string& text) {
    this->has_error = false;
    return this->ProcessRequest(text) && !this->has_error;
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value&) override {
    if (!this->send) {
      this->has_error = true;
      return;
    }
    this->handler_called = true;
    const auto& handler = this->handlers.calls.at(procedure.GetProcedureName());
    handler(this->from, input,
            [reply = this->send](base::Outcome<Json::Value> outcome) {
              reply(EncodeReply(std::move(outcome)));
            });
  }

  void HandleNotificationCall(jsonrpc::Procedure& procedure,
                              const Json::Value& input) override {
    this->handler_called = true;
    this->handlers.notices.at(procedure.GetProcedureName())(this->from, input);
  }

  /// Uses the library's own response only if no handler was called, since a
  /// handler's reply is sent separately.
  bool SendResponse(const std::string& response, void*) override {
    if (this->send) {
      if (!this->handler_called) this->send(response);
    } else if (response.find("\"error\"") != std::string::npos) {
      this->has_error = true;
    }
    return true;
  }

 private:
  /// Returns false if the text can't be parsed.
  bool ProcessRequest(const std::string& text) {
    try {
      return this->OnRequest(text);
    } catch (const std::exception&) {
      return false;
    }
  }

  const RpcHandlers& handlers;
  base::VmId from;
  SendHandler send;
  bool handler_called = false;
  bool has_error = false;
};

RpcServer::RpcServer(const RpcHandlers& handlers, base::VmId from)
    : dispatcher(std::make_unique<Dispatcher>(handlers, std::move(from))) {}

RpcServer::~RpcServer() = default;

bool RpcServer::HandleCall(const std::string& text, SendHandler send) {
  return this->dispatcher->Call(text, std::move(send));
}

bool RpcServer::HandleNotices(const std::string& text) {
  return this->dispatcher->Notices(text);
}

std::string EncodeReply(base::Outcome<Json::Value> outcome) {
  return ReplyEncoder(std::move(outcome)).Encode();
}

}  // namespace gypsumtrack::peer
