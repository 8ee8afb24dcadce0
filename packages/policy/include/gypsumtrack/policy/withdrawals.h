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

/// Withdrawals of keys: how they reach every VM without the table.
namespace gypsumtrack::policy {

/// Hashes withdrawn and not yet in the log. It only grows, but for those that
/// the replica's own log has taken over. Not thread-safe.
class PendingWithdrawalSet {
 public:
  // Commands.

  /// Returns whether a hash was new; those that the log holds are left out.
  bool Add(base::Instant now, const std::vector<std::string>& hashes,
           const ConfigState& state);
  /// Drops the hashes that the log holds. Returns whether there were any.
  bool Settle(const ConfigState& state);

  // Queries.

  bool empty() const { return this->added.empty(); }       // NOLINT
  std::size_t size() const { return this->added.size(); }  // NOLINT
  std::set<std::string> Hashes() const;
  std::vector<std::string> AddedBefore(base::Instant time) const;
  /// When the oldest one was added; kNever if there is none.
  base::Instant Oldest() const;
  /// Equal sets have equal digests.
  std::uint64_t digest() const { return this->sum; }  // NOLINT

 private:
  std::map<std::string, base::Instant> added;
  std::uint64_t sum = 0;
};

struct WithdrawalTiming {
  /// When an unanswered message is sent again.
  base::Duration resend = std::chrono::milliseconds(250);
  /// How long an operator waits for all domains and the table.
  base::Duration answer = std::chrono::milliseconds(2000);
  /// How long a domain's first VM repeats a round to its domain.
  base::Duration fan_out = std::chrono::milliseconds(4000);
};

/// Rounds of withdrawal: the VM that takes one sends it to one VM of each
/// domain, and that VM to all of its domain. Not thread-safe.
class WithdrawalRounds {
 public:
  explicit WithdrawalRounds(WithdrawalTiming timing) : timing(timing) {}

  // Commands. Each returns what to send and to answer.

  /// An operator withdraws keys at this VM. Precondition: a new round name.
  ConfigActions Start(base::Instant now, const ConfigTree& tree,
                      const std::string& round,
                      std::vector<std::string> hashes);
  ConfigActions OnWithdraw(base::Instant now, const ConfigTree& tree,
                           const std::string& from,
                           const WithdrawKeys& message);
  ConfigActions OnAck(base::Instant now, const std::string& from,
                      const WithdrawAck& ack);
  /// The log holds the round's withdrawal.
  ConfigActions OnDurable(const std::string& round);
  ConfigActions OnTimer(base::Instant now);

  // Queries.

  base::Instant next_wake() const;  // NOLINT

 private:
  /// At the VM that an operator asked.
  struct Origin {
    struct Domain {
      /// VMs to try, in order; the next one each time.
      std::vector<std::string> leads;
      std::size_t tries = 0;
      DomainWithdrawal status;
    };
    std::vector<std::string> hashes;
    std::vector<Domain> domains;
    bool durable = false;
    base::Instant resend_at{};
    base::Instant answer_at{};
  };
  /// At a VM that sends it to its domain.
  struct Lead {
    std::string origin;
    std::vector<std::string> hashes;
    std::set<std::string> waiting;
    std::uint32_t vms = 0;
    base::Instant resend_at{};
    base::Instant ends_at{};
  };

  void Send(const std::string& round, Origin& origin, ConfigActions& out);
  void StartLead(base::Instant now, const ConfigTree& tree,
                 const std::string& from, const WithdrawKeys& message,
                 ConfigActions& out);
  void TellOrigin(const std::string& round, const Lead& lead,
                  ConfigActions& out);
  void AnswerIfWhole(const std::string& round, ConfigActions& out);
  void Record(const std::string& vm, const WithdrawAck& ack);

  WithdrawalTiming timing;
  std::map<std::string, Origin> origins;
  std::map<std::string, Lead> leads;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_WITHDRAWALS_H_
