#ifndef GYPSUMTRACK_POLICY_SERVING_FLEET_QUOTA_H_
#define GYPSUMTRACK_POLICY_SERVING_FLEET_QUOTA_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/serving/serving_rules.h"

/// Holds organisations to their rate and burst over all daemons together. Each
/// daemon tells the others several times a second how many requests it has
/// admitted, and takes theirs out of its own copy of the bucket. Between two
/// rounds of gossip it spends no more than a few times its own share of what
/// the bucket holds; once a round is overdue no more than its share; and for
/// daemons that it doesn't hear it sets their share aside, as they do for it.
/// So a cut between daemons gives no organisation more.
namespace gypsumtrack::policy {

struct FleetQuotaOptions {
  /// What may pass beyond rate and burst in any window: a part of them, and so
  /// many requests. Most of it goes to callers; the rest covers what daemons
  /// admit before they hear of each other.
  double excess_fraction = 0.1;
  double excess_requests = 20;
  /// A peer not heard for longer has its share set aside.
  base::Duration peer_silence = std::chrono::milliseconds(900);
  /// A peer that isn't listed any more counts on for so long after it was last
  /// heard: one that can't reach the store still serves.
  base::Duration unlisted_hold = std::chrono::milliseconds(5000);
  /// A round of gossip that takes longer is overdue: 200 ms between failure
  /// domains, 100 ms to be passed on there, and the way.
  base::Duration round = std::chrono::milliseconds(400);
  /// Times its share that a daemon may spend in a round.
  double shares_in_round = 2.2;
  /// Demand is averaged over about this time.
  base::Duration demand_window = std::chrono::seconds(4);
  /// Part of the share that goes to each daemon alike, whatever its demand.
  double even_part = 0.4;
  /// Shares follow demand this often, while all peers are heard.
  base::Duration share_period = std::chrono::milliseconds(300);
  /// Part of the burst that a daemon which has just started may use: those
  /// before it may have spent the rest.
  double start_fill = 0.5;
  /// Whole messages go out this often.
  base::Duration whole_period = std::chrono::milliseconds(400);
  /// Others name what changed within this time: longer than a whole period, so
  /// that a count is told several times.
  base::Duration change_memory = std::chrono::milliseconds(1200);
};

/// Requests that a daemon has admitted since its start, by organisation.
using AdmittedCounts = std::map<base::Organisation, std::uint64_t>;

/// What a daemon tells the others of its counts.
struct CountsMessage {
  /// Names all organisations of which it has admitted any; else only those
  /// whose count has changed of late.
  bool is_full = false;
  AdmittedCounts counts;
};

/// Not thread-safe; used on one thread.
class FleetQuota {
 public:
  explicit FleetQuota(FleetQuotaOptions options);

  // Commands.

  /// Keeps what organisations that stay have used.
  void SetRules(const std::vector<OrganisationRule>& organisations,
                base::Instant now);
  /// The daemons that are listed as alive, this one left out.
  void SetPeers(const std::vector<std::string>& peers, base::Instant now);
  /// A peer that was silent is heard again from its next whole message on:
  /// before that, there is nothing that changes could be counted from.
  void OnPeerCounts(const base::VmId& peer, const CountsMessage& message,
                    base::Instant now);
  /// What to tell the others now, in a message of which some may be lost.
  CountsMessage NextCountsMessage(base::Instant now);
  /// Whether a request of the organisation may go on; counts it if so.
  bool TryAdmit(const base::Organisation& organisation, base::Instant now);
  /// Returns the admission of a request that surely didn't and won't run.
  void ReturnToken(const base::Organisation& organisation);
  // Queries.

  /// What is left of the organisation's bucket here; 0 without a limit.
  double Tokens(const base::Organisation& organisation) const;
  /// When a request of the organisation is likely to be admitted.
  base::Instant NextAdmissionTime(const base::Organisation& organisation,
                                  base::Instant now) const;

 private:
  /// Recent requests a second, which fade.
  struct Demand {
    double per_second = 0;
    base::Instant at{};
  };
  struct OwnCount {
    std::uint64_t admitted = 0;
    base::Instant changed_at{};
  };
  struct Bucket {
    double rate = 0;
    double capacity = 0;
    double tokens = 0;
    base::Instant filled_at{};
    /// Admitted here since messages came from all peers that are heard.
    double unconfirmed = 0;
    Demand own_demand;
    /// Of peers that have any.
    std::map<std::string, Demand> peer_demand;
    /// Parts of the whole; they stand still while a peer isn't heard, so that
    /// both sides of a cut go by the same ones.
    double own_share = 1;
    std::map<std::string, double> peer_shares;
    /// Of a peer without demand.
    double idle_share = 0;
    /// Shares of the silent peers together.
    double aside = 0;
  };
  struct Peer {
    /// 0 until it was heard.
    std::uint64_t incarnation = 0;
    AdmittedCounts counts;
    base::Instant heard_at{};
    /// Its share is set aside.
    bool silent = true;
    bool heard_since_confirmed = false;
  };

  /// Requests of the allowed slack that go to callers.
  double OpenSlack(double rate) const;
  void Fill(Bucket& bucket, base::Instant now) const;
  /// Sets aside the share of peers that have fallen silent.
  void NoteSilence(base::Instant now);
  void UpdateShares(base::Instant now);
  /// Shares by demand. Precondition: all peers are heard.
  void ShareOut(Bucket& bucket, base::Instant now) const;
  /// New shares when peers have come or gone.
  void TakeInPeers(Bucket& bucket, const std::vector<std::string>& added,
                   base::Instant now) const;
  bool AllHeard() const;
  double EvenShare() const;
  /// To be called when shares or the silent peers have changed.
  void SetAside(Bucket& bucket) const;
  /// What was kept for a silent peer since it was last heard. What it used
  /// beyond that, since it heard others, is taken out once it is heard again.
  double SetAsideFor(const Bucket& bucket, const std::string& peer,
                     base::Instant now) const;
  /// Takes what a peer has admitted since its message before out of the bucket.
  void CountPeer(Bucket& bucket, const std::string& peer, double grown,
                 base::Instant now) const;
  /// Forgets what is unconfirmed once all peers that are heard have spoken.
  void ConfirmIfAllHeard(base::Instant now);
  /// Part of the whole that isn't set aside.
  static double OpenShare(const Bucket& bucket);
  static double ShareOfPeer(const Bucket& bucket, const std::string& peer);
  /// What is left of it now.
  double Faded(const Demand& demand, base::Instant now) const;
  void CountDemand(Demand& demand, double requests, base::Instant now) const;

  FleetQuotaOptions options;
  std::map<base::Organisation, Bucket> buckets;
  std::map<std::string, Peer> peers;
  std::map<base::Organisation, OwnCount> own_counts;
  base::Instant told_whole_at = base::Instant::min();
  base::Instant shared_at{};
  /// All peers were heard once, so that shares went by demand.
  bool shares_known = false;
  base::Instant confirmed_at{};
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_FLEET_QUOTA_H_
