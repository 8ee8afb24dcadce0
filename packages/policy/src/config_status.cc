#include "gypsumtrack/policy/config_status.h"

#include <algorithm>
#include <utility>

namespace gypsumtrack::policy {
namespace {

bool IsWhole(const auto& round) {
  return std::all_of(round.parts.begin(), round.parts.end(),
                     [](const auto& part) { return part.status.reachable; });
}

}  // namespace

void StatusRounds::Ask(const std::string& name, const Round& round,
                       ConfigActions& out) {
  for (const auto& part : round.parts) {
    if (part.status.reachable) continue;
    out.push_back(SendMessage{part.root, QueryStatus{name}});
  }
}

StatusResponse StatusRounds::Answer(const std::string& name,
                                    const Round& round) {
  StatusResponse answer{name, {}};
  for (const auto& part : round.parts) answer.domains.push_back(part.status);
  return answer;
}

ConfigActions StatusRounds::Start(base::Instant now, const ConfigTree& tree,
                                  const std::string& round,
                                  const RevisionCounts& own) {
  Round started;
  started.resend_at = now + this->timing.resend;
  started.answer_at = now + this->timing.answer;
  for (const auto& [domain, vms] : tree.domains()) {
    Part part{vms.front(), {}};
    part.status.domain = domain;
    part.status.vms = static_cast<std::uint32_t>(vms.size());
    if (part.root == tree.self()) {
      part.status.counts = own;
      part.status.reachable = true;
    }
    started.parts.push_back(std::move(part));
  }
  ConfigActions out;
  Ask(round, started, out);
  if (IsWhole(started)) {
    out.push_back(Answer(round, started));
  } else {
    this->rounds[round] = std::move(started);
  }
  return out;
}

ConfigActions StatusRounds::OnTell(const std::string& from,
                                   const ReportStatus& told) {
  ConfigActions out;
  const auto found = this->rounds.find(told.round);
  if (found == this->rounds.end()) return out;
  for (auto& part : found->second.parts) {
    if (part.root != from) continue;
    part.status.counts = told.counts;
    part.status.vms = told.vms;
    part.status.reachable = true;
  }
  if (!IsWhole(found->second)) return out;
  out.push_back(Answer(told.round, found->second));
  this->rounds.erase(found);
  return out;
}

ConfigActions StatusRounds::OnTimer(base::Instant now) {
  ConfigActions out;
  for (auto item = this->rounds.begin(); item != this->rounds.end();) {
    auto& [name, round] = *item;
    if (round.answer_at <= now) {
      out.push_back(Answer(name, round));
      item = this->rounds.erase(item);
      continue;
    }
    if (round.resend_at <= now) {
      round.resend_at = now + this->timing.resend;
      Ask(name, round, out);
    }
    ++item;
  }
  return out;
}

base::Instant StatusRounds::next_wake() const {
  auto earliest = base::kNever;
  for (const auto& [name, round] : this->rounds) {
    earliest = std::min({earliest, round.resend_at, round.answer_at});
  }
  return earliest;
}

}  // namespace gypsumtrack::policy
