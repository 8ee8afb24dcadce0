#include "gypsumtrack/policy/config_status.h"

#include <algorithm>
#include <utility>

namespace gypsumtrack::policy {
namespace {

bool IsComplete(const auto& round) {
  return std::all_of(round.queries.begin(), round.queries.end(),
                     [](const auto& query) { return query.status.reachable; });
}

}  // namespace

void StatusRounds::SendQueries(const std::string& name, const Round& round,
                               ConfigActions& out) {
  for (const auto& query : round.queries) {
    if (query.status.reachable) continue;
    out.push_back(SendMessage{query.root, QueryStatus{name}});
  }
}

StatusResponse StatusRounds::MakeResponse(const std::string& name,
                                          const Round& round) {
  StatusResponse response{name, {}};
  for (const auto& query : round.queries) {
    response.domains.push_back(query.status);
  }
  return response;
}

ConfigActions StatusRounds::Start(base::Instant now, const ConfigTree& tree,
                                  const std::string& round,
                                  const RevisionCounts& own_counts) {
  Round started;
  started.resend_at = now + this->timing.resend_interval;
  started.respond_at = now + this->timing.timeout;
  for (const auto& [domain, vms] : tree.domains()) {
    DomainQuery query{vms.front(), {}};
    query.status.domain = domain;
    query.status.vms = static_cast<std::uint32_t>(vms.size());
    if (query.root == tree.self()) {
      query.status.counts = own_counts;
      query.status.reachable = true;
    }
    started.queries.push_back(std::move(query));
  }
  ConfigActions out;
  SendQueries(round, started, out);
  if (IsComplete(started)) {
    out.push_back(MakeResponse(round, started));
  } else {
    this->rounds[round] = std::move(started);
  }
  return out;
}

ConfigActions StatusRounds::OnReport(const std::string& from,
                                     const ReportStatus& report) {
  ConfigActions out;
  const auto found = this->rounds.find(report.round);
  if (found == this->rounds.end()) return out;
  for (auto& query : found->second.queries) {
    if (query.root != from) continue;
    query.status.counts = report.counts;
    query.status.vms = report.vms;
    query.status.reachable = true;
  }
  if (!IsComplete(found->second)) return out;
  out.push_back(MakeResponse(report.round, found->second));
  this->rounds.erase(found);
  return out;
}

ConfigActions StatusRounds::OnTimer(base::Instant now) {
  ConfigActions out;
  for (auto entry = this->rounds.begin(); entry != this->rounds.end();) {
    auto& [name, round] = *entry;
    if (round.respond_at <= now) {
      out.push_back(MakeResponse(name, round));
      entry = this->rounds.erase(entry);
      continue;
    }
    if (round.resend_at <= now) {
      round.resend_at = now + this->timing.resend_interval;
      SendQueries(name, round, out);
    }
    ++entry;
  }
  return out;
}

base::Instant StatusRounds::next_wake() const {
  auto earliest = base::kNever;
  for (const auto& [name, round] : this->rounds) {
    earliest = std::min({earliest, round.resend_at, round.respond_at});
  }
  return earliest;
}

}  // namespace gypsumtrack::policy
