#include "gypsumtrack/policy/limit_loan.h"

#include <algorithm>

namespace gypsumtrack::policy {
namespace {

/// Reports whose grants are still taken.
constexpr std::size_t kReportsKept = 32;
/// An entry without a loan is kept for its wishes.
constexpr auto kEntryKept = std::chrono::milliseconds(500);

}  // namespace

bool AsksForAnswer(const LoanReport& report) {
  return report.waiting > 0 || report.prefetch > 0 || report.whole_share ||
         !IsZero(report.held);
}

LoanReport Loan::Report(LoanReport report, base::Instant now) {
  report.number = ++this->number;
  report.acknowledged_sequence = this->taken;
  report.held = this->holding;
  report.returned = this->returned;
  this->sent.push_back({this->number, now, AsksForAnswer(report)});
  if (this->sent.size() > kReportsKept) this->sent.pop_front();
  this->last_report = now;
  return report;
}

std::optional<Loan::Taken> Loan::Take(const LoanGrant& grant,
                                      base::Instant now) {
  const auto answers = std::find_if(
      this->sent.begin(), this->sent.end(),
      [&](const Sent& report) { return report.number == grant.number; });
  if (answers == this->sent.end()) return std::nullopt;
  const auto expires = answers->at + grant.ttl;
  if (now >= expires) return std::nullopt;
  this->answered = std::max(this->answered, grant.number);
  this->Expire(now);
  this->lapses = std::max(this->lapses, expires);
  Taken result{{}, 0, this->lapses};
  if (grant.sequence <= this->taken) return result;
  this->taken = grant.sequence;
  this->holding += grant.added;
  result.added = grant.added;
  result.tokens = grant.tokens;
  return result;
}

Quota Loan::Expire(base::Instant now) {
  if (now < this->lapses) return {};
  const auto lost = this->holding;
  this->holding = {};
  return lost;
}

void Loan::Return(const Quota& part, std::int64_t tokens) {
  this->holding -= part;
  this->returned += tokens;
}

void Loan::Keep(const Quota& rest) { this->holding = rest; }

std::optional<base::Instant> Loan::UnansweredSince() const {
  const auto first = std::find_if(
      this->sent.begin(), this->sent.end(), [&](const Sent& report) {
        return report.asks && report.number > this->answered;
      });
  if (first == this->sent.end()) return std::nullopt;
  return first->at;
}

Quota Outstanding(const LoanLedger::Entry& entry) {
  auto sum = entry.held;
  for (const auto& grant : entry.pending) sum += grant.added;
  return sum;
}

std::optional<std::int64_t> LoanLedger::OnReport(const LimitPeer& from,
                                                 const LoanReport& report,
                                                 base::Instant now) {
  auto [position, is_new] =
      this->all.try_emplace(Borrower{from.vm, report.role});
  auto& entry = position->second;
  if (is_new) entry.first_sequence = this->sequence + 1;
  if (report.number <= entry.last_number) return std::nullopt;
  entry.last_number = report.number;
  entry.address = from.address;
  entry.heard = now;
  entry.expires = std::max(entry.expires, now + kEntryKept);
  entry.stock = report.prefetch;
  entry.pool = report.whole_share;
  entry.demand = report.demand;
  // What an entry doesn't know of can't be used any more: its loans were
  // counted as out until they had lapsed.
  if (report.acknowledged_sequence >= entry.first_sequence)
    entry.held = report.held;
  std::erase_if(entry.pending, [&](const PendingGrant& grant) {
    return grant.sequence <= report.acknowledged_sequence;
  });
  std::int64_t on_their_way = 0;
  for (const auto& grant : entry.pending) on_their_way += grant.tokens;
  entry.waiting = static_cast<std::uint32_t>(std::max<std::int64_t>(
      0, report.waiting - on_their_way / kMicroRequestsPerRequest));
  if (report.acknowledged_sequence < entry.first_sequence) return 0;
  const auto before = entry.returned.value_or(report.returned);
  entry.returned = report.returned;
  return report.returned - before;
}

LoanGrant LoanLedger::Grant(const Borrower& to, const LimitKey& key,
                            const Quota& added, std::int64_t tokens,
                            base::Duration ttl, base::Instant now) {
  auto& entry = this->all.at(to);
  LoanGrant grant;
  grant.added = added;
  grant.tokens = tokens;
  grant.sequence = ++this->sequence;
  if (!IsZero(added)) {
    entry.pending.push_back({grant.sequence, added, tokens});
  }
  grant.key = key;
  grant.role = to.role;
  grant.number = entry.last_number;
  entry.answered = entry.last_number;
  grant.ttl = ttl;
  entry.expires = std::max(entry.expires, now + WithClockSlack(ttl));
  return grant;
}

void LoanLedger::Expire(base::Instant now) {
  std::erase_if(this->all,
                [&](const auto& item) { return now >= item.second.expires; });
}

LoanLedger::Entry* LoanLedger::Find(const Borrower& borrower) {
  const auto found = this->all.find(borrower);
  return found == this->all.end() ? nullptr : &found->second;
}

Quota LoanLedger::Out() const {
  Quota out;
  for (const auto& [borrower, entry] : this->all) out += Outstanding(entry);
  return out;
}

Quota LoanLedger::OutToHomes() const {
  Quota out;
  for (const auto& [borrower, entry] : this->all) {
    if (borrower.role == LoanRole::kHome) out += Outstanding(entry);
  }
  return out;
}

}  // namespace gypsumtrack::policy
