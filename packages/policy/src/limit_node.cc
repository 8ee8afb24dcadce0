#include "gypsumtrack/policy/limit_node.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gypsumtrack::policy {
namespace {

constexpr auto kTick = std::chrono::milliseconds(20);
constexpr auto kHintKept = std::chrono::seconds(20);
/// A VM that has just started doesn't know its peers yet.
constexpr auto kViewSettles = std::chrono::seconds(3);
constexpr auto kClaimGap = std::chrono::milliseconds(100);

void Append(LimitActions& all, LimitActions more) {
  const auto move_into = [](auto& to, auto& from) {
    to.insert(to.end(), std::make_move_iterator(from.begin()),
              std::make_move_iterator(from.end()));
  };
  move_into(all.scans, more.scans);
  move_into(all.commits, more.commits);
  move_into(all.answers, more.answers);
}

}  // namespace

LimitNode::LimitNode(const LimitSettings& settings, LimitPeer self,
                     const base::Place& place)
    : settings(settings),
      table(settings, self.vm),
      lease(settings, self, place.domain, this->table),
      context{settings, self, place.domain, this->lease, this->table, {}} {
  this->context.live[place.domain].push_back(std::move(self));
}

LimitActions LimitNode::Deliver(LimitActions actions, base::Instant now) {
  LimitActions all;
  while (!actions.sends.empty()) {
    LimitActions next;
    for (auto& send : actions.sends) {
      if (send.to.vm == this->context.self.vm) {
        this->Handle(this->context.self, send.message, now, next);
      } else {
        all.sends.push_back(std::move(send));
      }
    }
    actions.sends.clear();
    Append(all, std::move(actions));
    actions = std::move(next);
  }
  Append(all, std::move(actions));
  return all;
}

LimitActions LimitNode::Tick(base::Instant now) {
  LimitActions actions;
  this->table.Tick(now, actions);
  this->lease.Tick(now, actions);
  this->ClaimOwnHomes(now, actions);
  for (auto& [key, home] : this->homes) home->Tick(now, actions);
  for (auto& [key, slice] : this->slices) {
    slice.Tick(this->Lenders(key, now), now, actions);
  }
  std::erase_if(this->homes,
                [&](const auto& item) { return item.second->Idle(now); });
  std::erase_if(this->slices,
                [&](const auto& item) { return item.second.Idle(now); });
  return this->Deliver(std::move(actions), now);
}

/// Becomes home ahead of the first request, so that it needn't wait.
void LimitNode::ClaimOwnHomes(base::Instant now, LimitActions& actions) {
  if (this->to_claim.empty() || !this->lease.Valid(now)) return;
  if (this->viewed_at == base::Instant{}) return;
  if (now < this->viewed_at + kViewSettles) return;
  if (now < this->claimed_at + kClaimGap) return;
  this->claimed_at = now;
  const auto key = std::move(this->to_claim.back());
  this->to_claim.pop_back();
  const auto& live = this->context.live[this->context.domain];
  const auto home = RendezvousHome(key, live);
  if (home && this->IsOwn(*home)) this->Home(key, now, actions);
}

LimitActions LimitNode::OnMessage(const LimitPeer& from,
                                  const LimitMessage& message,
                                  base::Instant now) {
  LimitActions actions;
  this->Handle(from, message, now, actions);
  return this->Deliver(std::move(actions), now);
}

void LimitNode::Handle(const LimitPeer& from, const LimitMessage& message,
                       base::Instant now, LimitActions& actions) {
  if (const auto* report = std::get_if<LoanReport>(&message)) {
    auto* home = this->Home(report->key, now, actions);
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
    const auto& own = this->context.live[this->context.domain];
    const bool from_own_domain =
        std::any_of(own.begin(), own.end(),
                    [&](const auto& peer) { return peer.vm == from.vm; });
    if (!from_own_domain) return;
    if (hint->home.name.empty()) {
      const auto slice = this->slices.find(hint->key);
      if (slice != this->slices.end()) slice->second.OnHomeNotReady(now);
    } else {
      this->hints[hint->key] = {{hint->home, hint->address}, now + kHintKept};
    }
  } else if (const auto* share = std::get_if<ShareHint>(&message)) {
    const auto home = this->homes.find(share->key);
    if (home != this->homes.end()) home->second->OnShareHint(now, actions);
  } else if (const auto* vouch = std::get_if<VouchRequest>(&message)) {
    this->lease.OnVouchRequest(from, *vouch, now, actions);
  } else if (const auto* vouched = std::get_if<VouchReply>(&message)) {
    this->lease.OnVouchReply(from.vm, *vouched);
  } else if (const auto* fence = std::get_if<FenceRequest>(&message)) {
    this->lease.OnFenceRequest(from, *fence, now, actions);
  } else if (const auto* consent = std::get_if<FenceConsent>(&message)) {
    this->lease.OnFenceConsent(from.vm, *consent);
  }
}

LimitHome* LimitNode::Home(const LimitKey& key, base::Instant now,
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
  return this->Deliver(std::move(actions), now);
}

LimitActions LimitNode::OnScanReply(std::uint64_t id,
                                    const base::Outcome<base::ScanReply>& reply,
                                    base::Instant now) {
  LimitActions actions;
  this->table.OnScanReply(id, reply, now, actions);
  return this->Deliver(std::move(actions), now);
}

LimitActions LimitNode::OnFleetView(const FleetView& view, base::Instant now) {
  this->platform_reachable = view.platform_reachable;
  if (this->viewed_at == base::Instant{}) this->viewed_at = now;
  auto& live = this->context.live;
  live.clear();
  live[this->context.domain].push_back(this->context.self);
  std::vector<PeerVm> own;
  for (const auto& peer : view.peers) {
    if (peer.location.domain == this->context.domain) own.push_back(peer);
    if (peer.state != PeerState::kLive) continue;
    live[peer.location.domain].push_back({peer.id, peer.address});
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
  this->to_claim.clear();
  for (const auto& [key, limit] : next) {
    if (!this->homes.contains(key)) this->to_claim.push_back(key);
  }
  this->limits = std::move(next);
  for (auto& [key, home] : this->homes) {
    const auto limit = this->limits.find(key);
    if (limit == this->limits.end()) continue;
    home->OnLimit(next_revision, limit->second, now, actions);
  }
  return this->Deliver(std::move(actions), now);
}

LimitVerdict LimitNode::Admit(const LimitKey& key, base::Instant now,
                              base::Instant deadline, std::uint64_t request_id,
                              LimitActions& actions) {
  const auto limit = this->limits.find(key);
  if (limit == this->limits.end()) return LimitVerdict::kNotReady;
  if (limit->second.isolated == IsolatedMode::kRefuse && this->Isolated()) {
    return LimitVerdict::kIsolated;
  }
  auto [slice, is_new] = this->slices.try_emplace(key, this->settings, key);
  LimitActions made;
  auto verdict = slice->second.Admit({request_id, deadline},
                                     this->Lenders(key, now), now, made);
  made = this->Deliver(std::move(made), now);
  std::move(made.sends.begin(), made.sends.end(),
            std::back_inserter(actions.sends));
  // An answer that is there already needn't be given twice.
  const auto answered = std::find_if(
      made.answers.begin(), made.answers.end(),
      [&](const auto& one) { return one.request_id == request_id; });
  if (answered != made.answers.end()) {
    verdict = answered->verdict;
    made.answers.erase(answered);
  }
  Append(actions, std::move(made));
  return verdict;
}

void LimitNode::CountAdmitted(const LimitKey& key, std::uint32_t requests) {
  const auto slice = this->slices.find(key);
  if (slice != this->slices.end()) slice->second.CountAdmitted(requests);
}

LimitActions LimitNode::Leave(base::Instant now) {
  LimitActions actions;
  this->lease.Leave(now, actions);
  return actions;
}

LimitLenders LimitNode::Lenders(const LimitKey& key, base::Instant now) const {
  LimitLenders lenders;
  for (const auto& [domain, peers] : this->context.live) {
    if (domain == this->context.domain) {
      lenders.home = RendezvousHome(key, peers);
      const auto hint = this->hints.find(key);
      if (hint == this->hints.end() || now >= hint->second.until) continue;
      const bool live =
          std::any_of(peers.begin(), peers.end(), [&](const LimitPeer& peer) {
            return peer.vm == hint->second.home.vm;
          });
      if (live) lenders.home = hint->second.home;
    } else if (auto other = RendezvousHome(key, peers)) {
      lenders.others.push_back(std::move(*other));
    }
  }
  return lenders;
}

bool LimitNode::IsOwn(const LimitPeer& peer) const {
  return peer.vm == this->context.self.vm;
}

bool LimitNode::Isolated() const {
  return !this->platform_reachable && this->context.live.size() == 1;
}

base::Instant LimitNode::NextWake(base::Instant now) const {
  auto wake = now + kTick;
  for (const auto& [key, slice] : this->slices) {
    wake = std::min(wake, slice.NextWake());
  }
  for (const auto& [key, home] : this->homes) {
    wake = std::min(wake, home->wake());
  }
  return std::max(wake, now + this->settings.report_gap);
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
  const auto soonest = now + this->settings.foreign_gap;
  if (slice == this->slices.end()) return soonest;
  return std::max(soonest, slice->second.retry_at());
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
  report.usable = home->second->Usable(now);
  report.tokens_left = home->second->TokensLeft(now);
  report.borrowed = home->second->Borrowed();
  for (const auto& [borrower, entry] : home->second->ledger().entries()) {
    report.holders.push_back(
        {borrower.vm, borrower.role, Outstanding(entry), now - entry.heard});
  }
  return report;
}

}  // namespace gypsumtrack::policy
