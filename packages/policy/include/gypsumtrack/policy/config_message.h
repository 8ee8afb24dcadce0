#ifndef GYPSUMTRACK_POLICY_CONFIG_MESSAGE_H_
#define GYPSUMTRACK_POLICY_CONFIG_MESSAGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/config_append.h"
#include "gypsumtrack/policy/config_log.h"

/// What configuration nodes say to each other, to the table and to their
/// daemon.
namespace gypsumtrack::policy {

/// How many VMs have a revision in force.
using RevisionCounts = std::map<base::Revision, std::uint32_t>;

/// "This is my head": sent down the tree of a domain and between its roots.
struct Announce {
  base::Revision revision = 0;
  /// How long ago the table was known to hold no newer revision; none if this
  /// was never known.
  std::optional<base::Duration> age;
  /// How long ago the domain last heard the platform or another domain.
  std::optional<base::Duration> outside;
  /// Digest of the pending withdrawals.
  std::uint64_t withdrawals = 0;

  bool operator==(const Announce&) const = default;
};

/// Changes in the order of the log.
struct PushChanges {
  std::vector<Change> changes;
  /// The sender's head, which may be above the last change here.
  base::Revision head = 0;

  bool operator==(const PushChanges&) const = default;
};

/// Asks for what follows `after`; answered with PushChanges or PushState.
struct FetchChanges {
  base::Revision after = 0;

  bool operator==(const FetchChanges&) const = default;
};

/// A whole state, for a replica that is too far behind for changes.
struct PushState {
  ConfigState state;

  bool operator==(const PushState&) const = default;
};

/// Revisions in force in the sender's subtree: acknowledges PushChanges.
struct Report {
  base::Revision revision = 0;
  RevisionCounts counts;

  bool operator==(const Report&) const = default;
};

/// Refuse these keys. `fan_out` asks the receiver to pass it to its domain.
struct Withdraw {
  std::string round;
  std::vector<std::string> hashes;
  bool fan_out = false;

  bool operator==(const Withdraw&) const = default;
};

/// `in_force` of the `vms` live ones of a domain refuse the round's keys.
struct WithdrawAck {
  std::string round;
  std::uint32_t in_force = 0;
  std::uint32_t vms = 0;

  bool operator==(const WithdrawAck&) const = default;
};

/// The sender's pending withdrawals, to merge.
struct PendingWithdrawals {
  std::vector<std::string> hashes;
  /// The receiver should answer with its own.
  bool reply = false;

  bool operator==(const PendingWithdrawals&) const = default;
};

/// Asks a domain's root for the revisions in force there.
struct AskStatus {
  std::string round;

  bool operator==(const AskStatus&) const = default;
};

struct TellStatus {
  std::string round;
  RevisionCounts counts;
  /// Live VMs of the domain, as its root sees it.
  std::uint32_t vms = 0;

  bool operator==(const TellStatus&) const = default;
};

using ConfigMessage = std::variant<Announce, PushChanges, FetchChanges,
                                   PushState, Report, Withdraw, WithdrawAck,
                                   PendingWithdrawals, AskStatus, TellStatus>;

/// What a read of the log found, oldest first.
struct LogPage {
  std::vector<Change> changes;
  /// There are more changes after these.
  bool more = false;
};

// Requests to the table and the object store.

/// Read the changes after a revision.
struct ReadLog {
  base::Revision after = 0;
};
/// Read the last whole state kept beside the log.
struct ReadSnapshot {};
/// Append if the head is the revision below the change's.
struct CommitChange {
  Change change;
};
/// Keep a whole state and drop the log's rows up to `drop_to`.
struct WriteSnapshot {
  ConfigState state;
  base::Revision drop_to = 0;
};
using StoreRequest =
    std::variant<ReadLog, ReadSnapshot, CommitChange, WriteSnapshot>;

/// Errors: those of base::Table.
using StoreReply =
    std::variant<base::Outcome<LogPage>,
                 base::Outcome<std::optional<ConfigState>>, base::Status>;

// Actions.

struct SendMessage {
  std::string vm;
  ConfigMessage message;
};
/// Answered by ConfigNode::OnStoreReply with the same token, by the deadline.
struct CallStore {
  std::uint64_t token = 0;
  StoreRequest request;
  base::Instant deadline{};
};
/// The state in force or the pending withdrawals have changed.
struct Publish {};

/// A domain's part in the answer to AskStatus.
struct DomainStatus {
  base::FailureDomain domain;
  /// Live VMs, as seen from there, or from here if nothing there answered.
  std::uint32_t vms = 0;
  RevisionCounts counts;
  bool reachable = false;
};
struct StatusAnswer {
  std::string round;
  std::vector<DomainStatus> domains;
};
struct DomainWithdrawal {
  base::FailureDomain domain;
  std::uint32_t in_force = 0;
  std::uint32_t vms = 0;
  bool reachable = false;
};
/// Domains not in force everywhere learn of it when they can be reached.
struct WithdrawAnswer {
  std::string round;
  std::vector<DomainWithdrawal> domains;
  /// The log holds the withdrawal.
  bool durable = false;
};

using ConfigAction = std::variant<SendMessage, CallStore, Publish, AppendAnswer,
                                  StatusAnswer, WithdrawAnswer>;
using ConfigActions = std::vector<ConfigAction>;

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_CONFIG_MESSAGE_H_
