#include "gypsumtrack/policy/limit_node.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gypsumtrack::policy {
namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(20);
constexpr auto kHintLifetime = std::chrono::seconds(20);
/// Homes are claimed ahead of requests only this long after the first fleet
/// view: a VM that has just started doesn't know all its peers yet.
constexpr auto kViewSettleTime = std::chrono::seconds(3);
/// Minimum time between two checks of unchecked keys.
constexpr auto kMinClaimInterval = std::chrono::milliseconds(100);

/// Appends everything but the messages.
void Append(LimitActions& actions, LimitActions added) {
  const auto move_into = [](auto& to, auto& from) {
    to.insert(to.end(), std::make_move_iterator(from.begin()),
              std::make_move_iterator(from.end()));
  };
  move_into(actions.scans, added.scans);
  move_into(actions.commits, added.commits);
  move_into(actions.results, added.results);
}

}  // namespace

LimitNode::LimitNode(const LimitSettings& settings, LimitPeer self,
                     const base::Location& location)
    : settings(settings),
      table(settings, self.vm),
      lease(settings, self, location.domain, this->table),
      context{settings, self, location.domain, this->lease, this->table, {}} {
  this->context.live_vms[location.domain].push_back(std::move(self));
}

LimitActions LimitNode::DeliverLocally(LimitActions actions,
                                       base::Instant now) {
  LimitActions undelivered;
  while (!actions.messages.empty()) {
    LimitActions next;
    for (auto& outgoing : actions.messages) {
      if (outgoing.to.vm == this->context.self.vm) {
        this->HandleMessage(this->context.self, outgoing.message, now, next);
      } else {
        undelivered.messages.push_back(std::move(outgoing));
      }
    }
    actions.messages.clear();
    Append(undelivered, std::move(actions));
    actions = std::move(next);
  }
  Append(undelivered, std::move(actions));
  return undelivered;
}

LimitActions LimitNode::Tick(base::Instant now) {
  LimitActions actions;
  this->table.Tick(now, actions);
  this->lease.Tick(now, actions);
  this->ClaimNextHome(now, actions);
  for (auto& [key, home] : this->homes) home->Tick(now, actions);
  for (auto& [key, slice] : this->slices) {
    slice.Tick(this->Lenders(key, now), now, actions);
  }
  std::erase_if(this->homes,
                [&](const auto& item) { return item.second->Idle(now); });
  std::erase_if(this->slices,
                [&](const auto& item) { return item.second.Idle(now); });
  return this->DeliverLocally(std::move(actions), now);
}

/// Checks one key and becomes its home if this VM should, so that the first
/// request needn't wait for a home.
void LimitNode::ClaimNextHome(base::Instant now, LimitActions& actions) {
  if (this->unchecked_keys.empty() || !this->lease.Valid(now)) return;
  if (this->first_view_at == base::Instant{}) return;
  if (now < this->first_view_at + kViewSettleTime) return;
  if (now < this->last_claim_at + kMinClaimInterval) return;
  this->last_claim_at = now;
  const auto key = std::move(this->unchecked_keys.back());
  this->unchecked_keys.pop_back();
  const auto& live_vms = this->context.live_vms[this->context.domain];
  const auto home = RendezvousHome(key, live_vms);
  if (home && this->IsSelf(*home)) this->GetOrCreateHome(key, now, actions);
}

LimitActions LimitNode::OnMessage(const LimitPeer& from,
                                  const LimitMessage& message,
                                  base::Instant now) {
  LimitActions actions;
  this->HandleMessage(from, message, now, actions);
  return this->DeliverLocally(std::move(actions), now);
}

void LimitNode::HandleMessage(const LimitPeer& from,
                              const LimitMessage& message, base::Instant now,
                              LimitActions& actions) {
  if (const auto* report = std::get_if<LoanReport>(&message)) {
    auto* home = this->GetOrCreateHome(report->key, now, actions);
    if (home != nullptr) home->OnReport(from, *report, now, actions);
  } else if (const auto* grant = std::get_if<LoanGrant>(&message)) {
    if (grant->role == LoanRole::kHome) {
      const auto home = this->homes.find(grant->key);
      if (home == this->homes.end()) return;
      home->second->OnGrant(from, *grant, now, actions);
      return;
    }
    const auto slice = this->slices.find(grant->key);
    if (slice == this->slices.end()) return;
    slice->second.OnGrant(from, *grant, now, actions);
  } else if (const auto* recall = std::get_if<LoanRecall>(&message)) {
    const auto slice = this->slices.find(recall->key);
    if (slice == this->slices.end()) return;
    slice->second.OnRecall(from, now, actions);
  } else if (const auto* hint = std::get_if<HomeHint>(&message)) {
    const auto home = this->homes.find(hint->key);
    if (home != this->homes.end()) home->second->OnHomeHint(from, *hint, now);
    const auto& own = this->context.live_vms[this->context.domain];
    const bool from_own_domain =
        std::any_of(own.begin(), own.end(),
                    [&](const auto& peer) { return peer.vm == from.vm; });
    if (!from_own_domain) return;
    if (hint->home.name.empty()) {
      const auto slice = this->slices.find(hint->key);
      if (slice != this->slices.end()) slice->second.OnHomeNotReady(now);
    } else {
      this->home_hints[hint->key] = {{hint->home, hint->address},
                                     now + kHintLifetime};
    }
  } else if (const auto* row_change = std::get_if<ShareRowChanged>(&message)) {
    const auto home = this->homes.find(row_change->key);
    if (home != this->homes.end()) {
      home->second->OnShareRowChanged(now, actions);
    }
  } else if (const auto* vote_request =
                 std::get_if<LeaseVoteRequest>(&message)) {
    this->lease.OnLeaseVoteRequest(from, *vote_request, now, actions);
  } else if (const auto* vote_reply = std::get_if<LeaseVoteReply>(&message)) {
    this->lease.OnLeaseVoteReply(from.vm, *vote_reply);
  } else if (const auto* fence = std::get_if<FenceRequest>(&message)) {
    this->lease.OnFenceRequest(from, *fence, now, actions);
  } else if (const auto* consent = std::get_if<FenceConsent>(&message)) {
    this->lease.OnFenceConsent(from.vm, *consent);
  }
}

LimitHome* LimitNode::GetOrCreateHome(const LimitKey& key, base::Instant now,
                                      LimitActions& actions) {
  const auto limit = this->limits.find(key);
  if (limit == this->limits.end()) return nullptr;
  auto& home = this->homes[key];
  if (home == nullptr) {
    home = std::make_unique<LimitHome>(this->context, key, now);
    home->OnLimit(this->revision, limit->second, now, actions);
  }
  return home.get();
}

LimitActions LimitNode::OnCommitReply(std::uint64_t id,
                                      const base::Status& status,
                                      base::Instant now) {
  LimitActions actions;
  this->table.OnCommitReply(id, status, now, actions);
  return this->DeliverLocally(std::move(actions), now);
}

LimitActions LimitNode::OnScanReply(std::uint64_t id,
                                    const base::Outcome<base::ScanReply>& reply,
                                    base::Instant now) {
  LimitActions actions;
  this->table.OnScanReply(id, reply, now, actions);
  return this->DeliverLocally(std::move(actions), now);
}

LimitActions LimitNode::OnFleetView(const FleetView& view, base::Instant now) {
  this->platform_reachable = view.platform_reachable;
  if (this->first_view_at == base::Instant{}) this->first_view_at = now;
  auto& live_vms = this->context.live_vms;
  live_vms.clear();
  live_vms[this->context.domain].push_back(this->context.self);
  std::vector<PeerVm> own;
  for (const auto& peer : view.peers) {
    if (peer.location.domain == this->context.domain) own.push_back(peer);
    if (peer.state != PeerState::kLive) continue;
    live_vms[peer.location.domain].push_back({peer.id, peer.address});
  }
  this->lease.OnPeers(std::move(own));
  return this->Tick(now);
}

LimitActions LimitNode::OnRules(base::Revision next_revision,
                                std::map<LimitKey, Limit> next,
                                base::Instant now) {
  LimitActions actions;
  if (next_revision < this->revision) return actions;
  this->revision = next_revision;
  this->unchecked_keys.clear();
  for (const auto& [key, limit] : next) {
    if (!this->homes.contains(key)) this->unchecked_keys.push_back(key);
  }
  this->limits = std::move(next);
  for (auto& [key, home] : this->homes) {
    const auto limit = this->limits.find(key);
    if (limit == this->limits.end()) continue;
    home->OnLimit(next_revision, limit->second, now, actions);
  }
  return this->DeliverLocally(std::move(actions), now);
}

LimitDecision LimitNode::Admit(const LimitKey& key, base::Instant now,
                               base::Instant deadline, std::uint64_t request_id,
                               LimitActions& actions) {
  const auto limit = this->limits.find(key);
  if (limit == this->limits.end()) return LimitDecision::kNotReady;
  if (limit->second.isolated == IsolatedMode::kRefuse && this->Isolated()) {
    return LimitDecision::kIsolated;
  }
  auto [slice, is_new] = this->slices.try_emplace(key, this->settings, key);
  LimitActions own_actions;
  auto decision = slice->second.Admit(
      {request_id, deadline}, this->Lenders(key, now), now, own_actions);
  own_actions = this->DeliverLocally(std::move(own_actions), now);
  std::move(own_actions.messages.begin(), own_actions.messages.end(),
            std::back_inserter(actions.messages));
  // A result that is already known is returned here and not as an action.
  const auto own_result = std::find_if(
      own_actions.results.begin(), own_actions.results.end(),
      [&](const auto& result) { return result.request_id == request_id; });
  if (own_result != own_actions.results.end()) {
    decision = own_result->decision;
    own_actions.results.erase(own_result);
  }
  Append(actions, std::move(own_actions));
  return decision;
}

void LimitNode::CountAdmitted(const LimitKey& key, std::uint32_t requests) {
  const auto slice = this->slices.find(key);
  if (slice != this->slices.end()) slice->second.CountAdmitted(requests);
}

LimitActions LimitNode::ReleaseLease(base::Instant now) {
  LimitActions actions;
  this->lease.Release(now, actions);
  return actions;
}

LimitLenders LimitNode::Lenders(const LimitKey& key, base::Instant now) const {
  LimitLenders lenders;
  for (const auto& [domain, peers] : this->context.live_vms) {
    if (domain == this->context.domain) {
      lenders.home = RendezvousHome(key, peers);
      const auto hint = this->home_hints.find(key);
      if (hint == this->home_hints.end() || now >= hint->second.expires) {
        continue;
      }
      const bool is_live =
          std::any_of(peers.begin(), peers.end(), [&](const LimitPeer& peer) {
            return peer.vm == hint->second.home.vm;
          });
      if (is_live) lenders.home = hint->second.home;
    } else if (auto other = RendezvousHome(key, peers)) {
      lenders.others.push_back(std::move(*other));
    }
  }
  return lenders;
}

bool LimitNode::IsSelf(const LimitPeer& peer) const {
  return peer.vm == this->context.self.vm;
}

bool LimitNode::Isolated() const {
  return !this->platform_reachable && this->context.live_vms.size() == 1;
}

base::Instant LimitNode::NextWake(base::Instant now) const {
  auto wake = now + kTickInterval;
  for (const auto& [key, slice] : this->slices) {
    wake = std::min(wake, slice.NextWake());
  }
  for (const auto& [key, home] : this->homes) {
    wake = std::min(wake, home->wake());
  }
  return std::max(wake, now + this->settings.min_report_interval);
}

std::shared_ptr<TokenSlice> LimitNode::Slice(const LimitKey& key) const {
  const auto slice = this->slices.find(key);
  if (slice == this->slices.end()) return nullptr;
  const auto home = this->Lenders(key, base::Instant{}).home;
  return home ? slice->second.Slice(home->vm) : nullptr;
}

std::map<LimitKey, std::shared_ptr<TokenSlice>> LimitNode::Slices() const {
  std::map<LimitKey, std::shared_ptr<TokenSlice>> all;
  for (const auto& [key, slices_of_key] : this->slices) {
    if (auto slice = this->Slice(key)) all.emplace(key, std::move(slice));
  }
  return all;
}

base::Instant LimitNode::RetryAt(const LimitKey& key, base::Instant now) const {
  const auto slice = this->slices.find(key);
  const auto earliest = now + this->settings.cross_domain_interval;
  if (slice == this->slices.end()) return earliest;
  return std::max(earliest, slice->second.retry_at());
}

std::vector<LimitKey> LimitNode::Keys() const {
  std::vector<LimitKey> keys;
  for (const auto& [key, limit] : this->limits) keys.push_back(key);
  return keys;
}

std::optional<LimitReport> LimitNode::Report(const LimitKey& key,
                                             base::Instant now) const {
  const auto limit = this->limits.find(key);
  if (limit == this->limits.end()) return std::nullopt;
  LimitReport report;
  report.key = key;
  report.limit = limit->second.quota;
  const auto slice = this->slices.find(key);
  if (slice != this->slices.end()) {
    report.slice_tokens = slice->second.TokensHeld(now);
  }
  const auto home = this->homes.find(key);
  if (home == this->homes.end()) return report;
  report.row = home->second->row();
  report.row_age = now - home->second->read_at();
  report.is_home = home->second->IsHome();
  report.usable = home->second->CanLend(now);
  report.tokens_left = home->second->TokensLeft(now);
  report.borrowed = home->second->Borrowed();
  for (const auto& [borrower, entry] : home->second->ledger().entries()) {
    report.holders.push_back({borrower.vm, borrower.role, Outstanding(entry),
                              now - entry.last_report_at});
  }
  return report;
}

}  // namespace gypsumtrack::policy
