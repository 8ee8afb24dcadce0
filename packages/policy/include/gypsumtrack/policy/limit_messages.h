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

/// Messages that daemons exchange about rate limits, the actions that limit
/// components return to their daemon, and the settings of both.
namespace gypsumtrack::policy {

/// Identifies one rule's rate and burst: the organisation and a digest of the
/// rule's identity.
using LimitKey = base::Name<struct LimitKeyTag>;

/// Returns the key of a rule's limit. Thread-safe.
LimitKey LimitKeyOf(const RuleIdentity& rule);

/// A rate limit in force.
struct Limit {
  Quota quota;
  IsolatedMode isolated = IsolatedMode::kServe;

  bool operator==(const Limit&) const = default;
};

/// Returns the limit that a rule sets. Thread-safe.
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

/// Borrower to lender: what the borrower holds and needs.
struct LoanReport {
  LimitKey key;
  LoanRole role = LoanRole::kServe;
  /// Increases with each report of this borrower.
  std::uint64_t number = 0;
  /// Sequence of the last grant that the borrower accepted.
  std::uint64_t acknowledged_sequence = 0;
  /// What the borrower still holds; spent capacity is returned to the lender.
  Quota held;
  /// Unspent tokens returned so far, in micro-requests.
  std::int64_t returned = 0;
  /// Requests that wait for a token.
  std::uint32_t waiting = 0;
  /// Tokens to hold ahead of requests.
  std::uint32_t prefetch = 0;
  /// Requests all that the lender has, rate included.
  bool whole_share = false;
  /// Recent requests, in micro-requests a second.
  std::int64_t demand = 0;

  bool operator==(const LoanReport&) const = default;
};

/// Lender to borrower, in reply to a report.
struct LoanGrant {
  LimitKey key;
  LoanRole role = LoanRole::kServe;
  /// Number of the report that this grant answers.
  std::uint64_t number = 0;
  /// Grants with equal sequences are retransmissions of the same grant.
  std::uint64_t sequence = 0;
  /// Rate and capacity added to the loan.
  Quota added;
  /// Tokens that come with the capacity, in micro-requests.
  std::int64_t tokens = 0;
  /// All loans from the lender to this borrower expire this long after the
  /// borrower sent the report that this grant answers.
  base::Duration ttl{};
  /// If positive, no more tokens are available for this long.
  base::Duration retry_after{};
  /// Recent requests of the lender's domain, in micro-requests a second.
  std::int64_t demand = 0;

  bool operator==(const LoanGrant&) const = default;
};

/// Lender to borrower: report now and return the tokens that no request waits
/// for.
struct LoanRecall {
  LimitKey key;
  LoanRole role = LoanRole::kServe;

  bool operator==(const LoanRecall&) const = default;
};

/// Names the VM that is home of a limit in the sender's domain. The VM's name
/// is empty if there is no home yet.
struct HomeHint {
  LimitKey key;
  base::VmId home;
  std::string address;

  bool operator==(const HomeHint&) const = default;
};

/// Reports that the limit's share row in the table has changed.
struct ShareRowChanged {
  LimitKey key;

  bool operator==(const ShareRowChanged&) const = default;
};

/// Requests a voter's promise not to consent to fencing the sender for one
/// vote period.
struct LeaseVoteRequest {
  std::uint64_t number = 0;

  bool operator==(const LeaseVoteRequest&) const = default;
};

/// Grants the vote requested by the request with this number.
struct LeaseVoteReply {
  std::uint64_t number = 0;

  bool operator==(const LeaseVoteReply&) const = default;
};

/// Requests a voter's consent to fencing an unresponsive VM.
struct FenceRequest {
  base::VmId target;

  bool operator==(const FenceRequest&) const = default;
};

/// Consents to fencing the target: the sender never votes for its lease again.
struct FenceConsent {
  base::VmId target;

  bool operator==(const FenceConsent&) const = default;
};

/// The wire format identifies a message by its position in this list.
using LimitMessage =
    std::variant<LoanReport, LoanGrant, LoanRecall, HomeHint, ShareRowChanged,
                 LeaseVoteRequest, LeaseVoteReply, FenceRequest, FenceConsent>;

/// A VM whose daemon exchanges limit messages, and that daemon's address.
struct LimitPeer {
  base::VmId vm;
  std::string address;

  auto operator<=>(const LimitPeer&) const = default;
};

/// A message to send.
struct OutgoingLimitMessage {
  LimitPeer to;
  LimitMessage message;
};

/// A table scan to run. Its result goes to `LimitNode::OnScanReply`.
struct LimitScan {
  std::uint64_t id = 0;
  base::TableScan scan;
};

/// A table commit to run. Its result goes to `LimitNode::OnCommitReply`.
struct LimitCommit {
  std::uint64_t id = 0;
  base::TableCommit commit;
};

/// Decision about one request under a limit.
enum class LimitDecision {
  kAdmitted,
  kWaiting,   ///< decided later, by a LimitResult
  kOverRate,  ///< refused: no tokens
  kIsolated,  ///< refused: the VM is isolated and the rule refuses then
  kNotReady,  ///< refused: the limit isn't known yet
};

inline constexpr auto kLimitDecisionNames = base::MakeEnumTable<LimitDecision>({
    {LimitDecision::kAdmitted, "admitted"},
    {LimitDecision::kWaiting, "waiting"},
    {LimitDecision::kOverRate, "over_rate"},
    {LimitDecision::kIsolated, "isolated"},
    {LimitDecision::kNotReady, "not_ready"},
});

/// Final decision about a request that had to wait.
struct LimitResult {
  std::uint64_t request_id = 0;
  LimitDecision decision = LimitDecision::kAdmitted;
  /// When a refused caller may retry.
  base::Instant retry_at{};
};

/// What the daemon must do after a command.
struct LimitActions {
  std::vector<OutgoingLimitMessage> messages;
  std::vector<LimitScan> scans;
  std::vector<LimitCommit> commits;
  std::vector<LimitResult> results;
};

/// Timeouts and thresholds of a daemon's limits.
struct LimitSettings {
  /// Lifetime of loans to VMs that serve requests.
  base::Duration serve_ttl = std::chrono::milliseconds(2000);
  /// Lifetime of loans to homes of other domains.
  base::Duration home_ttl = std::chrono::milliseconds(4000);
  /// Lifetime of loans of a home's whole share.
  base::Duration pool_ttl = std::chrono::milliseconds(7000);
  base::Duration pool_renewal_interval = std::chrono::milliseconds(1200);
  /// Minimum time between two reports of a VM about one limit.
  base::Duration min_report_interval = std::chrono::milliseconds(2);
  /// An unanswered report is sent again after this time.
  base::Duration report_retry_interval = std::chrono::milliseconds(30);
  /// Minimum time between repeated requests to a lender in another domain, and
  /// before a refused caller should retry.
  base::Duration cross_domain_interval = std::chrono::milliseconds(50);
  /// How long a voter's vote for a lease is valid.
  base::Duration lease_vote_period = std::chrono::milliseconds(3000);
  /// How often a lease holder requests votes.
  base::Duration lease_vote_interval = std::chrono::milliseconds(900);
  /// A VM that couldn't reach the table for this long stops being home, even
  /// if its voters still vote for it.
  base::Duration max_table_outage = std::chrono::hours(1);
  /// Sustained rate of table writes by this VM.
  double writes_per_second = 2;
  /// Table writes that this VM may make at once.
  double writes_burst = 20;
  /// Limits below this rate, in micro-requests a second, are pooled at one
  /// home. Faster limits keep a share in each domain.
  std::int64_t pooling_rate_threshold = 10 * kMicroRequestsPerRequest;
  /// Share rows are read again after this time.
  base::Duration row_refresh_interval = std::chrono::seconds(60);
  /// Minimum time between two moves of a share between domains.
  base::Duration share_move_interval = std::chrono::seconds(20);

  // Tests turn these off to show what each mechanism prevents.

  /// Borrowers stop spending tokens of expired loans.
  bool enforce_expiry = true;
  /// A new home waits until the loans of its predecessor have expired.
  bool wait_after_takeover = true;
  /// An unused limit starts with its whole burst.
  bool fill_unused_share = true;
  /// A lease needs votes or a recent rewrite of its row.
  bool require_lease_votes = true;
  /// A domain stops using quota before it writes the row that moves it to
  /// another domain.
  bool reduce_share_before_write = true;
};

/// Extends a duration by 3%, so that a lender waits longer than its borrower
/// even if their clocks run fast or slow by 1% each (1.01 / 0.99 < 1.03).
/// Thread-safe.
base::Duration WithClockSlack(base::Duration duration);

/// Reduces a rate so that it holds in real time even if the local clock runs
/// fast by 1%. Thread-safe.
std::int64_t WithClockSlack(std::int64_t rate);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_LIMIT_MESSAGES_H_
