#ifndef GYPSUMTRACK_POLICY_LIMIT_SLICES_H_
#define GYPSUMTRACK_POLICY_LIMIT_SLICES_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "gypsumtrack/policy/limit_loan.h"

/// A VM's tokens of one limit: borrowed from the limit's home in the own
/// domain, or from homes of other domains while that one doesn't answer.
namespace gypsumtrack::policy {

/// Whom a VM may borrow from.
struct LimitLenders {
  /// Home in the own domain, if one is known.
  std::optional<LimitPeer> home;
  /// One VM of each other domain.
  std::vector<LimitPeer> others;
};

struct LimitRequest {
  std::uint64_t id = 0;
  base::Instant deadline;
};

/// Not thread-safe, but for the slices that it hands out.
class LimitSlices {
 public:
  LimitSlices(const LimitSettings& settings, LimitKey key);

  // Commands.

  /// Admits, refuses, or keeps the request until tokens come or its deadline
  /// passes.
  LimitDecision Admit(const LimitRequest& request, const LimitLenders& lenders,
                      base::Instant now, LimitActions& actions);
  void OnGrant(const LimitPeer& from, const LoanGrant& grant, base::Instant now,
               LimitActions& actions);
  /// Gives back tokens that no request waits for.
  void OnRecall(const LimitPeer& from, base::Instant now,
                LimitActions& actions);
  /// The own domain's home can't lend at the moment.
  void OnHomeNotReady(base::Instant now);
  void Tick(const LimitLenders& lenders, base::Instant now,
            LimitActions& actions);
  /// Counts requests that a thread admitted from a slice by itself.
  void CountAdmitted(std::uint32_t requests);

  // Queries.

  /// Tokens for threads to take; stays the same object while its lender does.
  std::shared_ptr<TokenSlice> Slice(const base::VmId& lender) const;
  std::uint32_t TokensHeld(base::Instant now) const;
  bool Idle(base::Instant now) const;
  base::Instant NextWake() const;
  base::Instant retry_at() const { return this->refuse_until; }  // NOLINT
  std::int64_t demand() const { return this->rate_seen; }        // NOLINT

 private:
  struct Source {
    LimitPeer peer;
    Loan loan;
    std::shared_ptr<TokenSlice> slice = std::make_shared<TokenSlice>();
    std::uint32_t known_tokens = 0;
    bool report_due = false;
    /// Requests that the last report named.
    std::uint32_t asked = 0;
    base::Instant refused_until{};
  };

  Source& SourceOf(const LimitPeer& peer);
  bool TakeToken(base::Instant now);
  void ServeWaiting(base::Instant now, LimitActions& actions);
  void RefuseWaiting(base::Instant retry, LimitActions& actions);
  void CountSpent(Source& source);
  void Settle(Source& source, base::Instant now);
  void ReportTo(Source& source, bool give_back, base::Instant now,
                LimitActions& actions);
  void Ask(const LimitLenders& lenders, base::Instant now,
           LimitActions& actions);
  void AskSource(const LimitPeer& peer, base::Instant now,
                 LimitActions& actions);
  void Maintain(Source& source, bool is_home, base::Instant now,
                LimitActions& actions);
  void MeasureDemand(base::Instant now);
  std::uint32_t StockWanted() const;

  LimitSettings settings;
  LimitKey key;
  std::map<base::VmId, Source> sources;
  std::deque<LimitRequest> waiting;
  base::Instant refuse_until{};
  base::Instant home_silent_until{};
  base::Instant active_at{};
  std::uint32_t seen = 0;
  base::Instant measured_at{};
  /// Micro-requests a second.
  std::int64_t rate_seen = 0;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_LIMIT_SLICES_H_
