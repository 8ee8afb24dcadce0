#ifndef GYPSUMTRACK_POLICY_SRC_CONFIG_NODE_HANDLER_H_
#define GYPSUMTRACK_POLICY_SRC_CONFIG_NODE_HANDLER_H_

#include <string>

#include "gypsumtrack/policy/config_node.h"

namespace gypsumtrack::policy {

/// What a node does with each kind of message. Lives for one message.
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
  void Send(ConfigMessage message) const;
  void RecordConfirmation(const AnnounceHead& announce) const;
  bool IsSenderBehind(const AnnounceHead& announce) const;
  void FetchUpTo(base::Revision head) const;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SRC_CONFIG_NODE_HANDLER_H_
