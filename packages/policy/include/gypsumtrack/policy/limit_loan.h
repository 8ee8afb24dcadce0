#ifndef GYPSUMTRACK_POLICY_LIMIT_LOAN_H_
#define GYPSUMTRACK_POLICY_LIMIT_LOAN_H_

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "gypsumtrack/policy/limit_messages.h"

/// Loans of rate, capacity and tokens between daemons. Loans expire on their
/// own. The lender counts a loan as lent for as long as the borrower could
/// still use it, whatever the network loses, delays or duplicates.
namespace gypsumtrack::policy {

/// The borrower's side: what one lender has lent it. Not thread-safe.
class Loan {
 public:
  /// What an accepted grant adds to the loan.
  struct AcceptedGrant {
    Quota added;
    /// In micro-requests.
    std::int64_t tokens = 0;
    /// New expiry of the whole loan.
    base::Instant expires;
  };

  // Commands.

  /// Returns the report to send: `request` with its number and the state of
  /// this loan filled in.
  LoanReport MakeReport(LoanReport request, base::Instant now);
  /// Extends the loan by a grant. The result adds nothing if the grant is a
  /// duplicate. Returns none if the grant answers no recent report or has
  /// already expired.
  std::optional<AcceptedGrant> Accept(const LoanGrant& grant,
                                      base::Instant now);
  /// Drops the loan if it has expired; returns what was dropped.
  Quota Expire(base::Instant now);
  /// Returns `part` of the held quota, with `tokens` micro-requests of unspent
  /// tokens, to the lender. Preconditions: `part` isn't more than `held()`,
  /// `tokens` isn't more than the capacity of `part`.
  void Return(const Quota& part, std::int64_t tokens);
  /// Sets the held quota after spending. Precondition: `remaining` isn't more
  /// than `held()`.
  void SetHeld(const Quota& remaining);

  // Queries.

  /// What the borrower holds, unless it has expired.
  const Quota& held() const { return this->held_quota; }  // NOLINT
  /// When the whole loan expires.
  base::Instant expires() const { return this->expires_at; }  // NOLINT
  /// When the oldest unanswered report that needs a reply was sent.
  std::optional<base::Instant> UnansweredSince() const;
  /// When the last report was sent; the zero instant if none was.
  base::Instant reported_at() const { return this->last_report_at; }  // NOLINT

 private:
  struct SentReport {
    std::uint64_t number;
    base::Instant sent_at;
    bool needs_reply;
  };

  std::uint64_t last_number = 0;
  std::uint64_t last_answered = 0;
  std::uint64_t accepted_sequence = 0;
  std::deque<SentReport> sent_reports;
  Quota held_quota;
  std::int64_t returned_tokens = 0;
  base::Instant expires_at{};
  base::Instant last_report_at{};
};

/// Whether the lender must reply to the report. Thread-safe.
bool NeedsReply(const LoanReport& report);

/// Identifies a borrower. A VM may borrow in both roles.
struct Borrower {
  base::VmId vm;
  LoanRole role = LoanRole::kServe;

  auto operator<=>(const Borrower&) const = default;
};

/// The lender's side: what is lent, to whom and until when. Not thread-safe.
class LoanLedger {
 public:
  /// A grant that the borrower hasn't acknowledged.
  struct PendingGrant {
    std::uint64_t sequence = 0;
    Quota added;
    /// In micro-requests.
    std::int64_t tokens = 0;
  };
  /// The state of one borrower's loans.
  struct Entry {
    std::string address;
    std::uint64_t last_report_number = 0;
    std::uint64_t last_answered_report = 0;
    /// Lowest sequence that grants of this entry can have. Reports that
    /// acknowledge a lower one refer to an earlier, expired entry.
    std::uint64_t first_sequence = 0;
    /// What the borrower held at its last report.
    Quota held;
    /// Grants that may not have arrived yet, oldest first.
    std::vector<PendingGrant> pending;
    base::Instant expires{};
    base::Instant last_report_at{};
    base::Instant recalled_at{};
    /// Tokens returned so far, in micro-requests. Set by the first report that
    /// acknowledges a grant of this entry.
    std::optional<std::int64_t> returned_tokens;
    /// Waiting requests that no pending grant covers.
    std::uint32_t waiting = 0;
    /// Tokens that the borrower wants to hold ahead of requests.
    std::uint32_t prefetch = 0;
    /// Whether the borrower requests the lender's whole share.
    bool whole_share = false;
    /// In micro-requests a second.
    std::int64_t demand = 0;
  };

  /// Precondition: `first_sequence` is greater than every sequence that this
  /// VM has granted before.
  explicit LoanLedger(std::uint64_t first_sequence)
      : last_sequence(first_sequence) {}

  // Commands.

  /// Records a report. Returns the unspent tokens that the borrower returned,
  /// in micro-requests, or none if a newer report was received before.
  std::optional<std::int64_t> OnReport(const LimitPeer& from,
                                       const LoanReport& report,
                                       base::Instant now);
  /// Returns the message that lends `added` with `tokens` micro-requests of
  /// tokens. If the message is lost, so are the tokens. Precondition: the
  /// borrower has an entry.
  LoanGrant Grant(const Borrower& to, const LimitKey& key, const Quota& added,
                  std::int64_t tokens, base::Duration ttl, base::Instant now);
  /// Drops entries whose loans have certainly expired.
  void Expire(base::Instant now);
  /// Returns the borrower's entry, or null. Valid until the entry expires.
  Entry* Find(const Borrower& borrower);
  /// All borrowers that have reported and not expired.
  std::map<Borrower, Entry>& entries() { return this->by_borrower; }  // NOLINT

  // Queries.

  /// The most that all borrowers may hold.
  Quota Lent() const;
  /// The most that homes of other domains may hold.
  Quota LentToHomes() const;
  const std::map<Borrower, Entry>& entries() const {  // NOLINT
    return this->by_borrower;
  }

 private:
  std::map<Borrower, Entry> by_borrower;
  std::uint64_t last_sequence;
};

/// The most that an entry's borrower may hold. Thread-safe.
Quota Outstanding(const LoanLedger::Entry& entry);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_LIMIT_LOAN_H_
