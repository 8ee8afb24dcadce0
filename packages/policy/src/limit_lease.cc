#include "gypsumtrack/policy/limit_lease.h"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>
#include <utility>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

constexpr std::size_t kMostVoters = 4;
constexpr auto kFenceScanInterval = std::chrono::milliseconds(700);
constexpr auto kFenceAskInterval = std::chrono::milliseconds(300);
constexpr std::size_t kAsksKept = 8;

/// A rewrite of the row proves the lease for half a vouch period.
base::Duration TablePeriod(const LimitSettings& settings) {
  return settings.lease_vote_period / 2;
}

std::string FormatVoters(const std::vector<LimitPeer>& voters) {
  std::string text;
  for (const auto& voter : voters) {
    text += fmt::format("{} {} {}\n", voter.vm.name, voter.vm.incarnation,
                        voter.address);
  }
  return text;
}

std::vector<LimitPeer> ParseVoters(const std::string& text) {
  std::vector<LimitPeer> voters;
  std::istringstream in(text);
  LimitPeer voter;
  while (in >> voter.vm.name >> voter.vm.incarnation >> voter.address) {
    voters.push_back(voter);
  }
  return voters;
}

}  // namespace

std::string LeaseRowKey(const base::FailureDomain& domain,
                        const base::VmId& vm) {
  return fmt::format("limits/lease/{}/{}/{}", domain.text, vm.name,
                     vm.incarnation);
}

TenureLease::TenureLease(const LimitSettings& settings, LimitPeer self,
                         base::FailureDomain domain, LimitTable& table)
    : settings(settings),
      self(std::move(self)),
      domain(std::move(domain)),
      table(table) {}

void TenureLease::OnPeers(std::vector<PeerVm> next) {
  this->peers = std::move(next);
}

std::vector<LimitPeer> TenureLease::ChooseVoters() const {
  std::vector<std::pair<std::uint64_t, LimitPeer>> ranked;
  for (const auto& peer : this->peers) {
    if (peer.state != PeerState::kLive) continue;
    ranked.emplace_back(base::RendezvousScore(this->self.vm.name, peer.id.name),
                        LimitPeer{peer.id, peer.address});
  }
  std::sort(ranked.rbegin(), ranked.rend());
  if (ranked.size() > kMostVoters) ranked.resize(kMostVoters);
  std::vector<LimitPeer> chosen;
  for (auto& [score, peer] : ranked) chosen.push_back(std::move(peer));
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

bool TenureLease::Vouched(const std::vector<Voter>& by,
                          base::Instant until) const {
  if (by.empty()) return false;
  const auto vouching = std::count_if(
      by.begin(), by.end(),
      [&](const Voter& voter) { return voter.promised_until > until; });
  return 2 * static_cast<std::size_t>(vouching) >= by.size();
}

bool TenureLease::Valid(base::Instant now) const {
  if (this->version == 0 || this->lost) return false;
  if (!this->settings.require_lease_votes) return true;
  if (now < this->renewed_at + TablePeriod(this->settings)) return true;
  if (now >= this->renewed_at + this->settings.table_limit) return false;
  if (!this->Vouched(this->voters, now)) return false;
  return !this->next_voters || this->Vouched(*this->next_voters, now);
}

bool TenureLease::IsFenced(const base::VmId& vm) const {
  return this->fenced.contains(vm);
}

std::optional<base::RowCondition> TenureLease::Condition() const {
  if (this->version == 0 || this->lost) return std::nullopt;
  return base::RowCondition{LeaseRowKey(this->domain, this->self.vm),
                            this->version};
}

void TenureLease::Tick(base::Instant now, LimitActions& actions) {
  if (!this->lost) {
    if (now >= this->asked_at + this->settings.lease_vote_interval) {
      this->AskVoters(now, actions);
    }
    this->Renew(now, actions);
  }
  for (auto& [target, fence] : this->fences) {
    this->StepFence(target, fence, now, actions);
  }
  std::erase_if(this->fences, [&](const auto& item) {
    return this->fenced.contains(item.first);
  });
}

void TenureLease::AskVoters(base::Instant now, LimitActions& actions) {
  this->asked_at = now;
  const auto number = ++this->ask_number;
  this->asks[number] = now;
  if (this->asks.size() > kAsksKept) this->asks.erase(this->asks.begin());
  std::set<LimitPeer> asked;
  for (const auto& voter : this->voters) asked.insert(voter.peer);
  if (this->next_voters) {
    for (const auto& voter : *this->next_voters) asked.insert(voter.peer);
  }
  for (const auto& peer : asked) {
    actions.messages.push_back({peer, LeaseVoteRequest{number}});
  }
}

void TenureLease::Renew(base::Instant now, LimitActions& actions) {
  if (this->renewing) return;
  auto chosen = this->ChooseVoters();
  std::vector<LimitPeer> current;
  for (const auto& voter : this->voters) current.push_back(voter.peer);
  const bool first = this->version == 0;
  const bool unsure =
      !this->Vouched(this->voters, now + this->settings.lease_vote_interval);
  const bool old = now >= this->renewed_at + this->settings.table_limit / 4;
  const bool change =
      chosen != current &&
      now >= this->renewed_at + this->settings.lease_vote_period;
  const bool due =
      unsure && now >= this->renewed_at + TablePeriod(this->settings) / 2;
  if (!first && !due && !old && !change) return;
  base::TableCommit commit;
  const auto key = LeaseRowKey(this->domain, this->self.vm);
  commit.conditions.push_back({key, this->version});
  commit.writes.push_back({key, FormatVoters(chosen)});
  this->renewing = this->table.Commit(
      std::move(commit),
      [this](bool committed, base::Instant first_sent, base::Instant at,
             LimitActions&) { this->OnRenewed(committed, first_sent, at); },
      now, actions);
  if (!this->renewing) return;
  this->next_voters.emplace();
  for (auto& peer : chosen) {
    Voter voter{std::move(peer)};
    for (const auto& known : this->voters) {
      if (known.peer == voter.peer) voter = known;
    }
    this->next_voters->push_back(std::move(voter));
  }
}

void TenureLease::OnRenewed(bool committed, base::Instant first_sent,
                            base::Instant now) {
  this->renewing = false;
  if (!committed) {
    this->lost = true;
    return;
  }
  ++this->version;
  this->renewed_at = first_sent;
  this->voters = std::move(*this->next_voters);
  this->next_voters.reset();
  this->asked_at =
      std::min(this->asked_at, now - this->settings.lease_vote_interval);
}

void TenureLease::OnLeaseVoteRequest(const LimitPeer& from,
                                     const LeaseVoteRequest& request,
                                     base::Instant now, LimitActions& actions) {
  if (this->consented.contains(from.vm)) return;
  auto& until = this->promises[from.vm];
  until =
      std::max(until, now + WithClockSlack(this->settings.lease_vote_period));
  actions.messages.push_back({from, LeaseVoteReply{request.number}});
}

void TenureLease::OnLeaseVoteReply(const base::VmId& from,
                                   const LeaseVoteReply& reply) {
  const auto asked = this->asks.find(reply.number);
  if (asked == this->asks.end()) return;
  const auto until = asked->second + this->settings.lease_vote_period;
  const auto record = [&](std::vector<Voter>& all) {
    for (auto& voter : all) {
      if (voter.peer.vm != from) continue;
      voter.promised_until = std::max(voter.promised_until, until);
    }
  };
  record(this->voters);
  if (this->next_voters) record(*this->next_voters);
}

bool TenureLease::Consents(const base::VmId& target, base::Instant now) {
  const auto promise = this->promises.find(target);
  if (promise != this->promises.end() && now < promise->second) return false;
  this->consented.insert(target);
  return true;
}

void TenureLease::OnFenceRequest(const LimitPeer& from,
                                 const FenceRequest& request, base::Instant now,
                                 LimitActions& actions) {
  if (!this->Consents(request.target, now)) return;
  actions.messages.push_back({from, FenceConsent{request.target}});
}

void TenureLease::OnFenceConsent(const base::VmId& from,
                                 const FenceConsent& consent) {
  const auto fence = this->fences.find(consent.target);
  if (fence != this->fences.end()) fence->second.consents.insert(from);
}

void TenureLease::Fence(const base::VmId& target, base::Instant now) {
  if (this->fenced.contains(target) || target == this->self.vm) return;
  const auto [position, is_new] = this->fences.try_emplace(target);
  if (is_new) position->second.unchanged_since = now;
}

void TenureLease::StepFence(const base::VmId& target, FenceState& fence,
                            base::Instant now, LimitActions& actions) {
  if (fence.committing) return;
  if (now >= fence.scanned_at + kFenceScanInterval) {
    fence.scanned_at = now;
    this->table.Scan(
        LeaseRowKey(this->domain, target),
        [this, target](const base::Outcome<base::ScanReply>& reply,
                       base::Instant at,
                       LimitActions&) { this->OnFenceScan(target, reply, at); },
        actions);
  }
  if (fence.version == 0) return;
  const auto unchanged = now - fence.unchanged_since;
  if (unchanged < WithClockSlack(TablePeriod(this->settings))) return;
  const auto consenting = std::count_if(
      fence.voters.begin(), fence.voters.end(), [&](const LimitPeer& voter) {
        return fence.consents.contains(voter.vm);
      });
  const bool agreed =
      2 * static_cast<std::size_t>(consenting) > fence.voters.size();
  if (agreed || unchanged >= WithClockSlack(this->settings.table_limit)) {
    this->CommitFence(target, fence, now, actions);
    return;
  }
  if (now < fence.asked_at + kFenceAskInterval) return;
  fence.asked_at = now;
  for (const auto& voter : fence.voters) {
    if (voter.vm == this->self.vm) {
      if (this->Consents(target, now)) fence.consents.insert(voter.vm);
    } else {
      actions.messages.push_back({voter, FenceRequest{target}});
    }
  }
}

void TenureLease::OnFenceScan(const base::VmId& target,
                              const base::Outcome<base::ScanReply>& reply,
                              base::Instant now) {
  const auto found = this->fences.find(target);
  if (found == this->fences.end() || !reply.ok()) return;
  auto& fence = found->second;
  const auto key = LeaseRowKey(this->domain, target);
  const auto row = std::find_if(
      reply->rows.begin(), reply->rows.end(),
      [&](const base::Row& candidate) { return candidate.key == key; });
  if (row == reply->rows.end()) {
    this->fenced.insert(target);
    return;
  }
  if (row->version == fence.version) return;
  fence.version = row->version;
  fence.unchanged_since = now;
  fence.voters = ParseVoters(row->value);
  fence.consents.clear();
}

void TenureLease::CommitFence(const base::VmId& target, FenceState& fence,
                              base::Instant now, LimitActions& actions) {
  base::TableCommit commit;
  const auto key = LeaseRowKey(this->domain, target);
  commit.conditions.push_back({key, fence.version});
  commit.writes.push_back({key, std::nullopt});
  fence.committing = this->table.Commit(
      std::move(commit),
      [this, target](bool committed, base::Instant, base::Instant,
                     LimitActions&) {
        if (committed) this->fenced.insert(target);
        const auto found = this->fences.find(target);
        if (found != this->fences.end()) found->second.committing = false;
      },
      now, actions);
}

void TenureLease::Leave(base::Instant now, LimitActions& actions) {
  if (this->lost || this->version == 0) return;
  this->lost = true;
  base::TableCommit commit;
  const auto key = LeaseRowKey(this->domain, this->self.vm);
  commit.conditions.push_back({key, this->version});
  commit.writes.push_back({key, std::nullopt});
  this->table.Commit(
      std::move(commit),
      [](bool, base::Instant, base::Instant, LimitActions&) {}, now, actions);
}

}  // namespace gypsumtrack::policy
