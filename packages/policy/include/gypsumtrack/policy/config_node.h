#ifndef GYPSUMTRACK_POLICY_CONFIG_NODE_H_
#define GYPSUMTRACK_POLICY_CONFIG_NODE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/config_append.h"
#include "gypsumtrack/policy/config_log.h"
#include "gypsumtrack/policy/config_message.h"
#include "gypsumtrack/policy/config_push.h"
#include "gypsumtrack/policy/config_reader.h"
#include "gypsumtrack/policy/config_status.h"
#include "gypsumtrack/policy/config_tree.h"
#include "gypsumtrack/policy/fleet_view.h"
#include "gypsumtrack/policy/withdrawals.h"

/// The state machine by which each daemon keeps its configuration up to date
/// and distributes changes to others.
namespace gypsumtrack::policy {

/// Settings of a ConfigNode.
struct ConfigOptions {
  PushTiming push;
  ReadTiming read;
  WithdrawalTiming withdrawal;
  StatusTiming status;
  /// Maximum number of children of a VM in its domain's tree.
  std::uint32_t fan_out = 4;
  /// Time between two announcements to children.
  base::Duration announce_interval = std::chrono::milliseconds(1000);
  /// Time between two announcements to other domains while the table is
  /// reachable; otherwise `announce_interval` applies to them too.
  base::Duration remote_announce_interval = std::chrono::milliseconds(5000);
  /// How long a starting VM waits for the pending withdrawals of its peers.
  base::Duration startup_wait = std::chrono::milliseconds(1000);
  /// Time between two requests of a starting VM to its peers, and the shortest
  /// time between two fetches from the same VM.
  base::Duration startup_resend_interval = std::chrono::milliseconds(250);
  /// Age at which a pending withdrawal is proposed again by the domain's root,
  /// in case the VM that received it can't log it.
  base::Duration repropose_delay = std::chrono::seconds(5);
  /// Time without contact to the platform or another domain after which a
  /// domain counts as isolated.
  base::Duration isolation_timeout = std::chrono::seconds(5);
  /// Number of changes between two snapshots of the state.
  base::Revision snapshot_interval = 2'000;
  /// Number of log rows retained for history and merges.
  base::Revision retained_rows = 20'000;
  /// Converts an instant to calendar time, for changes that the node itself
  /// proposes.
  std::function<base::WallTime(base::Instant)> wall_clock = [](base::Instant) {
    return base::WallTime{};
  };
};

/// Takes events with their time and returns the actions to perform. Does no I/O
/// and reads no clock. Not thread-safe.
class ConfigNode {
 public:
  /// `self` is the VM that the node runs on. The node does nothing before the
  /// first OnFleet.
  ConfigNode(ConfigOptions options, base::VmId self);

  // Commands.

  /// The view of the fleet has changed.
  ConfigActions OnFleet(base::Instant now, const FleetView& view);
  /// Must be called at next_wake() or later.
  ConfigActions OnTimer(base::Instant now);
  /// Handles a message from the VM named `from`.
  ConfigActions OnMessage(base::Instant now, const std::string& from,
                          const ConfigMessage& message);
  /// Handles the reply to the CallStore action with the same token.
  ConfigActions OnStoreReply(base::Instant now, std::uint64_t token,
                             const StoreReply& reply);
  /// Proposes a change. The response is an AppendResponse.
  ConfigActions Submit(base::Instant now, Proposal proposal);
  /// Withdraws keys in all domains. The response is a WithdrawResponse.
  /// Precondition: the proposal's body is a KeyWithdrawal, its operation id is
  /// a new round name, and it has no deadline.
  ConfigActions Withdraw(base::Instant now, Proposal proposal);
  /// Queries every domain for its revisions in force. The response is a
  /// StatusResponse. Precondition: a new round name.
  ConfigActions QueryFleetStatus(base::Instant now, const std::string& round);

  // Queries.

  /// When to call OnTimer next.
  base::Instant next_wake() const { return this->wake_at; }  // NOLINT
  /// Whether requests may be checked against this configuration.
  bool ready() const { return this->serving; }  // NOLINT
  /// This VM's replica of the log.
  const ConfigLog& log() const { return this->replica; }  // NOLINT
  /// Withdrawals that the log doesn't hold yet.
  const PendingWithdrawalSet& pending_withdrawals() const {  // NOLINT
    return this->pending;
  }
  /// The revision in force on this VM; 0 while the node isn't ready.
  base::Revision in_force() const {  // NOLINT
    return this->serving ? this->replica.head() : 0;
  }
  /// Whether the domain has had no contact to the platform or another domain
  /// for `isolation_timeout`.
  bool IsIsolated(base::Instant now) const;
  /// Whether this VM's last read of the table succeeded.
  bool table_reachable() const {  // NOLINT
    return this->reader.table_reachable();
  }

 private:
  struct Handler;
  enum class StoreCall { kRead, kSnapshot, kCommit, kCompact };

  // Every command ends with Finish, which does all the work that is due.

  ConfigActions Finish(base::Instant now, ConfigActions out);
  /// Computes next_wake().
  void ScheduleWake(base::Instant now);
  void SendDueRead(base::Instant now, ConfigActions& out);
  /// Sends the appender's commit and responses, and pushes an accepted change
  /// to the roots of all domains.
  void ApplyAppendEffects(base::Instant now, AppendEffects effects,
                          ConfigActions& out);
  void SendDueAnnouncements(base::Instant now, ConfigActions& out);
  void AdvanceStartup(base::Instant now, ConfigActions& out);
  /// Proposes the withdrawals that have been pending for `repropose_delay`.
  void ReproposePendingWithdrawals(base::Instant now);
  /// Writes a snapshot once `snapshot_interval` changes have followed the last.
  void StartDueCompaction(base::Instant now, ConfigActions& out);

  void SendStoreRequest(base::Instant now, StoreCall kind, StoreRequest request,
                        ConfigActions& out);
  void OnRead(base::Instant now, const base::Outcome<LogPage>& reply,
              ConfigActions& out);
  void OnSnapshot(base::Instant now,
                  const base::Outcome<std::optional<ConfigState>>& reply,
                  ConfigActions& out);
  /// Applies the changes that follow the head. Returns whether changes in
  /// between are missing.
  bool ApplyChanges(base::Instant now, const std::vector<Change>& changes,
                    ConfigActions& out);
  /// Publishes and pushes the changes after revision `before`.
  void OnHeadAdvanced(base::Instant now, base::Revision before,
                      ConfigActions& out);
  void AddPendingWithdrawals(base::Instant now,
                             const std::vector<std::string>& hashes);
  /// Fetches the changes after the head from the VM named `from`, at most once
  /// per `startup_resend_interval`.
  void RequestChanges(base::Instant now, const std::string& from,
                      ConfigActions& out);
  void SendAnnouncements(base::Instant now, ConfigActions& out);
  AnnounceHead MakeAnnouncement(base::Instant now) const;
  /// The VM of another domain to probe; empty if it is this domain's turn.
  std::string RemoteVm(std::size_t probe) const;
  /// The VMs that a starting VM requests withdrawals and changes from.
  std::vector<std::string> StartupPeers() const;
  bool CanStartServing(base::Instant now) const;

  ConfigOptions options;
  base::VmId self;
  ConfigTree tree;
  ConfigLog replica;
  PendingWithdrawalSet pending;
  ConfigReader reader;
  ConfigAppender appender;
  ConfigPusher pusher;
  WithdrawalRounds withdrawal_rounds;
  StatusRounds status_rounds;

  std::map<std::uint64_t, StoreCall> store_calls;
  std::uint64_t next_token = 1;
  /// Whether the log may lack rows that the snapshot covers.
  bool needs_snapshot = true;
  base::Revision snapshot_revision = 0;
  bool compacting = false;

  bool serving = false;
  /// Whether a read has reached the table's head.
  bool caught_up = false;
  bool publish_due = false;
  std::optional<base::Instant> started_at;
  base::Instant startup_resend_at{};
  std::set<std::string> withdrawals_received_from;
  std::set<std::string> heads_received_from;

  base::Instant next_announcement_at{};
  base::Instant last_announced_confirmation{};
  base::Instant next_remote_announcement_at{};
  /// Probes sent while the head's confirmation was stale.
  std::size_t probe_count = 0;
  std::optional<base::Instant> last_outside_contact;
  std::map<std::string, base::Instant> last_fetch_at;
  /// Operation ids of the node's own proposals. That of a withdrawal is also
  /// the name of its round.
  std::set<std::string> own_operations;
  /// Operation id of the proposal of pending withdrawals that is under way;
  /// empty if there is none.
  std::string reproposal_id;
  std::uint64_t reproposal_count = 0;
  base::Instant wake_at{};
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_CONFIG_NODE_H_
