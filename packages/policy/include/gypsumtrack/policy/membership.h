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

/// Failure detection and gossip between daemons, in the manner of SWIM.
///
/// Daemons are discovered through the platform's list, which lags, and through
/// peers. Each daemon pings one member of its failure domain per period, and
/// membership changes are piggybacked on pings and acks. A few representatives
/// of each failure domain also ping the other domains.
namespace gypsumtrack::policy {

/// Timing and limits of `Membership`.
struct MembershipOptions {
  /// Mean time between pings within the own failure domain.
  base::Duration ping_period = std::chrono::milliseconds(1000);
  base::Duration ping_timeout = std::chrono::milliseconds(900);
  /// A suspect that doesn't refute the suspicion for this long becomes lost.
  base::Duration suspicion_timeout = std::chrono::seconds(8);
  /// Time between direct pings of a suspect of another domain. Longer than its
  /// own domain takes to refute the suspicion or to consider it lost: after
  /// this time the message that says so was probably lost.
  base::Duration verification_period = std::chrono::seconds(20);
  /// Time between pings of a representative to other failure domains.
  base::Duration domain_ping_period = std::chrono::seconds(2);
  /// Time between increments of the own domain's heartbeat counter.
  base::Duration heartbeat_period = std::chrono::seconds(10);
  /// If a domain's heartbeat counter doesn't increase for this long, the VMs of
  /// that domain become suspects.
  base::Duration domain_timeout = std::chrono::seconds(30);
  /// Minimum time between sync requests.
  base::Duration sync_period = std::chrono::seconds(20);
  /// How long a lost VM is kept before it is removed.
  base::Duration lost_retention = std::chrono::minutes(10);
  /// How long an endpoint counts as draining even if the platform's list says
  /// otherwise.
  base::Duration draining_mark_lifetime = std::chrono::minutes(10);
  std::uint32_t representatives_per_domain = 2;
  /// Maximum number of queued member updates, and of draining endpoints, in a
  /// message to the own failure domain.
  std::uint32_t max_updates_per_message = 12;

  // Disabled only by tests that show the effect of each mechanism.

  /// Whether this VM refutes reports that it is suspect or lost.
  bool enable_refutation = true;
  /// Whether a failed ping makes a VM a suspect before it is lost.
  bool enable_suspicion = true;
  /// Whether updates of earlier incarnations are ignored.
  bool compare_incarnations = true;
  /// Whether the shutdown of VMs and the draining of endpoints are gossiped.
  bool propagate_departures = true;
  /// Whether lost VMs are pinged now and then.
  bool probe_lost = true;
};

/// Failure status of a VM. Within one generation it only increases.
enum class MemberStatus { kAlive, kSuspect, kLost };

inline constexpr auto kMemberStatusNames = base::MakeEnumTable<MemberStatus>({
    {MemberStatus::kAlive, "none"},
    {MemberStatus::kSuspect, "suspect"},
    {MemberStatus::kLost, "lost"},
});

/// State of one daemon. An update with a later incarnation replaces the state;
/// within one incarnation, a later generation overrides the status. Only the VM
/// itself starts a new generation, in order to refute a suspicion.
struct MemberUpdate {
  base::VmId id;
  std::uint32_t generation = 0;
  MemberStatus status = MemberStatus::kAlive;
  bool shutting_down = false;
  /// `ip:port` of the peer listener.
  std::string address;
  base::Location location;

  bool operator==(const MemberUpdate&) const = default;
};

/// A counter that increases while a failure domain has a live representative.
struct DomainHeartbeat {
  base::FailureDomain domain;
  std::uint64_t counter = 0;

  bool operator==(const DomainHeartbeat&) const = default;
};

/// A ping, an ack, or the reply to a sync request.
struct MembershipMessage {
  /// Incarnation and generation of the sender.
  std::uint64_t incarnation = 0;
  std::uint32_t generation = 0;
  /// Combined hash of all VMs that the sender doesn't consider lost.
  std::uint64_t digest = 0;
  std::vector<MemberUpdate> updates;
  std::vector<DomainHeartbeat> heartbeats;
  /// Endpoints known to be draining.
  std::vector<base::EndpointId> draining_endpoints;

  bool operator==(const MembershipMessage&) const = default;
};

/// Requests all members of the failure domains whose digests differ.
struct SyncRequest {
  /// Digest by name of the failure domain.
  std::map<std::string, std::uint64_t> digests;

  bool operator==(const SyncRequest&) const = default;
};

/// A ping to send. Its result is reported to `Membership::HandleAck` or
/// `Membership::HandlePingFailure`.
struct PingAction {
  /// Name of the VM.
  std::string target;
  std::string address;
  base::Instant deadline;
  MembershipMessage message;
};

/// A sync request to send. Its reply is passed to
/// `Membership::HandleSyncReply`; a failure isn't reported.
struct SyncAction {
  std::string address;
  SyncRequest request;
};

/// Messages that the caller of `Membership` has to send.
struct MembershipActions {
  std::vector<PingAction> pings;
  std::vector<SyncAction> syncs;
  /// When `Membership::Tick` has to be called next. Set by `Tick` only.
  base::Instant next_tick = base::kNever;
};

/// Membership state machine of one daemon; performs no I/O. Not thread-safe.
/// Preconditions of all methods: `now` never decreases, and each start of a VM
/// has a higher incarnation than the one before.
class Membership {
 public:
  /// `seed` determines the order and the jitter of pings.
  Membership(const MembershipOptions& options, const base::VmId& self,
             const std::string& address, const base::Location& location,
             std::uint64_t seed);

  // Commands.

  /// Expires timeouts and returns the messages that are due.
  MembershipActions Tick(base::Instant now);
  /// Handles a VM list of the platform.
  void HandleList(base::Instant now, const std::vector<base::ListedVm>& listed);
  /// Handles a failed request for the platform's VM list.
  void HandleListFailure(base::Instant now);
  /// Handles a ping and returns the ack.
  MembershipMessage HandlePing(base::Instant now, const base::VmId& from,
                               const MembershipMessage& message);
  /// Handles the ack of a ping to the VM named `target`.
  void HandleAck(base::Instant now, const std::string& target,
                 const MembershipMessage& message);
  /// Handles a ping to the VM named `target` that failed or timed out.
  void HandlePingFailure(base::Instant now, const std::string& target);
  /// Returns the reply to a sync request.
  MembershipMessage HandleSync(const SyncRequest& request) const;
  /// Handles the reply to a sync request.
  void HandleSyncReply(base::Instant now, const MembershipMessage& message);
  /// Marks this VM as shutting down and returns pings that announce it to its
  /// whole failure domain. Later calls return no actions.
  MembershipActions AnnounceShutdown(base::Instant now);
  /// Marks an endpoint as draining, as reported by the endpoint itself, by an
  /// operator or by a peer.
  void MarkEndpointDraining(base::Instant now, const base::EndpointId& id);

  // Queries.

  /// Returns a snapshot of the fleet.
  FleetView View(base::Instant now) const;
  /// Returns the state of the VM called `name`, or kLost if it is unknown.
  PeerState PeerStateOf(base::Instant now, const std::string& name) const;

 private:
  struct Member {
    MemberUpdate known;
    /// Known only from the platform's list; the incarnation is unknown.
    bool list_only = false;
    /// Whether the last list contained the VM.
    bool listed = false;
    /// Whether this VM's own address and location were sent to the member.
    bool sent_self = false;
    /// When a suspect of the own domain becomes lost.
    base::Instant lost_at = base::kNever;
    /// When a suspect of another domain is pinged from here.
    base::Instant verify_at = base::kNever;
    /// When a lost VM that is no longer listed is removed.
    base::Instant remove_at = base::kNever;
  };
  struct DomainState {
    std::uint64_t counter = 0;
    /// When the domain counts as unresponsive.
    base::Instant timeout_at = base::Instant::min();
    /// Names of members and endpoints not yet sent to the domain.
    std::set<std::string> unsent_members;
    std::set<std::string> unsent_endpoints;
  };
  struct DigestMismatch {
    /// Consecutive messages whose digest differs from the own one.
    std::uint32_t count = 0;
    /// Address of the last sender whose digest differed.
    std::string address;
  };
  /// Number of messages that still have to carry an item, by its name.
  using TransmitQueue = std::map<std::string, std::uint32_t>;

  void Receive(base::Instant now, const MembershipMessage& message);
  void Apply(base::Instant now, const MemberUpdate& update);
  void ApplyToSelf(const MemberUpdate& update);
  void Replace(base::Instant now, const MemberUpdate& update);
  void Merge(base::Instant now, Member& member, const MemberUpdate& update);
  void ConfirmAlive(base::Instant now, const base::VmId& id,
                    std::uint32_t generation);
  void MarkPredecessorsLost(base::Instant now, const MemberUpdate& successor);
  void SetStatus(base::Instant now, Member& member, MemberStatus status);
  void HandleHeartbeat(base::Instant now, const DomainHeartbeat& heartbeat);
  void CompareDigest(const std::string& from, std::uint64_t digest);
  void ApplyListedDaemon(const base::ListedVm& vm);
  void ApplyListedEndpoint(base::Instant now, const base::ListedVm& vm);
  void RemoveExpiredDrainingMarks(base::Instant now);
  void ExtendTimeoutsAfterPause(base::Instant now);
  void ExpireSuspects(base::Instant now);
  /// Pings the suspects of other domains that were neither refuted nor lost in
  /// time, since the messages that end a suspicion may be lost on their way.
  /// Waits while the whole domain is unresponsive.
  void VerifyForeignSuspects(base::Instant now, MembershipActions& actions);
  void RemoveExpiredLostMembers(base::Instant now);

  void PingOwnDomain(base::Instant now, MembershipActions& actions);
  void PingOtherDomain(base::Instant now, MembershipActions& actions);
  void RequestSync(base::Instant now, MembershipActions& actions);
  PingAction MakePing(base::Instant now, const Member& member,
                      MembershipMessage message) const;
  MembershipMessage MakeMessage(Member* recipient);
  /// Returns a message that tells only of this VM and of the recipient.
  MembershipMessage MakeBareMessage(Member* recipient);
  void AddOwnDomainUpdates(MembershipMessage& message);
  void AddOtherDomainUpdates(const std::string& domain,
                             MembershipMessage& message);
  void AddUpdate(const std::string& name, MembershipMessage& message) const;
  void EnqueueMember(const std::string& name);
  void EnqueueDrainingEndpoint(const std::string& name);
  void AdvanceHeartbeat(base::Instant now);
  std::string NextPingTarget();
  void ShufflePingOrder();

  std::vector<std::string> OwnDomainMembers(bool lost) const;
  std::vector<std::string> RepresentativesOf(const std::string& domain) const;
  std::vector<std::string> MembersOf(const std::string& domain) const;
  bool IsRepresentative() const;
  bool IsInOwnDomain(const Member& member) const;
  std::uint64_t Digest() const;
  std::map<std::string, std::uint64_t> DomainDigests() const;
  std::uint64_t NextRandom();
  std::uint32_t TransmitLimit() const;
  bool IsDomainUnresponsive(base::Instant now, const std::string& domain) const;
  PeerState StateOf(base::Instant now, const Member& member) const;

  MembershipOptions options;
  MemberUpdate self;
  std::uint64_t random_state;
  std::map<std::string, Member> members;
  std::map<std::string, DomainState> domains;
  TransmitQueue member_queue;
  TransmitQueue endpoint_queue;
  TransmitQueue heartbeat_queue;
  std::vector<Endpoint> endpoints;
  /// Until when an endpoint counts as draining, whatever the list says.
  std::map<std::string, base::Instant> draining_until;
  /// Members still to be pinged in this round, the next one last.
  std::vector<std::string> ping_order;
  /// New suspects that this VM pings ahead of the regular order.
  std::vector<std::string> priority_targets;
  std::size_t next_domain_index = 0;
  base::Instant last_tick = base::kNever;
  base::Instant next_ping_at = base::Instant::min();
  base::Instant next_domain_ping_at = base::Instant::min();
  base::Instant next_heartbeat_at = base::Instant::min();
  base::Instant next_sync_at = base::Instant::min();
  DigestMismatch own_domain_mismatch;
  DigestMismatch other_domain_mismatch;
  bool platform_reachable = false;
  bool listed = false;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_MEMBERSHIP_H_
