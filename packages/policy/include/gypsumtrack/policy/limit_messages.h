#ifndef GYPSUMTRACK_POLICY_LIMIT_MESSAGES_H_
#define GYPSUMTRACK_POLICY_LIMIT_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/table.h"
#include "gypsumtrack/policy/rule.h"
#include "gypsumtrack/policy/token_bucket.h"

/// What daemons say to each other about limits, and what a decision about
/// limits asks its daemon to do.
namespace gypsumtrack::policy {

/// One rule's rate and burst: the organisation and a digest of the rule's
/// identity.
using LimitKey = base::Name<struct LimitKeyTag>;

/// Thread-safe.
LimitKey LimitKeyOf(const RuleIdentity& rule);

/// A limit in force.
struct Limit {
  Quota quota;
  IsolatedMode isolated = IsolatedMode::kServe;

  bool operator==(const Limit&) const = default;
};

/// Thread-safe.
Limit LimitOf(const Rule& rule);

/// What a borrower does with a loan.
enum class LoanRole {
  kServe,  ///< a VM spends the tokens on its own requests
  kHome,   ///< the home of another domain lends them on
};

inline constexpr auto kLoanRoleNames = base::MakeEnumTable<LoanRole>({
    {LoanRole::kServe, "serve"},
    {LoanRole::kHome, "home"},
});

/// Borrower to lender: what it holds and wants.
struct LoanReport {
  LimitKey key;
  LoanRole role = LoanRole::kServe;
  /// Rises with each report of this borrower.
  std::uint64_t number = 0;
  /// Sequence of the last grant that was taken.
  std::uint64_t acknowledged_sequence = 0;
  /// What the borrower still holds; capacity that it spent is given back.
  Quota held;
  /// Unspent tokens given back so far, in micro-requests.
  std::int64_t returned = 0;
  /// Requests that wait for a token.
  std::uint32_t waiting = 0;
  /// Tokens that it would like to hold ahead of requests.
  std::uint32_t prefetch = 0;
  /// Asks for all that the lender has, rate included.
  bool whole_share = false;
  /// Recent requests, in micro-requests a second.
  std::int64_t demand = 0;

  bool operator==(const LoanReport&) const = default;
};

/// Lender to borrower, in answer to a report.
struct LoanGrant {
  LimitKey key;
  LoanRole role = LoanRole::kServe;
  /// Number of the report answered.
  std::uint64_t number = 0;
  /// Equal sequences are the same grant, sent again.
  std::uint64_t sequence = 0;
  Quota added;
  /// Tokens that come with the capacity, in micro-requests.
  std::int64_t tokens = 0;
  /// All of the lender's loans to this borrower lapse so long after the
  /// borrower sent the report answered.
  base::Duration ttl{};
  /// If above zero: no more tokens for so long.
  base::Duration retry_after{};
  /// Recent requests of the lender's domain, in micro-requests a second.
  std::int64_t demand = 0;

  bool operator==(const LoanGrant&) const = default;
};

/// Lender to borrower: report now and give back what isn't needed.
struct LoanRecall {
  LimitKey key;
  LoanRole role = LoanRole::kServe;

  bool operator==(const LoanRecall&) const = default;
};

/// Which VM is home of a limit in the sender's domain; an empty name if none
/// is yet.
struct HomeHint {
  LimitKey key;
  base::VmId home;
  std::string address;

  bool operator==(const HomeHint&) const = default;
};

/// The limit's row in the table has changed.
struct ShareRowChanged {
  LimitKey key;

  bool operator==(const ShareRowChanged&) const = default;
};

/// Asks a voter not to consent to a fence of the sender for one vouch period.
struct LeaseVoteRequest {
  std::uint64_t number = 0;

  bool operator==(const LeaseVoteRequest&) const = default;
};

struct LeaseVoteReply {
  std::uint64_t number = 0;

  bool operator==(const LeaseVoteReply&) const = default;
};

/// Asks a voter to consent to the fence of a silent VM.
struct FenceRequest {
  base::VmId target;

  bool operator==(const FenceRequest&) const = default;
};

/// The sender will never vouch for the target again.
struct FenceConsent {
  base::VmId target;

  bool operator==(const FenceConsent&) const = default;
};

using LimitMessage =
    std::variant<LoanReport, LoanGrant, LoanRecall, HomeHint, ShareRowChanged,
                 LeaseVoteRequest, LeaseVoteReply, FenceRequest, FenceConsent>;

/// A daemon that is spoken with.
struct LimitPeer {
  base::VmId vm;
  std::string address;

  auto operator<=>(const LimitPeer&) const = default;
};

struct OutgoingLimitMessage {
  LimitPeer to;
  LimitMessage message;
};

struct LimitScan {
  std::uint64_t id = 0;
  base::TableScan scan;
};

struct LimitCommit {
  std::uint64_t id = 0;
  base::TableCommit commit;
};

enum class LimitDecision {
  kAdmitted,
  kWaiting,  ///< answered later by a LimitResult
  kOverRate,
  kIsolated,
  kNotReady,
};

inline constexpr auto kLimitDecisionNames = base::MakeEnumTable<LimitDecision>({
    {LimitDecision::kAdmitted, "admitted"},
    {LimitDecision::kWaiting, "waiting"},
    {LimitDecision::kOverRate, "over_rate"},
    {LimitDecision::kIsolated, "isolated"},
    {LimitDecision::kNotReady, "not_ready"},
});

struct LimitResult {
  std::uint64_t request_id = 0;
  LimitDecision decision = LimitDecision::kAdmitted;
  /// When a refused caller may come back.
  base::Instant retry_at{};
};

/// What the daemon is to do after a command.
struct LimitActions {
  std::vector<OutgoingLimitMessage> messages;
  std::vector<LimitScan> scans;
  std::vector<LimitCommit> commits;
  std::vector<LimitResult> results;
};

/// Times and thresholds of the limits of a daemon.
struct LimitSettings {
  /// Loans to VMs, to homes, and of a home's whole share.
  base::Duration serve_ttl = std::chrono::milliseconds(2000);
  base::Duration home_ttl = std::chrono::milliseconds(4000);
  base::Duration pool_ttl = std::chrono::milliseconds(7000);
  base::Duration pool_renewal_interval = std::chrono::milliseconds(1200);
  /// Reports of a VM about one limit are at least so far apart.
  base::Duration report_gap = std::chrono::milliseconds(2);
  /// An unanswered report is sent again.
  base::Duration report_retry = std::chrono::milliseconds(30);
  base::Duration foreign_gap = std::chrono::milliseconds(50);
  /// A promise of a voter.
  base::Duration lease_vote_period = std::chrono::milliseconds(3000);
  base::Duration lease_vote_interval = std::chrono::milliseconds(900);
  /// A VM that hasn't reached the table for so long isn't home any more, even
  /// if its voters vouch.
  base::Duration table_limit = std::chrono::hours(1);
  /// Table writes of this VM a second, and at once.
  double writes_per_second = 2;
  double writes_burst = 20;
  /// Faster limits keep their share in each domain; slower ones are pooled.
  std::int64_t pooled_rate = 10 * kMicroRequestsPerRequest;
  /// Share rows are read again after so long.
  base::Duration row_refresh_interval = std::chrono::seconds(60);
  /// A share is moved no more often than this.
  base::Duration share_move_interval = std::chrono::seconds(20);
  /// Switches for tests that show what a mechanism is for.
  bool enforce_expiry = true;
  bool wait_after_takeover = true;
  /// A limit that nobody has used yet starts with its whole burst.
  bool fill_unused_share = true;
  bool require_lease_votes = true;
  bool reduce_share_before_write = true;
};

/// Slack for clocks that run fast or slow by 1%: a lender waits this much
/// longer than the borrower. (1.01 / 0.99 is below 1.03.)
base::Duration WithClockSlack(base::Duration duration);

/// A rate counted by a clock that may run fast by 1%.
std::int64_t WithClockSlack(std::int64_t rate);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_LIMIT_MESSAGES_H_
