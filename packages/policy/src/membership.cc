#include "gypsumtrack/policy/membership.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::policy {
namespace {

/// A longer gap between ticks, in ping periods, means that this VM was paused.
constexpr int kMaxTickGapPeriods = 3;
/// Expected number of members that ping a new suspect immediately.
constexpr std::uint64_t kSuspectVerifiers = 3;

Endpoint MakeEndpoint(const base::ListedVm& vm) {
  return {.id = base::EndpointId(vm.name),
          .address = vm.address,
          .location = vm.location,
          .service = vm.service,
          .models = vm.models,
          .slots = vm.slots,
          .draining = vm.state == base::VmState::kDraining,
          .checks_fencing = vm.checks_fencing};
}

}  // namespace

Membership::Membership(const MembershipOptions& settings,
                       const base::VmId& own_id, const std::string& address,
                       const base::Location& location, std::uint64_t seed)
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
      this->ApplyListedEndpoint(now, vm);
    } else if (vm.name == this->self.id.name) {
      // Peers reach this VM at the address that the platform lists.
      this->self.address = vm.address;
      this->listed = true;
    } else {
      this->ApplyListedDaemon(vm);
    }
  }
  std::erase_if(this->members, [](const auto& entry) {
    return entry.second.list_only && !entry.second.listed;
  });
  this->RemoveExpiredDrainingMarks(now);
}

void Membership::HandleListFailure(base::Instant) {
  this->platform_reachable = false;
}

void Membership::ApplyListedDaemon(const base::ListedVm& vm) {
  auto [found, added] = this->members.try_emplace(vm.name);
  auto& member = found->second;
  const bool address_changed = member.known.status == MemberStatus::kLost &&
                               member.known.address != vm.address;
  if (added || address_changed) {
    member = Member{};
    member.list_only = true;
    member.known = {
        .id = {vm.name, 0}, .address = vm.address, .location = vm.location};
  }
  member.listed = true;
  const bool shutting_down = vm.state == base::VmState::kDraining;
  if (!shutting_down || member.known.shutting_down) return;
  member.known.shutting_down = true;
  if (!member.list_only) this->EnqueueMember(vm.name);
}

void Membership::ApplyListedEndpoint(base::Instant now,
                                     const base::ListedVm& vm) {
  this->endpoints.push_back(MakeEndpoint(vm));
  if (vm.state != base::VmState::kDraining) return;
  if (!this->draining_until.contains(vm.name)) {
    this->MarkEndpointDraining(now, base::EndpointId(vm.name));
  }
}

void Membership::MarkEndpointDraining(base::Instant now,
                                      const base::EndpointId& id) {
  const auto until = now + this->options.draining_mark_lifetime;
  const bool added = this->draining_until.insert({id.text, until}).second;
  if (added && this->options.propagate_departures) {
    this->EnqueueDrainingEndpoint(id.text);
  }
}

void Membership::RemoveExpiredDrainingMarks(base::Instant now) {
  std::erase_if(this->draining_until,
                [&](const auto& mark) { return mark.second <= now; });
}

MembershipMessage Membership::HandlePing(base::Instant now,
                                         const base::VmId& from,
                                         const MembershipMessage& message) {
  this->Receive(now, message);
  this->ConfirmAlive(now, from, message.generation);
  this->CompareDigest(from.name, message.digest);
  const auto sender = this->members.find(from.name);
  if (sender == this->members.end()) return this->MakeMessage(nullptr);
  return this->MakeMessage(&sender->second);
}

void Membership::HandleAck(base::Instant now, const std::string& target,
                           const MembershipMessage& message) {
  this->Receive(now, message);
  this->ConfirmAlive(now, {target, message.incarnation}, message.generation);
  this->CompareDigest(target, message.digest);
}

void Membership::HandlePingFailure(base::Instant now,
                                   const std::string& target) {
  const auto found = this->members.find(target);
  if (found == this->members.end()) return;
  auto& member = found->second;
  member.sent_self = false;
  // Whether a VM of another domain is suspect is up to that domain's members.
  if (member.list_only || !this->IsInOwnDomain(member)) return;
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
    const auto requested = request.digests.find(domain);
    const bool same =
        requested != request.digests.end() && requested->second == digest;
    if (!same) differing.insert(domain);
  }
  for (const auto& [domain, digest] : request.digests) {
    if (!this->DomainDigests().contains(domain)) differing.insert(domain);
  }
  if (differing.contains(this->self.location.domain.text)) {
    reply.updates.push_back(this->self);
  }
  for (const auto& [name, member] : this->members) {
    if (member.list_only) continue;
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
  for (const auto& heartbeat : message.heartbeats) {
    this->HandleHeartbeat(now, heartbeat);
  }
  for (const auto& id : message.draining_endpoints) {
    this->MarkEndpointDraining(now, id);
  }
}

void Membership::Apply(base::Instant now, const MemberUpdate& update) {
  if (update.id.name == this->self.id.name) return this->ApplyToSelf(update);
  const auto found = this->members.find(update.id.name);
  if (found == this->members.end() || found->second.list_only) {
    // A lost VM that isn't known here needs no entry.
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
  this->EnqueueMember(this->self.id.name);
}

void Membership::Replace(base::Instant now, const MemberUpdate& update) {
  auto& member = this->members[update.id.name];
  const bool listed = member.listed;
  member = Member{};
  member.listed = listed;
  member.known = update;
  this->SetStatus(now, member, update.status);
  this->MarkPredecessorsLost(now, update);
}

void Membership::Merge(base::Instant now, Member& member,
                       const MemberUpdate& update) {
  auto& known = member.known;
  const bool departs = update.shutting_down && !known.shutting_down;
  const bool overrides = std::tie(update.generation, update.status) >
                         std::tie(known.generation, known.status);
  known.shutting_down = known.shutting_down || update.shutting_down;
  if (overrides) {
    known.generation = update.generation;
    this->SetStatus(now, member, update.status);
  } else if (departs) {
    this->EnqueueMember(known.id.name);
  }
}

void Membership::ConfirmAlive(base::Instant now, const base::VmId& id,
                              std::uint32_t generation) {
  const auto found = this->members.find(id.name);
  if (found == this->members.end()) return;
  auto& member = found->second;
  const bool newer = id.incarnation > member.known.id.incarnation;
  if (member.list_only || newer) {
    auto update = member.known;
    update.id = id;
    update.generation = generation;
    update.status = MemberStatus::kAlive;
    // A shutdown flag from the list stays valid after the VM's first message.
    update.shutting_down = member.list_only && member.known.shutting_down;
    return this->Replace(now, update);
  }
  if (id.incarnation < member.known.id.incarnation) return;
  if (generation <= member.known.generation) return;
  member.known.generation = generation;
  this->SetStatus(now, member, MemberStatus::kAlive);
}

/// Marks the VMs that `successor` replaced as lost: those with its address,
/// another name and a lower incarnation.
void Membership::MarkPredecessorsLost(base::Instant now,
                                      const MemberUpdate& successor) {
  if (!this->options.compare_incarnations) return;
  for (auto& [name, member] : this->members) {
    const auto& known = member.known;
    const bool same_address = known.address == successor.address &&
                              known.id.name != successor.id.name;
    if (!same_address || member.list_only ||
        known.status == MemberStatus::kLost) {
      continue;
    }
    if (known.id.incarnation < successor.id.incarnation) {
      this->SetStatus(now, member, MemberStatus::kLost);
    }
  }
}

void Membership::SetStatus(base::Instant now, Member& member,
                           MemberStatus status) {
  const bool own_domain = this->IsInOwnDomain(member);
  member.known.status = status;
  member.lost_at = base::kNever;
  member.verify_at = base::kNever;
  member.remove_at = base::kNever;
  if (status == MemberStatus::kSuspect && own_domain) {
    member.lost_at = now + this->options.suspicion_timeout;
    const auto& name = member.known.id.name;
    const auto score = base::RendezvousScore(name, this->self.id.name);
    const auto count = this->OwnDomainMembers(false).size() + 1;
    if (score % count < kSuspectVerifiers) {
      this->priority_targets.push_back(name);
    }
  }
  if (status == MemberStatus::kSuspect && !own_domain) {
    member.verify_at = now + this->options.verification_period;
  }
  if (status == MemberStatus::kLost) {
    member.remove_at = now + this->options.lost_retention;
  }
  this->EnqueueMember(member.known.id.name);
}

void Membership::HandleHeartbeat(base::Instant now,
                                 const DomainHeartbeat& heartbeat) {
  auto& state = this->domains[heartbeat.domain.text];
  if (heartbeat.counter <= state.counter) return;
  state.counter = heartbeat.counter;
  state.timeout_at = now + this->options.domain_timeout;
  this->heartbeat_queue[heartbeat.domain.text] = this->TransmitLimit() / 2;
}

void Membership::CompareDigest(const std::string& from, std::uint64_t digest) {
  const auto sender = this->members.find(from);
  if (sender == this->members.end()) return;
  auto& mismatch = this->IsInOwnDomain(sender->second)
                       ? this->own_domain_mismatch
                       : this->other_domain_mismatch;
  if (digest == this->Digest()) {
    mismatch.count = 0;
    return;
  }
  ++mismatch.count;
  mismatch.address = sender->second.known.address;
}

void Membership::ExtendTimeoutsAfterPause(base::Instant now) {
  const auto last = std::exchange(this->last_tick, now);
  if (last == base::kNever) return;
  if (now - last <= kMaxTickGapPeriods * this->options.ping_period) return;
  // Acks that arrived during the pause haven't been processed yet, so suspects
  // get that much more time.
  for (auto& [name, member] : this->members) {
    if (member.lost_at != base::kNever) member.lost_at += now - last;
  }
}

void Membership::ExpireSuspects(base::Instant now) {
  for (auto& [name, member] : this->members) {
    if (member.lost_at <= now) {
      this->SetStatus(now, member, MemberStatus::kLost);
    }
  }
}

void Membership::VerifyForeignSuspects(base::Instant now,
                                       MembershipActions& actions) {
  for (auto& [name, member] : this->members) {
    if (member.verify_at > now) continue;
    const auto& domain = member.known.location.domain.text;
    if (this->IsDomainUnresponsive(now, domain)) continue;
    member.verify_at = now + this->options.verification_period;
    // Carries no updates for the domain: a suspect may not receive them.
    actions.pings.push_back(
        this->MakePing(now, member, this->MakeBareMessage(&member)));
  }
}

void Membership::RemoveExpiredLostMembers(base::Instant now) {
  std::erase_if(this->members, [now](const auto& entry) {
    return !entry.second.listed && entry.second.remove_at <= now;
  });
}

PeerState Membership::StateOf(base::Instant now, const Member& member) const {
  const auto& known = member.known;
  if (known.status == MemberStatus::kLost) return PeerState::kLost;
  if (known.shutting_down) return PeerState::kShuttingDown;
  if (member.list_only || known.status == MemberStatus::kSuspect) {
    return PeerState::kSuspect;
  }
  const bool unresponsive =
      !this->IsInOwnDomain(member) &&
      this->IsDomainUnresponsive(now, known.location.domain.text);
  return unresponsive ? PeerState::kSuspect : PeerState::kLive;
}

PeerState Membership::PeerStateOf(base::Instant now,
                                  const std::string& name) const {
  const auto found = this->members.find(name);
  if (found == this->members.end()) return PeerState::kLost;
  return this->StateOf(now, found->second);
}

bool Membership::IsDomainUnresponsive(base::Instant now,
                                      const std::string& domain) const {
  const auto state = this->domains.find(domain);
  return state == this->domains.end() || state->second.timeout_at <= now;
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
    const bool marked = this->draining_until.contains(endpoint.id.text);
    endpoint.draining = endpoint.draining || marked;
  }
  return view;
}

}  // namespace gypsumtrack::policy
