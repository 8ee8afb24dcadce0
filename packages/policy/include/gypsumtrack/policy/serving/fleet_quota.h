#ifndef GYPSUMTRACK_POLICY_SERVING_FLEET_QUOTA_H_
#define GYPSUMTRACK_POLICY_SERVING_FLEET_QUOTA_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/serving/serving_rules.h"

/// Limits organisations to their rate and burst over all daemons together. Each
/// daemon has its own copy of an organisation's token bucket. It sends the
/// others its admission counts several times a second and subtracts theirs from
/// its copy. A round of gossip ends when the daemon has received a message from
/// every responsive peer. In a round the daemon spends at most a few times its
/// own share of the bucket, and only its share once the round is overdue. It
/// reserves the shares of unresponsive peers, as they do for it, so that a
/// network partition doesn't raise the limit of an organisation.
namespace gypsumtrack::policy {

/// Margins and timing of the limits.
struct FleetQuotaOptions {
  /// What may be admitted beyond rate and burst in any window: a fraction of
  /// them, and a number of requests. A part of it is available to callers; the
  /// rest covers what daemons admit before they receive each other's counts.
  double excess_fraction = 0.1;
  double excess_requests = 20;
  /// A peer is unresponsive, and its share reserved, when no message has been
  /// received from it for longer than this.
  base::Duration peer_timeout = std::chrono::milliseconds(900);
  /// A peer that SetPeers no longer lists is kept for this long after its last
  /// message, because a daemon that can't reach the store still serves
  /// requests.
  base::Duration unlisted_peer_timeout = std::chrono::milliseconds(5000);
  /// A round of gossip is overdue after this time: 200 ms between messages to
  /// other failure domains, 100 ms for forwarding there, and the network delay.
  base::Duration round_timeout = std::chrono::milliseconds(400);
  /// A round of a bucket that holds enough for all may end without late peers
  /// after this time.
  base::Duration partial_round_timeout = std::chrono::milliseconds(300);
  /// A daemon may spend this many times its share in a round.
  double max_shares_per_round = 2.2;
  /// Time constant of the exponential average of demand.
  base::Duration demand_window = std::chrono::seconds(4);
  /// Fraction of the shares that is divided evenly among the daemons, whatever
  /// their demand.
  double even_fraction = 0.4;
  /// Interval at which shares are adapted to demand, while all peers are
  /// responsive.
  base::Duration share_update_period = std::chrono::milliseconds(300);
  /// Fraction of the burst that is available to a daemon that has just started,
  /// because daemons that ran before may have used the rest.
  double initial_fill = 0.5;
  /// Whether the daemon may admit requests before SetPeers tells it of the
  /// others. Until then, kShareWithoutPeers of each bucket is available to it.
  bool starts_without_peers = false;
  /// Shortest interval between full messages.
  base::Duration full_message_period = std::chrono::milliseconds(400);
  /// Delta messages contain the counts that changed within this time. It is
  /// longer than `full_message_period`, so that each count is sent repeatedly.
  base::Duration delta_window = std::chrono::milliseconds(1200);
  /// With more peers than this, gossip is collected before it is sent on, and
  /// all intervals above but those of demand, of unlisted peers and of deltas
  /// are longer by the factor.
  std::size_t large_fleet_peers = 160;
  int large_fleet_factor = 2;
  /// Interval between full messages in such a fleet, unless a peer wants one.
  base::Duration large_fleet_full_message_period = std::chrono::seconds(4);
  /// Differs between daemons, so that they don't admit the same requests.
  std::uint32_t random_seed = 1;
};

/// Fraction of a bucket that is available to a daemon that doesn't know yet how
/// many others use it.
inline constexpr double kShareWithoutPeers = 0.1;

/// Which request asks to be admitted.
enum class AdmissionKind {
  kNew,
  kContinuation,         ///< continues a stream of which its caller has a part
  kWaitingContinuation,  ///< the same, asking again
};

/// Number of requests that a daemon has admitted since its start, by
/// organisation.
using AdmittedCounts = std::map<base::Organisation, std::uint64_t>;

/// Admission counts that a daemon sends to its peers.
struct CountsMessage {
  /// A full message contains all organisations of which the daemon has admitted
  /// requests; a delta message only those whose count has changed recently.
  bool is_full = false;
  AdmittedCounts counts;
  /// The sender has received counts that it can't use without a full message.
  bool wants_full = false;
};

/// One daemon's copy of a limit at a moment.
struct QuotaState {
  double tokens = 0;
  /// Requests admitted here since the last round of gossip ended.
  double unconfirmed = 0;
  /// Fractions of the bucket: this daemon's, and those of unresponsive peers.
  double own_share = 0;
  double reserved_share = 0;
  /// Time since the last round of gossip ended.
  base::Duration round_age{0};
};

/// One daemon's copy of all limits. Not thread-safe.
class FleetQuota {
 public:
  explicit FleetQuota(FleetQuotaOptions options);

  // Commands.

  /// Replaces the limits. Organisations that stay keep their tokens, up to the
  /// new capacity.
  void SetRules(const std::vector<OrganisationRule>& organisations,
                base::Instant now);
  /// Replaces the listed peers: the VM names of all live daemons except this
  /// one.
  void SetPeers(const std::vector<std::string>& names, base::Instant now);
  /// Records the counts that a peer has sent. An unresponsive peer becomes
  /// responsive with its next full message; delta messages before that are
  /// ignored, because there is no count to which they could be compared. So are
  /// all messages before the first SetRules, whose counts belong to
  /// organisations that aren't known yet.
  void OnPeerCounts(const base::VmId& vm, const CountsMessage& message,
                    base::Instant now);
  /// Returns the message to be sent to the peers now. Single messages may be
  /// lost. Only a message that reaches all peers may be full.
  CountsMessage NextCountsMessage(base::Instant now, bool reaches_all);
  /// Returns whether a request of the organisation is admitted, and counts it
  /// if so. Requests of organisations without a limit are always admitted and
  /// aren't counted. While continuations wait, new requests aren't admitted.
  bool TryAdmit(const base::Organisation& organisation, base::Instant now,
                AdmissionKind kind = AdmissionKind::kNew);
  /// Records that a continuation that wasn't admitted waits and asks again.
  void OnContinuationWaits(const base::Organisation& organisation);
  /// Records that it ceased to wait. Precondition: it waited.
  void OnContinuationWaitEnded(const base::Organisation& organisation);
  /// Returns the token of a request that was admitted but certainly didn't run
  /// and won't.
  void ReturnToken(const base::Organisation& organisation);

  // Queries.

  /// Returns the number of requests admitted here since the start.
  std::uint64_t OwnAdmittedTotal() const { return this->own_admitted; }
  /// Returns the tokens left in this daemon's copy of the organisation's
  /// bucket, negative after too many admissions by peers; 0 without a limit.
  double Tokens(const base::Organisation& organisation) const;
  /// Returns what decides about the organisation's next request, for the log.
  QuotaState State(const base::Organisation& organisation,
                   base::Instant now) const;
  /// Returns the VM names of the peers that may admit requests: those listed,
  /// and others that have sent a message lately. Not sorted.
  std::vector<std::string> PeerNames() const;
  /// Returns an estimate of when a request of the organisation will be
  /// admitted.
  base::Instant NextAdmissionTime(const base::Organisation& organisation,
                                  base::Instant now) const;

 private:
  /// Exponentially decaying average of requests.
  struct Demand {
    double per_second = 0;
    base::Instant updated_at{};
  };
  struct PeerUse {
    Demand demand;
    double share = 0;
  };
  struct OwnCount {
    std::uint64_t admitted = 0;
    base::Instant changed_at{};
  };
  struct Bucket {
    /// Tokens a second.
    double rate = 0;
    double capacity = 0;
    double tokens = 0;
    base::Instant refilled_at{};
    /// Requests admitted here since the last round of gossip ended.
    double unconfirmed = 0;
    /// Share of the peers that a round ended without, which they may have used;
    /// 0 after a whole round.
    double late_share = 0;
    /// When a round last ended without some peers.
    base::Instant partly_confirmed_at = base::Instant::min();
    Demand own_demand;
    /// Shares are fractions of the bucket. They are frozen while a peer is
    /// unresponsive, so that both sides of a partition use the same ones.
    double own_share = 1;
    /// Peers without demand have no entry. Keyed by VM name.
    std::unordered_map<std::string, PeerUse> peer_uses;
    /// Share of a peer without demand.
    double idle_share = 0;
    /// Sum of the shares of unresponsive peers.
    double reserved_share = 0;
  };
  struct Peer {
    /// 0 until the first message was received.
    std::uint64_t incarnation = 0;
    AdmittedCounts counts;
    base::Instant received_at{};
    /// Its share is reserved.
    bool unresponsive = true;
    /// A message was received since `confirmed_at`.
    bool received_since_confirmation = false;
  };

  /// Returns the part of the excess requests that is available to callers of an
  /// organisation with this rate.
  double ExcessCapacity(double rate) const;
  void Refill(Bucket& bucket, base::Instant now) const;
  /// Returns whether the next message that reaches all peers has to be full.
  bool FullMessageIsDue(base::Instant now) const;
  bool IsLargeFleet() const;
  /// Returns a random number from 0 up to 1.
  double RandomFraction();
  /// Returns a duration of the options, adapted to the size of the fleet.
  base::Duration Scaled(base::Duration duration) const;
  /// Reserves the shares of peers that have become unresponsive.
  void DetectUnresponsivePeers(base::Instant now);
  /// Reserves a peer's share of the bucket.
  static void ReserveShare(Bucket& bucket, const std::string& peer);
  /// Ends the reservation of the share of a peer that has become responsive.
  void ReleaseShare(Bucket& bucket, const std::string& peer) const;
  /// Must be called after peers were added or removed, or changed their state.
  void CountPeers();
  void UpdateShares(base::Instant now);
  /// Computes shares from demand. Precondition: all peers are responsive.
  void ComputeShares(Bucket& bucket, base::Instant now) const;
  /// Adapts shares after peers were added or removed.
  void OnPeersChanged(Bucket& bucket, const std::vector<std::string>& added,
                      base::Instant now) const;
  bool AllPeersResponsive() const;
  /// Whether the daemon admits requests without knowing who else does.
  bool LacksPeers() const;
  double EvenShare() const;
  /// Must be called after a change of shares.
  void UpdateReservedShare(Bucket& bucket) const;
  /// Returns the tokens reserved for an unresponsive peer since its last
  /// message. What it admitted beyond these is subtracted from the bucket when
  /// it becomes responsive again.
  double ReservedTokens(const Bucket& bucket, const std::string& peer,
                        base::Instant now) const;
  /// Subtracts a peer's new admissions from the bucket.
  void SubtractPeerAdmissions(Bucket& bucket, const std::string& peer,
                              double admitted, base::Instant now) const;
  /// Resets the unconfirmed admissions once a message was received from every
  /// responsive peer.
  void ConfirmIfAllReceived(base::Instant now);
  /// Ends an overdue round of the buckets that hold enough for all without the
  /// peers that are late, whose share is held back: one silent daemon would
  /// otherwise make all others refuse requests far below a limit.
  void ConfirmWithoutLatePeers(base::Instant now);
  /// Returns the part of the tokens that late peers can't have used.
  static double TokensWithoutLate(const Bucket& bucket);
  /// Returns the fraction of the bucket that isn't reserved.
  static double UnreservedShare(const Bucket& bucket);
  static double ShareOfPeer(const Bucket& bucket, const std::string& peer);
  /// Returns the demand a second, decayed until now.
  double DecayedDemand(const Demand& demand, base::Instant now) const;
  /// Decays the demand until now.
  void Decay(Demand& demand, base::Instant now) const;
  void AddDemand(Demand& demand, double requests, base::Instant now) const;

  FleetQuotaOptions options;
  std::minstd_rand random;
  std::map<base::Organisation, Bucket> buckets;
  /// Number of continuations that wait for a token.
  std::map<base::Organisation, std::size_t> waiting_continuations;
  /// Keyed by VM name.
  std::unordered_map<std::string, Peer> peers;
  /// Number of unresponsive peers, and of responsive ones from which no message
  /// was received since `confirmed_at`.
  std::size_t unresponsive_count = 0;
  std::size_t awaited_count = 0;
  base::Instant next_detection_at{};
  std::map<base::Organisation, OwnCount> own_counts;
  std::uint64_t own_admitted = 0;
  /// When a message was last ignored for lack of a full one before it.
  base::Instant full_wanted_at = base::Instant::min();
  /// A peer wants a full message.
  bool full_requested = false;
  /// When the last full message was sent; the minimum if the next message has
  /// to be full.
  base::Instant full_message_at = base::Instant::min();
  base::Instant shares_updated_at{};
  /// Whether all peers have ever been responsive at the same time, so that
  /// shares were computed from demand.
  bool shares_known = false;
  /// Whether SetRules and SetPeers were called.
  bool rules_known = false;
  bool peers_known = false;
  /// When the last round of gossip ended.
  base::Instant confirmed_at{};
  /// The same of a round that ended without some peers.
  base::Instant partly_confirmed_at{};
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_FLEET_QUOTA_H_
