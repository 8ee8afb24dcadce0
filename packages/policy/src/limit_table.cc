#include "gypsumtrack/policy/limit_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace gypsumtrack::policy {
namespace {

constexpr auto kInitialBackoff = std::chrono::milliseconds(250);
constexpr auto kMaxBackoff = std::chrono::seconds(4);

Quota WriteBudget(const LimitSettings& settings) {
  return {static_cast<std::int64_t>(settings.writes_per_second *
                                    kMicroRequestsPerRequest),
          static_cast<std::int64_t>(settings.writes_burst *
                                    kMicroRequestsPerRequest)};
}

}  // namespace

LimitTable::LimitTable(const LimitSettings& settings, const base::VmId& self)
    : operation_prefix(
          fmt::format("limits/{}/{}/", self.name, self.incarnation)),
      write_budget(WriteBudget(settings), base::Instant{}) {
  this->write_budget.Add(WriteBudget(settings).capacity, base::Instant{});
}

bool LimitTable::Commit(base::TableCommit commit, CommitHandler handler,
                        base::Instant now, LimitActions& actions) {
  if (!this->write_budget.TryTake(kMicroRequestsPerRequest, now)) return false;
  const auto id = ++this->last_id;
  commit.operation_id = this->operation_prefix + std::to_string(id);
  actions.commits.push_back({id, commit});
  this->commits.emplace(id, PendingCommit{std::move(commit), std::move(handler),
                                          now, base::kNever, kInitialBackoff});
  return true;
}

void LimitTable::Scan(std::string prefix, ScanHandler handler,
                      LimitActions& actions) {
  const auto id = ++this->last_id;
  this->scans.emplace(id, std::move(handler));
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
  this->table_answered = status.ok() || conflict;
  if (!this->table_answered) {
    auto& pending = found->second;
    pending.retry_at = now + pending.backoff;
    pending.backoff =
        std::min<base::Duration>(pending.backoff * 2, kMaxBackoff);
    return;
  }
  const auto pending = std::move(found->second);
  this->commits.erase(found);
  pending.handler(status.ok(), pending.first_sent, now, actions);
}

void LimitTable::OnScanReply(std::uint64_t id,
                             const base::Outcome<base::ScanReply>& reply,
                             base::Instant now, LimitActions& actions) {
  const auto found = this->scans.find(id);
  if (found == this->scans.end()) return;
  this->table_answered = reply.ok();
  const auto handler = std::move(found->second);
  this->scans.erase(found);
  handler(reply, now, actions);
}

void LimitTable::Tick(base::Instant now, LimitActions& actions) {
  for (auto& [id, pending] : this->commits) {
    if (now < pending.retry_at) continue;
    pending.retry_at = base::kNever;
    actions.commits.push_back({id, pending.commit});
  }
}

}  // namespace gypsumtrack::policy
