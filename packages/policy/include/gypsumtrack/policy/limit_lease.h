#ifndef GYPSUMTRACK_POLICY_LIMIT_LEASE_H_
#define GYPSUMTRACK_POLICY_LIMIT_LEASE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gypsumtrack/policy/fleet_view.h"
#include "gypsumtrack/policy/limit_table.h"

/// The lease under which a VM may be home of limits, and the fence that ends
/// it.
///
/// A VM's lease row in the table names up to four voters, VMs of its domain.
/// The lease holds while at least half of them vouch for it, or while the VM
/// has lately rewritten its row. A fence needs more than half of the row's
/// voters to consent, a row that hasn't changed for longer than a rewrite
/// counts, and a commit conditional on that row. A voter that has consented
/// never vouches again. So a lease outlives any outage of the table, and a
/// fenced VM knows.
namespace gypsumtrack::policy {

/// Key of a VM's lease row. Thread-safe.
std::string LeaseRowKey(const base::FailureDomain& domain,
                        const base::VmId& vm);

/// Not thread-safe.
class TenureLease {
 public:
  TenureLease(const LimitSettings& settings, LimitPeer self,
              base::FailureDomain domain, LimitTable& table);
  TenureLease(const TenureLease&) = delete;
  TenureLease& operator=(const TenureLease&) = delete;

  // Commands.

  /// `peers` are those of the own domain.
  void OnPeers(std::vector<PeerVm> peers);
  void Tick(base::Instant now, LimitActions& actions);
  void OnLeaseVoteRequest(const LimitPeer& from,
                          const LeaseVoteRequest& request, base::Instant now,
                          LimitActions& actions);
  void OnLeaseVoteReply(const base::VmId& from, const LeaseVoteReply& reply);
  void OnFenceRequest(const LimitPeer& from, const FenceRequest& request,
                      base::Instant now, LimitActions& actions);
  void OnFenceConsent(const base::VmId& from, const FenceConsent& consent);
  /// Begins to fence a VM of the own domain, unless that is under way.
  void Fence(const base::VmId& target, base::Instant now);
  /// Gives the lease up for good, before the process ends.
  void Leave(base::Instant now, LimitActions& actions);

  // Queries.

  bool Valid(base::Instant now) const;
  /// Whether the VM's lease row is known to be gone.
  bool IsFenced(const base::VmId& vm) const;
  /// The own row, for commits that only a lease holder may make.
  std::optional<base::RowCondition> Condition() const;

 private:
  struct Voter {
    LimitPeer peer;
    base::Instant promised_until{};
  };
  struct FenceState {
    std::uint64_t version = 0;
    base::Instant unchanged_since{};
    base::Instant scanned_at{};
    base::Instant asked_at{};
    std::vector<LimitPeer> voters;
    std::set<base::VmId> consents;
    bool committing = false;
  };

  std::vector<LimitPeer> ChooseVoters() const;
  bool Vouched(const std::vector<Voter>& voters, base::Instant until) const;
  void Renew(base::Instant now, LimitActions& actions);
  void OnRenewed(bool committed, base::Instant first_sent, base::Instant now);
  void AskVoters(base::Instant now, LimitActions& actions);
  bool Consents(const base::VmId& target, base::Instant now);
  void StepFence(const base::VmId& target, FenceState& fence, base::Instant now,
                 LimitActions& actions);
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

  std::uint64_t version = 0;
  bool lost = false;
  bool renewing = false;
  std::vector<Voter> voters;
  /// Voters of a row that may or may not be written yet.
  std::optional<std::vector<Voter>> next_voters;
  base::Instant renewed_at{};
  base::Instant asked_at{};
  std::uint64_t ask_number = 0;
  std::map<std::uint64_t, base::Instant> asks;

  /// What this VM has promised as a voter.
  std::map<base::VmId, base::Instant> promises;
  std::set<base::VmId> consented;
  std::map<base::VmId, FenceState> fences;
  std::set<base::VmId> fenced;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_LIMIT_LEASE_H_
