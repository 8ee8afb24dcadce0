#ifndef GYPSUMTRACK_POLICY_LIMIT_HOME_H_
#define GYPSUMTRACK_POLICY_LIMIT_HOME_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gypsumtrack/policy/limit_lease.h"
#include "gypsumtrack/policy/limit_loan.h"
#include "gypsumtrack/policy/limit_share.h"

/// The home of a limit in a failure domain: the one VM that lends the domain's
/// share. It refills the share's token bucket, holds the tokens that no VM has
/// borrowed, borrows from the homes of other domains when it runs short, and
/// updates the share row.
namespace gypsumtrack::policy {

/// State that all homes on a VM share. Outlives them.
struct HomeContext {
  LimitSettings settings;
  LimitPeer self;
  base::FailureDomain domain;
  HomeLease& lease;
  LimitTable& table;
  /// Live VMs by domain; the own domain includes this VM.
  std::map<base::FailureDomain, std::vector<LimitPeer>> live_vms;
};

/// Returns the peer that should be home of the key, by rendezvous hashing; none
/// if there are no peers. Thread-safe.
std::optional<LimitPeer> RendezvousHome(const LimitKey& key,
                                        const std::vector<LimitPeer>& peers);

/// One limit's home on this VM, or a candidate that has yet to claim the share
/// row. Not thread-safe.
class LimitHome {
 public:
  /// Precondition: `context` outlives the home.
  LimitHome(HomeContext& context, LimitKey key, base::Instant now);
  LimitHome(const LimitHome&) = delete;
  LimitHome& operator=(const LimitHome&) = delete;

  // Commands.

  /// Sets the limit in force at a revision. Ignores older revisions.
  void OnLimit(base::Revision revision, const Limit& limit, base::Instant now,
               LimitActions& actions);
  /// Replies to a borrower: lends what it needs, refuses, or names the home if
  /// this VM can't lend.
  void OnReport(const LimitPeer& from, const LoanReport& report,
                base::Instant now, LimitActions& actions);
  /// Adds what the home of another domain has lent. Ignores VMs that this home
  /// hasn't requested anything from.
  void OnGrant(const LimitPeer& from, const LoanGrant& grant, base::Instant now,
               LimitActions& actions);
  /// Returns borrowed quota that isn't lent to anyone here.
  void OnRecall(const LimitPeer& from, base::Instant now,
                LimitActions& actions);
  /// `hint` names the home in the domain of `from`.
  void OnHomeHint(const LimitPeer& from, const HomeHint& hint,
                  base::Instant now);
  /// Reads the share row again, if this VM is home.
  void OnShareRowChanged(base::Instant now, LimitActions& actions);
  /// Does periodic work: reads or claims the row, expires and renews loans, and
  /// serves borrowers.
  void Tick(base::Instant now, LimitActions& actions);

  // Queries.

  /// Whether this VM may lend the domain's share now.
  bool CanLend(base::Instant now) const;
  /// Whether this VM has claimed the share, even if it can't lend it yet.
  bool IsHome() const { return this->claimed; }
  /// The domain's home by the row as last read.
  std::optional<LimitPeer> KnownHome() const;
  /// The share row as last read.
  const std::optional<ShareRow>& row() const {  // NOLINT
    return this->cached_row;
  }
  /// When the row was last written, or when its last read started.
  base::Instant read_at() const { return this->row_read_at; }  // NOLINT
  /// What this home has lent.
  const LoanLedger& ledger() const { return this->loan_ledger; }  // NOLINT
  /// Tokens that no VM has borrowed, in micro-requests.
  std::int64_t TokensLeft(base::Instant now) const;
  /// The domain's share under the current limit.
  Quota OwnShare() const;
  /// Quota borrowed from homes of other domains.
  Quota Borrowed() const;
  /// Whether this object may be dropped.
  bool Idle(base::Instant now) const;
  /// When `Tick` may have work before its regular time.
  base::Instant wake() const { return this->wake_at; }  // NOLINT

 private:
  /// A loan from the home of another domain.
  struct InboundLoan {
    LimitPeer lender;
    base::FailureDomain domain;
    Loan loan;
    base::Instant refused_until{};
    /// Tokens requested and not yet granted.
    std::uint32_t requested = 0;
    /// Whether to borrow the lender's whole share.
    bool pooled = false;
  };
  struct DeferredReport {
    LimitPeer from;
    LoanReport report;
  };
  struct DomainDemand {
    /// In micro-requests a second.
    std::int64_t demand = 0;
    base::Instant received_at{};
  };

  // limit_home.cc: lending.
  void UpdateBucketQuota(base::Instant now);
  Quota LendableInboundLoans(base::Instant now) const;
  base::Duration GrantTtl(LoanRole role, bool whole_share, const Quota& added,
                          base::Instant now) const;
  void ServeBorrowers(base::Instant now, LimitActions& actions);
  std::uint32_t ServeWaiting(base::Instant now, LimitActions& actions);
  void ServePrefetch(base::Instant now, LimitActions& actions);
  void LendWholeShare(const Borrower& borrower, base::Instant now,
                      LimitActions& actions);
  void SendGrant(const Borrower& to, const Quota& added, std::int64_t tokens,
                 base::Duration retry_after, base::Instant now,
                 LimitActions& actions);
  Quota LendableToHomes(base::Instant now) const;
  bool RecallPrefetched(base::Instant now, LimitActions& actions);
  void RefuseWaiting(base::Instant now, LimitActions& actions);
  base::Duration RetryAfter(base::Instant now) const;
  void UpdateDemand(base::Instant now);
  /// Requests of the own domain, in micro-requests a second.
  std::int64_t Demand() const { return this->demand_rate; }

  // limit_home_borrow.cc: borrowing from other domains.
  bool RequestFromOthers(std::uint32_t wanted, base::Instant now,
                         LimitActions& actions);
  bool RequestFrom(const base::FailureDomain& domain, const LimitPeer& lender,
                   std::uint32_t wanted, base::Instant now,
                   LimitActions& actions);
  LoanReport EmptyReport() const;
  std::optional<LimitPeer> LenderIn(const base::FailureDomain& domain) const;
  void ReturnUnneeded(base::Instant now, LimitActions& actions);
  void RenewPool(base::Instant now, LimitActions& actions);
  bool IsPoolHome(base::Instant now) const;
  std::size_t PoolRank(const base::FailureDomain& domain) const;

  // limit_home_row.cc: the share row.
  void ReadRow(base::Instant now, LimitActions& actions);
  void OnRowRead(const base::Outcome<base::ScanReply>& reply, base::Instant now,
                 LimitActions& actions);
  void Claim(base::Instant now, LimitActions& actions);
  void OnClaimed(ShareRow row, bool had_home, base::Instant now,
                 LimitActions& actions);
  void ReconcileRow(base::Instant now, LimitActions& actions);
  void MoveShareTowardsDemand(base::Instant now, LimitActions& actions);
  bool WriteRow(ShareRow next, base::Instant now, LimitActions& actions);
  void FillUnusedShare(base::Instant now, LimitActions& actions);
  void HandleDeferredReports(base::Instant now, LimitActions& actions);
  void NotifyOtherHomes(LimitActions& actions) const;

  HomeContext& context;
  LimitKey key;
  base::Revision revision = 0;
  std::optional<Limit> limit;

  /// Whether the share row names this VM as home.
  bool claimed = false;
  bool read_pending = false;
  bool write_pending = false;
  base::Instant can_lend_from{};
  std::optional<ShareRow> cached_row;
  std::uint64_t row_version = 0;
  /// When the row was last written, or when its last read started.
  base::Instant row_read_at{};
  /// The row whose write is in progress. Its share of the own domain, if lower
  /// than in the cached row, already applies.
  std::optional<ShareRow> pending_row;
  base::Instant limit_changed_at{};
  base::Instant share_moved_at{};

  LoanLedger loan_ledger;
  TokenBucket bucket;
  /// By lender.
  std::map<base::VmId, InboundLoan> inbound_loans;
  /// Homes of other domains as reported by VMs there.
  std::map<base::FailureDomain, LimitPeer> home_hints;
  /// Last reported demand of other domains.
  std::map<base::FailureDomain, DomainDemand> domain_demands;
  /// Reports received before the row was read for the first time.
  std::map<Borrower, DeferredReport> deferred_reports;
  /// When the last report with requests behind it was received.
  base::Instant last_demand_at{};
  /// Micro-requests that VMs of the domain used or were refused since the
  /// demand was last updated.
  std::int64_t new_demand = 0;
  base::Instant demand_updated_at{};
  /// Micro-requests a second.
  std::int64_t demand_rate = 0;
  /// Whether more is lent than the limit now allows.
  bool over_lent = false;
  base::Instant wake_at = base::kNever;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_LIMIT_HOME_H_
