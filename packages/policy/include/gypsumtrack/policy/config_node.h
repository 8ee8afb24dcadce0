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

/// A daemon's part in keeping the configuration in force everywhere.
namespace gypsumtrack::policy {

struct ConfigOptions {
  PushTiming push;
  ReadTiming read;
  WithdrawalTiming withdrawal;
  StatusTiming status;
  /// Children of a VM in its domain's tree.
  std::uint32_t fan_out = 4;
  base::Duration announce = std::chrono::milliseconds(1000);
  /// Time between two announcements to other domains while the table answers.
  base::Duration announce_far = std::chrono::milliseconds(5000);
  /// How long a starting VM waits for the withdrawals that its peers know.
  base::Duration start_wait = std::chrono::milliseconds(1000);
  base::Duration start_resend = std::chrono::milliseconds(250);
  /// When a withdrawal that the log lacks is taken up by a domain's first VM.
  base::Duration take_up = std::chrono::seconds(5);
  /// When a domain that hears nothing from outside counts as cut off.
  base::Duration isolation = std::chrono::seconds(5);
  /// Changes between two snapshots of the log.
  base::Revision snapshot_interval = 2'000;
  /// Rows of the log that stay for history and merges.
  base::Revision retained_rows = 20'000;
  /// Calendar time of an instant, for changes that the node itself proposes.
  std::function<base::WallTime(base::Instant)> wall_clock = [](base::Instant) {
    return base::WallTime{};
  };
};

/// Events go in with their time, actions come out. Not thread-safe.
class ConfigNode {
 public:
  ConfigNode(ConfigOptions options, base::VmId self);

  // Commands.

  ConfigActions OnFleet(base::Instant now, const FleetView& view);
  /// Called at next_wake() or later.
  ConfigActions OnTimer(base::Instant now);
  ConfigActions OnMessage(base::Instant now, const std::string& from,
                          const ConfigMessage& message);
  ConfigActions OnStoreReply(base::Instant now, std::uint64_t token,
                             const StoreReply& reply);
  /// Answered by an AppendResponse.
  ConfigActions Submit(base::Instant now, Proposal proposal);
  /// Answered by a WithdrawResponse. The proposal's body is a KeyWithdrawal,
  /// and its operation id names the round; it has no deadline.
  ConfigActions Withdraw(base::Instant now, Proposal proposal);
  /// Answered by a StatusResponse.
  ConfigActions QueryFleetStatus(base::Instant now, const std::string& round);

  // Queries.

  base::Instant next_wake() const { return this->wake; }  // NOLINT
  /// Whether requests may be served from this configuration.
  bool ready() const { return this->serving; }            // NOLINT
  const ConfigLog& log() const { return this->replica; }  // NOLINT
  const PendingWithdrawalSet& pending_withdrawals() const {
    return this->refused;
  }  // NOLINT
  /// 0 while the node isn't ready.
  base::Revision in_force() const {  // NOLINT
    return this->serving ? this->replica.head() : 0;
  }
  /// Whether the domain hears neither the platform nor another domain.
  bool IsIsolated(base::Instant now) const;
  /// Whether the table answered this VM's last read.
  bool table_reachable() const { return this->reader.reachable(); }  // NOLINT

 private:
  struct Handler;
  enum class StoreCall { kRead, kSnapshot, kCommit, kCompact };

  // What every command ends with.
  ConfigActions Finish(base::Instant now, ConfigActions out);
  void PlanWake(base::Instant now);
  void RunReads(base::Instant now, ConfigActions& out);
  void RunAppend(base::Instant now, AppendStep step, ConfigActions& out);
  void RunAnnounce(base::Instant now, ConfigActions& out);
  void RunStart(base::Instant now, ConfigActions& out);
  void RunTakeUp(base::Instant now);
  void RunCompaction(base::Instant now, ConfigActions& out);

  void Call(base::Instant now, StoreCall kind, StoreRequest request,
            ConfigActions& out);
  void OnRead(base::Instant now, const base::Outcome<LogPage>& reply,
              ConfigActions& out);
  void OnSnapshot(base::Instant now,
                  const base::Outcome<std::optional<ConfigState>>& reply,
                  ConfigActions& out);
  /// Applies what follows the head; returns whether changes are missing.
  bool ApplyAll(base::Instant now, const std::vector<Change>& changes,
                ConfigActions& out);
  void OnGrown(base::Instant now, base::Revision before, ConfigActions& out);
  void Refuse(base::Instant now, const std::vector<std::string>& hashes);
  void Fetch(base::Instant now, const std::string& from, ConfigActions& out);
  void TellAnnounce(base::Instant now, ConfigActions& out);
  AnnounceHead MakeAnnounce(base::Instant now) const;
  std::string FarVm(std::size_t turn) const;
  std::vector<std::string> StartPeers() const;
  bool StartedWhole(base::Instant now) const;

  ConfigOptions options;
  base::VmId self;
  ConfigTree tree;
  ConfigLog replica;
  PendingWithdrawalSet refused;
  ConfigReader reader;
  ConfigAppender appender;
  ConfigPusher pusher;
  WithdrawalRounds withdrawals;
  StatusRounds statuses;

  std::map<std::uint64_t, StoreCall> calls;
  std::uint64_t next_token = 1;
  /// The log lacks rows that the snapshot holds.
  bool needs_snapshot = true;
  base::Revision snapshot_revision = 0;
  bool compacting = false;

  bool serving = false;
  bool caught_up = false;
  bool publish = false;
  std::optional<base::Instant> started_at;
  base::Instant start_resend_at{};
  std::set<std::string> heard_withdrawals;
  std::set<std::string> heard_heads;

  base::Instant announce_at{};
  base::Instant announced_as_of{};
  base::Instant announce_far_at{};
  /// Counts the questions to others while nothing comes from above.
  std::size_t turns = 0;
  std::optional<base::Instant> outside_at;
  std::map<std::string, base::Instant> fetched_at;
  /// Operation ids of the node's own proposals, and the rounds they end.
  std::set<std::string> own_operations;
  /// Operation id of the withdrawals taken up; empty if there are none.
  std::string take_up;
  std::uint64_t take_ups = 0;
  base::Instant wake{};
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_CONFIG_NODE_H_
