#include "gypsumtrack/policy/limit_loan.h"

#include <algorithm>

namespace gypsumtrack::policy {
namespace {

/// Grants that answer older reports are ignored.
constexpr std::size_t kMaxTrackedReports = 32;
/// An entry without a loan lives this long after a report, for its waiting
/// requests and its prefetch.
constexpr auto kMinEntryLifetime = std::chrono::milliseconds(500);

}  // namespace

bool NeedsReply(const LoanReport& report) {
  return report.waiting > 0 || report.prefetch > 0 || report.whole_share ||
         !IsZero(report.held);
}

LoanReport Loan::MakeReport(LoanReport report, base::Instant now) {
  report.number = ++this->last_number;
  report.acknowledged_sequence = this->accepted_sequence;
  report.held = this->held_quota;
  report.returned = this->returned_tokens;
  this->sent_reports.push_back({this->last_number, now, NeedsReply(report)});
  if (this->sent_reports.size() > kMaxTrackedReports) {
    this->sent_reports.pop_front();
  }
  this->last_report_at = now;
  return report;
}

std::optional<Loan::AcceptedGrant> Loan::Accept(const LoanGrant& grant,
                                                base::Instant now) {
  const auto answered_report = std::find_if(
      this->sent_reports.begin(), this->sent_reports.end(),
      [&](const SentReport& report) { return report.number == grant.number; });
  if (answered_report == this->sent_reports.end()) return std::nullopt;
  const auto expires = answered_report->sent_at + grant.ttl;
  if (now >= expires) return std::nullopt;
  this->last_answered = std::max(this->last_answered, grant.number);
  this->Expire(now);
  this->expires_at = std::max(this->expires_at, expires);
  AcceptedGrant result{{}, 0, this->expires_at};
  if (grant.sequence <= this->accepted_sequence) return result;
  this->accepted_sequence = grant.sequence;
  this->held_quota += grant.added;
  result.added = grant.added;
  result.tokens = grant.tokens;
  return result;
}

Quota Loan::Expire(base::Instant now) {
  if (now < this->expires_at) return {};
  const auto expired = this->held_quota;
  this->held_quota = {};
  return expired;
}

void Loan::Return(const Quota& part, std::int64_t tokens) {
  this->held_quota -= part;
  this->returned_tokens += tokens;
}

void Loan::SetHeld(const Quota& remaining) { this->held_quota = remaining; }

std::optional<base::Instant> Loan::UnansweredSince() const {
  const auto first = std::find_if(
      this->sent_reports.begin(), this->sent_reports.end(),
      [&](const SentReport& report) {
        return report.needs_reply && report.number > this->last_answered;
      });
  if (first == this->sent_reports.end()) return std::nullopt;
  return first->sent_at;
}

Quota Outstanding(const LoanLedger::Entry& entry) {
  auto sum = entry.held;
  for (const auto& grant : entry.pending) sum += grant.added;
  return sum;
}

std::optional<std::int64_t> LoanLedger::OnReport(const LimitPeer& from,
                                                 const LoanReport& report,
                                                 base::Instant now) {
  auto [found, is_new] =
      this->by_borrower.try_emplace(Borrower{from.vm, report.role});
  auto& entry = found->second;
  if (is_new) entry.first_sequence = this->last_sequence + 1;
  if (report.number <= entry.last_report_number) return std::nullopt;
  entry.last_report_number = report.number;
  entry.address = from.address;
  entry.last_report_at = now;
  entry.expires = std::max(entry.expires, now + kMinEntryLifetime);
  entry.prefetch = report.prefetch;
  entry.whole_share = report.whole_share;
  entry.demand = report.demand;
  // A report that acknowledges only grants of an earlier entry for this
  // borrower describes expired loans, as an entry is removed only after its
  // loans expire.
  if (report.acknowledged_sequence >= entry.first_sequence) {
    entry.held = report.held;
  }
  std::erase_if(entry.pending, [&](const PendingGrant& grant) {
    return grant.sequence <= report.acknowledged_sequence;
  });
  std::int64_t pending_tokens = 0;
  for (const auto& grant : entry.pending) pending_tokens += grant.tokens;
  entry.waiting = static_cast<std::uint32_t>(std::max<std::int64_t>(
      0, report.waiting - pending_tokens / kMicroRequestsPerRequest));
  if (report.acknowledged_sequence < entry.first_sequence) return 0;
  const auto before = entry.returned_tokens.value_or(report.returned);
  entry.returned_tokens = report.returned;
  return report.returned - before;
}

LoanGrant LoanLedger::Grant(const Borrower& to, const LimitKey& key,
                            const Quota& added, std::int64_t tokens,
                            base::Duration ttl, base::Instant now) {
  auto& entry = this->by_borrower.at(to);
  LoanGrant grant;
  grant.added = added;
  grant.tokens = tokens;
  grant.sequence = ++this->last_sequence;
  if (!IsZero(added)) {
    entry.pending.push_back({grant.sequence, added, tokens});
  }
  grant.key = key;
  grant.role = to.role;
  grant.number = entry.last_report_number;
  entry.last_answered_report = entry.last_report_number;
  grant.ttl = ttl;
  entry.expires = std::max(entry.expires, now + WithClockSlack(ttl));
  return grant;
}

void LoanLedger::Expire(base::Instant now) {
  std::erase_if(this->by_borrower,
                [&](const auto& item) { return now >= item.second.expires; });
}

LoanLedger::Entry* LoanLedger::Find(const Borrower& borrower) {
  const auto found = this->by_borrower.find(borrower);
  return found == this->by_borrower.end() ? nullptr : &found->second;
}

Quota LoanLedger::Lent() const {
  Quota lent;
  for (const auto& [borrower, entry] : this->by_borrower) {
    lent += Outstanding(entry);
  }
  return lent;
}

Quota LoanLedger::LentToHomes() const {
  Quota lent;
  for (const auto& [borrower, entry] : this->by_borrower) {
    if (borrower.role == LoanRole::kHome) lent += Outstanding(entry);
  }
  return lent;
}

}  // namespace gypsumtrack::policy
