#include "gypsumtrack/policy/serving/fleet_quota.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace gypsumtrack::policy {
namespace {

/// Longest debt that counts of others may leave, in seconds of the rate.
constexpr double kMaxDebtSeconds = 3;

/// Parts of the allowed excess that go to callers.
constexpr double kRatePart = 0.4;
constexpr double kBurstPart = 0.5;
/// Requests of an organisation at several times its rate that daemons may admit
/// in a round of gossip, as seconds of the rate.
constexpr double kUnheardSeconds = 1.5;
/// Requests that any daemon may admit in a round, whatever its share: with none
/// a bucket that is nearly empty would serve nobody. One that is nearly full
/// bears more of them.
constexpr double kFreeInRound = 1;
constexpr double kFreeWhenFull = 3;
constexpr double kFullPart = 0.85;
/// Less demand than this, in requests a second, has no share of its own.
constexpr double kLeastDemand = 0.005;

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

FleetQuota::FleetQuota(FleetQuotaOptions options) : options(options) {}

void FleetQuota::SetRules(const std::vector<OrganisationRule>& organisations,
                          base::Instant now) {
  std::set<base::Organisation> listed;
  for (const auto& rule : organisations) {
    if (rule.rate <= 0) continue;
    listed.insert(rule.name);
    const auto [at, is_new] = this->buckets.try_emplace(rule.name);
    auto& bucket = at->second;
    if (!is_new) this->Fill(bucket, now);
    bucket.rate = rule.rate * (1 + kRatePart * this->options.excess_fraction);
    bucket.capacity =
        rule.burst * (1 + kBurstPart * this->options.excess_fraction) +
        this->OpenSlack(rule.rate);
    if (is_new) {
      bucket.tokens = bucket.capacity * this->options.start_fill;
      bucket.filled_at = now;
      bucket.own_share = this->EvenShare();
      bucket.idle_share = this->EvenShare();
      this->SetAside(bucket);
    }
    bucket.tokens = std::min(bucket.tokens, bucket.capacity);
  }
  std::erase_if(this->buckets,
                [&](const auto& each) { return !listed.contains(each.first); });
}

double FleetQuota::OpenSlack(double rate) const {
  const auto slack = this->options.excess_requests;
  const auto unheard = std::min(slack / 2, kUnheardSeconds * rate);
  return std::max(0.0, slack - unheard - 1);
}

void FleetQuota::SetPeers(const std::vector<std::string>& names,
                          base::Instant now) {
  const std::set<std::string> listed(names.begin(), names.end());
  const auto gone = std::erase_if(this->peers, [&](const auto& each) {
    const auto unheard_for = now - each.second.heard_at;
    return !listed.contains(each.first) &&
           unheard_for > this->options.unlisted_hold;
  });
  std::vector<std::string> added;
  for (const auto& name : listed) {
    if (this->peers.try_emplace(name).second) added.push_back(name);
  }
  if (gone == 0 && added.empty()) return;
  if (!added.empty()) this->told_whole_at = base::Instant::min();
  for (auto& [organisation, bucket] : this->buckets) {
    this->Fill(bucket, now);
    std::erase_if(bucket.peer_demand, [&](const auto& each) {
      return !this->peers.contains(each.first);
    });
    this->TakeInPeers(bucket, added, now);
  }
}

void FleetQuota::TakeInPeers(Bucket& bucket,
                             const std::vector<std::string>& added,
                             base::Instant now) const {
  if (this->AllHeard()) return this->ShareOut(bucket, now);
  const auto even = this->EvenShare();
  if (this->shares_known) {
    for (const auto& name : added) bucket.peer_shares[name] = even;
  } else {
    // Its own demand alone would give this daemon nearly all.
    bucket.own_share = even;
    bucket.idle_share = even;
    bucket.peer_shares.clear();
  }
  this->SetAside(bucket);
}

bool FleetQuota::AllHeard() const {
  return std::none_of(this->peers.begin(), this->peers.end(),
                      [](const auto& each) { return each.second.silent; });
}

double FleetQuota::EvenShare() const {
  return 1 / static_cast<double>(this->peers.size() + 1);
}

void FleetQuota::OnPeerCounts(const base::VmId& vm,
                              const CountsMessage& message, base::Instant now) {
  this->NoteSilence(now);
  auto& peer = this->peers[vm.name];
  const bool restarted =
      peer.incarnation != 0 && peer.incarnation != vm.incarnation;
  const bool was_silent = peer.silent;
  if (was_silent && !message.is_full) return;
  if (restarted) peer.counts.clear();
  const bool was_heard = peer.incarnation != 0;
  for (const auto& [organisation, count] : message.counts) {
    auto& known = peer.counts[organisation];
    const auto before = std::exchange(known, std::max(known, count));
    const auto found = this->buckets.find(organisation);
    if (found == this->buckets.end() || count <= before) continue;
    auto& bucket = found->second;
    auto grown = static_cast<double>(count - before);
    if (was_silent) {
      // Of a peer that was never heard the count may be an old one.
      if (!was_heard) continue;
      grown -= this->SetAsideFor(bucket, vm.name, now);
    }
    if (grown > 0) this->CountPeer(bucket, vm.name, grown, now);
  }
  peer.incarnation = vm.incarnation;
  peer.heard_at = now;
  peer.heard_since_confirmed = true;
  if (was_silent) {
    for (auto& [organisation, bucket] : this->buckets) this->Fill(bucket, now);
    peer.silent = false;
    for (auto& [organisation, bucket] : this->buckets) this->SetAside(bucket);
  }
  this->ConfirmIfAllHeard(now);
  this->UpdateShares(now);
}

double FleetQuota::SetAsideFor(const Bucket& bucket, const std::string& peer,
                               base::Instant now) const {
  const auto silent_for = Seconds(now - this->peers.at(peer).heard_at);
  return ShareOfPeer(bucket, peer) * bucket.rate * silent_for;
}

void FleetQuota::CountPeer(Bucket& bucket, const std::string& peer,
                           double grown, base::Instant now) const {
  this->Fill(bucket, now);
  this->CountDemand(bucket.peer_demand[peer], grown, now);
  const auto floor = -kMaxDebtSeconds * bucket.rate;
  bucket.tokens = std::max(bucket.tokens - grown, floor);
}

CountsMessage FleetQuota::NextCountsMessage(base::Instant now) {
  CountsMessage message;
  message.is_full = this->told_whole_at == base::Instant::min() ||
                    now - this->told_whole_at >= this->options.whole_period;
  if (message.is_full) this->told_whole_at = now;
  for (const auto& [organisation, count] : this->own_counts) {
    const bool recent = now - count.changed_at < this->options.change_memory;
    if (message.is_full || recent) {
      message.counts[organisation] = count.admitted;
    }
  }
  return message;
}

void FleetQuota::ConfirmIfAllHeard(base::Instant now) {
  for (const auto& [name, peer] : this->peers) {
    if (!peer.silent && !peer.heard_since_confirmed) return;
  }
  this->confirmed_at = now;
  for (auto& [name, peer] : this->peers) peer.heard_since_confirmed = false;
  for (auto& [organisation, bucket] : this->buckets) bucket.unconfirmed = 0;
}

bool FleetQuota::TryAdmit(const base::Organisation& organisation,
                          base::Instant now) {
  const auto found = this->buckets.find(organisation);
  if (found == this->buckets.end()) return true;
  this->NoteSilence(now);
  auto& bucket = found->second;
  this->CountDemand(bucket.own_demand, 1, now);
  this->Fill(bucket, now);
  if (bucket.tokens < 1) return false;
  // Peers spend from the same bucket until they know.
  const auto open = OpenShare(bucket);
  const auto part = open > 0 ? bucket.own_share / open : 1.0;
  const bool overdue = now - this->confirmed_at > this->options.round;
  const auto shares = overdue ? 1.0 : this->options.shares_in_round;
  const auto fair = shares * part * (bucket.tokens + bucket.unconfirmed);
  const auto full = bucket.tokens >= kFullPart * bucket.capacity * open;
  const auto least = full ? kFreeWhenFull : kFreeInRound;
  if (bucket.unconfirmed + 1 > std::max(fair, least)) return false;
  bucket.tokens -= 1;
  bucket.unconfirmed += 1;
  auto& own = this->own_counts[organisation];
  ++own.admitted;
  own.changed_at = now;
  return true;
}

void FleetQuota::ReturnToken(const base::Organisation& organisation) {
  const auto found = this->buckets.find(organisation);
  if (found == this->buckets.end()) return;
  auto& bucket = found->second;
  // Peers may have the count already: it only rises, so the token comes back
  // here alone.
  bucket.tokens = std::min(bucket.tokens + 1, bucket.capacity);
}

double FleetQuota::Tokens(const base::Organisation& organisation) const {
  const auto found = this->buckets.find(organisation);
  return found == this->buckets.end() ? 0 : found->second.tokens;
}

base::Instant FleetQuota::NextAdmissionTime(
    const base::Organisation& organisation, base::Instant now) const {
  const auto found = this->buckets.find(organisation);
  if (found == this->buckets.end()) return now;
  const auto& bucket = found->second;
  const auto rate = bucket.rate * OpenShare(bucket);
  if (rate <= 0) return now + std::chrono::seconds(1);
  // Callers of all daemons come back to the same bucket: leave it time to hold
  // a few tokens.
  const auto missing = std::max(0.0, 1 - bucket.tokens) + 1;
  return now + std::chrono::duration_cast<base::Duration>(
                   std::chrono::duration<double>(missing / rate));
}

void FleetQuota::Fill(Bucket& bucket, base::Instant now) const {
  if (now <= bucket.filled_at) return;
  const auto open = OpenShare(bucket);
  const auto grown = Seconds(now - bucket.filled_at) * bucket.rate * open;
  bucket.tokens = std::min(bucket.tokens + grown, bucket.capacity * open);
  bucket.filled_at = now;
}

void FleetQuota::NoteSilence(base::Instant now) {
  for (auto& [name, peer] : this->peers) {
    if (peer.silent || now - peer.heard_at <= this->options.peer_silence) {
      continue;
    }
    for (auto& [organisation, bucket] : this->buckets) {
      this->Fill(bucket, now);
      const auto open = OpenShare(bucket);
      const auto left = std::max(0.0, open - ShareOfPeer(bucket, name));
      // Its part of what has been saved up is its own to use now, and what was
      // spent here since it last spoke came out of this daemon's part.
      const auto whole = bucket.tokens + bucket.unconfirmed;
      if (whole > 0 && open > 0) {
        bucket.tokens = whole * left / open - bucket.unconfirmed;
      }
    }
    peer.silent = true;
    peer.heard_since_confirmed = false;
    for (auto& [organisation, bucket] : this->buckets) this->SetAside(bucket);
  }
}

void FleetQuota::UpdateShares(base::Instant now) {
  if (now - this->shared_at < this->options.share_period) return;
  if (!this->AllHeard()) return;
  this->shares_known = true;
  this->shared_at = now;
  for (auto& [organisation, bucket] : this->buckets) {
    this->ShareOut(bucket, now);
  }
}

void FleetQuota::ShareOut(Bucket& bucket, base::Instant now) const {
  const auto even = this->EvenShare();
  const auto own = this->Faded(bucket.own_demand, now);
  double total = own;
  std::map<std::string, double> demands;
  for (const auto& [name, demand] : bucket.peer_demand) {
    const auto per_second = this->Faded(demand, now);
    demands[name] = per_second;
    total += per_second;
  }
  std::erase_if(bucket.peer_demand, [&](const auto& each) {
    return demands[each.first] < kLeastDemand;
  });
  const auto share = [&](double demand) {
    if (total <= 0) return even;
    return this->options.even_part * even +
           (1 - this->options.even_part) * demand / total;
  };
  bucket.own_share = share(own);
  bucket.idle_share = share(0);
  bucket.peer_shares = std::move(demands);
  for (auto& [name, part] : bucket.peer_shares) part = share(part);
  this->SetAside(bucket);
}

void FleetQuota::SetAside(Bucket& bucket) const {
  bucket.aside = 0;
  for (const auto& [name, peer] : this->peers) {
    if (peer.silent) bucket.aside += ShareOfPeer(bucket, name);
  }
}

double FleetQuota::ShareOfPeer(const Bucket& bucket, const std::string& peer) {
  const auto found = bucket.peer_shares.find(peer);
  return found == bucket.peer_shares.end() ? bucket.idle_share : found->second;
}

double FleetQuota::OpenShare(const Bucket& bucket) {
  return std::max(0.0, 1 - bucket.aside);
}

double FleetQuota::Faded(const Demand& demand, base::Instant now) const {
  const auto since = std::max(0.0, Seconds(now - demand.at));
  return demand.per_second *
         std::exp(-since / Seconds(this->options.demand_window));
}

void FleetQuota::CountDemand(Demand& demand, double requests,
                             base::Instant now) const {
  const auto window = Seconds(this->options.demand_window);
  demand.per_second = this->Faded(demand, now) + requests / window;
  demand.at = now;
}

}  // namespace gypsumtrack::policy
