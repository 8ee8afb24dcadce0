#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "endpoint_client_fixture.h"
#include "gypsumtrack/gateway/endpoint_client.h"
#include "gypsumtrack/gateway/serving/row_store_await.h"
#include "gypsumtrack/testing/raw_endpoint.h"
#include "silent_listeners.h"

/// Calls of a client through a peer.
namespace gypsumtrack::gateway {
namespace {

using testing::RawEnd;

/// A call through a peer; the one RawEndpoint answers as the peer, and then as
/// the endpoint at the other end of the tunnel.
class TunnelCallFixture : public ClientFixture {
 public:
  explicit TunnelCallFixture(const EndpointClientOptions& options = Options())
      : ClientFixture(options) {
    this->endpoint.SetResponder([this](const testing::RawRequest& request) {
      const bool is_handshake = request.target.starts_with("/tunnels/");
      return testing::RawResponse{is_handshake ? this->reply : Success("c-1"),
                                  this->end};
    });
  }

  TunnelHop Hop(const std::string& peer) const {
    return {peer, this->endpoint.address(), "s3cret"};
  }

  /// `address` isn't that of the peer, so that a direct call would fail.
  EndpointCall MakeTunnelCall() const {
    auto call = this->MakeCall();
    call.address = this->closed_address;
    call.tunnel = this->Hop("vm-2");
    call.tunnel_target = {base::EndpointId("e/1"), 7};
    return call;
  }

  /// Targets of the requests that the peer received.
  std::vector<std::string> targets() const {  // NOLINT
    std::vector<std::string> result;
    for (const auto& request : this->endpoint.requests())
      result.push_back(request.target);
    return result;
  }

  std::string reply = FormatTunnelReply(TunnelStatus::kOpen);
  RawEnd end = RawEnd::kKeepOpen;
  const std::string closed_address = ClosedAddress();
};

const std::string kHandshakeTarget = "/tunnels/e%2F1/7";

TEST_CASE("a call goes to an endpoint through a peer") {
  TunnelCallFixture fixture;
  const auto call = fixture.MakeTunnelCall();
  auto counted_call = call;
  int direct_attempts = 0;
  counted_call.on_connect = [&](bool, base::Instant) { ++direct_attempts; };
  auto result = fixture.Send(counted_call);
  CHECK(result.outcome == CallOutcome::kComplete);
  CHECK(result.run == policy::RunState::kRan);
  CHECK(result.body == "text");
  CHECK(result.tunnel_status == TunnelStatus::kOpen);
  CHECK(direct_attempts == 0);
  CHECK(fixture.targets() == std::vector{kHandshakeTarget, call.target});
  SECTION("its connection serves another call through the same peer") {
    CHECK(fixture.client.idle_count(call.address, *call.tunnel) == 1);
    result = fixture.Send(call);
    CHECK(result.outcome == CallOutcome::kComplete);
    CHECK(result.reused_connection);
    CHECK_FALSE(result.tunnel_status);
    CHECK(fixture.targets().size() == 3);
  }
  SECTION("a new token doesn't matter to it") {
    auto other = call;
    other.tunnel->token = "n3w";
    CHECK(fixture.Send(other).reused_connection);
  }
  SECTION("it serves no direct call") {
    CHECK(fixture.client.idle_count(call.address) == 0);
    auto direct = call;
    direct.tunnel.reset();
    CHECK(fixture.Send(direct).outcome == CallOutcome::kConnect);
  }
  SECTION("it serves no call through another peer") {
    auto other = call;
    other.tunnel = fixture.Hop("vm-3");
    CHECK_FALSE(fixture.Send(other).reused_connection);
    CHECK(fixture.client.idle_count(call.address, *other.tunnel) == 1);
    SECTION("and is closed by the name of its peer") {
      fixture.client.DropIdleTunnels("vm-2");
      CHECK(fixture.client.idle_count(call.address, *call.tunnel) == 0);
      CHECK(fixture.client.idle_count(call.address, *other.tunnel) == 1);
    }
    SECTION("and is closed with all others to the endpoint") {
      fixture.client.DropIdle(call.address);
      CHECK(fixture.client.idle_count(call.address, *call.tunnel) == 0);
      CHECK(fixture.client.idle_count(call.address, *other.tunnel) == 0);
    }
  }
  SECTION("it serves no call through the peer's next process") {
    auto other = call;
    other.tunnel->address = ClosedAddress();
    result = fixture.Send(other);
    CHECK(result.outcome == CallOutcome::kConnect);
    CHECK(result.tunnel_status == TunnelStatus::kPeerUnreachable);
  }
  SECTION("it serves no call to another endpoint") {
    auto other = call;
    other.address = ClosedAddress();
    CHECK_FALSE(fixture.Send(other).reused_connection);
  }
  SECTION("a direct connection serves no call through a peer") {
    auto direct = call;
    direct.address = fixture.endpoint.address();
    direct.tunnel.reset();
    CHECK(fixture.Send(direct).outcome == CallOutcome::kComplete);
    auto tunnelled = call;
    tunnelled.address = fixture.endpoint.address();
    result = fixture.Send(tunnelled);
    CHECK(result.tunnel_status == TunnelStatus::kOpen);
    CHECK_FALSE(result.reused_connection);
  }
}

// Guards against tunnels that nobody uses but that count at their peers, after
// a cut has ended.
TEST_CASE("an endpoint is reached directly after it was through a peer") {
  auto options = Options();
  options.max_idle = std::chrono::milliseconds(100);
  TunnelCallFixture fixture(options);
  auto call = fixture.MakeTunnelCall();
  call.address = fixture.endpoint.address();
  CHECK(fixture.Send(call).tunnel_status == TunnelStatus::kOpen);
  auto direct = call;
  direct.tunnel.reset();
  CHECK(fixture.Send(direct).outcome == CallOutcome::kComplete);
  SECTION("the tunnel is kept for a while") {
    CHECK(fixture.client.idle_count(call.address, *call.tunnel) == 1);
  }
  SECTION("the tunnel is closed when it has been idle for too long") {
    fixture.context.run_for(std::chrono::milliseconds(150));
    CHECK(fixture.Send(direct).outcome == CallOutcome::kComplete);
    CHECK(fixture.client.idle_count(call.address, *call.tunnel) == 0);
    CHECK(fixture.client.idle_count(call.address) == 1);
  }
}

TEST_CASE("a peer opens no tunnel") {
  using std::chrono::milliseconds;
  auto options = Options();
  options.connect_timeout = milliseconds(200);
  options.tunnel_timeout = milliseconds(300);
  TunnelCallFixture fixture(options);
  auto call = fixture.MakeTunnelCall();
  const auto before = base::SystemClock().now();
  const auto check_not_run = [&](TunnelStatus status) {
    const auto result = fixture.Send(call);
    CHECK(result.outcome == CallOutcome::kConnect);
    CHECK(result.run == policy::RunState::kNotRun);
    CHECK(result.tunnel_status == status);
    CHECK(fixture.client.idle_count(call.address, *call.tunnel) == 0);
  };
  const auto elapsed = [&] { return base::SystemClock().now() - before; };
  SECTION("it refuses, and receives no part of the request") {
    for (const auto& entry : kTunnelStatusNames.entries) {
      if (entry.value == TunnelStatus::kOpen) continue;
      fixture.reply = FormatTunnelReply(entry.value);
      check_not_run(entry.value);
    }
    for (const auto& target : fixture.targets())
      CHECK(target == kHandshakeTarget);
  }
  SECTION("its reply is no valid one") {
    fixture.end = GENERATE(RawEnd::kClose, RawEnd::kReset);
    fixture.reply = GENERATE(
        std::string(), std::string("HTTP/1.1 101"), std::string("text\r\n\r\n"),
        std::string("HTTP/1.1 101 Switching Protocols\r\n\r\n"),
        std::string("HTTP/1.1 100 Continue\r\n\r\n"),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
        std::string("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"),
        "HTTP/1.1 101 Switching Protocols\r\nX-A: " + std::string(9000, 'x'));
    check_not_run(TunnelStatus::kPeerUnreachable);
    CHECK(fixture.targets() == std::vector{kHandshakeTarget});
  }
  SECTION("its port refuses the connection") {
    call.tunnel->address = ClosedAddress();
    check_not_run(TunnelStatus::kPeerUnreachable);
  }
  SECTION("it doesn't answer the connection") {
    const HangingListener listener;
    call.tunnel->address = listener.address();
    check_not_run(TunnelStatus::kPeerUnreachable);
    CHECK(elapsed() >= milliseconds(200));
  }
  SECTION("it doesn't reply in time") {
    fixture.reply = "HTTP/1.1 101 ";
    check_not_run(TunnelStatus::kPeerUnreachable);
    CHECK(elapsed() >= milliseconds(300));
  }
  SECTION("it doesn't reply by the deadline") {
    fixture.reply = "";
    call.deadline = before + milliseconds(100);
    check_not_run(TunnelStatus::kPeerUnreachable);
    CHECK(elapsed() < milliseconds(300));
  }
  SECTION("the call is cancelled before it replies") {
    fixture.reply = "";
    call.cancel = std::make_shared<CallCancellation>();
    boost::asio::steady_timer timer(fixture.context, milliseconds(50));
    timer.async_wait([&](boost::system::error_code) { call.cancel->Cancel(); });
    const auto result = fixture.Send(call);
    CHECK(result.outcome == CallOutcome::kCancelled);
    CHECK(result.run == policy::RunState::kNotRun);
    CHECK_FALSE(result.tunnel_status);
    CHECK(elapsed() < milliseconds(300));
  }
  SECTION("the hop or the endpoint can't be sent") {
    SECTION("its address") { call.tunnel->address = "nowhere"; }
    SECTION("its token") { call.tunnel->token = "a\r\nX-B: b"; }
    SECTION("no endpoint") { call.tunnel_target.endpoint.text = ""; }
    check_not_run(TunnelStatus::kPeerUnreachable);
    CHECK(fixture.targets().empty());
  }
}

TEST_CASE("bytes come with the reply that a tunnel is open") {
  TunnelCallFixture fixture;
  fixture.reply += Success("c-0");
  const auto result = fixture.Send(fixture.MakeTunnelCall());
  CHECK(result.tunnel_status == TunnelStatus::kOpen);
  CHECK(result.outcome == CallOutcome::kComplete);
  CHECK(result.head.headers.at(0).value == "c-1");
  CHECK(result.body == "text");
}

}  // namespace
}  // namespace gypsumtrack::gateway
