#include "gypsumtrack/policy/serving/job_run.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

namespace gypsumtrack::policy {

JobRun::JobRun(std::vector<JobItem> job_items,
               const std::vector<std::string>& listed_ids,
               JobRunOptions options)
    : items(std::move(job_items)),
      progress(this->items.size()),
      listed_count(listed_ids.size()),
      options(options) {
  const std::set<std::string> listed_set(listed_ids.begin(), listed_ids.end());
  for (std::size_t i = 0; i < this->items.size(); ++i) {
    const auto& item = this->items[i];
    this->tokens_by_id[item.id] = item.tokens;
    if (listed_set.contains(item.id)) {
      this->progress[i].state = State::kFinished;
    } else {
      this->unlisted_tokens += item.tokens;
    }
  }
}

std::optional<ItemRunStart> JobRun::StartNextItem(
    const OutputOrigin& origin, base::Instant now,
    const ItemStartFilter& filter) {
  std::optional<std::size_t> chosen;
  std::uint64_t best_rank = 0;
  for (std::size_t i = 0; i < this->progress.size(); ++i) {
    const auto rank = this->RankFor(origin, i, now, filter);
    if (!rank || (chosen && *rank <= best_rank)) continue;
    chosen = i;
    best_rank = *rank;
  }
  if (!chosen) return std::nullopt;
  auto& each = this->progress[*chosen];
  ItemRunStart start{.index = *chosen};
  if (each.origin && each.origin != origin) {
    start.discarded_events = each.events;
    DiscardOutput(each);
  }
  start.after_event = each.last_event;
  each.events_before_run = each.events;
  each.origin = origin;
  each.state = State::kRunning;
  return start;
}

bool JobRun::IsStartable(const Progress& each, base::Instant now) {
  return each.state == State::kWaiting && now >= each.not_before;
}

std::optional<std::uint64_t> JobRun::RankFor(
    const OutputOrigin& origin, std::size_t index, base::Instant now,
    const ItemStartFilter& filter) const {
  constexpr std::uint64_t kRestart = 0;
  constexpr std::uint64_t kBegin = 1;
  constexpr std::uint64_t kContinue = 2;
  const auto& each = this->progress[index];
  if (!IsStartable(each, now)) return std::nullopt;
  if (filter.may_start && !filter.may_start(index)) return std::nullopt;
  if (!each.origin) return kBegin;
  // Start with the item that has the most output: part of its work is done.
  if (each.origin == origin) return kContinue + each.text.size();
  if (!filter.may_restart || !filter.may_restart(index, *each.origin))
    return std::nullopt;
  return kRestart;
}

void JobRun::DiscardOutput(Progress& each) {
  each.text.clear();
  each.has_text = false;
  each.last_event.reset();
  each.events = 0;
  each.origin.reset();
}

bool JobRun::OnEvent(std::size_t index, const StreamEvent& event) {
  auto& each = this->progress[index];
  if (each.state != State::kRunning) return false;
  if (!IsContent(event)) return true;
  if (event.id) {
    const bool follows =
        each.last_event ? *event.id == *each.last_event + 1 : each.text.empty();
    if (!follows) return false;
    each.last_event = event.id;
  } else if (each.last_event) {
    return false;
  }
  if (each.has_text) each.text += '\n';
  each.text += event.data;
  each.has_text = true;
  ++each.events;
  return true;
}

void JobRun::OnRunEnd(std::size_t index, ItemRunOutcome outcome,
                      base::Instant now) {
  auto& each = this->progress[index];
  assert(each.state == State::kRunning);
  each.state = State::kWaiting;
  // A run that added nothing mustn't prolong the wait.
  if (each.events > each.events_before_run)
    each.output_kept_until = now + this->options.max_late_output_wait;
  switch (outcome) {
    case ItemRunOutcome::kComplete:
      this->Finish(index, JobItemStatus::kDone);
      break;
    case ItemRunOutcome::kInterrupted:
      break;
    case ItemRunOutcome::kNotRun:
      each.not_before = now + this->options.not_run_retry_delay;
      break;
    case ItemRunOutcome::kFailed:
      each.not_before = now + this->options.failure_retry_delay;
      if (++each.failures >= this->options.max_failures) {
        this->Finish(index, JobItemStatus::kGivenUp);
      }
      break;
    case ItemRunOutcome::kImpossible:
      this->Finish(index, JobItemStatus::kGivenUp);
      break;
  }
  // Without event ids the run can't be resumed: start from the beginning.
  if (each.state == State::kWaiting && !each.last_event) DiscardOutput(each);
}

void JobRun::RestorePartialItems(const std::vector<PartialItem>& partials,
                                 base::Instant now) {
  for (const auto& partial : partials) {
    for (std::size_t i = 0; i < this->items.size(); ++i) {
      auto& each = this->progress[i];
      if (this->items[i].id != partial.item) continue;
      if (each.state != State::kWaiting || partial.events == 0) continue;
      each.text = partial.text;
      each.has_text = true;
      each.last_event = partial.last_event;
      each.events = partial.events;
      each.origin = partial.origin;
      each.output_kept_until = now + this->options.max_late_output_wait;
    }
  }
}

void JobRun::GiveUpWaitingItems() {
  for (std::size_t i = 0; i < this->progress.size(); ++i) {
    if (this->progress[i].state == State::kWaiting) {
      this->Finish(i, JobItemStatus::kGivenUp);
    }
  }
}

void JobRun::OnResultsListed(std::size_t count) {
  assert(count <= this->unlisted_results.size());
  for (std::size_t i = 0; i < count; ++i) {
    this->unlisted_tokens -= this->TokensOf(this->unlisted_results[i].item);
  }
  this->unlisted_results.erase(
      this->unlisted_results.begin(),
      this->unlisted_results.begin() + static_cast<std::ptrdiff_t>(count));
  this->listed_count += count;
}

std::vector<JobItemResult> JobRun::UnlistedResults(std::size_t limit) const {
  const auto count = std::min(limit, this->unlisted_results.size());
  return {this->unlisted_results.begin(),
          this->unlisted_results.begin() + static_cast<std::ptrdiff_t>(count)};
}

bool JobRun::all_listed() const {
  return this->listed_count >= this->items.size();
}

std::size_t JobRun::waiting_count() const {
  return static_cast<std::size_t>(std::count_if(
      this->progress.begin(), this->progress.end(),
      [](const auto& each) { return each.state == State::kWaiting; }));
}

std::size_t JobRun::running_count() const {
  return static_cast<std::size_t>(std::count_if(
      this->progress.begin(), this->progress.end(),
      [](const auto& each) { return each.state == State::kRunning; }));
}

const JobItem& JobRun::item(std::size_t index) const {
  return this->items[index];
}

std::uint64_t JobRun::event_count(std::size_t index) const {
  return this->progress[index].events;
}

std::vector<OutputOrigin> JobRun::WaitingOrigins(base::Instant now) const {
  std::map<OutputOrigin, std::size_t> longest;
  for (const auto& each : this->progress) {
    if (!each.origin || !IsStartable(each, now)) continue;
    auto& size = longest[*each.origin];
    size = std::max(size, each.text.size());
  }
  std::vector<OutputOrigin> origins;
  for (const auto& [origin, size] : longest) origins.push_back(origin);
  std::stable_sort(origins.begin(), origins.end(),
                   [&](const auto& a, const auto& b) {
                     return longest.at(a) > longest.at(b);
                   });
  return origins;
}

base::Instant JobRun::output_kept_until(std::size_t index) const {
  return this->progress[index].output_kept_until;
}

std::uint64_t JobRun::max_waiting_events() const {
  std::uint64_t most = 0;
  for (const auto& each : this->progress) {
    if (each.state == State::kWaiting) most = std::max(most, each.events);
  }
  return most;
}

std::vector<PartialItem> JobRun::PartialItems(std::size_t max_bytes) const {
  std::vector<PartialItem> partials;
  for (std::size_t i = 0; i < this->progress.size(); ++i) {
    const auto& each = this->progress[i];
    if (each.state == State::kFinished || !each.last_event) continue;
    partials.push_back({this->items[i].id, *each.last_event, each.events,
                        each.text, *each.origin});
  }
  std::sort(partials.begin(), partials.end(), [](const auto& a, const auto& b) {
    return a.text.size() > b.text.size();
  });
  std::size_t bytes = 0;
  std::erase_if(partials, [&](const PartialItem& each) {
    const auto total = bytes + each.text.size() + each.item.size();
    if (total > max_bytes) return true;
    bytes = total;
    return false;
  });
  return partials;
}

std::uint64_t JobRun::UnlistedTokens() const { return this->unlisted_tokens; }

std::uint64_t JobRun::TokensOf(const std::string& id) const {
  const auto found = this->tokens_by_id.find(id);
  return found == this->tokens_by_id.end() ? 0 : found->second;
}

void JobRun::Finish(std::size_t index, JobItemStatus status) {
  auto& each = this->progress[index];
  each.state = State::kFinished;
  JobItemResult result{this->items[index].id, status, {}};
  if (status == JobItemStatus::kDone) result.output = std::move(each.text);
  each.text.clear();
  this->unlisted_results.push_back(std::move(result));
}

}  // namespace gypsumtrack::policy
