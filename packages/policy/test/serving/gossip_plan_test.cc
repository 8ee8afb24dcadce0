#include "gypsumtrack/policy/serving/gossip_plan.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace gypsumtrack::policy {
namespace {

using std::chrono::milliseconds;

std::string VmName(int domain, int number) {
  return "vm-" + std::to_string(domain) + "-" + std::to_string(number);
}

base::Location LocationIn(int domain) {
  return {base::FailureDomain("domain-" + std::to_string(domain)),
          base::Region(domain % 2 == 0 ? "delta" : "upper")};
}

GossipTick TickOf(std::uint32_t number) {
  return {number, number, base::Instant(number * milliseconds(200))};
}

/// Returns the peers of the first daemon in a fleet of six failure domains with
/// ten daemons each.
std::vector<GossipPeer> MakePeers() {
  std::vector<GossipPeer> peers;
  for (int domain = 0; domain < 6; ++domain) {
    for (int number = 0; number < 10; ++number) {
      if (domain == 0 && number == 0) continue;
      peers.push_back({{VmName(domain, number), 1}, LocationIn(domain), 1});
    }
  }
  return peers;
}

TEST_CASE("a message is sent once to each other failure domain") {
  GossipPlan plan({{VmName(0, 0), 1}, LocationIn(0), 1}, {});
  plan.SetPeers(MakePeers());
  SECTION("all peers in the own domain are recipients") {
    CHECK_FALSE(plan.UsesCollectors());
    CHECK(plan.DomainPeers().size() == 9);
  }
  SECTION("one peer in each other domain is a recipient every second tick") {
    CHECK(plan.RemotePeers(TickOf(2)).size() == 5);
    CHECK(plan.IsForOtherDomains(TickOf(2)));
    CHECK_FALSE(plan.IsForOtherDomains(TickOf(3)));
  }
  SECTION("the peers of other domains take turns") {
    std::set<std::string> recipients;
    for (std::uint32_t number = 0; number < 20; ++number) {
      for (auto& name : plan.RemotePeers(TickOf(number))) {
        recipients.insert(std::move(name));
      }
    }
    CHECK(recipients.size() == 50);
  }
  SECTION("only messages from other domains are forwarded") {
    CHECK(plan.ShouldForward({VmName(3, 4), 1}, false));
    CHECK_FALSE(plan.ShouldForward({VmName(0, 4), 1}, false));
    CHECK_FALSE(plan.ShouldForward({"unknown", 1}, false));
  }
  SECTION("but those of the own domain as well if the sender asks for it") {
    CHECK(plan.ShouldForward({VmName(0, 4), 1}, true));
  }
  SECTION("a daemon without peers has no recipients") {
    plan.SetPeers({});
    CHECK(plan.DomainPeers().empty());
    CHECK(plan.RemotePeers(TickOf(0)).empty());
  }
}

TEST_CASE("daemons of a domain choose different peers in other domains") {
  std::set<std::string> recipients;
  for (int number = 0; number < 10; ++number) {
    GossipPlan plan({{VmName(0, number), 1}, LocationIn(0), 1}, {});
    plan.SetPeers(MakePeers());
    for (auto& name : plan.RemotePeers(TickOf(0))) {
      recipients.insert(std::move(name));
    }
  }
  CHECK(recipients.size() > 15);
}

/// A fleet of six failure domains whose daemons gossip in steps of a tick. A
/// sixth of the daemons are large. A message is the number of its tick.
class GossipFleet {
 public:
  explicit GossipFleet(int domain_size) {
    std::vector<GossipPeer> all;
    for (int domain = 0; domain < 6; ++domain) {
      for (int number = 0; number < domain_size; ++number) {
        const double cores = number % 6 == 0 ? 0.5 : 0.12;
        all.push_back({{VmName(domain, number), 1}, LocationIn(domain), cores});
      }
    }
    for (const auto& self : all) {
      auto peers = all;
      std::erase_if(peers,
                    [&](const auto& each) { return each.vm == self.vm; });
      auto& daemon = this->daemons[self.vm.name];
      daemon.plan = std::make_unique<GossipPlan>(self, GossipPlanOptions{});
      daemon.plan->SetPeers(peers);
      daemon.cores = self.cores;
    }
  }

  void Run(std::uint32_t ticks) {
    for (std::uint32_t i = 0; i < ticks; ++i) {
      ++this->now;
      for (auto& [name, daemon] : this->daemons) this->Send(name, daemon);
    }
  }

  void Kill(const std::string& name) { this->killed.insert(name); }

  /// Returns the age, in ticks, of the oldest message that any living daemon
  /// holds of any other.
  std::uint32_t MaxAge() const {
    std::uint32_t oldest = this->now;
    for (const auto& [name, daemon] : this->daemons) {
      if (this->killed.contains(name)) continue;
      for (const auto& [sender, each] : this->daemons) {
        if (sender == name || this->killed.contains(sender)) continue;
        const auto found = daemon.known.find(sender);
        const auto tick = found == daemon.known.end() ? 0 : found->second;
        oldest = std::min(oldest, tick);
      }
    }
    return this->now - oldest;
  }

  struct Message {
    std::string sender;
    std::uint32_t tick = 0;
    bool to_relay = false;
    bool to_other_domains = false;
    bool forwarded = false;
  };
  struct Daemon {
    std::unique_ptr<GossipPlan> plan;
    double cores = 1;
    std::map<std::string, std::uint32_t> known;
    std::vector<Message> to_forward;
    std::vector<Message> to_other_domains;
    std::size_t sent = 0;
  };
  std::map<std::string, Daemon> daemons;
  std::uint32_t now = 0;

 private:
  void Send(const std::string& name, Daemon& daemon) {
    if (this->killed.contains(name)) return;
    const auto tick = TickOf(this->now);
    if (daemon.plan->IsDue(tick)) {
      Message own{name, this->now, true, daemon.plan->IsForOtherDomains(tick),
                  false};
      daemon.plan->OnSentToOtherDomains(tick);
      const auto collector = daemon.plan->Collector(tick);
      if (collector == name) {
        Collect(daemon, own);
      } else {
        this->Deliver(daemon, collector, {own});
      }
    }
    const auto forwarded = std::exchange(daemon.to_forward, {});
    const auto remote = std::exchange(daemon.to_other_domains, {});
    if (!remote.empty()) {
      for (const auto& peer : daemon.plan->RemotePeers(tick)) {
        this->Deliver(daemon, peer, remote);
      }
    }
    if (forwarded.empty()) return;
    for (const auto& peer : daemon.plan->DomainPeers()) {
      this->Deliver(daemon, peer, forwarded);
    }
  }

  static void Collect(Daemon& daemon, Message message) {
    message.to_relay = false;
    if (std::exchange(message.to_other_domains, false)) {
      daemon.to_other_domains.push_back(message);
    }
    message.forwarded = true;
    daemon.to_forward.push_back(message);
  }

  void Deliver(Daemon& from, const std::string& to,
               const std::vector<Message>& messages) {
    ++from.sent;
    if (this->killed.contains(to)) return;
    auto& recipient = this->daemons.at(to);
    for (const auto& message : messages) {
      auto& known = recipient.known[message.sender];
      if (message.sender == to || message.tick <= known) continue;
      known = message.tick;
      recipient.plan->OnMessageFrom(message.sender, TickOf(this->now).now);
      const bool forwards =
          !message.forwarded &&
          recipient.plan->ShouldForward({message.sender, 1}, message.to_relay);
      if (forwards) Collect(recipient, message);
    }
  }

  std::set<std::string> killed;
};

TEST_CASE("in large domains gossip doesn't grow with the square") {
  const int domain_size = GENERATE(50, 100);
  GossipFleet fleet(domain_size);
  fleet.Run(20);
  SECTION("every daemon hears of every other within a second") {
    CHECK(fleet.MaxAge() <= 8);
  }
  SECTION("a daemon sends few batches a tick, whatever the size") {
    std::size_t sent_before = 0;
    for (const auto& [name, each] : fleet.daemons) sent_before += each.sent;
    fleet.Run(100);
    std::size_t sent = 0;
    for (const auto& [name, each] : fleet.daemons) sent += each.sent;
    const auto per_daemon = static_cast<double>(sent - sent_before) /
                            static_cast<double>(fleet.daemons.size()) / 100;
    // Each sends its own every fourth tick and gets two batches a tick at most.
    CHECK(per_daemon <= 3);
  }
  SECTION("small daemons are never collectors") {
    for (const auto& [name, each] : fleet.daemons) {
      if (each.cores < 0.5) CHECK(each.sent <= 20);
    }
  }
  SECTION("dead collectors are skipped once they are silent") {
    for (int number = 0; number < domain_size; number += 12) {
      fleet.Kill(VmName(2, number));
    }
    fleet.Run(30);
    CHECK(fleet.MaxAge() <= 8);
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
