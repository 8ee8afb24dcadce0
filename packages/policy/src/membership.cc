#include "gypsumtrack/policy/membership.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

/// Ticks later than this many periods mean that this VM itself stood still.
constexpr int kPausePeriods = 3;
/// Members that check a suspect at once when they hear of it.
constexpr std::uint64_t kCheckers = 3;

Endpoint MakeEndpoint(const base::ListedVm& vm) {
  return {.id = base::EndpointId(vm.name),
          .address = vm.address,
          .location = vm.place,
          .service = vm.service,
          .models = vm.models,
          .slots = vm.slots,
          .draining = vm.state == base::VmState::kLeaving,
          .checks_fencing = vm.checks_fencing};
}

}  // namespace

Membership::Membership(const MembershipOptions& settings,
                       const base::VmId& own_id, const std::string& address,
                       const base::Place& location, std::uint64_t seed)
    : options(settings),
      self{.id = own_id, .address = address, .location = location},
      random_state(seed) {}

void Membership::HandleList(base::Instant now,
                            const std::vector<base::ListedVm>& listed) {
  this->platform_reachable = true;
  this->endpoints.clear();
  for (auto& [name, member] : this->members) member.listed = false;
  for (const auto& vm : listed) {
    if (vm.role == base::VmRole::kEndpoint) {
      this->ListEndpoint(now, vm);
    } else if (vm.name == this->self.id.name) {
      // The platform knows under which address others reach this VM.
      this->self.address = vm.address;
      this->listed = true;
    } else {
      this->ListDaemon(vm);
    }
  }
  std::erase_if(this->members, [](const auto& entry) {
    return entry.second.unheard && !entry.second.listed;
  });
  this->ExpireNotes(now);
}

void Membership::HandleListFailure(base::Instant) {
  this->platform_reachable = false;
}

void Membership::ListDaemon(const base::ListedVm& vm) {
  auto [found, added] = this->members.try_emplace(vm.name);
  auto& member = found->second;
  const bool moved = member.known.status == MemberStatus::kLost &&
                     member.known.address != vm.address;
  if (added || moved) {
    member = Member{};
    member.unheard = true;
    member.known = {
        .id = {vm.name, 0}, .address = vm.address, .location = vm.place};
  }
  member.listed = true;
  const bool leaving = vm.state == base::VmState::kLeaving;
  if (!leaving || member.known.shutting_down) return;
  member.known.shutting_down = true;
  if (!member.unheard) this->SpreadMember(vm.name);
}

void Membership::ListEndpoint(base::Instant now, const base::ListedVm& vm) {
  this->endpoints.push_back(MakeEndpoint(vm));
  if (vm.state != base::VmState::kLeaving) return;
  if (!this->leaving_notes.contains(vm.name)) {
    this->MarkEndpointDraining(now, base::EndpointId(vm.name));
  }
}

void Membership::MarkEndpointDraining(base::Instant now,
                                      const base::EndpointId& id) {
  const auto until = now + this->options.keep_leaving_note;
  const bool added = this->leaving_notes.insert({id.text, until}).second;
  if (added && this->options.propagate_departures)
    this->SpreadEndpoint(id.text);
}

void Membership::ExpireNotes(base::Instant now) {
  std::erase_if(this->leaving_notes,
                [&](const auto& note) { return note.second <= now; });
}

MembershipMessage Membership::HandlePing(base::Instant now,
                                         const base::VmId& from,
                                         const MembershipMessage& message) {
  this->Receive(now, message);
  this->HearFrom(now, from, message.generation);
  this->NoteDigest(from.name, message.digest);
  const auto sender = this->members.find(from.name);
  if (sender == this->members.end()) return this->MakeMessage(nullptr);
  return this->MakeMessage(&sender->second);
}

void Membership::HandleAck(base::Instant now, const std::string& target,
                           const MembershipMessage& message) {
  this->Receive(now, message);
  this->HearFrom(now, {target, message.incarnation}, message.generation);
  this->NoteDigest(target, message.digest);
}

void Membership::HandlePingFailure(base::Instant now,
                                   const std::string& target) {
  const auto found = this->members.find(target);
  if (found == this->members.end()) return;
  auto& member = found->second;
  member.introduced = false;
  // The other domain's own members decide on it.
  if (member.unheard || !this->InOwnDomain(member)) return;
  if (member.known.status != MemberStatus::kAlive) return;
  this->SetStatus(now, member,
                  this->options.enable_suspicion ? MemberStatus::kSuspect
                                                 : MemberStatus::kLost);
}

MembershipMessage Membership::HandleSync(const SyncRequest& request) const {
  MembershipMessage reply;
  reply.incarnation = this->self.id.incarnation;
  reply.generation = this->self.generation;
  reply.digest = this->Digest();
  std::set<std::string> differing;
  for (const auto& [domain, digest] : this->DomainDigests()) {
    const auto theirs = request.digests.find(domain);
    const bool same =
        theirs != request.digests.end() && theirs->second == digest;
    if (!same) differing.insert(domain);
  }
  for (const auto& [domain, digest] : request.digests) {
    if (!this->DomainDigests().contains(domain)) differing.insert(domain);
  }
  if (differing.contains(this->self.location.domain.text)) {
    reply.updates.push_back(this->self);
  }
  for (const auto& [name, member] : this->members) {
    if (member.unheard) continue;
    if (!differing.contains(member.known.location.domain.text)) continue;
    reply.updates.push_back(member.known);
  }
  return reply;
}

void Membership::HandleSyncReply(base::Instant now,
                                 const MembershipMessage& message) {
  this->Receive(now, message);
}

void Membership::Receive(base::Instant now, const MembershipMessage& message) {
  for (const auto& update : message.updates) this->Apply(now, update);
  for (const auto& beat : message.heartbeats) this->HandleBeat(now, beat);
  for (const auto& id : message.draining_endpoints) {
    this->MarkEndpointDraining(now, id);
  }
}

void Membership::Apply(base::Instant now, const MemberUpdate& update) {
  if (update.id.name == this->self.id.name) return this->ApplyToSelf(update);
  const auto found = this->members.find(update.id.name);
  if (found == this->members.end() || found->second.unheard) {
    // A lost VM that nobody here knows needs no trace.
    if (update.status != MemberStatus::kLost) this->Replace(now, update);
    return;
  }
  auto& member = found->second;
  const auto known = member.known.id.incarnation;
  if (update.id.incarnation == known) return this->Merge(now, member, update);
  const bool newer = update.id.incarnation > known;
  if (newer || !this->options.compare_incarnations) this->Replace(now, update);
}

void Membership::ApplyToSelf(const MemberUpdate& update) {
  if (update.id.incarnation != this->self.id.incarnation) return;
  if (update.status == MemberStatus::kAlive) return;
  if (update.generation < this->self.generation) return;
  if (!this->options.enable_refutation) return;
  this->self.generation = update.generation + 1;
  this->SpreadMember(this->self.id.name);
}

void Membership::Replace(base::Instant now, const MemberUpdate& update) {
  auto& member = this->members[update.id.name];
  const bool listed = member.listed;
  member = Member{};
  member.listed = listed;
  member.known = update;
  this->SetStatus(now, member, update.status);
  this->LoseOthersAt(now, update);
}

void Membership::Merge(base::Instant now, Member& member,
                       const MemberUpdate& update) {
  auto& known = member.known;
  const bool leaves = update.shutting_down && !known.shutting_down;
  const bool later = std::tie(update.generation, update.status) >
                     std::tie(known.generation, known.status);
  known.shutting_down = known.shutting_down || update.shutting_down;
  if (later) {
    known.generation = update.generation;
    this->SetStatus(now, member, update.status);
  } else if (leaves) {
    this->SpreadMember(known.id.name);
  }
}

void Membership::HearFrom(base::Instant now, const base::VmId& id,
                          std::uint32_t generation) {
  const auto found = this->members.find(id.name);
  if (found == this->members.end()) return;
  auto& member = found->second;
  const bool newer = id.incarnation > member.known.id.incarnation;
  if (member.unheard || newer) {
    auto update = member.known;
    update.id = id;
    update.generation = generation;
    update.status = MemberStatus::kAlive;
    // What the list says of a VM that was never heard still holds.
    update.shutting_down = member.unheard && member.known.shutting_down;
    return this->Replace(now, update);
  }
  if (id.incarnation < member.known.id.incarnation) return;
  if (generation <= member.known.generation) return;
  member.known.generation = generation;
  this->SetStatus(now, member, MemberStatus::kAlive);
}

void Membership::LoseOthersAt(base::Instant now, const MemberUpdate& newcomer) {
  if (!this->options.compare_incarnations) return;
  for (auto& [name, member] : this->members) {
    const auto& known = member.known;
    const bool same =
        known.address == newcomer.address && known.id.name != newcomer.id.name;
    if (!same || member.unheard || known.status == MemberStatus::kLost)
      continue;
    if (known.id.incarnation < newcomer.id.incarnation) {
      this->SetStatus(now, member, MemberStatus::kLost);
    }
  }
}

void Membership::SetStatus(base::Instant now, Member& member,
                           MemberStatus status) {
  const bool own = this->InOwnDomain(member);
  member.known.status = status;
  member.lost_at = base::kNever;
  member.forget_at = base::kNever;
  if (status == MemberStatus::kSuspect && own) {
    member.lost_at = now + this->options.suspicion_timeout;
    const auto& name = member.known.id.name;
    const auto share = base::RendezvousScore(name, this->self.id.name);
    const auto count = this->OwnDomain(false).size() + 1;
    if (share % count < kCheckers) this->urgent.push_back(name);
  }
  if (status == MemberStatus::kLost) {
    member.forget_at = now + this->options.forget_lost;
  }
  this->SpreadMember(member.known.id.name);
}

void Membership::HandleBeat(base::Instant now, const DomainHeartbeat& beat) {
  auto& heard = this->domains[beat.domain.text];
  if (beat.counter <= heard.counter) return;
  heard.counter = beat.counter;
  heard.silent_at = now + this->options.domain_silence;
  this->beat_rumours[beat.domain.text] = this->SpreadCount() / 2;
}

void Membership::NoteDigest(const std::string& from, std::uint64_t digest) {
  const auto sender = this->members.find(from);
  if (sender == this->members.end()) return;
  auto& mismatch = this->InOwnDomain(sender->second) ? this->own_mismatch
                                                     : this->other_mismatch;
  if (digest == this->Digest()) {
    mismatch.count = 0;
    return;
  }
  ++mismatch.count;
  mismatch.address = sender->second.known.address;
}

void Membership::ForgiveOwnPause(base::Instant now) {
  const auto last = std::exchange(this->last_tick, now);
  if (last == base::kNever) return;
  if (now - last <= kPausePeriods * this->options.ping_period) return;
  // Answers that came meanwhile haven't been read: suspects get that time.
  for (auto& [name, member] : this->members) {
    if (member.lost_at != base::kNever) member.lost_at += now - last;
  }
}

void Membership::ExpireSuspects(base::Instant now) {
  for (auto& [name, member] : this->members) {
    if (member.lost_at <= now)
      this->SetStatus(now, member, MemberStatus::kLost);
  }
}

void Membership::ForgetLost(base::Instant now) {
  std::erase_if(this->members, [now](const auto& entry) {
    return !entry.second.listed && entry.second.forget_at <= now;
  });
}

PeerState Membership::StateOf(base::Instant now, const Member& member) const {
  const auto& known = member.known;
  if (known.status == MemberStatus::kLost) return PeerState::kLost;
  if (known.shutting_down) return PeerState::kShuttingDown;
  if (member.unheard || known.status == MemberStatus::kSuspect) {
    return PeerState::kSuspect;
  }
  const bool silent = !this->InOwnDomain(member) &&
                      this->DomainSilent(now, known.location.domain.text);
  return silent ? PeerState::kSuspect : PeerState::kLive;
}

PeerState Membership::PeerStateOf(base::Instant now,
                                  const std::string& name) const {
  const auto found = this->members.find(name);
  if (found == this->members.end()) return PeerState::kLost;
  return this->StateOf(now, found->second);
}

bool Membership::DomainSilent(base::Instant now,
                              const std::string& domain) const {
  const auto heard = this->domains.find(domain);
  return heard == this->domains.end() || heard->second.silent_at <= now;
}

FleetView Membership::View(base::Instant now) const {
  FleetView view;
  view.self = this->self.id;
  view.location = this->self.location;
  view.platform_reachable = this->platform_reachable;
  view.listed = this->listed;
  for (const auto& [name, member] : this->members) {
    view.peers.push_back({.id = member.known.id,
                          .address = member.known.address,
                          .location = member.known.location,
                          .state = this->StateOf(now, member)});
  }
  view.endpoints = this->endpoints;
  for (auto& endpoint : view.endpoints) {
    const bool noted = this->leaving_notes.contains(endpoint.id.text);
    endpoint.draining = endpoint.draining || noted;
  }
  return view;
}

}  // namespace gypsumtrack::policy
