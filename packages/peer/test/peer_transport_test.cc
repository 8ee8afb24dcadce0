#include "gypsumtrack/peer/peer_transport.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <list>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include "../src/frame.h"
#include "../src/transport_context.h"

namespace gypsumtrack::peer {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using PendingReply = std::optional<base::Outcome<Json::Value>>;

constexpr auto kSecret = "a secret of the fleet";

/// Forwards bytes between a caller and a callee until DropTraffic, then drops
/// them without closing the connections, as a NAT or firewall does that has
/// lost its state of a connection.
class DroppingProxy {
 public:
  DroppingProxy(asio::io_context& context, const std::string& target)
      : context(context),
        target(*ParseAddress(target)),
        acceptor(context,
                 tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    this->Accept();
  }

  std::string Address() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }

  void DropTraffic() {
    for (auto& connection : this->connections) connection->dropping = true;
  }

 private:
  struct ProxiedConnection {
    explicit ProxiedConnection(asio::io_context& context)
        : caller_socket(context), callee_socket(context) {}
    tcp::socket caller_socket;
    tcp::socket callee_socket;
    bool dropping = false;
  };
  using Buffer = std::shared_ptr<std::vector<char>>;

  void Accept() {
    auto connection = std::make_shared<ProxiedConnection>(this->context);
    this->acceptor.async_accept(
        connection->caller_socket, [this, connection](auto error) {
          if (error) return;
          connection->callee_socket.connect(this->target);
          this->connections.push_back(connection);
          this->Forward(connection, connection->caller_socket,
                        connection->callee_socket);
          this->Forward(connection, connection->callee_socket,
                        connection->caller_socket);
          this->Accept();
        });
  }

  void Forward(const std::shared_ptr<ProxiedConnection>& connection,
               tcp::socket& from, tcp::socket& to) {
    const auto buffer = std::make_shared<std::vector<char>>(4096);
    from.async_read_some(
        asio::buffer(*buffer),
        [this, connection, buffer, &from, &to](auto error, std::size_t size) {
          if (error) {
            boost::system::error_code ignored;
            if (!connection->dropping) to.close(ignored);
            return;
          }
          boost::system::error_code ignored;
          if (!connection->dropping) {
            asio::write(to, asio::buffer(buffer->data(), size), ignored);
          }
          this->Forward(connection, from, to);
        });
  }

  asio::io_context& context;
  tcp::endpoint target;
  tcp::acceptor acceptor;
  std::vector<std::shared_ptr<ProxiedConnection>> connections;
};

/// The transports of two daemons on one thread.
struct TransportPair {
  asio::io_context context;
  base::Clock clock = base::SystemClock();
  std::unique_ptr<PeerTransport> caller;
  std::unique_ptr<PeerTransport> callee;
  std::vector<std::string> received_notices;
  std::vector<ReplyHandler> held_replies;
  int echo_calls = 0;

  explicit TransportPair(const TransportOptions& caller_options = {},
                         const std::string& callee_secret = kSecret) {
    this->caller = this->Make({"vm-1", 11}, caller_options, kSecret);
    this->callee = this->Make({"vm-2", 22}, {}, callee_secret);
    this->AddHandlers();
    REQUIRE(this->caller->Start().ok());
    REQUIRE(this->callee->Start().ok());
  }

  std::unique_ptr<PeerTransport> Make(const base::VmId& self,
                                      TransportOptions options,
                                      const std::string& secret) {
    options.self = self;
    options.listen = "127.0.0.1:0";
    options.fleet_secret = secret;
    options.clock = this->clock;
    options.executor = this->context.get_executor();
    return std::make_unique<PeerTransport>(options);
  }

  void AddHandlers() {
    const auto link = this->callee->Link();
    link.on_call(
        "echo", [this](const base::VmId& from, const Json::Value& params,
                       const ReplyHandler& reply) {
          ++this->echo_calls;
          Json::Value out = params;
          out["from"] = from.name;
          out["incarnation"] = static_cast<Json::UInt64>(from.incarnation);
          reply(out);
        });
    link.on_call("fail", [](const base::VmId&, const Json::Value&,
                            const ReplyHandler& reply) {
      reply(base::Error(base::Errc::kFenced, "a newer holder"));
    });
    link.on_call("hold", [this](const base::VmId&, const Json::Value&,
                                ReplyHandler reply) {
      this->held_replies.push_back(std::move(reply));
    });
    link.on_notice(
        "news", [this](const base::VmId&, const Json::Value& params) {
          this->received_notices.push_back(params["text"].asString());
        });
  }

  void Call(PendingReply& reply, const std::string& method,
            const std::string& address, const std::string& text = "x",
            base::Duration timeout = std::chrono::seconds(60)) {
    Json::Value params;
    params["text"] = text;
    this->caller->Link().call(address, method, params,
                              this->clock.now() + timeout,
                              [&reply](auto outcome) { reply = outcome; });
  }

  base::Outcome<Json::Value> CallAndWait(const std::string& method,
                                         const std::string& address = "",
                                         const std::string& text = "x") {
    PendingReply reply;
    this->Call(reply, method, address.empty() ? callee->Address() : address,
               text);
    this->RunUntil([&] { return reply.has_value(); });
    return *reply;
  }

  template <typename Condition>
  void RunUntil(const Condition& condition) {
    while (!condition()) this->context.run_one();
  }
};

/// A caller that writes frames itself, to send what a transport never would.
struct RawCaller {
  TransportPair& pair;
  tcp::socket socket;
  Hello hello{kProtocolVersion, {"vm-9", 9}, "raw", ""};
  Hello callee;

  explicit RawCaller(TransportPair& owner)
      : pair(owner), socket(owner.context) {
    this->socket.connect(*ParseAddress(owner.callee->Address()));
  }

  void Write(const std::string& bytes) {
    asio::write(this->socket, asio::buffer(bytes));
  }

  void WriteHello() {
    const auto text = EncodeHello(this->hello);
    this->Write(EncodeLength(text.size()) + text);
  }

  FrameAuthenticator Handshake(const std::string& secret) {
    this->WriteHello();
    std::string length(kLengthBytes, '\0');
    this->Receive(length);
    std::string reply(DecodeLength(length), '\0');
    this->Receive(reply);
    this->callee = *DecodeHello(reply);
    return FrameAuthenticator(
        DirectionKey(secret, Direction::kToCallee, this->hello, this->callee));
  }

  void Receive(std::string& buffer) {
    bool done = false;
    asio::async_read(this->socket, asio::buffer(buffer),
                     [&](auto, std::size_t) { done = true; });
    this->pair.RunUntil([&] { return done; });
  }
};

TEST_CASE("a daemon calls another") {
  TransportPair pair;
  SECTION("the reply arrives and the callee knows the caller") {
    const auto reply = pair.CallAndWait("echo");
    REQUIRE(reply.ok());
    CHECK((*reply)["text"] == "x");
    CHECK((*reply)["from"] == "vm-1");
    CHECK((*reply)["incarnation"].asUInt64() == 11);
  }
  SECTION("the error of the callee is returned") {
    const auto reply = pair.CallAndWait("fail");
    CHECK(reply.error().Is(base::Errc::kFenced));
    CHECK(reply.error().message == "a newer holder");
  }
  SECTION("an unknown method is invalid") {
    CHECK(pair.CallAndWait("nonsense").error().Is(base::Errc::kInvalid));
    CHECK(pair.callee->Counts().malformed == 1);
  }
  SECTION("replies may arrive out of order") {
    PendingReply slow_reply;
    pair.Call(slow_reply, "hold", pair.callee->Address());
    pair.RunUntil([&] { return pair.held_replies.size() == 1; });
    CHECK(pair.CallAndWait("echo").ok());
    CHECK_FALSE(slow_reply.has_value());
    pair.held_replies.front()(Json::Value(Json::objectValue));
    pair.RunUntil([&] { return slow_reply.has_value(); });
    CHECK(slow_reply->ok());
  }
  SECTION("a call to an unreachable address is unavailable") {
    const auto reply = pair.CallAndWait("echo", "127.0.0.1:1");
    CHECK(reply.error().Is(base::Errc::kUnavailable));
  }
  SECTION("the outcome is unknown if the callee stops before its reply") {
    PendingReply reply;
    pair.Call(reply, "hold", pair.callee->Address());
    pair.RunUntil([&] { return pair.held_replies.size() == 1; });
    pair.callee->Stop();
    pair.RunUntil([&] { return reply.has_value(); });
    CHECK(reply->error().Is(base::Errc::kUnknown));
  }
  SECTION("the call fails at the deadline if no reply arrives") {
    PendingReply reply;
    pair.Call(reply, "hold", pair.callee->Address(), "x",
              std::chrono::milliseconds(200));
    pair.RunUntil([&] { return reply.has_value(); });
    const bool known = reply->error().Is(base::Errc::kUnknown) ||
                       reply->error().Is(base::Errc::kUnavailable);
    CHECK(known);
  }
}

TEST_CASE("small notices are batched and stay in order") {
  TransportPair pair;
  REQUIRE(pair.CallAndWait("echo").ok());
  const auto before = pair.caller->Counts().frames_sent;
  for (int i = 0; i < 100; ++i) {
    Json::Value params;
    params["text"] = std::to_string(i);
    pair.caller->Link().notify(pair.callee->Address(), "news", params);
  }
  REQUIRE(pair.CallAndWait("echo").ok());
  REQUIRE(pair.received_notices.size() == 100);
  for (int i = 0; i < 100; ++i)
    CHECK(pair.received_notices[i] == std::to_string(i));
  CHECK(pair.caller->Counts().frames_sent - before <= 10);
}

TEST_CASE("an unresponsive connection is replaced") {
  TransportOptions options;
  options.ping_after = std::chrono::milliseconds(100);
  options.replace_after = std::chrono::milliseconds(1100);
  SECTION("later calls succeed") {
    TransportPair pair(options);
    DroppingProxy proxy(pair.context, pair.callee->Address());
    REQUIRE(pair.CallAndWait("echo", proxy.Address()).ok());
    proxy.DropTraffic();
    CHECK(pair.CallAndWait("echo", proxy.Address())
              .error()
              .Is(base::Errc::kUnknown));
    CHECK(pair.caller->Counts().replaced == 1);
    CHECK(pair.CallAndWait("echo", proxy.Address()).ok());
  }
  SECTION("a single notice is enough to detect it") {
    TransportPair pair(options);
    DroppingProxy proxy(pair.context, pair.callee->Address());
    REQUIRE(pair.CallAndWait("echo", proxy.Address()).ok());
    proxy.DropTraffic();
    pair.caller->Link().notify(proxy.Address(), "news", Json::Value());
    pair.RunUntil([&] { return pair.caller->Counts().replaced == 1; });
    CHECK(pair.CallAndWait("echo", proxy.Address()).ok());
  }
  SECTION("a responsive connection with a slow reply is kept") {
    TransportPair pair(options);
    PendingReply reply;
    pair.Call(reply, "hold", pair.callee->Address());
    pair.RunUntil([&] { return pair.callee->Counts().frames_received >= 4; });
    CHECK_FALSE(reply.has_value());
    pair.held_replies.front()(Json::Value(Json::objectValue));
    pair.RunUntil([&] { return reply.has_value(); });
    CHECK(reply->ok());
    CHECK(pair.caller->Counts().replaced == 0);
  }
  SECTION("without replacement all later calls fail") {
    options.ping_after = std::chrono::hours(1);
    options.replace_after = std::chrono::hours(2);
    TransportPair pair(options);
    DroppingProxy proxy(pair.context, pair.callee->Address());
    REQUIRE(pair.CallAndWait("echo", proxy.Address()).ok());
    proxy.DropTraffic();
    for (int i = 0; i < 2; ++i) {
      PendingReply reply;
      pair.Call(reply, "echo", proxy.Address(), "x",
                std::chrono::milliseconds(200));
      pair.RunUntil([&] { return reply.has_value(); });
      CHECK_FALSE(reply->ok());
    }
  }
}

TEST_CASE("a daemon without the fleet secret is refused") {
  SECTION("a callee without the secret is not called") {
    TransportPair pair({}, "another secret");
    CHECK(pair.CallAndWait("echo").error().Is(base::Errc::kUnavailable));
    CHECK(pair.caller->Counts().unauthenticated == 1);
    CHECK(pair.echo_calls == 0);
  }
  SECTION("a call of a caller without the secret is dropped and counted") {
    TransportPair pair;
    RawCaller raw_caller(pair);
    auto signer = raw_caller.Handshake("another secret");
    raw_caller.Write(signer.Sign(
        {FrameType::kCall, 1, R"({"jsonrpc":"2.0","id":1,"method":"echo"})"}));
    pair.RunUntil([&] { return pair.callee->Counts().unauthenticated == 1; });
    CHECK(pair.echo_calls == 0);
  }
  SECTION("frames replayed from another connection are refused") {
    TransportPair pair;
    const Frame call{FrameType::kCall, 1,
                     R"({"jsonrpc":"2.0","id":1,"method":"echo"})"};
    RawCaller first(pair);
    auto signer = first.Handshake(kSecret);
    const auto recorded = signer.Sign(call);
    first.Write(recorded);
    pair.RunUntil([&] { return pair.echo_calls == 1; });
    RawCaller second(pair);
    (void)second.Handshake(kSecret);
    second.Write(recorded);
    pair.RunUntil([&] { return pair.callee->Counts().unauthenticated == 1; });
    CHECK(pair.echo_calls == 1);
  }
}

TEST_CASE("malformed input is counted and dropped") {
  TransportPair pair;
  RawCaller raw_caller(pair);
  SECTION("a malformed hello") {
    raw_caller.Write(EncodeLength(4) + "nope");
    pair.RunUntil([&] { return pair.callee->Counts().malformed == 1; });
  }
  SECTION("a hello of another version") {
    raw_caller.hello.version = kProtocolVersion + 1;
    raw_caller.WriteHello();
    pair.RunUntil([&] { return pair.callee->Counts().wrong_version == 1; });
  }
  SECTION("a length above the limit") {
    raw_caller.Write(EncodeLength(kMaxHelloBytes + 1));
    pair.RunUntil([&] { return pair.callee->Counts().oversized == 1; });
  }
  SECTION("malformed calls and notices leave the connection open") {
    auto signer = raw_caller.Handshake(kSecret);
    for (const auto* text : {"{", "[]", "7", "{}", R"({"method":"echo"})"}) {
      raw_caller.Write(signer.Sign({FrameType::kCall, 1, text}));
    }
    const std::string deeply_nested(5000, '[');
    raw_caller.Write(signer.Sign({FrameType::kCall, 1, deeply_nested}));
    raw_caller.Write(signer.Sign({FrameType::kNotices, 1, deeply_nested}));
    raw_caller.Write(signer.Sign({FrameType::kNotices, 1, "nonsense"}));
    raw_caller.Write(signer.Sign(
        {FrameType::kNotices, 1, R"([{"jsonrpc":"2.0","method":"none"}])"}));
    raw_caller.Write(signer.Sign(
        {FrameType::kNotices, 1, R"([{"jsonrpc":"2.0","method":"news"}])"}));
    pair.RunUntil([&] { return pair.received_notices.size() == 1; });
    CHECK(pair.callee->Counts().malformed == 9);
    CHECK(pair.echo_calls == 0);
  }
  SECTION("a call that is too large is not sent") {
    const auto reply =
        pair.CallAndWait("echo", "", std::string(std::size_t{9} << 20, 'x'));
    CHECK(reply.error().Is(base::Errc::kInvalid));
    CHECK(pair.CallAndWait("echo", "", std::string(std::size_t{4} << 20, 'x'))
              .ok());
  }
}

}  // namespace
}  // namespace gypsumtrack::peer
