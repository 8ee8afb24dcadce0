#ifndef GYPSUMTRACK_POLICY_LIMIT_NODE_H_
#define GYPSUMTRACK_POLICY_LIMIT_NODE_H_

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "gypsumtrack/policy/limit_home.h"
#include "gypsumtrack/policy/limit_slices.h"

/// One daemon's part in rate limits that hold across the whole fleet.
namespace gypsumtrack::policy {

/// The state of a limit on one VM, for operators.
struct LimitReport {
  /// A borrower of this home.
  struct Holder {
    base::VmId vm;
    LoanRole role = LoanRole::kServe;
    Quota held;
    /// Time since the holder's last report.
    base::Duration age{};
  };

  LimitKey key;
  Quota limit;
  /// The share row as last read, if it was.
  std::optional<ShareRow> row;
  /// Time since the row was last written, or since its last read started.
  base::Duration row_age{};
  /// Whether this VM is the home.
  bool is_home = false;
  /// Whether it may lend now.
  bool usable = false;

  // Set only at the home.

  /// In micro-requests.
  std::int64_t tokens_left = 0;
  /// Quota borrowed from other domains.
  Quota borrowed;
  std::vector<Holder> holders;

  // Set on every VM.

  /// Whole tokens in this VM's own slices.
  std::uint32_t slice_tokens = 0;
};

/// All limits of one daemon: the homes that this VM holds, its token slices and
/// its lease. Commands return the actions that the daemon must carry out. Not
/// thread-safe, except for the objects that `Slice` returns.
class LimitNode {
 public:
  LimitNode(const LimitSettings& settings, LimitPeer self,
            const base::Location& location);
  LimitNode(const LimitNode&) = delete;
  LimitNode& operator=(const LimitNode&) = delete;

  // Commands. Precondition of all: `now` never decreases.

  /// Does periodic work. Due at `NextWake`; may be called earlier.
  LimitActions Tick(base::Instant now);
  /// Handles a message from another VM.
  LimitActions OnMessage(const LimitPeer& from, const LimitMessage& message,
                         base::Instant now);
  /// `id` is that of a LimitCommit.
  LimitActions OnCommitReply(std::uint64_t id, const base::Status& status,
                             base::Instant now);
  /// `id` is that of a LimitScan.
  LimitActions OnScanReply(std::uint64_t id,
                           const base::Outcome<base::ScanReply>& reply,
                           base::Instant now);
  /// Updates the live VMs.
  LimitActions OnFleetView(const FleetView& view, base::Instant now);
  /// Sets all limits in force at a revision. Ignores older revisions.
  LimitActions OnRules(base::Revision revision,
                       std::map<LimitKey, Limit> limits, base::Instant now);
  /// Decides about a request. kWaiting is followed by a LimitResult with
  /// `request_id`.
  LimitDecision Admit(const LimitKey& key, base::Instant now,
                      base::Instant deadline, std::uint64_t request_id,
                      LimitActions& actions);
  /// Counts requests that threads admitted from `Slice(key)` since the last
  /// call.
  void CountAdmitted(const LimitKey& key, std::uint32_t requests);
  /// Gives up the lease before the process ends. Nothing is lent afterwards.
  LimitActions ReleaseLease(base::Instant now);

  // Queries.

  /// When `Tick` is due next.
  base::Instant NextWake(base::Instant now) const;
  /// The tokens that threads may take without this object; null before the
  /// first request. A different object once the limit's home changes.
  std::shared_ptr<TokenSlice> Slice(const LimitKey& key) const;
  /// `Slice` of all keys that have one.
  std::map<LimitKey, std::shared_ptr<TokenSlice>> Slices() const;
  /// When a refused caller of the key may retry.
  base::Instant RetryAt(const LimitKey& key, base::Instant now) const;
  /// Returns none if the limit isn't in force.
  std::optional<LimitReport> Report(const LimitKey& key,
                                    base::Instant now) const;
  /// The keys of all limits in force.
  std::vector<LimitKey> Keys() const;
  /// Whether this VM may act as home of limits now.
  bool LeaseValid(base::Instant now) const { return this->lease.Valid(now); }

 private:
  struct CachedHome {
    LimitPeer home;
    base::Instant expires;
  };

  void HandleMessage(const LimitPeer& from, const LimitMessage& message,
                     base::Instant now, LimitActions& actions);
  /// Handles the messages to this VM itself; returns all other actions.
  LimitActions DeliverLocally(LimitActions actions, base::Instant now);
  /// Null if the limit isn't in force.
  LimitHome* GetOrCreateHome(const LimitKey& key, base::Instant now,
                             LimitActions& actions);
  LimitLenders Lenders(const LimitKey& key, base::Instant now) const;
  bool IsSelf(const LimitPeer& peer) const;
  bool Isolated() const;
  void ClaimNextHome(base::Instant now, LimitActions& actions);

  LimitSettings settings;
  LimitTable table;
  HomeLease lease;
  HomeContext context;
  bool platform_reachable = false;
  base::Revision revision = 0;
  std::map<LimitKey, Limit> limits;
  std::map<LimitKey, std::unique_ptr<LimitHome>> homes;
  std::map<LimitKey, LimitSlices> slices;
  /// Homes in the own domain as reported by HomeHint messages.
  std::map<LimitKey, CachedHome> home_hints;
  /// Keys that this VM hasn't yet checked for whether it should become home.
  /// One is checked at a time.
  std::vector<LimitKey> unchecked_keys;
  base::Instant last_claim_at{};
  /// When the first fleet view came.
  base::Instant first_view_at{};
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_LIMIT_NODE_H_
