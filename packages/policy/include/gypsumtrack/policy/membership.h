#ifndef GYPSUMTRACK_POLICY_MEMBERSHIP_H_
#define GYPSUMTRACK_POLICY_MEMBERSHIP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/base/vm_list.h"
#include "gypsumtrack/policy/fleet_view.h"

/// Which daemons are alive, from the platform's lagging list and from peers.
/// Each daemon pings one other of its domain a period; what is learned rides on
/// the pings. A few representatives of each domain ping across domains.
namespace gypsumtrack::policy {

struct MembershipOptions {
  base::Duration ping_period = std::chrono::milliseconds(1000);
  base::Duration ping_timeout = std::chrono::milliseconds(900);
  /// A suspect that doesn't answer for so long is lost.
  base::Duration suspicion_timeout = std::chrono::seconds(8);
  /// Between pings of a representative to other domains.
  base::Duration domain_ping_period = std::chrono::seconds(2);
  /// Between rises of a domain's beat; silent for `domain_silence`, its VMs
  /// are suspects.
  base::Duration beat_period = std::chrono::seconds(10);
  base::Duration domain_silence = std::chrono::seconds(30);
  /// Between requests for whole domains that differ.
  base::Duration sync_period = std::chrono::seconds(20);
  /// How long a lost VM is remembered.
  base::Duration forget_lost = std::chrono::minutes(10);
  /// How long a note that an endpoint leaves outlives lists that deny it.
  base::Duration keep_leaving_note = std::chrono::minutes(10);
  std::uint32_t representatives = 2;
  std::uint32_t max_updates = 12;

  // Switched off in tests only, to show what each mechanism is for.
  bool enable_refutation = true;
  bool enable_suspicion = true;
  bool compare_incarnations = true;
  bool propagate_departures = true;
  bool probe_lost = true;
};

/// What others hold against a VM's own word; rises within a generation.
enum class MemberStatus { kAlive, kSuspect, kLost };

inline constexpr auto kMemberStatusNames = base::MakeEnumTable<MemberStatus>({
    {MemberStatus::kAlive, "none"},
    {MemberStatus::kSuspect, "suspect"},
    {MemberStatus::kLost, "lost"},
});

/// What is known of a daemon. A later incarnation replaces it; within one, a
/// later generation does, which only the VM itself begins.
struct MemberUpdate {
  base::VmId id;
  std::uint32_t generation = 0;
  MemberStatus status = MemberStatus::kAlive;
  bool shutting_down = false;
  std::string address;
  base::Place location;

  bool operator==(const MemberUpdate&) const = default;
};

/// A counter that rises while a domain has a live representative.
struct DomainHeartbeat {
  base::FailureDomain domain;
  std::uint64_t counter = 0;

  bool operator==(const DomainHeartbeat&) const = default;
};

/// A ping, its answer, or the answer to a sync request.
struct MembershipMessage {
  std::uint64_t incarnation = 0;
  std::uint32_t generation = 0;
  /// Of all VMs that the sender holds to be alive.
  std::uint64_t digest = 0;
  std::vector<MemberUpdate> updates;
  std::vector<DomainHeartbeat> heartbeats;
  /// Endpoints known to leave.
  std::vector<base::EndpointId> draining_endpoints;

  bool operator==(const MembershipMessage&) const = default;
};

/// Asks for all members of the domains whose digests differ.
struct SyncRequest {
  std::map<std::string, std::uint64_t> digests;

  bool operator==(const SyncRequest&) const = default;
};

/// To be sent as a call; its end is reported by HandleAck or PingFailed.
struct PingAction {
  std::string target;
  std::string address;
  base::Instant deadline;
  MembershipMessage message;
};

struct SyncAction {
  std::string address;
  SyncRequest request;
};

struct MembershipActions {
  std::vector<PingAction> pings;
  std::vector<SyncAction> syncs;
  /// When Tick is due next.
  base::Instant next_tick = base::kNever;
};

/// One per daemon. Not thread-safe. Precondition throughout: `now` doesn't
/// fall, and a VM's incarnations rise with each start.
class Membership {
 public:
  Membership(const MembershipOptions& options, const base::VmId& self,
             const std::string& address, const base::Place& location,
             std::uint64_t seed);

  // Commands.

  MembershipActions Tick(base::Instant now);
  void HandleList(base::Instant now, const std::vector<base::ListedVm>& listed);
  void HandleListFailure(base::Instant now);
  /// Returns the answer.
  MembershipMessage HandlePing(base::Instant now, const base::VmId& from,
                               const MembershipMessage& message);
  void HandleAck(base::Instant now, const std::string& target,
                 const MembershipMessage& message);
  void HandlePingFailure(base::Instant now, const std::string& target);
  MembershipMessage HandleSync(const SyncRequest& request) const;
  void HandleSyncReply(base::Instant now, const MembershipMessage& message);
  /// This VM takes no new work; the pings tell its domain at once.
  MembershipActions AnnounceShutdown(base::Instant now);
  /// An endpoint or an operator says that the endpoint leaves.
  void MarkEndpointDraining(base::Instant now, const base::EndpointId& id);

  // Queries.

  FleetView View(base::Instant now) const;
  /// kLost for a VM that isn't known.
  PeerState PeerStateOf(base::Instant now, const std::string& name) const;

 private:
  struct Member {
    MemberUpdate known;
    /// Named by the list only; its incarnation is unknown.
    bool unheard = false;
    bool listed = false;
    /// Has been sent this VM's address and location.
    bool introduced = false;
    base::Instant lost_at = base::kNever;
    base::Instant forget_at = base::kNever;
  };
  struct HeardDomain {
    std::uint64_t counter = 0;
    base::Instant silent_at = base::Instant::min();
    /// Names of members and endpoints that it hasn't been told of.
    std::set<std::string> untold_members;
    std::set<std::string> untold_endpoints;
  };
  /// Messages in a row whose digest differs from ours.
  struct Mismatch {
    std::uint32_t count = 0;
    std::string address;
  };
  /// What to tell, and in how many more messages.
  using Rumours = std::map<std::string, std::uint32_t>;

  void Receive(base::Instant now, const MembershipMessage& message);
  void Apply(base::Instant now, const MemberUpdate& update);
  void ApplyToSelf(const MemberUpdate& update);
  void Replace(base::Instant now, const MemberUpdate& update);
  void Merge(base::Instant now, Member& member, const MemberUpdate& update);
  void HearFrom(base::Instant now, const base::VmId& id,
                std::uint32_t generation);
  void LoseOthersAt(base::Instant now, const MemberUpdate& newcomer);
  void SetStatus(base::Instant now, Member& member, MemberStatus status);
  void HandleBeat(base::Instant now, const DomainHeartbeat& beat);
  void NoteDigest(const std::string& from, std::uint64_t digest);
  void ListDaemon(const base::ListedVm& vm);
  void ListEndpoint(base::Instant now, const base::ListedVm& vm);
  void ExpireNotes(base::Instant now);
  void ForgiveOwnPause(base::Instant now);
  void ExpireSuspects(base::Instant now);
  void ForgetLost(base::Instant now);

  void PingOwnDomain(base::Instant now, MembershipActions& actions);
  void PingOtherDomain(base::Instant now, MembershipActions& actions);
  void Sync(base::Instant now, MembershipActions& actions);
  PingAction MakePing(base::Instant now, Member& member);
  MembershipMessage MakeMessage(Member* to);
  void AddOwnDomainNews(MembershipMessage& message);
  void AddOtherDomainNews(const std::string& domain,
                          MembershipMessage& message);
  void AddUpdate(const std::string& name, MembershipMessage& message) const;
  void SpreadMember(const std::string& name);
  void SpreadEndpoint(const std::string& name);
  void RaiseBeat(base::Instant now);
  std::string NextTarget();
  void RefillOrder();

  std::vector<std::string> OwnDomain(bool lost) const;
  std::vector<std::string> Representatives(const std::string& domain) const;
  std::vector<std::string> AnyOf(const std::string& domain) const;
  bool IsRepresentative() const;
  bool InOwnDomain(const Member& member) const;
  std::uint64_t Digest() const;
  std::map<std::string, std::uint64_t> DomainDigests() const;
  std::uint64_t Random();
  std::uint32_t SpreadCount() const;
  bool DomainSilent(base::Instant now, const std::string& domain) const;
  PeerState StateOf(base::Instant now, const Member& member) const;

  MembershipOptions options;
  MemberUpdate self;
  std::uint64_t random_state;
  std::map<std::string, Member> members;
  std::map<std::string, HeardDomain> domains;
  Rumours member_rumours;
  Rumours endpoint_rumours;
  Rumours beat_rumours;
  std::vector<Endpoint> endpoints;
  /// Until when an endpoint counts as leaving whatever the list says.
  std::map<std::string, base::Instant> leaving_notes;
  std::vector<std::string> order;
  std::vector<std::string> urgent;
  std::size_t next_domain = 0;
  base::Instant last_tick = base::kNever;
  base::Instant ping_at = base::Instant::min();
  base::Instant domain_ping_at = base::Instant::min();
  base::Instant beat_at = base::Instant::min();
  base::Instant sync_at = base::Instant::min();
  Mismatch own_mismatch;
  Mismatch other_mismatch;
  bool platform_reachable = false;
  bool listed = false;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_MEMBERSHIP_H_
