#ifndef GYPSUMTRACK_POLICY_SERVING_JOB_RUN_H_
#define GYPSUMTRACK_POLICY_SERVING_JOB_RUN_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gypsumtrack/base/enum_table.h"
#include "gypsumtrack/base/memory_budget.h"
#include "gypsumtrack/base/names.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/policy/output_limit.h"
#include "gypsumtrack/policy/serving/event_splitter.h"
#include "gypsumtrack/policy/serving/output_origin.h"

/// Execution state of a batch job at the daemon that owns it: which item runs
/// next, the progress of each item, and the results to add to the job's result
/// list in the store.
namespace gypsumtrack::policy {

/// An item of a job.
struct JobItem {
  /// Unique within the job.
  std::string id;
  /// Tokens of the prompt plus the maximum number of output tokens.
  std::uint64_t tokens = 0;
};

/// Final status of an item.
enum class JobItemStatus {
  kDone,     ///< the output is complete
  kGivenUp,  ///< failed or expired; it isn't tried again
};

/// Names of the statuses in stored result rows.
inline constexpr auto kJobItemStatusNames = base::MakeEnumTable<JobItemStatus>({
    {JobItemStatus::kDone, "done"},
    {JobItemStatus::kGivenUp, "given-up"},
});

/// The final result of an item, as added to the result list.
struct JobItemResult {
  /// Id of the item.
  std::string item;
  JobItemStatus status = JobItemStatus::kDone;
  /// Data of all events, joined by line feeds; empty for kGivenUp.
  std::string output;

  bool operator==(const JobItemResult&) const = default;
};

/// How a run of an item ended.
enum class ItemRunOutcome {
  kComplete,     ///< the complete output was received
  kInterrupted,  ///< cut off; the next run resumes after the last event
  kNotRun,       ///< no endpoint ran it
  kFailed,       ///< the endpoint ran it and reported a failure
  kImpossible,   ///< no endpoint can ever run it
};

/// Names of the outcomes in log events.
inline constexpr auto kItemRunOutcomeNames =
    base::MakeEnumTable<ItemRunOutcome>({
        {ItemRunOutcome::kComplete, "whole"},
        {ItemRunOutcome::kInterrupted, "interrupted"},
        {ItemRunOutcome::kNotRun, "not-run"},
        {ItemRunOutcome::kFailed, "failed"},
        {ItemRunOutcome::kImpossible, "impossible"},
    });

/// Retry settings and limits of a job.
struct JobRunOptions {
  /// Runs with outcome kFailed after which an item is given up.
  std::uint32_t max_failures = 3;
  /// Delay before an item that didn't run is tried again.
  base::Duration not_run_retry_delay = std::chrono::milliseconds(150);
  /// Delay before an item that failed is tried again.
  base::Duration failure_retry_delay = std::chrono::milliseconds(300);
  /// Time after the last run that added to it for which the output of an item
  /// that can't be in time any more is kept while the endpoints that could
  /// continue it are full. About as long as a temporary rise in online load.
  base::Duration max_late_output_wait = std::chrono::milliseconds(2500);
  /// Limits on the output of each item.
  OutputLimits output;
  /// Shared by the outputs of all jobs of a daemon; if null, unlimited.
  std::shared_ptr<base::MemoryBudget> memory;
};

/// Output received so far of an item that isn't complete.
struct PartialItem {
  /// Id of the item.
  std::string item;
  /// Id of the last event received.
  std::uint64_t last_event = 0;
  /// Number of events received.
  std::uint64_t events = 0;
  /// Data of these events, joined by line feeds.
  std::string text;
  /// Which endpoints wrote it.
  OutputOrigin origin;

  bool operator==(const PartialItem&) const = default;
};

/// An item that starts to run.
struct ItemRunStart {
  /// Index of the item in the job.
  std::size_t index = 0;
  /// Id of the event after which to resume; none for a run from the beginning.
  std::optional<std::uint64_t> after_event;
  /// Number of events of another origin that were discarded for this run.
  std::uint64_t discarded_events = 0;
};

/// Which of the waiting items may start.
struct ItemStartFilter {
  /// Whether the item at an index may start. If empty, all may.
  std::function<bool(std::size_t index)> may_start;
  /// Whether the item at an index may lose its output, which is of this other
  /// origin, and start from the beginning. If empty, none may.
  std::function<bool(std::size_t index, const OutputOrigin& origin)>
      may_restart;
};

/// The items of a job, their progress and the results that aren't in the
/// store's result list yet. Indexes refer to `items` of the constructor. Not
/// thread-safe; used on one thread.
class JobRun {
 public:
  /// `listed_ids` holds the ids of the items whose results are in the result
  /// list already, in the order of the list.
  JobRun(std::vector<JobItem> items, const std::vector<std::string>& listed_ids,
         JobRunOptions options);

  // Commands.

  /// Selects the next item to run at an endpoint of this origin and marks it as
  /// running: one with output of the origin, or else one without output, or
  /// else one that may restart, whose output is discarded. None if no item can
  /// start now. So an output never has events of two origins.
  std::optional<ItemRunStart> StartNextItem(const OutputOrigin& origin,
                                            base::Instant now,
                                            const ItemStartFilter& filter = {});
  /// Appends an event to a running item. Returns false if the item isn't
  /// running, the event doesn't follow the one before it or the output exceeds
  /// a limit; the run must then be aborted. Data with and without ids doesn't
  /// follow each other; events with neither are ignored.
  bool OnEvent(std::size_t index, const StreamEvent& event);
  /// Records the end of a run. If the output exceeded a limit, it is discarded
  /// and the item tried again from the beginning, whatever the outcome.
  /// Precondition: the item is running.
  void OnRunEnd(std::size_t index, ItemRunOutcome outcome, base::Instant now);
  /// Restores the partial output that a previous owner of the job saved.
  /// Precondition: no item has run here.
  void RestorePartialItems(const std::vector<PartialItem>& partials,
                           base::Instant now);
  /// Gives up all items that are neither running nor finished.
  void GiveUpWaitingItems();
  /// Records that the store has added the next `count` results to the list.
  /// Precondition: `count` is at most the number of unlisted results.
  void OnResultsListed(std::size_t count);

  // Queries.

  /// Up to `limit` results to add to the list next, in order: the first one,
  /// and more while their outputs fit into `max_bytes`. Returns the same
  /// results until OnResultsListed, so that a commit can be retried.
  std::vector<JobItemResult> UnlistedResults(
      std::size_t limit,
      std::size_t max_bytes = std::numeric_limits<std::size_t>::max()) const;
  /// Position in the list of the first unlisted result.
  std::size_t next_position() const { return this->listed_count; }  // NOLINT
  /// Whether the results of all items are in the list.
  bool all_listed() const;  // NOLINT
  /// Number of items that wait to run.
  std::size_t waiting_count() const;  // NOLINT
  /// Number of items that run now.
  std::size_t running_count() const;  // NOLINT
  /// Precondition: `index` is less than the number of items.
  const JobItem& item(std::size_t index) const;  // NOLINT
  /// Number of events received of the item.
  std::uint64_t event_count(std::size_t index) const;  // NOLINT
  /// The limit that the output of the item's last run exceeded, if any.
  std::optional<OutputLimit> exceeded_limit(std::size_t index) const;  // NOLINT
  /// Origins of the outputs of items that could start now, longest output
  /// first.
  std::vector<OutputOrigin> WaitingOrigins(base::Instant now) const;
  /// Time until which the output of a waiting item is kept even if the item
  /// can't be in time any more. Precondition: the item has output.
  base::Instant output_kept_until(std::size_t index) const;  // NOLINT
  /// Largest number of events received of a waiting item. StartNextItem picks
  /// the item with the longest text, usually the one with the most events.
  std::uint64_t max_waiting_events() const;  // NOLINT
  /// Partial output of unfinished items, longest first, limited to `max_bytes`
  /// in total. Items that don't fit are left out.
  std::vector<PartialItem> PartialItems(std::size_t max_bytes) const;
  /// Sum of the tokens of all items that aren't in the list.
  std::uint64_t UnlistedTokens() const;
  /// Tokens of the item with that id; 0 if there is none.
  std::uint64_t TokensOf(const std::string& id) const;

 private:
  enum class State { kWaiting, kRunning, kFinished };
  struct Progress {
    State state = State::kWaiting;
    std::string text;
    /// Set by the first event, whose data may be empty.
    bool has_text = false;
    std::optional<std::uint64_t> last_event;
    std::uint64_t events = 0;
    /// Value of `events` when its last run began.
    std::uint64_t events_before_run = 0;
    /// Of the output and, while the item runs, of its endpoint.
    std::optional<OutputOrigin> origin;
    /// See JobRunOptions::max_late_output_wait.
    base::Instant output_kept_until{};
    std::uint32_t failures = 0;
    /// End of the retry delay: the item doesn't start before this time.
    base::Instant not_before{};
    /// Set by the event that the output had no room for.
    std::optional<OutputLimit> exceeded_limit;
  };

  /// Whether the item waits and its retry delay is over.
  static bool IsStartable(const Progress& each, base::Instant now);
  /// How well the item suits an endpoint of the origin, higher is better; none
  /// if it can't start there.
  std::optional<std::uint64_t> RankFor(const OutputOrigin& origin,
                                       std::size_t index, base::Instant now,
                                       const ItemStartFilter& filter) const;
  /// The limit that the output exceeds with one more event of that size, if
  /// any.
  std::optional<OutputLimit> FindLimitFor(std::size_t index,
                                          std::size_t event_bytes) const;
  void DiscardOutput(Progress& each);
  void Finish(std::size_t index, JobItemStatus status);

  std::vector<JobItem> items;
  std::map<std::string, std::uint64_t> tokens_by_id;
  std::uint64_t unlisted_tokens = 0;
  std::vector<Progress> progress;
  /// Results that aren't in the list yet, in the order in which they are added.
  std::vector<JobItemResult> unlisted_results;
  /// Number of results in the list.
  std::size_t listed_count = 0;
  JobRunOptions options;
  /// The outputs in `progress` and `unlisted_results`.
  base::MemoryCharge output_memory;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_JOB_RUN_H_
