#ifndef GYPSUMTRACK_POLICY_LIMIT_LEASE_H_
#define GYPSUMTRACK_POLICY_LIMIT_LEASE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gypsumtrack/policy/fleet_view.h"
#include "gypsumtrack/policy/limit_table.h"

/// The lease under which a VM may be home of limits, and the fencing that ends
/// it.
///
/// A VM's lease row in the table names up to four voters, all VMs of its
/// domain. The lease is valid while at least half of them vote for it, or while
/// the VM has recently rewritten the row. Fencing a VM needs the consent of
/// more than half of the row's voters, a row that hasn't changed for longer
/// than a rewrite keeps the lease valid, and a commit conditional on that row.
/// Once the row hasn't changed for `max_table_outage`, no consent is needed.
/// A voter that has consented never votes for that lease again. So a lease
/// survives outages of the table shorter than `max_table_outage`, and a fenced
/// VM knows that it has lost its lease.
namespace gypsumtrack::policy {

/// Returns the table key of a VM's lease row. Thread-safe.
std::string LeaseRowKey(const base::FailureDomain& domain,
                        const base::VmId& vm);

/// Holds this VM's lease, votes for leases of other VMs and fences VMs of the
/// own domain. Not thread-safe.
class HomeLease {
 public:
  /// Precondition: `table` outlives the lease.
  HomeLease(const LimitSettings& settings, LimitPeer self,
            base::FailureDomain domain, LimitTable& table);
  HomeLease(const HomeLease&) = delete;
  HomeLease& operator=(const HomeLease&) = delete;

  // Commands.

  /// Sets the peers to choose voters from. Precondition: all are in the own
  /// domain.
  void OnPeers(std::vector<PeerVm> peers);
  /// Requests votes, renews the row and advances fences that are in progress.
  void Tick(base::Instant now, LimitActions& actions);
  /// Votes for the sender's lease, unless this VM has consented to fence it.
  void OnLeaseVoteRequest(const LimitPeer& from,
                          const LeaseVoteRequest& request, base::Instant now,
                          LimitActions& actions);
  /// Counts a vote for the own lease. It is valid from when the request was
  /// sent.
  void OnLeaseVoteReply(const base::VmId& from, const LeaseVoteReply& reply);
  /// Consents, unless a vote for the target is still valid.
  void OnFenceRequest(const LimitPeer& from, const FenceRequest& request,
                      base::Instant now, LimitActions& actions);
  /// Counts a consent to a fence that this VM has started.
  void OnFenceConsent(const base::VmId& from, const FenceConsent& consent);
  /// Starts to fence a VM of the own domain, unless that is in progress or
  /// done.
  void StartFence(const base::VmId& target, base::Instant now);
  /// Gives up the lease for good, before the process ends.
  void Release(base::Instant now, LimitActions& actions);

  // Queries.

  /// Whether this VM may act as home now.
  bool Valid(base::Instant now) const;
  /// Whether the VM's lease row is known to be removed.
  bool IsFenced(const base::VmId& vm) const;
  /// The condition that the own row is unchanged, for commits that only a lease
  /// holder may make; none without a lease.
  std::optional<base::RowCondition> Condition() const;

 private:
  struct Voter {
    LimitPeer peer;
    base::Instant vote_expires{};
  };
  struct FenceState {
    /// Version of the target's row; zero before the first scan.
    std::uint64_t row_version = 0;
    base::Instant unchanged_since{};
    base::Instant scanned_at{};
    base::Instant consent_requested_at{};
    std::vector<LimitPeer> voters;
    std::set<base::VmId> consents;
    bool commit_pending = false;
  };

  std::vector<LimitPeer> ChooseVoters() const;
  /// Whether at least half of the voters vote for the lease past `until`.
  bool HasVotes(const std::vector<Voter>& among, base::Instant until) const;
  void Renew(base::Instant now, LimitActions& actions);
  void OnRenewed(bool committed, base::Instant first_sent, base::Instant now);
  void RequestVotes(base::Instant now, LimitActions& actions);
  bool ConsentToFence(const base::VmId& target, base::Instant now);
  void AdvanceFence(const base::VmId& target, FenceState& fence,
                    base::Instant now, LimitActions& actions);
  void OnFenceScan(const base::VmId& target,
                   const base::Outcome<base::ScanReply>& reply,
                   base::Instant now);
  void CommitFence(const base::VmId& target, FenceState& fence,
                   base::Instant now, LimitActions& actions);

  LimitSettings settings;
  LimitPeer self;
  base::FailureDomain domain;
  LimitTable& table;
  std::vector<PeerVm> peers;

  /// Version of the own row; zero before it is written.
  std::uint64_t row_version = 0;
  /// Whether the lease was released or fenced.
  bool lost = false;
  bool renewal_pending = false;
  std::vector<Voter> voters;
  /// Voters of a row whose commit is in progress: it may be written or not.
  std::optional<std::vector<Voter>> next_voters;
  base::Instant renewed_at{};
  base::Instant votes_requested_at{};
  std::uint64_t last_vote_request = 0;
  /// When recent vote requests were sent, by number.
  std::map<std::uint64_t, base::Instant> vote_requests;

  /// Until when this VM must not consent to fencing another VM.
  std::map<base::VmId, base::Instant> granted_votes;
  /// VMs that this VM has consented to fence.
  std::set<base::VmId> consented;
  std::map<base::VmId, FenceState> fences;
  std::set<base::VmId> fenced;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_LIMIT_LEASE_H_
