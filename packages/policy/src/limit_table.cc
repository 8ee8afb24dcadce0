#include "gypsumtrack/policy/limit_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace gypsumtrack::policy {
namespace {

constexpr auto kFirstBackoff = std::chrono::milliseconds(250);
constexpr auto kLongestBackoff = std::chrono::seconds(4);

Quota Budget(const LimitSettings& settings) {
  return {static_cast<std::int64_t>(settings.writes_per_second *
                                    kMicroRequestsPerRequest),
          static_cast<std::int64_t>(settings.writes_burst *
                                    kMicroRequestsPerRequest)};
}

}  // namespace

LimitTable::LimitTable(const LimitSettings& settings, const base::VmId& self)
    : operation_prefix(
          fmt::format("limits/{}/{}/", self.name, self.incarnation)),
      budget(Budget(settings), base::Instant{}) {
  this->budget.Add(Budget(settings).capacity, base::Instant{});
}

bool LimitTable::Commit(base::TableCommit commit, CommitDone done,
                        base::Instant now, LimitActions& actions) {
  if (!this->budget.TryTake(kMicroRequestsPerRequest, now)) return false;
  const auto id = ++this->last_id;
  commit.operation_id = this->operation_prefix + std::to_string(id);
  actions.commits.push_back({id, commit});
  this->commits.emplace(id, Pending{std::move(commit), std::move(done), now,
                                    base::kNever, kFirstBackoff});
  return true;
}

void LimitTable::Scan(std::string prefix, ScanDone done,
                      LimitActions& actions) {
  const auto id = ++this->last_id;
  this->scans.emplace(id, std::move(done));
  base::TableScan scan;
  scan.prefix = std::move(prefix);
  actions.scans.push_back({id, std::move(scan)});
}

void LimitTable::OnCommitReply(std::uint64_t id, const base::Status& status,
                               base::Instant now, LimitActions& actions) {
  const auto found = this->commits.find(id);
  if (found == this->commits.end()) return;
  const bool conflict =
      !status.ok() && status.error().Is(base::Errc::kConflict);
  this->answered = status.ok() || conflict;
  if (!this->answered) {
    auto& pending = found->second;
    pending.retry_at = now + pending.backoff;
    pending.backoff =
        std::min<base::Duration>(pending.backoff * 2, kLongestBackoff);
    return;
  }
  const auto pending = std::move(found->second);
  this->commits.erase(found);
  pending.done(status.ok(), pending.first_sent, now, actions);
}

void LimitTable::OnScanReply(std::uint64_t id,
                             const base::Outcome<base::ScanReply>& reply,
                             base::Instant now, LimitActions& actions) {
  const auto found = this->scans.find(id);
  if (found == this->scans.end()) return;
  this->answered = reply.ok();
  const auto done = std::move(found->second);
  this->scans.erase(found);
  done(reply, now, actions);
}

void LimitTable::Tick(base::Instant now, LimitActions& actions) {
  for (auto& [id, pending] : this->commits) {
    if (now < pending.retry_at) continue;
    pending.retry_at = base::kNever;
    actions.commits.push_back({id, pending.commit});
  }
}

}  // namespace gypsumtrack::policy
