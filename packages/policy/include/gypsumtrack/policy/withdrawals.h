#ifndef GYPSUMTRACK_POLICY_WITHDRAWALS_H_
#define GYPSUMTRACK_POLICY_WITHDRAWALS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/config_log.h"
#include "gypsumtrack/policy/config_message.h"
#include "gypsumtrack/policy/config_tree.h"

/// Distributes withdrawals of keys to every VM, independently of the table.
namespace gypsumtrack::policy {

/// Hashes of withdrawn keys whose withdrawal isn't in the log yet. A hash is
/// only removed once this VM's replica of the log holds it, so that no VM
/// accepts a withdrawn key again. Not thread-safe.
class PendingWithdrawalSet {
 public:
  // Commands.

  /// Adds the hashes that neither the set nor the log holds. Returns whether
  /// there were any.
  bool Add(base::Instant now, const std::vector<std::string>& hashes,
           const ConfigState& state);
  /// Removes the hashes that the log holds. Returns whether there were any.
  bool RemoveLogged(const ConfigState& state);

  // Queries.

  /// Whether there are no pending withdrawals.
  bool empty() const { return this->added_at.empty(); }  // NOLINT
  /// Number of hashes.
  std::size_t size() const { return this->added_at.size(); }  // NOLINT
  /// All hashes.
  std::set<std::string> Hashes() const;
  /// The hashes added at `time` or earlier.
  std::vector<std::string> AddedBefore(base::Instant time) const;
  /// When the oldest hash was added; kNever if the set is empty.
  base::Instant OldestAddedAt() const;
  /// A digest of the hashes; equal sets have equal digests.
  std::uint64_t digest() const { return this->hash_xor; }  // NOLINT

 private:
  std::map<std::string, base::Instant> added_at;
  std::uint64_t hash_xor = 0;
};

/// Settings of WithdrawalRounds.
struct WithdrawalTiming {
  /// Time after which an unacknowledged message is sent again.
  base::Duration resend_interval = std::chrono::milliseconds(250);
  /// Time after which the operator gets a response even if domains or the table
  /// haven't responded.
  base::Duration response_timeout = std::chrono::milliseconds(2000);
  /// How long a relay resends a withdrawal to the VMs of its domain.
  base::Duration fan_out_duration = std::chrono::milliseconds(4000);
};

/// The withdrawals in progress on this VM. The coordinator, which is the VM
/// that receives the operator's request, sends the withdrawal to one relay in
/// each domain. The relay forwards it to all VMs of its domain and acknowledges
/// it to the coordinator. Not thread-safe.
class WithdrawalRounds {
 public:
  /// Starts without withdrawals.
  explicit WithdrawalRounds(WithdrawalTiming timing) : timing(timing) {}

  // Commands. Each returns the messages and responses to send.

  /// Starts a withdrawal with this VM as the coordinator. Precondition: a new
  /// round name.
  ConfigActions Start(base::Instant now, const ConfigTree& tree,
                      const std::string& round,
                      std::vector<std::string> hashes);
  /// Handles a withdrawal that another VM sent.
  ConfigActions OnWithdraw(base::Instant now, const ConfigTree& tree,
                           const std::string& from,
                           const WithdrawKeys& message);
  /// Handles the acknowledgement of a relay or of a VM of this domain.
  ConfigActions OnAck(base::Instant now, const std::string& from,
                      const WithdrawAck& ack);
  /// The round's withdrawal was committed to the log.
  ConfigActions OnDurable(const std::string& round);
  /// Sends the messages and responses that are due.
  ConfigActions OnTimer(base::Instant now);

  // Queries.

  /// When to call OnTimer next.
  base::Instant next_wake() const;  // NOLINT

 private:
  /// A round at its coordinator.
  struct CoordinatedRound {
    struct Domain {
      /// VMs to try as relays, one after the other. Empty for the coordinator's
      /// own domain.
      std::vector<std::string> relays;
      std::size_t attempts = 0;
      DomainWithdrawal status;
    };
    std::vector<std::string> hashes;
    std::vector<Domain> domains;
    bool durable = false;
    base::Instant resend_at{};
    base::Instant respond_at{};
  };
  /// A round at a relay.
  struct RelayedRound {
    std::string coordinator;
    std::vector<std::string> hashes;
    /// VMs that haven't acknowledged the withdrawal.
    std::set<std::string> awaiting;
    /// Number of live VMs of the domain, including the relay.
    std::uint32_t vms = 0;
    base::Instant resend_at{};
    base::Instant expires_at{};
  };

  void SendToRelays(const std::string& round, CoordinatedRound& coordinated,
                    ConfigActions& out);
  void StartRelay(base::Instant now, const ConfigTree& tree,
                  const std::string& from, const WithdrawKeys& message,
                  ConfigActions& out);
  void ReportToCoordinator(const std::string& round,
                           const RelayedRound& relayed, ConfigActions& out);
  void RespondIfComplete(const std::string& round, ConfigActions& out);
  void RecordAck(const std::string& vm, const WithdrawAck& ack);

  WithdrawalTiming timing;
  std::map<std::string, CoordinatedRound> coordinated_rounds;
  std::map<std::string, RelayedRound> relayed_rounds;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_WITHDRAWALS_H_
