#ifndef GYPSUMTRACK_POLICY_LIMIT_SLICES_H_
#define GYPSUMTRACK_POLICY_LIMIT_SLICES_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "gypsumtrack/policy/limit_loan.h"

/// A VM's tokens of one limit. The VM borrows them from the limit's home in its
/// own domain, or from homes of other domains while its own is unresponsive.
namespace gypsumtrack::policy {

/// The VMs that a VM may borrow from.
struct LimitLenders {
  /// The home in the own domain, if one is known.
  std::optional<LimitPeer> home;
  /// One VM of each other domain.
  std::vector<LimitPeer> others;
};

/// A request to admit.
struct LimitRequest {
  std::uint64_t id = 0;
  /// The request is refused if no token has arrived by then.
  base::Instant deadline;
};

/// Admits requests under one limit with borrowed tokens. Not thread-safe,
/// except for the slices that `Slice` returns.
class LimitSlices {
 public:
  LimitSlices(const LimitSettings& settings, LimitKey key);

  // Commands.

  /// Admits or refuses the request, or queues it until a token arrives or its
  /// deadline passes.
  LimitDecision Admit(const LimitRequest& request, const LimitLenders& lenders,
                      base::Instant now, LimitActions& actions);
  /// Adds borrowed tokens and admits waiting requests, or refuses them if no
  /// lender has tokens.
  void OnGrant(const LimitPeer& from, const LoanGrant& grant, base::Instant now,
               LimitActions& actions);
  /// Returns the tokens borrowed from `from`.
  void OnRecall(const LimitPeer& from, base::Instant now,
                LimitActions& actions);
  /// The own domain's home can't lend now: borrows from other domains for a
  /// while.
  void OnHomeNotReady(base::Instant now);
  /// Refuses requests whose deadline has passed, requests tokens and renews
  /// loans.
  void Tick(const LimitLenders& lenders, base::Instant now,
            LimitActions& actions);
  /// Adds requests that threads admitted from a slice to the demand.
  void CountAdmitted(std::uint32_t requests);

  // Queries.

  /// Tokens for threads to take, or null before anything was requested from
  /// the lender. The object stays the same until the loan has been idle.
  std::shared_ptr<TokenSlice> Slice(const base::VmId& lender) const;
  /// Unexpired tokens of all lenders.
  std::uint32_t TokensHeld(base::Instant now) const;
  /// Whether this object may be dropped.
  bool Idle(base::Instant now) const;
  /// When `Tick` is due; kNever if nothing is.
  base::Instant NextWake() const;
  /// When a refused caller may retry; may be past.
  base::Instant retry_at() const { return this->refuse_until; }  // NOLINT
  /// Recent requests, in micro-requests a second.
  std::int64_t demand() const { return this->demand_rate; }  // NOLINT

 private:
  /// The loan from one lender.
  struct Source {
    LimitPeer peer;
    Loan loan;
    std::shared_ptr<TokenSlice> slice = std::make_shared<TokenSlice>();
    /// Tokens in the slice when it was last checked.
    std::uint32_t known_tokens = 0;
    bool report_due = false;
    /// Waiting requests in the last report.
    std::uint32_t reported_waiting = 0;
    base::Instant refused_until{};
  };

  Source& GetOrCreateSource(const LimitPeer& peer);
  bool TakeToken(base::Instant now);
  void AdmitWaiting(base::Instant now, LimitActions& actions);
  void RefuseWaiting(base::Instant retry_at, LimitActions& actions);
  void DetectSpentTokens(Source& source);
  void SyncLoan(Source& source, base::Instant now);
  void SendReport(Source& source, bool return_all, base::Instant now,
                  LimitActions& actions);
  void RequestTokens(const LimitLenders& lenders, base::Instant now,
                     LimitActions& actions);
  void RequestFrom(const LimitPeer& peer, base::Instant now,
                   LimitActions& actions);
  void MaintainLoan(Source& source, bool is_home, base::Instant now,
                    LimitActions& actions);
  void UpdateDemand(base::Instant now);
  std::uint32_t PrefetchTarget() const;

  LimitSettings settings;
  LimitKey key;
  std::map<base::VmId, Source> sources;
  std::deque<LimitRequest> waiting;
  base::Instant refuse_until{};
  base::Instant home_unavailable_until{};
  base::Instant last_request_at{};
  /// Requests since the demand was last updated.
  std::uint32_t new_requests = 0;
  base::Instant demand_updated_at{};
  /// Micro-requests a second.
  std::int64_t demand_rate = 0;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_LIMIT_SLICES_H_
