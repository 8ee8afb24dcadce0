#ifndef GYPSUMTRACK_POLICY_LIMIT_NODE_H_
#define GYPSUMTRACK_POLICY_LIMIT_NODE_H_

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "gypsumtrack/policy/limit_home.h"
#include "gypsumtrack/policy/limit_slices.h"

/// All that one daemon decides about rates and bursts that hold over the fleet.
namespace gypsumtrack::policy {

/// What an operator sees of a limit on one VM.
struct LimitReport {
  struct Holder {
    base::VmId vm;
    LoanRole role = LoanRole::kServe;
    Quota held;
    /// Since its last report.
    base::Duration age{};
  };

  LimitKey key;
  Quota limit;
  /// The row as last read, and how long ago.
  std::optional<ShareRow> row;
  base::Duration row_age{};
  bool is_home = false;
  bool usable = false;
  /// Below only at the home.
  std::int64_t tokens_left = 0;
  Quota borrowed;
  std::vector<Holder> holders;
  /// Tokens of this VM's own slices.
  std::uint32_t slice_tokens = 0;
};

/// Not thread-safe; `Slice` hands out objects that are.
class LimitNode {
 public:
  LimitNode(const LimitSettings& settings, LimitPeer self,
            const base::Place& place);
  LimitNode(const LimitNode&) = delete;
  LimitNode& operator=(const LimitNode&) = delete;

  // Commands. Precondition of all: `now` doesn't fall.

  /// Due at `NextWake`, or earlier.
  LimitActions Tick(base::Instant now);
  LimitActions OnMessage(const LimitPeer& from, const LimitMessage& message,
                         base::Instant now);
  LimitActions OnCommitReply(std::uint64_t id, const base::Status& status,
                             base::Instant now);
  LimitActions OnScanReply(std::uint64_t id,
                           const base::Outcome<base::ScanReply>& reply,
                           base::Instant now);
  LimitActions OnFleetView(const FleetView& view, base::Instant now);
  /// All limits in force at a revision.
  LimitActions OnRules(base::Revision revision,
                       std::map<LimitKey, Limit> limits, base::Instant now);
  /// kWaiting is followed by a LimitResult with `request_id`.
  LimitDecision Admit(const LimitKey& key, base::Instant now,
                      base::Instant deadline, std::uint64_t request_id,
                      LimitActions& actions);
  /// Requests that threads admitted from `Slice(key)` since the last call.
  void CountAdmitted(const LimitKey& key, std::uint32_t requests);
  /// Gives the lease up before the process ends; nothing is lent after it.
  LimitActions ReleaseLease(base::Instant now);

  // Queries.

  base::Instant NextWake(base::Instant now) const;
  /// The tokens that threads may take by themselves; null if there are none
  /// yet. Changes when the limit's home does.
  std::shared_ptr<TokenSlice> Slice(const LimitKey& key) const;
  /// All that `Slice` would give now.
  std::map<LimitKey, std::shared_ptr<TokenSlice>> Slices() const;
  /// When a refused caller of the key may come back.
  base::Instant RetryAt(const LimitKey& key, base::Instant now) const;
  std::optional<LimitReport> Report(const LimitKey& key,
                                    base::Instant now) const;
  std::vector<LimitKey> Keys() const;
  bool LeaseValid(base::Instant now) const { return this->lease.Valid(now); }

 private:
  struct Hint {
    LimitPeer home;
    base::Instant until;
  };

  void Handle(const LimitPeer& from, const LimitMessage& message,
              base::Instant now, LimitActions& actions);
  /// Messages to this VM itself are handled at once.
  LimitActions Deliver(LimitActions actions, base::Instant now);
  LimitHome* Home(const LimitKey& key, base::Instant now,
                  LimitActions& actions);
  LimitLenders Lenders(const LimitKey& key, base::Instant now) const;
  bool IsOwn(const LimitPeer& peer) const;
  bool Isolated() const;
  void ClaimOwnHomes(base::Instant now, LimitActions& actions);

  LimitSettings settings;
  LimitTable table;
  TenureLease lease;
  HomeContext context;
  bool platform_reachable = false;
  base::Revision revision = 0;
  std::map<LimitKey, Limit> limits;
  std::map<LimitKey, std::unique_ptr<LimitHome>> homes;
  std::map<LimitKey, LimitSlices> slices;
  std::map<LimitKey, Hint> hints;
  /// Keys whose home this VM should become; looked at a few at a time.
  std::vector<LimitKey> to_claim;
  base::Instant claimed_at{};
  base::Instant viewed_at{};
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_LIMIT_NODE_H_
