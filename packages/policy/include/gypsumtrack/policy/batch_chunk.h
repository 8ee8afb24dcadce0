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

/// The items of one chunk: which to run next, and how each ends.
namespace gypsumtrack::policy {

/// How an item ended for good.
enum class ItemState {
  kCompleted,
  kFailed,   ///< the item can't be done; the reason says why
  kUnknown,  ///< non-idempotent: sent, and no answer came
};

inline constexpr auto kItemStateNames = base::MakeEnumTable<ItemState>({
    {ItemState::kCompleted, "completed"},
    {ItemState::kFailed, "failed"},
    {ItemState::kUnknown, "unknown"},
});

struct ItemResult {
  ItemState state = ItemState::kCompleted;
  std::string body;
  std::string reason;

  bool operator==(const ItemResult&) const = default;
};

/// Results by item number.
using ItemResults = std::map<std::uint32_t, ItemResult>;

/// The bytes of a result object. Thread-safe, as is DecodeResults.
std::string EncodeResults(const ItemResults& results);
/// Errors: kInvalid.
base::Outcome<ItemResults> DecodeResults(std::string_view bytes);

/// When failures are the item's own fault.
struct PoisonOptions {
  /// After this many failures an item runs alone on its endpoint.
  std::uint32_t failures_before_alone = 2;
  /// This many more, alone on an endpoint known to work, end it as failed.
  std::uint32_t failures_alone = 3;
  /// This many endpoints' refusals end it as failed.
  std::uint32_t rejections = 2;
  /// After as many failures alone, or refusals, on endpoints not known to work,
  /// with nothing at hand that could show whether one does, another VM tries.
  std::uint32_t unvouched = 4;
  /// After as many VMs the item ends as failed.
  std::uint32_t returns = 4;
};

struct ItemStart {
  std::uint32_t item = 0;
  /// No other batch item may run on the endpoint meanwhile.
  bool alone = false;
};

/// Tracks the items of a held chunk. Not thread-safe.
class ChunkRun {
 public:
  /// Items below `row.sent` in run order without a result in `known` are
  /// unknown: they may have run under an earlier holder.
  ChunkRun(std::vector<std::string> lines, bool idempotent,
           PoisonOptions options, const ChunkRow& row,
           const ItemResults& known);

  // Queries.

  /// The next item that may be sent to the endpoint, if any. `vouched` says
  /// whether the endpoint finished something since it last failed.
  std::optional<ItemStart> Next(const base::EndpointId& endpoint,
                                bool vouched) const;
  bool Finished() const;
  std::uint32_t running() const { return this->in_flight; }  // NOLINT
  /// Items that can start now, whatever the endpoint.
  std::uint32_t Startable() const;
  /// Whether all that remains is left to other VMs.
  bool Stuck() const;
  /// A finished item to run once more, its result dropped, so as to see whether
  /// an endpoint works; none if no waiting item needs to know that.
  std::optional<std::uint32_t> Control() const;
  const std::string& line(std::uint32_t item) const;         // NOLINT
  const std::string& streamed(std::uint32_t item) const;     // NOLINT
  const ItemResults& results() const { return this->done; }  // NOLINT
  ResultRow Counts() const;
  std::uint64_t ResultBytes() const { return this->result_bytes; }
  std::uint32_t sent() const { return this->allowed; }  // NOLINT
  /// Non-idempotent: whether all items with an intent have ended and others
  /// remain.
  bool WantsIntent() const;

  // Commands.

  /// Non-idempotent: an intent for `count` more items is durable.
  void AllowMore(std::uint32_t count);
  /// Precondition: `start` came from Next.
  void Start(const ItemStart& start);
  /// Precondition: the item runs on the endpoint, and `vouched` was true before
  /// it started.
  void End(std::uint32_t item, const base::EndpointId& endpoint, bool alone,
           bool vouched, RunResult run);

 private:
  enum class Phase { kWaiting, kRunning, kEnded };
  struct Item {
    Phase phase = Phase::kWaiting;
    std::uint32_t failures = 0;
    std::uint32_t failures_alone = 0;
    std::uint32_t rejections = 0;
    std::uint32_t unvouched = 0;
    bool stuck = false;
    /// Endpoints to avoid while others may take it.
    base::EndpointId last_failed;
    std::string streamed;
    std::string reason;
  };

  bool NeedsAlone(const Item& item) const;
  /// Whether the item's next failure counts only on an endpoint that works.
  bool NeedsProof(const Item& item) const;
  void BookUnvouched(std::uint32_t number);
  void Record(std::uint32_t number, ItemResult result);
  void EndUnfinished(std::uint32_t number, const base::EndpointId& endpoint,
                     bool alone, bool vouched, RunResult run);

  std::vector<std::string> lines;
  bool idempotent;
  PoisonOptions options;
  /// Item numbers in the order in which they run: common prefixes together.
  std::vector<std::uint32_t> order;
  std::vector<Item> items;
  /// Items of `order` that may be sent.
  std::uint32_t allowed = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t returns = 0;
  std::uint64_t result_bytes = 0;
  ItemResults done;
};

/// Splits the bytes of an input object into its lines.
std::vector<std::string> SplitLines(std::string_view bytes);

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_BATCH_CHUNK_H_
