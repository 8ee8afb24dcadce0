#ifndef GYPSUMTRACK_POLICY_BATCH_CHUNK_H_
#define GYPSUMTRACK_POLICY_BATCH_CHUNK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/policy/batch_action.h"
#include "gypsumtrack/policy/batch_state.h"

/// Tracks the items of one chunk: which item runs next and how each one ends.
namespace gypsumtrack::policy {

/// Final state of an item.
enum class ItemState {
  kCompleted,
  kFailed,   ///< the item can't be done; ItemResult::reason says why
  kUnknown,  ///< non-idempotent item that was sent and got no response
};

/// Names of item states.
inline constexpr auto kItemStateNames = base::MakeEnumTable<ItemState>({
    {ItemState::kCompleted, "completed"},
    {ItemState::kFailed, "failed"},
    {ItemState::kUnknown, "unknown"},
});

/// Final result of an item.
struct ItemResult {
  ItemState state = ItemState::kCompleted;
  /// Response body if completed, otherwise empty.
  std::string body;
  /// Human-readable cause if not completed, otherwise empty.
  std::string reason;

  bool operator==(const ItemResult&) const = default;
};

/// Results by the item's position in its chunk.
using ItemResults = std::map<std::uint32_t, ItemResult>;

/// Encodes results as the content of a result object. Thread-safe.
std::string EncodeResults(const ItemResults& results);
/// Decodes the content of a result object. Thread-safe. Errors: kInvalid.
base::Outcome<ItemResults> DecodeResults(std::string_view bytes);

/// Limits for poison items, which fail on every endpoint. They distinguish a
/// poison item from a broken endpoint.
struct PoisonOptions {
  /// After this many failures an item runs exclusively on its endpoint.
  std::uint32_t failures_before_exclusive = 2;
  /// An item ends as failed after this many failures while it ran exclusively
  /// on an endpoint known to be healthy.
  std::uint32_t max_exclusive_failures = 3;
  /// An item ends as failed after this many rejections by endpoints known to be
  /// healthy.
  std::uint32_t max_rejections = 2;
  /// An item is left to other VMs after this many exclusive failures or
  /// rejections on endpoints not known to be healthy, when the chunk has no
  /// completed item to probe them with.
  std::uint32_t max_unverified_failures = 4;
  /// Items that wait for a healthy endpoint are left to other VMs after this
  /// many probes have failed while no endpoint was known to be healthy.
  std::uint32_t max_failed_probes = 4;
  /// Once this many VMs have returned the chunk, an item that reaches
  /// `max_unverified_failures` ends as failed.
  std::uint32_t max_returns = 4;
};

/// An item to start, as chosen by ChunkRun::NextItem.
struct ItemStart {
  /// Position of the item in its chunk.
  std::uint32_t item = 0;
  /// No other batch item may run on the endpoint at the same time.
  bool exclusive = false;
};

/// Progress of the items of a chunk that this VM holds. Not thread-safe.
class ChunkRun {
 public:
  /// `lines` are the items' request bodies. `known` holds the results that the
  /// row's partial result object recorded. For a non-idempotent job, items
  /// below `row.send_limit` in run order that have no known result end as
  /// unknown, as an earlier holder may have sent them.
  ChunkRun(std::vector<std::string> lines, bool idempotent,
           PoisonOptions options, const ChunkRow& row,
           const ItemResults& known);

  // Queries.

  /// Returns the next item that may be sent to the endpoint, if any.
  /// `known_healthy` says whether the endpoint has completed a request since
  /// its last failure.
  std::optional<ItemStart> NextItem(const base::EndpointId& endpoint,
                                    bool known_healthy) const;
  /// Returns whether every item has a result.
  bool Finished() const;
  /// Returns the number of items that run now.
  std::uint32_t running() const { return this->in_flight; }  // NOLINT
  /// Returns the number of items that may start now on some endpoint.
  std::uint32_t Startable() const;
  /// Returns whether items remain and all of them are left to other VMs. False
  /// while an item runs.
  bool AllRemainingDeferred() const;
  /// Returns a completed item that can be run again, with its result discarded,
  /// to find out whether an endpoint is healthy. Empty if no waiting item
  /// depends on that, or the job isn't idempotent.
  std::optional<std::uint32_t> ProbeItem() const;
  /// Returns the item's request body. Precondition: `item` is in the chunk.
  const std::string& line(std::uint32_t item) const;  // NOLINT
  /// Returns what the item's stopped runs have streamed. Precondition: `item`
  /// is in the chunk.
  const std::string& streamed(std::uint32_t item) const;  // NOLINT
  /// Returns the results so far.
  const ItemResults& results() const { return this->recorded; }  // NOLINT
  /// Returns the counts of results by state; the row's other fields aren't set.
  ResultRow Counts() const;
  /// Returns the size of all bodies and reasons in `results`, in bytes.
  std::uint64_t ResultBytes() const { return this->result_bytes; }
  /// Returns how many items, in run order, may be sent.
  std::uint32_t send_limit() const { return this->sendable_count; }  // NOLINT
  /// Returns whether a non-idempotent job needs a new intent: all items covered
  /// by an intent have ended and others remain.
  bool NeedsIntent() const;

  // Commands.

  /// Lets `count` more items be sent. Precondition for a non-idempotent job: an
  /// intent that covers them is durable.
  void RaiseSendLimit(std::uint32_t count);
  /// Marks the item as running. Precondition: `start` came from NextItem.
  void Start(const ItemStart& start);
  /// Records how a run of the item ended. `known_healthy` is the endpoint's
  /// state before the run started. Precondition: the item was running on the
  /// endpoint.
  void End(std::uint32_t item, const base::EndpointId& endpoint, bool exclusive,
           bool known_healthy, RunResult run);
  /// Records how a run of an item from ProbeItem ended. `any_healthy` says
  /// whether an endpoint that serves the job is known to be healthy now.
  void EndProbe(ItemOutcome outcome, bool any_healthy);

 private:
  enum class Phase { kWaiting, kRunning, kEnded };
  struct Item {
    Phase phase = Phase::kWaiting;
    /// Failures of runs that weren't exclusive.
    std::uint32_t failures = 0;
    /// Exclusive failures on endpoints known to be healthy.
    std::uint32_t exclusive_failures = 0;
    /// Rejections by endpoints known to be healthy.
    std::uint32_t rejections = 0;
    /// Exclusive failures and rejections on endpoints not known to be healthy.
    std::uint32_t unverified_failures = 0;
    /// Left to other VMs.
    bool deferred = false;
    /// Avoided as long as another endpoint may take the item.
    base::EndpointId last_failed;
    std::string streamed;
    std::string reason;
  };

  bool NeedsExclusive(const Item& item) const;
  /// Returns whether the item's next failure counts against it only on an
  /// endpoint known to be healthy.
  bool NeedsHealthyEndpoint(const Item& item) const;
  void CountUnverifiedFailure(std::uint32_t number);
  void RecordResult(std::uint32_t number, ItemResult result);
  void HandleIncompleteRun(std::uint32_t number,
                           const base::EndpointId& endpoint, bool exclusive,
                           bool known_healthy, RunResult run);

  std::vector<std::string> lines;
  bool idempotent;
  PoisonOptions options;
  /// Item numbers in the order in which they run. Items with a common prefix
  /// are adjacent.
  std::vector<std::uint32_t> run_order;
  std::vector<Item> items;
  /// Items at the front of `run_order` that may be sent.
  std::uint32_t sendable_count = 0;
  std::uint32_t in_flight = 0;
  /// How many holders returned the chunk before this one.
  std::uint32_t return_count = 0;
  /// Failed probes since an endpoint was last known to be healthy.
  std::uint32_t failed_probes = 0;
  std::uint64_t result_bytes = 0;
  ItemResults recorded;
};

/// Splits the content of an input object into its lines. Thread-safe.
std::vector<std::string> SplitLines(std::string_view bytes);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_BATCH_CHUNK_H_
