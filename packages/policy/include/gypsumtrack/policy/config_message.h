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
struct AnnounceHead {
  base::Revision revision = 0;
  /// How long ago the table was known to hold no newer revision; none if this
  /// was never known.
  std::optional<base::Duration> confirmation_age;
  /// How long ago the domain last heard the platform or another domain.
  std::optional<base::Duration> outside_contact_age;
  /// Digest of the pending withdrawals.
  std::uint64_t withdrawals_digest = 0;

  bool operator==(const AnnounceHead&) const = default;
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
struct ReportRevisions {
  base::Revision revision = 0;
  RevisionCounts counts;

  bool operator==(const ReportRevisions&) const = default;
};

/// Refuse these keys. `fan_out` asks the receiver to pass it to its domain.
struct WithdrawKeys {
  std::string round;
  std::vector<std::string> hashes;
  bool fan_out = false;

  bool operator==(const WithdrawKeys&) const = default;
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
struct QueryStatus {
  std::string round;

  bool operator==(const QueryStatus&) const = default;
};

struct ReportStatus {
  std::string round;
  RevisionCounts counts;
  /// Live VMs of the domain, as its root sees it.
  std::uint32_t vms = 0;

  bool operator==(const ReportStatus&) const = default;
};

using ConfigMessage =
    std::variant<AnnounceHead, PushChanges, FetchChanges, PushState,
                 ReportRevisions, WithdrawKeys, WithdrawAck, PendingWithdrawals,
                 QueryStatus, ReportStatus>;

/// What a read of the log found, oldest first.
struct LogPage {
  std::vector<Change> changes;
  /// There are more changes after these.
  bool has_more = false;
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
/// Keep a whole state and drop the log's rows up to `drop_up_to`.
struct WriteSnapshot {
  ConfigState state;
  base::Revision drop_up_to = 0;
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
struct PublishAccess {};

/// A domain's part in the answer to QueryStatus.
struct DomainStatus {
  base::FailureDomain domain;
  /// Live VMs, as seen from there, or from here if nothing there answered.
  std::uint32_t vms = 0;
  RevisionCounts counts;
  bool reachable = false;
};
struct StatusResponse {
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
struct WithdrawResponse {
  std::string round;
  std::vector<DomainWithdrawal> domains;
  /// The log holds the withdrawal.
  bool durable = false;
};

using ConfigAction =
    std::variant<SendMessage, CallStore, PublishAccess, AppendResponse,
                 StatusResponse, WithdrawResponse>;
using ConfigActions = std::vector<ConfigAction>;

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_CONFIG_MESSAGE_H_
