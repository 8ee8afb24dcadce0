#include <algorithm>
#include <bit>
#include <utility>

#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/policy/membership.h"

/// What a daemon sends: whom it pings, and what rides on the messages.
namespace gypsumtrack::policy {
namespace {

/// One ping in so many goes to a lost VM, so that a healed cut is noticed.
constexpr std::uint64_t kProbeLostEvery = 8;
/// Messages in a row with another digest before a whole domain is asked for.
constexpr std::uint32_t kOwnMismatches = 5;
constexpr std::uint32_t kOtherMismatches = 2;
/// Periods are spread by an eighth to either side.
constexpr int kJitterDivisor = 8;
constexpr std::uint32_t kExtraSpread = 2;

}  // namespace

MembershipActions Membership::Tick(base::Instant now) {
  MembershipActions actions;
  this->ForgiveOwnPause(now);
  this->ExpireSuspects(now);
  this->ForgetLost(now);
  if (now >= this->beat_at) {
    this->beat_at = now + this->options.beat_period;
    this->RaiseBeat(now);
  }
  if (now >= this->ping_at) {
    const auto period = this->options.ping_period;
    const auto least = period - period / kJitterDivisor;
    const auto spread =
        static_cast<std::uint64_t>((period / kJitterDivisor * 2).count());
    const auto jitter = this->Random() % (spread + 1);
    this->ping_at = now + least + base::Duration(jitter);
    this->PingOwnDomain(now, actions);
  }
  if (now >= this->domain_ping_at) {
    this->domain_ping_at = now + this->options.domain_ping_period;
    this->PingOtherDomain(now, actions);
  }
  this->Sync(now, actions);
  actions.next_tick = std::min(this->ping_at, this->domain_ping_at);
  return actions;
}

MembershipActions Membership::AnnounceShutdown(base::Instant now) {
  MembershipActions actions;
  if (this->self.shutting_down || !this->options.propagate_departures)
    return actions;
  this->self.shutting_down = true;
  ++this->self.generation;
  this->SpreadMember(this->self.id.name);
  for (const auto& name : this->OwnDomain(false)) {
    auto& member = this->members[name];
    member.introduced = false;
    actions.pings.push_back(this->MakePing(now, member));
  }
  return actions;
}

void Membership::PingOwnDomain(base::Instant now, MembershipActions& actions) {
  const auto name = this->NextTarget();
  if (name.empty()) return;
  actions.pings.push_back(this->MakePing(now, this->members[name]));
}

std::string Membership::NextTarget() {
  while (!this->urgent.empty()) {
    auto name = this->urgent.back();
    this->urgent.pop_back();
    if (this->members.contains(name)) return name;
  }
  const auto lost = this->OwnDomain(true);
  const bool probe = !lost.empty() && this->options.probe_lost &&
                     this->Random() % kProbeLostEvery == 0;
  if (probe) return lost[this->Random() % lost.size()];
  if (this->order.empty()) this->RefillOrder();
  while (!this->order.empty()) {
    auto name = this->order.back();
    this->order.pop_back();
    const auto found = this->members.find(name);
    const bool gone = found == this->members.end() ||
                      found->second.known.status == MemberStatus::kLost;
    if (!gone) return name;
  }
  return {};
}

void Membership::RefillOrder() {
  this->order = this->OwnDomain(false);
  for (std::size_t i = this->order.size(); i > 1; --i) {
    std::swap(this->order[i - 1], this->order[this->Random() % i]);
  }
}

void Membership::PingOtherDomain(base::Instant now,
                                 MembershipActions& actions) {
  if (!this->IsRepresentative()) {
    for (auto& [name, domain] : this->domains) {
      domain.untold_members.clear();
      domain.untold_endpoints.clear();
    }
    return;
  }
  std::set<std::string> others;
  for (const auto& [name, member] : this->members) {
    if (!this->InOwnDomain(member)) {
      others.insert(member.known.location.domain.text);
    }
  }
  if (others.empty()) return;
  const auto domain = *std::next(
      others.begin(),
      static_cast<std::ptrdiff_t>(this->next_domain++ % others.size()));
  auto targets = this->Representatives(domain);
  if (targets.empty() || this->DomainSilent(now, domain)) {
    targets = this->AnyOf(domain);
  }
  const auto& target = targets[this->Random() % targets.size()];
  actions.pings.push_back(this->MakePing(now, this->members[target]));
}

void Membership::Sync(base::Instant now, MembershipActions& actions) {
  if (now < this->sync_at) return;
  auto* mismatch = &this->own_mismatch;
  if (mismatch->count < kOwnMismatches) mismatch = &this->other_mismatch;
  const auto least =
      mismatch == &this->own_mismatch ? kOwnMismatches : kOtherMismatches;
  if (mismatch->count < least) return;
  mismatch->count = 0;
  this->sync_at = now + this->options.sync_period;
  actions.syncs.push_back({mismatch->address, {this->DomainDigests()}});
}

PingAction Membership::MakePing(base::Instant now, Member& member) {
  return {.target = member.known.id.name,
          .address = member.known.address,
          .deadline = now + this->options.ping_timeout,
          .message = this->MakeMessage(&member)};
}

MembershipMessage Membership::MakeMessage(Member* to) {
  MembershipMessage message;
  message.incarnation = this->self.id.incarnation;
  message.generation = this->self.generation;
  message.digest = this->Digest();
  if (to == nullptr || !to->introduced) message.updates.push_back(this->self);
  if (to == nullptr) return message;
  to->introduced = true;
  // A VM that is doubted learns it here, and answers with a new generation.
  const bool doubted = to->known.status != MemberStatus::kAlive && !to->unheard;
  if (doubted) message.updates.push_back(to->known);
  if (this->InOwnDomain(*to)) {
    this->AddOwnDomainNews(message);
  } else {
    this->AddOtherDomainNews(to->known.location.domain.text, message);
  }
  return message;
}

void Membership::AddOwnDomainNews(MembershipMessage& message) {
  std::vector<std::pair<std::uint32_t, std::string>> fresh;
  for (const auto& [name, left] : this->member_rumours) {
    fresh.emplace_back(left, name);
  }
  std::sort(fresh.rbegin(), fresh.rend());
  const auto count =
      std::min<std::size_t>(fresh.size(), this->options.max_updates);
  for (std::size_t i = 0; i < count; ++i) {
    const auto& name = fresh[i].second;
    this->AddUpdate(name, message);
    if (--this->member_rumours[name] == 0) this->member_rumours.erase(name);
  }
  for (auto& [domain, left] : this->beat_rumours) {
    message.heartbeats.push_back(
        {base::FailureDomain(domain), this->domains[domain].counter});
    --left;
  }
  std::erase_if(this->beat_rumours,
                [](const auto& entry) { return entry.second == 0; });
  for (auto& [name, left] : this->endpoint_rumours) {
    if (message.draining_endpoints.size() == this->options.max_updates) break;
    message.draining_endpoints.emplace_back(name);
    --left;
  }
  std::erase_if(this->endpoint_rumours,
                [](const auto& entry) { return entry.second == 0; });
}

void Membership::AddOtherDomainNews(const std::string& domain,
                                    MembershipMessage& message) {
  auto& heard = this->domains[domain];
  const auto& own = this->self.location.domain.text;
  for (const auto& name : std::exchange(heard.untold_members, {})) {
    this->AddUpdate(name, message);
  }
  for (const auto& name : std::exchange(heard.untold_endpoints, {})) {
    message.draining_endpoints.emplace_back(name);
  }
  // Theirs is sent back so that a domain started anew counts on from it.
  message.heartbeats.push_back(
      {base::FailureDomain(own), this->domains[own].counter});
  message.heartbeats.push_back({base::FailureDomain(domain), heard.counter});
}

void Membership::AddUpdate(const std::string& name,
                           MembershipMessage& message) const {
  if (name == this->self.id.name) {
    message.updates.push_back(this->self);
    return;
  }
  const auto found = this->members.find(name);
  if (found == this->members.end() || found->second.unheard) return;
  message.updates.push_back(found->second.known);
}

void Membership::SpreadMember(const std::string& name) {
  this->member_rumours[name] = this->SpreadCount();
  const auto found = this->members.find(name);
  const bool ours =
      found == this->members.end() || this->InOwnDomain(found->second);
  if (!ours) return;
  for (auto& [domain, heard] : this->domains) {
    if (domain != this->self.location.domain.text) {
      heard.untold_members.insert(name);
    }
  }
}

void Membership::SpreadEndpoint(const std::string& name) {
  this->endpoint_rumours[name] = this->SpreadCount();
  for (auto& [domain, heard] : this->domains) {
    if (domain != this->self.location.domain.text) {
      heard.untold_endpoints.insert(name);
    }
  }
}

void Membership::RaiseBeat(base::Instant now) {
  if (!this->IsRepresentative()) return;
  const auto& own = this->self.location.domain;
  this->HandleBeat(now, {own, this->domains[own.text].counter + 1});
}

std::vector<std::string> Membership::OwnDomain(bool lost) const {
  std::vector<std::string> names;
  for (const auto& [name, member] : this->members) {
    if (!this->InOwnDomain(member)) continue;
    if ((member.known.status == MemberStatus::kLost) == lost)
      names.push_back(name);
  }
  return names;
}

std::vector<std::string> Membership::Representatives(
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
    if (!member.unheard) add(member.known);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  if (ranked.size() > this->options.representatives) {
    ranked.resize(this->options.representatives);
  }
  std::vector<std::string> names;
  names.reserve(ranked.size());
  for (auto& [score, name] : ranked) names.push_back(std::move(name));
  return names;
}

std::vector<std::string> Membership::AnyOf(const std::string& domain) const {
  std::vector<std::string> names;
  for (const auto& [name, member] : this->members) {
    if (member.known.location.domain.text == domain) names.push_back(name);
  }
  return names;
}

bool Membership::IsRepresentative() const {
  const auto names = this->Representatives(this->self.location.domain.text);
  return std::find(names.begin(), names.end(), this->self.id.name) !=
         names.end();
}

bool Membership::InOwnDomain(const Member& member) const {
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
    if (!member.unheard && !lost) add(member.known);
  }
  return digests;
}

std::uint64_t Membership::Digest() const {
  std::uint64_t digest = 0;
  for (const auto& [domain, part] : this->DomainDigests()) digest ^= part;
  return digest;
}

std::uint32_t Membership::SpreadCount() const {
  const auto count = this->OwnDomain(false).size();
  return kExtraSpread + static_cast<std::uint32_t>(std::bit_width(count));
}

std::uint64_t Membership::Random() {
  // SplitMix64.
  std::uint64_t z = (this->random_state += 0x9E3779B97F4A7C15ULL);
  z = (z ^ (z >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  z = (z ^ (z >> 27U)) * 0x94D049BB133111EBULL;
  return z ^ (z >> 31U);
}

}  // namespace gypsumtrack::policy
