#include <algorithm>
#include <utility>

#include "gypsumtrack/policy/limit_home.h"

namespace gypsumtrack::policy {
namespace {

constexpr auto kReadGap = std::chrono::milliseconds(300);
/// Domains that haven't cut their share after this are taken to be cut off.
constexpr auto kCutOverdue = std::chrono::seconds(5);
/// A share moves when its domain's part of the demand differs by more than this
/// part of the limit.
constexpr std::int64_t kMoveThresholdPercent = 15;
constexpr auto kNewsFresh = std::chrono::seconds(10);

}  // namespace

void LimitHome::ReadRow(base::Instant now, LimitActions& actions) {
  if (this->reading || this->writing) return;
  if (this->row_read != base::Instant{} && now < this->row_read + kReadGap) {
    return;
  }
  this->reading = true;
  this->row_read = now;
  this->context.table.Scan(
      ShareRowKey(this->key),
      [this](const base::Outcome<base::ScanReply>& reply, base::Instant at,
             LimitActions& more) { this->OnRowRead(reply, at, more); },
      actions);
}

void LimitHome::OnRowRead(const base::Outcome<base::ScanReply>& reply,
                          base::Instant now, LimitActions& actions) {
  this->reading = false;
  if (!reply.ok()) this->early.clear();
  if (!reply.ok() || this->writing) return;
  const auto row_key = ShareRowKey(this->key);
  const auto row = std::find_if(
      reply->rows.begin(), reply->rows.end(),
      [&](const base::Row& candidate) { return candidate.key == row_key; });
  if (row == reply->rows.end()) {
    this->cached.reset();
    this->row_version = 0;
  } else {
    if (row->version < this->row_version) return;
    this->cached = ParseShareRow(row->value);
    this->row_version = row->version;
    if (!this->cached) return;
  }
  this->hints.clear();
  const auto home = this->KnownHome();
  if (this->claimed) {
    const bool still = home && home->vm == this->context.self.vm;
    if (!still) this->claimed = false;
    this->Rebalance(now);
    this->Adjust(now, actions);
    return;
  }
  const bool theirs = home && home->vm != this->context.self.vm &&
                      !this->context.lease.IsFenced(home->vm);
  if (!theirs) {
    this->Claim(now, actions);
    return;
  }
  const auto& live = this->context.live[this->context.domain];
  const bool alive =
      std::any_of(live.begin(), live.end(),
                  [&](const LimitPeer& peer) { return peer.vm == home->vm; });
  if (!alive) this->context.lease.Fence(home->vm, now);
}

void LimitHome::Claim(base::Instant now, LimitActions& actions) {
  const auto lease = this->context.lease.Condition();
  if (!lease || !this->limit || !this->context.lease.Valid(now)) return;
  base::TableCommit commit;
  ShareRow next;
  bool had_home = false;
  if (this->cached) {
    next = *this->cached;
    if (const auto home = this->KnownHome()) {
      had_home = true;
      if (home->vm != this->context.self.vm) {
        commit.conditions.push_back(
            {LeaseRowKey(this->context.domain, home->vm), 0});
      }
    }
  } else {
    std::vector<base::FailureDomain> domains;
    for (const auto& [domain, peers] : this->context.live) {
      domains.push_back(domain);
    }
    next = DivideLimit(this->key, this->revision, this->limit->quota,
                       std::move(domains));
  }
  auto* own = FindShare(next, this->context.domain);
  if (own == nullptr) {
    next.domains.push_back(
        {this->context.domain, {}, next.limit, next.revision, {}});
    own = &next.domains.back();
  }
  own->home = this->context.self;
  const bool unused = own->unused;
  own->unused = false;
  const auto row_key = ShareRowKey(this->key);
  commit.conditions.push_back({row_key, this->row_version});
  commit.conditions.push_back(*lease);
  commit.writes.push_back({row_key, FormatShareRow(next)});
  this->writing = this->context.table.Commit(
      std::move(commit),
      [this, next, had_home, unused](bool committed, base::Instant,
                                     base::Instant at, LimitActions& more) {
        this->writing = false;
        if (committed) {
          this->OnClaimed(next, had_home, at, more);
          if (unused) this->FillUnspent(at, more);
        } else {
          this->ReadRow(at, more);
        }
      },
      now, actions);
}

void LimitHome::OnClaimed(ShareRow row, bool had_home, base::Instant now,
                          LimitActions& actions) {
  this->cached = std::move(row);
  ++this->row_version;
  this->row_read = now;
  this->claimed = true;
  this->usable_from = now;
  if (had_home && this->context.settings.wait_after_takeover) {
    // Loans of the old home lapse first.
    this->usable_from += WithClockSlack(this->context.settings.pool_ttl);
  }
  this->Rebalance(now);
  this->TellOtherHomes(actions);
  this->Adjust(now, actions);
  this->AnswerEarly(now, actions);
}

/// A limit that nobody has used yet starts with its burst: its first caller
/// isn't refused.
void LimitHome::FillUnspent(base::Instant now, LimitActions& actions) {
  if (!this->context.settings.fill_unused_share) return;
  this->bucket.Add(this->bucket.quota().capacity, now);
  this->Serve(now, actions);
}

void LimitHome::AnswerEarly(base::Instant now, LimitActions& actions) {
  const auto reports = std::exchange(this->early, {});
  for (const auto& [borrower, early] : reports) {
    this->OnReport(early.from, early.report, now, actions);
  }
}

void LimitHome::Adjust(base::Instant now, LimitActions& actions) {
  if (!this->claimed || this->writing || !this->cached || !this->limit) return;
  const bool overdue = now >= this->limit_changed_at + kCutOverdue;
  auto next = AdjustRow(*this->cached, this->context.domain, this->revision,
                        this->limit->quota, overdue);
  if (next) this->Write(std::move(*next), now, actions);
}

bool LimitHome::Write(ShareRow next, base::Instant now, LimitActions& actions) {
  base::TableCommit commit;
  const auto row_key = ShareRowKey(this->key);
  commit.conditions.push_back({row_key, this->row_version});
  commit.writes.push_back({row_key, FormatShareRow(next)});
  this->writing = this->context.table.Commit(
      std::move(commit),
      [this, next](bool committed, base::Instant, base::Instant at,
                   LimitActions& more) {
        this->writing = false;
        this->written.reset();
        if (committed) {
          this->cached = next;
          ++this->row_version;
          this->row_read = at;
          this->TellOtherHomes(more);
        } else {
          this->row_read = {};
          this->ReadRow(at, more);
        }
        this->Rebalance(at);
      },
      now, actions);
  if (!this->writing) return false;
  this->written = std::move(next);
  this->Rebalance(now);
  return true;
}

/// Gives a part of the own share to the domain that lacks most, if the demand
/// says so for a clear difference.
void LimitHome::MoveTowardsDemand(base::Instant now, LimitActions& actions) {
  if (this->writing || !this->cached) return;
  if (now < this->moved_at + this->context.settings.share_move_interval) return;
  if (this->cached->limit != this->limit->quota) return;
  auto total = this->Demand();
  for (const auto& [domain, heard] : this->news) {
    if (now < heard.heard + kNewsFresh) total += heard.demand;
  }
  if (total < kMicroRequestsPerRequest / 2) return;
  const auto& limit = this->limit->quota;
  const auto* own = FindShare(*this->cached, this->context.domain);
  const auto wanted = [&](std::int64_t demand) {
    // A tenth is divided equally, so that a quiet domain keeps something.
    const auto count = static_cast<std::int64_t>(this->cached->domains.size());
    const auto part = static_cast<double>(demand) / static_cast<double>(total);
    return static_cast<std::int64_t>(
        static_cast<double>(limit.rate) *
        (0.9 * part + 0.1 / static_cast<double>(count)));
  };
  const auto surplus = own->share.rate - wanted(this->Demand());
  const auto threshold = limit.rate * kMoveThresholdPercent / 100;
  if (surplus < threshold) return;
  const DomainShare* neediest = nullptr;
  std::int64_t lack = threshold / 2;
  for (const auto& share : this->cached->domains) {
    const auto heard = this->news.find(share.domain);
    if (heard == this->news.end() || now >= heard->second.heard + kNewsFresh) {
      continue;
    }
    const auto lacks = wanted(heard->second.demand) - share.share.rate;
    if (lacks <= lack) continue;
    lack = lacks;
    neediest = &share;
  }
  if (neediest == nullptr) return;
  Quota part;
  part.rate = std::min(surplus, lack);
  part.capacity = static_cast<std::int64_t>(
      static_cast<double>(limit.capacity) * static_cast<double>(part.rate) /
      static_cast<double>(limit.rate));
  part.capacity =
      part.capacity / kMicroRequestsPerRequest * kMicroRequestsPerRequest;
  auto kept = own->share - this->loans.OutToHomes();
  kept.rate = WithClockSlack(own->share.rate) - this->loans.OutToHomes().rate;
  const auto free = Min(this->bucket.quota(), AtLeastZero(kept));
  part.rate = std::min(part.rate, free.rate);
  part.capacity = std::min(part.capacity, free.capacity);
  if (part.rate <= 0) return;
  this->moved_at = now;
  this->Write(
      MoveShare(*this->cached, this->context.domain, neediest->domain, part),
      now, actions);
}

void LimitHome::TellOtherHomes(LimitActions& actions) const {
  for (const auto& share : this->cached->domains) {
    if (share.domain == this->context.domain) continue;
    if (share.home.vm.name.empty()) continue;
    actions.messages.push_back({share.home, ShareRowChanged{this->key}});
  }
}

void LimitHome::OnShareRowChanged(base::Instant now, LimitActions& actions) {
  if (this->claimed) this->ReadRow(now, actions);
}

}  // namespace gypsumtrack::policy
