#include "gypsumtrack/policy/serving/fleet_quota.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace gypsumtrack::policy {
namespace {

/// Largest debt (negative number of tokens) that admissions by peers may cause,
/// in seconds of the rate.
constexpr double kMaxDebtSeconds = 3;

/// Fractions of the allowed excess that are available to callers.
constexpr double kRateExcessFraction = 0.4;
constexpr double kBurstExcessFraction = 0.5;
/// Part of the excess that isn't available to callers, in seconds of the rate:
/// what daemons may admit in a round of gossip while an organisation sends
/// several times its rate.
constexpr double kUnconfirmedSeconds = 1.5;
/// Requests that every daemon may admit in a round, whatever its share:
/// otherwise a nearly empty bucket would admit none at all. A nearly full
/// bucket allows for more.
constexpr double kMinPerRound = 1;
constexpr double kMinPerRoundWhenFull = 3;
constexpr double kFullFraction = 0.85;
/// In a large fleet one request of each daemon in a round may be more than a
/// bucket holds. In a bucket that is filled less than this, a daemon whose
/// share is less than a request admits one at random, in proportion to its
/// share.
constexpr double kScarceFraction = 0.5;
/// A round ends without late peers only if they have at most this part of the
/// bucket, and if the own share of the rest is this number of requests.
constexpr double kMaxLateFraction = 0.3;
constexpr double kMinTokensPerShare = 1;
/// Demand below which a peer counts as idle, in requests a second.
constexpr double kMinDemand = 0.005;
/// Interval between checks for unresponsive peers.
constexpr base::Duration kDetectionPeriod = std::chrono::milliseconds(50);

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

FleetQuota::FleetQuota(FleetQuotaOptions options)
    : options(options), random(options.random_seed) {}

void FleetQuota::SetRules(const std::vector<OrganisationRule>& organisations,
                          base::Instant now) {
  this->rules_known = true;
  std::set<base::Organisation> listed;
  for (const auto& rule : organisations) {
    if (rule.rate <= 0) continue;
    listed.insert(rule.name);
    const auto [at, is_new] = this->buckets.try_emplace(rule.name);
    auto& bucket = at->second;
    if (!is_new) this->Refill(bucket, now);
    bucket.rate =
        rule.rate * (1 + kRateExcessFraction * this->options.excess_fraction);
    bucket.capacity = rule.burst * (1 + kBurstExcessFraction *
                                            this->options.excess_fraction) +
                      this->ExcessCapacity(rule.rate);
    if (is_new) {
      bucket.tokens = bucket.capacity * this->options.initial_fill;
      bucket.refilled_at = now;
      bucket.own_share = this->EvenShare();
      bucket.idle_share = this->EvenShare();
      this->UpdateReservedShare(bucket);
      if (this->LacksPeers()) {
        // One request at least: an organisation that sends few isn't refused.
        bucket.tokens = std::max(1.0, bucket.tokens * kShareWithoutPeers);
      }
    }
    bucket.tokens = std::min(bucket.tokens, bucket.capacity);
  }
  std::erase_if(this->buckets,
                [&](const auto& each) { return !listed.contains(each.first); });
}

double FleetQuota::ExcessCapacity(double rate) const {
  const auto excess = this->options.excess_requests;
  const auto unconfirmed = std::min(excess / 2, kUnconfirmedSeconds * rate);
  return std::max(0.0, excess - unconfirmed - 1);
}

void FleetQuota::SetPeers(const std::vector<std::string>& names,
                          base::Instant now) {
  const std::set<std::string> listed(names.begin(), names.end());
  const auto removed = std::erase_if(this->peers, [&](const auto& each) {
    const auto unresponsive_for = now - each.second.received_at;
    return !listed.contains(each.first) &&
           unresponsive_for > this->options.unlisted_peer_timeout;
  });
  std::vector<std::string> added;
  for (const auto& name : listed) {
    if (this->peers.try_emplace(name).second) added.push_back(name);
  }
  const bool are_first = !std::exchange(this->peers_known, true);
  if (removed == 0 && added.empty() && !are_first) return;
  this->CountPeers();
  if (!added.empty()) this->full_message_at = base::Instant::min();
  for (auto& [organisation, bucket] : this->buckets) {
    this->Refill(bucket, now);
    std::erase_if(bucket.peer_uses, [&](const auto& each) {
      return !this->peers.contains(each.first);
    });
    this->OnPeersChanged(bucket, added, now);
  }
}

void FleetQuota::OnPeersChanged(Bucket& bucket,
                                const std::vector<std::string>& added,
                                base::Instant now) const {
  if (this->AllPeersResponsive()) return this->ComputeShares(bucket, now);
  const auto even = this->EvenShare();
  if (this->shares_known) {
    for (const auto& name : added) bucket.peer_uses[name] = {{}, even};
  } else {
    // Only this daemon's demand is known yet: with shares by demand it would
    // get nearly the whole bucket.
    bucket.own_share = even;
    bucket.idle_share = even;
    for (auto& [name, use] : bucket.peer_uses) use.share = even;
  }
  this->UpdateReservedShare(bucket);
}

bool FleetQuota::LacksPeers() const {
  return this->options.starts_without_peers && !this->peers_known;
}

bool FleetQuota::AllPeersResponsive() const {
  return this->unresponsive_count == 0;
}

void FleetQuota::CountPeers() {
  this->unresponsive_count = 0;
  this->awaited_count = 0;
  for (const auto& [name, peer] : this->peers) {
    if (peer.unresponsive) ++this->unresponsive_count;
    const bool is_awaited =
        !peer.unresponsive && !peer.received_since_confirmation;
    if (is_awaited) ++this->awaited_count;
  }
}

bool FleetQuota::IsLargeFleet() const {
  return this->peers.size() > this->options.large_fleet_peers;
}

double FleetQuota::RandomFraction() {
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

base::Duration FleetQuota::Scaled(base::Duration duration) const {
  return this->IsLargeFleet() ? duration * this->options.large_fleet_factor
                              : duration;
}

double FleetQuota::EvenShare() const {
  return 1 / static_cast<double>(this->peers.size() + 1);
}

void FleetQuota::OnPeerCounts(const base::VmId& vm,
                              const CountsMessage& message, base::Instant now) {
  if (!this->rules_known) {
    this->full_wanted_at = now;
    return;
  }
  this->DetectUnresponsivePeers(now);
  const auto [at, is_new] = this->peers.try_emplace(vm.name);
  if (is_new) this->CountPeers();
  auto& peer = at->second;
  const bool restarted =
      peer.incarnation != 0 && peer.incarnation != vm.incarnation;
  const bool was_unresponsive = peer.unresponsive;
  if (message.wants_full) this->full_requested = true;
  if (was_unresponsive && !message.is_full) {
    this->full_wanted_at = now;
    return;
  }
  if (restarted) peer.counts.clear();
  const bool is_known = peer.incarnation != 0;
  for (const auto& [organisation, count] : message.counts) {
    auto& known = peer.counts[organisation];
    const auto count_before = std::exchange(known, std::max(known, count));
    const auto found = this->buckets.find(organisation);
    if (found == this->buckets.end() || count <= count_before) continue;
    auto& bucket = found->second;
    auto admitted = static_cast<double>(count - count_before);
    if (was_unresponsive) {
      // The first count of a peer may include admissions of long ago.
      if (!is_known) continue;
      admitted -= this->ReservedTokens(bucket, vm.name, now);
    }
    if (admitted > 0) {
      this->SubtractPeerAdmissions(bucket, vm.name, admitted, now);
    }
  }
  peer.incarnation = vm.incarnation;
  peer.received_at = now;
  if (was_unresponsive) {
    peer.unresponsive = false;
    --this->unresponsive_count;
    for (auto& [organisation, bucket] : this->buckets) {
      this->Refill(bucket, now);
      this->ReleaseShare(bucket, vm.name);
    }
  } else if (!peer.received_since_confirmation) {
    --this->awaited_count;
  }
  peer.received_since_confirmation = true;
  this->ConfirmIfAllReceived(now);
  this->UpdateShares(now);
}

double FleetQuota::ReservedTokens(const Bucket& bucket, const std::string& peer,
                                  base::Instant now) const {
  const auto unresponsive_for = Seconds(now - this->peers.at(peer).received_at);
  return ShareOfPeer(bucket, peer) * bucket.rate * unresponsive_for;
}

void FleetQuota::SubtractPeerAdmissions(Bucket& bucket, const std::string& peer,
                                        double admitted,
                                        base::Instant now) const {
  this->Refill(bucket, now);
  const auto [use, is_new] = bucket.peer_uses.try_emplace(peer);
  if (is_new) use->second.share = bucket.idle_share;
  this->AddDemand(use->second.demand, admitted, now);
  const auto min_tokens = -kMaxDebtSeconds * bucket.rate;
  bucket.tokens = std::max(bucket.tokens - admitted, min_tokens);
}

bool FleetQuota::FullMessageIsDue(base::Instant now) const {
  if (this->full_message_at == base::Instant::min()) return true;
  const auto period = this->IsLargeFleet() && !this->full_requested
                          ? this->options.large_fleet_full_message_period
                          : this->Scaled(this->options.full_message_period);
  return now - this->full_message_at >= period;
}

CountsMessage FleetQuota::NextCountsMessage(base::Instant now,
                                            bool reaches_all) {
  CountsMessage message;
  message.is_full = reaches_all && this->FullMessageIsDue(now);
  if (message.is_full) {
    this->full_message_at = now;
    this->full_requested = false;
  }
  message.wants_full =
      this->full_wanted_at != base::Instant::min() &&
      now - this->full_wanted_at < this->Scaled(this->options.round_timeout);
  for (const auto& [organisation, count] : this->own_counts) {
    const bool recent = now - count.changed_at < this->options.delta_window;
    if (message.is_full || recent) {
      message.counts[organisation] = count.admitted;
    }
  }
  return message;
}

void FleetQuota::ConfirmIfAllReceived(base::Instant now) {
  if (this->awaited_count > 0) return;
  this->confirmed_at = now;
  for (auto& [name, peer] : this->peers) {
    peer.received_since_confirmation = false;
  }
  this->CountPeers();
  for (auto& [organisation, bucket] : this->buckets) {
    bucket.unconfirmed = 0;
    bucket.late_share = 0;
  }
}

double FleetQuota::TokensWithoutLate(const Bucket& bucket) {
  const auto unreserved = UnreservedShare(bucket);
  if (unreserved <= 0) return bucket.tokens;
  const auto late_part = std::min(1.0, bucket.late_share / unreserved);
  return bucket.tokens * (1 - late_part);
}

void FleetQuota::ConfirmWithoutLatePeers(base::Instant now) {
  const auto last = std::max(this->confirmed_at, this->partly_confirmed_at);
  const auto timeout = this->Scaled(this->options.partial_round_timeout);
  if (this->awaited_count == 0 || now - last <= timeout) return;
  std::vector<std::string> late;
  for (const auto& [name, peer] : this->peers) {
    if (!peer.unresponsive && peer.received_at <= last) late.push_back(name);
  }
  this->partly_confirmed_at = now;
  for (auto& [organisation, bucket] : this->buckets) {
    double late_share = 0;
    for (const auto& name : late) late_share += ShareOfPeer(bucket, name);
    if (late_share > kMaxLateFraction * UnreservedShare(bucket)) continue;
    const bool holds_enough =
        bucket.own_share * (bucket.tokens - bucket.unconfirmed) >=
        kMinTokensPerShare;
    if (!holds_enough) continue;
    bucket.late_share = late_share;
    bucket.unconfirmed = 0;
    bucket.partly_confirmed_at = now;
  }
}

bool FleetQuota::TryAdmit(const base::Organisation& organisation,
                          base::Instant now, AdmissionKind kind) {
  const auto found = this->buckets.find(organisation);
  if (found == this->buckets.end()) return true;
  this->DetectUnresponsivePeers(now);
  auto& bucket = found->second;
  const bool asks_again = kind == AdmissionKind::kWaitingContinuation;
  if (!asks_again) this->AddDemand(bucket.own_demand, 1, now);
  this->Refill(bucket, now);
  if (bucket.tokens < 1) return false;
  const bool yields = kind == AdmissionKind::kNew &&
                      this->waiting_continuations.contains(organisation);
  if (yields) return false;
  // Peers spend from the same bucket until they receive this daemon's counts.
  const auto unreserved = UnreservedShare(bucket);
  const auto own_part = unreserved > 0 ? bucket.own_share / unreserved : 1.0;
  const auto confirmed =
      std::max(this->confirmed_at, bucket.partly_confirmed_at);
  const bool overdue =
      now - confirmed > this->Scaled(this->options.round_timeout);
  const auto max_shares = overdue ? 1.0 : this->options.max_shares_per_round;
  const auto fair_limit =
      max_shares * own_part * (TokensWithoutLate(bucket) + bucket.unconfirmed);
  const auto fill = bucket.tokens / (bucket.capacity * unreserved);
  auto min_limit = fill >= kFullFraction ? kMinPerRoundWhenFull : kMinPerRound;
  if (this->IsLargeFleet() && fill < kScarceFraction) {
    min_limit = this->RandomFraction() < fair_limit ? kMinPerRound : 0;
  }
  if (bucket.unconfirmed + 1 > std::max(fair_limit, min_limit)) return false;
  bucket.tokens -= 1;
  bucket.unconfirmed += 1;
  auto& own = this->own_counts[organisation];
  ++own.admitted;
  ++this->own_admitted;
  own.changed_at = now;
  return true;
}

void FleetQuota::OnContinuationWaits(const base::Organisation& organisation) {
  ++this->waiting_continuations[organisation];
}

void FleetQuota::OnContinuationWaitEnded(
    const base::Organisation& organisation) {
  const auto found = this->waiting_continuations.find(organisation);
  if (--found->second == 0) this->waiting_continuations.erase(found);
}

void FleetQuota::ReturnToken(const base::Organisation& organisation) {
  const auto found = this->buckets.find(organisation);
  if (found == this->buckets.end()) return;
  auto& bucket = found->second;
  // Peers may have received the count already, and counts never decrease: the
  // token is returned to this daemon's copy only.
  bucket.tokens = std::min(bucket.tokens + 1, bucket.capacity);
}

double FleetQuota::Tokens(const base::Organisation& organisation) const {
  const auto found = this->buckets.find(organisation);
  return found == this->buckets.end() ? 0 : found->second.tokens;
}

QuotaState FleetQuota::State(const base::Organisation& organisation,
                             base::Instant now) const {
  const auto found = this->buckets.find(organisation);
  if (found == this->buckets.end()) return {};
  const auto& bucket = found->second;
  return {bucket.tokens, bucket.unconfirmed, bucket.own_share,
          bucket.reserved_share, now - this->confirmed_at};
}

std::vector<std::string> FleetQuota::PeerNames() const {
  std::vector<std::string> names;
  for (const auto& [name, peer] : this->peers) names.push_back(name);
  return names;
}

base::Instant FleetQuota::NextAdmissionTime(
    const base::Organisation& organisation, base::Instant now) const {
  const auto found = this->buckets.find(organisation);
  if (found == this->buckets.end()) return now;
  const auto& bucket = found->second;
  const auto rate = bucket.rate * UnreservedShare(bucket);
  if (rate <= 0) return now + std::chrono::seconds(1);
  // Callers of all daemons retry against the same bucket: wait for one token
  // more than is missing.
  const auto missing_tokens = std::max(0.0, 1 - bucket.tokens) + 1;
  return now + std::chrono::duration_cast<base::Duration>(
                   std::chrono::duration<double>(missing_tokens / rate));
}

void FleetQuota::Refill(Bucket& bucket, base::Instant now) const {
  if (now <= bucket.refilled_at) return;
  const auto unreserved = UnreservedShare(bucket);
  const auto added =
      Seconds(now - bucket.refilled_at) * bucket.rate * unreserved;
  bucket.tokens = std::min(bucket.tokens + added, bucket.capacity * unreserved);
  bucket.refilled_at = now;
}

void FleetQuota::DetectUnresponsivePeers(base::Instant now) {
  if (now < this->next_detection_at) return;
  this->next_detection_at = now + kDetectionPeriod;
  this->ConfirmWithoutLatePeers(now);
  const auto timeout = this->Scaled(this->options.peer_timeout);
  std::vector<std::string> lost;
  for (auto& [name, peer] : this->peers) {
    if (peer.unresponsive || now - peer.received_at <= timeout) continue;
    peer.unresponsive = true;
    peer.received_since_confirmation = false;
    lost.push_back(name);
  }
  if (lost.empty()) return;
  this->CountPeers();
  for (auto& [organisation, bucket] : this->buckets) {
    this->Refill(bucket, now);
    for (const auto& name : lost) ReserveShare(bucket, name);
  }
}

void FleetQuota::ReserveShare(Bucket& bucket, const std::string& peer) {
  const auto share = ShareOfPeer(bucket, peer);
  const auto unreserved = UnreservedShare(bucket);
  const auto remaining = std::max(0.0, unreserved - share);
  // The peer may use its share of the saved tokens now. What was admitted here
  // since its last message counts against the rest.
  const auto total = bucket.tokens + bucket.unconfirmed;
  if (total > 0 && unreserved > 0) {
    bucket.tokens = total * remaining / unreserved - bucket.unconfirmed;
  }
  bucket.reserved_share += share;
}

void FleetQuota::ReleaseShare(Bucket& bucket, const std::string& peer) const {
  const auto remaining = bucket.reserved_share - ShareOfPeer(bucket, peer);
  bucket.reserved_share =
      this->AllPeersResponsive() ? 0 : std::max(0.0, remaining);
  if (this->LacksPeers()) this->UpdateReservedShare(bucket);
}

void FleetQuota::UpdateShares(base::Instant now) {
  if (!this->AllPeersResponsive()) return;
  const auto update_period = this->Scaled(this->options.share_update_period);
  if (now - this->shares_updated_at < update_period) return;
  this->shares_known = true;
  this->shares_updated_at = now;
  for (auto& [organisation, bucket] : this->buckets) {
    this->ComputeShares(bucket, now);
  }
}

void FleetQuota::ComputeShares(Bucket& bucket, base::Instant now) const {
  const auto even = this->EvenShare();
  const auto own = this->DecayedDemand(bucket.own_demand, now);
  double total = own;
  for (auto& [name, use] : bucket.peer_uses) {
    this->Decay(use.demand, now);
    total += use.demand.per_second;
  }
  std::erase_if(bucket.peer_uses, [](const auto& each) {
    return each.second.demand.per_second < kMinDemand;
  });
  const auto share = [&](double demand) {
    if (total <= 0) return even;
    return this->options.even_fraction * even +
           (1 - this->options.even_fraction) * demand / total;
  };
  bucket.own_share = share(own);
  bucket.idle_share = share(0);
  for (auto& [name, use] : bucket.peer_uses) {
    use.share = share(use.demand.per_second);
  }
  this->UpdateReservedShare(bucket);
}

void FleetQuota::UpdateReservedShare(Bucket& bucket) const {
  if (this->LacksPeers()) {
    bucket.reserved_share = 1 - kShareWithoutPeers;
    return;
  }
  bucket.reserved_share = 0;
  if (this->AllPeersResponsive()) return;
  for (const auto& [name, peer] : this->peers) {
    if (peer.unresponsive) bucket.reserved_share += ShareOfPeer(bucket, name);
  }
}

double FleetQuota::ShareOfPeer(const Bucket& bucket, const std::string& peer) {
  const auto found = bucket.peer_uses.find(peer);
  return found == bucket.peer_uses.end() ? bucket.idle_share
                                         : found->second.share;
}

double FleetQuota::UnreservedShare(const Bucket& bucket) {
  return std::max(0.0, 1 - bucket.reserved_share);
}

double FleetQuota::DecayedDemand(const Demand& demand,
                                 base::Instant now) const {
  const auto elapsed = std::max(0.0, Seconds(now - demand.updated_at));
  return demand.per_second *
         std::exp(-elapsed / Seconds(this->options.demand_window));
}

void FleetQuota::AddDemand(Demand& demand, double requests,
                           base::Instant now) const {
  this->Decay(demand, now);
  demand.per_second += requests / Seconds(this->options.demand_window);
}

void FleetQuota::Decay(Demand& demand, base::Instant now) const {
  demand.per_second = this->DecayedDemand(demand, now);
  demand.updated_at = now;
}

}  // namespace gypsumtrack::policy
