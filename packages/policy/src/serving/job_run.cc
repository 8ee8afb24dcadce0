#include "gypsumtrack/policy/serving/job_run.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

namespace gypsumtrack::policy {

JobRun::JobRun(std::vector<JobItem> job_items,
               const std::vector<std::string>& listed_ids,
               JobRunOptions run_options)
    : items(std::move(job_items)),
      progress(this->items.size()),
      listed_count(listed_ids.size()),
      options(std::move(run_options)),
      output_memory(this->options.memory
                        ? this->options.memory
                        : std::make_shared<base::MemoryBudget>()) {
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
  each.exceeded_limit.reset();
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

std::optional<OutputLimit> JobRun::FindLimitFor(std::size_t index,
                                                std::size_t event_bytes) const {
  const auto& each = this->progress[index];
  const OutputSize size{each.text.size() + event_bytes, each.events + 1};
  return FindExceededLimit(this->options.output, size,
                           this->items[index].tokens,
                           this->output_memory.budget());
}

void JobRun::DiscardOutput(Progress& each) {
  this->output_memory.Remove(each.text.size());
  // Unlike an assignment, this frees the memory.
  std::string().swap(each.text);
  each.has_text = false;
  each.last_event.reset();
  each.events = 0;
  each.origin.reset();
}

bool JobRun::OnEvent(std::size_t index, const StreamEvent& event) {
  auto& each = this->progress[index];
  if (each.state != State::kRunning || each.exceeded_limit) return false;
  if (!IsContent(event)) return true;
  if (event.id) {
    const bool follows =
        each.last_event ? *event.id == *each.last_event + 1 : each.text.empty();
    if (!follows) return false;
  } else if (each.last_event) {
    return false;
  }
  const auto separator_bytes = each.has_text ? 1U : 0U;
  const auto added_bytes = separator_bytes + event.data.size();
  each.exceeded_limit = this->FindLimitFor(index, added_bytes);
  if (each.exceeded_limit) return false;
  this->output_memory.Add(added_bytes);
  each.last_event = event.id;
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
  if (each.exceeded_limit) {
    DiscardOutput(each);
    each.not_before = now + this->options.failure_retry_delay;
    return;
  }
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
      DiscardOutput(each);
      this->output_memory.Add(partial.text.size());
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
    const auto& result = this->unlisted_results[i];
    this->unlisted_tokens -= this->TokensOf(result.item);
    this->output_memory.Remove(result.output.size());
  }
  this->unlisted_results.erase(
      this->unlisted_results.begin(),
      this->unlisted_results.begin() + static_cast<std::ptrdiff_t>(count));
  this->listed_count += count;
}

std::vector<JobItemResult> JobRun::UnlistedResults(
    std::size_t limit, std::size_t max_bytes) const {
  std::vector<JobItemResult> results;
  std::size_t bytes = 0;
  for (const auto& result : this->unlisted_results) {
    bytes += result.output.size();
    const bool fits = results.empty() || bytes <= max_bytes;
    if (results.size() >= limit || !fits) break;
    results.push_back(result);
  }
  return results;
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

std::optional<OutputLimit> JobRun::exceeded_limit(std::size_t index) const {
  return this->progress[index].exceeded_limit;
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
  std::vector<std::size_t> indexes;
  for (std::size_t i = 0; i < this->progress.size(); ++i) {
    const auto& each = this->progress[i];
    if (each.state != State::kFinished && each.last_event) indexes.push_back(i);
  }
  std::sort(indexes.begin(), indexes.end(), [this](auto a, auto b) {
    return this->progress[a].text.size() > this->progress[b].text.size();
  });
  std::vector<PartialItem> partials;
  std::size_t bytes = 0;
  for (const auto i : indexes) {
    const auto& each = this->progress[i];
    const auto& id = this->items[i].id;
    const auto total = bytes + each.text.size() + id.size();
    if (total > max_bytes) continue;
    bytes = total;
    partials.push_back(
        {id, *each.last_event, each.events, each.text, *each.origin});
  }
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
  if (status == JobItemStatus::kDone) {
    result.output = std::move(each.text);
  } else {
    this->output_memory.Remove(each.text.size());
  }
  std::string().swap(each.text);
  this->unlisted_results.push_back(std::move(result));
}

}  // namespace gypsumtrack::policy
