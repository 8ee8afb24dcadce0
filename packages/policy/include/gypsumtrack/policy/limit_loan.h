#ifndef GYPSUMTRACK_POLICY_LIMIT_LOAN_H_
#define GYPSUMTRACK_POLICY_LIMIT_LOAN_H_

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "gypsumtrack/policy/limit_messages.h"

/// Loans of rate, capacity and tokens between daemons, which lapse by
/// themselves. The lender counts a loan as out for as long as the borrower
/// could still use it, whatever the network does.
namespace gypsumtrack::policy {

/// The borrower's side of what one lender has lent it. Not thread-safe.
class Loan {
 public:
  /// What a grant brought.
  struct Taken {
    Quota added;
    std::int64_t tokens = 0;
    base::Instant expires;
  };

  // Commands.

  /// Fills in what the borrower holds; `wants` has the rest.
  LoanReport Report(LoanReport wants, base::Instant now);
  /// None if the grant was taken before, answers no recent report, or lapsed on
  /// its way.
  std::optional<Taken> Take(const LoanGrant& grant, base::Instant now);
  /// Forgets what has lapsed; returns it.
  Quota Expire(base::Instant now);
  /// Gives back part of what is held. Precondition: no more than that, and no
  /// more tokens than capacity.
  void Return(const Quota& part, std::int64_t tokens);
  /// Sets what is held to less, after spending. Precondition: not more.
  void Keep(const Quota& rest);

  // Queries.

  const Quota& held() const { return this->holding; }     // NOLINT
  base::Instant expires() const { return this->lapses; }  // NOLINT
  /// When the first report left that asks for an answer and has none.
  std::optional<base::Instant> UnansweredSince() const;
  base::Instant reported_at() const { return this->last_report; }  // NOLINT

 private:
  struct Sent {
    std::uint64_t number;
    base::Instant at;
    bool asks;
  };

  std::uint64_t number = 0;
  std::uint64_t answered = 0;
  std::uint64_t taken = 0;
  std::deque<Sent> sent;
  Quota holding;
  std::int64_t returned = 0;
  base::Instant lapses{};
  base::Instant last_report{};
};

/// Whether the lender is to answer at all. Thread-safe.
bool AsksForAnswer(const LoanReport& report);

/// Who borrows.
struct Borrower {
  base::VmId vm;
  LoanRole role = LoanRole::kServe;

  auto operator<=>(const Borrower&) const = default;
};

/// The lender's side: what is out, with whom, until when. Not thread-safe.
class LoanLedger {
 public:
  struct PendingGrant {
    std::uint64_t sequence = 0;
    Quota added;
    std::int64_t tokens = 0;
  };
  struct Entry {
    std::string address;
    std::uint64_t last_number = 0;
    std::uint64_t answered = 0;
    /// Grants of this entry's life have this sequence or a higher one.
    std::uint64_t first_sequence = 0;
    Quota held;
    /// Grants that may not have arrived yet, oldest first.
    std::vector<PendingGrant> pending;
    base::Instant expires{};
    base::Instant heard{};
    base::Instant recalled{};
    /// Set by the first report that acknowledges a grant of this life.
    std::optional<std::int64_t> returned;
    /// Requests that no grant on its way covers.
    std::uint32_t waiting = 0;
    std::uint32_t stock = 0;
    bool pool = false;
    std::int64_t demand = 0;
  };

  /// `first_sequence` is above every sequence that this VM has granted before.
  explicit LoanLedger(std::uint64_t first_sequence)
      : sequence(first_sequence) {}

  // Commands.

  /// Takes in a report. Returns the unused tokens that came back, or none if
  /// the report is old.
  std::optional<std::int64_t> OnReport(const LimitPeer& from,
                                       const LoanReport& report,
                                       base::Instant now);
  /// The message that lends `added` with `tokens`; tokens are lost if it is.
  /// Precondition: the borrower has an entry.
  LoanGrant Grant(const Borrower& to, const LimitKey& key, const Quota& added,
                  std::int64_t tokens, base::Duration ttl, base::Instant now);
  /// Drops entries whose loans have lapsed for certain.
  void Expire(base::Instant now);
  Entry* Find(const Borrower& borrower);
  std::map<Borrower, Entry>& entries() { return this->all; }  // NOLINT

  // Queries.

  /// All that may be out.
  Quota Out() const;
  /// What may be out with homes of other domains.
  Quota OutToHomes() const;
  const std::map<Borrower, Entry>& entries() const {  // NOLINT
    return this->all;
  }

 private:
  std::map<Borrower, Entry> all;
  std::uint64_t sequence;
};

/// What an entry's borrower may hold at most.
Quota Outstanding(const LoanLedger::Entry& entry);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_LIMIT_LOAN_H_
