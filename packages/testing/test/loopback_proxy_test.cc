#include "../soak/loopback_proxy.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>

#include "../soak/soak_http.h"

namespace gypsumtrack::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

/// Far longer than any step takes.
constexpr auto kPatience = std::chrono::seconds(20);
/// Long enough for anything that happens at once on the loopback interface.
constexpr auto kSilence = milliseconds(300);

/// A server behind a proxy, and what its callers see.
struct ProxiedServer {
  asio::io_context context;
  tcp::acceptor acceptor{context,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  LoopbackProxy proxy{
      context.get_executor(),
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())};

  ProxiedServer() { this->proxy.Start(); }

  /// Handles events until `done` or until `limit` has passed.
  bool RunUntil(const std::function<bool()>& done,
                base::Duration limit = kPatience) {
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!done() && std::chrono::steady_clock::now() < until) {
      this->context.restart();
      this->context.run_one_for(milliseconds(10));
    }
    return done();
  }
};

/// A connection of a caller through the proxy.
struct Caller {
  explicit Caller(ProxiedServer& proxied)
      : server(proxied), socket(proxied.context) {
    this->socket.async_connect(ParseEndpoint(proxied.proxy.address()),
                               [this](error_code error) {
                                 this->connect_result = error;
                                 if (!error) this->Read();
                               });
  }

  void Read() {
    this->socket.async_read_some(
        asio::buffer(this->buffer), [this](error_code error, std::size_t size) {
          this->received.append(this->buffer.data(), size);
          if (error) this->read_error = error;
          if (!error) this->Read();
        });
  }
  bool IsConnected() {
    this->server.RunUntil([this] { return this->connect_result.has_value(); });
    return this->connect_result == error_code();
  }
  bool IsRefused() {
    this->server.RunUntil([this] { return this->connect_result.has_value(); });
    return this->connect_result == asio::error::connection_refused;
  }
  bool IsReset() {
    this->server.RunUntil([this] { return this->read_error.has_value(); });
    return this->read_error == asio::error::connection_reset;
  }
  bool Hangs() {
    this->server.RunUntil([] { return false; }, kSilence);
    return !this->connect_result && !this->read_error;
  }

  ProxiedServer& server;
  tcp::socket socket;
  std::array<char, 64> buffer{};
  std::string received;
  std::optional<error_code> connect_result;
  std::optional<error_code> read_error;
};

/// A caller and the server's end of its connection.
struct OpenConnection {
  explicit OpenConnection(ProxiedServer& proxied)
      : caller(proxied), accepted(proxied.context) {
    bool is_accepted = false;
    proxied.acceptor.async_accept(
        this->accepted, [&](error_code error) { is_accepted = !error; });
    REQUIRE(this->caller.IsConnected());
    REQUIRE(proxied.RunUntil([&] { return is_accepted; }));
  }

  /// Whether the caller receives what the server sends.
  bool Carries(const std::string& text, base::Duration limit = kPatience) {
    asio::write(this->accepted, asio::buffer(text));
    return this->caller.server.RunUntil(
        [&] { return this->caller.received == text; }, limit);
  }

  Caller caller;
  tcp::socket accepted;
};

TEST_CASE("a proxy cuts its callers from the server") {
  ProxiedServer proxied;
  OpenConnection open(proxied);

  SECTION("silently: connections hang, new ones too") {
    proxied.proxy.SetCut(ProxyCut::kSilent);
    Caller next(proxied);
    CHECK(next.Hangs());
    CHECK_FALSE(open.Carries("late", kSilence));
    CHECK(open.caller.received.empty());
    CHECK_FALSE(open.caller.read_error.has_value());

    SECTION("and a fault that ends doesn't reset them") {
      proxied.proxy.ResetConnections();
      CHECK_FALSE(open.Carries("later", kSilence));
      CHECK(open.caller.received.empty());
      CHECK_FALSE(open.caller.read_error.has_value());
    }
    SECTION("and those that still wait are connected when it ends") {
      proxied.proxy.SetCut(ProxyCut::kNone);
      CHECK(next.IsConnected());
      CHECK_FALSE(open.Carries("lost", kSilence));
      CHECK(open.caller.received.empty());
    }
  }
  SECTION("with resets: open connections are reset, new ones refused") {
    proxied.proxy.SetCut(ProxyCut::kReset);
    CHECK(open.caller.IsReset());
    CHECK(Caller(proxied).IsRefused());
  }
  SECTION("for new connections only: open ones live on") {
    proxied.proxy.SetCut(ProxyCut::kRefuseNew);
    CHECK(Caller(proxied).IsRefused());
    CHECK(open.Carries("word"));
  }
  for (const auto cut :
       {ProxyCut::kSilent, ProxyCut::kReset, ProxyCut::kRefuseNew}) {
    DYNAMIC_SECTION(
        "and serves them after the cut: " << kProxyCutNames.Name(cut)) {
      const auto address = proxied.proxy.address();
      proxied.proxy.SetCut(cut);
      proxied.proxy.SetCut(ProxyCut::kNone);
      CHECK(proxied.proxy.address() == address);
      CHECK(OpenConnection(proxied).Carries("word"));
    }
  }
}

}  // namespace
}  // namespace gypsumtrack::testing
