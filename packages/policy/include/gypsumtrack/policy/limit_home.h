#ifndef GYPSUMTRACK_POLICY_LIMIT_HOME_H_
#define GYPSUMTRACK_POLICY_LIMIT_HOME_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gypsumtrack/policy/limit_lease.h"
#include "gypsumtrack/policy/limit_loan.h"
#include "gypsumtrack/policy/limit_share.h"

/// The home of a limit in a failure domain: the one VM that lends out the
/// domain's share. It holds the share's refill and the tokens that no VM has
/// borrowed, borrows from the homes of other domains when it runs short, and
/// changes the share row.
namespace gypsumtrack::policy {

/// What all homes on a VM share. Outlives them.
struct HomeContext {
  LimitSettings settings;
  LimitPeer self;
  base::FailureDomain domain;
  TenureLease& lease;
  LimitTable& table;
  /// Live VMs by domain, the own one with this VM.
  std::map<base::FailureDomain, std::vector<LimitPeer>> live;
};

/// The peer that is to be home of the key: first by rendezvous hash.
/// Thread-safe.
std::optional<LimitPeer> RendezvousHome(const LimitKey& key,
                                        const std::vector<LimitPeer>& peers);

/// Not thread-safe.
class LimitHome {
 public:
  LimitHome(HomeContext& context, LimitKey key, base::Instant now);
  LimitHome(const LimitHome&) = delete;
  LimitHome& operator=(const LimitHome&) = delete;

  // Commands.

  void OnLimit(base::Revision revision, const Limit& limit, base::Instant now,
               LimitActions& actions);
  void OnReport(const LimitPeer& from, const LoanReport& report,
                base::Instant now, LimitActions& actions);
  void OnGrant(const LimitPeer& from, const LoanGrant& grant, base::Instant now,
               LimitActions& actions);
  void OnRecall(const LimitPeer& from, base::Instant now,
                LimitActions& actions);
  /// `from` says who is home in its domain.
  void OnHomeHint(const LimitPeer& from, const HomeHint& hint,
                  base::Instant now);
  void OnShareRowChanged(base::Instant now, LimitActions& actions);
  void Tick(base::Instant now, LimitActions& actions);

  // Queries.

  /// Whether this VM may lend the domain's share out now.
  bool Usable(base::Instant now) const;
  /// Whether it holds the share, usable yet or not.
  bool IsHome() const { return this->claimed; }
  /// The domain's home by the row as last read.
  std::optional<LimitPeer> KnownHome() const;
  const std::optional<ShareRow>& row() const { return this->cached; }  // NOLINT
  base::Instant read_at() const { return this->row_read; }             // NOLINT
  const LoanLedger& ledger() const { return this->loans; }             // NOLINT
  /// Tokens that no one has borrowed, in micro-requests.
  std::int64_t TokensLeft(base::Instant now) const;
  Quota OwnShare() const;
  Quota Borrowed() const;
  bool Idle(base::Instant now) const;
  /// When `Tick` may have something to do before its usual time.
  base::Instant wake() const { return this->wake_at; }  // NOLINT

 private:
  struct InLoan {
    LimitPeer lender;
    base::FailureDomain domain;
    Loan loan;
    base::Instant refused_until{};
    std::uint32_t asked = 0;
    bool pool = false;
  };
  struct EarlyReport {
    LimitPeer from;
    LoanReport report;
  };

  // limit_home.cc: lending.
  void Rebalance(base::Instant now);
  Quota UsableInLoans(base::Instant now) const;
  base::Duration Ttl(LoanRole role, bool pool, const Quota& added,
                     base::Instant now) const;
  void Serve(base::Instant now, LimitActions& actions);
  std::uint32_t ServeWaiting(base::Instant now, LimitActions& actions);
  void ServeStocks(base::Instant now, LimitActions& actions);
  void ServePool(const Borrower& borrower, base::Instant now,
                 LimitActions& actions);
  void Send(const Borrower& to, const Quota& added, std::int64_t tokens,
            base::Duration retry_after, base::Instant now,
            LimitActions& actions);
  Quota LendableToHomes(base::Instant now) const;
  bool RecallStocks(base::Instant now, LimitActions& actions);
  void RefuseWaiting(base::Instant now, LimitActions& actions);
  base::Duration RetryAfter(base::Instant now) const;
  void MeasureDemand(base::Instant now);
  /// Requests of the own domain, in micro-requests a second.
  std::int64_t Demand() const { return this->demand; }

  // limit_home_borrow.cc: borrowing from other domains.
  bool AskOthers(std::uint32_t wanted, base::Instant now,
                 LimitActions& actions);
  bool AskOther(const base::FailureDomain& domain, const LimitPeer& lender,
                std::uint32_t wanted, base::Instant now, LimitActions& actions);
  LoanReport Wants() const;
  std::optional<LimitPeer> LenderIn(const base::FailureDomain& domain) const;
  void ReturnIdle(base::Instant now, LimitActions& actions);
  void RenewPool(base::Instant now, LimitActions& actions);
  bool IsPoolMain(base::Instant now) const;
  std::size_t Rank(const base::FailureDomain& domain) const;

  // limit_home_row.cc: the share row.
  void ReadRow(base::Instant now, LimitActions& actions);
  void OnRowRead(const base::Outcome<base::ScanReply>& reply, base::Instant now,
                 LimitActions& actions);
  void Claim(base::Instant now, LimitActions& actions);
  void OnClaimed(ShareRow written, bool had_home, base::Instant now,
                 LimitActions& actions);
  void Adjust(base::Instant now, LimitActions& actions);
  void MoveTowardsDemand(base::Instant now, LimitActions& actions);
  bool Write(ShareRow next, base::Instant now, LimitActions& actions);
  void FillUnspent(base::Instant now, LimitActions& actions);
  void AnswerEarly(base::Instant now, LimitActions& actions);
  void TellOtherHomes(LimitActions& actions) const;

  HomeContext& context;
  LimitKey key;
  base::Revision revision = 0;
  std::optional<Limit> limit;

  bool claimed = false;
  bool reading = false;
  bool writing = false;
  base::Instant usable_from{};
  std::optional<ShareRow> cached;
  std::uint64_t row_version = 0;
  base::Instant row_read{};
  /// The row being written, whose own share may already be in force.
  std::optional<ShareRow> written;
  base::Instant limit_changed_at{};
  base::Instant moved_at{};

  LoanLedger loans;
  TokenBucket bucket;
  std::map<base::VmId, InLoan> in_loans;
  /// Homes of other domains as told by VMs there.
  std::map<base::FailureDomain, LimitPeer> hints;
  struct DomainNews {
    std::int64_t demand = 0;
    base::Instant heard{};
  };
  std::map<base::FailureDomain, DomainNews> news;
  /// Reports that came before the row was read for the first time.
  std::map<Borrower, EarlyReport> early;
  base::Instant active_at{};
  /// Micro-requests that VMs of the domain used or were refused.
  std::int64_t asked = 0;
  base::Instant measured_at{};
  std::int64_t demand = 0;
  bool overdrawn = false;
  base::Instant wake_at = base::kNever;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_LIMIT_HOME_H_
