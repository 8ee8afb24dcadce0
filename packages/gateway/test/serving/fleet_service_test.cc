#include "gypsumtrack/gateway/serving/fleet_service.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <set>

#include "gypsumtrack/gateway/serving/store_layout.h"
#include "gypsumtrack/testing/memory_row_store.h"
#include "run_coroutine.h"

namespace gypsumtrack::gateway {
namespace {

/// Daemons of one failure domain or two that share a store, in real time.
class FleetFixture {
 public:
  FleetFixture() : client(this->rows.Client()) {}

  FleetService& Start(const std::string& name, const std::string& domain,
                      std::uint64_t incarnation) {
    return this->Start(name, domain, incarnation, this->client);
  }

  FleetService& Start(const std::string& name, const std::string& domain,
                      std::uint64_t incarnation, const base::RowStore& store) {
    ServingSettings settings;
    settings.vm_name = name;
    settings.location = {base::FailureDomain(domain), base::Region("delta")};
    settings.gossip_listen = "127.0.0.1:7360";
    settings.tunnel_listen = "127.0.0.1:7361";
    settings.cpu_cores = 0.5;
    this->daemons.push_back(std::make_unique<FleetService>(
        this->context.get_executor(), base::SystemClock(), store, settings,
        base::VmId{name, incarnation}, this->on_peers));
    this->daemons.back()->Start();
    return *this->daemons.back();
  }

  /// Runs the daemons until the condition holds.
  void RunUntil(const std::function<bool()>& condition) {
    while (!condition()) {
      this->context.restart();
      this->context.run_for(std::chrono::milliseconds(20));
    }
  }

  void Remove(const base::RowKey& key) {
    base::RowTransaction removal;
    removal.removals.push_back(key);
    this->rows.Client().transact(
        removal, base::kNever,
        [](const base::Outcome<base::TransactionReply>&) {});
  }

  bool Exists(const char* table, const std::string& domain,
              const std::string& name) const {
    return this->rows.Find({table, domain, name}).has_value();
  }

  testing::MemoryRowStore rows;
  base::RowStore client;
  boost::asio::io_context context;
  /// Given to daemons that start from now on.
  FleetService::PeersHook on_peers = [](const std::vector<PeerDaemon>&) {};
  std::vector<std::unique_ptr<FleetService>> daemons;
};

// Guards against a daemon that takes itself to be alone, and admits all that a
// limit allows, for the second before it reads the others' heartbeats.
TEST_CASE("a daemon that starts hears of all others at once") {
  FleetFixture fleet;
  fleet.Start("vm-1", "cairo", 7);
  fleet.Start("vm-2", "alex", 8);
  fleet.RunUntil([&] {
    return fleet.Exists(layout::kLeaseTable, "cairo", "vm-1") &&
           fleet.Exists(layout::kLeaseTable, "alex", "vm-2");
  });
  std::vector<std::size_t> peer_counts;
  fleet.on_peers = [&](const std::vector<PeerDaemon>& peers) {
    peer_counts.push_back(peers.size());
  };
  const auto started_at = base::SystemClock().now();
  fleet.Start("vm-3", "cairo", 9);
  fleet.RunUntil([&] { return !peer_counts.empty(); });
  CHECK(peer_counts.front() == 2);
  CHECK(base::SystemClock().now() - started_at <
        std::chrono::milliseconds(500));
}

TEST_CASE("daemons find each other through the store") {
  FleetFixture fleet;
  auto& first = fleet.Start("vm-1", "cairo", 7);
  auto& second = fleet.Start("vm-2", "alex", 8);
  fleet.RunUntil([&] {
    return first.LeaseHolders().size() == 2 && first.peers().size() == 1 &&
           second.LeaseHolders().size() == 2;
  });
  SECTION("with what they registered, in the partition of their domain") {
    const auto& peer = first.peers().front();
    CHECK(peer.vm == base::VmId{"vm-2", 8});
    CHECK(peer.location.domain.text == "alex");
    CHECK(peer.gossip_address == "127.0.0.1:7360");
    CHECK(peer.cores == 0.5);
    CHECK(peer.tunnel_address == "127.0.0.1:7361");
    CHECK(peer.tunnel_token == second.self_daemon().tunnel_token);
    CHECK(peer.tunnel_token != first.self_daemon().tunnel_token);
    CHECK(peer.tunnel_token.size() == 32);
    CHECK(fleet.Exists(layout::kDaemonTable, "alex", "vm-2"));
    CHECK(fleet.Exists(layout::kLeaseTable, "alex", "vm-2"));
  }
  SECTION("a daemon that leaves is lost at once") {
    std::optional<bool> left;
    const auto leave = [&]() -> boost::asio::awaitable<bool> {
      co_await second.Deregister();
      co_return true;
    };
    boost::asio::co_spawn(fleet.context, StoreResult(leave(), left),
                          boost::asio::detached);
    fleet.RunUntil([&] {
      return left.has_value() && first.HasLostLease({"vm-2", 8});
    });
    CHECK_FALSE(fleet.Exists(layout::kDaemonTable, "alex", "vm-2"));
    CHECK_FALSE(fleet.Exists(layout::kLeaseTable, "alex", "vm-2"));
  }
  SECTION("one whose registration was removed while it lives is back") {
    fleet.Remove({layout::kDaemonTable, "alex", "vm-2"});
    fleet.RunUntil(
        [&] { return fleet.Exists(layout::kDaemonTable, "alex", "vm-2"); });
    fleet.RunUntil([&] { return first.peers().size() == 1; });
    CHECK(first.peers().front().vm == base::VmId{"vm-2", 8});
  }
}

// In a rolling upgrade such a daemon can't be asked for tunnels.
TEST_CASE("the registration of an earlier release names no tunnels") {
  const auto daemon = layout::ParseDaemon(
      "vm-1",
      R"({"incarnation":7,"domain":"cairo","region":"delta","gossip":"g"})");
  REQUIRE(daemon.ok());
  CHECK(daemon->tunnel_address.empty());
  CHECK(daemon->tunnel_token.empty());
}

/// A client of a store whose connections are dead: feeds hang, other calls
/// fail.
base::RowStore DeadClient() {
  const base::Error error(base::Errc::kUnavailable, "connection is dead");
  base::RowStore client;
  client.transact = [error](const base::RowTransaction&, base::Instant,
                            const auto& handler) { handler(error); };
  client.read = [error](const base::RowRange&, base::Instant,
                        const auto& handler) { handler(error); };
  client.feed = [](const base::FeedRequest&, base::Instant, const auto&) {};
  return client;
}

// Three of four daemons didn't count each other's requests for 4 s after one
// was back from 6 s without the store: soak seeds 2 and 502.
TEST_CASE("a daemon that reaches the store again learns what it missed") {
  FleetFixture fleet;
  auto& daemon = fleet.Start("vm-1", "cairo", 7);
  fleet.RunUntil([&] { return daemon.KnowsFleet() && daemon.HoldsLease(); });
  fleet.client = DeadClient();
  fleet.rows.DropFeeds();
  fleet.RunUntil([&] { return !daemon.HoldsLease(); });
  // Meanwhile another daemon starts, and removes what the first one registered.
  const auto other_client = fleet.rows.Client();
  fleet.Start("vm-2", "alex", 8, other_client);
  fleet.Remove({layout::kDaemonTable, "cairo", "vm-1"});
  fleet.RunUntil([&] {
    return fleet.Exists(layout::kDaemonTable, "alex", "vm-2") &&
           !fleet.Exists(layout::kDaemonTable, "cairo", "vm-1");
  });

  // The feed that it asked for last still hangs.
  fleet.client = fleet.rows.Client();
  std::set<std::uint64_t> heartbeats;
  const auto is_registered = [&] {
    return fleet.Exists(layout::kDaemonTable, "cairo", "vm-1");
  };
  fleet.RunUntil([&] {
    const auto row = fleet.rows.Find({layout::kLeaseTable, "cairo", "vm-1"});
    if (row) heartbeats.insert(row->version);
    const bool is_back = is_registered() && !daemon.peers().empty();
    return is_back || heartbeats.size() > 4;
  });
  CHECK(is_registered());
  REQUIRE(daemon.peers().size() == 1);
  CHECK(daemon.peers().front().vm == base::VmId{"vm-2", 8});
}

}  // namespace
}  // namespace gypsumtrack::gateway
