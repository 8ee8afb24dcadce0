#ifndef GYPSUMTRACK_POLICY_SRC_CONFIG_NODE_HANDLER_H_
#define GYPSUMTRACK_POLICY_SRC_CONFIG_NODE_HANDLER_H_

#include <string>

#include "gypsumtrack/policy/config_node.h"

namespace gypsumtrack::policy {

/// Handles one message: the node's visitor of ConfigMessage. Not thread-safe.
struct ConfigNode::Handler {
  ConfigNode& node;
  base::Instant now;
  const std::string& from;
  ConfigActions& out;

  void operator()(const AnnounceHead& announce) const;
  void operator()(const PushChanges& push) const;
  void operator()(const FetchChanges& fetch) const;
  void operator()(const PushState& push) const;
  void operator()(const ReportRevisions& report) const;
  void operator()(const policy::WithdrawKeys& message) const;
  void operator()(const WithdrawAck& ack) const;
  void operator()(const PendingWithdrawals& message) const;
  void operator()(const QueryStatus& query) const;
  void operator()(const ReportStatus& report) const;

 private:
  /// Sends a message to the sender of the handled one.
  void Send(ConfigMessage message) const;
  /// Adopts the sender's times of contact and of the head's confirmation where
  /// they are later than this node's.
  void RecordConfirmation(const AnnounceHead& announce) const;
  /// Whether the sender lacks changes, or a recent confirmation, that this node
  /// has.
  bool IsSenderBehind(const AnnounceHead& announce) const;
  /// Requests the changes up to the sender's `head` if the replica lacks them;
  /// otherwise records that the sender's head was received.
  void FetchUpTo(base::Revision head) const;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SRC_CONFIG_NODE_HANDLER_H_
