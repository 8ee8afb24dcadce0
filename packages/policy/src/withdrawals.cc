#include "gypsumtrack/policy/withdrawals.h"

#include <algorithm>
#include <utility>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {

bool PendingWithdrawalSet::Add(base::Instant now,
                               const std::vector<std::string>& hashes,
                               const ConfigState& state) {
  bool grew = false;
  for (const auto& hash : hashes) {
    if (state.withdrawn.count(hash) != 0) continue;
    if (!this->added.emplace(hash, now).second) continue;
    this->sum ^= base::Hash64(hash);
    grew = true;
  }
  return grew;
}

bool PendingWithdrawalSet::Settle(const ConfigState& state) {
  const auto dropped = std::erase_if(this->added, [&](const auto& item) {
    if (state.withdrawn.count(item.first) == 0) return false;
    this->sum ^= base::Hash64(item.first);
    return true;
  });
  return dropped > 0;
}

std::set<std::string> PendingWithdrawalSet::Hashes() const {
  std::set<std::string> hashes;
  for (const auto& [hash, at] : this->added) hashes.insert(hash);
  return hashes;
}

std::vector<std::string> PendingWithdrawalSet::AddedBefore(
    base::Instant time) const {
  std::vector<std::string> hashes;
  for (const auto& [hash, at] : this->added) {
    if (at <= time) hashes.push_back(hash);
  }
  return hashes;
}

base::Instant PendingWithdrawalSet::Oldest() const {
  auto oldest = base::kNever;
  for (const auto& [hash, at] : this->added) oldest = std::min(oldest, at);
  return oldest;
}

ConfigActions WithdrawalRounds::Start(base::Instant now, const ConfigTree& tree,
                                      const std::string& round,
                                      std::vector<std::string> hashes) {
  Origin origin;
  origin.hashes = std::move(hashes);
  origin.resend_at = now + this->timing.resend;
  origin.answer_at = now + this->timing.answer;
  ConfigActions out;
  for (const auto& [domain, vms] : tree.domains()) {
    Origin::Domain part;
    part.status.domain = domain;
    part.status.vms = static_cast<std::uint32_t>(vms.size());
    if (domain == tree.domain()) {
      part.status.reachable = true;
    } else {
      // Ranked by round, so that no VM leads all of them.
      part.leads = RankByRendezvous(round, vms);
    }
    origin.domains.push_back(std::move(part));
  }
  this->Send(round, origin, out);
  const WithdrawKeys message{round, origin.hashes, true};
  this->origins[round] = std::move(origin);
  this->StartLead(now, tree, tree.self(), message, out);
  return out;
}

void WithdrawalRounds::Send(const std::string& round, Origin& origin,
                            ConfigActions& out) {
  for (auto& part : origin.domains) {
    const auto& status = part.status;
    if (part.leads.empty()) continue;
    if (status.reachable && status.in_force >= status.vms) continue;
    const auto& lead = part.leads[part.tries++ % part.leads.size()];
    out.push_back(SendMessage{lead, WithdrawKeys{round, origin.hashes, true}});
  }
}

void WithdrawalRounds::StartLead(base::Instant now, const ConfigTree& tree,
                                 const std::string& from,
                                 const WithdrawKeys& message,
                                 ConfigActions& out) {
  Lead lead;
  lead.origin = from;
  lead.hashes = message.hashes;
  const auto others = tree.LiveNeighbours();
  lead.waiting.insert(others.begin(), others.end());
  lead.vms = static_cast<std::uint32_t>(others.size() + 1);
  lead.resend_at = now + this->timing.resend;
  lead.ends_at = now + this->timing.fan_out;
  // Suspect VMs get it too; nobody waits for them.
  for (const auto& vm : tree.neighbours()) {
    out.push_back(
        SendMessage{vm, WithdrawKeys{message.round, message.hashes, false}});
  }
  this->TellOrigin(message.round, lead, out);
  this->leads[message.round] = std::move(lead);
}

void WithdrawalRounds::TellOrigin(const std::string& round, const Lead& lead,
                                  ConfigActions& out) {
  const auto waiting = static_cast<std::uint32_t>(lead.waiting.size());
  const WithdrawAck ack{round, lead.vms - waiting, lead.vms};
  const auto origin = this->origins.find(round);
  if (origin == this->origins.end()) {
    out.push_back(SendMessage{lead.origin, ack});
    return;
  }
  for (auto& part : origin->second.domains) {
    if (!part.leads.empty()) continue;
    part.status.in_force = ack.in_force;
    part.status.vms = ack.vms;
  }
  this->AnswerIfWhole(round, out);
}

ConfigActions WithdrawalRounds::OnWithdraw(base::Instant now,
                                           const ConfigTree& tree,
                                           const std::string& from,
                                           const WithdrawKeys& message) {
  ConfigActions out;
  if (!message.fan_out) {
    out.push_back(SendMessage{from, WithdrawAck{message.round, 1, 1}});
    return out;
  }
  const auto known = this->leads.find(message.round);
  if (known == this->leads.end()) {
    this->StartLead(now, tree, from, message, out);
  } else {
    this->TellOrigin(message.round, known->second, out);
  }
  return out;
}

void WithdrawalRounds::Record(const std::string& vm, const WithdrawAck& ack) {
  const auto origin = this->origins.find(ack.round);
  if (origin == this->origins.end()) return;
  for (auto& part : origin->second.domains) {
    const auto& leads = part.leads;
    if (std::find(leads.begin(), leads.end(), vm) == leads.end()) continue;
    part.status.reachable = true;
    part.status.in_force = std::max(part.status.in_force, ack.in_force);
    part.status.vms = ack.vms;
  }
}

ConfigActions WithdrawalRounds::OnAck(base::Instant /*now*/,
                                      const std::string& from,
                                      const WithdrawAck& ack) {
  ConfigActions out;
  const auto lead = this->leads.find(ack.round);
  if (lead != this->leads.end() && lead->second.waiting.erase(from) != 0) {
    // The origin hears of it once, when the domain is whole.
    if (lead->second.waiting.empty()) {
      this->TellOrigin(ack.round, lead->second, out);
    }
    return out;
  }
  this->Record(from, ack);
  this->AnswerIfWhole(ack.round, out);
  return out;
}

ConfigActions WithdrawalRounds::OnDurable(const std::string& round) {
  ConfigActions out;
  const auto origin = this->origins.find(round);
  if (origin == this->origins.end()) return out;
  origin->second.durable = true;
  this->AnswerIfWhole(round, out);
  return out;
}

void WithdrawalRounds::AnswerIfWhole(const std::string& round,
                                     ConfigActions& out) {
  const auto found = this->origins.find(round);
  if (found == this->origins.end()) return;
  const auto& origin = found->second;
  WithdrawResponse answer{round, {}, origin.durable};
  bool whole = origin.durable;
  for (const auto& part : origin.domains) {
    const auto& status = part.status;
    whole = whole && status.reachable && status.in_force >= status.vms;
    answer.domains.push_back(status);
  }
  if (!whole) return;
  out.push_back(std::move(answer));
  this->origins.erase(found);
}

ConfigActions WithdrawalRounds::OnTimer(base::Instant now) {
  ConfigActions out;
  for (auto item = this->origins.begin(); item != this->origins.end();) {
    auto& [round, origin] = *item;
    if (origin.answer_at <= now) {
      WithdrawResponse answer{round, {}, origin.durable};
      for (const auto& part : origin.domains) {
        answer.domains.push_back(part.status);
      }
      out.push_back(std::move(answer));
      item = this->origins.erase(item);
      continue;
    }
    if (origin.resend_at <= now) {
      origin.resend_at = now + this->timing.resend;
      this->Send(round, origin, out);
    }
    ++item;
  }
  for (auto item = this->leads.begin(); item != this->leads.end();) {
    auto& [round, lead] = *item;
    if (lead.ends_at <= now) {
      item = this->leads.erase(item);
      continue;
    }
    if (lead.resend_at <= now) {
      lead.resend_at = now + this->timing.resend;
      for (const auto& vm : lead.waiting) {
        out.push_back(SendMessage{vm, WithdrawKeys{round, lead.hashes, false}});
      }
    }
    ++item;
  }
  return out;
}

base::Instant WithdrawalRounds::next_wake() const {
  auto earliest = base::kNever;
  for (const auto& [round, origin] : this->origins) {
    earliest = std::min({earliest, origin.resend_at, origin.answer_at});
  }
  for (const auto& [round, lead] : this->leads) {
    earliest = std::min(earliest, lead.ends_at);
    if (!lead.waiting.empty()) earliest = std::min(earliest, lead.resend_at);
  }
  return earliest;
}

}  // namespace gypsumtrack::policy
