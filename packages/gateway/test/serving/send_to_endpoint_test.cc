#include "../../src/serving/send_to_endpoint.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gypsumtrack/gateway/tunnel_server.h"
#include "gypsumtrack/testing/memory_row_store.h"
#include "run_coroutine.h"
#include "serving_fixture.h"

namespace gypsumtrack::gateway {
namespace {

constexpr const char* kToken = "s3cret";

TunnelServerOptions ServerOptions() {
  TunnelServerOptions options;
  options.token = kToken;
  return options;
}

/// A daemon that is cut from its two endpoints, and a peer that opens no
/// tunnels to them.
class CutDaemonFixture {
 public:
  CutDaemonFixture()
      : store(this->rows.Client()),
        daemon(this->store, "vm-1", {}),
        peer(this->daemon.context.get_executor(), base::SystemClock(),
             ServerOptions(), this->Hooks()) {
    REQUIRE(this->peer.Start("127.0.0.1:0").ok());
    this->daemon.serving.path_hooks.find_path = [this] {
      EndpointPath path;
      path.kind = PathKind::kTunnel;
      path.hop = {"vm-2", this->peer.address(), kToken};
      return path;
    };
    this->daemon.serving.path_hooks.on_tunnel_failed =
        [](const TunnelHop&, const base::EndpointId&, TunnelStatus) {};
    std::vector<policy::EndpointEntry> entries;
    for (const char* id : {"e-1", "e-2"}) {
      policy::EndpointEntry entry;
      entry.id = base::EndpointId(id);
      entry.incarnation = 1;
      entry.address = "127.0.0.1:1";
      entry.service = base::Service("s1");
      entries.push_back(std::move(entry));
    }
    const auto now = base::SystemClock().now();
    this->daemon.serving.endpoints.ReplaceEntries(entries, now, now);
  }

  policy::EndpointChoice Choose() {
    policy::EndpointQuery query;
    query.service = base::Service("s1");
    return this->daemon.serving.endpoints.ChooseOnline(
        query, base::SystemClock().now());
  }

  EndpointResult SendTo(const policy::EndpointEntry& endpoint) {
    EndpointCall call;
    call.address = endpoint.address;
    call.method = "POST";
    call.target = "/loans/1";
    call.request_id = "r-1";
    call.deadline = base::SystemClock().now() + std::chrono::seconds(5);
    std::optional<EndpointResult> result;
    auto run = SendToEndpoint(this->daemon.serving, endpoint,
                              policy::WorkKind::kOnline, std::move(call));
    boost::asio::co_spawn(this->daemon.context,
                          StoreResult(std::move(run), result),
                          boost::asio::detached);
    this->daemon.RunUntil([&] { return result.has_value(); });
    return std::move(*result);
  }

  TunnelStatus refusal = TunnelStatus::kUnknownEndpoint;

 private:
  TunnelServerHooks Hooks() {
    TunnelServerHooks hooks;
    hooks.admit = [this](const TunnelTarget&) {
      return TunnelAdmission{this->refusal, {}};
    };
    return hooks;
  }

  testing::MemoryRowStore rows;
  base::RowStore store;

 public:
  ServingFixture daemon;

 private:
  TunnelServer peer;
};

TEST_CASE("a peer opens no tunnel to the endpoint that was chosen") {
  CutDaemonFixture fixture;
  // Guards against requests that are refused after six attempts at an endpoint
  // which told the peer alone that it leaves: without load, it is chosen first.
  SECTION("as it leaves: the next attempt goes to another one") {
    const auto first = fixture.Choose();
    const auto result = fixture.SendTo(first.endpoint);
    CHECK(result.run == policy::RunState::kNotRun);
    CHECK_FALSE(FailedAtPeer(result));
    const auto second = fixture.Choose();
    REQUIRE(second.status == policy::ChoiceStatus::kChosen);
    CHECK(second.endpoint.id != first.endpoint.id);
  }
  SECTION("as the peer is busy: it may be tried again through another one") {
    fixture.refusal = TunnelStatus::kPeerBusy;
    const auto first = fixture.Choose();
    const auto result = fixture.SendTo(first.endpoint);
    CHECK(result.run == policy::RunState::kNotRun);
    CHECK(FailedAtPeer(result));
    CHECK(fixture.Choose().endpoint.id == first.endpoint.id);
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
