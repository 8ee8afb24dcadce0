#ifndef GYPSUMTRACK_POLICY_SERVING_GOSSIP_PLAN_H_
#define GYPSUMTRACK_POLICY_SERVING_GOSSIP_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"

/// Chooses the daemons to which a daemon sends its loads and counts.
///
/// In a small failure domain it sends them to every peer there, and less often
/// to one peer in each other domain, which forwards them within that domain.
///
/// In a large domain that would grow with the square of the domain. There a
/// daemon sends to one daemon, the collector of the current time slot, and only
/// what has changed. The collector sends all that it received within a tick to
/// every peer of the domain at once, and what is meant for other domains to the
/// collectors there. The daemons with the most processor cores take turns as
/// collectors, by the time of day, so that all agree without a message and the
/// loss of one costs only the messages of its slot. Daemons whose clocks differ
/// choose different collectors, which costs messages but loses none.
namespace gypsumtrack::policy {

/// Intervals and sizes of gossip.
struct GossipPlanOptions {
  /// Interval, in ticks, between messages to other failure domains.
  std::uint32_t remote_period_ticks = 2;
  /// Domains with more daemons than this use collectors.
  std::size_t max_direct_daemons = 24;
  /// With collectors: interval, in time slots, between messages to other
  /// domains, and between messages that are sent although nothing has changed.
  /// All daemons send them in the same slot, so that few collectors pass on
  /// many messages at once.
  std::uint32_t relayed_period_slots = 2;
  /// A collector is skipped if nothing was received from it for this long.
  base::Duration collector_timeout = std::chrono::milliseconds(1500);
};

/// Another daemon that takes part in gossip.
struct GossipPeer {
  base::VmId vm;
  base::Location location;
  /// Processor cores that it may use.
  double cores = 1;
};

/// A moment at which messages may be sent.
struct GossipTick {
  /// Number of the daemon's own tick.
  std::uint32_t number = 0;
  /// Number of the time slot, which is the same at all daemons whose clocks
  /// agree.
  std::uint64_t slot = 0;
  base::Instant now{};
};

/// The recipients of one daemon's messages. Not thread-safe.
class GossipPlan {
 public:
  /// `self` describes this daemon.
  GossipPlan(GossipPeer self, GossipPlanOptions options);

  // Commands.

  /// Replaces the peers: all live daemons except this one.
  void SetPeers(const std::vector<GossipPeer>& peers);
  /// Records that a message of the peer was received.
  void OnMessageFrom(const std::string& vm_name, base::Instant now);
  /// Records that a message for other domains was sent.
  void OnSentToOtherDomains(const GossipTick& tick);

  // Queries.

  /// Returns whether this daemon's domain uses collectors.
  bool UsesCollectors() const;
  /// Returns whether a message must be sent although nothing has changed.
  bool IsDue(const GossipTick& tick) const;
  /// Returns whether a message sent now is meant for other domains as well.
  bool IsForOtherDomains(const GossipTick& tick) const;
  /// Returns the names of all peers in this daemon's failure domain.
  const std::vector<std::string>& DomainPeers() const;
  /// Returns the collector of this daemon's domain, which may be this daemon.
  std::string Collector(const GossipTick& tick) const;
  /// Returns one peer in each other domain to which messages for that domain
  /// are sent: its collector if this domain uses collectors, else the peers
  /// take turns.
  std::vector<std::string> RemotePeers(const GossipTick& tick) const;
  /// Returns whether a message received directly from `sender` must be
  /// forwarded to the peers in this daemon's failure domain. `to_relay` tells
  /// whether the sender asked its own domain for it.
  bool ShouldForward(const base::VmId& sender, bool to_relay) const;

 private:
  /// The daemons of a domain in the order of their names.
  struct Domain {
    std::vector<GossipPeer> daemons;
    /// Indices of those that may be collectors.
    std::vector<std::size_t> collectors;
  };

  static void ChooseCollectors(Domain& domain);
  const std::string& CollectorOf(const Domain& domain,
                                 const GossipTick& tick) const;
  bool IsResponsive(const std::string& vm_name, base::Instant now) const;

  GossipPeer self;
  GossipPlanOptions options;
  /// Differs between daemons, so that they don't choose the same peers.
  std::uint64_t offset;
  /// Slot of the last message for other domains.
  std::uint64_t sent_slot = 0;
  std::vector<std::string> domain_peers;
  /// This daemon's own domain, with itself, and all others.
  std::map<base::FailureDomain, Domain> domains;
  /// Failure domain of each peer, keyed by VM name.
  std::unordered_map<std::string, base::FailureDomain> domain_of;
  /// When the newest message of each peer was received, keyed by VM name.
  std::unordered_map<std::string, base::Instant> received_at;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_GOSSIP_PLAN_H_
