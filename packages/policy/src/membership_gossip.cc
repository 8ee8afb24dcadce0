#include <algorithm>
#include <bit>
#include <utility>

#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/policy/membership.h"

/// The sending side of the membership protocol: the choice of ping targets and
/// of the updates piggybacked on messages.
namespace gypsumtrack::policy {
namespace {

/// One of this many pings goes to a lost VM, to detect the end of a partition.
constexpr std::uint64_t kProbeLostEvery = 8;
/// Consecutive messages with a different digest, from the own domain or from
/// other domains, after which a sync is requested.
constexpr std::uint32_t kOwnDomainMismatchLimit = 5;
constexpr std::uint32_t kOtherDomainMismatchLimit = 2;
/// The ping period varies by up to one part in this many in either direction.
constexpr int kJitterDivisor = 8;
/// A member or endpoint update is sent this many times, plus the bit width of
/// the number of members that the own domain has.
constexpr std::uint32_t kExtraTransmissions = 2;

}  // namespace

MembershipActions Membership::Tick(base::Instant now) {
  MembershipActions actions;
  this->ExtendTimeoutsAfterPause(now);
  this->ExpireSuspects(now);
  this->RemoveExpiredLostMembers(now);
  if (now >= this->next_heartbeat_at) {
    this->next_heartbeat_at = now + this->options.heartbeat_period;
    this->AdvanceHeartbeat(now);
  }
  if (now >= this->next_ping_at) {
    const auto period = this->options.ping_period;
    const auto minimum = period - period / kJitterDivisor;
    const auto range =
        static_cast<std::uint64_t>((period / kJitterDivisor * 2).count());
    const auto jitter = this->NextRandom() % (range + 1);
    this->next_ping_at = now + minimum + base::Duration(jitter);
    this->PingOwnDomain(now, actions);
  }
  if (now >= this->next_domain_ping_at) {
    this->next_domain_ping_at = now + this->options.domain_ping_period;
    this->PingOtherDomain(now, actions);
  }
  this->VerifyForeignSuspects(now, actions);
  this->RequestSync(now, actions);
  actions.next_tick = std::min(this->next_ping_at, this->next_domain_ping_at);
  return actions;
}

MembershipActions Membership::AnnounceShutdown(base::Instant now) {
  MembershipActions actions;
  if (this->self.shutting_down || !this->options.propagate_departures) {
    return actions;
  }
  this->self.shutting_down = true;
  ++this->self.generation;
  this->EnqueueMember(this->self.id.name);
  for (const auto& name : this->OwnDomainMembers(false)) {
    auto& member = this->members[name];
    member.sent_self = false;
    actions.pings.push_back(
        this->MakePing(now, member, this->MakeMessage(&member)));
  }
  return actions;
}

void Membership::PingOwnDomain(base::Instant now, MembershipActions& actions) {
  const auto name = this->NextPingTarget();
  if (name.empty()) return;
  auto& member = this->members[name];
  actions.pings.push_back(
      this->MakePing(now, member, this->MakeMessage(&member)));
}

std::string Membership::NextPingTarget() {
  while (!this->priority_targets.empty()) {
    auto name = this->priority_targets.back();
    this->priority_targets.pop_back();
    if (this->members.contains(name)) return name;
  }
  const auto lost = this->OwnDomainMembers(true);
  const bool probe = !lost.empty() && this->options.probe_lost &&
                     this->NextRandom() % kProbeLostEvery == 0;
  if (probe) return lost[this->NextRandom() % lost.size()];
  if (this->ping_order.empty()) this->ShufflePingOrder();
  while (!this->ping_order.empty()) {
    auto name = this->ping_order.back();
    this->ping_order.pop_back();
    const auto found = this->members.find(name);
    const bool skip = found == this->members.end() ||
                      found->second.known.status == MemberStatus::kLost;
    if (!skip) return name;
  }
  return {};
}

void Membership::ShufflePingOrder() {
  this->ping_order = this->OwnDomainMembers(false);
  for (std::size_t i = this->ping_order.size(); i > 1; --i) {
    std::swap(this->ping_order[i - 1],
              this->ping_order[this->NextRandom() % i]);
  }
}

void Membership::PingOtherDomain(base::Instant now,
                                 MembershipActions& actions) {
  if (!this->IsRepresentative()) {
    for (auto& [name, domain] : this->domains) {
      domain.unsent_members.clear();
      domain.unsent_endpoints.clear();
    }
    return;
  }
  std::set<std::string> other_domains;
  for (const auto& [name, member] : this->members) {
    if (!this->IsInOwnDomain(member)) {
      other_domains.insert(member.known.location.domain.text);
    }
  }
  if (other_domains.empty()) return;
  const auto domain =
      *std::next(other_domains.begin(),
                 static_cast<std::ptrdiff_t>(this->next_domain_index++ %
                                             other_domains.size()));
  auto targets = this->RepresentativesOf(domain);
  if (targets.empty() || this->IsDomainUnresponsive(now, domain)) {
    targets = this->MembersOf(domain);
  }
  auto& target = this->members[targets[this->NextRandom() % targets.size()]];
  actions.pings.push_back(
      this->MakePing(now, target, this->MakeMessage(&target)));
}

void Membership::RequestSync(base::Instant now, MembershipActions& actions) {
  if (now < this->next_sync_at) return;
  auto* mismatch = &this->own_domain_mismatch;
  if (mismatch->count < kOwnDomainMismatchLimit) {
    mismatch = &this->other_domain_mismatch;
  }
  const auto minimum = mismatch == &this->own_domain_mismatch
                           ? kOwnDomainMismatchLimit
                           : kOtherDomainMismatchLimit;
  if (mismatch->count < minimum) return;
  mismatch->count = 0;
  this->next_sync_at = now + this->options.sync_period;
  actions.syncs.push_back({mismatch->address, {this->DomainDigests()}});
}

PingAction Membership::MakePing(base::Instant now, const Member& member,
                                MembershipMessage message) const {
  return {.target = member.known.id.name,
          .address = member.known.address,
          .deadline = now + this->options.ping_timeout,
          .message = std::move(message)};
}

MembershipMessage Membership::MakeBareMessage(Member* recipient) {
  MembershipMessage message;
  message.incarnation = this->self.id.incarnation;
  message.generation = this->self.generation;
  message.digest = this->Digest();
  if (recipient == nullptr || !recipient->sent_self) {
    message.updates.push_back(this->self);
  }
  if (recipient == nullptr) return message;
  recipient->sent_self = true;
  // Lets a VM that is considered suspect or lost refute that by a new
  // generation.
  const bool disputed =
      recipient->known.status != MemberStatus::kAlive && !recipient->list_only;
  if (disputed) message.updates.push_back(recipient->known);
  return message;
}

MembershipMessage Membership::MakeMessage(Member* recipient) {
  auto message = this->MakeBareMessage(recipient);
  if (recipient == nullptr) return message;
  if (this->IsInOwnDomain(*recipient)) {
    this->AddOwnDomainUpdates(message);
  } else {
    this->AddOtherDomainUpdates(recipient->known.location.domain.text, message);
  }
  return message;
}

void Membership::AddOwnDomainUpdates(MembershipMessage& message) {
  std::vector<std::pair<std::uint32_t, std::string>> pending;
  for (const auto& [name, remaining] : this->member_queue) {
    pending.emplace_back(remaining, name);
  }
  std::sort(pending.rbegin(), pending.rend());
  const auto count = std::min<std::size_t>(
      pending.size(), this->options.max_updates_per_message);
  for (std::size_t i = 0; i < count; ++i) {
    const auto& name = pending[i].second;
    this->AddUpdate(name, message);
    if (--this->member_queue[name] == 0) this->member_queue.erase(name);
  }
  for (auto& [domain, remaining] : this->heartbeat_queue) {
    message.heartbeats.push_back(
        {base::FailureDomain(domain), this->domains[domain].counter});
    --remaining;
  }
  std::erase_if(this->heartbeat_queue,
                [](const auto& entry) { return entry.second == 0; });
  for (auto& [name, remaining] : this->endpoint_queue) {
    if (message.draining_endpoints.size() ==
        this->options.max_updates_per_message) {
      break;
    }
    message.draining_endpoints.emplace_back(name);
    --remaining;
  }
  std::erase_if(this->endpoint_queue,
                [](const auto& entry) { return entry.second == 0; });
}

void Membership::AddOtherDomainUpdates(const std::string& domain,
                                       MembershipMessage& message) {
  auto& state = this->domains[domain];
  const auto& own = this->self.location.domain.text;
  for (const auto& name : std::exchange(state.unsent_members, {})) {
    this->AddUpdate(name, message);
  }
  for (const auto& name : std::exchange(state.unsent_endpoints, {})) {
    message.draining_endpoints.emplace_back(name);
  }
  // The other domain's counter is sent back so that a domain that restarted
  // continues from it instead of from zero.
  message.heartbeats.push_back(
      {base::FailureDomain(own), this->domains[own].counter});
  message.heartbeats.push_back({base::FailureDomain(domain), state.counter});
}

void Membership::AddUpdate(const std::string& name,
                           MembershipMessage& message) const {
  if (name == this->self.id.name) {
    message.updates.push_back(this->self);
    return;
  }
  const auto found = this->members.find(name);
  if (found == this->members.end() || found->second.list_only) return;
  message.updates.push_back(found->second.known);
}

void Membership::EnqueueMember(const std::string& name) {
  this->member_queue[name] = this->TransmitLimit();
  const auto found = this->members.find(name);
  const bool own_domain =
      found == this->members.end() || this->IsInOwnDomain(found->second);
  if (!own_domain) return;
  for (auto& [domain, state] : this->domains) {
    if (domain != this->self.location.domain.text) {
      state.unsent_members.insert(name);
    }
  }
}

void Membership::EnqueueDrainingEndpoint(const std::string& name) {
  this->endpoint_queue[name] = this->TransmitLimit();
  for (auto& [domain, state] : this->domains) {
    if (domain != this->self.location.domain.text) {
      state.unsent_endpoints.insert(name);
    }
  }
}

void Membership::AdvanceHeartbeat(base::Instant now) {
  if (!this->IsRepresentative()) return;
  const auto& own = this->self.location.domain;
  this->HandleHeartbeat(now, {own, this->domains[own.text].counter + 1});
}

std::vector<std::string> Membership::OwnDomainMembers(bool lost) const {
  std::vector<std::string> names;
  for (const auto& [name, member] : this->members) {
    if (!this->IsInOwnDomain(member)) continue;
    if ((member.known.status == MemberStatus::kLost) == lost) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::string> Membership::RepresentativesOf(
    const std::string& domain) const {
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  const auto add = [&](const MemberUpdate& known) {
    if (known.location.domain.text != domain || known.shutting_down) return;
    if (known.status != MemberStatus::kAlive) return;
    ranked.emplace_back(base::RendezvousScore(domain, known.id.name),
                        known.id.name);
  };
  add(this->self);
  for (const auto& [name, member] : this->members) {
    if (!member.list_only) add(member.known);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  if (ranked.size() > this->options.representatives_per_domain) {
    ranked.resize(this->options.representatives_per_domain);
  }
  std::vector<std::string> names;
  names.reserve(ranked.size());
  for (auto& [score, name] : ranked) names.push_back(std::move(name));
  return names;
}

std::vector<std::string> Membership::MembersOf(
    const std::string& domain) const {
  std::vector<std::string> names;
  for (const auto& [name, member] : this->members) {
    if (member.known.location.domain.text == domain) names.push_back(name);
  }
  return names;
}

bool Membership::IsRepresentative() const {
  const auto names = this->RepresentativesOf(this->self.location.domain.text);
  return std::find(names.begin(), names.end(), this->self.id.name) !=
         names.end();
}

bool Membership::IsInOwnDomain(const Member& member) const {
  return member.known.location.domain == this->self.location.domain;
}

std::map<std::string, std::uint64_t> Membership::DomainDigests() const {
  std::map<std::string, std::uint64_t> digests;
  const auto add = [&](const MemberUpdate& known) {
    digests[known.location.domain.text] ^=
        base::Hash64(known.id.name, known.id.incarnation);
  };
  add(this->self);
  for (const auto& [name, member] : this->members) {
    const bool lost = member.known.status == MemberStatus::kLost;
    if (!member.list_only && !lost) add(member.known);
  }
  return digests;
}

std::uint64_t Membership::Digest() const {
  std::uint64_t digest = 0;
  for (const auto& [domain, part] : this->DomainDigests()) digest ^= part;
  return digest;
}

std::uint32_t Membership::TransmitLimit() const {
  const auto count = this->OwnDomainMembers(false).size();
  return kExtraTransmissions +
         static_cast<std::uint32_t>(std::bit_width(count));
}

std::uint64_t Membership::NextRandom() {
  // SplitMix64.
  std::uint64_t z = (this->random_state += 0x9E3779B97F4A7C15ULL);
  z = (z ^ (z >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  z = (z ^ (z >> 27U)) * 0x94D049BB133111EBULL;
  return z ^ (z >> 31U);
}

}  // namespace gypsumtrack::policy
