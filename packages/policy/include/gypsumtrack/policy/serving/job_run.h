#ifndef GYPSUMTRACK_POLICY_SERVING_JOB_RUN_H_
#define GYPSUMTRACK_POLICY_SERVING_JOB_RUN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/serving/event_splitter.h"

/// A batch job in the hands of the daemon that owns it: which item runs next,
/// what has come of each, what is ready to be listed.
namespace gypsumtrack::policy {

struct JobItem {
  std::string id;
  /// Of the prompt and, at most, of the output.
  std::uint64_t tokens = 0;
};

enum class JobItemStatus {
  kDone,     ///< the whole output is there
  kGivenUp,  ///< it won't be tried again
};

inline constexpr auto kJobItemStatusNames = base::MakeEnumTable<JobItemStatus>({
    {JobItemStatus::kDone, "done"},
    {JobItemStatus::kGivenUp, "given-up"},
});

/// What is listed of an item, for good.
struct JobItemResult {
  std::string item;
  JobItemStatus status = JobItemStatus::kDone;
  /// Data of all events, joined by line feeds.
  std::string output;

  bool operator==(const JobItemResult&) const = default;
};

/// How a run of an item ended.
enum class ItemRunOutcome {
  kComplete,     ///< the whole output came
  kInterrupted,  ///< it broke off; it goes on from its last event
  kNotRun,       ///< no endpoint ran it
  kFailed,       ///< the endpoint ran it and failed
  kImpossible,   ///< no endpoint can ever run it
};

inline constexpr auto kItemRunOutcomeNames =
    base::MakeEnumTable<ItemRunOutcome>({
        {ItemRunOutcome::kComplete, "whole"},
        {ItemRunOutcome::kInterrupted, "interrupted"},
        {ItemRunOutcome::kNotRun, "not-run"},
        {ItemRunOutcome::kFailed, "failed"},
        {ItemRunOutcome::kImpossible, "impossible"},
    });

struct JobRunOptions {
  std::uint32_t max_failures = 3;
  /// Pauses before an item is tried again.
  base::Duration not_run_retry_delay = std::chrono::milliseconds(150);
  base::Duration failure_retry_delay = std::chrono::milliseconds(300);
};

/// What has come of an item that isn't whole yet.
struct PartialItem {
  std::string item;
  std::uint64_t last_event = 0;
  std::uint64_t events = 0;
  std::string text;

  bool operator==(const PartialItem&) const = default;
};

/// An item to be run now.
struct ItemRunStart {
  std::size_t index = 0;
  /// The last event already here; none for a run from the start.
  std::optional<std::uint64_t> after_event;
};

/// Not thread-safe; used on one thread.
class JobRun {
 public:
  /// `listed` are the ids of the items that stand in the list already, in its
  /// order.
  JobRun(std::vector<JobItem> items, const std::vector<std::string>& listed,
         JobRunOptions options);

  // Commands.

  /// The next item to run, which counts as running from then on.
  std::optional<ItemRunStart> StartNextItem(base::Instant now);
  /// An event of a running item. False if it doesn't follow the event before
  /// it, so that the run must be broken off.
  bool OnEvent(std::size_t index, const StreamEvent& event);
  /// Precondition: the item is running.
  void OnRunEnd(std::size_t index, ItemRunOutcome end, base::Instant now);
  /// Takes up what another owner had of items. Precondition: none has run here.
  void RestorePartialItems(const std::vector<PartialItem>& partials);
  /// Gives up all that isn't running or finished.
  void GiveUpWaitingItems();
  /// Results that the store has listed from the next position on.
  void OnResultsListed(std::size_t count);

  // Queries.

  /// Results to be listed next, in order, at most `limit`. The same ones again
  /// until OnResultsListed, so that a call repeated says the same.
  std::vector<JobItemResult> UnlistedResults(std::size_t limit) const;
  /// The position in the list of the first of them.
  std::size_t next_position() const { return this->listed; }  // NOLINT
  bool all_listed() const;                                    // NOLINT
  std::size_t waiting_count() const;                          // NOLINT
  std::size_t running_count() const;                          // NOLINT
  const JobItem& item(std::size_t index) const;               // NOLINT
  /// Events that are here of the item.
  std::uint64_t event_count(std::size_t index) const;  // NOLINT
  /// Most events that an item which waits has; the one that Start takes next.
  std::uint64_t max_waiting_events() const;  // NOLINT
  /// Items that aren't whole, those with most text first, of at most so many
  /// bytes in all.
  std::vector<PartialItem> PartialItems(std::size_t max_bytes) const;
  /// Tokens of the items that aren't listed.
  std::uint64_t UnlistedTokens() const;
  /// Tokens of the item of that id; 0 if there is none.
  std::uint64_t TokensOf(const std::string& id) const;

 private:
  enum class State { kWaiting, kRunning, kFinished };
  struct Progress {
    State state = State::kWaiting;
    std::string text;
    bool has_text = false;
    std::optional<std::uint64_t> last_event;
    std::uint64_t events = 0;
    std::uint32_t failures = 0;
    base::Instant not_before{};
  };

  void Finish(std::size_t index, JobItemStatus status);

  std::vector<JobItem> items;
  std::map<std::string, std::uint64_t> tokens;
  std::uint64_t unlisted_tokens = 0;
  std::vector<Progress> progress;
  /// Finished items that aren't listed, in the order in which they will be.
  std::vector<JobItemResult> finished;
  std::size_t listed = 0;
  JobRunOptions options;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_JOB_RUN_H_
