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
using Answer = std::optional<base::Outcome<Json::Value>>;

constexpr auto kSecret = "a secret of the fleet";

/// Carries bytes between a caller and a callee until it is told to lose them,
/// as a device between them does that has lost track of the connection.
class ForgetfulRelay {
 public:
  ForgetfulRelay(asio::io_context& context, const std::string& target)
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

  void Forget() {
    for (auto& path : this->paths) path->forgotten = true;
  }

 private:
  struct Path {
    explicit Path(asio::io_context& context) : near(context), far(context) {}
    tcp::socket near;
    tcp::socket far;
    bool forgotten = false;
  };
  using Buffer = std::shared_ptr<std::vector<char>>;

  void Accept() {
    auto path = std::make_shared<Path>(this->context);
    this->acceptor.async_accept(path->near, [this, path](auto error) {
      if (error) return;
      path->far.connect(this->target);
      this->paths.push_back(path);
      this->Carry(path, path->near, path->far);
      this->Carry(path, path->far, path->near);
      this->Accept();
    });
  }

  void Carry(const std::shared_ptr<Path>& path, tcp::socket& from,
             tcp::socket& to) {
    const auto buffer = std::make_shared<std::vector<char>>(4096);
    from.async_read_some(
        asio::buffer(*buffer),
        [this, path, buffer, &from, &to](auto error, std::size_t size) {
          if (error) {
            boost::system::error_code ignored;
            if (!path->forgotten) to.close(ignored);
            return;
          }
          boost::system::error_code ignored;
          if (!path->forgotten) {
            asio::write(to, asio::buffer(buffer->data(), size), ignored);
          }
          this->Carry(path, from, to);
        });
  }

  asio::io_context& context;
  tcp::endpoint target;
  tcp::acceptor acceptor;
  std::vector<std::shared_ptr<Path>> paths;
};

/// Two daemons on one thread.
struct Pair {
  asio::io_context context;
  base::Clock clock = base::SystemClock();
  std::unique_ptr<PeerTransport> caller;
  std::unique_ptr<PeerTransport> callee;
  std::vector<std::string> noticed;
  std::vector<ReplyHandler> held;
  int calls_run = 0;

  explicit Pair(const TransportOptions& caller_changes = {},
                const std::string& callee_secret = kSecret) {
    this->caller = this->Make({"vm-1", 11}, caller_changes, kSecret);
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
          ++this->calls_run;
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
      this->held.push_back(std::move(reply));
    });
    link.on_notice("news",
                   [this](const base::VmId&, const Json::Value& params) {
                     this->noticed.push_back(params["text"].asString());
                   });
  }

  void Call(Answer& answer, const std::string& method,
            const std::string& address, const std::string& text = "x",
            base::Duration patience = std::chrono::seconds(60)) {
    Json::Value params;
    params["text"] = text;
    this->caller->Link().call(address, method, params,
                              this->clock.now() + patience,
                              [&answer](auto reply) { answer = reply; });
  }

  base::Outcome<Json::Value> Ask(const std::string& method,
                                 const std::string& address = "",
                                 const std::string& text = "x") {
    Answer answer;
    this->Call(answer, method, address.empty() ? callee->Address() : address,
               text);
    this->RunUntil([&] { return answer.has_value(); });
    return *answer;
  }

  template <typename Condition>
  void RunUntil(const Condition& condition) {
    while (!condition()) this->context.run_one();
  }
};

/// A sender that speaks the frames by hand.
struct RawCaller {
  Pair& pair;
  tcp::socket socket;
  Hello hello{kProtocolVersion, {"vm-9", 9}, "raw", ""};
  Hello callee;

  explicit RawCaller(Pair& owner) : pair(owner), socket(owner.context) {
    this->socket.connect(*ParseAddress(owner.callee->Address()));
  }

  void Write(const std::string& bytes) {
    asio::write(this->socket, asio::buffer(bytes));
  }

  void WriteHello() {
    const auto text = EncodeHello(this->hello);
    this->Write(EncodeLength(text.size()) + text);
  }

  FrameCipher Greet(const std::string& secret) {
    this->WriteHello();
    std::string length(kLengthBytes, '\0');
    this->Receive(length);
    std::string answer(DecodeLength(length), '\0');
    this->Receive(answer);
    this->callee = *DecodeHello(answer);
    return FrameCipher(
        DirectionKey(secret, Direction::kToCallee, this->hello, this->callee));
  }

  void Receive(std::string& into) {
    bool done = false;
    asio::async_read(this->socket, asio::buffer(into),
                     [&](auto, std::size_t) { done = true; });
    this->pair.RunUntil([&] { return done; });
  }
};

TEST_CASE("a daemon asks another") {
  Pair pair;
  SECTION("and gets its answer, told who asked") {
    const auto reply = pair.Ask("echo");
    REQUIRE(reply.ok());
    CHECK((*reply)["text"] == "x");
    CHECK((*reply)["from"] == "vm-1");
    CHECK((*reply)["incarnation"].asUInt64() == 11);
  }
  SECTION("and gets the error of the other's choice") {
    const auto reply = pair.Ask("fail");
    CHECK(reply.error().Is(base::Errc::kFenced));
    CHECK(reply.error().message == "a newer holder");
  }
  SECTION("for a method that there isn't") {
    CHECK(pair.Ask("nonsense").error().Is(base::Errc::kInvalid));
    CHECK(pair.callee->Counts().malformed == 1);
  }
  SECTION("and later answers may cross") {
    Answer slow;
    pair.Call(slow, "hold", pair.callee->Address());
    pair.RunUntil([&] { return pair.held.size() == 1; });
    CHECK(pair.Ask("echo").ok());
    CHECK_FALSE(slow.has_value());
    pair.held.front()(Json::Value(Json::objectValue));
    pair.RunUntil([&] { return slow.has_value(); });
    CHECK(slow->ok());
  }
  SECTION("that isn't there: nothing was sent") {
    const auto reply = pair.Ask("echo", "127.0.0.1:1");
    CHECK(reply.error().Is(base::Errc::kUnavailable));
  }
  SECTION("that is gone before it answers: unknown") {
    Answer answer;
    pair.Call(answer, "hold", pair.callee->Address());
    pair.RunUntil([&] { return pair.held.size() == 1; });
    pair.callee->Stop();
    pair.RunUntil([&] { return answer.has_value(); });
    CHECK(answer->error().Is(base::Errc::kUnknown));
  }
  SECTION("that never answers: unknown at the deadline") {
    Answer answer;
    pair.Call(answer, "hold", pair.callee->Address(), "x",
              std::chrono::milliseconds(200));
    pair.RunUntil([&] { return answer.has_value(); });
    const bool known = answer->error().Is(base::Errc::kUnknown) ||
                       answer->error().Is(base::Errc::kUnavailable);
    CHECK(known);
  }
}

TEST_CASE("small notices travel together and in order") {
  Pair pair;
  REQUIRE(pair.Ask("echo").ok());
  const auto before = pair.caller->Counts().frames_sent;
  for (int i = 0; i < 100; ++i) {
    Json::Value params;
    params["text"] = std::to_string(i);
    pair.caller->Link().notify(pair.callee->Address(), "news", params);
  }
  REQUIRE(pair.Ask("echo").ok());
  REQUIRE(pair.noticed.size() == 100);
  for (int i = 0; i < 100; ++i) CHECK(pair.noticed[i] == std::to_string(i));
  CHECK(pair.caller->Counts().frames_sent - before <= 10);
}

TEST_CASE("a connection that has gone silent is replaced") {
  TransportOptions options;
  options.ping_after = std::chrono::milliseconds(100);
  options.replace_after = std::chrono::milliseconds(1100);
  SECTION("so that calls after it are answered") {
    Pair pair(options);
    ForgetfulRelay relay(pair.context, pair.callee->Address());
    REQUIRE(pair.Ask("echo", relay.Address()).ok());
    relay.Forget();
    CHECK(pair.Ask("echo", relay.Address()).error().Is(base::Errc::kUnknown));
    CHECK(pair.caller->Counts().replaced == 1);
    CHECK(pair.Ask("echo", relay.Address()).ok());
  }
  SECTION("and a lone notice is enough to find out") {
    Pair pair(options);
    ForgetfulRelay relay(pair.context, pair.callee->Address());
    REQUIRE(pair.Ask("echo", relay.Address()).ok());
    relay.Forget();
    pair.caller->Link().notify(relay.Address(), "news", Json::Value());
    pair.RunUntil([&] { return pair.caller->Counts().replaced == 1; });
    CHECK(pair.Ask("echo", relay.Address()).ok());
  }
  SECTION("while a slow answer on a sound one is waited for") {
    Pair pair(options);
    Answer answer;
    pair.Call(answer, "hold", pair.callee->Address());
    pair.RunUntil([&] { return pair.callee->Counts().frames_received >= 4; });
    CHECK_FALSE(answer.has_value());
    pair.held.front()(Json::Value(Json::objectValue));
    pair.RunUntil([&] { return answer.has_value(); });
    CHECK(answer->ok());
    CHECK(pair.caller->Counts().replaced == 0);
  }
  SECTION("without which all that follows is lost") {
    options.ping_after = std::chrono::hours(1);
    options.replace_after = std::chrono::hours(2);
    Pair pair(options);
    ForgetfulRelay relay(pair.context, pair.callee->Address());
    REQUIRE(pair.Ask("echo", relay.Address()).ok());
    relay.Forget();
    for (int i = 0; i < 2; ++i) {
      Answer answer;
      pair.Call(answer, "echo", relay.Address(), "x",
                std::chrono::milliseconds(200));
      pair.RunUntil([&] { return answer.has_value(); });
      CHECK_FALSE(answer->ok());
    }
  }
}

TEST_CASE("a daemon without the fleet's secret gets nowhere") {
  SECTION("a callee that can't prove it is not called") {
    Pair pair({}, "another secret");
    CHECK(pair.Ask("echo").error().Is(base::Errc::kUnavailable));
    CHECK(pair.caller->Counts().unauthenticated == 1);
    CHECK(pair.calls_run == 0);
  }
  SECTION("a caller's call is dropped and counted") {
    Pair pair;
    RawCaller raw(pair);
    auto sealer = raw.Greet("another secret");
    raw.Write(sealer.Seal(
        {FrameType::kCall, 1, R"({"jsonrpc":"2.0","id":1,"method":"echo"})"}));
    pair.RunUntil([&] { return pair.callee->Counts().unauthenticated == 1; });
    CHECK(pair.calls_run == 0);
  }
  SECTION("frames recorded from another connection are refused") {
    Pair pair;
    const Frame call{FrameType::kCall, 1,
                     R"({"jsonrpc":"2.0","id":1,"method":"echo"})"};
    RawCaller first(pair);
    auto sealer = first.Greet(kSecret);
    const auto recorded = sealer.Seal(call);
    first.Write(recorded);
    pair.RunUntil([&] { return pair.calls_run == 1; });
    RawCaller second(pair);
    (void)second.Greet(kSecret);
    second.Write(recorded);
    pair.RunUntil([&] { return pair.callee->Counts().unauthenticated == 1; });
    CHECK(pair.calls_run == 1);
  }
}

TEST_CASE("what can't be read is counted and dropped") {
  Pair pair;
  RawCaller raw(pair);
  SECTION("a hello") {
    raw.Write(EncodeLength(4) + "nope");
    pair.RunUntil([&] { return pair.callee->Counts().malformed == 1; });
  }
  SECTION("a hello of another version") {
    raw.hello.version = kProtocolVersion + 1;
    raw.WriteHello();
    pair.RunUntil([&] { return pair.callee->Counts().wrong_version == 1; });
  }
  SECTION("a length beyond the limit") {
    raw.Write(EncodeLength(kMaxHelloBytes + 1));
    pair.RunUntil([&] { return pair.callee->Counts().oversized == 1; });
  }
  SECTION("a call, and the connection goes on") {
    auto sealer = raw.Greet(kSecret);
    for (const auto* text : {"{", "[]", "7", "{}", R"({"method":"echo"})"}) {
      raw.Write(sealer.Seal({FrameType::kCall, 1, text}));
    }
    const std::string deep(5000, '[');
    raw.Write(sealer.Seal({FrameType::kCall, 1, deep}));
    raw.Write(sealer.Seal({FrameType::kNotices, 1, deep}));
    raw.Write(sealer.Seal({FrameType::kNotices, 1, "nonsense"}));
    raw.Write(sealer.Seal(
        {FrameType::kNotices, 1, R"([{"jsonrpc":"2.0","method":"none"}])"}));
    raw.Write(sealer.Seal(
        {FrameType::kNotices, 1, R"([{"jsonrpc":"2.0","method":"news"}])"}));
    pair.RunUntil([&] { return pair.noticed.size() == 1; });
    CHECK(pair.callee->Counts().malformed == 9);
    CHECK(pair.calls_run == 0);
  }
  SECTION("a call that is too large isn't sent") {
    const auto reply =
        pair.Ask("echo", "", std::string(std::size_t{9} << 20, 'x'));
    CHECK(reply.error().Is(base::Errc::kInvalid));
    CHECK(pair.Ask("echo", "", std::string(std::size_t{4} << 20, 'x')).ok());
  }
}

}  // namespace
}  // namespace gypsumtrack::peer
