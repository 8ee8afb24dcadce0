#include "gypsumtrack/policy/withdrawals.h"

#include <algorithm>
#include <utility>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {

bool PendingWithdrawalSet::Add(base::Instant now,
                               const std::vector<std::string>& hashes,
                               const ConfigState& state) {
  bool any_added = false;
  for (const auto& hash : hashes) {
    if (state.withdrawn.count(hash) != 0) continue;
    if (!this->added_at.emplace(hash, now).second) continue;
    this->hash_xor ^= base::Hash64(hash);
    any_added = true;
  }
  return any_added;
}

bool PendingWithdrawalSet::RemoveLogged(const ConfigState& state) {
  const auto removed = std::erase_if(this->added_at, [&](const auto& entry) {
    if (state.withdrawn.count(entry.first) == 0) return false;
    this->hash_xor ^= base::Hash64(entry.first);
    return true;
  });
  return removed > 0;
}

std::set<std::string> PendingWithdrawalSet::Hashes() const {
  std::set<std::string> hashes;
  for (const auto& [hash, time_added] : this->added_at) hashes.insert(hash);
  return hashes;
}

std::vector<std::string> PendingWithdrawalSet::AddedBefore(
    base::Instant time) const {
  std::vector<std::string> hashes;
  for (const auto& [hash, time_added] : this->added_at) {
    if (time_added <= time) hashes.push_back(hash);
  }
  return hashes;
}

base::Instant PendingWithdrawalSet::OldestAddedAt() const {
  auto oldest = base::kNever;
  for (const auto& [hash, time_added] : this->added_at) {
    oldest = std::min(oldest, time_added);
  }
  return oldest;
}

ConfigActions WithdrawalRounds::Start(base::Instant now, const ConfigTree& tree,
                                      const std::string& round,
                                      std::vector<std::string> hashes) {
  CoordinatedRound coordinated;
  coordinated.hashes = std::move(hashes);
  coordinated.resend_at = now + this->timing.resend_interval;
  coordinated.respond_at = now + this->timing.response_timeout;
  ConfigActions out;
  for (const auto& [domain, vms] : tree.domains()) {
    CoordinatedRound::Domain target;
    target.status.domain = domain;
    target.status.vms = static_cast<std::uint32_t>(vms.size());
    if (domain == tree.domain()) {
      target.status.reachable = true;
    } else {
      // Ranked by the round's name, so that rounds are spread over the relays.
      target.relays = RankByRendezvous(round, vms);
    }
    coordinated.domains.push_back(std::move(target));
  }
  this->SendToRelays(round, coordinated, out);
  const WithdrawKeys message{round, coordinated.hashes, true};
  this->coordinated_rounds[round] = std::move(coordinated);
  this->StartRelay(now, tree, tree.self(), message, out);
  return out;
}

void WithdrawalRounds::SendToRelays(const std::string& round,
                                    CoordinatedRound& coordinated,
                                    ConfigActions& out) {
  for (auto& target : coordinated.domains) {
    const auto& status = target.status;
    if (target.relays.empty()) continue;
    if (status.reachable && status.in_force >= status.vms) continue;
    const auto& relay = target.relays[target.attempts++ % target.relays.size()];
    out.push_back(
        SendMessage{relay, WithdrawKeys{round, coordinated.hashes, true}});
  }
}

void WithdrawalRounds::StartRelay(base::Instant now, const ConfigTree& tree,
                                  const std::string& from,
                                  const WithdrawKeys& message,
                                  ConfigActions& out) {
  RelayedRound relayed;
  relayed.coordinator = from;
  relayed.hashes = message.hashes;
  const auto others = tree.LiveNeighbours();
  relayed.awaiting.insert(others.begin(), others.end());
  relayed.vms = static_cast<std::uint32_t>(others.size() + 1);
  relayed.resend_at = now + this->timing.resend_interval;
  relayed.expires_at = now + this->timing.fan_out_duration;
  // Suspect VMs also receive the keys, but their acknowledgements aren't
  // awaited.
  for (const auto& vm : tree.neighbours()) {
    out.push_back(
        SendMessage{vm, WithdrawKeys{message.round, message.hashes, false}});
  }
  this->ReportToCoordinator(message.round, relayed, out);
  this->relayed_rounds[message.round] = std::move(relayed);
}

void WithdrawalRounds::ReportToCoordinator(const std::string& round,
                                           const RelayedRound& relayed,
                                           ConfigActions& out) {
  const auto awaiting = static_cast<std::uint32_t>(relayed.awaiting.size());
  const WithdrawAck ack{round, relayed.vms - awaiting, relayed.vms};
  const auto coordinated = this->coordinated_rounds.find(round);
  if (coordinated == this->coordinated_rounds.end()) {
    out.push_back(SendMessage{relayed.coordinator, ack});
    return;
  }
  for (auto& target : coordinated->second.domains) {
    // Only the own domain has no relays.
    if (!target.relays.empty()) continue;
    target.status.in_force = ack.in_force;
    target.status.vms = ack.vms;
  }
  this->RespondIfComplete(round, out);
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
  const auto relayed = this->relayed_rounds.find(message.round);
  if (relayed == this->relayed_rounds.end()) {
    this->StartRelay(now, tree, from, message, out);
  } else {
    this->ReportToCoordinator(message.round, relayed->second, out);
  }
  return out;
}

void WithdrawalRounds::RecordAck(const std::string& vm,
                                 const WithdrawAck& ack) {
  const auto coordinated = this->coordinated_rounds.find(ack.round);
  if (coordinated == this->coordinated_rounds.end()) return;
  for (auto& target : coordinated->second.domains) {
    const auto& relays = target.relays;
    if (std::find(relays.begin(), relays.end(), vm) == relays.end()) continue;
    target.status.reachable = true;
    target.status.in_force = std::max(target.status.in_force, ack.in_force);
    target.status.vms = ack.vms;
  }
}

ConfigActions WithdrawalRounds::OnAck(base::Instant /*now*/,
                                      const std::string& from,
                                      const WithdrawAck& ack) {
  ConfigActions out;
  const auto relayed = this->relayed_rounds.find(ack.round);
  if (relayed != this->relayed_rounds.end() &&
      relayed->second.awaiting.erase(from) != 0) {
    // The coordinator gets a single acknowledgement when the whole domain is
    // done.
    if (relayed->second.awaiting.empty()) {
      this->ReportToCoordinator(ack.round, relayed->second, out);
    }
    return out;
  }
  this->RecordAck(from, ack);
  this->RespondIfComplete(ack.round, out);
  return out;
}

ConfigActions WithdrawalRounds::OnDurable(const std::string& round) {
  ConfigActions out;
  const auto coordinated = this->coordinated_rounds.find(round);
  if (coordinated == this->coordinated_rounds.end()) return out;
  coordinated->second.durable = true;
  this->RespondIfComplete(round, out);
  return out;
}

void WithdrawalRounds::RespondIfComplete(const std::string& round,
                                         ConfigActions& out) {
  const auto found = this->coordinated_rounds.find(round);
  if (found == this->coordinated_rounds.end()) return;
  const auto& coordinated = found->second;
  WithdrawResponse response{round, {}, coordinated.durable};
  bool complete = coordinated.durable;
  for (const auto& target : coordinated.domains) {
    const auto& status = target.status;
    complete = complete && status.reachable && status.in_force >= status.vms;
    response.domains.push_back(status);
  }
  if (!complete) return;
  out.push_back(std::move(response));
  this->coordinated_rounds.erase(found);
}

ConfigActions WithdrawalRounds::OnTimer(base::Instant now) {
  ConfigActions out;
  for (auto entry = this->coordinated_rounds.begin();
       entry != this->coordinated_rounds.end();) {
    auto& [round, coordinated] = *entry;
    if (coordinated.respond_at <= now) {
      WithdrawResponse response{round, {}, coordinated.durable};
      for (const auto& target : coordinated.domains) {
        response.domains.push_back(target.status);
      }
      out.push_back(std::move(response));
      entry = this->coordinated_rounds.erase(entry);
      continue;
    }
    if (coordinated.resend_at <= now) {
      coordinated.resend_at = now + this->timing.resend_interval;
      this->SendToRelays(round, coordinated, out);
    }
    ++entry;
  }
  for (auto entry = this->relayed_rounds.begin();
       entry != this->relayed_rounds.end();) {
    auto& [round, relayed] = *entry;
    if (relayed.expires_at <= now) {
      entry = this->relayed_rounds.erase(entry);
      continue;
    }
    if (relayed.resend_at <= now) {
      relayed.resend_at = now + this->timing.resend_interval;
      for (const auto& vm : relayed.awaiting) {
        out.push_back(
            SendMessage{vm, WithdrawKeys{round, relayed.hashes, false}});
      }
    }
    ++entry;
  }
  return out;
}

base::Instant WithdrawalRounds::next_wake() const {
  auto earliest = base::kNever;
  for (const auto& [round, coordinated] : this->coordinated_rounds) {
    earliest =
        std::min({earliest, coordinated.resend_at, coordinated.respond_at});
  }
  for (const auto& [round, relayed] : this->relayed_rounds) {
    earliest = std::min(earliest, relayed.expires_at);
    if (!relayed.awaiting.empty()) {
      earliest = std::min(earliest, relayed.resend_at);
    }
  }
  return earliest;
}

}  // namespace gypsumtrack::policy
