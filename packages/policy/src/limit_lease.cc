#include "gypsumtrack/policy/limit_lease.h"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>
#include <utility>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

constexpr std::size_t kMaxVoters = 4;
constexpr auto kFenceScanInterval = std::chrono::milliseconds(700);
constexpr auto kConsentRequestInterval = std::chrono::milliseconds(300);
/// Replies to older vote requests are ignored.
constexpr std::size_t kMaxTrackedVoteRequests = 8;

/// How long a rewrite of the row keeps the lease valid: half a vote period.
base::Duration RowValidity(const LimitSettings& settings) {
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

HomeLease::HomeLease(const LimitSettings& settings, LimitPeer self,
                     base::FailureDomain domain, LimitTable& table)
    : settings(settings),
      self(std::move(self)),
      domain(std::move(domain)),
      table(table) {}

void HomeLease::OnPeers(std::vector<PeerVm> next) {
  this->peers = std::move(next);
}

std::vector<LimitPeer> HomeLease::ChooseVoters() const {
  std::vector<std::pair<std::uint64_t, LimitPeer>> ranked;
  for (const auto& peer : this->peers) {
    if (peer.state != PeerState::kLive) continue;
    ranked.emplace_back(base::RendezvousScore(this->self.vm.name, peer.id.name),
                        LimitPeer{peer.id, peer.address});
  }
  std::sort(ranked.rbegin(), ranked.rend());
  if (ranked.size() > kMaxVoters) ranked.resize(kMaxVoters);
  std::vector<LimitPeer> chosen;
  for (auto& [score, peer] : ranked) chosen.push_back(std::move(peer));
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

bool HomeLease::HasVotes(const std::vector<Voter>& among,
                         base::Instant until) const {
  if (among.empty()) return false;
  const auto voting = std::count_if(
      among.begin(), among.end(),
      [&](const Voter& voter) { return voter.vote_expires > until; });
  // Half is enough: a fence by consent needs more than half of the voters.
  return 2 * static_cast<std::size_t>(voting) >= among.size();
}

bool HomeLease::Valid(base::Instant now) const {
  if (this->row_version == 0 || this->lost) return false;
  if (!this->settings.require_lease_votes) return true;
  if (now < this->renewed_at + RowValidity(this->settings)) return true;
  if (now >= this->renewed_at + this->settings.max_table_outage) return false;
  if (!this->HasVotes(this->voters, now)) return false;
  return !this->next_voters || this->HasVotes(*this->next_voters, now);
}

bool HomeLease::IsFenced(const base::VmId& vm) const {
  return this->fenced.contains(vm);
}

std::optional<base::RowCondition> HomeLease::Condition() const {
  if (this->row_version == 0 || this->lost) return std::nullopt;
  return base::RowCondition{LeaseRowKey(this->domain, this->self.vm),
                            this->row_version};
}

void HomeLease::Tick(base::Instant now, LimitActions& actions) {
  if (!this->lost) {
    if (now >= this->votes_requested_at + this->settings.lease_vote_interval) {
      this->RequestVotes(now, actions);
    }
    this->Renew(now, actions);
  }
  for (auto& [target, fence] : this->fences) {
    this->AdvanceFence(target, fence, now, actions);
  }
  std::erase_if(this->fences, [&](const auto& item) {
    return this->fenced.contains(item.first);
  });
}

void HomeLease::RequestVotes(base::Instant now, LimitActions& actions) {
  this->votes_requested_at = now;
  const auto number = ++this->last_vote_request;
  this->vote_requests[number] = now;
  if (this->vote_requests.size() > kMaxTrackedVoteRequests) {
    this->vote_requests.erase(this->vote_requests.begin());
  }
  std::set<LimitPeer> recipients;
  for (const auto& voter : this->voters) recipients.insert(voter.peer);
  if (this->next_voters) {
    for (const auto& voter : *this->next_voters) recipients.insert(voter.peer);
  }
  for (const auto& peer : recipients) {
    actions.messages.push_back({peer, LeaseVoteRequest{number}});
  }
}

void HomeLease::Renew(base::Instant now, LimitActions& actions) {
  if (this->renewal_pending) return;
  auto chosen = this->ChooseVoters();
  std::vector<LimitPeer> current;
  for (const auto& voter : this->voters) current.push_back(voter.peer);
  const bool never_written = this->row_version == 0;
  const bool votes_expiring =
      !this->HasVotes(this->voters, now + this->settings.lease_vote_interval);
  const bool row_old =
      now >= this->renewed_at + this->settings.max_table_outage / 4;
  const bool voters_changed =
      chosen != current &&
      now >= this->renewed_at + this->settings.lease_vote_period;
  const bool rewrite_due =
      votes_expiring &&
      now >= this->renewed_at + RowValidity(this->settings) / 2;
  if (!never_written && !rewrite_due && !row_old && !voters_changed) return;
  base::TableCommit commit;
  const auto key = LeaseRowKey(this->domain, this->self.vm);
  commit.conditions.push_back({key, this->row_version});
  commit.writes.push_back({key, FormatVoters(chosen)});
  this->renewal_pending = this->table.Commit(
      std::move(commit),
      [this](bool committed, base::Instant first_sent, base::Instant at,
             LimitActions&) { this->OnRenewed(committed, first_sent, at); },
      now, actions);
  if (!this->renewal_pending) return;
  this->next_voters.emplace();
  for (auto& peer : chosen) {
    Voter voter{std::move(peer)};
    for (const auto& known : this->voters) {
      if (known.peer == voter.peer) voter = known;
    }
    this->next_voters->push_back(std::move(voter));
  }
}

void HomeLease::OnRenewed(bool committed, base::Instant first_sent,
                          base::Instant now) {
  this->renewal_pending = false;
  if (!committed) {
    this->lost = true;
    return;
  }
  ++this->row_version;
  this->renewed_at = first_sent;
  this->voters = std::move(*this->next_voters);
  this->next_voters.reset();
  this->votes_requested_at = std::min(this->votes_requested_at,
                                      now - this->settings.lease_vote_interval);
}

void HomeLease::OnLeaseVoteRequest(const LimitPeer& from,
                                   const LeaseVoteRequest& request,
                                   base::Instant now, LimitActions& actions) {
  if (this->consented.contains(from.vm)) return;
  auto& until = this->granted_votes[from.vm];
  until =
      std::max(until, now + WithClockSlack(this->settings.lease_vote_period));
  actions.messages.push_back({from, LeaseVoteReply{request.number}});
}

void HomeLease::OnLeaseVoteReply(const base::VmId& from,
                                 const LeaseVoteReply& reply) {
  const auto sent = this->vote_requests.find(reply.number);
  if (sent == this->vote_requests.end()) return;
  const auto until = sent->second + this->settings.lease_vote_period;
  const auto record = [&](std::vector<Voter>& all) {
    for (auto& voter : all) {
      if (voter.peer.vm != from) continue;
      voter.vote_expires = std::max(voter.vote_expires, until);
    }
  };
  record(this->voters);
  if (this->next_voters) record(*this->next_voters);
}

bool HomeLease::ConsentToFence(const base::VmId& target, base::Instant now) {
  const auto vote = this->granted_votes.find(target);
  if (vote != this->granted_votes.end() && now < vote->second) return false;
  this->consented.insert(target);
  return true;
}

void HomeLease::OnFenceRequest(const LimitPeer& from,
                               const FenceRequest& request, base::Instant now,
                               LimitActions& actions) {
  if (!this->ConsentToFence(request.target, now)) return;
  actions.messages.push_back({from, FenceConsent{request.target}});
}

void HomeLease::OnFenceConsent(const base::VmId& from,
                               const FenceConsent& consent) {
  const auto fence = this->fences.find(consent.target);
  if (fence != this->fences.end()) fence->second.consents.insert(from);
}

void HomeLease::StartFence(const base::VmId& target, base::Instant now) {
  if (this->fenced.contains(target) || target == this->self.vm) return;
  const auto [entry, is_new] = this->fences.try_emplace(target);
  if (is_new) entry->second.unchanged_since = now;
}

void HomeLease::AdvanceFence(const base::VmId& target, FenceState& fence,
                             base::Instant now, LimitActions& actions) {
  if (fence.commit_pending) return;
  if (now >= fence.scanned_at + kFenceScanInterval) {
    fence.scanned_at = now;
    this->table.Scan(
        LeaseRowKey(this->domain, target),
        [this, target](const base::Outcome<base::ScanReply>& reply,
                       base::Instant at,
                       LimitActions&) { this->OnFenceScan(target, reply, at); },
        actions);
  }
  if (fence.row_version == 0) return;
  const auto unchanged = now - fence.unchanged_since;
  if (unchanged < WithClockSlack(RowValidity(this->settings))) return;
  const auto consenting = std::count_if(
      fence.voters.begin(), fence.voters.end(), [&](const LimitPeer& voter) {
        return fence.consents.contains(voter.vm);
      });
  const bool agreed =
      2 * static_cast<std::size_t>(consenting) > fence.voters.size();
  if (agreed || unchanged >= WithClockSlack(this->settings.max_table_outage)) {
    this->CommitFence(target, fence, now, actions);
    return;
  }
  if (now < fence.consent_requested_at + kConsentRequestInterval) return;
  fence.consent_requested_at = now;
  for (const auto& voter : fence.voters) {
    if (voter.vm == this->self.vm) {
      if (this->ConsentToFence(target, now)) fence.consents.insert(voter.vm);
    } else {
      actions.messages.push_back({voter, FenceRequest{target}});
    }
  }
}

void HomeLease::OnFenceScan(const base::VmId& target,
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
  if (row->version == fence.row_version) return;
  fence.row_version = row->version;
  fence.unchanged_since = now;
  fence.voters = ParseVoters(row->value);
  fence.consents.clear();
}

void HomeLease::CommitFence(const base::VmId& target, FenceState& fence,
                            base::Instant now, LimitActions& actions) {
  base::TableCommit commit;
  const auto key = LeaseRowKey(this->domain, target);
  commit.conditions.push_back({key, fence.row_version});
  commit.writes.push_back({key, std::nullopt});
  fence.commit_pending = this->table.Commit(
      std::move(commit),
      [this, target](bool committed, base::Instant, base::Instant,
                     LimitActions&) {
        if (committed) this->fenced.insert(target);
        const auto found = this->fences.find(target);
        if (found != this->fences.end()) found->second.commit_pending = false;
      },
      now, actions);
}

void HomeLease::Release(base::Instant now, LimitActions& actions) {
  if (this->lost || this->row_version == 0) return;
  this->lost = true;
  base::TableCommit commit;
  const auto key = LeaseRowKey(this->domain, this->self.vm);
  commit.conditions.push_back({key, this->row_version});
  commit.writes.push_back({key, std::nullopt});
  this->table.Commit(
      std::move(commit),
      [](bool, base::Instant, base::Instant, LimitActions&) {}, now, actions);
}

}  // namespace gypsumtrack::policy
