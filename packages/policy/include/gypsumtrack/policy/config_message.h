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

/// Messages between configuration nodes, their requests to the table, and the
/// actions that they return to their daemon.
namespace gypsumtrack::policy {

/// The number of VMs that have each revision in force.
using RevisionCounts = std::map<base::Revision, std::uint32_t>;

/// The sender's head and how recently it was confirmed. Sent down the tree of a
/// domain and between the roots of domains.
struct AnnounceHead {
  base::Revision revision = 0;
  /// Time since the table was last known to hold no newer revision; none if
  /// that was never known.
  std::optional<base::Duration> confirmation_age;
  /// Time since the domain last received a message from the platform or from
  /// another domain; none if it never did.
  std::optional<base::Duration> outside_contact_age;
  /// PendingWithdrawalSet::digest() of the sender.
  std::uint64_t withdrawals_digest = 0;

  bool operator==(const AnnounceHead&) const = default;
};

/// Consecutive changes in log order.
struct PushChanges {
  std::vector<Change> changes;
  /// The sender's head, which may be above the last change sent.
  base::Revision head = 0;

  bool operator==(const PushChanges&) const = default;
};

/// Requests the changes that follow `after`. The response is PushChanges or
/// PushState.
struct FetchChanges {
  base::Revision after = 0;

  bool operator==(const FetchChanges&) const = default;
};

/// The full state, for a replica that is behind the retained changes.
struct PushState {
  ConfigState state;

  bool operator==(const PushState&) const = default;
};

/// The revisions in force in the sender's subtree. Acknowledges PushChanges.
struct ReportRevisions {
  /// The sender's head.
  base::Revision revision = 0;
  RevisionCounts counts;

  bool operator==(const ReportRevisions&) const = default;
};

/// Requests the receiver to refuse keys.
struct WithdrawKeys {
  /// Name of the withdrawal, unique per operator request.
  std::string round;
  std::vector<std::string> hashes;
  /// Whether the receiver must forward the request to all VMs of its domain.
  bool fan_out = false;

  bool operator==(const WithdrawKeys&) const = default;
};

/// Response to WithdrawKeys: of the `vms` live VMs of a domain, `in_force`
/// refuse the round's keys.
struct WithdrawAck {
  std::string round;
  std::uint32_t in_force = 0;
  std::uint32_t vms = 0;

  bool operator==(const WithdrawAck&) const = default;
};

/// The sender's pending withdrawals, which the receiver adds to its own.
struct PendingWithdrawals {
  std::vector<std::string> hashes;
  /// Whether the receiver must respond with its own.
  bool reply = false;

  bool operator==(const PendingWithdrawals&) const = default;
};

/// Queries a domain's root for the revisions in force in the domain.
struct QueryStatus {
  std::string round;

  bool operator==(const QueryStatus&) const = default;
};

/// Response to QueryStatus.
struct ReportStatus {
  std::string round;
  RevisionCounts counts;
  /// Number of live VMs of the domain, according to its root.
  std::uint32_t vms = 0;

  bool operator==(const ReportStatus&) const = default;
};

/// Any message between configuration nodes. The codec relies on the order.
using ConfigMessage =
    std::variant<AnnounceHead, PushChanges, FetchChanges, PushState,
                 ReportRevisions, WithdrawKeys, WithdrawAck, PendingWithdrawals,
                 QueryStatus, ReportStatus>;

/// The response to ReadLog.
struct LogPage {
  /// Oldest first.
  std::vector<Change> changes;
  /// Whether the log holds further changes after these.
  bool has_more = false;
};

// Requests to the table and the object store.

/// Reads the changes after a revision.
struct ReadLog {
  base::Revision after = 0;
};
/// Reads the last snapshot of the state that was stored beside the log.
struct ReadSnapshot {};
/// Appends the change if the log's head is the preceding revision.
struct CommitChange {
  Change change;
};
/// Stores a snapshot of the state, then drops the log's rows up to and
/// including revision `drop_up_to`.
struct WriteSnapshot {
  ConfigState state;
  base::Revision drop_up_to = 0;
};
/// Any request to the table or the object store.
using StoreRequest =
    std::variant<ReadLog, ReadSnapshot, CommitChange, WriteSnapshot>;

/// The reply to ReadLog, to ReadSnapshot, or to CommitChange and WriteSnapshot.
/// Errors: those of base::Table.
using StoreReply =
    std::variant<base::Outcome<LogPage>,
                 base::Outcome<std::optional<ConfigState>>, base::Status>;

// Actions.

/// Sends a message to another VM.
struct SendMessage {
  std::string vm;
  ConfigMessage message;
};
/// Sends a request to the store. The reply, or an error once the deadline has
/// passed, goes to ConfigNode::OnStoreReply with the same token.
struct CallStore {
  std::uint64_t token = 0;
  StoreRequest request;
  base::Instant deadline{};
};
/// Publishes a new AccessSnapshot: the state in force or the pending
/// withdrawals have changed.
struct PublishAccess {};

/// The revisions in force in one domain.
struct DomainStatus {
  base::FailureDomain domain;
  /// Number of live VMs according to the domain's root, or according to this VM
  /// if the domain didn't respond.
  std::uint32_t vms = 0;
  RevisionCounts counts;
  /// Whether the domain responded.
  bool reachable = false;
};
/// Response to ConfigNode::QueryFleetStatus.
struct StatusResponse {
  std::string round;
  std::vector<DomainStatus> domains;
};
/// The progress of a withdrawal in one domain: `in_force` of its `vms` live VMs
/// refuse the keys.
struct DomainWithdrawal {
  base::FailureDomain domain;
  std::uint32_t in_force = 0;
  std::uint32_t vms = 0;
  /// Whether the domain responded.
  bool reachable = false;
};
/// Response to ConfigNode::Withdraw. VMs that don't refuse the keys yet do so
/// once they can be reached.
struct WithdrawResponse {
  std::string round;
  std::vector<DomainWithdrawal> domains;
  /// Whether the log holds the withdrawal.
  bool durable = false;
};

/// What a configuration node requests of its daemon.
using ConfigAction =
    std::variant<SendMessage, CallStore, PublishAccess, AppendResponse,
                 StatusResponse, WithdrawResponse>;
/// Actions in the order in which to perform them.
using ConfigActions = std::vector<ConfigAction>;

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_CONFIG_MESSAGE_H_
